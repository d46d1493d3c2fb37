"""Keeps the configuration in force on this VM and reports its age."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from bramleycrank.daemon.consensus_controller import ConsensusController
from bramleycrank.daemon.explain import explain_age
from bramleycrank.daemon.identity import format_address
from bramleycrank.daemon.subscribers import notify
from bramleycrank.exceptions import (
    BramleycrankError,
    ConfigurationUnavailable,
    NoQuorum,
    Outcome,
    StorageError,
    UnknownService,
)
from bramleycrank.proto import log_pb2, peer_pb2
from bramleycrank.routing import to_current_format
from bramleycrank.routing.packing import unpack
from bramleycrank.settings import ConfigSettings
from bramleycrank.state import (
    ConfigFollower,
    ConfigInForce,
    FetchConfig,
    FollowerConfig,
)
from bramleycrank.storage import ConfigCache
from bramleycrank.transport.peer_client import PeerClients

log = logging.getLogger(__name__)

# A leader has its revision confirmed several times within the configuration lease of 6 s.
CONFIRM_PERIOD_S = 1.0

CONFIRM_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 2.0
PUSH_TIMEOUT_S = 1.0
MIN_TICK_S = 0.02

# Revision in a request that needs no configuration objects in its reply.
NO_OBJECTS = 2**63

# Delay after a failed tick: it may fail each time, and its tracebacks must not fill the log.
FAILED_TICK_DELAY_S = 1.0

# Number of VMs to which the leader pushes a new revision concurrently.
PUSH_FANOUT = 8

# Number of VMs of its own domain to which a VM pushes a revision that it fetched; gossip reaches
# the others.
RELAY_FANOUT = 3


class Peers(Protocol):
    """The other VMs, as the controller needs them."""

    def sample_across_domains(self, count: int) -> Sequence[str]:
        """Return the addresses of up to `count` VMs, spread over the failure domains."""

    def local_sample(self, count: int) -> Sequence[str]:
        """Return the addresses of up to `count` VMs of the own failure domain."""

    def is_remote(self, address: str) -> bool:
        """Return whether a VM is in another failure domain."""

    def self_record(self) -> peer_pb2.VmRecord:
        """Return this VM's own record."""


class ConfigController:
    """Runs the `ConfigFollower` of this VM.

    Parameters
    ----------
    cfg : ConfigSettings
        Lease and the longest wait for a configuration at the start.
    consensus : ConsensusController
        Source of the configuration on VMs that have a copy of the replicated log.
    peers : Peers
        Other VMs.
    clients : PeerClients
        Connections to other VMs.
    cache : ConfigCache or None
        File with the configuration in force, on VMs with a data folder.
    rng : random.Random
        Source of all randomness.
    decode_routes : callable, optional
        Decodes the operator's document of a route table that an older build accepted.
    has_customers : callable, optional
        Returns whether such a document has customers, also if it cannot be decoded.
    """

    def __init__(
        self,
        cfg: ConfigSettings,
        consensus: ConsensusController,
        peers: Peers,
        clients: PeerClients,
        cache: ConfigCache | None,
        rng: random.Random,
        decode_routes: Callable[[bytes], log_pb2.RouteTable] | None = None,
        has_customers: Callable[[bytes], bool] = lambda document: True,
    ) -> None:
        self._decode_routes = decode_routes
        self._has_customers = has_customers
        self._consensus = consensus
        self._peers = peers
        self._clients = clients
        self._cache = cache
        self._loop = asyncio.get_running_loop()
        self._follower = ConfigFollower.from_config(
            FollowerConfig(lease_s=cfg.lease_s, start_wait_s=cfg.start_wait_s),
            cache.load() if cache else None,
            rng,
            self._loop.time(),
            peers.is_remote,
        )
        self._callbacks: list[Callable[[], None]] = []
        self._tasks: set[asyncio.Task] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._last_seen_state: tuple[object, ...] = ()
        self._in_force = asyncio.Event()
        self._cache_error = ""
        self._routes = log_pb2.RouteTable()  # unpacked

    async def start(self) -> None:
        """Start following the configuration."""
        self._consensus.subscribe(self._on_consensus)
        self._spawn(self._confirm_periodically())
        self._tick()

    async def stop(self) -> None:
        """Stop all tasks."""
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()

    async def wait_in_force(self) -> None:
        """Wait until a configuration is in force."""
        await self._in_force.wait()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each new revision in force."""
        self._callbacks.append(callback)

    # Lookups. `service` is on the path of every request.

    def service(self, name: str) -> log_pb2.ServiceConfig:
        """Return the configuration of a service.

        Raises
        ------
        ConfigurationUnavailable
            This VM has no configuration yet.
        UnknownService
            No service has this name.
        """
        if not self._follower.is_ready:
            # The configuration read from the data folder may be long out of date.
            raise ConfigurationUnavailable()
        service = self._follower.config.services.get(name)
        if service is None:
            raise UnknownService(f"no service is named {name[:100]!r}")
        return service

    def services(self) -> list[log_pb2.ServiceConfig]:
        """Return all services, sorted by name."""
        return [service for _, service in sorted(self._follower.config.services.items())]

    def is_drained(self, vm_id: str) -> bool:
        """Return whether operators have set a VM to drain."""
        vm = self._follower.config.vms.get(vm_id)
        return vm is not None and vm.drained

    def vm(self, vm_id: str) -> log_pb2.VmConfig | None:
        """Return the operators' record of a VM."""
        return self._follower.config.vms.get(vm_id)

    def domains(self) -> list[log_pb2.DomainConfig]:
        """Return the failure domains for which there has been an order, sorted by name."""
        return [item for _, item in sorted(self._follower.config.domains.items())]

    def domain(self, name: str) -> log_pb2.DomainConfig:
        """Return the configuration of a failure domain; an empty one if there is none."""
        return self._follower.config.domains.get(name) or log_pb2.DomainConfig(domain=name)

    def evacuated_domains(self) -> list[str]:
        """Return the failure domains whose targets receive no new sub-requests."""
        return [item.domain for item in self.domains() if item.evacuated]

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self._follower.config.revision

    def stale_ms(self) -> int:
        """Return the age of the configuration in milliseconds; 0 while the VM is current."""
        now = self._loop.time()
        if self._follower.is_current(now):
            return 0
        return max(1, min(int(self._follower.stale_s(now) * 1000), 2**32 - 1))

    def is_current(self) -> bool:
        """Return whether a leader confirmed the revision within the lease."""
        return self._follower.is_current(self._loop.time())

    def is_newest(self) -> bool:
        """Return whether the revision is current and this VM knows of no higher one."""
        return self._follower.is_newest(self._loop.time())

    def status(self) -> peer_pb2.ConfigStatus:
        """Return the revisions and the leader known to this VM, for gossip."""
        return self._follower.status(self._loop.time())

    def leader_address(self) -> str:
        """Return ``host:port`` of the leader according to gossip, or an empty string."""
        status = self.status()
        return format_address(status.leader_host, status.leader_port) if status.leader_host else ""

    def dump(self) -> dict[str, object]:
        """Return the revision in force, its age and the reason for its age, in JSON form."""
        follower = self._follower.dump()
        now = self._loop.time()
        stale_s = None if follower["covered_at"] is None else self._follower.stale_s(now)
        current = self._follower.is_current(now)
        return {
            "revision": self.revision,
            "current": current,
            "why": explain_age(follower["ready"], current, stale_s, self.leader_address()),
            "stale_ms": self.stale_ms(),
            "services": sorted(self._follower.config.services),
            "evacuated_domains": self.evacuated_domains(),
            "drained_vms": sorted(v.vm_id for v in self._follower.config.vms.values() if v.drained),
            "cache_error": self._cache_error,
            "follower": follower,
        }

    def routes(self) -> log_pb2.RouteTable | None:
        """Return the route table in force, or None while this VM has none."""
        packed = self._follower.config.routes
        if not (self._follower.is_ready and packed.version):
            return None
        if self._routes.version != packed.version:
            table = unpack(packed)
            if self._decode_routes is not None:
                table = to_current_format(table, self._decode_routes, self._has_customers)
            self._routes = table
        return self._routes

    async def confirm(self) -> None:
        """Bring this VM up to the newest revision, confirmed by a quorum after this call began.

        Raises
        ------
        NotLeader, NoQuorum, PeerUnreachable
            The newest revision cannot be determined now.
        """
        if self._consensus.is_leader:
            await self._consensus.confirm_read(CONFIRM_TIMEOUT_S)
            self._adopt_local_state()
            return
        address, reply = await self._ask_leader(self.revision)
        self._execute(self._follower.on_fetched(address, reply, self._loop.time()))
        if self.revision < reply.status.revision:
            raise NoQuorum(
                "this VM is still behind the revision of the leader", outcome=Outcome.NOT_RUN
            )

    async def confirmed_index(self) -> int:
        """Return an index of the log that a quorum confirmed after this call began.

        It is 0 if the leader runs a build that does not tell it.

        Raises
        ------
        NotLeader, NoQuorum, PeerUnreachable
            The index cannot be determined now.
        """
        if self._consensus.is_leader:
            return await self._consensus.confirm_read(CONFIRM_TIMEOUT_S)
        _, reply = await self._ask_leader(NO_OBJECTS)
        return reply.confirmed_index

    async def _ask_leader(self, from_revision: int) -> tuple[str, peer_pb2.FetchConfigReply]:
        """Return the leader's address and its reply, which a quorum has confirmed."""
        address = self._consensus.leader_address() or self.leader_address()
        if not address:
            raise NoQuorum("no leader is known", outcome=Outcome.NOT_RUN)
        request = peer_pb2.FetchConfigRequest(from_revision=from_revision, leader_confirmed=True)
        reply = await self._clients.stub(address).FetchConfig(request, timeout=CONFIRM_TIMEOUT_S)
        return address, reply

    # Events.

    def on_gossip(
        self, address: str, status: peer_pb2.ConfigStatus, sent_at: float | None = None
    ) -> None:
        """Process the configuration status of another VM; fetch a newer revision if it has one."""
        self._execute(self._follower.on_status(address, status, self._loop.time(), sent_at))

    async def on_fetch(self, request: peer_pb2.FetchConfigRequest) -> peer_pb2.FetchConfigReply:
        """Return the configuration to another VM.

        Raises
        ------
        NotLeader
            The caller requires a confirmed revision, and this VM is not the leader.
        NoQuorum
            No quorum confirmed in time.
        """
        confirmed_index = 0
        if request.leader_confirmed:
            confirmed_index = await self._consensus.confirm_read(CONFIRM_TIMEOUT_S)
            self._adopt_local_state()
        reply = self._follower.fetch_reply(
            request.from_revision, self._loop.time(), request.routes_digest
        )
        reply.confirmed_index = confirmed_index
        return reply

    def _on_consensus(self) -> None:
        """Adopt the replicated state if the revision, the leader or the confirmation changed.

        Adopting it copies the configuration, and claims change the replicated state far more often
        than operators change the configuration.
        """
        state = self._consensus.state
        confirmed = self._consensus.confirmed_at() is not None
        revision = state.config.revision if state else -1
        seen = (revision, confirmed, self._consensus.leader_vm())
        if seen != self._last_seen_state:
            previous, self._last_seen_state = self._last_seen_state, seen
            self._adopt_local_state()
            if confirmed and seen != previous:
                self._push(self._peers.sample_across_domains(PUSH_FANOUT))

    def _adopt_local_state(self) -> None:
        state = self._consensus.state
        if state is None:
            return
        confirmed_at = self._consensus.confirmed_at()
        actions = self._follower.on_local(
            state.config,
            confirmed_at is not None,
            self._loop.time(),
            confirmed_at,
            self._consensus.leader_endpoint(),
        )
        self._execute(actions)

    async def _confirm_periodically(self) -> None:
        """Have a quorum confirm the revision periodically while this VM leads."""
        while True:
            if self._consensus.is_leader:
                try:
                    await self._consensus.confirm_read(CONFIRM_TIMEOUT_S)
                    self._on_consensus()
                    self._adopt_local_state()
                except BramleycrankError as exc:
                    log.debug("config: no quorum confirmed the revision: %s", exc)
                except Exception:
                    log.exception("config: confirmation failed")
            await self._consensus.wait_role_change(CONFIRM_PERIOD_S)

    def _tick(self) -> None:
        now = self._loop.time()
        try:
            self._execute(self._follower.tick(now))
            due = max(self._follower.next_deadline(), now + MIN_TICK_S)
        except Exception:
            log.exception("config: tick failed")
            due = now + FAILED_TICK_DELAY_S
        self._timer = self._loop.call_at(due, self._tick)

    def _execute(self, actions: Sequence[object]) -> None:
        for action in actions:
            match action:
                case FetchConfig():
                    self._spawn(self._fetch(action))
                case ConfigInForce():
                    self._on_config_in_force(action.revision)
        if self._follower.is_ready:
            self._in_force.set()

    def _on_config_in_force(self, revision: int) -> None:
        log.info("config: revision %d is in force", revision)
        if self._cache is not None:
            self._save_to_cache()
        # This may run within the Raft runner, which stops permanently after an exception, so
        # `notify` catches those of the callbacks.
        notify(self._callbacks)

    def _save_to_cache(self) -> None:
        """Write the configuration to the data folder; log a failure and keep serving."""
        try:
            self._cache.save(self._follower.config.image())
            self._cache_error = ""
        except (StorageError, OSError) as exc:
            self._cache_error = str(exc)
            log.error("config: revision %d was not saved: %s", self.revision, exc)

    async def _fetch(self, action: FetchConfig) -> None:
        request = peer_pb2.FetchConfigRequest(
            from_revision=action.from_revision,
            leader_confirmed=action.leader_confirmed,
            routes_digest=action.routes_digest,
        )
        try:
            reply = await self._clients.call(
                action.peer_address,
                "FetchConfig",
                request,
                timeout_s=FETCH_TIMEOUT_S,
                purpose="confirmations" if action.leader_confirmed else "tables",
            )
        except Exception as exc:
            # The follower waits for one result of each fetch, whatever the failure was.
            log.debug("config: fetch from %s failed: %r", action.peer_address, exc)
            now = self._loop.time()
            self._execute(self._follower.on_fetch_failed(action.peer_address, now))
        else:
            now = self._loop.time()
            actions = self._follower.on_fetched(action.peer_address, reply, now)
            self._execute(actions)
            if any(isinstance(item, ConfigInForce) for item in actions):
                self._push(self._peers.local_sample(RELAY_FANOUT))

    def _push(self, addresses: Sequence[str]) -> None:
        """Announce the revision in force to some VMs, which then fetch it from this one."""
        gossip = peer_pb2.Gossip(sender=self._peers.self_record(), config=self.status())
        request = peer_pb2.ProbeRequest(gossip=gossip, status_only=True)
        for address in addresses:
            self._spawn(self._push_to(address, request))

    async def _push_to(self, address: str, request: peer_pb2.ProbeRequest) -> None:
        try:
            await self._clients.call(
                address, "Probe", request, timeout_s=PUSH_TIMEOUT_S, purpose="revisions"
            )
        except BramleycrankError as exc:
            log.debug("config: push to %s failed: %s", address, exc)

    def _spawn(self, coro: object) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
