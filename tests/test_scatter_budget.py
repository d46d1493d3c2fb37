"""The budget for extra sub-requests, summed over VMs."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from bramleycrank.scatter.budget import ExtraBudget, ExtraConfig

CFG = ExtraConfig(ratio=0.2, window_s=10.0, slack=58.0)


@given(
    st.integers(1, 9),
    st.lists(st.tuples(st.floats(0, 0.2), st.booleans(), st.integers(0, 8)), max_size=400),
)
def test_all_vms_together_stay_within_the_bound_in_every_window(vms, events):
    """Guards against a bound that holds for each VM and not for all of them."""
    budgets = [ExtraBudget(CFG) for _ in range(vms)]
    now, firsts, extras = 0.0, [], []
    for pause_s, wants_extra, vm in events:
        now += pause_s
        budget = budgets[vm % vms]
        if wants_extra:
            if budget.take(vms, now):
                extras.append(now)
        else:
            budget.earn(now)
            firsts.append(now)
    for end in extras:
        inside = sum(end - CFG.window_s < at <= end for at in extras)
        earned = sum(end - 2 * CFG.window_s <= at <= end for at in firsts)
        assert inside <= CFG.ratio * earned + CFG.slack


def test_a_calm_vm_may_send_its_part_of_the_slack_and_no_more():
    budget = ExtraBudget(CFG)
    assert sum(budget.take(8, 0.0) for _ in range(100)) == 5
    assert not budget.take(8, 9.0)
    assert budget.take(8, 10.1)
    assert budget.denied == 96
