"""Customers of a soak run: their keys and allowances, the faults of these, and their checks."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import attrs

from soak.callers import Outcome
from soak.faults import CUT, Event
from soak.targets import TargetObservations

FIRST_SEED = 990_101
"""Older seeds have no customers, so that they still lead to the same faults."""

STEADY, CHANGING, FLOODING = ("steady-1", "steady-2"), "changing", "flooding"
"""Customers within their allowance, one whose key changes, and one that sends far more at times."""

STEADY_RATE_PER_S, FLOODING_RATE_PER_S, LOWERED_RATE_PER_S, BURST = 200.0, 8.0, 3.0, 10.0

QUOTA_WINDOW_S, QUOTA_OVERAGE, QUOTA_SLACK = 5.0, 0.1, 20.0
"""Bounds of the sum over all VMs in the settings that `harness.platform_fleet` writes."""

CONFIG_APPLY_S = 4.0
"""Time after the acknowledgement of a table from which VMs in touch act on it; `ConfigApplyMs`."""

NO_KEY, UNKNOWN_KEY = "", "held-by-nobody"

MIN_SERVED_SHARE = 1 / 4
"""Least share of requests served for a customer, as a multiple of that of all others."""

MIN_COMPARED = 40
"""Least number of requests for which shares are compared."""

FLOOD = "flood of a customer"


def has_customers(seed: int) -> bool:
    """Return whether the run of a seed has customers; three fresh seeds of four have."""
    return seed >= FIRST_SEED and seed % 4 != 0


@attrs.define
class Table:
    """One version of the table of customers; `acknowledged` is infinite before it is.

    Parameters
    ----------
    names : dict of str to str
        Customer of each key.
    rates : dict of str to float
        Requests per second of each customer.
    """

    offered: float
    names: dict[str, str]
    rates: dict[str, float]
    acknowledged: float = math.inf


class Customers:
    """The customers of a run, and all tables that were offered.

    Parameters
    ----------
    seed : int
        Determines the faults.
    change_routes : callable
        Offers a new table until it is acknowledged.
    events : list of Event
        Faults of the run; those of customers are appended.
    """

    def __init__(
        self, seed: int, change_routes: Callable[[], Awaitable[None]], events: list[Event]
    ) -> None:
        self._rng = random.Random(seed + 3)
        self._change_routes = change_routes
        self._events = events
        self._key_numbers = itertools.count(1)
        self._flooding_rate = FLOODING_RATE_PER_S
        self._key = "changing-0"
        self._accepted_keys = [self._key]
        self.tables: list[Table] = []
        self.floods = False

    def document(self) -> list[dict[str, Any]]:
        """Return the customers of the next table, and record it as offered."""
        keys = {name: [f"{name}-key"] for name in (*STEADY, FLOODING)}
        keys[CHANGING] = list(self._accepted_keys)
        rates = dict.fromkeys((*STEADY, CHANGING), STEADY_RATE_PER_S)
        rates[FLOODING] = self._flooding_rate
        names = {key: name for name, owned in keys.items() for key in owned}
        self.tables.append(Table(asyncio.get_running_loop().time(), names, rates))
        return [
            {"Name": name, "ApiKeys": keys[name], "RatePerS": rates[name], "Burst": BURST}
            for name in keys
        ]

    def on_acknowledged(self) -> None:
        """Record that the newest table is acknowledged."""
        self.tables[-1].acknowledged = asyncio.get_running_loop().time()

    def choose_key(self, number: int, rng: random.Random) -> str:
        """Return the key for the next request of a caller; one in twenty has none that is held."""
        if rng.random() < 0.05:
            return rng.choice((NO_KEY, UNKNOWN_KEY))
        if number % 3 < len(STEADY):
            return f"{STEADY[number % 3]}-key"
        return self._key

    def flood_key(self) -> str | None:
        """Return the key for the next request of a flood; None while there is none."""
        return f"{FLOODING}-key" if self.floods else None

    async def run_faults(self, seconds: float) -> None:
        """Start faults for some time, one after the other."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(self._rng.uniform(0.3, 1.5))
            fault = self._rng.choice((self._flood, self._take_key_back, self._lower_rate))
            if self._rng.random() < 0.5:
                await self._wait_for_cut_or_freeze(min(end, loop.time() + 4.0))
            await fault()

    async def _wait_for_cut_or_freeze(self, until: float) -> None:
        """Wait until a VM is frozen or cut off, so that it may miss the change."""
        loop = asyncio.get_running_loop()
        while loop.time() < until and not any(
            not event.until and (event.what == "freeze" or event.what.startswith(CUT))
            for event in self._events
        ):
            await asyncio.sleep(0.05)

    def _record_event(self, what: str, where: str) -> Event:
        event = Event(what, where, asyncio.get_running_loop().time())
        self._events.append(event)
        return event

    async def _flood(self) -> None:
        event = self._record_event(FLOOD, FLOODING)
        self.floods = True
        await asyncio.sleep(self._rng.uniform(2.0, 6.0))
        self.floods = False
        event.until = asyncio.get_running_loop().time()

    async def _take_key_back(self) -> None:
        """Add a key, then take the old one back while some callers still send it."""
        event = self._record_event("key taken back", CHANGING)
        old, new = self._key, f"{CHANGING}-{next(self._key_numbers)}"
        self._accepted_keys = [old, new]
        await self._change_routes()
        self._accepted_keys = [new]
        await self._change_routes()
        await asyncio.sleep(CONFIG_APPLY_S + self._rng.uniform(0.5, 2.0))
        self._key = new
        event.until = asyncio.get_running_loop().time()

    async def _lower_rate(self) -> None:
        event = self._record_event("rate lowered", FLOODING)
        self._flooding_rate = LOWERED_RATE_PER_S
        await self._change_routes()
        self.floods = True
        await asyncio.sleep(CONFIG_APPLY_S + QUOTA_WINDOW_S + self._rng.uniform(2.0, 4.0))
        self.floods = False
        self._flooding_rate = FLOODING_RATE_PER_S
        await self._change_routes()
        event.until = asyncio.get_running_loop().time()

    def expects_service(self, outcome: Outcome) -> bool:
        """Return whether a request has a key that all tables since it was sent held."""
        if outcome.key.startswith(FLOODING):
            return False
        first = _in_force(self.tables, outcome.sent)
        return all(outcome.key in table.names for table in self.tables[first:])


def _in_force(tables: list[Table], at: float) -> int:
    """Return the number of the oldest table that VMs in touch may act on at a time."""
    return max(
        (n for n, table in enumerate(tables) if table.acknowledged + CONFIG_APPLY_S < at),
        default=0,
    )


def violations(
    tables: list[Table],
    outcomes: list[Outcome],
    observations: TargetObservations,
    events: list[Event],
) -> Iterator[str]:
    """Yield a description of each violated guarantee about customers."""
    by_id = {outcome.request_id: outcome for outcome in outcomes}
    yield from _check_names(tables, by_id, observations)
    yield from _check_keys(tables, outcomes, observations, events)
    yield from _check_allowances(tables, by_id, observations, events)
    yield from _check_shares(outcomes, events)


def _check_names(
    tables: list[Table], by_id: dict[str, Outcome], observations: TargetObservations
) -> Iterator[str]:
    """Yield requests that ran without a key that a table held, or under another name."""
    for request_id, runs in observations.customers.items():
        outcome = by_id.get(request_id)
        if outcome is None:
            continue  # its caller was cancelled at the end of the run
        names = {table.names[outcome.key] for table in tables if outcome.key in table.names}
        for _, name, has_key in runs:
            if not names:
                yield f"{request_id}: run with the key {outcome.key!r}, which no table held"
            elif name not in names:
                yield f"{request_id}: run under {name!r}, but its key belongs to {names}"
            if has_key:
                yield f"{request_id}: a target received the key"


def _check_keys(
    tables: list[Table],
    outcomes: list[Outcome],
    observations: TargetObservations,
    events: list[Event],
) -> Iterator[str]:
    """Yield keys that are accepted long after they were taken back, or refused while held."""
    for outcome in outcomes:
        first = _in_force(tables, outcome.sent)
        possible = [table for table in tables[first:] if table.offered < outcome.ended]
        held = [outcome.key in table.names for table in possible]
        if outcome.status == 401 and all(held):
            yield f"{outcome.request_id}: 401 at {outcome.entry}, though its key is held"
        ran = observations.runs.get(outcome.request_id) or outcome.status == 200
        if not ran or any(held) or not any(outcome.key in table.names for table in tables):
            continue
        if not _is_disturbed(outcome.entry, events, outcome.sent - CONFIG_APPLY_S, outcome.sent):
            last = max(n for n, table in enumerate(tables) if outcome.key in table.names)
            late_s = outcome.sent - min(table.acknowledged for table in tables[last + 1 :])
            what = f"{late_s:.1f} s after its key {outcome.key} was taken back"
            yield f"{outcome.request_id}: run at {outcome.entry} {what}"


def _is_disturbed(entry: str, events: list[Event], since: float, until: float) -> bool:
    """Return whether a VM had a fault in a period that may keep it from a new table."""
    return any(
        event.where == entry
        and not event.what.startswith(CUT)
        and event.since < until
        and (event.until or math.inf) > since
        for event in events
    )


def _check_allowances(
    tables: list[Table],
    by_id: dict[str, Outcome],
    observations: TargetObservations,
    events: list[Event],
) -> Iterator[str]:
    """Yield customers of which more requests are both sent and run in a window than allowed."""
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for request_id, runs in observations.customers.items():
        if request_id in by_id:
            spans[runs[0][1]].append((by_id[request_id].sent, runs[0][0]))
    ends = [_superseded(tables, number, events) for number in range(len(tables))]
    for name, customer_spans in spans.items():
        for start, _ in customer_spans:
            rates = [
                table.rates[name]
                for table, end in zip(tables, ends, strict=True)
                if name in table.rates and table.offered < start + QUOTA_WINDOW_S and end > start
            ]
            bound = (max(rates, default=0.0) * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVERAGE)
            bound += QUOTA_SLACK
            count = sum(
                start <= sent and at < start + QUOTA_WINDOW_S for sent, at in customer_spans
            )
            if count > bound:
                yield f"{name}: {count} requests run in {QUOTA_WINDOW_S} s, {bound:.0f} allowed"
                break


def _superseded(tables: list[Table], number: int, events: list[Event]) -> float:
    """Return when a table binds no window any more, since all VMs act on a newer one."""
    delay_s = CONFIG_APPLY_S + QUOTA_WINDOW_S
    later = tables[number + 1 :]
    end = min((table.acknowledged for table in later), default=math.inf) + delay_s
    for event in sorted(events, key=lambda event: event.since):
        back_at = (event.until or math.inf) + delay_s
        is_out_of_touch = event.where.startswith("edge") and not event.what.startswith(CUT)
        if is_out_of_touch and event.since < end < back_at:
            end = back_at
    return end


def _check_shares(outcomes: list[Outcome], events: list[Event]) -> Iterator[str]:
    """Yield customers that are served far less than others or beside a flood."""
    floods = [(e.since, e.until or math.inf) for e in events if e.what == FLOOD]
    served: dict[str, list[bool]] = defaultdict(list)
    beside: dict[bool, list[bool]] = {True: [], False: []}
    for outcome in outcomes:
        if outcome.key.startswith(STEADY):
            is_served = outcome.status == 200
            served[outcome.key].append(is_served)
            beside[any(a < outcome.sent < b for a, b in floods)].append(is_served)
    pairs = [
        (key, results, [r for other, rs in served.items() if other != key for r in rs])
        for key, results in served.items()
    ]
    for name, results, others in [*pairs, ("steady beside a flood", beside[True], beside[False])]:
        if min(len(results), len(others)) < MIN_COMPARED:
            continue
        share, usual_share = sum(results) / len(results), sum(others) / len(others)
        if share < MIN_SERVED_SHARE * usual_share:
            yield f"{name}: {share:.2f} of the requests served, {usual_share:.2f} of the others"
