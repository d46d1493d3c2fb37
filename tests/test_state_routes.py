"""Tests of the route table in the replicated state."""

from __future__ import annotations

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleycrank.proto.log_pb2 import (
    RESULT_CODE_INVALID,
    RESULT_CODE_OK,
    RESULT_CODE_VERSION_CONFLICT,
    Change,
    Command,
    Entry,
    Route,
    RouteTable,
)
from bramleycrank.routing.packing import pack, unpack
from bramleycrank.state import ReplicatedState
from bramleycrank.state.config_state import ConfigState


def put_table(state: ReplicatedState, version: int, document: bytes, number: int):
    """Apply a route table in a change of its own."""
    change = Change(
        change_id=f"c{number}", put_routes=RouteTable(version=version, document=document)
    )
    command = Command(change=change).SerializeToString()
    return state.apply(Entry(index=number, term=1, command=command))


@given(st.lists(st.tuples(st.integers(0, 4), st.sampled_from([b"x", b"y"])), max_size=30))
def test_the_highest_version_wins_and_identifies_one_table(sent_tables):
    """Guards against operators that send equal versions concurrently or resend old versions."""
    state, held = ReplicatedState(), (0, b"")
    for number, (version, document) in enumerate(sent_tables, 1):
        result = put_table(state, version, document, number)
        if version == 0:
            assert result.code == RESULT_CODE_INVALID
        elif version == held[0] and document != held[1]:
            assert result.code == RESULT_CODE_VERSION_CONFLICT
        else:
            assert result.code == RESULT_CODE_OK
            held = max(held, (version, document), key=lambda item: item[0])
        routes = state.config.routes
        assert (routes.version, routes.document) == held
    copy = ReplicatedState.from_image(state.image())
    assert copy.config.routes == state.config.routes


def test_tables_are_equal_whatever_their_compression():
    """Guards against a conflict after a resend to a VM whose zlib compresses differently."""
    table = RouteTable(version=3, document=b"x" * 1000)
    packed = pack(table)
    again = RouteTable(version=3, packed=zlib.compress(table.SerializeToString(), 1))
    assert again.packed != packed.packed
    state = ReplicatedState()
    for number, (offer, code) in enumerate(
        [
            (packed, RESULT_CODE_OK),
            (again, RESULT_CODE_OK),
            (pack(RouteTable(version=3, document=b"y")), RESULT_CODE_VERSION_CONFLICT),
        ],
        1,
    ):
        change = Change(change_id=f"c{number}", put_routes=offer)
        command = Command(change=change).SerializeToString()
        assert state.apply(Entry(index=number, term=1, command=command)).code == code
    assert unpack(state.config.routes) == table


def test_a_damaged_packed_table_raises_an_error():
    packed = pack(RouteTable(version=3, document=b"x" * 1000))
    for damaged in (packed.packed[:-5], b"no zlib"):
        with pytest.raises(ValueError, match="route table 3"):
            unpack(RouteTable(version=3, packed=damaged))


def test_a_table_of_many_routes_is_compressed():
    """Load pattern: the table has many routes, and hundreds of VMs fetch each version."""
    names = [f"service-{n}" for n in range(100)]
    routes = [Route(name=f"r{n}", host="h", path_prefix=f"/{n}/", shards=names) for n in range(40)]
    table = RouteTable(version=1, routes=routes, document=b",".join(n.encode() for n in names) * 40)
    assert pack(table).ByteSize() < table.ByteSize() / 10


def test_a_follower_gets_the_table_by_deltas_and_by_image():
    state = ReplicatedState()
    for version in range(1, 4):
        put_table(state, version, b"d%d" % version, version)
    by_delta, by_image = ConfigState(), ConfigState()
    assert by_delta.advance(state.config.deltas_since(0) or (), state.config.image())
    assert by_image.advance((), state.config.image())
    assert by_delta.routes == by_image.routes == state.config.routes


def test_superseded_tables_are_not_kept():
    """Guards against a state that grows with each change of a large table."""
    state = ReplicatedState()
    for version in range(1, 200):
        put_table(state, version, b"z" * 10_000, version)
    assert len(state.image()) < 100_000
