"""The promises of the product, checked on what callers and targets saw."""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Iterator

import attrs

from soak.callers import Outcome
from soak.faults import Event
from soak.targets import HOLD_S, RECORD_BYTES, Ledger, records

SHARDS = ("s0", "s1", "s2", "s3")
SINGLE = "single"
MIN_COVERAGE = 0.75
MAX_ATTEMPTS = 2
WINDOW_S, RATIO, SLACK = 10.0, 0.2, 50
"""Bounds of the extra sub-requests that `harness.platform_fleet` gives to the processes."""

LOSS_SLACK_S = 0.2
"""Time after which a request that was not passed on must not end without an answer."""

HOLD_SLACK_S, HOLD_TRIALS = 0.5, 2
"""Time after a refusal from which no more than some requests may come until its hold ends."""

DRAIN_S = 3.0
"""Time after which a VM must have stopped asking a target that leaves; `Bounds.DrainTimeoutMs`."""

SHOWN = 20
"""Violations of a kind that a report names."""


@attrs.define
class Evidence:
    """What a run left behind.

    Parameters
    ----------
    tops : set of int
        Numbers of records that the versions of the route asked for.
    """

    outcomes: list[Outcome]
    ledger: Ledger
    events: list[Event]
    tops: set[int]


def violations(evidence: Evidence) -> list[str]:
    """Return what broke a promise, in words."""
    found = [
        *_answers(evidence),
        *_runs(evidence),
        *_stops(evidence),
        *_budgets(evidence),
        *_wishes(evidence),
    ]
    return found[:SHOWN] + ([f"and {len(found) - SHOWN} more"] if len(found) > SHOWN else [])


def _answers(evidence: Evidence) -> Iterator[str]:
    for outcome in evidence.outcomes:
        if outcome.status == 503 and evidence.ledger.runs.get(outcome.request_id):
            yield f"{outcome.request_id}: refused as not run, but run"
        if outcome.status == 200:
            problem = _problem(outcome, evidence)
            if problem:
                yield f"{outcome.request_id} {outcome.path}: {problem}"


def _problem(outcome: Outcome, evidence: Evidence) -> str:
    gather = outcome.path.startswith("/all")
    field = outcome.headers.get("x-part-stamps" if gather else "x-server-stamp", "")
    known = [evidence.ledger.receipts.get(r) for r in field.split(", ")]
    if not all(known) or any(request_id != outcome.request_id for _, request_id in known):
        return f"a receipt of another request: {field}"
    services = [service for service, _ in known]
    if not gather:
        whole = records(SINGLE, outcome.request_id)
        return "" if services == [SINGLE] and outcome.body == whole else "another body"
    missing = int(outcome.headers.get("x-missing-parts", "-1"))
    if len(set(services)) != len(services) or not set(services) <= set(SHARDS):
        return f"parts of {services}"
    if len(services) + missing != len(SHARDS) or len(services) < MIN_COVERAGE * len(SHARDS):
        return f"{len(services)} parts and {missing} missing"
    whole = b"".join(records(service, outcome.request_id) for service in services)
    every = [whole[i : i + RECORD_BYTES] for i in range(0, len(whole), RECORD_BYTES)]
    bodies = {b"".join(heapq.nlargest(top, every)) for top in evidence.tops}
    return "" if outcome.body in bodies else "not the greatest records of its parts"


def _runs(evidence: Evidence) -> Iterator[str]:
    paths = {outcome.request_id: outcome.path for outcome in evidence.outcomes}
    for request_id, runs in evidence.ledger.runs.items():
        most = 1 if paths.get(request_id, "").startswith("/order") else MAX_ATTEMPTS
        services = Counter(target_id.partition("-")[0] for target_id in runs)
        for service, count in services.items():
            if count > most:
                yield f"{request_id}: run {count} times for {service}"


def _stops(evidence: Evidence) -> Iterator[str]:
    """Yield requests that a planned stop cut."""
    for event in evidence.events:
        if event.what != "stop":
            continue
        for outcome in evidence.outcomes:
            cut = outcome.entry == event.where and outcome.status == -1
            if not cut or not event.since <= outcome.ended <= event.until:
                continue
            passed_on = outcome.request_id in evidence.ledger.runs
            if passed_on or outcome.ended - outcome.sent > LOSS_SLACK_S:
                yield f"{outcome.request_id}: cut by the stop of {event.where}"


def _wishes(evidence: Evidence) -> Iterator[str]:
    """Yield requests that a target had said it does not want, by the VM to which it said so."""
    ledger = evidence.ledger
    entries = {outcome.request_id: outcome.entry for outcome in evidence.outcomes}
    for target_id, said in ledger.holds.items():
        for at, request_id in said:
            entry = entries.get(request_id)
            late = _asked_again(evidence, entries, target_id, entry, at + HOLD_SLACK_S, at + HOLD_S)
            if len(late) > HOLD_TRIALS:
                yield f"{target_id}: {len(late)} requests while it wanted none: {late}"
    for target_id, said in ledger.leaves.items():
        first = {entries.get(request_id): at for at, request_id in reversed(said)}
        for entry, at in first.items():
            until = min((t for t in ledger.returns[target_id] if t > at), default=math.inf)
            late = _asked_again(evidence, entries, target_id, entry, at + DRAIN_S, until)
            if late:
                yield f"{target_id}: requests after it had said that it leaves: {late}"


def _asked_again(
    evidence: Evidence,
    entries: dict[str, str],
    target_id: str,
    entry: str | None,
    since: float,
    until: float,
) -> list[str]:
    """Return the requests of one VM that reached a target in some time, unless it was disturbed."""
    disturbed = any(
        event.where == entry and (event.until or math.inf) > since - DRAIN_S and event.since < until
        for event in evidence.events
    )
    if entry is None or disturbed:
        return []
    asked = evidence.ledger.asked[target_id]
    return [other for at, other in asked if since < at < until and entries.get(other) == entry]


def _budgets(evidence: Evidence) -> Iterator[str]:
    for service, arrivals in evidence.ledger.arrivals.items():
        single = service == SINGLE
        asked = sorted(o.sent for o in evidence.outcomes if o.path.startswith("/all") != single)
        seen: set[str] = set()
        extras = []
        for at, request_id in arrivals:
            if request_id in seen:
                extras.append(at)
            seen.add(request_id)
        for end in extras:
            extra = sum(end - WINDOW_S < at <= end for at in extras)
            # As the users' rules count: the same window or one before it, whichever has most.
            requests = max(
                sum(end - back - WINDOW_S < at <= end - back for at in asked)
                for back in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            if extra > math.ceil(RATIO * requests) + SLACK:
                yield f"{service}: {extra} extra sub-requests for {requests} requests"
                break
