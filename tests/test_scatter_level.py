"""Choice of the VMs that gather for others, and the division of the shared budgets."""

from __future__ import annotations

import pytest

from bramleycrank.scatter.level import MIN_VMS, VMS_PER_GATHERER, GatherLevel, choose_gatherers

FLEET = [(f"vm{n}", "abc"[n % 3]) for n in range(90)]


def levels(vms):
    result = {}
    for vm_id, domain in vms:
        result[vm_id] = GatherLevel(vm_id, domain)
        result[vm_id].set_vms(vms)
    return result


def test_all_vms_of_a_domain_choose_the_same_gatherers():
    fleet = levels(FLEET)
    for domain in "abc":
        chosen = {fleet[vm_id].gatherers for vm_id, of in FLEET if of == domain}
        assert len(chosen) == 1
        [gatherers] = chosen
        assert len(gatherers) == -(-30 // VMS_PER_GATHERER)
        assert all(dict(FLEET)[vm_id] == domain for vm_id in gatherers)


def test_parts_of_the_budgets_add_up_to_the_whole():
    """Guards against budgets that the gatherers and the others exceed together."""
    fleet = levels(FLEET)
    assert sum(level.share_factor for level in fleet.values()) == pytest.approx(len(FLEET))
    mixed = [*FLEET, *((f"small{n}", "small") for n in range(MIN_VMS - 1))]
    assert sum(v.share_factor for v in levels(mixed).values()) == pytest.approx(len(mixed))


def test_a_vm_that_leaves_replaces_one_gatherer_at_most():
    """Load pattern: a rolling restart; connections and observations of the others stay valid."""
    vm_ids = [vm_id for vm_id, domain in FLEET if domain == "a"]
    before = set(choose_gatherers(vm_ids))
    for leaving in vm_ids:
        after = set(choose_gatherers([vm_id for vm_id in vm_ids if vm_id != leaving]))
        assert len(before - after) <= 1


def test_vms_of_a_small_domain_gather_for_themselves():
    level = GatherLevel("vm0", "a")
    level.set_vms([(f"vm{n}", "a") for n in range(MIN_VMS - 1)])
    assert not level.gatherers and not level.is_gatherer and level.share_factor == 1.0
