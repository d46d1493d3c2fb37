"""Membership of one VM: failure detection, gossip, anti-entropy and pushes."""

from __future__ import annotations

from random import Random

from bramleycrank.membership.anti_entropy import AntiEntropy
from bramleycrank.membership.peer_selection import sample_across_domains
from bramleycrank.membership.prober import Prober
from bramleycrank.membership.pusher import Pusher
from bramleycrank.membership.records import address_of
from bramleycrank.membership.target_registry import TargetRegistry
from bramleycrank.membership.types import (
    Action,
    MembershipConfig,
    PushRecords,
    SendProbe,
)
from bramleycrank.membership.view import GroupView
from bramleycrank.proto.peer_pb2 import (
    VM_STATE_ALIVE,
    VM_STATE_DRAINING,
    VM_STATE_LEFT,
    Gossip,
    ProbeReply,
    ProbeRequest,
    SyncReply,
    SyncRequest,
    VmRecord,
)

# Members with which a VM starts an exchange after it was unreachable; two of them may be down or
# new.
CATCH_UP_PEERS = 3

# Time between two exchanges with the seeds while joining, in seconds. It is short because after a
# power loss all VMs start together, and the first exchange fails only while a seed does not listen
# yet.
JOIN_RETRY_S = 0.15

# Additional time, in seconds, that a VM waits to join while an exchange makes progress. The records
# of 28,000 targets take about 90 rounds.
JOIN_EXTENSION_S = 30.0


class VmMembership:
    """SWIM-style membership of VMs, which also distributes the changes of the target registry.

    Parameters
    ----------
    cfg : MembershipConfig
        Options.
    local : VmRecord
        Record of this VM. Its incarnation should be higher than in earlier runs; if other VMs have
        a higher one, it is raised above that.
    registry : TargetRegistry
        Registry of the same VM.
    seeds : tuple of str
        ``host:port`` of VMs to join through; the own address is skipped.
    rng : random.Random
        Source of all random choices.
    now : float
        Current time in seconds.
    """

    def __init__(
        self,
        cfg: MembershipConfig,
        local: VmRecord,
        registry: TargetRegistry,
        seeds: tuple[str, ...],
        rng: Random,
        now: float,
    ) -> None:
        self._cfg = cfg
        self._rng = rng
        self._seeds = tuple(seed for seed in seeds if seed != address_of(local))
        self._view = GroupView(cfg, local, registry)
        self._prober = Prober(self._view, self._seeds, rng, now)
        self._pusher = Pusher(self._view, rng)
        self._anti_entropy = AntiEntropy(self._view, rng)
        self._next_sync_at = now
        self._join_until = now + cfg.join_timeout_s
        self._joined = not self._seeds

    @classmethod
    def from_config(
        cls,
        cfg: MembershipConfig,
        local: VmRecord,
        registry: TargetRegistry,
        seeds: tuple[str, ...],
        rng: Random,
        now: float,
    ) -> VmMembership:
        """Return the membership of a VM that has not joined yet."""
        return cls(cfg, local, registry, seeds, rng, now)

    def tick(self, now: float) -> list[Action]:
        """Start the probes, pushes and exchanges that are due."""
        if self._view.left:
            return list(self._pusher.tick(now))
        actions: list[Action] = []
        self._joined = self._joined or self._has_joined(now)
        actions += self._prober.tick(now)
        actions += self._pusher.tick(now)
        if self._view.refuted or self._prober.was_paused:
            # This VM was unreachable for a time and missed the pushes of that time.
            self._view.refuted = self._prober.was_paused = False
            actions += self._start_sync(now, CATCH_UP_PEERS)
        elif now >= self._next_sync_at:
            actions += self._start_sync(now, 1)
        return actions

    def _has_joined(self, now: float) -> bool:
        """Return whether the first exchange is complete, or none made progress in time."""
        if self._anti_entropy.completed:
            return True
        if now >= self._join_until + JOIN_EXTENSION_S:
            return True
        return now >= self._join_until and not self._anti_entropy.has_reply

    def _start_sync(self, now: float, count: int) -> list[Action]:
        """Start exchanges with random members, or with one more seed while joining."""
        if self._joined:
            jitter = self._rng.uniform(0.9, 1.1)
            self._next_sync_at = now + self._cfg.sync_period_s * jitter
            peers = [address_of(rec) for rec in self._view.vms.selection().members]
            addresses = self._rng.sample(peers, min(count, len(peers)))
        else:
            self._next_sync_at = now + min(
                JOIN_RETRY_S, self._cfg.probe_period_s / 2, self._cfg.sync_period_s / 2
            )
            # A further seed is asked only if the ones before did not reply within the retry time.
            addresses = (
                []
                if self._anti_entropy.has_reply
                else self._anti_entropy.addresses_without_exchange(self._seeds)
            )
            addresses = addresses and [self._rng.choice(addresses)]
        return [
            action for address in addresses for action in self._anti_entropy.start(address, now)
        ]

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the addresses of the VMs to join through."""
        self._seeds = tuple(seed for seed in seeds if seed != address_of(self.local))
        self._prober.set_seeds(self._seeds)

    @property
    def joined(self) -> bool:
        """Whether an exchange with a seed was completed, or no seed replied in time."""
        return self._joined

    @property
    def local(self) -> VmRecord:
        """Record of this VM."""
        return self._view.vms.local

    def on_probe(self, request: ProbeRequest, now: float) -> tuple[ProbeReply, list[Action]]:
        """Return the reply to a probe; a `RelayProbe` action must end before the reply is sent."""
        actions = self._view.merge(request.gossip, now)
        if request.HasField("indirect_target"):
            actions.append(self._prober.relay(request.indirect_target, now))
        if request.status_only:
            return ProbeReply(gossip=Gossip(sender=self.local)), actions
        sender_id = request.gossip.sender.vm_id
        return ProbeReply(gossip=self._view.gossip(now, sender_id)), actions

    def on_relay_reply(self, reply: ProbeReply, now: float) -> list[Action]:
        """Handle the reply to a probe that this VM relayed."""
        return self._view.merge(reply.gossip, now)

    def on_probe_reply(self, probe_id: int, reply: ProbeReply, now: float) -> list[Action]:
        """Handle the reply to a probe or a push."""
        if self._pusher.owns(probe_id):
            self._pusher.on_reply(probe_id)
            return self._view.merge(reply.gossip, now)
        if not self._prober.owns(probe_id):
            return []
        actions, reachable_address = self._prober.on_reply(probe_id, reply, now)
        if reachable_address and not self._view.left:
            actions += self._anti_entropy.start(reachable_address, now)
        return actions

    def on_probe_failed(self, probe_id: int, now: float) -> list[Action]:
        """Handle a probe or a push without a reply."""
        if self._pusher.owns(probe_id):
            self._pusher.on_failed(probe_id, now)
            return []
        return self._prober.on_failed(probe_id, now) if self._prober.owns(probe_id) else []

    def on_sync(self, request: SyncRequest, now: float) -> tuple[SyncReply, list[Action]]:
        """Return the reply to one round of an anti-entropy exchange."""
        return self._anti_entropy.on_request(request, now)

    def on_sync_reply(self, sync_id: int, reply: SyncReply, now: float) -> list[Action]:
        """Handle the reply to one round of an exchange."""
        actions = self._anti_entropy.on_reply(sync_id, reply, now)
        self._joined = self._joined or bool(self._anti_entropy.completed)
        return actions

    def on_sync_failed(self, sync_id: int, now: float) -> list[Action]:
        """Handle a round of an exchange without a reply; a new exchange starts soon."""
        self._anti_entropy.on_failed(sync_id)
        self._next_sync_at = min(self._next_sync_at, now + self._cfg.probe_period_s)
        return []

    def push(self, action: PushRecords, now: float) -> list[SendProbe]:
        """Return the messages that carry out a `PushRecords` action."""
        return self._pusher.push(action, now)

    def has_unacknowledged_push(self, target_id: str) -> bool:
        """Return whether a push of the target's record is not acknowledged by all receivers yet."""
        return self._pusher.has_unacknowledged_push(target_id)

    def random_addresses(self, count: int, *, own_domain_only: bool) -> list[str]:
        """Return the addresses of random other VMs, of the own domain or of all domains."""
        vms = self._view.vms
        peers = vms.selection().local_peers if own_domain_only else vms.peers()
        return [
            address_of(record)
            for record in sample_across_domains(self.local, peers, count, self._rng)
        ]

    def is_remote(self, address: str) -> bool:
        """Return whether a VM is in another failure domain; False for an unknown VM."""
        return self._view.vms.domain_of(address) not in ("", self.local.domain)

    def drain(self, now: float) -> list[Action]:
        """Mark this VM as draining."""
        if self.local.state in (VM_STATE_DRAINING, VM_STATE_LEFT):
            return []
        return self._view.set_local(VM_STATE_DRAINING, self.local.incarnation + 1, now)

    def resume(self, now: float) -> list[Action]:
        """Mark this VM as alive again after `drain`."""
        if self.local.state != VM_STATE_DRAINING:
            return []
        return self._view.set_local(VM_STATE_ALIVE, self.local.incarnation + 1, now)

    def leave(self, now: float) -> list[Action]:
        """Mark this VM as left and announce it; afterwards this VM no longer probes."""
        if self._view.left:
            return []
        actions = self._view.set_local(VM_STATE_LEFT, self.local.incarnation, now)
        return [*actions, *self._pusher.announce_leave(now)]

    def live_vms(self, now: float) -> list[VmRecord]:
        """Return the VMs that are alive, draining or suspect, including this VM."""
        return list(self._view.vms.live())

    def all_vms(self) -> list[VmRecord]:
        """Return all VMs, including dead and left ones within their retention time."""
        return self._view.vms.records()

    def budget_count(self, now: float, domain: str | None = None) -> int:
        """Return the number of VMs that count for connection budgets, in one domain or in all."""
        return self._view.vms.budget_count(now, domain)

    def next_deadline(self) -> float:
        """Return the time at which the next `tick` is needed, in seconds."""
        if self._view.left:
            return self._pusher.next_deadline()
        return min(self._prober.next_at, self._next_sync_at, self._pusher.next_deadline())

    def dump(self, now: float) -> dict[str, object]:
        """Return the VMs and the running probes and exchanges."""
        return {
            "vms": self._view.vms.dump(now),
            "joined": self._joined,
            "probes": self._prober.dump(),
            "sync": self._anti_entropy.dump(),
        }
