"""Execution of one forwarded request: its sub-requests and its final action."""

from __future__ import annotations

import pytest
from scatter_fakes import FakePolicy, begin, gather_route, single_route, target_reply

from bramleycrank.scatter import (
    Answer,
    Cancel,
    FailureKind,
    Forward,
    Merged,
    Refusal,
    SubFailure,
    merge_records,
)


def actions_of(kind, actions):
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


def test_parts_are_merged_as_soon_as_all_shards_have_replied():
    execution, subs, _ = begin(gather_route(), FakePolicy())
    for service in ("s0", "s1", "s2"):
        assert execution.on_reply(subs[service].sub_id, target_reply(body=b"x" * 16), 0.02) == []
    [merged] = execution.on_reply(subs["s3"].sub_id, target_reply(), 0.03)
    assert isinstance(merged, Merged)
    assert [part.service for part in merged.parts] == ["s0", "s1", "s2", "s3"]
    assert merged.missing == 0


def test_a_stalled_shard_is_hedged_and_the_superseded_target_may_finish():
    """Load pattern: one replica stalls for longer than the objective."""
    execution, subs, _ = begin(gather_route(), FakePolicy())
    for service in ("s0", "s1", "s2"):
        execution.on_reply(subs[service].sub_id, target_reply(), 0.01)
    [hedge] = actions_of(Forward, execution.tick(0.05))
    assert (hedge.service, hedge.target_id) == ("s3", "s3-1")
    actions = execution.on_reply(hedge.sub_id, target_reply(), 0.07)
    assert actions_of(Cancel, actions) == [Cancel(subs["s3"].sub_id, "s3-0", True)]
    assert actions_of(Merged, actions)[0].missing == 0


def test_a_straggler_is_omitted_when_the_objective_would_be_missed():
    """Load pattern: both replicas of a shard are slow; coverage is above the minimum."""
    execution, subs, _ = begin(gather_route(), FakePolicy())
    for service in ("s0", "s1", "s2"):
        execution.on_reply(subs[service].sub_id, target_reply(), 0.01)
    execution.tick(0.05)
    due = execution.next_deadline()
    assert 0.05 < due < 0.1
    merged = actions_of(Merged, execution.tick(due))
    assert merged and merged[0].missing == 1


def test_below_the_minimum_coverage_the_request_waits_beyond_the_objective():
    execution, subs, _ = begin(gather_route(), FakePolicy())
    for service in ("s0", "s1"):
        execution.on_reply(subs[service].sub_id, target_reply(), 0.01)
    execution.tick(0.05)
    assert actions_of(Merged, execution.tick(0.12)) == []
    actions = execution.on_reply(subs["s2"].sub_id, target_reply(), 0.25)
    assert actions_of(Merged, actions)[0].missing == 1, (
        "the objective is missed, so the minimum coverage is enough"
    )


def test_a_request_that_cannot_reach_its_minimum_coverage_is_refused_at_once():
    policy = FakePolicy(targets=1)
    execution, subs, _ = begin(gather_route(), policy)
    assert not actions_of(Refusal, execution.on_failure(subs["s0"].sub_id, LOST, 0.01))
    actions = execution.on_failure(subs["s1"].sub_id, LOST, 0.01)
    [refusal] = actions_of(Refusal, actions)
    assert not refusal.not_run, "lost sub-requests may have run"
    assert {c.sub_id for c in actions_of(Cancel, actions)} == {subs["s2"].sub_id, subs["s3"].sub_id}
    assert not any(c.superseded for c in actions_of(Cancel, actions))


LOST = SubFailure(FailureKind.LOST)
REFUSED = SubFailure(FailureKind.REFUSED)


def test_each_service_gets_at_most_max_targets_sub_requests():
    execution, subs, _ = begin(gather_route(), FakePolicy(targets=5))
    [hedge] = [a for a in actions_of(Forward, execution.tick(0.05)) if a.service == "s0"]
    assert actions_of(Forward, execution.on_failure(subs["s0"].sub_id, LOST, 0.06)) == []
    assert actions_of(Forward, execution.on_failure(hedge.sub_id, LOST, 0.06)) == []


def test_a_hedge_needs_retry_budget():
    """Load pattern: all targets are slow, so that every shard is due for a hedge."""
    execution, _, _ = begin(gather_route(), FakePolicy(extra_left=1))
    assert len(actions_of(Forward, execution.tick(0.05))) == 1


def execution_with_replies(route, policy, count: int, spacing_s: float, last_s: float):
    """Return an execution after `count` evenly spaced replies, the last one at `last_s`."""
    execution, subs, _ = begin(route, policy)
    for number in range(count):
        at = last_s - (count - 1 - number) * spacing_s
        execution.on_reply(subs[f"s{number}"].sub_id, target_reply(), at)
    return execution


@pytest.mark.parametrize(("reply_count", "hedges"), [(9, 0), (8, 0), (7, 1), (6, 2)])
def test_a_scarce_budget_is_reserved_for_the_minimum_coverage(reply_count, hedges):
    """Load pattern: many targets are slow and the retry budgets are low."""
    policy = FakePolicy()
    policy.scarce = True
    route = gather_route(shards=10, min_coverage=0.8)
    execution = execution_with_replies(route, policy, reply_count, spacing_s=0.001, last_s=0.02)
    assert len(actions_of(Forward, execution.tick(0.05))) == hedges
    assert actions_of(Forward, execution.tick(0.07)) == [], "hedged shards are not hedged again"


def test_no_hedge_is_sent_while_replies_arrive_in_a_steady_stream():
    """Load pattern: many replies arrive one after another over a link of low bandwidth."""
    route = gather_route(shards=20, objective_s=0.2)
    execution = execution_with_replies(route, FakePolicy(), 10, spacing_s=0.002, last_s=0.049)
    assert actions_of(Forward, execution.tick(0.05)) == []
    due = execution.next_deadline()
    assert 0.05 < due < 0.061
    assert len(actions_of(Forward, execution.tick(due))) == 10, "the stream has stopped"


def test_stragglers_are_hedged_although_a_reply_has_just_arrived():
    route = gather_route(shards=20, objective_s=0.2)
    execution = execution_with_replies(route, FakePolicy(), 17, spacing_s=0.002, last_s=0.049)
    assert len(actions_of(Forward, execution.tick(0.05))) == 3


def test_a_stream_that_is_too_slow_for_the_objective_is_hedged():
    route = gather_route(shards=20, objective_s=0.2)
    execution = execution_with_replies(route, FakePolicy(), 10, spacing_s=0.005, last_s=0.099)
    assert len(actions_of(Forward, execution.tick(0.1))) == 10


def test_hedges_without_budget_are_rechecked_rarely():
    """Load pattern: dozens of shards are slow for seconds and the retry budgets are used up.

    Guards against a loop of checks that uses much processor time.
    """
    policy = FakePolicy(extra_left=0)
    execution, _, _ = begin(gather_route(shards=54), policy)
    while not execution.ended:
        execution.tick(execution.next_deadline())
    assert policy.choose_calls < 25 * 54


@pytest.mark.parametrize("kind", [FailureKind.LOST, FailureKind.GARBLED])
def test_a_non_idempotent_request_that_may_have_run_is_not_retried(kind):
    execution, subs, _ = begin(single_route(idempotent=False), FakePolicy())
    assert execution.tick(0.3) == [], "no hedge"
    actions = execution.on_failure(subs["records"].sub_id, SubFailure(kind), 0.4)
    assert not actions_of(Forward, actions)
    assert not actions_of(Refusal, actions)[0].not_run


@pytest.mark.parametrize("kind", [FailureKind.REFUSED, FailureKind.WRONG_TARGET])
def test_a_refused_request_is_retried_and_finally_refused_as_not_run(kind):
    execution, subs, _ = begin(single_route(idempotent=False), FakePolicy())
    [second] = actions_of(
        Forward, execution.on_failure(subs["records"].sub_id, SubFailure(kind), 0.01)
    )
    [third] = actions_of(Forward, execution.on_failure(second.sub_id, SubFailure(kind), 0.02))
    [refusal] = execution.on_failure(third.sub_id, SubFailure(kind), 0.03)
    assert refusal.not_run and refusal.retry_after_s > 0


def test_refused_sub_requests_are_no_attempts_but_cost_budget():
    """Load pattern: half of the targets shed a part of their requests.

    Attempts bound how many targets run a request; a refused sub-request did not run.
    """
    policy = FakePolicy(targets=4, extra_left=1)
    execution, subs, _ = begin(gather_route(), policy)
    [second] = actions_of(Forward, execution.on_failure(subs["s0"].sub_id, REFUSED, 0.01))
    assert not actions_of(Forward, execution.on_failure(second.sub_id, REFUSED, 0.02)), (
        "no budget is left"
    )


def test_refusals_do_not_raise_the_limit_on_targets_that_may_run_a_request():
    execution, subs, _ = begin(gather_route(), FakePolicy(targets=6))
    sub = subs["s0"]
    for now in (0.01, 0.02):
        [sub] = actions_of(Forward, execution.on_failure(sub.sub_id, REFUSED, now))
    [sub] = actions_of(Forward, execution.on_failure(sub.sub_id, LOST, 0.03))
    assert not actions_of(Forward, execution.on_failure(sub.sub_id, LOST, 0.04)), (
        "two targets may have run it"
    )


def test_a_sub_request_that_was_not_sent_costs_no_attempt_or_budget():
    """Load pattern: several targets crashed and their addresses refuse connections."""
    execution, subs, _ = begin(single_route(idempotent=False), FakePolicy(targets=4, extra_left=0))
    sub = subs["records"]
    for _ in range(3):
        [sub] = actions_of(
            Forward, execution.on_failure(sub.sub_id, SubFailure(FailureKind.NOT_SENT), 0.0)
        )
    [action] = execution.on_reply(sub.sub_id, target_reply(), 0.1)
    assert isinstance(action, Answer)


def test_a_request_waits_while_all_targets_are_busy_and_is_sent_when_one_is_free():
    policy = FakePolicy(targets=2)
    policy.busy = {"records-0", "records-1"}
    execution, subs, _ = begin(single_route(), policy)
    assert not subs and execution.waiting == {"records"}
    policy.busy.clear()
    [sub] = actions_of(Forward, execution.on_capacity("records", 0.1))
    assert sub.target_id == "records-0" and not execution.waiting


def test_a_refused_request_that_waited_for_a_target_needs_budget():
    """Load pattern: some targets shed and all others are busy, so that refused requests wait."""
    policy = FakePolicy(targets=3, extra_left=0)
    execution, subs, _ = begin(single_route(max_targets=3), policy)
    policy.busy = {"records-1", "records-2"}
    assert execution.on_failure(subs["records"].sub_id, REFUSED, 0.01) == []
    policy.busy.clear()
    [refusal] = execution.on_capacity("records", 0.1)
    assert isinstance(refusal, Refusal) and refusal.not_run


def test_a_request_that_is_still_waiting_at_its_timeout_has_not_run():
    policy = FakePolicy(targets=1)
    policy.busy = {"records-0"}
    execution, _, _ = begin(single_route(timeout_s=0.5), policy)
    assert execution.next_deadline() == 0.5
    [refusal] = execution.tick(0.5)
    assert refusal.not_run


def test_a_request_that_is_in_flight_at_its_timeout_may_have_run():
    execution, subs, _ = begin(single_route(idempotent=False, timeout_s=0.5), FakePolicy())
    cancel, refusal = execution.tick(0.5)
    assert cancel == Cancel(subs["records"].sub_id, "records-0", False)
    assert not refusal.not_run


def test_a_request_without_any_target_is_refused_at_once():
    _, _, actions = begin(single_route(), FakePolicy(targets=0))
    [refusal] = actions
    assert refusal.not_run and refusal.retry_after_s > 0


def test_a_disconnect_of_the_caller_cancels_all_sub_requests():
    execution, _, _ = begin(gather_route(), FakePolicy())
    actions = execution.on_caller_disconnected(0.02)
    assert len(actions_of(Cancel, actions)) == 4 and len(actions) == 4
    assert execution.tick(5.0) == []


def test_an_error_reply_is_passed_on_when_the_retry_fails_too():
    execution, subs, _ = begin(single_route(), FakePolicy())
    error_reply = target_reply(status=500)
    [retry] = actions_of(Forward, execution.on_reply(subs["records"].sub_id, error_reply, 0.01))
    [action] = execution.on_reply(retry.sub_id, error_reply, 0.02)
    assert action == Answer(error_reply)


def test_a_client_error_of_a_target_is_passed_on_without_retry():
    execution, subs, _ = begin(single_route(), FakePolicy())
    not_found = target_reply(status=404)
    assert execution.on_reply(subs["records"].sub_id, not_found, 0.01) == [Answer(not_found)]


def test_replies_after_the_end_have_no_effect():
    execution, subs, _ = begin(single_route(), FakePolicy())
    execution.on_reply(subs["records"].sub_id, target_reply(), 0.01)
    assert execution.on_reply(subs["records"].sub_id, target_reply(), 0.02) == []
    assert execution.on_failure(subs["records"].sub_id, REFUSED, 0.02) == []


def test_merge_returns_the_greatest_records_and_keeps_duplicates():
    first = b"a" * 16 + b"c" * 16 + b"zz"  # trailing bytes shorter than a record
    second = b"c" * 16 + b"b" * 16
    assert merge_records([first, second], 3) == b"c" * 16 + b"c" * 16 + b"b" * 16
    assert merge_records([], 3) == b""


def test_nothing_is_sent_if_the_minimum_coverage_is_out_of_reach():
    """Load pattern: after a power loss few targets have reported yet; callers retry later."""
    policy = FakePolicy()
    policy.services_without_targets = {"s0", "s1"}
    _, subs, actions = begin(gather_route(), policy)
    [refusal] = actions
    assert refusal.not_run and refusal.retry_after_s > 0 and not subs


@pytest.mark.parametrize("end", ["timeout", "disconnect", "stop"])
def test_a_request_that_ended_while_it_waited_is_not_sent_later(end):
    """Guards against a request that runs after its caller got a 503."""
    policy = FakePolicy(targets=1)
    policy.busy = {"records-0"}
    execution, sent, _ = begin(single_route(idempotent=False), policy)
    assert not sent and execution.waiting
    if end == "timeout":
        assert execution.tick(2.0)[-1].not_run
    elif end == "stop":
        assert execution.stop(0.5)[-1].not_run
    else:
        execution.on_caller_disconnected(0.5)
    policy.busy.clear()
    assert not execution.on_capacity("records", 2.1)
    assert not execution.waiting and not policy.sent
