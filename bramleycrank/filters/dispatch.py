"""Runs the execution of a query: sends its sub-requests and waits for the outcome."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable

from bramleycrank.filters.timer import SharedTimer
from bramleycrank.filters.types import Metrics, Next, RequestContext, Sessions
from bramleycrank.proto.target_pb2 import SubReply
from bramleycrank.query.execution import QueryExecution
from bramleycrank.query.types import (
    Action,
    Answer,
    CancelSub,
    Dispatch,
    Fail,
    FailureReason,
    Finish,
)

log = logging.getLogger(__name__)


class ExecutionRunner:
    """Performs the actions of one execution and passes session and timer events to it."""

    def __init__(
        self,
        execution: QueryExecution,
        sessions: Sessions,
        timer: SharedTimer,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._execution: QueryExecution | None = execution
        self._sessions = sessions
        self._timer = timer
        self._clock = clock
        self._metrics = metrics
        self._pending: deque[Action] = deque()
        self._performing = False
        self._outcome: asyncio.Future[Finish | Fail] = asyncio.get_running_loop().create_future()

    async def run(self, first_actions: Iterable[Action]) -> Finish | Fail:
        """Perform the first actions and return the outcome of the execution."""
        self._perform(first_actions)
        if self._execution is not None:
            self._timer.update(self)
        return await self._outcome

    def cancel(self) -> None:
        """Cancel the execution because the caller disconnected."""
        if self._execution is not None:
            self._perform(self._execution.cancel(self._clock()))

    def on_reply(self, reply: SubReply) -> None:
        """Handle a reply; a reply after the end of the execution is only counted."""
        if self._execution is None:
            self._metrics.incr("query.late_replies")
        elif actions := self._execution.on_reply(reply, self._clock()):
            self._perform(actions)

    def on_failure(self, sub_id: int, reason: str) -> None:
        """Handle the failure of a sub-request."""
        if self._execution is not None:
            self._perform(self._execution.on_failure(sub_id, reason, self._clock()))

    def next_deadline(self) -> float | None:
        """Return the time of the execution's next tick."""
        return self._execution.next_deadline() if self._execution is not None else None

    def on_deadline(self, now: float) -> None:
        """Let the execution handle the passage of time."""
        if self._execution is not None:
            self._perform(self._execution.tick(now))

    def _perform(self, actions: Iterable[Action]) -> None:
        """Perform actions in order; actions that result from them are queued behind."""
        self._pending.extend(actions)
        if self._performing:
            return
        self._performing = True
        try:
            while self._pending:
                self._perform_one(self._pending.popleft())
        finally:
            self._performing = False
        if self._execution is not None and not self._outcome.done():
            self._timer.update(self)

    def _perform_one(self, action: Action) -> None:
        if isinstance(action, Dispatch):
            self._send(action)
        elif isinstance(action, CancelSub):
            self._sessions.cancel(action.sub_id, action.target_id)
        else:
            # The timer still refers to this runner; drop the replies that the execution holds.
            self._execution = None
            if not self._outcome.done():
                self._outcome.set_result(action)

    def _send(self, action: Dispatch) -> None:
        try:
            self._sessions.send(action.target_id, action.request, self)
        except Exception:
            # The request may have been sent or not, so its outcome is unknown.
            log.exception("query: sending a sub-request failed")
            self.on_failure(action.request.sub_id, FailureReason.CONNECTION_LOST)


class DispatchFilter:
    """Runs the execution of a query."""

    def __init__(
        self,
        sessions: Sessions,
        timer: SharedTimer,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._sessions = sessions
        self._timer = timer
        self._clock = clock
        self._metrics = metrics
        self.running: dict[ExecutionRunner, RequestContext] = {}

    async def __call__(self, ctx: RequestContext, next: Next) -> Answer:
        """Run the execution and set its outcome."""
        execution = ctx.execution
        assert execution is not None
        runner = ExecutionRunner(execution, self._sessions, self._timer, self._clock, self._metrics)
        ctx.dispatched = execution.dispatched
        self.running[runner] = ctx
        try:
            ctx.outcome = await runner.run(ctx.first_actions)
        except asyncio.CancelledError:
            runner.cancel()
            raise
        finally:
            ctx.first_actions = []
            del self.running[runner]
            self._count_sub_requests(execution)
        return await next(ctx)

    def _count_sub_requests(self, execution: QueryExecution) -> None:
        first, hedges, retries, restarts = execution.counts
        for name, count in (
            ("first", first),
            ("hedges", hedges),
            ("retries", retries),
            ("restarts", restarts),
            ("shed", execution.shed),
            ("unmatched_replies", execution.late),
        ):
            if count:
                self._metrics.incr(f"query.sub_requests.{name}", count)
