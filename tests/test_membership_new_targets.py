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
