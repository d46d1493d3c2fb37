"""Admission of requests, which count against the concurrency limits until they end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from bramleycrank.filters.timer import SharedTimer
from bramleycrank.filters.types import Metrics, Next, RequestContext
from bramleycrank.query.admission import Admission
from bramleycrank.query.types import Admit, Answer, Fail, Refuse, Ticket


class AdmitFilter:
    """Connects the filter chain to the admission control in `bramleycrank.query.admission`."""

    def __init__(
        self,
        admission: Admission,
        timer: SharedTimer,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._admission = admission
        self._timer = timer
        self._clock = clock
        self._metrics = metrics
        self._waiting: dict[Ticket, asyncio.Future[None]] = {}

    async def __call__(self, ctx: RequestContext, next: Next) -> Answer:
        """Wait for admission, run the request and release its admission."""
        ticket = ctx.ticket
        assert ticket is not None
        await self._wait_for_admission(ticket)
        try:
            return await next(ctx)
        finally:
            self._release(ctx, ticket)

    async def _wait_for_admission(self, ticket: Ticket) -> None:
        actions = self._admission.offer(ticket, self._clock())
        if ticket.state == "running":
            return
        fut = self._waiting[ticket] = asyncio.get_running_loop().create_future()
        self._perform(actions)
        self._timer.update(self)
        try:
            await fut
        except asyncio.CancelledError:
            if ticket.state == "running":
                self._perform(self._admission.release(ticket, 0.0, False, self._clock()))
            self._admission.withdraw(ticket)
            raise
        finally:
            self._waiting.pop(ticket, None)

    def _release(self, ctx: RequestContext, ticket: Ticket) -> None:
        """Release the admission; only the time of the execution counts as latency.

        Requests that fail without overload are not counted. Immediate failures during an outage
        would lower the long-term median, and normal latencies after it would look like overload.
        """
        now, execution = self._clock(), ctx.execution
        latency_s, overloaded = 0.0, False
        if execution is not None and execution.dispatched:
            latency_s = now - execution.started_at
            overloaded = execution.shed > 0 or now >= execution.deadline
            if isinstance(ctx.outcome, Fail) and not overloaded:
                latency_s = 0.0
        self._perform(self._admission.release(ticket, latency_s, overloaded, now))

    def _perform(self, actions: Iterable[Admit | Refuse]) -> None:
        for action in actions:
            fut = self._waiting.get(action.ticket)
            if fut is None or fut.done():
                continue
            if isinstance(action, Admit):
                fut.set_result(None)
            else:
                self._metrics.incr(f"query.refused.{action.error.name}")
                fut.set_exception(action.error)

    def next_deadline(self) -> float | None:
        """Return the time of the next check of the queues."""
        return self._admission.next_deadline()

    def on_deadline(self, now: float) -> None:
        """Refuse queued requests that cannot be answered in time."""
        self._perform(self._admission.tick(now))
