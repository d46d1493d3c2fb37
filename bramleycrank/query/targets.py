"""What the VM has observed of one target."""

from __future__ import annotations

import math
from typing import Any

import attrs

from bramleycrank.proto.target_pb2 import TargetRecord

FAILURES_TO_EJECT = 5
"""Consecutive failures after which a target is ejected."""

EJECT_BASE_S, EJECT_MAX_S = 1.0, 60.0
"""First and longest time of an ejection; each further ejection doubles it."""

CALM_S = 30.0
"""Time without an ejection after which the back-off starts anew."""

WARMUP_FLOOR = 0.05
"""Smallest share of a cold target; without it no observation would ever arrive."""

REPROBE_S, REPROBE_MAX_S = 1.0, 8.0
"""First and longest time without a sub-request after which a target is tried again whatever its
score was; the time doubles while it stays slow.

Load pattern: a fifth of the targets are slow for seconds. A trial of one of them holds up the whole
request, and requests to dozens of shards would meet several trials each.
"""

SLOW = 2.0
"""Latency, as a multiple of the usual one of the target, from which it stays slow."""

REPROBE_PASSES = 4
"""Choices that must have passed the target over besides; a VM with few requests asks others first.

Without it a VM that asks a shard once a second would find every observation too old.
"""

FAILED_COST = 8.0
"""Cost of a certain failure, in times of a good answer: it takes an attempt and budget as well."""

REPEATED_COST = 4.0
"""Time lost by a certain failure, in times of a good answer: the failed one, and another target's
answer, which may have to open a connection first."""

SHED_COST = 4.0
"""What a certain refusal for load costs beyond that: a busy target should not be asked again."""

UNKNOWN_LATENCY_S = 1e-4
"""Latency of a target that has not been asked yet; a low one, so that it is asked."""

MEMORY_S = 2.0
"""Time over which what is observed follows a change, however few replies come."""

LATENCY_RISE = 3.0
"""Most that one reply counts for beyond the least weight, in times of the observed latency.

A single pause says little, also where replies are so few that each has a great weight.
"""

FAILED_WEIGHT_MAX = 0.3
"""Most that one end counts for in the share of failed ones, however few there are."""

_LATENCY_WEIGHT = 0.1  # least weight of one reply in the observed latency
_FAILED_WEIGHT = 0.1  # weight of one end in the share of failed ones
_SHED_FACTOR = 0.7
_QUEUED_FACTOR = 0.85
_USED = 0.8  # part of the limit that must be in use before it grows
_GOOD = 1.5  # latency, as a multiple of the usual one, up to which the limit grows
_BASE_RISE, _BASE_FALL = 0.005, 0.05  # weights of a reply in the usual latency


@attrs.define(eq=False)
class TargetState:
    """Observed state of one target.

    Parameters
    ----------
    limit : float
        Concurrency limit of this VM for the target.
    warm_from : float
        Start of the warm-up.
    """

    target_id: str
    domain: str
    local: bool
    slots: int
    incarnation: int
    limit: float
    warm_from: float
    warm_until: float
    in_flight: int = 0
    sent_at: float = -1e9
    busy_since: float = 0.0  # when it last answered, or got its first sub-request in flight
    passed_over: int = 0  # choices since then that preferred another target
    reprobe_s: float = REPROBE_S
    slow_at: float = -1e9  # when that time was last doubled
    replied_at: float = 0.0
    ended_at: float = 0.0
    latency_s: float = 0.0
    base_s: float = 0.0
    failures: int = 0
    failed_share: float = 0.0  # of the recent sub-requests, refused ones included
    shed_share: float = 0.0  # of the recent sub-requests, refused ones only
    ejections: int = 0
    ejected_at: float = 0.0
    ejected_until: float = 0.0
    limit_cut_at: float = -1e9
    down: bool = False
    held_until: float = 0.0  # the target wants no requests before
    leaving: bool = False
    reported: float = 0.0
    replies: int = 0
    sheds: int = 0
    losses: int = 0

    @classmethod
    def from_record(
        cls, record: TargetRecord, local: bool, limit: float, warm_from: float, warm_until: float
    ) -> TargetState:
        """Return the state of a target that the VM has not used yet."""
        return cls(
            target_id=record.target_id,
            domain=record.domain,
            local=local,
            slots=max(1, record.slots),
            incarnation=record.incarnation,
            limit=limit,
            warm_from=warm_from,
            warm_until=warm_until,
        )

    def warm_share(self, now: float) -> float:
        """Return the share of a full one that the target gets while it warms up."""
        if now >= self.warm_until:
            return 1.0
        return max(WARMUP_FLOOR, (now - self.warm_from) / (self.warm_until - self.warm_from))

    def cost(self) -> float:
        """Return the expected time of one more sub-request as observed, however long ago."""
        usual = (self.in_flight + 1) * (self.latency_s or UNKNOWN_LATENCY_S) * (1 + self.failures)
        return usual * (1 + FAILED_COST * self.failed_share)

    def expected_s(self, now: float) -> float:
        """Return the time in seconds that one more sub-request should take.

        Sub-requests run side by side in the slots, so a few in flight do not delay another one. A
        target that has been silent for longer than it usually takes pauses or is stuck, and is
        expected to stay so for as long again.
        """
        usual_s = self.latency_s or UNKNOWN_LATENCY_S
        rounds = max(1.0, (self.in_flight + 1) / self.slots)
        silent_s = now - self.busy_since if self.in_flight else 0.0
        wait_s = usual_s * rounds + max(0.0, silent_s - usual_s)
        failing = max(self.failed_share, min(1.0, self.failures / FAILURES_TO_EJECT))
        return wait_s * (1 + REPEATED_COST * failing + SHED_COST * self.shed_share)

    def on_sent(self, now: float) -> None:
        """Count a sub-request in flight."""
        if not self.in_flight:
            self.busy_since = now
        self.in_flight += 1
        self.sent_at = now
        self.passed_over = 0

    def on_ended(self, now: float) -> None:
        """Count the end of a sub-request, whatever it was."""
        self.in_flight = max(0, self.in_flight - 1)
        self.busy_since = now

    def score(self, now: float) -> float:
        """Return the expected cost of one more sub-request; lower is better."""
        if now - self.sent_at > self.reprobe_s and self.passed_over >= REPROBE_PASSES:
            return 0.0  # what was observed is too old; without a new sample it would never change
        # The reported load only decides between otherwise equal targets; it can lag or mislead.
        return self.cost() + 1e-9 * self.reported

    def on_reply(self, latency_s: float, now: float) -> None:
        """Count an accepted reply."""
        self.replies += 1
        self.failures = 0
        self._count_end(now, failed=False)
        if self.ejections and now - self.ejected_until > CALM_S:
            self.ejections = 0
        if latency_s > SLOW * self.base_s > 0:
            self._stay_away(now)
        else:
            self.reprobe_s = REPROBE_S
        known, since_s = self.latency_s, now - self.replied_at
        self.replied_at = now
        if not known:
            self.latency_s = self.base_s = latency_s
            return
        weight = max(_LATENCY_WEIGHT, _renewed(since_s))
        step = (min(latency_s, LATENCY_RISE * known) - known) * weight
        self.latency_s = known + step
        rising = latency_s > self.base_s
        self.base_s += (latency_s - self.base_s) * (_BASE_RISE if rising else _BASE_FALL)
        # A limit that is not used says nothing about the capacity behind it, and a slow reply
        # may have waited in the target's queue. More than the slots could only wait there, while
        # replicas in other domains have free ones.
        if self.in_flight >= self.limit * _USED and latency_s < _GOOD * self.base_s:
            self.limit = min(float(self.slots), self.limit + 1.0 / self.limit)

    def _stay_away(self, now: float) -> None:
        """Double the time until the next trial, once for all sub-requests of one trial."""
        if now - self.slow_at >= self.reprobe_s:
            self.reprobe_s = min(REPROBE_MAX_S, 2 * self.reprobe_s)
            self.slow_at = now

    def _count_end(self, now: float, *, failed: bool, shed: bool = False) -> None:
        weight = max(_FAILED_WEIGHT, min(FAILED_WEIGHT_MAX, _renewed(now - self.ended_at)))
        self.failed_share += (failed - self.failed_share) * weight
        self.shed_share += (shed - self.shed_share) * weight
        self.ended_at = now

    def on_shed(self, now: float) -> None:
        """Lower the limit, once for all shed replies of one round trip."""
        self.sheds += 1
        self._count_end(now, failed=True, shed=True)
        if now - self.limit_cut_at >= self.latency_s:
            self.limit = max(1.0, self.limit * _SHED_FACTOR)
            self.limit_cut_at = now

    def on_queued(self, now: float) -> None:
        """Lower the limit because requests wait at the target, once for each round trip."""
        if now - self.limit_cut_at >= self.latency_s:
            self.limit = max(1.0, self.limit * _QUEUED_FACTOR)
            self.limit_cut_at = now

    def on_failure(self, now: float) -> None:
        """Count a failure; eject after too many in a row."""
        self.losses += 1
        self.failures += 1
        self._count_end(now, failed=True)
        if self.failures >= FAILURES_TO_EJECT and now >= self.ejected_until:
            wait = min(EJECT_MAX_S, EJECT_BASE_S * 2**self.ejections)
            self.ejections = min(self.ejections + 1, 10)
            self.ejected_at, self.ejected_until = now, now + wait
            # After the ejection a single failure is enough for the next one.
            self.failures = FAILURES_TO_EJECT - 1

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state with its explanation."""
        return {
            "domain": self.domain,
            "why": self._why(now),
            "in_flight": self.in_flight,
            "limit": round(self.limit, 2),
            "latency_ms": round(self.latency_s * 1e3, 3),
            "consecutive_failures": self.failures,
            "replies": self.replies,
            "shed": self.sheds,
            "failed_share": round(self.failed_share, 3),
            "failed": self.losses,
            "reported_load": round(self.reported, 3),
        }

    def _why(self, now: float) -> str:
        if self.leaving:
            return "leaving: the target refused work because it is leaving"
        if self.down:
            return "down: the connection monitor got no answer"
        if self.held_until > now:
            return f"held back: it wants no requests for {self.held_until - now:.1f} s more"
        if self.ejected_until > now:
            left = self.ejected_until - now
            return f"ejected: consecutive failures, for {left:.1f} s more"
        if now < self.warm_until:
            return f"warming up: gets {self.warm_share(now):.0%} of a full share"
        if self.in_flight >= self.limit:
            return "at its limit: used only if no replica has free capacity"
        return "in use"


def _renewed(since_s: float) -> float:
    """Return the part of an observation that has lost its worth after some time."""
    return 1.0 - math.exp(-since_s / MEMORY_S)
