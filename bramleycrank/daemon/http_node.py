"""A VM that serves forwarded HTTP requests, or the calls of operators and targets."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import attrs
from grpclib.server import Server

from bramleycrank.daemon.control_parts import ControlParts
from bramleycrank.daemon.control_service import ControlService
from bramleycrank.daemon.control_steps import ControlSteps
from bramleycrank.daemon.entry_controller import EntryController
from bramleycrank.daemon.entry_types import EntryDialect
from bramleycrank.daemon.far_contact import FarContact
from bramleycrank.daemon.life_cycle import LifeCycle
from bramleycrank.daemon.voter_keeper import VoterKeeper, VotingConfig
from bramleycrank.membership import MembershipConfig
from bramleycrank.observability.metrics import Metrics
from bramleycrank.observability.traffic import Traffic
from bramleycrank.routing import Limits
from bramleycrank.scatter.budget import ExtraConfig
from bramleycrank.settings import Address, Settings
from bramleycrank.transport.http1 import Exchange, Http1Server, ReceiveBudget
from bramleycrank.transport.http1.server_connection import ServerConnection
from bramleycrank.transport.peer_service import PeerService

log = logging.getLogger(__name__)

CONTROL_LIMITS = Limits(body_bytes=8 * 1024 * 1024)
"""Limits for operators; a table of some thousand routes has a few megabytes."""

SERVER_CLOSE_S = 0.5
"""How long a stop waits for calls of other VMs that are still being answered, in seconds."""

POLL_S = 0.02
"""Time between two looks while the life cycle waits, in seconds."""

TRAFFIC_LOG_S = 10.0
"""Time between two log lines with the traffic by purpose, in seconds."""

JOIN_TARGETS_S = 1.5
"""How long a VM that has its routes waits for targets before it is ready, in seconds."""


class Handler:
    """Answers requests by a function."""

    def __init__(self, answer: Callable[[Exchange], None]) -> None:
        self._answer = answer

    def on_request(self, exchange: Exchange) -> None:
        """Take a request."""
        self._answer(exchange)


@attrs.frozen(kw_only=True)
class HttpNodeConfig:
    """What an `HttpNode` serves, and where.

    Parameters
    ----------
    base : Settings
        Settings that all VMs have.
    membership : MembershipConfig
        Options of the membership.
    entry : Address or None
        Where callers connect, on a VM that serves them.
    readiness : Address or None
        Where the load balancer asks whether the VM is ready.
    control : Address or None
        Where operators and targets connect, on a VM that serves them.
    metrics : Address or None
        Where the metrics are served.
    extra : ExtraConfig
        Bound for extra sub-requests.
    link_bytes_per_s : float
        Bandwidth of the VM's link; 0 if unknown.
    memory_bytes : int
        Memory limit of the process; 0 if unknown.
    voting : VotingConfig
        How the voters are found.
    """

    base: Settings
    membership: MembershipConfig
    entry: Address | None = None
    readiness: Address | None = None
    control: Address | None = None
    metrics: Address | None = None
    extra: ExtraConfig = attrs.field(factory=ExtraConfig)
    link_bytes_per_s: float = 0.0
    memory_bytes: int = 0
    voting: VotingConfig = attrs.field(factory=VotingConfig)


class HttpAdapter(Protocol):
    """Translates between the product and the protocol around it."""

    dialect: EntryDialect

    def readiness(self, exchange: Exchange, reason: str) -> None:
        """Answer the load balancer; `reason` says why the VM is not ready, or is empty."""

    def control(self, exchange: Exchange, service: ControlService) -> Awaitable[None]:
        """Answer a call of an operator or a target."""


class HttpNode(ControlSteps):
    """Builds, starts and stops the parts of the VM in the order of the life cycle.

    Parameters
    ----------
    cfg : HttpNodeConfig
        What to serve.
    adapter : HttpAdapter
        Translates the protocol around the product.
    metrics : Metrics
        Receiver of metrics.
    render_metrics : callable
        Returns the metrics as text.
    """

    def __init__(
        self,
        cfg: HttpNodeConfig,
        adapter: HttpAdapter,
        metrics: Metrics,
        render_metrics: Callable[[], bytes],
    ) -> None:
        self._cfg = cfg
        self._adapter = adapter
        self._metrics = metrics
        self._render_metrics = render_metrics
        super().__init__()
        self._parts: ControlParts | None = None
        self._contact: FarContact | None = None
        self._keeper: VoterKeeper | None = None
        self._entry: EntryController | None = None
        self._control: ControlService | None = None
        self._grpc: Server | None = None
        self._servers: list[Http1Server] = []
        self._callers: Http1Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        life = cfg.base.life_cycle
        self.life_cycle = LifeCycle(self, life.drain_notice_s, life.drain_limit_s)

    def dump(self) -> dict[str, Any]:
        """Return the state of all parts in JSON form."""
        parts = self._parts
        return {
            "vm": {"id": self._cfg.base.vm.id, "domain": self._cfg.base.vm.domain},
            "life_cycle": self.life_cycle.dump(),
            "consensus": parts and parts.consensus.dump(),
            "voters": self._keeper and self._keeper.dump(),
            "config": parts and parts.config.dump(),
            "membership": parts and parts.membership.dump(),
            "traffic": parts and parts.clients.traffic.dump(),
            "entry": self._entry and self._entry.dump(),
            "callers": self._callers and self._callers.dump(),
        }

    def set_seeds(self, seeds: list[str]) -> None:
        """Take other first contacts; they are asked while no other VM is known."""
        if self._parts is not None:
            self._parts.peers.set_seeds(seeds)
            self._parts.membership.core.set_seeds(tuple(seeds))

    def readiness(self) -> str:
        """Return an empty string while the VM is ready, otherwise the reason why not."""
        if not self.life_cycle.ready():
            return f"the VM is {self.life_cycle.state}"
        if self._entry is None:
            return ""
        if not self._entry.has_routes:
            return "no routes are known yet"
        return "cut off from the targets of some routes" if self._is_cut_off() else ""

    def _is_cut_off(self) -> bool:
        """Whether callers are better served by VMs of other failure domains.

        A service whose targets are all gone is no reason: then no VM can do better.
        """
        return self._contact.cut_off and not self._entry.can_serve

    # Steps of the life cycle.

    async def start_parts(self) -> None:
        """Build and start everything."""
        rng = random.Random()
        cfg = self._cfg
        # Voters join by themselves here, so one whose log is damaged can begin with an empty one.
        parts = self._parts = ControlParts.from_config(
            cfg.base,
            self._metrics,
            rng,
            cfg.membership,
            replace_damaged=True,
            control_only=cfg.entry is None,
        )
        loop = asyncio.get_running_loop()
        self._contact = FarContact(cfg.base.vm.domain, parts.membership, loop.time)
        parts.membership.subscribe_config_status(self._contact.on_gossip)
        await self._listen(cfg.metrics, Handler(self._on_metrics))
        await self._listen(cfg.readiness, Handler(self._on_readiness))
        await parts.consensus.start()
        await parts.config.start()
        self._keeper = VoterKeeper(
            cfg.voting, parts.consensus, parts.voters, parts.clients, parts.peers, rng
        )
        peer = PeerService(parts.membership, parts.config, parts.consensus, self._keeper)
        self._grpc = Server([peer])
        await self._grpc.start(cfg.base.listen.grpc.host, cfg.base.listen.grpc.port)
        self._keeper.start()
        if cfg.entry is not None:
            await self._start_entry(parts, rng, cfg.entry)
        if cfg.control is not None:
            self._control = ControlService(parts.config, parts.consensus, parts.membership)
            handler = Handler(self._on_control)
            await self._listen(cfg.control, handler, CONTROL_LIMITS)
        self._in_gossip = True
        self._spawn(self._log_traffic(parts.clients.traffic))
        await parts.membership.start()

    @staticmethod
    async def _log_traffic(traffic: Traffic) -> None:
        while True:
            await asyncio.sleep(TRAFFIC_LOG_S)
            log.info("traffic: calls and bytes since the start", extra={"traffic": traffic.dump()})

    async def _start_entry(self, parts: ControlParts, rng: random.Random, address: Address) -> None:
        entry = self._entry = EntryController(
            self._cfg.base.vm.domain,
            self._adapter.dialect,
            parts.config,
            parts.membership,
            self._cfg.extra,
            self._metrics,
            rng,
            self._is_cut_off,
            self._cfg.link_bytes_per_s,
            self._cfg.memory_bytes,
            parts.clients.traffic,
        )
        await entry.start()
        self._callers = Http1Server(entry, entry.limits, self._intake())
        self._servers.append(self._callers)
        await self._callers.start(address.host, address.port)

    def _intake(self) -> ReceiveBudget[ServerConnection]:
        return ReceiveBudget.from_memory(self._cfg.memory_bytes)

    async def _listen(
        self, address: Address | None, handler: Handler, limits: Limits | None = None
    ) -> None:
        if address is None:
            return
        server = Http1Server(handler, lambda: limits or Limits(), self._intake())
        self._servers.append(server)
        await server.start(address.host, address.port)

    async def join(self) -> None:
        """Wait until routes are in force, and for a short time until their targets are known."""
        await self._parts.config.wait_in_force()
        if self._entry is None:
            return
        while not self._entry.has_routes:
            await asyncio.sleep(POLL_S)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + JOIN_TARGETS_S
        while not self._entry.covers_routes and loop.time() < deadline:
            await asyncio.sleep(POLL_S)

    async def stop_listening(self) -> None:
        """Accept no new requests of callers."""
        if self._callers is not None:
            self._callers.stop_listening()

    async def finish_requests(self, limit_s: float) -> None:
        """Wait until no request is in flight and every answer has left."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_s
        while self._busy() and loop.time() < deadline:
            await asyncio.sleep(POLL_S)
        if self._busy():
            log.warning("life cycle: requests are still in flight", extra={"after_s": limit_s})

    def _busy(self) -> bool:
        calls = self._control is not None and self._control.in_flight > 0
        return calls or (self._callers is not None and self._callers.busy)

    async def close(self) -> None:
        """Close everything; what was not started is passed over."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        if self._entry is not None:
            await self._entry.stop()
        if self._keeper is not None:
            await self._keeper.stop()
        parts = self._parts
        if parts is None:
            return
        await parts.config.stop()
        await parts.membership.stop()
        if self._grpc is not None:
            self._grpc.close()
            try:
                await asyncio.wait_for(self._grpc.wait_closed(), SERVER_CLOSE_S)
            except TimeoutError:
                log.info("life cycle: calls of other VMs were cut")
        await parts.consensus.stop()
        parts.clients.close()

    # Requests other than those of callers.

    def _on_readiness(self, exchange: Exchange) -> None:
        self._adapter.readiness(exchange, self.readiness())

    def _on_metrics(self, exchange: Exchange) -> None:
        content_type = (b"Content-Type", b"text/plain; version=0.0.4")
        exchange.respond(200, [content_type], self._render_metrics())

    def _on_control(self, exchange: Exchange) -> None:
        self._spawn(self._adapter.control(exchange, self._control))

    def _spawn(self, coro: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
