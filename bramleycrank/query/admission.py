"""Admission control: class queues, concurrency limits and refusals."""

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

CLASS_WEIGHTS = {"urgent": 8, "normal": 3, "bulk": 1}
"""Requests of each class that are admitted in one round while all classes have queued requests."""

RECHECK_INTERVAL_S = 0.02
"""Interval at which queued requests are checked against their deadlines."""

QUEUED_QUANTILE = 0.95
"""Quantile of the service time that must fit before the deadline of a queued request.

With the median, half of the requests that are admitted last would miss their deadline, and the work
for them would be wasted.
"""

IDLE_RESET_S = 1.0
"""Time without running requests after which the earlier latencies of a service are ignored.

Only a running request can show that the service has become fast again. Without this rule, a service
whose latencies were above its deadlines was refused for as long as other services filled the VM.
"""

_WINDOW_SAMPLES = 512  # samples after which the earlier counts are halved

_MIN_RETRY_AFTER_MS, _MAX_RETRY_AFTER_MS = 20, 10_000

_Action = Admit | Refuse


class Admission:
    """Admits, queues or refuses requests.

    Parameters
    ----------
    limit : AdaptiveLimit
        Limit on requests in flight.
    queue_limit : int
        Largest number of queued requests of each class.
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
        self._running_by_service: Counter[str] = Counter()
        self._service_time = LatencyEstimate(window=_WINDOW_SAMPLES)
        self._latency_by_service: dict[str, LatencyEstimate] = {}
        self._last_ended_at: dict[str, float] = {}
        self._limit_by_service: dict[str, AdaptiveLimit] = {}
        self._next_check_at: float | None = None
        self._refusals: Counter[str] = Counter()

    @classmethod
    def from_config(cls, cfg: QueryConfig) -> Admission:
        """Return the admission control of a policy; the plain policy has no limits."""
        if cfg.policy == "plain":
            return cls(AdaptiveLimit(2**31, 2**31, adaptive=False), 2**31, refuse_late=False)
        return cls(AdaptiveLimit(cfg.initial_concurrency, cfg.max_concurrency), cfg.queue_limit)

    @property
    def in_flight(self) -> int:
        """Number of admitted requests that have not been released."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return sum(len(queue) for queue in self._queues.values())

    def offer(self, ticket: Ticket, now: float) -> list[_Action]:
        """Admit, queue or refuse a request."""
        ticket.offered_at = now
        queue = self._queues[ticket.priority]
        if self._refuse_late and self._median_exceeds_deadline(ticket, now):
            return [
                self._refuse(ticket, self._deadline_error(self._latency_quantile_s(ticket, 0.5)))
            ]
        if not self._must_queue(ticket, queue):
            return [self._admit(ticket)]
        full = len(queue) >= self._queue_limit
        if full or 0 < ticket.queue_limit <= queue.count(ticket.service):
            wait = self._estimate_wait_s(ticket, len(queue), queue.count(ticket.service))
            return [self._refuse(ticket, _error(QueueFull, "", wait))]
        wait = self._estimate_wait_s(ticket, len(queue) + 1, queue.count(ticket.service) + 1)
        if self._refuse_late and not self._can_meet_deadline(ticket, wait, now):
            return [self._refuse(ticket, self._deadline_error(wait))]
        ticket.state = "queued"
        queue.push(ticket)
        if self._next_check_at is None:
            self._next_check_at = now + RECHECK_INTERVAL_S
        return []

    def _median_exceeds_deadline(self, ticket: Ticket, now: float) -> bool:
        """Return whether the median latency of the service exceeds the time to the deadline.

        Always False while no request of the service runs: only a running request can show that
        the service has become fast again.
        """
        if not self._running_by_service[ticket.service]:
            return False
        return now + self._latency_quantile_s(ticket, 0.5) > ticket.deadline

    def _latency_quantile_s(self, ticket: Ticket, share: float) -> float:
        """Return a quantile of the latency of the ticket's service, in seconds."""
        times = self._latency_by_service.get(ticket.service)
        return times.quantile(share) if times else 0.0

    def _must_queue(self, ticket: Ticket, queue: ClassQueue) -> bool:
        if not self._has_capacity() or not self._service_has_capacity(ticket):
            return True
        return queue.count(ticket.service) > 0

    def _has_capacity(self) -> bool:
        return len(self._running) < int(self.limit.value)

    def _service_has_capacity(self, ticket: Ticket) -> bool:
        service_limit = self._service_limit(ticket)
        return not service_limit or self._running_by_service[ticket.service] < service_limit

    def _service_limit(self, ticket: Ticket) -> int:
        """Return the concurrency limit of the service; 0 if only the VM's limit applies."""
        service_limit, own = ticket.max_concurrency, self._limit_by_service.get(ticket.service)
        if own is None:
            return service_limit
        return min(service_limit, int(own.value)) if service_limit else int(own.value)

    def _admit(self, ticket: Ticket) -> Admit:
        ticket.state = "running"
        self._running.add(ticket)
        self._running_by_service[ticket.service] += 1
        return Admit(ticket)

    def _refuse(self, ticket: Ticket, error: BramleycrankError) -> Refuse:
        ticket.state = "refused"
        self._refusals[error.name] += 1
        return Refuse(ticket, error)

    def _deadline_error(self, wait_s: float) -> BramleycrankError:
        return _error(DeadlineUnreachable, "", wait_s)

    def _estimate_wait_s(self, ticket: Ticket, position: int, service_position: int) -> float:
        """Return the estimated wait in seconds at a position in the class and in the service."""
        median, priority = self._service_time.quantile(0.5), ticket.priority
        waiting = [name for name in CLASSES if self._queues[name] or name == priority]
        share = CLASS_WEIGHTS[priority] / sum(CLASS_WEIGHTS[name] for name in waiting)
        rounds = position / (max(1, int(self.limit.value)) * share)
        if service_limit := self._service_limit(ticket):
            rounds = max(rounds, service_position / service_limit)
        return rounds * median

    def _can_meet_deadline(self, ticket: Ticket, wait_s: float, now: float) -> bool:
        needed_s = (
            0.0 if self._is_idle(ticket, now) else self._latency_quantile_s(ticket, QUEUED_QUANTILE)
        )
        return now + wait_s + needed_s <= ticket.deadline

    def _is_idle(self, ticket: Ticket, now: float) -> bool:
        if self._running_by_service[ticket.service]:
            return False
        return now - self._last_ended_at.get(ticket.service, now) > IDLE_RESET_S

    def release(
        self, ticket: Ticket, latency_s: float, overloaded: bool, now: float
    ) -> list[_Action]:
        """Release the capacity of an ended request and admit queued ones.

        A `latency_s` of 0 means that nothing was dispatched; it does not enter the statistics.
        """
        if ticket not in self._running:
            return []
        if latency_s > 0.0:
            self._adjust_limit(ticket.service, latency_s, overloaded, now)
            self._service_time.record(latency_s)
            self._latency_by_service.setdefault(
                ticket.service, LatencyEstimate(_WINDOW_SAMPLES)
            ).record(latency_s)
            self._last_ended_at[ticket.service] = now
        self._running.remove(ticket)
        ticket.state = "done"
        self._running_by_service[ticket.service] -= 1
        if not self._running_by_service[ticket.service]:
            del self._running_by_service[ticket.service]
        return self._admit_queued(now)

    def _adjust_limit(self, service: str, latency_s: float, overloaded: bool, now: float) -> None:
        """Adjust the limit of the VM, or that of the only overloaded service.

        Stalled targets of one service do not mean that the others are overloaded. Without a limit
        per service, one overloaded service lowered the limit of all.
        """
        own = self._limit_by_service.get(service)
        if own is not None:
            own.on_end(latency_s, overloaded, self._running_by_service[service], now)
            if own.value >= self.limit.value:
                del self._limit_by_service[service]
            return
        overloaded_service = self.limit.on_end(
            latency_s, overloaded, len(self._running), now, service
        )
        if overloaded_service is not None:
            # Its requests run until their deadline, so without a low limit they would fill the VM.
            self._limit_by_service[overloaded_service] = AdaptiveLimit(
                MIN_LIMIT, int(self.limit.maximum)
            )

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a queued request whose caller disconnected."""
        if ticket.state == "queued":
            ticket.state = "withdrawn"
            self._queues[ticket.priority].remove(ticket)

    def _admit_queued(self, now: float) -> list[_Action]:
        """Admit queued requests by deficit round-robin while the limit allows it."""
        out: list[_Action] = []
        while self._has_capacity():
            ticket = self._next_ticket()
            if ticket is None:
                break
            if self._refuse_late and not self._can_meet_deadline(ticket, 0.0, now):
                out.append(
                    self._refuse(ticket, self._deadline_error(self._estimate_wait_s(ticket, 1, 1)))
                )
            else:
                out.append(self._admit(ticket))
        if not self.queued:
            self._next_check_at = None
        return out

    def _next_ticket(self) -> Ticket | None:
        for refill in (False, True):
            if refill:
                self._deficit = {
                    name: CLASS_WEIGHTS[name] if queue else 0
                    for name, queue in self._queues.items()
                }
            for name, queue in self._queues.items():
                if queue and self._deficit[name] > 0:
                    ticket = queue.pop(self._service_has_capacity)
                    if ticket is not None:
                        self._deficit[name] -= 1
                        return ticket
        return None

    def tick(self, now: float) -> list[_Action]:
        """Refuse queued requests that can no longer meet their deadline."""
        out = self._admit_queued(now)
        if self._refuse_late:
            for queue in self._queues.values():
                out += self._refuse_late_queued(queue, now)
        self._next_check_at = now + RECHECK_INTERVAL_S if self.queued else None
        return out

    def _refuse_late_queued(self, queue: ClassQueue, now: float) -> list[_Action]:
        out: list[_Action] = []
        positions: Counter[str] = Counter()
        for ticket in list(queue):
            wait = self._estimate_wait_s(
                ticket, positions.total() + 1, positions[ticket.service] + 1
            )
            if self._can_meet_deadline(ticket, wait, now):
                positions[ticket.service] += 1
            else:
                queue.remove(ticket)
                out.append(self._refuse(ticket, self._deadline_error(wait)))
        return out

    def next_deadline(self) -> float | None:
        """Return when `tick` is due next; None while nothing is queued."""
        return self._next_check_at if self.queued else None

    def dump(self, now: float) -> dict[str, Any]:
        """Return the limits, the queues and the reasons for their state."""
        return {
            **self.limit.dump(),
            "in_flight": len(self._running),
            "in_flight_by_service": dict(self._running_by_service),
            "limit_by_service": {name: own.dump() for name, own in self._limit_by_service.items()},
            "queued": {name: len(queue) for name, queue in self._queues.items()},
            "refused": dict(self._refusals),
            "service_time": self._service_time.dump(),
            "time_by_service": {
                name: times.dump() for name, times in self._latency_by_service.items()
            },
        }


def _error(kind: type[BramleycrankError], message: str, wait_s: float) -> BramleycrankError:
    wait_ms = min(_MAX_RETRY_AFTER_MS, max(_MIN_RETRY_AFTER_MS, int(wait_s * 1e3)))
    return kind(message, outcome=Outcome.NOT_RUN, retry_after_ms=wait_ms)
