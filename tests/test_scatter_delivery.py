"""Network time of answers, and when to send one so that it meets the objective."""

from __future__ import annotations

import itertools

import pytest
from scatter_fakes import FakePolicy, gather_route, target_reply

from bramleycrank.scatter import Forward, Merged, ScatterExecution
from bramleycrank.scatter.delivery import ROUND_TRIP_S, TIMEOUT_PERIOD_S, DeliveryEstimate

ROUTE = gather_route(objective_s=0.074)


def test_network_time_includes_the_round_trip_and_the_transmission():
    """Load pattern: answers of 1,750 bytes over a link of 7 Mbit/s take 2 ms."""
    estimate = DeliveryEstimate(link_bytes_per_s=7e6 / 8)
    for _ in range(40):
        estimate.on_answer(ROUTE, 1750)
    assert estimate.network_time(ROUTE, 0.0064) == pytest.approx(0.0084, abs=1e-4)
    assert DeliveryEstimate().network_time(ROUTE, None) == ROUND_TRIP_S


def test_a_shorter_timeout_than_usual_counts_as_time_already_spent():
    """Load pattern: some requests need a new connection, which takes a round trip."""
    estimate = DeliveryEstimate()
    assert estimate.elapsed_before_arrival(ROUTE, 1.08, 0.0) == 0.0
    assert estimate.elapsed_before_arrival(ROUTE, 1.073, 1.0) == pytest.approx(0.007)
    assert estimate.elapsed_before_arrival(ROUTE, 1.08, 2.0) == 0.0


def test_a_missing_or_much_shorter_timeout_is_ignored():
    estimate = DeliveryEstimate()
    estimate.elapsed_before_arrival(ROUTE, 1.08, 0.0)
    assert estimate.elapsed_before_arrival(ROUTE, None, 1.0) == 0.0
    assert estimate.elapsed_before_arrival(ROUTE, 0.5, 1.0) == 0.0


def test_a_lasting_decrease_of_caller_timeouts_is_adopted():
    estimate = DeliveryEstimate()
    estimate.elapsed_before_arrival(ROUTE, 1.08, 0.0)
    for step in range(5):
        elapsed_s = estimate.elapsed_before_arrival(ROUTE, 1.04, step * TIMEOUT_PERIOD_S * 0.9)
    assert elapsed_s == 0.0


def test_state_of_removed_routes_is_deleted():
    estimate = DeliveryEstimate()
    estimate.elapsed_before_arrival(ROUTE, 1.08, 0.0)
    estimate.retain({ROUTE.name})
    assert estimate.elapsed_before_arrival(ROUTE, 1.04, 1.0) == pytest.approx(0.04)
    estimate.retain(())
    assert estimate.elapsed_before_arrival(ROUTE, 1.04, 2.0) == 0.0


def test_an_answer_is_sent_early_enough_for_its_network_time():
    """Load pattern: one shard stalls; the answer without it must meet the objective."""
    route = gather_route()
    execution = ScatterExecution(route, FakePolicy(), itertools.count(1), 0.0, 2.0, 0.02)
    subs = {a.service: a for a in execution.start(0.0) if isinstance(a, Forward)}
    for service in ("s0", "s1", "s2"):
        execution.on_reply(subs[service].sub_id, target_reply(), 0.01)
    execution.tick(0.05)
    due = execution.next_deadline()
    assert due + 0.02 < route.objective_s
    assert any(isinstance(action, Merged) for action in execution.tick(due))
