"""Protection of the targets from requests that crash them."""

from __future__ import annotations

import enum
import math
from collections import deque
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

import xxhash

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
"""Retry-after for a request in quarantine, in seconds. Its callers stay away while it may end
targets; a trial of a request that comes all the same can end the quarantine earlier."""

SUSPECT_RETRY_AFTER_S = 1.0
"""Retry-after for a suspected request while another one tries a target, in seconds."""

SUSPECT_TRIAL_S = 0.3
"""Shortest time between two attempts of a suspected request at this VM, in seconds. Most crashes
are confirmed and known to all VMs by then."""

QUARANTINE_TRIAL_S = 6.0
"""Time from the crash that put a request in quarantine to its next attempt, in seconds; a VM adds
up to as much, so that few try at once. It doubles with each crash since. Callers expect answers
within 12 s of the return of their targets, whatever ended these."""

MAX_QUARANTINE_TRIAL_S = 150.0
"""Longest such time without the addition, in seconds; the attempts of a popular request end long
before its quarantine would."""

QUARANTINE_REPEAT_S = 3.0
"""Time after an attempt in quarantine that showed neither a crash nor an answer, in seconds;
a crash is confirmed within 2 s."""


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
        """Return whether no target may get a request, other than for a trial."""

    def crashes_in_quarantine(self, fingerprint: int) -> int:
        """Return how many crashes came after those that put a request in quarantine."""

    def changed_at(self, fingerprint: int) -> float:
        """Return when a crash or an answer of a request last became known."""

    def renew(self, fingerprint: int, now: float) -> None:
        """Record an attempt of a request in quarantine."""

    def last_crash_at(self, services: Iterable[str]) -> float:
        """Return when the last crash of a target of some services became known."""


class Quarantine:
    """Decides which requests go to all targets at once, to one first, or to none.

    Load pattern: a request ends each target that runs it, and comes again and again at all VMs. A
    gather would end a target of each shard with each attempt. While targets crash, each gather goes
    to one target first, as a canary.

    Load pattern: the targets end for another reason while they run a popular request. Few of the
    attempts of a suspected request go to one target each, in quarantine more and more rarely. An
    answer to one of them clears it at all VMs.

    Parameters
    ----------
    suspicions : Suspicions
        Suspicions of all VMs.
    vm_id : str, optional
        Id of this VM, which spreads the attempts in quarantine over the VMs.
    """

    def __init__(self, suspicions: Suspicions, vm_id: str = "") -> None:
        self._suspicions = suspicions
        self._vm_id = vm_id
        self._tried_at: dict[int, float] = {}  # by suspected request, its last attempt here
        self._ended: deque[tuple[float, str]] = deque()  # time and service of each target
        self._canary_until: dict[str, float] = {}

    def verdict(self, fingerprint: int, services: Collection[str], now: float) -> Verdict:
        """Return how a request to some services may be sent."""
        if self._suspicions.crashes(fingerprint):
            if now >= self.next_trial_at(fingerprint):
                return Verdict.CANARY
            if self._suspicions.in_quarantine(fingerprint):
                self._suspicions.renew(fingerprint, now)
            return Verdict.REFUSE
        if len(services) > 1 and (
            now - self._suspicions.last_crash_at(services) < CANARY_S
            or any(self._canary_until.get(service, -math.inf) > now for service in services)
        ):
            return Verdict.CANARY
        return Verdict.FREE

    def next_trial_at(self, fingerprint: int) -> float:
        """Return from when on a suspected request may go to one target, in seconds."""
        tried_at = self._tried_at.get(fingerprint, -math.inf)
        if not self._suspicions.in_quarantine(fingerprint):
            return tried_at + SUSPECT_TRIAL_S
        later_crashes = self._suspicions.crashes_in_quarantine(fingerprint)
        delay_s = min(QUARANTINE_TRIAL_S * 2**later_crashes, MAX_QUARANTINE_TRIAL_S)
        key = f"{self._vm_id}/{fingerprint}/{later_crashes}"
        share = xxhash.xxh32_intdigest(key.encode()) / 2**32
        crashed_at = self._suspicions.changed_at(fingerprint)
        return max(crashed_at + delay_s * (1 + share), tried_at + QUARANTINE_REPEAT_S)

    def on_trial(self, fingerprint: int, now: float) -> None:
        """Record that a suspected request goes to one target."""
        crashes = self._suspicions.crashes
        self._tried_at = {key: at for key, at in self._tried_at.items() if crashes(key)}
        self._tried_at[fingerprint] = now

    def in_quarantine(self, fingerprint: int) -> bool:
        """Return whether no target may get a request, other than for a trial."""
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
        self.first_sent_at = math.inf  # of the losses of this round, in seconds
        self._is_trial = False

    def begin(self, services: Collection[str], now: float) -> None:
        """Decide how the request is sent."""
        if self._quarantine is not None:
            self.verdict = self._quarantine.verdict(self._fingerprint, services, now)
            self._is_trial = self._quarantine.is_suspect(self._fingerprint)

    def on_start(self, now: float) -> None:
        """Record that the request is sent."""
        if self._quarantine is not None and self._is_trial:
            self._quarantine.on_trial(self._fingerprint, now)

    @property
    def retry_after_s(self) -> float:
        """Retry-after for a request that is not sent, in seconds."""
        lasts = self._quarantine is not None and self._quarantine.in_quarantine(self._fingerprint)
        return QUARANTINE_RETRY_AFTER_S if lasts else SUSPECT_RETRY_AFTER_S

    @property
    def needs_canary(self) -> bool:
        """Whether the request goes to one target first."""
        return not self.has_reply and self.verdict is Verdict.CANARY

    @property
    def awaits_reply(self) -> bool:
        """Whether shards are deferred until a target has replied."""
        return bool(self.deferred) and not self.has_reply

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

    def on_lost(self, shard: Shard, target_id: str, sent_at: float) -> None:
        """Record a lost sub-request, and defer its shard if no other one of it is in flight."""
        self.first_sent_at = min(sent_at, self.first_sent_at) if self.lost_targets else sent_at
        if not shard.open:
            self.deferred.append(shard)
        self.lost_targets.append((shard.service, target_id))

    def is_exhausted(self) -> bool:
        """Return whether the request has lost too many rounds, and count the last one.

        A request that was suspected before it was sent ends after one round.
        """
        self.lost_rounds += 1
        return (
            self._is_trial
            or self.lost_rounds >= MAX_LOST_ROUNDS
            or (self._quarantine is not None and self._quarantine.in_quarantine(self._fingerprint))
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
