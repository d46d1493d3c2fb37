"""One forwarded request against scripted targets: what is sent, and what the caller gets."""

from __future__ import annotations

import pytest
from scatter_fakes import FakePolicy, answer, begin, gather_route, single_route

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


def of(kind, actions):
    """Return the actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


def test_all_parts_are_merged_as_soon_as_the_last_one_is_in():
    execution, subs, _ = begin(gather_route(), FakePolicy())
    for service in ("s0", "s1", "s2"):
        assert execution.on_answer(subs[service].sub_id, answer(body=b"x" * 16), 0.02) == []
    [merged] = execution.on_answer(subs["s3"].sub_id, answer(), 0.03)
    assert isinstance(merged, Merged)
    assert [part.service for part in merged.parts] == ["s0", "s1", "s2", "s3"]
    assert merged.missing == 0


def test_a_paused_shard_is_hedged_and_the_overtaken_target_may_finish():
    """Load pattern: one replica pauses for longer than the objective."""
    execution, subs, _ = begin(gather_route(), FakePolicy())
    for service in ("s0", "s1", "s2"):
        execution.on_answer(subs[service].sub_id, answer(), 0.01)
    [hedge] = of(Forward, execution.tick(0.05))
    assert (hedge.service, hedge.target_id) == ("s3", "s3-1")
    actions = execution.on_answer(hedge.sub_id, answer(), 0.07)
    assert of(Cancel, actions) == [Cancel(subs["s3"].sub_id, "s3-0", True)]
    assert of(Merged, actions)[0].missing == 0


def test_a_straggler_is_left_out_when_the_objective_would_be_missed():
    """Load pattern: both replicas of a shard are slow; coverage is above the minimum."""
    execution, subs, _ = begin(gather_route(), FakePolicy())
    for service in ("s0", "s1", "s2"):
        execution.on_answer(subs[service].sub_id, answer(), 0.01)
    execution.tick(0.05)
    due = execution.next_deadline()
    assert 0.05 < due < 0.1
    merged = of(Merged, execution.tick(due))
    assert merged and merged[0].missing == 1


def test_below_the_minimum_coverage_no_answer_is_given_at_the_objective():
    execution, subs, _ = begin(gather_route(), FakePolicy())
    for service in ("s0", "s1"):
        execution.on_answer(subs[service].sub_id, answer(), 0.01)
    execution.tick(0.05)
    assert of(Merged, execution.tick(0.12)) == []
    actions = execution.on_answer(subs["s2"].sub_id, answer(), 0.25)
    assert of(Merged, actions)[0].missing == 1, "late already, so the coverage suffices"


def test_a_request_that_cannot_reach_its_coverage_is_refused_at_once():
    policy = FakePolicy(targets=1)
    execution, subs, _ = begin(gather_route(), policy)
    assert not of(Refusal, execution.on_failure(subs["s0"].sub_id, LOST, 0.01))
    actions = execution.on_failure(subs["s1"].sub_id, LOST, 0.01)
    [refusal] = of(Refusal, actions)
    assert not refusal.not_run, "the lost ones may have run"
    assert {c.sub_id for c in of(Cancel, actions)} == {subs["s2"].sub_id, subs["s3"].sub_id}
    assert not any(c.superseded for c in of(Cancel, actions))


LOST = SubFailure(FailureKind.LOST)
REFUSED = SubFailure(FailureKind.REFUSED)


def test_no_service_gets_more_targets_than_the_route_allows():
    execution, subs, _ = begin(gather_route(), FakePolicy(targets=5))
    [hedge] = [a for a in of(Forward, execution.tick(0.05)) if a.service == "s0"]
    assert of(Forward, execution.on_failure(subs["s0"].sub_id, LOST, 0.06)) == []
    assert of(Forward, execution.on_failure(hedge.sub_id, LOST, 0.06)) == []


def test_a_hedge_needs_budget():
    """Load pattern: all targets are slow, so that every request would like a second one."""
    execution, _, _ = begin(gather_route(), FakePolicy(extra=1))
    assert len(of(Forward, execution.tick(0.05))) == 1


def answered(route, policy, count: int, spacing_s: float, last_s: float):
    """Return an execution with its first parts in, evenly spaced until a time."""
    execution, subs, _ = begin(route, policy)
    for number in range(count):
        at = last_s - (count - 1 - number) * spacing_s
        execution.on_answer(subs[f"s{number}"].sub_id, answer(), at)
    return execution


@pytest.mark.parametrize(("parts_in", "hedges"), [(9, 0), (8, 0), (7, 1), (6, 2)])
def test_a_scarce_budget_goes_to_the_parts_without_which_there_is_no_answer(parts_in, hedges):
    """Load pattern: many targets are slow, and their service's budget is half used."""
    policy = FakePolicy()
    policy.scarce = True
    route = gather_route(shards=10, min_coverage=0.8)
    execution = answered(route, policy, parts_in, spacing_s=0.001, last_s=0.02)
    assert len(of(Forward, execution.tick(0.05))) == hedges
    assert of(Forward, execution.tick(0.07)) == [], "the hedged ones count as under way"


def test_no_hedge_is_sent_while_the_answers_of_many_shards_still_stream_in():
    """Load pattern: answers of many shards arrive one after the other over a thin link."""
    route = gather_route(shards=20, objective_s=0.2)
    execution = answered(route, FakePolicy(), 10, spacing_s=0.002, last_s=0.049)
    assert of(Forward, execution.tick(0.05)) == []
    due = execution.next_deadline()
    assert 0.05 < due < 0.061
    assert len(of(Forward, execution.tick(due))) == 10, "the stream has stopped"


def test_stragglers_are_hedged_although_another_answer_has_just_come():
    route = gather_route(shards=20, objective_s=0.2)
    execution = answered(route, FakePolicy(), 17, spacing_s=0.002, last_s=0.049)
    assert len(of(Forward, execution.tick(0.05))) == 3


def test_a_stream_that_is_too_slow_for_the_objective_is_hedged():
    route = gather_route(shards=20, objective_s=0.2)
    execution = answered(route, FakePolicy(), 10, spacing_s=0.005, last_s=0.099)
    assert len(of(Forward, execution.tick(0.1))) == 10


def test_hedges_that_find_no_budget_cost_little_processor_time():
    """Load pattern: dozens of shards are slow for seconds, and their budgets are used up."""
    policy = FakePolicy(extra=0)
    execution, _, _ = begin(gather_route(shards=54), policy)
    while not execution.ended:
        execution.tick(execution.next_deadline())
    assert policy.choices < 25 * 54


@pytest.mark.parametrize("kind", [FailureKind.LOST, FailureKind.GARBLED])
def test_a_request_that_may_have_run_is_not_repeated_unless_idempotent(kind):
    execution, subs, _ = begin(single_route(idempotent=False), FakePolicy())
    assert execution.tick(0.3) == [], "no hedge"
    actions = execution.on_failure(subs["records"].sub_id, SubFailure(kind), 0.4)
    assert not of(Forward, actions)
    assert not of(Refusal, actions)[0].not_run


@pytest.mark.parametrize("kind", [FailureKind.REFUSED, FailureKind.WRONG_TARGET])
def test_a_refused_request_goes_to_another_target_and_then_back_to_the_caller(kind):
    execution, subs, _ = begin(single_route(idempotent=False), FakePolicy())
    [second] = of(Forward, execution.on_failure(subs["records"].sub_id, SubFailure(kind), 0.01))
    [third] = of(Forward, execution.on_failure(second.sub_id, SubFailure(kind), 0.02))
    [refusal] = execution.on_failure(third.sub_id, SubFailure(kind), 0.03)
    assert refusal.not_run and refusal.retry_after_s > 0


def test_targets_that_refuse_are_no_attempts_but_take_budget():
    """Load pattern: half of the targets shed a part of their requests.

    The attempts of a route bound how many targets run a request; a refused one was not run.
    """
    policy = FakePolicy(targets=4, extra=1)
    execution, subs, _ = begin(gather_route(), policy)
    [second] = of(Forward, execution.on_failure(subs["s0"].sub_id, REFUSED, 0.01))
    assert not of(Forward, execution.on_failure(second.sub_id, REFUSED, 0.02)), "no budget is left"


def test_refusals_do_not_raise_the_number_of_targets_that_may_run_a_request():
    execution, subs, _ = begin(gather_route(), FakePolicy(targets=6))
    sub = subs["s0"]
    for now in (0.01, 0.02):
        [sub] = of(Forward, execution.on_failure(sub.sub_id, REFUSED, now))
    [sub] = of(Forward, execution.on_failure(sub.sub_id, LOST, 0.03))
    assert not of(Forward, execution.on_failure(sub.sub_id, LOST, 0.04)), "two may have run it"


def test_a_request_that_reached_no_target_costs_no_attempt():
    """Load pattern: several targets died and their addresses refuse connections."""
    execution, subs, _ = begin(single_route(idempotent=False), FakePolicy(targets=4, extra=0))
    sub = subs["records"]
    for _ in range(3):
        [sub] = of(Forward, execution.on_failure(sub.sub_id, SubFailure(FailureKind.NOT_SENT), 0.0))
    [done] = execution.on_answer(sub.sub_id, answer(), 0.1)
    assert isinstance(done, Answer)


def test_a_request_waits_while_all_targets_are_busy_and_goes_out_when_one_has_room():
    policy = FakePolicy(targets=2)
    policy.busy = {"records-0", "records-1"}
    execution, subs, _ = begin(single_route(), policy)
    assert not subs and execution.waiting == {"records"}
    policy.busy.clear()
    [sub] = of(Forward, execution.on_room("records", 0.1))
    assert sub.target_id == "records-0" and not execution.waiting


def test_a_refused_request_that_waited_for_room_needs_budget():
    """Load pattern: targets shed and all others are busy, so that refused requests queue up."""
    policy = FakePolicy(targets=3, extra=0)
    execution, subs, _ = begin(single_route(max_targets=3), policy)
    policy.busy = {"records-1", "records-2"}
    assert execution.on_failure(subs["records"].sub_id, REFUSED, 0.01) == []
    policy.busy.clear()
    [refusal] = execution.on_room("records", 0.1)
    assert isinstance(refusal, Refusal) and refusal.not_run


def test_a_request_that_still_waits_at_its_deadline_has_not_run():
    policy = FakePolicy(targets=1)
    policy.busy = {"records-0"}
    execution, _, _ = begin(single_route(timeout_s=0.5), policy)
    assert execution.next_deadline() == 0.5
    [refusal] = execution.tick(0.5)
    assert refusal.not_run


def test_a_request_that_is_at_work_at_its_timeout_promises_nothing():
    execution, subs, _ = begin(single_route(idempotent=False, timeout_s=0.5), FakePolicy())
    cancel, refusal = execution.tick(0.5)
    assert cancel == Cancel(subs["records"].sub_id, "records-0", False)
    assert not refusal.not_run


def test_without_any_target_the_request_is_refused_at_once():
    _, _, actions = begin(single_route(), FakePolicy(targets=0))
    [refusal] = actions
    assert refusal.not_run and refusal.retry_after_s > 0


def test_a_caller_that_left_cancels_everything():
    execution, _, _ = begin(gather_route(), FakePolicy())
    actions = execution.on_caller_gone(0.02)
    assert len(of(Cancel, actions)) == 4 and len(actions) == 4
    assert execution.tick(5.0) == []


def test_a_targets_own_failure_reaches_the_caller_when_the_retry_fails_too():
    execution, subs, _ = begin(single_route(), FakePolicy())
    own = answer(status=500)
    [retry] = of(Forward, execution.on_answer(subs["records"].sub_id, own, 0.01))
    [given] = execution.on_answer(retry.sub_id, own, 0.02)
    assert given == Answer(own)


def test_a_targets_refusal_of_the_content_is_no_failure():
    execution, subs, _ = begin(single_route(), FakePolicy())
    missing = answer(status=404)
    assert execution.on_answer(subs["records"].sub_id, missing, 0.01) == [Answer(missing)]


def test_answers_after_the_end_change_nothing():
    execution, subs, _ = begin(single_route(), FakePolicy())
    execution.on_answer(subs["records"].sub_id, answer(), 0.01)
    assert execution.on_answer(subs["records"].sub_id, answer(), 0.02) == []
    assert execution.on_failure(subs["records"].sub_id, REFUSED, 0.02) == []


def test_merged_records_are_the_greatest_of_all_parts_and_equal_ones_all_count():
    first = b"a" * 16 + b"c" * 16 + b"zz"  # a short rest is no record
    second = b"c" * 16 + b"b" * 16
    assert merge_records([first, second], 3) == b"c" * 16 + b"c" * 16 + b"b" * 16
    assert merge_records([], 3) == b""


def test_nothing_is_sent_if_the_answer_cannot_be_had():
    """Load pattern: after a loss of power few targets have reported; callers come back in time."""
    policy = FakePolicy()
    policy.absent = {"s0", "s1"}
    _, subs, actions = begin(gather_route(), policy)
    [refusal] = actions
    assert refusal.not_run and refusal.retry_after_s > 0 and not subs
