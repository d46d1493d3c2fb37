"""The targets of the HTTP entry: which are known, their connections, and how they are chosen."""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
from collections.abc import Callable
from typing import Any, Protocol

from bramleycrank.connections import ConnectionBudget, ConnectionConfig
from bramleycrank.connections.http_pool import HttpPool
from bramleycrank.observability.metrics import Metrics
from bramleycrank.proto.target_pb2 import TargetRecord
from bramleycrank.routing import RouteIndex
from bramleycrank.scatter.budget import ExtraConfig
from bramleycrank.scatter.policy import TargetPolicy
from bramleycrank.transport.http1 import ReceiveBudget, TargetConnection

log = logging.getLogger(__name__)

POOL_TICK_S = 0.05
"""Time between two checks of the connections' time limits, in seconds."""

COUNT_TICKS = 10
"""Ticks between two counts of the VMs, which read all of their records."""

DEFAULT_CONNECTIONS = 8
"""Connections of a target in all while its service names no limit."""


class Targets(Protocol):
    """Source of the targets."""

    def targets(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that may get new work."""

    def subscribe_targets(self, callback: Callable[[TargetRecord], None]) -> None:
        """Call back whenever a target's record or usability changes."""

    def vm_count(self, domain: str | None = None) -> int:
        """Return how many VMs share the budgets."""

    def note_leaving(self, target_id: str, incarnation: int) -> None:
        """Record that a target itself said that it leaves."""


class EntryTargets:
    """Keeps the policy and the connections in step with the registry and the routes.

    Parameters
    ----------
    domain : str
        Failure domain of this VM.
    source : Targets
        Source of the targets.
    extra : ExtraConfig
        Bound for extra sub-requests.
    metrics : Metrics
        Receiver of metrics.
    rng : random.Random
        Source of random choices.
    wake : callable
        Called with a service whose targets may have room or have changed.
    memory_bytes : int, optional
        Memory limit of this VM, of which responses may use a part; 0 if unknown.
    """

    def __init__(
        self,
        domain: str,
        source: Targets,
        extra: ExtraConfig,
        metrics: Metrics,
        rng: random.Random,
        wake: Callable[[str], None],
        memory_bytes: int = 0,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = self._loop.time
        self._source = source
        self._metrics = metrics
        self._wake = wake
        self._index: RouteIndex | None = None
        self._budget = ConnectionBudget(ConnectionConfig(), self._clock())
        self._vm_count = 1
        self.pool = HttpPool(self._connect, self._share, self._on_room, self._on_down, self._clock)
        self.policy = TargetPolicy(
            domain, extra, self.pool.has_capacity, lambda: self._vm_count, rng
        )
        self._intake: ReceiveBudget[TargetConnection] = ReceiveBudget.from_memory(memory_bytes)
        self._services_of: dict[str, str] = {}
        self._incarnations: dict[str, int] = {}
        self._served: set[str] = set()
        self._domain = domain
        self._far: set[str] = set()  # targets of other failure domains
        self._opening: set[asyncio.Task[Any]] = set()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Follow the registry and watch the connections."""
        self._source.subscribe_targets(self._on_target)
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()

    def use(self, index: RouteIndex) -> None:
        """Take the targets of the services that the routes name, and drop others."""
        self._index = index
        for service in index.services | self._served:
            self._refresh(service)

    def covers(self, index: RouteIndex) -> bool:
        """Return whether a target is known for each service of the routes."""
        return index.services <= self._served

    def can_serve(self, index: RouteIndex) -> bool:
        """Return whether each route reaches enough of its services for a success.

        Routes without any known target do not count.
        """
        return all(
            sum(map(self.policy.is_served, route.services)) >= route.needed
            for route in index.routes()
            if any(service in self._served for service in route.services)
        )

    def dump(self, now: float) -> dict[str, Any]:
        """Return the policy and the connections."""
        return {
            "policy": self.policy.dump(now),
            "connections": self.pool.dump(),
            "opened": self.pool.opened,
            "held_bytes": self._intake.held_bytes,
        }

    def incarnation(self, target_id: str) -> int:
        """Return the incarnation of a target that gets requests now; 0 if it gets none."""
        return self._incarnations.get(target_id, 0)

    def note_leaving(self, target_id: str, incarnation: int) -> None:
        """Send nothing more to an incarnation of a target, which said that it leaves."""
        if self.incarnation(target_id) == incarnation:
            log.info("entry: target says that it leaves", extra={"target": target_id})
        self._source.note_leaving(target_id, incarnation)

    def hold(self, target_id: str, incarnation: int, hold_s: float) -> None:
        """Send nothing to an incarnation of a target for some time, as it asked."""
        now = self._clock()
        known = self.policy.table.held_until(target_id)
        until = self.policy.table.hold(target_id, incarnation, hold_s, now)
        if until <= max(known, now):
            return
        log.info("entry: target is held back", extra={"target": target_id, "hold_s": hold_s})
        self._metrics.incr("entry.holds")
        self._loop.call_at(until, self._on_room, target_id)
        self.pool.cancel_unsent(target_id)

    def is_far(self, target_id: str) -> bool:
        """Return whether a target is in another failure domain."""
        return target_id in self._far

    def _on_target(self, record: TargetRecord) -> None:
        service = record.service or self._services_of.get(record.target_id, "")
        previous = self._services_of.get(record.target_id)
        if previous is not None and previous != service:
            self._refresh(previous)
        self._refresh(service)

    def _refresh(self, service: str) -> None:
        """Take the targets of a service over into the policy and the pool."""
        wanted = self._index is not None and service in self._index.services
        records = self._source.targets(service) if wanted else []
        limit = self._index.connections.get(service, 0) if wanted else 0
        current = {record.target_id for record in records}
        gone = [i for i, name in self._services_of.items() if name == service and i not in current]
        for target_id in gone:
            del self._services_of[target_id]
            self._incarnations.pop(target_id, None)
            self._far.discard(target_id)
            self.pool.remove(target_id)
        for record in records:
            self._services_of[record.target_id] = service
            self._incarnations[record.target_id] = record.incarnation
            if record.domain != self._domain:
                self._far.add(record.target_id)
            self.pool.update(
                record.target_id, record.host, record.port, limit or DEFAULT_CONNECTIONS
            )
        self.policy.update(service, records, self._clock())
        if records:
            self._served.add(service)
        else:
            self._served.discard(service)
        self._wake(service)

    def _share(self, limit: int) -> int:
        return self._budget.share(limit, self._clock())

    def _connect(self, host: str, port: int, pool: HttpPool) -> TargetConnection:
        conn = TargetConnection(pool, self._intake)
        task = self._loop.create_task(self._open(conn, host, port))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)
        return conn

    async def _open(self, conn: TargetConnection, host: str, port: int) -> None:
        self._metrics.incr("entry.connections_opened")
        try:
            await self._loop.create_connection(lambda: conn, host, port)
        except OSError as exc:
            log.debug("entry: no connection to %s:%d: %s", host, port, exc)
            self.pool.on_closed(conn)

    def _on_room(self, target_id: str) -> None:
        service = self._services_of.get(target_id)
        if service is not None:
            self._loop.call_soon(self._wake, service)

    def _on_down(self, target_id: str, down: bool) -> None:
        service = self._services_of.get(target_id)
        log.info(
            "entry: target is %s",
            "down" if down else "up",
            extra={"target": target_id, "service": service},
        )
        self.policy.table.set_down(target_id, down, self._clock())
        if service is not None:
            self._loop.call_soon(self._wake, service)

    async def _run(self) -> None:
        for turn in itertools.count():
            try:
                self.pool.tick()
                if turn % COUNT_TICKS == 0:
                    self._vm_count = max(1, self._source.vm_count())
                    self._budget.on_vm_count(self._vm_count, self._clock())
            except Exception:
                log.exception("entry: tick failed")
            await asyncio.sleep(POOL_TICK_S)
