"""Tests of route tables that VMs send as differences."""

from __future__ import annotations

import logging
import random

import pytest

from bramleycrank.proto import log_pb2 as pb
from bramleycrank.proto.peer_pb2 import FetchConfigReply
from bramleycrank.routing.difference import DifferenceError, apply_patch, content_digest, make_patch
from bramleycrank.routing.packing import pack, unpack
from bramleycrank.state import ConfigFollower, ConfigState
from bramleycrank.state.types import FetchConfig, FollowerConfig

PEER = "10.0.0.2:7070"
SMALL_BYTES = 300


def table(version: int, customers: int = 76, **changed: str) -> pb.RouteTable:
    """Return a compressed table whose keys are random; `changed` has keys by customer."""
    rng = random.Random(1)
    messages = []
    for number in range(customers):
        name, key = f"c{number}", f"{rng.getrandbits(128):032x}"
        messages.append(pb.Customer(name=name, keys=[changed.get(name, key)]))
    document = b",".join(b'"%b":"%b"' % (c.name.encode(), c.keys[0].encode()) for c in messages)
    return pack(pb.RouteTable(version=version, document=document, customers=messages))


class Vm:
    """A follower whose configuration is in force, and the bytes of the last reply to it."""

    def __init__(self, *tables: pb.RouteTable) -> None:
        self.follower = ConfigFollower.from_config(
            FollowerConfig(start_wait_s=0.0), None, random.Random(1), 0.0
        )
        self.log = ConfigState()
        self.reply_bytes = 0
        for item in tables:
            self.put(item)

    @property
    def routes(self) -> pb.RouteTable:
        return unpack(self.follower.config.routes)

    def put(self, item: pb.RouteTable) -> None:
        """Take a table from the replicated log, as voters do."""
        self.log.apply_change(pb.Change(change_id=str(item.version), put_routes=item))
        self.follower.on_local(self.log, False, 1.0)

    def ask(self, peer: Vm) -> FetchConfig:
        """Return the fetch that the status of a peer causes."""
        actions = self.follower.on_status(PEER, peer.follower.status(1.0), 1.0)
        return next(item for item in actions if isinstance(item, FetchConfig))

    def fetch(self, peer: Vm, *, understood: bool = True, spoil=lambda reply: None) -> list:
        """Fetch from a peer and return the fetches that follow."""
        action = self.ask(peer)
        digest = action.routes_digest if understood else b""
        return self.take(peer.follower.fetch_reply(action.from_revision, 1.0, digest), spoil)

    def take(self, reply: FetchConfigReply, spoil=lambda reply: None) -> list:
        spoil(reply)
        self.reply_bytes = reply.ByteSize()
        actions = self.follower.on_fetched(
            PEER, FetchConfigReply.FromString(reply.SerializeToString()), 1.0
        )
        return [item for item in actions if isinstance(item, FetchConfig)]


@pytest.mark.parametrize("customers", [76, 10_000])
def test_a_change_of_one_customer_costs_bytes_by_the_change(customers):
    """Guards against the load of 10,000 customers, one of whose keys changes, at all VMs."""
    old, new = table(1, customers), table(2, customers, c7="another", c70="new")
    voter, entry, other, landed = Vm(old, new), Vm(old), Vm(old), Vm(old)
    entry.fetch(voter)
    other.fetch(entry)  # passed on
    landed.fetch(entry, understood=False)
    assert entry.routes == other.routes == landed.routes == unpack(new)
    assert max(entry.reply_bytes, other.reply_bytes) < 2 * SMALL_BYTES
    assert landed.reply_bytes > len(new.packed) // 2


def test_versions_in_quick_succession_and_other_changes_need_no_whole_table():
    """Guards against whole tables at a VM that lacks several versions, or only other changes."""
    tables = [table(n, c1=f"key-{n}") for n in range(1, 6)]
    voter, entry = Vm(*tables), Vm(tables[0])
    entry.fetch(voter)
    assert entry.routes == unpack(tables[-1])
    assert entry.reply_bytes < SMALL_BYTES
    far = Vm(tables[0])
    for n in range(3):
        change = pb.Change(change_id=f"vm{n}", put_vm=pb.VmConfig(vm_id=f"vm{n}"))
        voter.log.apply_change(change)
    voter.follower.on_local(voter.log, False, 1.0)
    far.fetch(voter)
    assert (far.routes, len(far.follower.config.vms)) == (unpack(tables[-1]), 3)
    assert far.reply_bytes < 2 * SMALL_BYTES


def test_a_base_that_a_vm_has_not_gets_the_whole_table():
    """Guards against a difference to another table of the same version, or to a forgotten one."""
    voter = Vm(*(table(n, c1=f"key-{n}") for n in range(1, 20)))
    for base in (table(1, c2="other"), table(1, c1="key-1"), None):
        entry = Vm(base) if base else Vm()
        entry.fetch(voter)
        assert entry.routes == voter.routes
        assert entry.reply_bytes > 2000


def _flip(reply: FetchConfigReply) -> None:
    patch = reply.difference.patch
    reply.difference.patch = patch[:-5] + bytes([patch[-5] ^ 1]) + patch[-4:]


def _cut(reply: FetchConfigReply) -> None:
    reply.difference.patch = reply.difference.patch[:-3]


def _exchange_base(reply: FetchConfigReply) -> None:
    reply.difference.base_digest = b"x" * 16


def _exchange_digest(reply: FetchConfigReply) -> None:
    reply.difference.digest = b"x" * 16


@pytest.mark.parametrize("spoil", [_flip, _cut, _exchange_base, _exchange_digest])
def test_after_a_difference_that_fails_the_whole_table_is_fetched_at_once(spoil, caplog):
    """Guards against a wrong table in force, a late one, and keys in the log."""
    caplog.set_level(logging.DEBUG)
    voter, entry = Vm(table(1), table(2, c7="secret-key")), Vm(table(1))
    [again] = entry.fetch(voter, spoil=spoil)
    assert entry.routes.version == entry.follower.config.revision == 1
    assert (again.peer_address, again.routes_digest) == (PEER, b"")
    reply = voter.follower.fetch_reply(again.from_revision, 1.0, again.routes_digest)
    assert entry.take(reply) == []
    assert entry.routes == voter.routes
    assert "the whole route table is needed" in caplog.text
    assert "secret-key" not in str([vars(item) for item in caplog.records])


def test_a_peer_that_sends_wrong_differences_only_is_not_asked_without_pause():
    """Guards against a busy loop of two VMs."""
    voter, entry = Vm(table(1), table(2, c7="x")), Vm(table(1))
    [again] = entry.fetch(voter, spoil=_cut)
    digest = entry.follower._tables.digest()
    assert entry.take(voter.follower.fetch_reply(again.from_revision, 1.0, digest), _cut) == []


def test_a_damaged_table_is_replaced_by_a_whole_one():
    """Guards against a VM that cannot ask because its own table cannot be read."""
    entry, voter = Vm(pb.RouteTable(version=1, packed=b"damaged")), Vm(table(1), table(2, c7="x"))
    entry.fetch(voter)
    assert entry.routes == voter.routes


def test_a_patch_does_not_exceed_the_size_of_tables(monkeypatch):
    """Guards against a frame that fills the memory."""
    content = b"x" * 10_000
    patch = make_patch(b"", content)
    assert apply_patch(b"", patch, content_digest(content)) == content
    monkeypatch.setattr("bramleycrank.routing.difference.MAX_UNPACKED_BYTES", 1000)
    with pytest.raises(DifferenceError):
        apply_patch(b"", patch, content_digest(content))
