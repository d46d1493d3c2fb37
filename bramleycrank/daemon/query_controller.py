"""Runs the query core on the asyncio loop."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any

from bramleycrank.exceptions import BramleycrankError, Draining, InternalError
from bramleycrank.filters.admit import AdmitFilter
from bramleycrank.filters.answer import AnswerFilter
from bramleycrank.filters.chain import compose, set_error_outcome
from bramleycrank.filters.claim import ClaimFilter
from bramleycrank.filters.classify import ClassifyFilter
from bramleycrank.filters.dispatch import DispatchFilter
from bramleycrank.filters.merge import MergeFilter
from bramleycrank.filters.plan import PlanFilter
from bramleycrank.filters.snapshot import SnapshotFilter
from bramleycrank.filters.timer import SharedTimer
from bramleycrank.filters.types import (
    Configuration,
    Filter,
    Metrics,
    NoMetrics,
    Proposer,
    RequestContext,
    Sessions,
    Targets,
)
from bramleycrank.filters.validate import ValidateFilter
from bramleycrank.proto.target_pb2 import LoadReport, TargetRecord
from bramleycrank.query.admission import Admission
from bramleycrank.query.catalog import SnapshotCatalog
from bramleycrank.query.policy import make_policy
from bramleycrank.query.replicas import ReplicaTable
from bramleycrank.query.types import Answer, QueryConfig, QueryRequest

log = logging.getLogger(__name__)

REFRESH_PERIOD_S = 1.0
"""Period of a refresh of the targets of all used services; expired leases cause no event."""

REFRESH_DELAY_S = 0.05
"""Delay that batches target changes; the refresh shows them to hedges and retries."""

DRAIN_RETRY_MS = 100
"""Retry-after of refusals while this VM drains; other VMs can serve the caller immediately."""


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


class QueryController:
    """Executes requests; owns admission, snapshots, replicas and budgets.

    Parameters
    ----------
    vm_id, domain : str
        Id and failure domain of this VM.
    clock : callable
        Monotonic time in seconds.
    wall_ms : callable
        Unix time in milliseconds.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        domain: str,
        cfg: QueryConfig,
        configuration: Configuration,
        targets: Targets,
        sessions: Sessions,
        proposer: Proposer,
        metrics: Metrics | None = None,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_ms: Callable[[], int] = _wall_ms,
    ) -> None:
        rng = rng or random.Random()
        self._domain = domain
        self._targets = targets
        self._metrics = metrics or NoMetrics()
        self._clock = clock
        self._timer = SharedTimer(clock)
        self._catalog = SnapshotCatalog()
        self._replicas = ReplicaTable(domain, rng, cfg.warmup_s)
        self._policy = make_policy(cfg, self._replicas, rng)
        self._admission = Admission.from_config(cfg)
        self._stale_services: dict[str, bool] = {}
        self._next_refresh_at: float | None = None
        self._refresh_handle: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._draining = False
        self._configuration = configuration
        claim = ClaimFilter(proposer, vm_id, self._spawn, clock)
        self._chain = compose(self._filters(configuration, sessions, claim, wall_ms))

    def _filters(
        self,
        configuration: Configuration,
        sessions: Sessions,
        claim: Filter,
        wall_ms: Callable[[], int],
    ) -> list[Filter]:
        clock, timer, metrics = self._clock, self._timer, self._metrics
        self._dispatch = DispatchFilter(sessions, timer, clock, metrics)
        return [
            ValidateFilter(configuration, wall_ms),
            ClassifyFilter(),
            AdmitFilter(self._admission, timer, clock, metrics),
            claim,
            SnapshotFilter(self._catalog, self._refresh, clock),
            PlanFilter(self._policy, self._catalog, sessions.next_sub_id, clock),
            self._dispatch,
            MergeFilter(),
            AnswerFilter(configuration),
        ]

    @property
    def in_flight(self) -> int:
        """Number of requests in flight and of background tasks that complete or abandon claims."""
        return len(self._tasks)

    async def start(self) -> None:
        """Subscribe to target changes and start the periodic refresh."""
        self._targets.subscribe_targets(self._on_target)
        self._next_refresh_at = self._clock() + REFRESH_PERIOD_S
        self._timer.update(self)

    async def stop(self) -> None:
        """Stop timers and cancel requests and background tasks."""
        self._draining = True
        self._next_refresh_at = None
        if self._refresh_handle is not None:
            self._refresh_handle.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._timer.close()

    async def execute(self, req: QueryRequest) -> Answer:
        """Return the answer to `req`.

        If the calling task is cancelled, the request is cancelled too. A non-idempotent request
        that was dispatched runs on, and its claim is completed in the log.

        Raises
        ------
        BramleycrankError
            The request cannot be answered.
        """
        ctx = RequestContext(req, received_at=self._clock())
        task = self._spawn(self._run(ctx))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled():  # by `stop`; the caller is still connected
                error = Draining(retry_after_ms=DRAIN_RETRY_MS)
                set_error_outcome(ctx, error)
                raise error from None
            if ctx.idempotent or not ctx.dispatched:
                task.cancel()
            raise

    async def _run(self, ctx: RequestContext) -> Answer:
        result = "unexpected"
        try:
            if self._draining:
                raise Draining(retry_after_ms=DRAIN_RETRY_MS)
            answer = await self._chain(ctx)
            result = answer.outcome
            return answer
        except BramleycrankError as exc:
            set_error_outcome(ctx, exc)
            result = exc.name
            raise
        except asyncio.CancelledError:
            result = "cancelled"
            raise
        except Exception:
            log.exception("query: a request failed unexpectedly")
            error = InternalError()
            set_error_outcome(ctx, error)
            raise error from None
        finally:
            self._metrics.incr(f"query.requests.{result}")
            self._metrics.timing("query.latency", (self._clock() - ctx.received_at) * 1e3)

    def _spawn(self, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()  # marks it as retrieved; the caller may have disconnected

    async def drain(self, limit_s: float) -> bool:
        """Wait at most `limit_s` seconds until nothing is in flight; return whether nothing is.

        New requests are refused with `Draining` as soon as this is called.
        """
        self._draining = True
        deadline = self._clock() + limit_s
        while self._tasks and (remaining_s := deadline - self._clock()) > 0:
            await asyncio.wait(list(self._tasks), timeout=remaining_s)
        return not self._tasks

    def set_down(self, target_id: str, down: bool) -> None:
        """Record whether the connection monitor considers a target down."""
        now = self._clock()
        self._replicas.set_down(target_id, down, now)
        self._catalog.set_down(target_id, down, now)

    def on_load(self, target_id: str, report: LoadReport) -> None:
        """Record the load report of a target."""
        self._replicas.on_load(target_id, report, self._clock())

    def _on_target(self, record: TargetRecord) -> None:
        """Mark a service as stale, and schedule a refresh for requests that are running."""
        if record.service not in self._stale_services:
            return
        self._stale_services[record.service] = True
        if self._refresh_handle is None:
            loop = asyncio.get_running_loop()
            self._refresh_handle = loop.call_later(REFRESH_DELAY_S, self._refresh_all)

    def _refresh_all(self) -> None:
        self._refresh_handle = None
        for service in list(self._stale_services):
            self._refresh(service)

    def _refresh(self, service: str) -> None:
        """Read the targets of a service again if it is marked as stale."""
        if not self._stale_services.get(service, True):
            return
        self._stale_services[service] = False
        now = self._clock()
        records = list(self._targets.targets(service))
        if self._catalog.update(service, records, now):
            self._replicas.set_vm_counts({self._domain: self._targets.vm_count(self._domain)})
            self._replicas.update(service, records, now)

    def next_deadline(self) -> float | None:
        """Return the time of the next periodic refresh."""
        return self._next_refresh_at

    def on_deadline(self, now: float) -> None:
        """Refresh the targets of all used services and report gauges."""
        self._next_refresh_at = now + REFRESH_PERIOD_S
        self._stale_services = dict.fromkeys(self._stale_services, True)
        self._refresh_all()
        self._metrics.gauge("query.in_flight", self._admission.in_flight)
        self._metrics.gauge("query.queued", self._admission.queued)
        self._metrics.gauge("query.concurrency_limit", self._admission.limit.value)

    def dump(self) -> dict[str, Any]:
        """Return the state of targets, limits, budgets and snapshots in JSON form."""
        now = self._clock()
        running = [ctx.execution for ctx in self._dispatch.running.values() if ctx.execution]
        return {
            "draining": self._draining,
            "in_flight": self.in_flight,
            "admission": self._admission.dump(now),
            "snapshots": self._catalog.dump(now),
            "targets": self._replicas.dump(now),
            "budgets": self._policy.dump(now),
            "executions": [execution.dump(now) for execution in running[:100]],
        }
