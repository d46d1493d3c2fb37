"""Early refusals of requests that wait for room, and the times at which their callers return."""

from __future__ import annotations

import enum
import math
from collections import Counter, OrderedDict
from collections.abc import Sequence

import attrs

from bramleycrank.customers.shares import Room, Shares, Waiter

RETURN_SHARE = 0.25
"""Share of the room that refused callers are told to return to; the rest is for first attempts,
whose answers would come in time."""

MIN_RETURN_S = 0.02
"""Least time of return, in seconds; an earlier one costs a round trip and finds the same queue."""

MAX_RETURN_S = 5.0
"""Longest time of return, in seconds; room is not foreseen further than a flood lasts."""

UNKNOWN_RETURN_S = 0.25
"""Time of return while no target takes requests, in seconds."""

MAX_SERVICES = 1024
"""Number of services above which those without returning callers are forgotten."""

MAX_RETURNS = 4096
"""Largest number of refused requests that are remembered."""

MAX_RETURNS_PER_CUSTOMER = 256
"""The same for one customer, so that a flood does not displace the requests of others."""

RETURN_WINDOW_S = 2.0
"""Time after its time of return for which a refused request is remembered, in seconds."""

MIN_CHECK_DELAY_S = 0.005
"""Least time between two checks of a waiting request, in seconds."""

CHECK_SHARE = 0.8
"""Share of the time for a worthwhile refusal after which a request is checked; the rest is for a
timer that fires late."""

MIN_SLOTS_SEEN = 2.0
"""Slots that must have become free while a request did not advance, before it counts as one that
will not; a single slow reply tells nothing."""

EARLY_TOLERANCE_S = 0.005
"""How much too early a caller may return, in seconds; its clock may tick coarsely."""


class Rule(enum.StrEnum):
    """Why a waiting request is refused before its deadline."""

    DEADLINE = "deadline"  # its turn comes too late for an answer before the deadline
    OBJECTIVE = "objective"  # its turn comes too late for the objective; a return may meet it


@attrs.frozen(eq=False)
class Queue:
    """The requests that wait for one service.

    Parameters
    ----------
    service : str
        The service.
    room : Room
        What its targets can take.
    others : sequence of Waiter
        The requests, without the one that is decided about.
    """

    service: str
    room: Room
    others: Sequence[Waiter]


@attrs.frozen
class EarlyRefusal:
    """Refusal of a request that waits for room, or would have to.

    Parameters
    ----------
    rule : Rule
        Why it is refused.
    return_s : float
        Time after which its caller should return, in seconds.
    service : str
        The service that lacks room.
    ahead : int
        Number of requests that get room before it.
    """

    rule: Rule
    return_s: float
    service: str
    ahead: int


def estimate_wait(ahead: int, per_s: float) -> float:
    """Return the least time in seconds until a request gets room that has `ahead` before it.

    It is 0 while no target takes any, since it is then unknown when one will.
    """
    return ahead / per_s if ahead > 0 and per_s > 0 else 0.0


def find_missed(waiter: Waiter, wait_s: float, latency_s: float, now: float) -> Rule | None:
    """Return the rule by which a request is refused now, or None if it waits.

    Load pattern: more requests than room. A request that is held until its time is up has used its
    caller's time for nothing. A refusal because of the objective is worth something only early, to
    a caller that can return, so it applies once to a request.

    Parameters
    ----------
    waiter : Waiter
        The request, to which no target was offered.
    wait_s : float
        Expected time until it gets room, in seconds.
    latency_s : float
        Least time that it needs at the target, in seconds.
    now : float
        Current time in seconds.
    """
    ready_at = now + wait_s + latency_s
    if ready_at > waiter.deadline:
        return Rule.DEADLINE
    return Rule.OBJECTIVE if ready_at > waiter.answer_at and waiter.may_return(now) else None


class EarlyRefusals:
    """Decides which waiting requests are refused, and when their callers should return.

    Parameters
    ----------
    shares : Shares
        Orders the requests.
    """

    def __init__(self, shares: Shares) -> None:
        self._shares = shares
        self._times = ReturnTimes()

    def decide(self, waiter: Waiter, queue: Queue | None, now: float) -> EarlyRefusal | None:
        """Return the refusal of a request to which no target was offered, or None if it waits.

        Parameters
        ----------
        waiter : Waiter
            The request.
        queue : Queue or None
            The service that it waits for longest, of those that its answer needs; None if enough
            of them have room.
        now : float
            Current time in seconds.
        """
        ahead, refusal = self.preview(waiter, queue, now)
        waiter.checked_at, waiter.checked_ahead = now, ahead
        if refusal is not None:
            self._times.reserve(refusal.service, waiter, refusal.return_s, now)
        return refusal

    def preview(
        self, waiter: Waiter, queue: Queue | None, now: float
    ) -> tuple[int, EarlyRefusal | None]:
        """Return the requests before a request, and the refusal of it, without any effect."""
        if queue is None:
            return 0, None
        room = queue.room
        ahead = self._shares.count_ahead(queue.service, waiter, queue.others, room.latency_s, now)
        wait_s = estimate_wait(ahead, room.per_s)
        return_s = self._times.estimate(queue.service, waiter, wait_s, room.per_s, now)
        if waiter.may_return(now) or waiter.is_late(room.latency_s, now):
            wait_s = max(wait_s, _extrapolate(waiter, ahead, room.per_s, now))
        rule = find_missed(waiter, wait_s, room.latency_s, now)
        refusal = rule and EarlyRefusal(rule, return_s, queue.service, ahead)
        return ahead, refusal


def _extrapolate(waiter: Waiter, ahead: int, per_s: float, now: float) -> float:
    """Return the wait in seconds if the request goes on to advance as since the last check.

    Load pattern: sustained overload, in which newer and more urgent requests overtake those that
    wait. One that has not advanced will not get room while the overload lasts.
    """
    elapsed_s = max(0.0, now - waiter.checked_at)
    if not ahead or elapsed_s * per_s < MIN_SLOTS_SEEN:
        return 0.0
    advanced = waiter.checked_ahead - ahead
    return ahead * elapsed_s / advanced if advanced > 0 else math.inf


def next_check(waiter: Waiter, now: float) -> float:
    """Return the time at which to decide next about a waiting request, in seconds.

    It is the last time at which a refusal leaves its caller another attempt, and then half of the
    time left, so that the checks of a request stay few.
    """
    last_call = waiter.arrived + CHECK_SHARE * (waiter.refuse_by - waiter.arrived)
    if now < last_call:
        return last_call
    return now + max(MIN_CHECK_DELAY_S, (waiter.deadline - now) / 2)


class ReturnTimes:
    """Times of return of the refused requests of each service.

    Load pattern: many callers are refused at once. Each customer's callers return one after the
    other in the order of their refusals, at the customer's part of the room, so that a flood puts
    off only its own returns.
    """

    def __init__(self) -> None:
        self._last_due: dict[str, dict[tuple[int, str], float]] = {}

    def estimate(
        self, service: str, waiter: Waiter, wait_s: float, per_s: float, now: float
    ) -> float:
        """Return the time in seconds after which a caller should return.

        Parameters
        ----------
        service : str
            The service that lacks room.
        waiter : Waiter
            The request.
        wait_s : float
            Least time until those that wait before it have room, in seconds.
        per_s : float
            Sub-requests per second that the service takes.
        now : float
            Current time in seconds.
        """
        if not per_s:
            return UNKNOWN_RETURN_S
        due = self._last_due.get(service, {})
        sharing = {name for (rank, name), at in due.items() if rank <= waiter.rank and at > now}
        interval_s = len(sharing | {waiter.name}) / (RETURN_SHARE * per_s)
        last = max(now, due.get((waiter.rank, waiter.name), now))
        earliest_s = max(MIN_RETURN_S, wait_s)
        return min(MAX_RETURN_S, max(earliest_s, last + interval_s - now))

    def reserve(self, service: str, waiter: Waiter, return_s: float, now: float) -> None:
        """Record the time of return that a caller was told, in seconds from now."""
        if service not in self._last_due and len(self._last_due) >= MAX_SERVICES:
            self._last_due = {
                name: due for name, due in self._last_due.items() if max(due.values()) > now
            }
        due = {key: at for key, at in self._last_due.get(service, {}).items() if at > now}
        due[waiter.rank, waiter.name] = now + return_s
        self._last_due[service] = due


class RefusedRequests:
    """Bounded memory of refused requests, by customer and fingerprint."""

    def __init__(self) -> None:
        self._refused: OrderedDict[tuple[str, int], tuple[float, float]] = OrderedDict()
        self._counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._refused)

    def add(self, name: str, fingerprint: int, return_s: float, now: float) -> None:
        """Remember a refusal; a request that returned early keeps its first time of return."""
        self._remove_expired(now)
        key = (name, fingerprint)
        if self._refused.get(key, (now, now))[1] + RETURN_WINDOW_S < now:
            # An entry with a later time of return may precede one that is to be forgotten.
            self._discard(key)
        first_at, due = self._refused.pop(key, (now, -math.inf))
        if due == -math.inf:
            if self._counts[name] >= MAX_RETURNS_PER_CUSTOMER:
                return
            if len(self._refused) >= MAX_RETURNS:
                self._discard(next(iter(self._refused)))
            self._counts[name] += 1
        self._refused[key] = (first_at, due if due > now else now + return_s)

    def refused_at(self, name: str, fingerprint: int, now: float) -> float:
        """Return the time of a request's first refusal; infinite unless it returned at its time."""
        first_at, due = self._refused.get((name, fingerprint), (math.inf, math.inf))
        on_time = due - EARLY_TOLERANCE_S <= now <= due + RETURN_WINDOW_S
        return first_at if on_time else math.inf

    def discard(self, name: str, fingerprint: int) -> None:
        """Forget a request that has got room."""
        if (name, fingerprint) in self._refused:
            self._discard((name, fingerprint))

    def _discard(self, key: tuple[str, int]) -> None:
        del self._refused[key]
        self._counts[key[0]] -= 1
        if not self._counts[key[0]]:
            del self._counts[key[0]]

    def _remove_expired(self, now: float) -> None:
        while self._refused:
            key, (_, due) = next(iter(self._refused.items()))
            if due + RETURN_WINDOW_S >= now:
                return
            self._discard(key)
