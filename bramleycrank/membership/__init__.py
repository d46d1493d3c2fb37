"""Membership of VMs and registry of targets, free of I/O."""

from bramleycrank.membership.target_registry import TargetRegistry
from bramleycrank.membership.types import (
    MembershipConfig,
    PushRecords,
    RelayProbe,
    SendProbe,
    SendSync,
    TargetChanged,
    VmChanged,
)
from bramleycrank.membership.vm_membership import VmMembership

__all__ = [
    "MembershipConfig",
    "PushRecords",
    "RelayProbe",
    "SendProbe",
    "SendSync",
    "TargetChanged",
    "TargetRegistry",
    "VmChanged",
    "VmMembership",
]
