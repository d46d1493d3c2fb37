"""Protection of the targets from requests that crash them."""

from __future__ import annotations

import enum
import math
from collections import deque
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from bramleycrank.scatter.progress import Shard

CANARY_S = 10.0
"""Time after a crash under a request for which requests to the same service are sent to one target
first, in seconds."""

BURST_SERVICES = 3
"""Services of which a target ends within `BURST_S` when a request has crashed those of many shards
and no VM has reported it yet."""

BURST_S = 1.0
"""Time within which the targets of a burst end, in seconds."""

BURST_CANARY_S = 3.0
"""Time for which requests are sent to one target first after a burst, in seconds; by then a VM has
reported the request if there is one."""

MAX_LOST_ROUNDS = 3
"""Rounds of sub-requests that one attempt may lose before it ends."""

QUARANTINE_RETRY_AFTER_S = 600.0
"""Retry-after for a request in quarantine, in seconds; only a change of the targets helps."""


class Verdict(enum.Enum):
    """How a request may be sent."""

    FREE = enum.auto()
    CANARY = enum.auto()  # to one target first, to the others after its reply
    REFUSE = enum.auto()


class Suspicions(Protocol):
    """Suspicions of all VMs about requests, by fingerprint."""

    def __contains__(self, fingerprint: int) -> bool:
        """Return whether a request was ever suspected."""

    def crashes(self, fingerprint: int) -> int:
        """Return how often targets ended under a request since one answered it."""

    def in_quarantine(self, fingerprint: int) -> bool:
        """Return whether no target may get a request."""

    def renew(self, fingerprint: int, now: float) -> None:
        """Record an attempt of a request in quarantine."""

    def last_crash_at(self, services: Iterable[str]) -> float:
        """Return when the last crash of a target of some services became known."""


class Quarantine:
    """Decides which requests go to all targets at once, to one first, or to none.

    Load pattern: a request ends each target that runs it, and comes again and again at all VMs. A
    gather would end a target of each shard with each attempt. While targets crash, each gather goes
    to one target first, as a canary.

    Parameters
    ----------
    suspicions : Suspicions
        Suspicions of all VMs.
    """

    def __init__(self, suspicions: Suspicions) -> None:
        self._suspicions = suspicions
        self._ended: deque[tuple[float, str]] = deque()  # time and service of each target
        self._canary_until: dict[str, float] = {}

    def verdict(self, fingerprint: int, services: Collection[str], now: float) -> Verdict:
        """Return how a request to some services may be sent."""
        if self._suspicions.in_quarantine(fingerprint):
            self._suspicions.renew(fingerprint, now)
            return Verdict.REFUSE
        if self._suspicions.crashes(fingerprint):
            return Verdict.CANARY
        if len(services) > 1 and (
            now - self._suspicions.last_crash_at(services) < CANARY_S
            or any(self._canary_until.get(service, -math.inf) > now for service in services)
        ):
            return Verdict.CANARY
        return Verdict.FREE

    def in_quarantine(self, fingerprint: int) -> bool:
        """Return whether no target may get a request any more."""
        return self._suspicions.in_quarantine(fingerprint)

    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether targets ended under a request since one answered it."""
        return self._suspicions.crashes(fingerprint) > 0

    def on_target_ended(self, service: str, now: float) -> None:
        """Record that a target of a service has ended, as opposed to one that is cut off."""
        while self._ended and self._ended[0][0] <= now - BURST_S:
            self._ended.popleft()
        self._ended.append((now, service))
        services = {ended_service for _, ended_service in self._ended}
        if len(services) >= BURST_SERVICES:
            for ended_service in services:
                self._canary_until[ended_service] = now + BURST_CANARY_S


class Canary:
    """Order in which the sub-requests of one request are sent.

    A sub-request that is lost before any target has replied may have crashed its target. Until
    one has replied, lost and unsent shards are deferred, and one of them is sent at a time.

    Parameters
    ----------
    quarantine : Quarantine or None
        Decides how the request may be sent; None for no protection.
    fingerprint : int
        Fingerprint of the request.
    """

    def __init__(self, quarantine: Quarantine | None, fingerprint: int) -> None:
        self._quarantine = quarantine
        self._fingerprint = fingerprint
        self.verdict = Verdict.FREE
        self.has_reply = quarantine is None
        self.deferred: list[Shard] = []
        self.lost_targets: list[
            tuple[str, str]
        ] = []  # service and target of each loss of this round
        self.lost_rounds = 0

    def begin(self, services: Collection[str], now: float) -> None:
        """Decide how the request is sent."""
        if self._quarantine is not None:
            self.verdict = self._quarantine.verdict(self._fingerprint, services, now)

    @property
    def needs_canary(self) -> bool:
        """Whether the request goes to one target first."""
        return not self.has_reply and self.verdict is Verdict.CANARY

    def may_hedge(self) -> bool:
        """Return whether a slow sub-request may be hedged before a target has replied.

        A request under which targets have ended waits for the outcome of each sub-request.
        """
        return self.has_reply or not (
            self.lost_targets
            or self.lost_rounds
            or (self._quarantine is not None and self._quarantine.is_suspect(self._fingerprint))
        )

    def defer(self, shards: Collection[Shard]) -> None:
        """Defer shards that have sent nothing."""
        self.deferred = list(shards)

    def next_deferred(self, usable_targets: Callable[[str], int]) -> Shard:
        """Return the shard to send next, which can best bear the loss of one more target.

        Parameters
        ----------
        usable_targets : callable
            Returns how many targets of a service can be reached.
        """
        shard = max(
            self.deferred, key=lambda item: (usable_targets(item.service), item.failure is None)
        )
        self.deferred.remove(shard)
        return shard

    def on_lost(self, shard: Shard, target_id: str) -> None:
        """Record a lost sub-request, and defer its shard if no other one of it is in flight."""
        if not shard.open:
            self.deferred.append(shard)
        self.lost_targets.append((shard.service, target_id))

    def is_exhausted(self) -> bool:
        """Return whether the request has lost too many rounds, and count the last one."""
        self.lost_rounds += 1
        return self.lost_rounds >= MAX_LOST_ROUNDS or (
            self._quarantine is not None and self._quarantine.in_quarantine(self._fingerprint)
        )

    def on_ran(self) -> list[Shard]:
        """Record that a target has replied; return the shards that may be sent now."""
        self.has_reply = True
        self.lost_targets.clear()
        return self.take_deferred()

    def take_deferred(self) -> list[Shard]:
        """Return all deferred shards and defer none any more."""
        held, self.deferred = self.deferred, []
        return held
