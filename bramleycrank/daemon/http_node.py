"""A VM that serves forwarded HTTP requests, or the calls of operators and targets."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol

import attrs
from grpclib.server import Server

from bramleycrank.consensus import LogBounds
from bramleycrank.customers.allowances import AllowanceBounds
from bramleycrank.daemon.allowance_issuer import AllowanceIssuer
from bramleycrank.daemon.connection_limits import ConnectionLimits
from bramleycrank.daemon.control_parts import ControlParts
from bramleycrank.daemon.control_service import ControlService
from bramleycrank.daemon.control_steps import ControlSteps
from bramleycrank.daemon.domain_isolation import DomainIsolation
from bramleycrank.daemon.domain_orders import DomainOrders
from bramleycrank.daemon.life_cycle import LifeCycle
from bramleycrank.daemon.voter_manager import VoterManager, VotingConfig
from bramleycrank.entry.allowances import EntryAllowances
from bramleycrank.entry.controller import EntryController
from bramleycrank.entry.delegator import Delegator
from bramleycrank.entry.types import EntryDialect
from bramleycrank.entry.usable_targets import UsableTargets
from bramleycrank.membership import MembershipConfig
from bramleycrank.membership.records import address_of
from bramleycrank.observability.metrics import Metrics
from bramleycrank.observability.traffic import Traffic
from bramleycrank.proto.log_pb2 import RouteTable
from bramleycrank.routing import Limits
from bramleycrank.scatter.budget import RetryBudgetConfig
from bramleycrank.scatter.warmup import WarmupBounds
from bramleycrank.settings import Address, Settings
from bramleycrank.transport.entry_service import EntryService
from bramleycrank.transport.http1 import Exchange, Http1Server, ReceiveBudget
from bramleycrank.transport.http1.server_connection import Handler
from bramleycrank.transport.peer_service import PeerService

log = logging.getLogger(__name__)

CONTROL_LIMITS = Limits(body_bytes=8 * 1024 * 1024)
"""Limits for requests of operators; a table of some thousand routes has a few megabytes."""

CHECKS_LIMITS = Limits(body_bytes=0)
"""Limits for readiness checks and requests of the metrics."""

CHECKS_BUDGET_BYTES = 1024 * 1024
"""Memory for readiness checks and requests of the metrics, apart from that of other requests."""

SERVER_CLOSE_TIMEOUT_S = 0.5
"""Longest wait of a stop for calls of other VMs that are in flight, in seconds."""

POLL_PERIOD_S = 0.02
"""Polling period while a step of the life cycle waits, in seconds."""

TRAFFIC_LOG_PERIOD_S = 10.0
"""Period of the log line with the traffic by purpose, in seconds."""

JOIN_TARGETS_TIMEOUT_S = 1.5
"""Longest wait of a starting VM that has its routes for their targets, in seconds."""


class FunctionHandler:
    """Passes requests to a function that responds to them."""

    def __init__(self, respond: Callable[[Exchange], None]) -> None:
        self._respond = respond

    def on_request(self, exchange: Exchange) -> None:
        """Respond to a request."""
        self._respond(exchange)


@attrs.frozen(kw_only=True)
class HttpNodeConfig:
    """Options of an `HttpNode`: what it serves, and at which addresses.

    Parameters
    ----------
    base : Settings
        Settings that all VMs have.
    membership : MembershipConfig
        Options of the membership.
    entry : Address or None
        Listening address for callers, on a VM that serves them.
    delegation : Address or None
        Listening address for requests of other VMs that cannot reach their targets.
    readiness : Address or None
        Listening address for readiness checks of the load balancer.
    control : Address or None
        Listening address for operators and targets, on a VM that serves them.
    metrics : Address or None
        Listening address for requests of the metrics.
    extra : RetryBudgetConfig
        Options of the retry budget, which bounds extra sub-requests.
    link_bytes_per_s : float
        Bandwidth of the VM's link; 0 if unknown.
    memory_bytes : int
        Memory limit of the process; 0 if unknown.
    disk_bytes : int
        Size of the disk; 0 if unknown.
    max_fds : int
        Descriptor limit of the process; 0 if unknown.
    voting : VotingConfig
        Options for the choice of the voters.
    warmup : WarmupBounds
        Bound on the requests of all VMs to a cold target.
    allowances : AllowanceBounds
        Bound on the requests of a customer at all VMs.
    regions : mapping of str to str
        Region of each failure domain; empty if the domains are not configured.
    order_resend_window_s : float
        Longest time for which operators resend an order for a domain, in seconds.
    weigh_load_by_age : bool
        Whether what is known of targets that many VMs share loses weight with its age.
    """

    base: Settings
    membership: MembershipConfig
    entry: Address | None = None
    delegation: Address | None = None
    readiness: Address | None = None
    control: Address | None = None
    metrics: Address | None = None
    extra: RetryBudgetConfig = attrs.field(factory=RetryBudgetConfig)
    link_bytes_per_s: float = 0.0
    memory_bytes: int = 0
    disk_bytes: int = 0
    max_fds: int = 0
    voting: VotingConfig = attrs.field(factory=VotingConfig)
    warmup: WarmupBounds = attrs.field(factory=WarmupBounds)
    allowances: AllowanceBounds = attrs.field(factory=AllowanceBounds)
    regions: Mapping[str, str] = attrs.field(factory=dict)
    order_resend_window_s: float = 6.0
    weigh_load_by_age: bool = True


class HttpAdapter(Protocol):
    """Translates between the query tier and the HTTP protocol of a deployment."""

    dialect: EntryDialect

    def decode_routes(self, document: bytes) -> RouteTable:
        """Decode an operator's document again that an older build accepted."""

    def has_customers(self, document: bytes) -> bool:
        """Return whether an operator's document has customers; True if that cannot be told."""

    def readiness(self, exchange: Exchange, reason: str) -> None:
        """Respond to a readiness check; `reason` is empty if the VM is ready."""

    def control(self, exchange: Exchange, service: ControlService) -> Awaitable[None]:
        """Respond to a call of an operator or a target."""


class HttpNode(ControlSteps):
    """Builds, starts and stops the parts of the VM in the order of the life cycle.

    Parameters
    ----------
    cfg : HttpNodeConfig
        Options of the node.
    adapter : HttpAdapter
        Translates the HTTP protocol of the deployment.
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
        self._domain_isolation: DomainIsolation | None = None
        self._voter_manager: VoterManager | None = None
        self._entry: EntryController | None = None
        self._issuer: AllowanceIssuer | None = None
        self._control: ControlService | None = None
        self._grpc: Server | None = None
        self._servers: list[Http1Server] = []
        self._receive_budget: ReceiveBudget[Any] = ReceiveBudget.from_memory(cfg.memory_bytes)
        self._checks_budget: ReceiveBudget[Any] = ReceiveBudget(CHECKS_BUDGET_BYTES)
        self._max_connections = ConnectionLimits.from_resources(
            cfg.memory_bytes, cfg.max_fds, serves_callers=cfg.entry is not None
        )
        self._caller_server: Http1Server | None = None
        self._delegation_server: Http1Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        options = cfg.base.life_cycle
        self.life_cycle = LifeCycle(self, options.drain_notice_s, options.drain_limit_s)

    def dump(self) -> dict[str, Any]:
        """Return the state of all parts in JSON form."""
        parts = self._parts
        return {
            "vm": {"id": self._cfg.base.vm.id, "domain": self._cfg.base.vm.domain},
            "life_cycle": self.life_cycle.dump(),
            "consensus": parts and parts.consensus.dump(),
            "voters": self._voter_manager and self._voter_manager.dump(),
            "config": parts and parts.config.dump(),
            "membership": parts and parts.membership.dump(),
            "traffic": parts and parts.clients.traffic.dump(),
            "allowances": self._issuer and self._issuer.dump(),
            "entry": self._entry and self._entry.dump(),
            "callers": self._caller_server and self._caller_server.dump(),
            "memory": self._receive_budget.dump(),
        }

    def set_seeds(self, seeds: list[str]) -> None:
        """Replace the seeds, which this VM contacts while it knows no other VM."""
        if self._parts is not None:
            self._parts.peers.set_seeds(seeds)
            self._parts.membership.core.set_seeds(tuple(seeds))

    def readiness(self) -> str:
        """Return an empty string while the VM is ready, otherwise the reason why it is not."""
        if not self.life_cycle.ready():
            return f"the VM is {self.life_cycle.state}"
        if self._entry is None:
            return ""
        if not self._entry.has_routes:
            return "no routes are known yet"
        return "cut off from the targets of some routes" if self._is_isolated() else ""

    def _is_isolated(self) -> bool:
        """Return whether callers should connect to other VMs.

        A service without any target does not count, because no VM can serve it.
        """
        if self._entry.is_stranded:
            return True
        return self._domain_isolation.is_isolated and not self._entry.can_serve

    # Steps of the life cycle.

    async def start_parts(self) -> None:
        """Build and start all parts of the VM."""
        rng = random.Random()
        cfg = self._cfg
        # Voters are added automatically here, so one with a damaged log can start with an empty
        # log.
        parts = self._parts = ControlParts.from_config(
            cfg.base,
            self._metrics,
            rng,
            cfg.membership,
            replace_damaged=True,
            control_only=cfg.entry is None,
            delegation_port=cfg.delegation.port if cfg.delegation is not None else 0,
            decode_routes=self._adapter.decode_routes,
            has_customers=self._adapter.has_customers,
            log_bounds=LogBounds.from_limits(cfg.memory_bytes, cfg.disk_bytes),
        )
        loop = asyncio.get_running_loop()
        self._domain_isolation = DomainIsolation(cfg.base.vm.domain, parts.membership, loop.time)
        parts.membership.subscribe_config_status(self._domain_isolation.on_gossip)
        for address, respond in (
            (cfg.metrics, self._on_metrics),
            (cfg.readiness, self._on_readiness),
        ):
            await self._listen(
                address,
                FunctionHandler(respond),
                CHECKS_LIMITS,
                self._checks_budget,
                self._max_connections.checks,
            )
        await parts.consensus.start()
        await parts.config.start()
        parts.leaves.start()
        self._voter_manager = VoterManager(
            cfg.voting,
            parts.consensus,
            parts.voters,
            parts.clients,
            parts.peers,
            rng,
            self._metrics,
        )
        self._issuer = AllowanceIssuer(cfg.allowances, parts.config, parts.consensus, loop.time)
        self._issuer.start()
        peer = PeerService(
            parts.membership, parts.config, parts.consensus, self._voter_manager, self._issuer
        )
        entry_service = EntryService(
            lambda: self._entry, self.dump, self._other_entries, parts.clients
        )
        self._grpc = Server([peer, entry_service])
        await self._grpc.start(cfg.base.listen.grpc.host, cfg.base.listen.grpc.port)
        self._voter_manager.start()
        if cfg.entry is not None:
            await self._start_entry(parts, rng, cfg.entry)
        if cfg.control is not None:
            orders = DomainOrders(
                parts.config, parts.consensus, cfg.regions, cfg.order_resend_window_s
            )
            self._control = ControlService(parts.config, parts.consensus, parts.membership, orders)
            handler = FunctionHandler(self._on_control)
            await self._listen(
                cfg.control,
                handler,
                CONTROL_LIMITS,
                self._receive_budget,
                self._max_connections.control,
            )
        self._in_gossip = True
        self._spawn(self._log_traffic(parts.clients.traffic))
        await parts.membership.start()

    def _other_entries(self) -> list[tuple[str, str]]:
        """Return id and gRPC address of the other VMs that serve callers."""
        return [
            (record.vm_id, address_of(record))
            for record in self._parts.membership.vms()
            if not record.control_only and record.vm_id != self._cfg.base.vm.id
        ]

    @staticmethod
    async def _log_traffic(traffic: Traffic) -> None:
        while True:
            await asyncio.sleep(TRAFFIC_LOG_PERIOD_S)
            log.info("traffic: calls and bytes since the start", extra={"traffic": traffic.dump()})

    async def _start_entry(self, parts: ControlParts, rng: random.Random, address: Address) -> None:
        vm = self._cfg.base.vm
        delegator = Delegator(
            vm.id,
            vm.domain,
            self._adapter.dialect,
            parts.membership,
            self._metrics,
            rng,
            parts.clients.traffic,
            self._receive_budget,
        )
        allowances = EntryAllowances(
            vm.id,
            self._cfg.allowances,
            parts.config,
            parts.config,
            parts.clients,
            self._metrics,
            rng,
        )
        entry = self._entry = EntryController(
            vm.id,
            vm.domain,
            self._adapter.dialect,
            parts.config,
            UsableTargets(parts.membership, parts.config, asyncio.get_running_loop().time),
            self._cfg.extra,
            self._metrics,
            rng,
            self._is_isolated,
            self._cfg.link_bytes_per_s,
            self._receive_budget,
            parts.clients.traffic,
            self._cfg.warmup,
            self._cfg.regions,
            parts.membership.suspects,
            delegator,
            allowances,
            weigh_load_by_age=self._cfg.weigh_load_by_age,
        )
        parts.membership.reach_report = lambda: entry.unreached
        parts.membership.on_reach_report = delegator.on_report
        await entry.start()
        self._caller_server = await self._serve_requests(
            entry, entry.limits, address, self._receive_budget, self._max_connections.callers
        )
        if self._cfg.delegation is not None:
            self._delegation_server = await self._serve_requests(
                FunctionHandler(entry.on_delegated_request),
                entry.delegation_limits,
                self._cfg.delegation,
                self._receive_budget,
                self._max_connections.peers,
            )

    async def _serve_requests(
        self,
        handler: Handler,
        limits: Callable[[], Limits],
        address: Address,
        receive_budget: ReceiveBudget[Any],
        max_connections: int,
    ) -> Http1Server:
        server = Http1Server(handler, limits, receive_budget, max_connections)
        self._servers.append(server)
        await server.start(address.host, address.port)
        return server

    async def _listen(
        self,
        address: Address | None,
        handler: FunctionHandler,
        limits: Limits,
        receive_budget: ReceiveBudget[Any],
        max_connections: int,
    ) -> None:
        if address is not None:
            await self._serve_requests(
                handler, lambda: limits, address, receive_budget, max_connections
            )

    async def join(self) -> None:
        """Wait until routes are in force, and for a limited time until their targets are known."""
        await self._parts.config.wait_in_force()
        if self._entry is None:
            return
        while not self._entry.has_routes:
            await asyncio.sleep(POLL_PERIOD_S)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + JOIN_TARGETS_TIMEOUT_S
        while not self._entry.covers_routes and loop.time() < deadline:
            await asyncio.sleep(POLL_PERIOD_S)

    async def stop_listening(self) -> None:
        """Stop accepting requests of callers and of other VMs."""
        for server in (self._caller_server, self._delegation_server):
            if server is not None:
                server.stop_listening()

    async def finish_requests(self, limit_s: float) -> None:
        """Wait until no request is in flight and all answers are sent, for at most `limit_s`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_s
        while self._busy() and loop.time() < deadline:
            await asyncio.sleep(POLL_PERIOD_S)
        if self._busy():
            log.warning("life cycle: requests are still in flight", extra={"after_s": limit_s})
            if self._entry is not None:
                self._entry.end_requests()
                await asyncio.sleep(POLL_PERIOD_S)  # lets the answers leave

    def _busy(self) -> bool:
        control_busy = self._control is not None and self._control.in_flight > 0
        servers = (self._caller_server, self._delegation_server)
        return control_busy or any(server is not None and server.busy for server in servers)

    async def close(self) -> None:
        """Close all parts that were started."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        if self._entry is not None:
            await self._entry.stop()
        if self._voter_manager is not None:
            await self._voter_manager.stop()
        parts = self._parts
        if parts is None:
            return
        await parts.config.stop()
        parts.leaves.stop()
        await parts.membership.stop()
        if self._grpc is not None:
            self._grpc.close()
            try:
                await asyncio.wait_for(self._grpc.wait_closed(), SERVER_CLOSE_TIMEOUT_S)
            except TimeoutError:
                log.info("life cycle: closed while calls of other VMs were in flight")
        await parts.consensus.stop()
        parts.clients.close()

    # Requests other than those of callers.

    def _on_readiness(self, exchange: Exchange) -> None:
        self._adapter.readiness(exchange, self.readiness())

    def _on_metrics(self, exchange: Exchange) -> None:
        self._metrics.gauge("http.memory", self._receive_budget.used_bytes)
        if self._parts is not None:
            self._parts.consensus.report_bytes()
        if self._entry is not None:
            self._entry.report_customers()
        content_type = (b"Content-Type", b"text/plain; version=0.0.4")
        exchange.respond(200, [content_type], self._render_metrics())

    def _on_control(self, exchange: Exchange) -> None:
        self._spawn(self._adapter.control(exchange, self._control))

    def _spawn(self, coro: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
