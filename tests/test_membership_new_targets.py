"""Pushes of targets that are new to their home VM."""

from __future__ import annotations

from bramleycrank.membership import MembershipConfig
from bramleycrank.membership.target_registry import NEW_TARGETS_FANOUT, TargetRegistry
from bramleycrank.membership.types import PushRecords
from bramleycrank.proto.target_pb2 import TARGET_STATE_SERVING, AnnounceRequest, TargetRecord


def announce(registry: TargetRegistry, target_id: str, sequence: int, now: float) -> None:
    record = TargetRecord(
        target_id=target_id,
        incarnation=1,
        sequence=sequence,
        state=TARGET_STATE_SERVING,
        service="s",
        host="10.0.0.1",
        port=80,
    )
    registry.announce(AnnounceRequest(record=record), now)


def pushes(registry: TargetRegistry, now: float) -> list[PushRecords]:
    return [action for action in registry.push_new_targets() if isinstance(action, PushRecords)]


def test_targets_new_to_their_home_vm_are_pushed_in_one_push():
    """Load pattern: after a power loss all targets send their first report within a second."""
    registry = TargetRegistry(MembershipConfig(), "vm1", 0.0)
    for number in range(30):
        announce(registry, f"t{number}", 1, 0.1)
    [push] = pushes(registry, 0.2)
    assert len(push.records) == 30 and push.fanout == NEW_TARGETS_FANOUT


def test_renewals_are_not_pushed():
    registry = TargetRegistry(MembershipConfig(), "vm1", 0.0)
    announce(registry, "t", 1, 0.1)
    assert pushes(registry, 0.2)
    announce(registry, "t", 2, 1.1)
    assert not pushes(registry, 1.2)


def report(registry: TargetRegistry, sequence: int, warmup_left_ms: int, now: float) -> list:
    record = TargetRecord(
        target_id="t",
        incarnation=1,
        sequence=sequence,
        state=TARGET_STATE_SERVING,
        service="s",
        host="10.0.0.1",
        port=80,
        warmup_left_ms=warmup_left_ms,
    )
    _, actions = registry.announce(AnnounceRequest(record=record), now)
    return actions


def test_a_target_that_becomes_cold_again_is_pushed_to_all_vms():
    """Load pattern: the targets of a domain become cold while all VMs send at the full rate."""
    registry = TargetRegistry(MembershipConfig(), "vm1", 0.0)
    report(registry, 1, 0, 0.0)
    actions = report(registry, 2, 3000, 1.0)
    [push] = [action for action in actions if isinstance(action, PushRecords)]
    assert push.records[0].warmup_left_ms == 3000 and not push.fanout
    assert registry.warm_at("t") == 4.0
    assert report(registry, 3, 1800, 2.2) == [], "a warm-up that goes on changes nothing"
    assert registry.warm_at("t") == 4.0
    assert report(registry, 4, 2900, 3.4), "cold again before it was warm"
    assert abs(registry.warm_at("t") - 6.3) < 0.001
    assert report(registry, 5, 0, 6.9) and registry.warm_at("t") == 6.9


def test_a_vm_relays_the_record_of_a_target_that_became_cold():
    registry = TargetRegistry(MembershipConfig(), "vm1", 0.0)
    other = TargetRegistry(MembershipConfig(), "vm2", 0.0)
    report(registry, 1, 0, 0.0)
    other._table.set_home("vm1", True, 0.0)
    other.merge([registry.outgoing("t", 0.1)], 0.1)
    report(registry, 2, 3000, 1.0)
    actions = other.merge([registry.outgoing("t", 1.1)], 1.1)
    assert [a.fanout for a in actions if isinstance(a, PushRecords)] == [3]
    assert other.warm_at("t") == 4.1
