"""Targets of the HTTP entry: known records, connections and the choice among them."""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from bramleycrank.connections import ConnectionBudget, ConnectionConfig
from bramleycrank.connections.http_pool import HttpPool
from bramleycrank.connections.reach import Reach, ReachMonitor
from bramleycrank.membership.records import is_addressable
from bramleycrank.observability.metrics import Metrics
from bramleycrank.proto.peer_pb2 import VmRecord
from bramleycrank.proto.target_pb2 import TargetRecord
from bramleycrank.query.catalog import record_key
from bramleycrank.routing import Route, RouteIndex
from bramleycrank.scatter.budget import RetryBudgetConfig
from bramleycrank.scatter.policy import TargetPolicy
from bramleycrank.scatter.warmup import WarmupBounds, WarmupShares
from bramleycrank.transport.http1 import Connector, ReceiveBudget

log = logging.getLogger(__name__)

POOL_TICK_S = 0.05
"""Interval at which the time limits of connections are checked, in seconds."""

VM_COUNT_TICKS = 10
"""Ticks between two counts of the VMs; a count reads the records of all VMs."""

DEFAULT_CONNECTIONS = 8
"""Connections that all VMs together open to a target whose service sets no limit."""


class Targets(Protocol):
    """Source of the targets."""

    def targets(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that may receive new requests."""

    def subscribe_targets(self, callback: Callable[[TargetRecord], None]) -> None:
        """Call back whenever a target's record or usability changes."""

    def warm_at(self, target_id: str) -> float:
        """Return the time at which a target is warm according to its record, in seconds."""

    def restored_at(self, domain: str) -> float | None:
        """Return when the last evacuation of a failure domain ended, in seconds."""

    def caller_vms(self) -> Iterable[VmRecord]:
        """Return the VMs that serve callers, dead ones included."""

    def vm_count(self, domain: str | None = None) -> int:
        """Return the number of VMs that share the connection and retry budgets."""

    def mark_leaving(self, target_id: str, incarnation: int) -> None:
        """Record that a target announced that it leaves."""


class EntryTargets:
    """Updates the target policy and the connections after changes of the registry and the routes.

    Parameters
    ----------
    vm_id, domain : str
        Id and failure domain of this VM.
    source : Targets
        Source of the targets.
    retry_budget : RetryBudgetConfig
        Limits of the retry budget.
    metrics : Metrics
        Receives the metrics.
    rng : random.Random
        Source of random choices.
    on_capacity : callable
        Called with a service whose targets have changed or may have free slots.
    receive_budget : ReceiveBudget, optional
        Memory for messages, shared with the callers.
    warmup : WarmupBounds, optional
        Bound on the requests of all VMs to a cold target.
    regions : mapping of str to str, optional
        Region of each failure domain.
    weigh_load_by_age : bool, optional
        Whether what is known of targets that many VMs share loses weight with its age.
    """

    def __init__(
        self,
        vm_id: str,
        domain: str,
        source: Targets,
        retry_budget: RetryBudgetConfig,
        metrics: Metrics,
        rng: random.Random,
        on_capacity: Callable[[str], None],
        receive_budget: ReceiveBudget[Any] | None = None,
        warmup: WarmupBounds | None = None,
        regions: Mapping[str, str] | None = None,
        *,
        weigh_load_by_age: bool = False,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = self._loop.time
        self._source = source
        self._metrics = metrics
        self._on_capacity = on_capacity
        self._index: RouteIndex | None = None
        self._budget = ConnectionBudget(ConnectionConfig(), self._clock())
        self._vm_count = 1
        self._connector = Connector(
            receive_budget or ReceiveBudget(),
            lambda: metrics.incr("entry.connections_opened"),
        )
        self.pool = HttpPool(
            self._connector.connect,
            self._connection_share,
            self._on_slot_free,
            self._on_reachability_change,
            self._clock,
            rng,
        )
        self.pool.on_heard = self._on_heard
        self.reach = ReachMonitor(rng, self._clock())
        self.on_cut: Callable[[], None] = lambda: None
        self.on_tick: Callable[[], None] = lambda: None
        self.policy = TargetPolicy(
            domain,
            retry_budget,
            self.pool.has_capacity,
            lambda: self._vm_count,
            rng,
            WarmupShares(vm_id, warmup or WarmupBounds(), self._clock()),
            regions,
            lambda: self.reach.cut_for(self._clock()),
            weigh_load_by_age=weigh_load_by_age,
        )
        self._services_of: dict[str, str] = {}
        self._incarnations: dict[str, int] = {}
        self._record_keys: dict[str, tuple[int, int, int]] = {}
        self._covered: set[str] = set()
        self._unreached: frozenset[str] = frozenset()
        self.on_target_ended: Callable[[str, float], None] = lambda *_: None
        self._domain = domain
        self._remote: set[str] = set()  # targets in other failure domains
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Subscribe to the registry and start the periodic checks of connections."""
        self._source.subscribe_targets(self._on_target)
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop the periodic checks, and open no more connections."""
        self._connector.close()
        if self._task is not None:
            self._task.cancel()

    def apply_routes(self, index: RouteIndex) -> None:
        """Load the targets of the services in the routes and remove all others."""
        self._index = index
        self.policy.set_warmups(index.warmups)
        for service in index.services | self._covered:
            self._refresh(service)

    @property
    def unreached(self) -> frozenset[str]:
        """Services with known targets, none of which can be reached."""
        return frozenset(self._covered) if self.reach.is_cut else self._unreached

    def unreached_of(self, route: Route) -> frozenset[str]:
        """Return the services of a route with known targets, none of which can be reached."""
        return self.unreached.intersection(route.services)

    def serves(self, route: Route, now: float) -> bool:
        """Return whether this VM should do the work of a request itself."""
        return self.reach.serves_locally(now) and not self.unreached_of(route)

    def covers(self, index: RouteIndex) -> bool:
        """Return whether a target is known for each service of the routes."""
        return index.services <= self._covered

    def can_serve(self, index: RouteIndex) -> bool:
        """Return whether each route reaches enough of its services for a success.

        Routes without any known target do not count.
        """
        return all(
            sum(map(self.policy.is_served, route.services)) >= route.needed
            for route in index.routes()
            if any(service in self._covered for service in route.services)
        )

    def dump(self, now: float) -> dict[str, Any]:
        """Return the policy and the connections in JSON form."""
        return {
            "reach": self.reach.dump(now),
            "policy": self.policy.dump(now),
            "connections": self.pool.dump(),
            "opened": self.pool.opened,
            "held_bytes": self._connector.receive_budget.held_bytes,
        }

    def incarnation(self, target_id: str) -> int:
        """Return the incarnation of a target that may receive requests; 0 for any other."""
        return self._incarnations.get(target_id, 0)

    def mark_leaving(self, target_id: str, incarnation: int) -> None:
        """Send no more sub-requests to an incarnation of a target that announced that it leaves."""
        if self.incarnation(target_id) == incarnation:
            log.info("entry: target says that it leaves", extra={"target": target_id})
        self._source.mark_leaving(target_id, incarnation)

    def hold(self, target_id: str, incarnation: int, hold_s: float) -> None:
        """Hold an incarnation of a target back for `hold_s` seconds, as it requested."""
        now = self._clock()
        held_until = self.policy.table.held_until(target_id)
        until = self.policy.table.hold(target_id, incarnation, hold_s, now)
        if until <= max(held_until, now):
            return
        log.info("entry: target is held back", extra={"target": target_id, "hold_s": hold_s})
        self._metrics.incr("entry.holds")
        self._loop.call_at(until, self._on_slot_free, target_id)
        self.pool.cancel_unsent(target_id)

    def limit_rate(self, target_id: str, incarnation: int, per_s: float | None) -> None:
        """Apply the rate that an incarnation of a target tolerates; None ends its limit."""
        if self.policy.rate_limits.update(target_id, incarnation, per_s, self._clock()):
            self._update_senders()
            log.info(
                "entry: target limits its rate",
                extra={"target": target_id, "per_s": per_s, "vms": self._vm_count},
            )
            self._metrics.incr("entry.rate_limits")

    def is_remote(self, target_id: str) -> bool:
        """Return whether a target is in another failure domain."""
        return target_id in self._remote

    def _on_target(self, record: TargetRecord) -> None:
        service = record.service or self._services_of.get(record.target_id, "")
        previous = self._services_of.get(record.target_id)
        if previous is not None and previous != service:
            self._refresh(previous)
        self._refresh(service)

    def _refresh(self, service: str) -> None:
        """Copy the current targets of a service into the policy and the pool."""
        wanted = self._index is not None and service in self._index.services
        records = list(filter(is_addressable, self._source.targets(service))) if wanted else []
        limit = self._index.connections.get(service, 0) if wanted else 0
        current = {record.target_id for record in records}
        removed = [
            i for i, name in self._services_of.items() if name == service and i not in current
        ]
        for target_id in removed:
            del self._services_of[target_id]
            self._incarnations.pop(target_id, None)
            self._record_keys.pop(target_id, None)
            self._remote.discard(target_id)
            self.pool.remove(target_id)
        for record in records:
            self._services_of[record.target_id] = service
            self._incarnations[record.target_id] = record.incarnation
            if record.domain != self._domain:
                self._remote.add(record.target_id)
            self.pool.update(
                record.target_id, record.host, record.port, limit or DEFAULT_CONNECTIONS
            )
        self.policy.update(service, records, self._clock())
        for record in records:
            self._update_warmth(record)
        for target_id in removed:
            self.pool.cancel_unsent(target_id)
        if records:
            self._covered.add(service)
        else:
            self._covered.discard(service)
        self._update_reach(service)
        self._on_capacity(service)

    def _update_reach(self, service: str) -> None:
        """Record whether a target of a service can be reached, and log each change."""
        unreached = service in self._covered and not self.policy.has_reachable(service)
        if unreached == (service in self._unreached):
            return
        self._unreached ^= {service}
        self._metrics.gauge("entry.services_unreached", len(self._unreached))
        log.info(
            "entry: service is %s",
            "out of reach" if unreached else "in reach",
            extra={
                "service": service,
                "unreached": len(self._unreached),
                "services": len(self._covered),
                "kept_connections": self.pool.connected,
            },
        )

    def _update_warmth(self, record: TargetRecord) -> None:
        """Pass the warm-up of a target to the policy, if its record has changed."""
        target_id, key = record.target_id, record_key(record)
        known_key = self._record_keys.get(target_id)
        if known_key == key:
            return
        self._record_keys[target_id] = key
        restored_at = self._source.restored_at(record.domain) if known_key is None else None
        self.policy.on_warmup_reported(target_id, self._source.warm_at(target_id), restored_at)

    def _connection_share(self, limit: int) -> int:
        return self._budget.share(limit, self._clock())

    def _on_slot_free(self, target_id: str) -> None:
        service = self._services_of.get(target_id)
        if service is not None:
            self._loop.call_soon(self._on_capacity, service)

    def _on_reachability_change(self, target_id: str, down: bool) -> None:
        service = self._services_of.get(target_id)
        log.info(
            "entry: target is %s",
            "down" if down else "up",
            extra={"target": target_id, "service": service},
        )
        self.policy.table.set_down(target_id, down, self._clock())
        if service is not None:
            if down:
                self.reach.on_target_down(self._clock())
                if self.pool.has_ended(target_id) and not self.reach.is_probing:
                    self.on_target_ended(service, self._clock())
            else:
                self.policy.on_reachable_again(service, target_id, self._clock())
            self._update_reach(service)
            self._loop.call_soon(self._on_capacity, service)

    def _on_heard(self) -> None:
        if self.reach.on_heard(self._clock()):
            self._on_reach_change()

    def _check_reach(self) -> None:
        """Find out whether this VM has lost its links to all targets."""
        now = self._clock()
        overdue = self.pool.overdue_targets(self._patience)
        if self.reach.check(overdue, now):
            self._on_reach_change()
        if self.reach.is_probe_due(now):
            domains: dict[str, list[str]] = defaultdict(list)
            for target_id in self._services_of:
                domains[self.policy.table.state(target_id).domain].append(target_id)
            self.pool.probe(self.reach.targets_to_probe(domains, now))

    def _patience(self, target_id: str) -> float:
        state = self.policy.table.state(target_id)
        return ReachMonitor.patience(state.latency_s if state is not None else 0.0)

    def _on_reach_change(self) -> None:
        state = self.reach.state
        log.info(
            "entry: the links to the targets are %s",
            state,
            extra={
                "services": len(self._covered),
                "unreached": len(self._unreached),
                "kept_connections": self.pool.connected,
            },
        )
        self._metrics.gauge("entry.cut_off", float(self.reach.is_cut))
        self.pool.reconnecting = not self.reach.is_probing
        if state is Reach.CUT:
            self.on_cut()
        elif state is Reach.RETURNING:
            self.pool.spread_reconnects()

    def _update_senders(self) -> None:
        """Update the VMs that share the rates of targets, if any rate is bounded."""
        warmups = self._index.warmups.values() if self._index is not None else ()
        if not self.policy.rate_limits.in_force and not any(w.per_s for w in warmups):
            return
        vms = [(record.vm_id, record.domain) for record in self._source.caller_vms()]
        self.policy.warmup.set_vms(vms)
        self.policy.warmup.retain(self._services_of)

    async def _run(self) -> None:
        for tick in itertools.count():
            try:
                self.pool.tick()
                self._check_reach()
                self.on_tick()
                if tick % VM_COUNT_TICKS == 0:
                    self._vm_count = max(1, self._source.vm_count())
                    self._budget.on_vm_count(self._vm_count, self._clock())
                    self._update_senders()
            except Exception:
                log.exception("entry: tick failed")
            await asyncio.sleep(POOL_TICK_S)
