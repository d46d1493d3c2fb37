"""Tests of the choice of replicas and of the snapshot.

Guards against ejecting too many replicas, sub-requests to targets that are leaving or at their
limit, full load on a new target, and the choice of a worse snapshot than the best available one.
"""

from __future__ import annotations

import random
from collections import Counter

import hypothesis.strategies as st
import pytest
from hypothesis import given
from query_fakes import SERVICE, grid, record

from bramleycrank.proto.target_pb2 import Hit, LoadReport, SubReply
from bramleycrank.query.catalog import SnapshotCatalog
from bramleycrank.query.latency import LatencyEstimate
from bramleycrank.query.merge import merge_hits
from bramleycrank.query.replicas import ReplicaTable
from bramleycrank.query.targets import FAILURES_TO_EJECT
from bramleycrank.query.types import Snapshot

SNAP = Snapshot(1, 1)


def table_of(copies: int, domains: str = "a", slots: int = 4) -> ReplicaTable:
    table = ReplicaTable("a", random.Random(1), warmup_s=10.0)
    held = [(SNAP, 0)]
    table.update(
        SERVICE,
        [
            record(f"t{copy}", held, domain=domains[copy % len(domains)], slots=slots)
            for copy in range(copies)
        ],
        0.0,
    )
    return table


def chosen(table: ReplicaTable, now: float, exclude: tuple[str, ...] = (), draws: int = 300):
    return Counter(table.choose(SERVICE, SNAP, 0, exclude, now) for _ in range(draws))


def fail(table: ReplicaTable, name: str, now: float = 1.0) -> None:
    for _ in range(FAILURES_TO_EJECT):
        table.on_sent(name, now)
        table.on_failure(name, now)


@given(copies=st.integers(1, 7), failed=st.sets(st.integers(0, 6)), down=st.sets(st.integers(0, 6)))
def test_at_most_half_of_the_replicas_are_ejected(copies: int, failed: set, down: set) -> None:
    table = table_of(copies)
    for copy in sorted(failed):
        fail(table, f"t{copy}")
    for copy in sorted(down):
        table.set_down(f"t{copy}", True, 1.0)
    used = chosen(table, 1.1).keys()
    names = {f"t{copy}" for copy in range(copies)}
    lost, failing = ({f"t{copy}" for copy in group if copy < copies} for group in (down, failed))
    up, healthy = names - lost, names - lost - failing
    assert None not in used
    assert healthy <= used
    if up:
        assert not used & lost, "a target that is down is used only if no other is left"
    if len(lost | failing) <= copies // 2:
        assert used == healthy
    if up and not healthy:  # equal scores: every replica that is not ejected is used
        assert len(used) == len(up) - max(0, copies // 2 - len(lost))


def test_a_single_replica_is_never_ejected() -> None:
    table = table_of(1)
    fail(table, "t0")
    table.set_down("t0", True, 1.0)
    assert chosen(table, 1.1) == {"t0": 300}


def test_ejection_ends_and_the_next_one_is_longer() -> None:
    table = table_of(4)
    fail(table, "t0", 1.0)
    assert "t0" not in chosen(table, 1.9)
    assert "t0" in chosen(table, 2.1)
    table.on_sent("t0", 2.1)
    table.on_failure("t0", 2.1)
    assert "t0" not in chosen(table, 4.0)
    assert "t0" in chosen(table, 4.2)


def test_other_domains_are_used_only_when_the_own_domain_is_at_its_limit() -> None:
    table = table_of(3, "abc", slots=2)
    assert chosen(table, 1.0) == {"t0": 300}
    for _ in range(2):
        table.on_sent("t0", 1.0)
    assert chosen(table, 1.0).keys() == {"t1", "t2"}
    assert chosen(table, 1.0, ("t1", "t2")) == {"t0": 300}


def test_a_new_target_gets_a_growing_share() -> None:
    table = table_of(3, slots=100)
    held = [(SNAP, 0)]
    table.update(SERVICE, [record(f"t{n}", held, slots=100) for n in range(4)], 100.0)
    early, middle, warm = (chosen(table, now, draws=2000)["t3"] for now in (100.5, 105.0, 111.0))
    assert early < 0.4 * middle < 0.4 * warm


def test_a_shed_reply_lowers_the_limit_and_it_never_falls_below_one() -> None:
    table = table_of(1, slots=8)
    before = table.replicas(SERVICE, SNAP, 0)[0].limit
    for step in range(50):
        table.on_sent("t0", float(step))
        table.on_shed("t0", float(step))
    state = table.replicas(SERVICE, SNAP, 0)[0]
    assert before == 8.0
    assert state.limit == 1.0
    assert state.in_flight == 0


def test_a_load_report_does_not_override_own_observations() -> None:
    table = table_of(2)
    for name, latency in (("t0", 0.01), ("t1", 0.5)):
        table.on_sent(name, 1.0)
        table.on_reply(name, latency, 1.0)
    assert chosen(table, 1.0) == {"t0": 300}
    table.on_load("t0", LoadReport(in_flight=50, queued=500, slots=1), 1.0)
    assert chosen(table, 1.0) == {"t0": 300}


def test_a_target_that_moves_to_another_service_stays_known_there() -> None:
    """Guards against a service whose targets are no longer updated, and uncounted sub-requests."""
    table = table_of(2)
    moved = record("t0", [(SNAP, 0)], incarnation=2)
    table.update("preventivi", [moved], 1.0)
    table.update(SERVICE, [record("t1", [(SNAP, 0)])], 2.0)
    table.on_sent("t0", 2.0)
    assert table.dump(2.0)["preventivi"]["t0"]["in_flight"] == 1
    table.update("preventivi", [moved, record("t2", [(SNAP, 0)])], 3.0)
    assert [t.target_id for t in table.replicas("preventivi", SNAP, 0)] == ["t0", "t2"]


def test_a_leaving_target_gets_no_sub_request_until_it_restarts() -> None:
    table = table_of(2)
    table.on_sent("t0", 1.0)
    table.on_replica_gone(SERVICE, "t0", None, 0, 1.0)
    assert chosen(table, 1.0, ("t1",)) == {None: 300}
    held = [(SNAP, 0)]
    new_records = [record("t0", held, sequence=2), record("t1", held)]
    table.update(SERVICE, new_records, 2.0)
    assert chosen(table, 2.0, ("t1",)) == {None: 300}
    new_records[0] = record("t0", held, incarnation=2)
    table.update(SERVICE, new_records, 3.0)
    assert chosen(table, 60.0, ("t1",)) == {"t0": 300}


HELD = st.dictionaries(
    st.sampled_from("pqrs"),
    st.sets(st.tuples(st.integers(1, 3), st.integers(1, 2), st.integers(0, 2))),
)


@given(held=HELD, down=st.sets(st.sampled_from("pqrs")), pinned=st.sampled_from([0, 0, 1, 2]))
def test_the_best_snapshot_is_chosen(held: dict, down: set, pinned: int) -> None:
    catalog = SnapshotCatalog()
    replicas = {
        name: [(Snapshot(version, count), shard) for version, count, shard in items]
        for name, items in held.items()
    }
    catalog.update(SERVICE, [record(name, items) for name, items in replicas.items()], 0.0)
    for name in down:
        catalog.set_down(name, True, 0.0)

    def shards(snapshot: Snapshot, names: set) -> int:
        return len(
            {
                shard
                for name in names
                for snap, shard in replicas[name]
                if snap == snapshot and shard < snapshot.shard_count
            }
        )

    all_targets, up = set(replicas), set(replicas) - down
    known = [Snapshot(v, n) for v in (1, 2, 3) for n in (1, 2) if not pinned or v == pinned]
    by_preference = [
        [snap for snap in known if shards(snap, up) == snap.shard_count],
        [snap for snap in known if shards(snap, all_targets) == snap.shard_count],
    ]
    expected = next((max(snaps) for snaps in by_preference if snaps), None)
    if expected is None:
        most, best = max((shards(snap, all_targets), snap) for snap in known)
        expected = best if most else None
    assert catalog.choose(SERVICE, pinned, 0.0) == expected


def test_a_late_record_of_a_leaving_target_does_not_restore_its_replicas() -> None:
    catalog, held = SnapshotCatalog(), [(SNAP, 0)]
    catalog.update(SERVICE, [record("t0", held)], 0.0)
    catalog.remove_replica(SERVICE, "t0", None, 0, 0.0)
    assert catalog.choose(SERVICE, 0, 0.0) is None
    catalog.update(SERVICE, [record("t0", held, sequence=2)], 0.0)
    assert catalog.choose(SERVICE, 0, 0.0) is None
    catalog.update(SERVICE, [record("t0", held, incarnation=2)], 0.0)
    assert catalog.choose(SERVICE, 0, 0.0) == SNAP


def test_a_removed_replica_stays_removed_until_the_record_changes() -> None:
    catalog, old, new = SnapshotCatalog(), Snapshot(1, 2), Snapshot(2, 2)
    records = [*grid(old, 2), record("n0", [(new, 0)]), record("n1", [(new, 1)])]
    catalog.update(SERVICE, records, 0.0)
    assert catalog.choose(SERVICE, 0, 0.0) == new
    catalog.remove_replica(SERVICE, "n1", new, 1, 0.0)
    assert catalog.choose(SERVICE, 0, 0.0) == old
    catalog.update(SERVICE, [*records, record("x", [])], 0.0)
    assert catalog.choose(SERVICE, 0, 0.0) == old
    catalog.update(SERVICE, [*records[:-1], record("n1", [(new, 1)], sequence=2)], 0.0)
    assert catalog.choose(SERVICE, 0, 0.0) == new


@given(st.lists(st.floats(2e-5, 100.0), min_size=1, max_size=300), st.sampled_from([0.5, 0.96]))
def test_the_quantile_is_within_a_bucket(samples: list[float], share: float) -> None:
    estimate = LatencyEstimate()
    for sample in samples:
        estimate.record(sample)
    estimate.record(samples[-1])
    ordered = sorted([*samples, samples[-1]])
    rank = max(0, -int(-share * len(ordered) // 1) - 1)
    low, high = ordered[max(0, rank - 1)], ordered[min(len(ordered) - 1, rank + 1)]
    if len(samples) < 60:
        assert low / 1.06 <= estimate.quantile(share) <= high * 1.06


def test_merge_is_best_first_and_independent_of_the_order_of_replies() -> None:
    replies = [
        SubReply(shard=0, hits=[Hit(id="b", score=1.0), Hit(id="n", score=float("nan"))]),
        SubReply(shard=1, hits=[Hit(id="a", score=1.0), Hit(id="z", score=float("inf"))]),
    ]
    merged = merge_hits(replies, 3)
    assert [hit.id for hit in merged] == ["z", "a", "b"]
    assert merge_hits(replies[::-1], 3) == merged
    assert merge_hits(replies, 4)[3].score == pytest.approx(-1.7976931348623157e308)
