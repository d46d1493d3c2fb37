"""Runs the membership cores: sends their messages by gRPC and notifies subscribers of changes."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable, Iterable
from random import Random
from typing import Any

from bramleycrank.daemon.dead_vms import DeadVms
from bramleycrank.daemon.leave_log import LeaveRecorder
from bramleycrank.daemon.subscribers import notify
from bramleycrank.daemon.target_calls import JOIN_POLL_S, TargetCalls
from bramleycrank.entry.suspect_exchange import SuspectExchange
from bramleycrank.exceptions import (
    BramleycrankError,
)
from bramleycrank.membership import (
    MembershipConfig,
    PushRecords,
    RelayProbe,
    SendProbe,
    SendSync,
    TargetChanged,
    TargetRegistry,
    VmChanged,
    VmMembership,
)
from bramleycrank.membership.records import address_of, state_name
from bramleycrank.observability.metrics import Metrics, NullMetrics
from bramleycrank.proto.peer_pb2 import (
    VM_STATE_ALIVE,
    VM_STATE_DRAINING,
    VM_STATE_LEFT,
    ConfigStatus,
    Gossip,
    ProbeReply,
    ProbeRequest,
    SyncReply,
    SyncRequest,
    VmRecord,
)
from bramleycrank.proto.target_pb2 import (
    AnnounceReply,
    AnnounceRequest,
    LeaveReply,
    LeaveRequest,
    TargetRecord,
)
from bramleycrank.transport.peer_client import PeerClients

log = logging.getLogger(__name__)

# Longest time between two ticks, which check leases and grace periods.
TICK_S = 0.25

# Number of VMs to which a VM sends a suspicion that is new to it; probes carry it to the others.
SUSPECTS_FANOUT = 3

# Limit of the call that sends a suspicion to one VM.
SUSPECTS_TIMEOUT_S = 1.0


class MembershipController:
    """Owns the VM membership and the target registry of a VM.

    Parameters
    ----------
    cfg : MembershipConfig
        Options of the membership.
    local : VmRecord
        Record of this VM: id, domain, host and port. Without an incarnation the Unix time in ms is
        used, which grows with each start; if the clock was set back, gossip corrects it.
    seeds : iterable of str
        ``host:port`` of other VMs.
    clients : PeerClients
        Connections to other VMs; the caller closes them.
    rng : random.Random, optional
        Source of random choices.
    clock : callable, optional
        Monotonic time in seconds.
    metrics : Metrics, optional
        Receiver of metrics.
    """

    def __init__(
        self,
        cfg: MembershipConfig,
        local: VmRecord,
        seeds: Iterable[str],
        clients: PeerClients,
        *,
        rng: Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        metrics: Metrics | None = None,
    ) -> None:
        self._clock = clock
        self._clients = clients
        now = clock()
        record = VmRecord()
        record.CopyFrom(local)
        record.incarnation = local.incarnation or int(time.time() * 1000)
        record.state = VM_STATE_ALIVE
        self.registry = TargetRegistry.from_config(cfg, record.vm_id, now)
        self.core = VmMembership.from_config(
            cfg, record, self.registry, tuple(seeds), rng or Random(), now
        )
        self.suspects = SuspectExchange(clock, self._spread_suspects)
        self.reach_report: Callable[[], int] = lambda: 0
        """Returns the number of services whose targets this VM cannot reach."""
        self.on_reach_report: Callable[[str, int], None] = lambda vm_id, unreached: None
        """Called with the id of another VM and the number that it reports."""
        self._config_status: Callable[[], ConfigStatus] | None = None
        self._status_callbacks: list[Callable[[str, ConfigStatus], None]] = []
        self._reply_callbacks: list[Callable[[str, ConfigStatus, float], None]] = []
        self._target_callbacks: list[Callable[[TargetRecord], None]] = []
        self._vm_callbacks: list[Callable[[VmRecord], None]] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._loop_task: asyncio.Task[None] | None = None
        self._dead_vms = DeadVms()
        self.target_calls = TargetCalls(
            self.registry, self.core, self._execute, self._spawn, clock, metrics or NullMetrics()
        )

    @classmethod
    def from_config(
        cls, cfg: MembershipConfig, local: VmRecord, seeds: Iterable[str], clients: PeerClients
    ) -> MembershipController:
        """Return a controller with the default clock and random source; it is not started."""
        return cls(cfg, local, seeds, clients)

    async def start(self) -> None:
        """Start probing; return when the VM has joined or no seed has replied in time.

        The gRPC server of this VM must be listening before this call.
        """
        self._loop_task = asyncio.create_task(self._run())
        while not self.core.joined:
            await asyncio.sleep(JOIN_POLL_S)
        log.info("membership: joined with %d VMs", len(self.vms()))

    async def stop(self) -> None:
        """Stop without an announcement; call `leave` first for a graceful stop."""
        tasks = [*self._tasks, *([self._loop_task] if self._loop_task else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def drain(self) -> None:
        """Announce that this VM drains; targets are referred to other home VMs from now on."""
        self.target_calls.draining = True
        self._execute(self.core.drain(self._clock()))

    def resume(self) -> None:
        """Announce that this VM no longer drains."""
        local = self.core.local
        if not self.target_calls.draining or local.state != VM_STATE_DRAINING:
            return
        self.target_calls.draining = False
        self._execute(self.core.resume(self._clock()))

    async def leave(self, timeout_s: float = 1.0) -> None:
        """Announce that this VM left; wait at most `timeout_s` seconds for the replies."""
        self.target_calls.draining = True
        await self._wait_for_tasks(self._execute(self.core.leave(self._clock())), timeout_s)

    # Views for other controllers.

    def vms(self) -> list[VmRecord]:
        """Return the live VMs, this one included."""
        return self.core.live_vms(self._clock())

    def all_vms(self) -> list[VmRecord]:
        """Return all known VMs, including those that left or are dead, until their retention ends.

        Dead VMs are listed for `DEAD_RETENTION_S`.
        """
        return self._dead_vms.merged_with(self.core.all_vms(), self._clock())

    def targets(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that may receive new sub-requests."""
        return self.registry.usable(service, self._clock())

    def all_targets(self) -> list[TargetRecord]:
        """Return all known targets, including those that left or expired."""
        return self.registry.all_records()

    def incarnation_of(self, target_id: str) -> int | None:
        """Return the newest known incarnation of a target, or None."""
        known = self.registry.get(target_id)
        if known is not None:
            return known.incarnation
        return self.target_calls.leave_log.incarnation_of(target_id)

    def is_usable(self, target_id: str) -> bool:
        """Return whether a target may receive new sub-requests."""
        return self.registry.is_usable(target_id)

    def warm_at(self, target_id: str) -> float:
        """Return the time at which a target is warm according to its record, in seconds."""
        return self.registry.warm_at(target_id)

    def caller_vms(self) -> list[VmRecord]:
        """Return the VMs that serve callers, dead ones included until their retention ends."""
        return [
            record
            for record in self.all_vms()
            if not record.control_only and record.state != VM_STATE_LEFT
        ]

    def vm_count(self, domain: str | None = None) -> int:
        """Return the number of VMs that share the connections and slots of targets."""
        return self.core.budget_count(self._clock(), domain)

    def subscribe_targets(self, callback: Callable[[TargetRecord], None]) -> None:
        """Call back with the record of a target whenever it or its usability changes."""
        self._target_callbacks.append(callback)

    def subscribe_vms(self, callback: Callable[[VmRecord], None]) -> None:
        """Call back with the record of a VM whenever it changes."""
        self._vm_callbacks.append(callback)

    def set_config_status(self, provider: Callable[[], ConfigStatus]) -> None:
        """Set the source of the `ConfigStatus` that each gossip message includes."""
        self._config_status = provider

    def set_leave_log(self, leave_log: LeaveRecorder) -> None:
        """Set where leaves of targets are kept beyond the end of this process."""
        self.target_calls.leave_log = leave_log
        self.registry.has_left = leave_log.has_left

    def subscribe_config_status(self, callback: Callable[[str, ConfigStatus], None]) -> None:
        """Call back with ``host:port`` and the configuration status of each gossip sender."""
        self._status_callbacks.append(callback)

    def subscribe_config_replies(
        self, callback: Callable[[str, ConfigStatus, float], None]
    ) -> None:
        """Call back for each reply with its sender's address and status and the request's time.

        The status in a reply is no older than the request, so that time bounds its age.
        """
        self._reply_callbacks.append(callback)

    def dump(self) -> dict[str, Any]:
        """Return the state of both cores."""
        now = self._clock()
        return {
            **self.core.dump(now),
            "registry": self.registry.dump(now),
            "suspects": self.suspects.table.dump(now),
        }

    # Calls from the servers of this VM.

    async def on_probe(self, request: ProbeRequest) -> ProbeReply:
        """Handle `Peer.Probe`; first probe a third VM if the request asks for it."""
        self._notify_status(request.gossip)
        reply, actions = self.core.on_probe(request, self._clock())
        relays = [action for action in actions if isinstance(action, RelayProbe)]
        self._execute(action for action in actions if not isinstance(action, RelayProbe))
        for relay in relays:
            reply.indirect_ok = await self._relay(relay)
        self._attach_status(reply.gossip)
        return reply

    async def on_sync(self, request: SyncRequest) -> SyncReply:
        """Handle `Peer.Sync`."""
        self._notify_status(request.gossip)
        reply, actions = self.core.on_sync(request, self._clock())
        self._execute(actions)
        self._attach_status(reply.gossip, complete=True)
        return reply

    async def announce(self, request: AnnounceRequest) -> AnnounceReply:
        """Handle `Registry.Announce`; see `TargetCalls.announce` for the errors."""
        return await self.target_calls.announce(request)

    async def leave_target(self, request: LeaveRequest) -> LeaveReply:
        """Handle `Registry.Leave`; see `TargetCalls.leave` for the errors."""
        return await self.target_calls.leave(request)

    def mark_leaving(self, target_id: str, incarnation: int) -> None:
        """Record that a target announced to this VM that it leaves."""
        self._execute(self.registry.mark_leaving(target_id, incarnation, self._clock()))

    # Execution of actions.

    async def _run(self) -> None:
        while True:
            now = self._clock()
            try:
                self._execute([*self.core.tick(now), *self.registry.tick(now)])
                self.target_calls.spread_committed_leaves(now)
            except Exception:
                log.exception("membership: tick failed")
            delay_s = min(TICK_S, max(0.005, self.core.next_deadline() - self._clock()))
            await asyncio.sleep(delay_s)

    def _execute(self, actions: Iterable[Any]) -> list[asyncio.Task[Any]]:
        """Execute actions and return the tasks that send messages."""
        tasks = []
        for action in actions:
            match action:
                case SendProbe():
                    tasks.append(self._spawn(self._probe(action)))
                case SendSync():
                    tasks.append(self._spawn(self._sync(action)))
                case PushRecords():
                    tasks += self._execute(self.core.push(action, self._clock()))
                case TargetChanged(record=record):
                    notify(self._target_callbacks, record)
                case VmChanged(record=record):
                    log.info("membership: %s is now %s", record.vm_id, state_name(record))
                    self._dead_vms.on_change(record, self._clock())
                    notify(self._vm_callbacks, record)
        return tasks

    def _spawn(self, coro: Awaitable[None]) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    @staticmethod
    async def _wait_for_tasks(tasks: list[asyncio.Task[Any]], timeout_s: float) -> None:
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    async def _call(
        self, method: str, action: SendProbe | SendSync | RelayProbe
    ) -> ProbeReply | SyncReply | None:
        """Send the request of an action; return the reply, or None if the call failed.

        Besides typed errors, grpclib raises for example AttributeError for a connection that it
        has just closed. Every failure must be reported to the core, which otherwise waits for the
        reply forever.
        """
        self._attach_status(action.request.gossip, complete=method == "Sync")
        sent_at = self._clock()
        try:
            reply = await self._clients.call(
                action.address,
                method,
                action.request,
                timeout_s=action.timeout_s,
                purpose=action.purpose,
            )
        except BramleycrankError as exc:
            log.debug("membership: no reply to %s from %s: %s", method, action.address, exc)
            return None
        except Exception:
            log.exception("membership: %s to %s failed", method, action.address)
            return None
        self._notify_status(reply.gossip, sent_at)
        return reply

    async def _probe(self, action: SendProbe) -> None:
        reply = await self._call("Probe", action)
        if reply is None:
            self._execute(self.core.on_probe_failed(action.probe_id, self._clock()))
        else:
            self._execute(self.core.on_probe_reply(action.probe_id, reply, self._clock()))
        self.target_calls.on_push_ended()

    async def _relay(self, action: RelayProbe) -> bool:
        reply = await self._call("Probe", action)
        if reply is not None:
            self._execute(self.core.on_relay_reply(reply, self._clock()))
        return reply is not None

    async def _sync(self, action: SendSync) -> None:
        reply = await self._call("Sync", action)
        if reply is None:
            self._execute(self.core.on_sync_failed(action.sync_id, self._clock()))
        else:
            self._execute(self.core.on_sync_reply(action.sync_id, reply, self._clock()))

    def _spread_suspects(self) -> None:
        """Send fresh suspicions to a few VMs; probes carry them to any that a call misses."""
        for address in self.core.random_addresses(SUSPECTS_FANOUT, own_domain_only=False):
            request = ProbeRequest(gossip=Gossip(sender=self.core.local), status_only=True)
            self._spawn(self._send_suspects(address, request))

    async def _send_suspects(self, address: str, request: ProbeRequest) -> None:
        action = SendProbe(0, address, request, SUSPECTS_TIMEOUT_S, purpose="suspects")
        await self._call("Probe", action)

    def _attach_status(self, gossip: Gossip, *, complete: bool = False) -> None:
        self.suspects.attach(gossip, complete=complete)
        gossip.unreached_services = self.reach_report()
        if self._config_status is not None:
            gossip.config.CopyFrom(self._config_status())

    def _notify_status(self, gossip: Gossip, sent_at: float | None = None) -> None:
        self.suspects.merge(gossip)
        self.on_reach_report(gossip.sender.vm_id, gossip.unreached_services)
        if not (gossip.HasField("config") and gossip.HasField("sender")):
            return
        address = address_of(gossip.sender)
        notify(self._status_callbacks, address, gossip.config)
        if sent_at is not None:
            notify(self._reply_callbacks, address, gossip.config, sent_at)
