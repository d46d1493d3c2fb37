"""Shares of the VMs in the request rate that a cold target tolerates."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from typing import Any

import attrs

from bramleycrank.scatter.senders import Senders

SENDERS = 3
"""VMs that may send to a cold target; one of them may be down or not know the target."""

BOUND_SHARE = 0.5
"""Share of the bound that the senders use together. The senders that two VMs choose differ while a
VM joins or leaves, and a request may arrive in a later second than it is sent in."""

WINDOW_S = 1.0
"""Length of the sliding window to which the tolerated rate applies, in seconds."""

JOIN_S = 5.0
"""Time after its start in which a VM sends nothing to cold targets, in seconds: it may not know yet
which other VMs are senders."""


@attrs.frozen
class WarmupBounds:
    """Bound on the requests of all VMs together that a cold target gets in one second.

    The bound is the rate that its service tolerates, times `overage`, plus `slack`.
    """

    overage: float = 1.0
    slack: float = 0.0


class WarmupShares:
    """Decides how many requests this VM may send to a cold target.

    Load pattern: the targets of a domain return cold together, and each VM of a large group has
    requests for them. A share of the rate for each VM would be far below one request a second, and
    all VMs could use it in the same second. Instead, a few VMs of the target's domain are its
    senders; VMs of other domains only if it has none.

    Parameters
    ----------
    vm_id : str
        This VM.
    bounds : WarmupBounds
        Bound for all VMs together.
    started_at : float
        Start of this VM, in seconds.
    """

    def __init__(self, vm_id: str, bounds: WarmupBounds, started_at: float) -> None:
        self.senders = Senders(vm_id)
        self._bounds = bounds
        self._started_at = started_at
        self._is_sender: dict[str, bool] = {}
        self._sent: dict[str, deque[float]] = {}

    def set_vms(self, vms: Iterable[tuple[str, str]]) -> None:
        """Set the id and the failure domain of each VM that serves callers."""
        self.senders.set_vms(vms)

    def admits(self, target_id: str, domain: str, per_s: float, now: float) -> bool:
        """Return whether this VM may send one more request to a cold target now.

        Parameters
        ----------
        target_id, domain : str
            The target and its failure domain.
        per_s : float
            Requests per second that it tolerates; 0 if that is not limited.
        now : float
            Current time in seconds.
        """
        if not per_s:
            return True
        if now - self._started_at < JOIN_S:
            return False
        sender_count, share = self._split(per_s)
        if not self._sends_to(target_id, domain, sender_count):
            return False
        sent = self._sent.get(target_id, ())
        return sum(at > now - WINDOW_S for at in sent) < share

    def on_sent(self, target_id: str, now: float) -> None:
        """Count a request to a cold target."""
        sent = self._sent.setdefault(target_id, deque())
        while sent and sent[0] <= now - WINDOW_S:
            sent.popleft()
        sent.append(now)

    def retain(self, target_ids: Iterable[str]) -> None:
        """Forget all targets except the given ones."""
        known = set(target_ids)
        self.senders.retain(known)
        for by_target in (self._is_sender, self._sent):
            for target_id in by_target.keys() - known:
                del by_target[target_id]

    def _split(self, per_s: float) -> tuple[int, int]:
        """Return the number of senders and the requests per window of each."""
        bound = per_s * self._bounds.overage + self._bounds.slack
        total = max(1, math.floor(min(per_s, bound * BOUND_SHARE)))
        sender_count = min(SENDERS, total)
        return sender_count, total // sender_count

    def _sends_to(self, target_id: str, domain: str, sender_count: int) -> bool:
        rank = self.senders.rank(target_id, domain)
        sends = rank.position < min(sender_count, rank.local or rank.total)
        self._is_sender[target_id] = sends
        return sends

    def dump(self) -> dict[str, Any]:
        """Return the targets for which this VM was considered and those that it sends to."""
        return {
            "vms": self.senders.vm_count,
            "considered": len(self._is_sender),
            "sends_to": sorted(name for name, sends in self._is_sender.items() if sends),
        }
