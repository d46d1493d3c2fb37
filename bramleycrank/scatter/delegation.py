"""Chooses the VM that does the work of a request whose targets this VM cannot reach."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from typing import Any

import attrs
import xxhash

from bramleycrank.scatter.peer_watch import PeerWatch

MAX_PARTNERS = 8
"""Most VMs among which a VM chooses; bounds the connections between hundreds of VMs."""

MAX_PEERS_TRIED = 3
"""Most VMs that a request is offered to; each may answer that it has not started it."""

REPORT_MAX_AGE_S = 5.0
"""Age at which another VM's report of its reach is ignored, in seconds."""

RETURNED_PAUSE_S = 0.5
"""Time for which a VM that returned a request is offered no other, in seconds."""


@attrs.frozen
class Peer:
    """A VM that serves requests for others.

    Parameters
    ----------
    vm_id : str
        Its id.
    host : str
        Address at which it takes requests.
    port : int
        Port at which it takes requests.
    """

    vm_id: str
    host: str
    port: int


@attrs.define
class _Report:
    """What a VM last told of its reach."""

    unreached: int
    at: float


class PeerChoice:
    """Chooses among the VMs that reach more services than this one.

    Load pattern: most VMs of a domain lose their targets at the same moment. Each chooses between
    two random partners by the requests that it has there. The partners are chosen by rendezvous
    hashing among all domains, so that the work of a domain does not come to one VM.

    Parameters
    ----------
    vm_id : str
        This VM.
    rng : random.Random
        Source of random choices.
    """

    def __init__(self, vm_id: str, rng: random.Random) -> None:
        self._vm_id = vm_id
        self._rng = rng
        self._peers: dict[str, Peer] = {}
        self._reports: dict[str, _Report] = {}
        self._paused_until: dict[str, float] = {}
        self._in_flight: Counter[str] = Counter()
        self.watch = PeerWatch()

    @property
    def peers(self) -> Mapping[str, Peer]:
        """The VMs that take requests of others, by id."""
        return self._peers

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Replace the VMs that take requests of others."""
        self._peers = {peer.vm_id: peer for peer in peers if peer.vm_id != self._vm_id}
        for by_id in (self._reports, self._paused_until):
            for vm_id in by_id.keys() - self._peers.keys():
                del by_id[vm_id]
        self.watch.retain(self._peers.keys())

    def on_report(self, vm_id: str, unreached: int, now: float) -> None:
        """Record how many services another VM cannot reach."""
        if unreached:
            self._reports[vm_id] = _Report(unreached, now)
        else:
            self._reports.pop(vm_id, None)

    def on_returned(self, vm_id: str, now: float) -> None:
        """Record that a VM has not started a request, or could not be reached."""
        self._paused_until[vm_id] = now + RETURNED_PAUSE_S

    def on_sent(self, vm_id: str, now: float) -> bool:
        """Count a request in progress at another VM; return whether to check the VM at once."""
        self._in_flight[vm_id] += 1
        return self.watch.on_offered(vm_id, now)

    def on_ended(self, vm_id: str) -> None:
        """Count the end of a request at another VM."""
        self._in_flight[vm_id] -= 1
        if self._in_flight[vm_id] <= 0:
            del self._in_flight[vm_id]
            self.watch.on_settled(vm_id)

    def choose(
        self,
        own_unreached: int,
        tried: Collection[str],
        now: float,
        unusable: Collection[str] = (),
    ) -> Peer | None:
        """Return the VM for a request, or None if none can be expected to do better.

        Parameters
        ----------
        own_unreached : int
            Services that this VM cannot reach.
        tried : collection of str
            VMs that have not started the request.
        now : float
            Current time in seconds.
        unusable : collection of str, optional
            VMs to which nothing can be sent now.
        """
        self.watch.on_wanted(now)
        if len(tried) >= MAX_PEERS_TRIED:
            return None
        able = [
            vm_id
            for vm_id in self._peers
            if vm_id not in tried
            and vm_id not in unusable
            and self.watch.is_usable(vm_id, now)
            and self._paused_until.get(vm_id, 0.0) <= now
            and self._unreached(vm_id, now) < own_unreached
        ]
        if len(able) > MAX_PARTNERS:
            able = sorted(able, key=self._rank)[:MAX_PARTNERS]
        if not able:
            return None
        candidates = self._rng.sample(able, min(2, len(able)))
        return self._peers[min(candidates, key=self._load)]

    def _load(self, vm_id: str) -> tuple[bool, int]:
        return self.watch.is_being_checked(vm_id), self._in_flight[vm_id]

    def _unreached(self, vm_id: str, now: float) -> int:
        report = self._reports.get(vm_id)
        if report is None or now - report.at > REPORT_MAX_AGE_S:
            return 0
        return report.unreached

    def _rank(self, vm_id: str) -> int:
        return xxhash.xxh64_intdigest(f"{self._vm_id}/{vm_id}".encode())

    def dump(self, now: float) -> dict[str, Any]:
        """Return the VMs that take requests, and what is known of each."""
        return {
            vm_id: {
                "unreached": self._unreached(vm_id, now),
                "paused": self._paused_until.get(vm_id, 0.0) > now,
                "usable": self.watch.is_usable(vm_id, now),
                "in_flight": self._in_flight.get(vm_id, 0),
            }
            for vm_id in self._peers
        }
