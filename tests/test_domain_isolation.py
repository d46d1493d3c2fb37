"""Tests the detection that a failure domain is isolated from all others."""

from __future__ import annotations

from types import SimpleNamespace

from bramleycrank.daemon.domain_isolation import ISOLATION_SILENCE_S, DomainIsolation
from bramleycrank.proto.peer_pb2 import ConfigStatus, VmRecord

VMS = [
    VmRecord(vm_id="near", domain="a", host="10.0.0.1", port=7),
    VmRecord(vm_id="far", domain="b", host="10.0.0.2", port=7),
]


def make_detector() -> tuple[DomainIsolation, list[float]]:
    now = [0.0]
    return DomainIsolation("a", SimpleNamespace(vms=lambda: VMS), lambda: now[0]), now


def test_silence_of_all_other_domains_means_isolation():
    detector, now = make_detector()
    detector.on_gossip("10.0.0.2:7", ConfigStatus())
    now[0] = ISOLATION_SILENCE_S + 0.1
    detector.on_gossip("10.0.0.1:7", ConfigStatus())
    assert detector.is_isolated
    detector.on_gossip("10.0.0.2:7", ConfigStatus())
    assert not detector.is_isolated


def test_only_domain_of_a_system_is_never_isolated():
    detector, now = make_detector()
    detector.on_gossip("10.0.0.1:7", ConfigStatus())
    now[0] = 60.0
    assert not detector.is_isolated
