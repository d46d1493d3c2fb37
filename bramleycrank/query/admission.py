"""Admission: class queues, the concurrency limit and refusals."""

from __future__ import annotations

from collections import Counter
from typing import Any

from bramleycrank.exceptions import (
    BramleycrankError,
    DeadlineUnreachable,
    Outcome,
    QueueFull,
)
from bramleycrank.query.latency import LatencyEstimate
from bramleycrank.query.limit import MIN_LIMIT, AdaptiveLimit
from bramleycrank.query.queues import ClassQueue
from bramleycrank.query.types import CLASSES, Admit, QueryConfig, Refuse, Ticket

WEIGHTS = {"urgent": 8, "normal": 3, "bulk": 1}
"""Places that each class gets in one round while all classes wait."""

RECHECK_S = 0.02
"""Period in which queued requests are checked against their deadlines."""

QUEUED_QUANTILE = 0.95
"""Service time that a request must have left when it has to queue.

The median would admit requests so late that half of them would miss their deadline, and the work
for them would be lost.
"""

PROBE_S = 1.0
"""Time without a run after which a service is not judged by its earlier times.

Only a run can show that the service has become fast again. While other services filled the VM, one
whose times were above its deadlines was refused for as long as the load lasted.
"""

_WINDOW = 512  # samples after which older ones count half

_RETRY_MIN_MS, _RETRY_MAX_MS = 20, 10_000

_Action = Admit | Refuse


class Admission:
    """Decides when a request runs, or refuses it at once.

    Parameters
    ----------
    limit : AdaptiveLimit
        Limit on requests in flight.
    queue_limit : int
        Queued requests for each class.
    refuse_late : bool
        Whether requests that cannot meet their deadline are refused.
    """

    def __init__(self, limit: AdaptiveLimit, queue_limit: int, refuse_late: bool = True) -> None:
        self.limit = limit
        self._queue_limit = queue_limit
        self._refuse_late = refuse_late
        self._queues = {name: ClassQueue() for name in CLASSES}
        self._deficit = dict.fromkeys(CLASSES, 0)
        self._running: set[Ticket] = set()
        self._by_service: Counter[str] = Counter()
        self._service_time = LatencyEstimate(window=_WINDOW)
        self._own_times: dict[str, LatencyEstimate] = {}
        self._ran_at: dict[str, float] = {}
        self._own_limits: dict[str, AdaptiveLimit] = {}
        self._next_check: float | None = None
        self._refusals: Counter[str] = Counter()

    @classmethod
    def from_config(cls, cfg: QueryConfig) -> Admission:
        """Return the admission of a policy; the plain one has no limits."""
        if cfg.policy == "plain":
            return cls(AdaptiveLimit(2**31, 2**31, adaptive=False), 2**31, refuse_late=False)
        return cls(AdaptiveLimit(cfg.initial_concurrency, cfg.max_concurrency), cfg.queue_limit)

    @property
    def in_flight(self) -> int:
        """Number of admitted requests that were not released."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())

    def offer(self, ticket: Ticket, now: float) -> list[_Action]:
        """Admit, queue or refuse a request."""
        ticket.offered_at = now
        queue = self._queues[ticket.priority]
        if self._refuse_late and self._median_passes_deadline(ticket, now):
            return [self._refuse(ticket, self._too_late(self._needed(ticket, 0.5)))]
        if not self._must_wait(ticket, queue):
            return [self._admit(ticket)]
        full = len(queue) >= self._queue_limit
        if full or 0 < ticket.queue_limit <= queue.count(ticket.service):
            wait = self._wait(ticket, len(queue), queue.count(ticket.service))
            return [self._refuse(ticket, _error(QueueFull, "", wait))]
        wait = self._wait(ticket, len(queue) + 1, queue.count(ticket.service) + 1)
        if self._refuse_late and not self._in_time(ticket, wait, now):
            return [self._refuse(ticket, self._too_late(wait))]
        ticket.state = "queued"
        queue.push(ticket)
        if self._next_check is None:
            self._next_check = now + RECHECK_S
        return []

    def _median_passes_deadline(self, ticket: Ticket, now: float) -> bool:
        """Tell whether the median of the service's own time passes the deadline.

        A service that runs nothing gets the request all the same: only a request that runs can
        show that the service has become fast again.
        """
        if not self._by_service[ticket.service]:
            return False
        return now + self._needed(ticket, 0.5) > ticket.deadline

    def _needed(self, ticket: Ticket, share: float) -> float:
        """Return a quantile in seconds of the service's own time."""
        times = self._own_times.get(ticket.service)
        return times.quantile(share) if times else 0.0

    def _must_wait(self, ticket: Ticket, queue: ClassQueue) -> bool:
        if not self._has_place() or not self._service_has_place(ticket):
            return True
        return queue.count(ticket.service) > 0

    def _has_place(self) -> bool:
        return len(self._running) < int(self.limit.value)

    def _service_has_place(self, ticket: Ticket) -> bool:
        most = self._most(ticket)
        return not most or self._by_service[ticket.service] < most

    def _most(self, ticket: Ticket) -> int:
        """Return how many requests of the service may run; 0 if only the VM's limit counts."""
        most, own = ticket.max_concurrency, self._own_limits.get(ticket.service)
        if own is None:
            return most
        return min(most, int(own.value)) if most else int(own.value)

    def _admit(self, ticket: Ticket) -> Admit:
        ticket.state = "running"
        self._running.add(ticket)
        self._by_service[ticket.service] += 1
        return Admit(ticket)

    def _refuse(self, ticket: Ticket, error: BramleycrankError) -> Refuse:
        ticket.state = "refused"
        self._refusals[error.name] += 1
        return Refuse(ticket, error)

    def _too_late(self, wait_s: float) -> BramleycrankError:
        return _error(DeadlineUnreachable, "", wait_s)

    def _wait(self, ticket: Ticket, place: int, service_place: int) -> float:
        """Return the estimated wait in seconds at a place of the class and of the service."""
        median, priority = self._service_time.quantile(0.5), ticket.priority
        waiting = [name for name in CLASSES if self._queues[name] or name == priority]
        share = WEIGHTS[priority] / sum(WEIGHTS[name] for name in waiting)
        turns = place / (max(1, int(self.limit.value)) * share)
        if most := self._most(ticket):
            turns = max(turns, service_place / most)
        return turns * median

    def _in_time(self, ticket: Ticket, wait_s: float, now: float) -> bool:
        needed_s = 0.0 if self._is_unused(ticket, now) else self._needed(ticket, QUEUED_QUANTILE)
        return now + wait_s + needed_s <= ticket.deadline

    def _is_unused(self, ticket: Ticket, now: float) -> bool:
        if self._by_service[ticket.service]:
            return False
        return now - self._ran_at.get(ticket.service, now) > PROBE_S

    def release(
        self, ticket: Ticket, latency_s: float, overloaded: bool, now: float
    ) -> list[_Action]:
        """Give back the place of an ended request and admit the next ones.

        A `latency_s` of 0 means that nothing was dispatched; such a request teaches nothing.
        """
        if ticket not in self._running:
            return []
        if latency_s > 0.0:
            self._learn(ticket.service, latency_s, overloaded, now)
            self._service_time.record(latency_s)
            self._own_times.setdefault(ticket.service, LatencyEstimate(_WINDOW)).record(latency_s)
            self._ran_at[ticket.service] = now
        self._running.remove(ticket)
        ticket.state = "done"
        self._by_service[ticket.service] -= 1
        if not self._by_service[ticket.service]:
            del self._by_service[ticket.service]
        return self._serve(now)

    def _learn(self, service: str, latency_s: float, overloaded: bool, now: float) -> None:
        """Adjust the limit of the VM, or of a service that alone is overloaded.

        The targets of one service that stall say nothing about the others; without a limit of its
        own, such a service lowered the limit for all.
        """
        own = self._own_limits.get(service)
        if own is not None:
            own.on_end(latency_s, overloaded, self._by_service[service], now)
            if own.value >= self.limit.value:
                del self._own_limits[service]
            return
        overloaded_service = self.limit.on_end(
            latency_s, overloaded, len(self._running), now, service
        )
        if overloaded_service is not None:
            # Its requests last until their deadline, so more of them would fill the VM.
            self._own_limits[overloaded_service] = AdaptiveLimit(MIN_LIMIT, int(self.limit.maximum))

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a queued request whose caller went away."""
        if ticket.state == "queued":
            ticket.state = "withdrawn"
            self._queues[ticket.priority].remove(ticket)

    def _serve(self, now: float) -> list[_Action]:
        """Admit queued requests by weighted deficit while there are places."""
        out: list[_Action] = []
        while self._has_place():
            ticket = self._next_ticket()
            if ticket is None:
                break
            if self._refuse_late and not self._in_time(ticket, 0.0, now):
                out.append(self._refuse(ticket, self._too_late(self._wait(ticket, 1, 1))))
            else:
                out.append(self._admit(ticket))
        if not self.queued:
            self._next_check = None
        return out

    def _next_ticket(self) -> Ticket | None:
        for refill in (False, True):
            if refill:
                self._deficit = {
                    name: WEIGHTS[name] if queue else 0 for name, queue in self._queues.items()
                }
            for name, queue in self._queues.items():
                if queue and self._deficit[name] > 0:
                    ticket = queue.pop(self._service_has_place)
                    if ticket is not None:
                        self._deficit[name] -= 1
                        return ticket
        return None

    def tick(self, now: float) -> list[_Action]:
        """Refuse queued requests that cannot be answered in time any more."""
        out = self._serve(now)
        if self._refuse_late:
            for queue in self._queues.values():
                out += self._refuse_late_ones(queue, now)
        self._next_check = now + RECHECK_S if self.queued else None
        return out

    def _refuse_late_ones(self, queue: ClassQueue, now: float) -> list[_Action]:
        out: list[_Action] = []
        places: Counter[str] = Counter()
        for ticket in list(queue):
            wait = self._wait(ticket, places.total() + 1, places[ticket.service] + 1)
            if self._in_time(ticket, wait, now):
                places[ticket.service] += 1
            else:
                queue.remove(ticket)
                out.append(self._refuse(ticket, self._too_late(wait)))
        return out

    def next_deadline(self) -> float | None:
        """Return the time of the next tick; None while nothing is queued."""
        return self._next_check if self.queued else None

    def dump(self, now: float) -> dict[str, Any]:
        """Return limits and queues with their explanation."""
        return {
            **self.limit.dump(),
            "in_flight": len(self._running),
            "in_flight_by_service": dict(self._by_service),
            "limit_by_service": {name: own.dump() for name, own in self._own_limits.items()},
            "queued": {name: len(queue) for name, queue in self._queues.items()},
            "refused": dict(self._refusals),
            "service_time": self._service_time.dump(),
            "time_by_service": {name: times.dump() for name, times in self._own_times.items()},
        }


def _error(kind: type[BramleycrankError], message: str, wait_s: float) -> BramleycrankError:
    retry_ms = min(_RETRY_MAX_MS, max(_RETRY_MIN_MS, int(wait_s * 1e3)))
    return kind(message, outcome=Outcome.NOT_RUN, retry_after_ms=retry_ms)
