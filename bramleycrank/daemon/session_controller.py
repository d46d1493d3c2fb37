"""Owns the sessions to all targets: sends sub-requests and drives the connection monitors."""

from __future__ import annotations

import asyncio
import itertools
import logging
import time
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from bramleycrank.connections import ConnectionBudget, ConnectionConfig, ReconnectBudget
from bramleycrank.daemon.membership_controller import MembershipController
from bramleycrank.daemon.target_link import LinkContext, Listener, TargetLink
from bramleycrank.observability.metrics import Metrics, NullMetrics
from bramleycrank.proto.target_pb2 import LoadReport, SubRequest, TargetRecord
from bramleycrank.query.types import FailureReason

log = logging.getLogger(__name__)

# Tick period of the monitors: a fifth of the shortest silence that they act on.
TICK_S = 0.05

# Number of ticks between two counts of the VMs; a count reads all of their records.
COUNT_PERIOD_TICKS = 10

# Longest wait of a stop for the sessions to close.
CLOSE_TIMEOUT_S = 1.0


class _Settings(Protocol):
    """The part of `Settings` that the controller reads."""

    vm: Any
    connections: Any


class SessionController:
    """Keeps a session to every usable target and sends sub-requests on it.

    A target gets no new sub-requests as soon as the registry reports it as unusable. Its session
    is closed when its sub-requests in flight have ended.

    Parameters
    ----------
    vm_id : str
        Id of this VM.
    cfg : ConnectionConfig
        Options of the connections.
    membership : MembershipController
        Source of targets and of the number of VMs.
    metrics : Metrics, optional
        Receiver of metrics.
    rng : random.Random, optional
        Source of jitter.
    clock : callable, optional
        Monotonic time in seconds.
    """

    def __init__(
        self,
        vm_id: str,
        cfg: ConnectionConfig,
        membership: MembershipController,
        *,
        metrics: Metrics | None = None,
        rng: Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        now = clock()
        self._membership = membership
        self._clock = clock
        self._budget = ConnectionBudget(cfg, now)
        self._link_context = LinkContext(
            vm_id=vm_id,
            cfg=cfg,
            clock=clock,
            rng=rng or Random(),
            reconnects=ReconnectBudget.from_config(cfg, now),
            share=lambda limit: self._budget.share(limit, clock()),
            on_down=self._on_down,
            on_load=self._on_load,
            on_leaving=self._on_leaving,
            metrics=metrics or NullMetrics(),
        )
        self._links: dict[str, TargetLink] = {}
        self._retiring: set[TargetLink] = set()
        self._down_callbacks: list[Callable[[str, bool], None]] = []
        self._load_callbacks: list[Callable[[str, LoadReport], None]] = []
        # Starts at the time: a target must not confuse an id with one of an earlier process.
        self._sub_ids = itertools.count(time.time_ns() // 1000)
        self._task: asyncio.Task[None] | None = None

    @classmethod
    def from_config(
        cls, cfg: _Settings, membership: MembershipController, metrics: Metrics | None = None
    ) -> SessionController:
        """Return a controller with the options of the settings."""
        options = cfg.connections
        return cls(
            cfg.vm.id,
            ConnectionConfig(
                silence_min_s=options.silence_min_s,
                idle_ping_s=options.idle_ping_s,
                reconnects_per_s=options.reconnects_per_s,
                reconnect_burst=options.reconnect_burst,
            ),
            membership,
            metrics=metrics,
        )

    async def start(self) -> None:
        """Open sessions to all usable targets and subscribe to changes of targets."""
        now = self._clock()
        self._budget = ConnectionBudget(self._link_context.cfg, now)
        self._budget.on_vm_count(self._membership.vm_count(), now)
        self._membership.subscribe_targets(self._on_target)
        for record in self._membership.all_targets():
            self._on_target(record)
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Close all sessions; sub-requests in flight are reported as failed."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        links = [*self._links.values(), *self._retiring]
        self._links.clear()
        self._retiring.clear()
        waits = [link.close() for link in links]
        if waits:
            await asyncio.wait([asyncio.ensure_future(w) for w in waits], timeout=CLOSE_TIMEOUT_S)

    # Interface for queries.

    def next_sub_id(self) -> int:
        """Return a sub-request id that this VM has not used before."""
        return next(self._sub_ids)

    def send(self, target_id: str, request: SubRequest, listener: Listener) -> None:
        """Send a sub-request to a target.

        Parameters
        ----------
        target_id : str
            The target.
        request : SubRequest
            The sub-request, with an id from `next_sub_id`.
        listener : Listener
            Called once, with either ``on_reply(reply)`` or ``on_failure(sub_id, reason)``, possibly
            before this method returns, and not after `cancel`. The reason is a `FailureReason`;
            ``not_sent`` guarantees that the sub-request did not run.
        """
        link = self._links.get(target_id)
        if link is None:
            listener.on_failure(request.sub_id, FailureReason.NOT_SENT)
            return
        link.send(request, listener)

    def cancel(self, sub_id: int, target_id: str) -> None:
        """Cancel a sub-request; its listener is not called any more."""
        for link in self._links_of(target_id):
            link.cancel(sub_id)

    def subscribe_down(self, callback: Callable[[str, bool], None]) -> None:
        """Call back with a target id and whether the target is down, at each change."""
        self._down_callbacks.append(callback)

    def subscribe_load(self, callback: Callable[[str, LoadReport], None]) -> None:
        """Call back with the target id and the report whenever a target reports its load."""
        self._load_callbacks.append(callback)

    def is_connected(self, target_id: str) -> bool:
        """Return whether a target has a connection that is ready for sub-requests."""
        link = self._links.get(target_id)
        return link is not None and link.monitor.ready_conn is not None

    def dump(self) -> dict[str, Any]:
        """Return the state of each session and of the budgets."""
        now = self._clock()
        return {
            "targets": {target_id: link.dump(now) for target_id, link in self._links.items()},
            "retiring": [link.dump(now) for link in self._retiring],
            "reconnects": self._link_context.reconnects.dump(),
            "connections": self._budget.dump(),
        }

    # Changes of targets.

    def _links_of(self, target_id: str) -> list[TargetLink]:
        link = self._links.get(target_id)
        links = [] if link is None else [link]
        if self._retiring:
            links += [old for old in self._retiring if old.target_id == target_id]
        return links

    def _on_target(self, record: TargetRecord) -> None:
        link = self._links.get(record.target_id)
        usable = self._membership.is_usable(record.target_id)
        if link is not None and (not usable or not link.matches(record)):
            del self._links[record.target_id]
            if link.retire():
                self._retiring.add(link)
            link = None
        if not usable:
            return
        if link is None:
            self._links[record.target_id] = link = self._link_for(record)
            link.tick(self._clock())
        link.update(record)

    def _link_for(self, record: TargetRecord) -> TargetLink:
        """Return a new link, or the retiring one if it is busy and fits the record.

        A second link would exceed the connection limit of the target.
        """
        for link in self._links_of(record.target_id):
            if link.busy and link.matches(record):
                self._retiring.discard(link)
                link.resume()
                return link
        return TargetLink(record, self._link_context)

    def _on_leaving(self, target_id: str, incarnation: int) -> None:
        """Record that a target announced on its session that it leaves.

        This VM may be partitioned from the home VM of the target, which would send the record.
        """
        self._membership.mark_leaving(target_id, incarnation)

    def _on_down(self, target_id: str, down: bool) -> None:
        log.info("sessions: target %s is %s", target_id, "down" if down else "up")
        if down:
            self._link_context.metrics.incr("connections.target_down")
        for callback in self._down_callbacks:
            callback(target_id, down)

    def _on_load(self, target_id: str, report: LoadReport) -> None:
        for callback in self._load_callbacks:
            callback(target_id, report)

    async def _run(self) -> None:
        for tick_number in itertools.count():
            await asyncio.sleep(TICK_S)
            now = self._clock()
            if tick_number % COUNT_PERIOD_TICKS == 0:
                self._budget.on_vm_count(self._membership.vm_count(), now)
            links = [*self._links.values(), *self._retiring]
            # Each tick starts at another link. In a fixed order, the first links would use up the
            # whole reconnect budget while many targets are down.
            start = tick_number % max(1, len(links))
            for link in [*links[start:], *links[:start]]:
                try:
                    link.tick(now)
                except Exception:
                    log.exception("sessions: tick of target %s failed", link.target_id)
            self._retiring = {link for link in self._retiring if not link.finished}
