"""The membership core: failure detection, gossip, anti-entropy and pushes of one VM."""

from __future__ import annotations

from random import Random

from bramleycrank.membership.anti_entropy import AntiEntropy
from bramleycrank.membership.borders import spread_sample
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

# Members that a VM exchanges with after it was out of contact; two of them may be down or new.
CATCH_UP_PEERS = 3

# Time between two exchanges with the seeds while joining, in seconds. After a loss of power all VMs
# start together, and what holds up the first exchange is only a seed that does not listen yet.
JOIN_RETRY_S = 0.15

# How much longer a VM waits to join while an exchange makes progress. The records of 28,000 targets
# take about 90 rounds.
JOIN_EXTENSION_S = 30.0


class VmMembership:
    """SWIM-style membership of VMs, which also carries the changes of the target registry.

    Parameters
    ----------
    cfg : MembershipConfig
        Options.
    local : VmRecord
        Record of this VM. Its incarnation should be higher than in earlier runs; if other VMs know
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
        self._sync = AntiEntropy(self._view, rng)
        self._sync_at = now
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
        """Return the core of a VM that has not joined yet."""
        return cls(cfg, local, registry, seeds, rng, now)

    def tick(self, now: float) -> list[Action]:
        """Do what is due."""
        if self._view.left:
            return list(self._pusher.tick(now))
        actions: list[Action] = []
        self._joined = self._joined or self._has_joined(now)
        actions += self._prober.tick(now)
        actions += self._pusher.tick(now)
        if self._view.refuted or self._prober.was_paused:
            # This VM was out of contact for a while, and missed what was pushed meanwhile.
            self._view.refuted = self._prober.was_paused = False
            actions += self._start_sync(now, CATCH_UP_PEERS)
        elif now >= self._sync_at:
            actions += self._start_sync(now, 1)
        return actions

    def _has_joined(self, now: float) -> bool:
        """Tell whether the first exchange is complete, or none is making progress in time."""
        if self._sync.completed:
            return True
        if now >= self._join_until + JOIN_EXTENSION_S:
            return True
        return now >= self._join_until and not self._sync.progressing

    def _start_sync(self, now: float, count: int) -> list[Action]:
        """Start exchanges with random members, or with one more seed while joining."""
        if self._joined:
            jitter = self._rng.uniform(0.9, 1.1)
            self._sync_at = now + self._cfg.sync_period_s * jitter
            peers = [address_of(rec) for rec in self._view.vms.ring().members]
            addresses = self._rng.sample(peers, min(count, len(peers)))
        else:
            self._sync_at = now + min(
                JOIN_RETRY_S, self._cfg.probe_period_s / 2, self._cfg.sync_period_s / 2
            )
            # A second seed is asked only if the first one does not answer soon.
            addresses = [] if self._sync.progressing else self._sync.not_asked(self._seeds)
            addresses = addresses and [self._rng.choice(addresses)]
        return [action for address in addresses for action in self._sync.start(address, now)]

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take other VMs to join through."""
        self._seeds = tuple(seed for seed in seeds if seed != address_of(self.local))
        self._prober.set_seeds(self._seeds)

    @property
    def joined(self) -> bool:
        """Whether an exchange with a seed was completed, or no seed answered in time."""
        return self._joined

    @property
    def local(self) -> VmRecord:
        """Record of this VM."""
        return self._view.vms.local

    def on_probe(self, request: ProbeRequest, now: float) -> tuple[ProbeReply, list[Action]]:
        """Answer a probe; a `RelayProbe` action asks to probe another VM before the answer."""
        actions = self._view.merge(request.gossip, now)
        if request.HasField("indirect_target"):
            actions.append(self._prober.relay(request.indirect_target, now))
        if request.status_only:
            return ProbeReply(gossip=Gossip(sender=self.local)), actions
        sender_id = request.gossip.sender.vm_id
        return ProbeReply(gossip=self._view.gossip(now, sender_id)), actions

    def on_relay_reply(self, reply: ProbeReply, now: float) -> list[Action]:
        """Take the answer to a probe for another VM."""
        return self._view.merge(reply.gossip, now)

    def on_probe_reply(self, probe_id: int, reply: ProbeReply, now: float) -> list[Action]:
        """Take the answer to a probe or a push."""
        if self._pusher.owns(probe_id):
            self._pusher.on_reply(probe_id)
            return self._view.merge(reply.gossip, now)
        if not self._prober.owns(probe_id):
            return []
        actions, returning = self._prober.on_reply(probe_id, reply, now)
        if returning and not self._view.left:
            actions += self._sync.start(returning, now)
        return actions

    def on_probe_failed(self, probe_id: int, now: float) -> list[Action]:
        """Note that a probe or a push got no answer."""
        if self._pusher.owns(probe_id):
            self._pusher.on_failed(probe_id, now)
            return []
        return self._prober.on_failed(probe_id, now) if self._prober.owns(probe_id) else []

    def on_sync(self, request: SyncRequest, now: float) -> tuple[SyncReply, list[Action]]:
        """Answer one round of an anti-entropy exchange."""
        return self._sync.on_request(request, now)

    def on_sync_reply(self, sync_id: int, reply: SyncReply, now: float) -> list[Action]:
        """Take the answer to one round of an exchange."""
        actions = self._sync.on_reply(sync_id, reply, now)
        self._joined = self._joined or bool(self._sync.completed)
        return actions

    def on_sync_failed(self, sync_id: int, now: float) -> list[Action]:
        """Note that a round of an exchange got no answer; another member is tried soon."""
        self._sync.on_failed(sync_id)
        self._sync_at = min(self._sync_at, now + self._cfg.probe_period_s)
        return []

    def push(self, action: PushRecords, now: float) -> list[SendProbe]:
        """Return the messages that carry out a `PushRecords` action."""
        return self._pusher.push(action, now)

    def is_spreading(self, target_id: str) -> bool:
        """Return whether a VM that was to be told of a target has not acknowledged it yet."""
        return self._pusher.is_spreading(target_id)

    def sample(self, count: int, *, near_only: bool) -> list[str]:
        """Return the addresses of some other VMs, of the own domain or spread over all."""
        vms = self._view.vms
        peers = vms.ring().near if near_only else vms.peers()
        return [address_of(r) for r in spread_sample(self.local, peers, count, self._rng)]

    def is_remote(self, address: str) -> bool:
        """Return whether a VM is in another failure domain; one that is unknown counts as near."""
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
        """Mark this VM as left and tell others; afterwards it no longer probes."""
        if self._view.left:
            return []
        actions = self._view.set_local(VM_STATE_LEFT, self.local.incarnation, now)
        return [*actions, *self._pusher.announce_leave(now)]

    def live_vms(self, now: float) -> list[VmRecord]:
        """Return the VMs that are alive, draining or suspect, this one included."""
        return list(self._view.vms.live())

    def all_vms(self) -> list[VmRecord]:
        """Return all VMs, dead and left ones within their retention included."""
        return self._view.vms.records()

    def budget_count(self, now: float, domain: str | None = None) -> int:
        """Return how many VMs count for connection budgets, of one domain or of all."""
        return self._view.vms.budget_count(now, domain)

    def next_deadline(self) -> float:
        """Return when `tick` has something to do."""
        if self._view.left:
            return self._pusher.next_deadline()
        return min(self._prober.next_at, self._sync_at, self._pusher.next_deadline())

    def dump(self, now: float) -> dict[str, object]:
        """Return the VMs and the running probes and exchanges."""
        return {
            "vms": self._view.vms.dump(now),
            "joined": self._joined,
            "probes": self._prober.dump(),
            "sync": self._sync.dump(),
        }
