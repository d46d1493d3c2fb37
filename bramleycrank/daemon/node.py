"""The daemon: builds, starts and stops its parts."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Awaitable
from typing import Any

import attrs
from grpclib.server import Server

from bramleycrank.daemon.config_controller import ConfigController
from bramleycrank.daemon.consensus_controller import ConsensusController
from bramleycrank.daemon.control_parts import ControlParts
from bramleycrank.daemon.control_steps import ControlSteps
from bramleycrank.daemon.leave_log import LeaveLog
from bramleycrank.daemon.life_cycle import LifeCycle
from bramleycrank.daemon.membership_controller import MembershipController
from bramleycrank.daemon.query_controller import QueryController
from bramleycrank.daemon.session_controller import SessionController
from bramleycrank.daemon.voter_changes import VoterChanges
from bramleycrank.entry.usable_targets import UsableTargets
from bramleycrank.observability import metrics as metrics_module
from bramleycrank.query.types import QueryConfig
from bramleycrank.settings import Settings
from bramleycrank.transport.http_api import ApiSite, HttpApi
from bramleycrank.transport.operator_service import OperatorService
from bramleycrank.transport.peer_client import PeerClients
from bramleycrank.transport.peer_service import PeerService
from bramleycrank.transport.registry_service import RegistryService

log = logging.getLogger(__name__)

# Longest wait of a stop for calls of other VMs and operators that are in flight.
SERVER_CLOSE_TIMEOUT_S = 1.0


GAUGE_PERIOD_S = 10.0

# Longest wait of a stop for changes of operators; an interrupted change can be sent again.
CHANGES_WAIT_S = 5.0

# Longest wait of a starting VM for sessions to its known targets.
SESSIONS_WAIT_S = 3.0

# Delay for answers that were written but have not left the sockets when the last request ended.
FLUSH_DELAY_S = 0.05

# Longest wait for callers that read their answers slowly or not at all.
FLUSH_LIMIT_S = 10.0


@attrs.frozen
class QueryMetrics:
    """Forwards metrics of the query path and converts its milliseconds to seconds."""

    target: metrics_module.Metrics

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self.target.incr(name, count)

    def timing(self, name: str, ms: float) -> None:
        """Record a duration in milliseconds."""
        self.target.timing(name, ms / 1000)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.target.gauge(name, value)


@attrs.define
class Parts:
    """All parts of a running node."""

    clients: PeerClients
    membership: MembershipController
    consensus: ConsensusController
    config: ConfigController
    leaves: LeaveLog
    sessions: SessionController
    query: QueryController
    voters: VoterChanges
    metrics: metrics_module.Metrics


class Node(ControlSteps):
    """A daemon: its parts, its listeners and the steps of its life cycle.

    Parameters
    ----------
    cfg : Settings
        Settings of the VM.
    """

    def __init__(self, cfg: Settings) -> None:
        super().__init__()
        self._cfg = cfg
        self._parts: Parts | None = None
        self._server: Server | None = None
        self._operator: OperatorService | None = None
        self._http_port: Any = None
        self._site: ApiSite | None = None
        self._gauge_timer: asyncio.TimerHandle | None = None
        self.life_cycle = LifeCycle(
            self, cfg.life_cycle.drain_notice_s, cfg.life_cycle.drain_limit_s
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of all parts in JSON form."""
        parts = self._parts
        return {
            "vm": {
                "id": self._cfg.vm.id,
                "domain": self._cfg.vm.domain,
                "region": self._cfg.vm.region,
                "http": str(self._cfg.listen.http),
                "grpc": str(self._cfg.listen.grpc),
            },
            "life_cycle": self.life_cycle.dump(),
            "consensus": parts and parts.consensus.dump(),
            "config": parts and parts.config.dump(),
            "membership": parts and parts.membership.dump(),
            "sessions": parts and parts.sessions.dump(),
            "query": parts and parts.query.dump(),
            "peer_calls": parts and parts.clients.dump(),
        }

    def readiness(self) -> str:
        """Return an empty string while the VM is ready, otherwise the reason why it is not."""
        return "" if self.life_cycle.ready() else f"the VM is {self.life_cycle.state}"

    # Steps of the life cycle.

    async def start_parts(self) -> None:
        """Build and start all parts; callers are refused until a configuration is in force."""
        parts = self._parts = self._build()
        await parts.consensus.start()
        await parts.config.start()
        parts.leaves.start()
        self._server = Server(self._services(parts))
        await self._server.start(self._cfg.listen.grpc.host, self._cfg.listen.grpc.port)
        await parts.query.start()
        await parts.sessions.start()
        self._listen_http(parts)
        self._in_gossip = True
        await parts.membership.start()
        self._report_gauges()

    async def join(self) -> None:
        """Wait until a configuration is in force and all usable targets are connected.

        A VM that was ready before would use up the deadline of its first requests for connecting.
        The wait for unreachable targets ends after `SESSIONS_WAIT_S`.
        """
        await self._parts.config.wait_in_force()
        deadline = asyncio.get_running_loop().time() + SESSIONS_WAIT_S
        while asyncio.get_running_loop().time() < deadline and not self._sessions_connected():
            await asyncio.sleep(0.02)

    def _sessions_connected(self) -> bool:
        parts = self._parts
        usable = (t.target_id for t in parts.membership.all_targets())
        return all(
            parts.sessions.is_connected(target_id)
            for target_id in usable
            if parts.membership.is_usable(target_id)
        )

    async def stop_listening(self) -> None:
        """Stop accepting requests of callers."""
        if self._http_port is not None:
            port, self._http_port = self._http_port, None
            await _wait_for_deferred(port.stopListening())

    async def finish_requests(self, limit_s: float) -> None:
        """Wait until requests and changes have ended and answers are sent; each wait is limited."""
        if not await self._parts.query.drain(limit_s):
            log.warning("life cycle: requests are still in flight after %s s", limit_s)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(limit_s, CHANGES_WAIT_S)
        while self._operator.in_flight and loop.time() < deadline:
            await asyncio.sleep(0.02)
        await asyncio.sleep(FLUSH_DELAY_S)
        deadline = loop.time() + min(limit_s, FLUSH_LIMIT_S)
        while self._site is not None and self._site.flushing and loop.time() < deadline:
            await asyncio.sleep(0.02)

    async def close(self) -> None:
        """Close all parts that were started."""
        await self.stop_listening()
        if self._parts is None:
            return
        parts = self._parts
        if self._gauge_timer is not None:
            self._gauge_timer.cancel()
        parts.leaves.stop()
        for step in (parts.query.stop(), parts.sessions.stop(), parts.config.stop()):
            await _log_failure(step)
        await _log_failure(parts.membership.stop())
        if self._server is not None:
            self._server.close()
            await _log_failure(asyncio.wait_for(self._server.wait_closed(), SERVER_CLOSE_TIMEOUT_S))
        await _log_failure(parts.consensus.stop())
        parts.clients.close()
        parts.metrics.close()

    def _report_gauges(self) -> None:
        parts = self._parts
        targets = parts.membership.all_targets()
        usable = sum(parts.membership.is_usable(target.target_id) for target in targets)
        parts.metrics.gauge("config.revision", parts.config.revision)
        parts.metrics.gauge("config.stale", parts.config.stale_ms())
        parts.metrics.gauge("membership.vms", len(parts.membership.vms()))
        parts.metrics.gauge("membership.targets", usable)
        parts.consensus.report_bytes()
        loop = asyncio.get_running_loop()
        self._gauge_timer = loop.call_later(GAUGE_PERIOD_S, self._report_gauges)

    # Construction.

    def _build(self) -> Parts:
        cfg, rng = self._cfg, random.Random()
        metrics = metrics_module.create(cfg.metrics)
        control = ControlParts.from_config(cfg, metrics, rng)
        membership, consensus, config = control.membership, control.consensus, control.config
        config.subscribe(lambda: self._on_config(config))
        sessions = SessionController.from_config(cfg, membership, metrics)
        query = QueryController(
            vm_id=cfg.vm.id,
            domain=cfg.vm.domain,
            cfg=QueryConfig.from_settings(cfg.query),
            configuration=config,
            targets=UsableTargets(membership, config, time.monotonic),
            sessions=sessions,
            proposer=consensus,
            metrics=QueryMetrics(metrics),
            rng=rng,
        )
        sessions.subscribe_down(query.set_down)
        sessions.subscribe_load(query.on_load)
        return Parts(
            control.clients,
            membership,
            consensus,
            config,
            control.leaves,
            sessions,
            query,
            control.voters,
            metrics,
        )

    def _services(self, parts: Parts) -> list[Any]:
        self._operator = OperatorService(
            parts.config,
            parts.consensus,
            parts.membership,
            parts.voters,
            parts.clients,
            self.dump,
        )
        peer = PeerService(parts.membership, parts.config, parts.consensus)
        return [self._operator, peer, RegistryService(parts.membership)]

    def _listen_http(self, parts: Parts) -> None:
        from twisted.internet import reactor

        site = self._site = HttpApi(parts.query, self.readiness, self.dump).site()
        address = self._cfg.listen.http
        self._http_port = reactor.listenTCP(address.port, site, interface=address.host)

    def _on_config(self, config: ConfigController) -> None:
        self.life_cycle.set_operator_drain(config.is_drained(self._cfg.vm.id))


async def _log_failure(step: Awaitable[Any]) -> None:
    """Run a step of closing; log its failure, so that the other steps still run."""
    try:
        await step
    except Exception:
        log.exception("life cycle: closing a part failed")


async def _wait_for_deferred(result: Any) -> None:
    """Wait for a result of Twisted: a Deferred, or None if the operation is complete."""
    if result is not None:
        await result.asFuture(asyncio.get_running_loop())
