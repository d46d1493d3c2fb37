"""When an answer has to leave so that it reaches its caller within the objective."""

from __future__ import annotations

import itertools

import pytest
from scatter_fakes import FakePolicy, answer, gather_route

from bramleycrank.scatter import Forward, Merged, ScatterExecution
from bramleycrank.scatter.delivery import FULL_WAIT_MEMORY_S, ROUND_TRIP_S, DeliveryEstimate

ROUTE = gather_route(objective_s=0.074)


def test_the_way_holds_the_round_trip_and_the_bytes_on_the_link():
    """Load pattern: answers of 1,750 bytes over a link of 7 Mbit/s take 2 ms."""
    estimate = DeliveryEstimate(link_bytes_per_s=7e6 / 8)
    for _ in range(40):
        estimate.on_answer(ROUTE, 1750)
    assert estimate.way(ROUTE, 0.0064) == pytest.approx(0.0084, abs=1e-4)
    assert DeliveryEstimate().way(ROUTE, None) == ROUND_TRIP_S


def test_a_caller_that_waits_less_than_the_others_has_waited_before():
    """Load pattern: callers open connections for some requests, which takes a round trip."""
    estimate = DeliveryEstimate()
    assert estimate.passed(ROUTE, 1.08, 0.0) == 0.0
    assert estimate.passed(ROUTE, 1.073, 1.0) == pytest.approx(0.007)
    assert estimate.passed(ROUTE, 1.08, 2.0) == 0.0


def test_nothing_is_concluded_from_a_caller_that_does_not_say_or_waits_much_less():
    estimate = DeliveryEstimate()
    estimate.passed(ROUTE, 1.08, 0.0)
    assert estimate.passed(ROUTE, None, 1.0) == 0.0
    assert estimate.passed(ROUTE, 0.5, 1.0) == 0.0


def test_a_route_whose_callers_wait_less_from_now_on_is_learnt_anew():
    estimate = DeliveryEstimate()
    estimate.passed(ROUTE, 1.08, 0.0)
    for step in range(5):
        passed_s = estimate.passed(ROUTE, 1.04, step * FULL_WAIT_MEMORY_S * 0.9)
    assert passed_s == 0.0


def test_routes_that_are_gone_are_forgotten():
    estimate = DeliveryEstimate()
    estimate.passed(ROUTE, 1.08, 0.0)
    estimate.retain({ROUTE.name})
    assert estimate.passed(ROUTE, 1.04, 1.0) == pytest.approx(0.04)
    estimate.retain(())
    assert estimate.passed(ROUTE, 1.04, 2.0) == 0.0


def test_an_answer_leaves_early_enough_for_its_way():
    """Load pattern: one shard pauses, and the answer without it has to be in time."""
    route = gather_route()
    execution = ScatterExecution(route, FakePolicy(), itertools.count(1), 0.0, 2.0, 0.02)
    subs = {a.service: a for a in execution.start(0.0) if isinstance(a, Forward)}
    for service in ("s0", "s1", "s2"):
        execution.on_answer(subs[service].sub_id, answer(), 0.01)
    execution.tick(0.05)
    due = execution.next_deadline()
    assert due + 0.02 < route.objective_s
    assert any(isinstance(action, Merged) for action in execution.tick(due))
