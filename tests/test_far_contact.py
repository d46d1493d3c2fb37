"""Whether a VM finds out that its failure domain is cut off."""

from __future__ import annotations

from types import SimpleNamespace

from bramleycrank.daemon.far_contact import CUT_SILENCE_S, FarContact
from bramleycrank.proto.peer_pb2 import ConfigStatus, VmRecord

VMS = [
    VmRecord(vm_id="near", domain="a", host="10.0.0.1", port=7),
    VmRecord(vm_id="far", domain="b", host="10.0.0.2", port=7),
]


def contact() -> tuple[FarContact, list[float]]:
    now = [0.0]
    return FarContact("a", SimpleNamespace(vms=lambda: VMS), lambda: now[0]), now


def test_silence_of_all_other_domains_means_a_cut():
    watch, now = contact()
    watch.on_gossip("10.0.0.2:7", ConfigStatus())
    now[0] = CUT_SILENCE_S + 0.1
    watch.on_gossip("10.0.0.1:7", ConfigStatus())
    assert watch.cut_off
    watch.on_gossip("10.0.0.2:7", ConfigStatus())
    assert not watch.cut_off


def test_a_system_of_one_domain_is_never_cut_off():
    watch, now = contact()
    watch.on_gossip("10.0.0.1:7", ConfigStatus())
    now[0] = 60.0
    assert not watch.cut_off
