"""Retry budget, summed over VMs."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from bramleycrank.scatter.budget import RetryBudget, RetryBudgetConfig

CFG = RetryBudgetConfig(ratio=0.2, window_s=10.0, slack=58.0)


@given(
    st.integers(1, 9),
    st.lists(st.tuples(st.floats(0, 0.2), st.booleans(), st.integers(0, 8)), max_size=400),
)
def test_the_sum_over_all_vms_stays_within_the_bound_in_every_window(vm_count, events):
    """Guards against a bound that each VM keeps but all VMs together exceed."""
    budgets = [RetryBudget(CFG) for _ in range(vm_count)]
    now, request_times, extra_times = 0.0, [], []
    for interval_s, wants_extra, vm in events:
        now += interval_s
        budget = budgets[vm % vm_count]
        if wants_extra:
            if budget.try_spend(vm_count, now):
                extra_times.append(now)
        else:
            budget.add_request(now)
            request_times.append(now)
    for end in extra_times:
        sent = sum(end - CFG.window_s < at <= end for at in extra_times)
        requests = sum(end - 2 * CFG.window_s <= at <= end for at in request_times)
        assert sent <= CFG.ratio * requests + CFG.slack


def test_a_vm_without_requests_is_limited_to_its_share_of_the_slack():
    budget = RetryBudget(CFG)
    assert sum(budget.try_spend(8, 0.0) for _ in range(100)) == 5
    assert not budget.try_spend(8, 9.0)
    assert budget.try_spend(8, 10.1)
    assert budget.denied == 96
