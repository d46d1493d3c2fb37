"""Checks the guarantees of the product on the observations of callers and targets."""

from __future__ import annotations

import heapq
import itertools
import math
from collections import Counter
from collections.abc import Iterator

import attrs

from soak import customers
from soak.callers import Outcome
from soak.faults import CUT, Event
from soak.targets import HOLD_S, RECORD_BYTES, TargetObservations, records

SHARDS = ("s0", "s1", "s2", "s3")
SINGLE = "single"
MIN_COVERAGE = 0.75
MAX_ATTEMPTS = 2
RETRY_WINDOW_S, RETRY_BUDGET_RATIO, RETRY_SLACK = 10.0, 0.2, 50
"""Bounds of extra sub-requests in the settings that `harness.platform_fleet` writes."""

LOSS_SLACK_S = 0.2
"""Time after which a request may not end without an answer even if no target received it.

A connection that closes before the VM has read the request may lose it.
"""

HOLD_SLACK_S, MAX_HOLD_TRIALS = 0.5, 2
"""Start of the checked part of a hold, and the number of requests allowed in it."""

DRAIN_S = 3.0
"""Time after which a leaving target may get no more requests; `Bounds.DrainTimeoutMs`."""

CONTACT_S = 4.0
"""Time from the beginning of a cut after which a cut VM has to serve; `ContactMs`."""

MIN_CUT_SHARE = 2 / 3
"""Least share of requests that a cut VM serves, as a multiple of that of the others."""

TIMEOUT_S = 2.0
"""Timeout of the routes; callers wait half a second longer."""

MAX_UNANSWERED, MAX_UNANSWERED_SHARE = 7, 1 / 4
"""Most requests beyond the timeout that may have no answer while their callers wait."""

MAX_LISTED_VIOLATIONS = 20
"""Maximum number of violations that a report lists."""


@attrs.define
class Evidence:
    """What a run recorded for the checks.

    Parameters
    ----------
    top_ks : set of int
        Values of `TopK` over all versions of the route.
    tables : list of Table, optional
        Tables of customers in the order of their versions; empty if the run has no customers.
    """

    outcomes: list[Outcome]
    observations: TargetObservations
    events: list[Event]
    top_ks: set[int]
    tables: list[customers.Table] = attrs.field(factory=list)

    def owed(self) -> Evidence:
        """Return the evidence without requests that their key or allowance may have stopped."""
        if not self.tables:
            return self
        outcomes = [
            outcome
            for outcome in self.outcomes
            if outcome.status not in (401, 429) and not outcome.key.startswith(customers.FLOODING)
        ]
        return attrs.evolve(self, outcomes=outcomes)


def violations(evidence: Evidence) -> list[str]:
    """Return a description of each violated guarantee."""
    found = [
        *_check_answers(evidence),
        *_check_executions(evidence),
        *_check_planned_stops(evidence),
        *_check_retry_budgets(evidence.owed()),
        *_check_holds_and_leaving(evidence),
        *_check_acknowledged_leaves(evidence),
        *_check_cut_vms(evidence.owed()),
        *_check_timeouts(evidence),
        *_check_customers(evidence),
    ]
    return found[:MAX_LISTED_VIOLATIONS] + (
        [f"and {len(found) - MAX_LISTED_VIOLATIONS} more"]
        if len(found) > MAX_LISTED_VIOLATIONS
        else []
    )


def _check_customers(evidence: Evidence) -> Iterator[str]:
    if evidence.tables:
        yield from customers.violations(
            evidence.tables, evidence.outcomes, evidence.observations, evidence.events
        )


def _check_answers(evidence: Evidence) -> Iterator[str]:
    for outcome in evidence.outcomes:
        if outcome.status == 503 and evidence.observations.runs.get(outcome.request_id):
            yield f"{outcome.request_id}: refused with status 503, but a target ran it"
        if outcome.status == 200:
            error = _answer_error(outcome, evidence)
            if error:
                yield f"{outcome.request_id} {outcome.path}: {error}"


def _answer_error(outcome: Outcome, evidence: Evidence) -> str:
    is_gather = outcome.path.startswith("/all")
    field = outcome.headers.get("x-part-stamps" if is_gather else "x-server-stamp", "")
    receipts = [evidence.observations.receipts.get(r) for r in field.split(", ")]
    if not all(receipts) or any(request_id != outcome.request_id for _, request_id in receipts):
        return f"a receipt belongs to another request: {field}"
    services = [service for service, _ in receipts]
    if not is_gather:
        expected = records(SINGLE, outcome.request_id)
        return "" if services == [SINGLE] and outcome.body == expected else "unexpected body"
    missing = int(outcome.headers.get("x-missing-parts", "-1"))
    if len(set(services)) != len(services) or not set(services) <= set(SHARDS):
        return f"unexpected or duplicate parts: {services}"
    if len(services) + missing != len(SHARDS) or len(services) < MIN_COVERAGE * len(SHARDS):
        return f"{len(services)} parts and {missing} missing"
    expected = b"".join(records(service, outcome.request_id) for service in services)
    all_records = [expected[i : i + RECORD_BYTES] for i in range(0, len(expected), RECORD_BYTES)]
    bodies = {b"".join(heapq.nlargest(top_k, all_records)) for top_k in evidence.top_ks}
    return "" if outcome.body in bodies else "the body is not the greatest records of its parts"


def _check_executions(evidence: Evidence) -> Iterator[str]:
    paths = {outcome.request_id: outcome.path for outcome in evidence.outcomes}
    for request_id, runs in evidence.observations.runs.items():
        max_runs = 1 if paths.get(request_id, "").startswith("/order") else MAX_ATTEMPTS
        services = Counter(target_id.partition("-")[0] for target_id in runs)
        for service, count in services.items():
            if count > max_runs:
                yield f"{request_id}: run {count} times for {service}"


def _check_planned_stops(evidence: Evidence) -> Iterator[str]:
    """Yield requests that a planned stop interrupted."""
    for event in evidence.events:
        if event.what != "stop":
            continue
        for outcome in evidence.outcomes:
            is_interrupted = outcome.entry == event.where and outcome.status == -1
            if not is_interrupted or not event.since <= outcome.ended <= event.until:
                continue
            is_forwarded = outcome.request_id in evidence.observations.runs
            if is_forwarded or outcome.ended - outcome.sent > LOSS_SLACK_S:
                yield f"{outcome.request_id}: interrupted by the stop of {event.where}"


def _check_holds_and_leaving(evidence: Evidence) -> Iterator[str]:
    """Yield targets that a VM kept asking after they sent it a hold or announced to leave."""
    observations = evidence.observations
    entry_by_request = {outcome.request_id: outcome.entry for outcome in evidence.outcomes}
    for target_id, signals in observations.holds.items():
        for at, request_id in signals:
            entry = entry_by_request.get(request_id)
            unwanted_ids = _requests_in_period(
                evidence, entry_by_request, target_id, entry, at + HOLD_SLACK_S, at + HOLD_S
            )
            if len(unwanted_ids) > MAX_HOLD_TRIALS:
                yield f"{target_id}: {len(unwanted_ids)} requests during its hold: {unwanted_ids}"
    for target_id, signals in observations.leaves.items():
        first_signal = {
            entry_by_request.get(request_id): at for at, request_id in reversed(signals)
        }
        for entry, at in first_signal.items():
            until = min((t for t in observations.restarts[target_id] if t > at), default=math.inf)
            unwanted_ids = _requests_in_period(
                evidence, entry_by_request, target_id, entry, at + DRAIN_S, until
            )
            if unwanted_ids:
                yield f"{target_id}: requests after it announced that it leaves: {unwanted_ids}"


def _check_acknowledged_leaves(evidence: Evidence) -> Iterator[str]:
    """Yield targets that a VM without a fault asked long after their leave was acknowledged."""
    observations = evidence.observations
    entry_by_request = {outcome.request_id: outcome.entry for outcome in evidence.outcomes}
    for target_id, times in observations.acknowledged_leaves.items():
        for at, entry in itertools.product(times, sorted(set(entry_by_request.values()))):
            until = min((t for t in observations.restarts[target_id] if t > at), default=math.inf)
            unwanted_ids = _requests_in_period(
                evidence, entry_by_request, target_id, entry, at + DRAIN_S, until
            )
            if unwanted_ids:
                yield f"{target_id}: requests after its acknowledged leave: {unwanted_ids}"


def _check_cut_vms(evidence: Evidence) -> Iterator[str]:
    """Yield VMs that were cut off from the targets and served far less than the others."""
    for event in evidence.events:
        if not event.what.startswith(CUT):
            continue
        since = event.since + CONTACT_S
        period = [o for o in evidence.outcomes if since < o.sent and o.ended < event.until]
        disturbed = {
            other.where
            for other in evidence.events
            if other is not event
            and other.since < event.until
            and (other.until or math.inf) > event.since
        }
        at_cut = [o.status == 200 for o in period if o.entry == event.where]
        at_others = [o.status == 200 for o in period if o.entry not in (event.where, *disturbed)]
        if event.where in disturbed or not at_cut or not at_others:
            continue
        failed = len(at_cut) - sum(at_cut)
        served_share, usual_share = (sum(r) / len(r) for r in (at_cut, at_others))
        if served_share < MIN_CUT_SHARE * usual_share and failed > 10 + len(period) / 50:
            yield f"{event.where}: {failed} of {len(at_cut)} requests not served while cut off"


def _check_timeouts(evidence: Evidence) -> Iterator[str]:
    """Yield that requests to VMs without a fault of their own outlast the timeout."""
    slow = [
        outcome
        for outcome in evidence.outcomes
        if outcome.ended - outcome.sent > TIMEOUT_S
        and not any(
            event.where == outcome.entry
            and not event.what.startswith(CUT)
            and event.since < outcome.ended
            and (event.until or math.inf) > outcome.sent - CONTACT_S
            for event in evidence.events
        )
    ]
    late = [outcome.request_id for outcome in slow if outcome.status == -2]
    if len(late) > max(MAX_UNANSWERED, MAX_UNANSWERED_SHARE * len(slow)):
        yield f"{len(late)} of {len(slow)} requests have no answer {TIMEOUT_S} s on: {late[:5]}"


def _requests_in_period(
    evidence: Evidence,
    entry_by_request: dict[str, str],
    target_id: str,
    entry: str | None,
    since: float,
    until: float,
) -> list[str]:
    """Return the requests of one VM that reached a target in a period.

    The result is empty if a fault affected the VM around that period.
    """
    is_faulty = any(
        event.where == entry and (event.until or math.inf) > since - DRAIN_S and event.since < until
        for event in evidence.events
    )
    if entry is None or is_faulty:
        return []
    requests = evidence.observations.target_requests[target_id]
    return [
        request_id
        for at, request_id in requests
        if since < at < until and entry_by_request.get(request_id) == entry
    ]


def _check_retry_budgets(evidence: Evidence) -> Iterator[str]:
    for service, received in evidence.observations.service_requests.items():
        is_single = service == SINGLE
        sent_times = sorted(
            o.sent for o in evidence.outcomes if o.path.startswith("/all") != is_single
        )
        seen_ids: set[str] = set()
        extra_times = []
        for at, request_id in received:
            if request_id in seen_ids:
                extra_times.append(at)
            seen_ids.add(request_id)
        for end in extra_times:
            extra_count = sum(end - RETRY_WINDOW_S < at <= end for at in extra_times)
            # The retry rules count the requests of this window or of an earlier one, whichever
            # has more.
            requests = max(
                sum(end - offset_s - RETRY_WINDOW_S < at <= end - offset_s for at in sent_times)
                for offset_s in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            if extra_count > math.ceil(RETRY_BUDGET_RATIO * requests) + RETRY_SLACK:
                yield f"{service}: {extra_count} extra sub-requests for {requests} requests"
                break
