"""Failure detection: one direct probe per period, then indirect probes, then suspicion."""

from __future__ import annotations

from random import Random

import attrs

from bramleycrank.membership.records import address_of
from bramleycrank.membership.types import Action, RelayProbe, SendProbe
from bramleycrank.membership.view import GroupView
from bramleycrank.proto.peer_pb2 import (
    VM_STATE_ALIVE,
    VM_STATE_DRAINING,
    VM_STATE_SUSPECT,
    ProbeReply,
    ProbeRequest,
    VmRecord,
)


@attrs.define
class _Probe:
    """A probe that awaits its reply; `vm_id` is empty for an address whose VM is unknown."""

    vm_id: str
    address: str
    direct: bool
    reconnect: bool = False


class Prober:
    """Probes one member and one address of an unreachable VM in each period.

    Parameters
    ----------
    view : GroupView
        Records that this VM has.
    seeds : tuple of str
        Seed addresses of the settings.
    rng : random.Random
        Source of the random probe order.
    now : float
        Current time in seconds.
    """

    def __init__(self, view: GroupView, seeds: tuple[str, ...], rng: Random, now: float) -> None:
        self._view = view
        self._seeds = seeds
        self._rng = rng
        self._next_id = 0
        self._order: list[str] = []
        self._remote_order: list[str] = []
        self._is_remote_turn = False
        self._probes: dict[int, _Probe] = {}
        self._awaited: str | None = None
        self.was_paused = False  # set after a pause of this process; VmMembership resets it
        self.next_at = now + rng.uniform(0, view.cfg.probe_period_s)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seed addresses, which are probed while no live VM has them."""
        self._seeds = seeds

    def tick(self, now: float) -> list[Action]:
        """End the current period, if it is over, and start the next one."""
        if now < self.next_at:
            return []
        delay_s = now - self.next_at
        period = self._view.cfg.probe_period_s
        self.next_at = now + period if delay_s > period else self.next_at + period
        actions: list[Action] = []
        if delay_s > period:
            # After a pause of this process the replies may still be unread in its sockets.
            self.was_paused = True
            self._view.vms.postpone(delay_s)
            self._awaited = None
        else:
            actions += self._suspect_awaited(now)
        for record in self._view.vms.overdue_suspects(now):
            actions += self._view.merge_vm(record, now)
        self._view.remove_departed_vms(now)
        return actions + self._probe_next(now) + self._probe_unreachable(now)

    def _suspect_awaited(self, now: float) -> list[Action]:
        awaited, self._awaited = self._awaited, None
        record = self._view.vms.get(awaited) if awaited else None
        if record is None or record.state not in (VM_STATE_ALIVE, VM_STATE_DRAINING):
            return []
        return self._view.merge_vm(self._view.vms.with_state(awaited, VM_STATE_SUSPECT), now)

    def _probe_next(self, now: float) -> list[Action]:
        record = self._next_member()
        if record is None:
            return []
        self._awaited = record.vm_id
        return [self._send(_Probe(record.vm_id, address_of(record), direct=True), now)]

    def _next_member(self) -> VmRecord | None:
        """Return the next member of a shuffled round, which bounds the time to detect a failure.

        A small group has one round over all members. In a large one every second probe goes to
        another domain, so that each VM receives a message from other domains about every two
        periods.
        """
        selection = self._view.vms.selection()
        if selection.is_complete or not selection.remote_peers:
            return self._pop_live_member(self._order, selection.members)
        self._is_remote_turn = not self._is_remote_turn
        if self._is_remote_turn:
            return self._pop_live_member(self._remote_order, selection.remote_peers)
        return self._pop_live_member(self._order, selection.local_peers) or self._pop_live_member(
            self._remote_order, selection.remote_peers
        )

    def _pop_live_member(self, order: list[str], members: tuple[VmRecord, ...]) -> VmRecord | None:
        for _ in range(2):
            while order:
                vm_id = order.pop()
                if self._view.is_live(vm_id):
                    return self._view.vms.get(vm_id)
            order.extend(rec.vm_id for rec in members)
            self._rng.shuffle(order)
        return None

    def _probe_unreachable(self, now: float) -> list[Action]:
        """Probe one address of an unreachable VM, so that a healed partition is detected soon."""
        local = address_of(self._view.vms.local)
        vm_ids = self._view.vms.unreachable(self._seeds)
        vm_ids.pop(local, None)
        if not vm_ids:
            return []
        address, vm_id = self._rng.choice(list(vm_ids.items()))
        return [self._send(_Probe(vm_id, address, direct=False, reconnect=True), now)]

    def _send(self, probe: _Probe, now: float, target: VmRecord | None = None) -> SendProbe:
        self._next_id += 1
        self._probes[self._next_id] = probe
        request = ProbeRequest(gossip=self._view.gossip(now, probe.vm_id))
        timeout_s = self._view.cfg.probe_timeout_s
        if target is not None:
            request.indirect_target.CopyFrom(target)
            timeout_s *= 1.25  # the relay uses timeout_s; both probes end within the period
        return SendProbe(self._next_id, probe.address, request, timeout_s)

    def owns(self, probe_id: int) -> bool:
        """Return whether a probe was sent by this prober and is still open."""
        return probe_id in self._probes

    def on_reply(self, probe_id: int, reply: ProbeReply, now: float) -> tuple[list[Action], str]:
        """Handle the reply to a probe.

        Returns
        -------
        list of Action
            Changes of records.
        str
            Address of a VM that is reachable again and needs an anti-entropy exchange, or empty.
        """
        probe = self._probes.pop(probe_id)
        is_reachable_again = probe.reconnect and not self._view.is_live(reply.gossip.sender.vm_id)
        is_alive = reply.gossip.sender.vm_id == probe.vm_id if probe.direct else reply.indirect_ok
        actions = self._view.merge(reply.gossip, now)
        if probe.vm_id == self._awaited and is_alive:
            self._awaited = None
        return actions, probe.address if is_reachable_again else ""

    def on_failed(self, probe_id: int, now: float) -> list[Action]:
        """Ask other VMs to probe a member that did not reply to a direct probe."""
        probe = self._probes.pop(probe_id)
        target = self._view.vms.get(probe.vm_id)
        if not probe.direct or probe.vm_id != self._awaited or target is None:
            return []
        relays = [rec for rec in self._view.vms.selection().members if rec.vm_id != probe.vm_id]
        count = min(self._view.cfg.indirect_probes, len(relays))
        return [
            self._send(_Probe(probe.vm_id, address_of(relay_vm), direct=False), now, target)
            for relay_vm in self._rng.sample(relays, count)
        ]

    def relay(self, target: VmRecord, now: float) -> RelayProbe:
        """Return the probe that another VM requested."""
        request = ProbeRequest(gossip=self._view.gossip(now, target.vm_id))
        return RelayProbe(address_of(target), request, self._view.cfg.probe_timeout_s)

    def dump(self) -> dict[str, object]:
        """Return the member whose reply is awaited and the number of open probes."""
        return {"awaited": self._awaited, "open_probes": len(self._probes)}
