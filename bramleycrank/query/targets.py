"""State that this VM has observed of one target."""

from __future__ import annotations

import math
from typing import Any

import attrs

from bramleycrank.proto.target_pb2 import TargetRecord

FAILURES_TO_EJECT = 5
"""Consecutive failures after which a target is ejected."""

MIN_EJECTION_S, MAX_EJECTION_S = 1.0, 60.0
"""First and longest duration of an ejection; each further ejection doubles it."""

EJECTION_RESET_S = 30.0
"""Time without an ejection after which the back-off is reset."""

MIN_WARMUP_SHARE = 0.05
"""Smallest load share of a warming target, which keeps observations coming in."""

MIN_REPROBE_DELAY_S, MAX_REPROBE_DELAY_S = 1.0, 8.0
"""First and longest time without a sub-request after which a target is tried again regardless of
its score; the time doubles while the target stays slow.

If a fifth of the targets are slow for seconds, a trial of one of them delays the whole request, and
a request to dozens of shards would include several trials.
"""

SLOW_FACTOR = 2.0
"""Ratio of the latency to the baseline latency of a target above which the target is slow."""

REPROBE_MIN_SKIPS = 4
"""Number of choices that must also have preferred other targets before a target is tried again.

Without it, every observation would be outdated on a VM that queries a shard once a second.
"""

FAILURE_COST_FACTOR = 8.0
"""Cost of a certain failure, as a multiple of the latency; it also uses an attempt and budget."""

FAILURE_DELAY_FACTOR = 4.0
"""Time lost by a certain failure, as a multiple of the latency: the failed sub-request and a retry
at another target, which may have to open a connection first."""

SHED_DELAY_FACTOR = 4.0
"""Additional cost if a failure is a shed sub-request, since a busy target should get less load."""

DEFAULT_LATENCY_S = 1e-4
"""Assumed latency of a target without observations; low, so that the target is chosen."""

OBSERVATION_DECAY_S = 2.0
"""Time constant with which observations follow a change, even if there are few replies."""

MAX_LATENCY_RISE_FACTOR = 3.0
"""Ratio of a latency sample to the observed latency at which the sample is capped.

This bounds the effect of a single pause, also where replies are rare and each has a large weight.
"""

MAX_FAILED_WEIGHT = 0.3
"""Largest weight of one sub-request in the failed share, even if sub-requests are rare."""

_MIN_LATENCY_WEIGHT = 0.1  # smallest weight of one reply in the observed latency
_MIN_FAILED_WEIGHT = 0.1  # smallest weight of one sub-request in the failed share
_SHED_FACTOR = 0.7
_QUEUED_FACTOR = 0.85
_MIN_USED_SHARE = 0.8  # share of the limit that must be in use before it grows
_GROWTH_LATENCY_FACTOR = 1.5  # ratio of the latency to the baseline up to which the limit grows
_BASE_RISE_WEIGHT, _BASE_FALL_WEIGHT = 0.005, 0.05  # weights of a reply in the baseline latency


@attrs.define(eq=False)
class TargetState:
    """Observed state of one target.

    Parameters
    ----------
    limit : float
        Concurrency limit of this VM for the target.
    warm_from, warm_until : float
        Start and end of the warm-up, in seconds.
    absent_until : float
        End of the time in which another target has the address of this one.
    cold_until : float
        End of the time in which the target is cold and used only if no other one is left.
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
    busy_since: float = 0.0  # last end of a sub-request, or first one in flight
    skipped_count: int = 0  # choices since `sent_at` that preferred another target
    reprobe_s: float = MIN_REPROBE_DELAY_S
    slow_at: float = -1e9  # when `reprobe_s` was last doubled
    replied_at: float = 0.0
    ended_at: float = 0.0
    latency_s: float = 0.0
    base_latency_s: float = 0.0
    failures: int = 0  # consecutive ones
    failed_share: float = 0.0  # of the recent sub-requests, including shed ones
    shed_share: float = 0.0  # of the recent sub-requests
    ejections: int = 0
    ejected_at: float = 0.0
    ejected_until: float = 0.0
    limit_lowered_at: float = -1e9
    down: bool = False
    held_until: float = 0.0  # end of the hold
    absent_until: float = 0.0
    cold_until: float = 0.0
    leaving: bool = False
    reported_load: float = 0.0
    reported_at: float = 0.0
    last_latency_s: float = 0.0  # of the last reply
    replies: int = 0
    shed_count: int = 0
    failure_count: int = 0

    @classmethod
    def from_record(
        cls, record: TargetRecord, local: bool, limit: float, warm_from: float, warm_until: float
    ) -> TargetState:
        """Return the initial state of a target."""
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

    def is_held(self, now: float) -> bool:
        """Return whether the target must get nothing now: at its own request or as it is absent."""
        return self.held_until > now or self.absent_until > now

    def warm_share(self, now: float) -> float:
        """Return the load share of the target: 1 after the warm-up, less during it."""
        if now >= self.warm_until:
            return 1.0
        return max(MIN_WARMUP_SHARE, (now - self.warm_from) / (self.warm_until - self.warm_from))

    def cost(self) -> float:
        """Return the expected cost of one more sub-request, regardless of the observations' age."""
        load_s = (self.in_flight + 1) * (self.latency_s or DEFAULT_LATENCY_S) * (1 + self.failures)
        return load_s * (1 + FAILURE_COST_FACTOR * self.failed_share)

    def expected_s(self, now: float) -> float:
        """Return the expected time in seconds of one more sub-request, failures included."""
        return self.wait_s(now, self.latency_s or DEFAULT_LATENCY_S) * self.failure_factor()

    def wait_s(self, now: float, latency_s: float) -> float:
        """Return the expected time in seconds of one more sub-request that doesn't fail.

        Sub-requests run concurrently in the slots, so a few in flight do not delay another one. A
        target that is silent for longer than its usual latency is paused or stuck, and is expected
        to remain so for the same time again.

        Parameters
        ----------
        now : float
            Current time in seconds.
        latency_s : float
            Latency of a sub-request that finds a free slot, in seconds.
        """
        queue_rounds = max(1.0, (self.in_flight + 1) / self.slots)
        silent_s = now - self.busy_since if self.in_flight else 0.0
        return latency_s * queue_rounds + max(0.0, silent_s - latency_s)

    def failure_factor(self) -> float:
        """Return the time lost by failures, as a factor of the expected time."""
        failure_share = max(self.failed_share, min(1.0, self.failures / FAILURES_TO_EJECT))
        return 1 + FAILURE_DELAY_FACTOR * failure_share + SHED_DELAY_FACTOR * self.shed_share

    def on_sent(self, now: float) -> None:
        """Count a sub-request in flight."""
        if not self.in_flight:
            self.busy_since = now
        self.in_flight += 1
        self.sent_at = now
        self.skipped_count = 0

    def on_ended(self, now: float) -> None:
        """Count the end of a sub-request, regardless of its result."""
        self.in_flight = max(0, self.in_flight - 1)
        self.busy_since = now

    def score(self, now: float) -> float:
        """Return the expected cost of one more sub-request; lower is better."""
        if now - self.sent_at > self.reprobe_s and self.skipped_count >= REPROBE_MIN_SKIPS:
            return 0.0  # outdated; without a new sample the score would never change
        # The reported load may be outdated or wrong, so it only breaks ties.
        return self.cost() + 1e-9 * self.reported_load

    def on_reply(self, latency_s: float, now: float) -> None:
        """Count an accepted reply."""
        self.replies += 1
        self.last_latency_s = latency_s
        self.failures = 0
        self._record_outcome(now, failed=False)
        if self.ejections and now - self.ejected_until > EJECTION_RESET_S:
            self.ejections = 0
        if latency_s > SLOW_FACTOR * self.base_latency_s > 0:
            self._back_off(now)
        else:
            self.reprobe_s = MIN_REPROBE_DELAY_S
        previous_s, since_s = self.latency_s, now - self.replied_at
        self.replied_at = now
        if not previous_s:
            self.latency_s = self.base_latency_s = latency_s
            return
        weight = max(_MIN_LATENCY_WEIGHT, _time_weight(since_s))
        change = (min(latency_s, MAX_LATENCY_RISE_FACTOR * previous_s) - previous_s) * weight
        self.latency_s = previous_s + change
        rising = latency_s > self.base_latency_s
        self.base_latency_s += (latency_s - self.base_latency_s) * (
            _BASE_RISE_WEIGHT if rising else _BASE_FALL_WEIGHT
        )
        # The limit grows only if it is used, since an unused limit does not show the capacity, and
        # only on a fast reply, since a slow one may have been queued at the target. It does not
        # exceed the slots: more would queue there while replicas in other domains have free slots.
        if (
            self.in_flight >= self.limit * _MIN_USED_SHARE
            and latency_s < _GROWTH_LATENCY_FACTOR * self.base_latency_s
        ):
            self.limit = min(float(self.slots), self.limit + 1.0 / self.limit)

    def _back_off(self, now: float) -> None:
        """Double the time until the next trial, once for all sub-requests of a trial."""
        if now - self.slow_at >= self.reprobe_s:
            self.reprobe_s = min(MAX_REPROBE_DELAY_S, 2 * self.reprobe_s)
            self.slow_at = now

    def _record_outcome(self, now: float, *, failed: bool, shed: bool = False) -> None:
        weight = max(_MIN_FAILED_WEIGHT, min(MAX_FAILED_WEIGHT, _time_weight(now - self.ended_at)))
        self.failed_share += (failed - self.failed_share) * weight
        self.shed_share += (shed - self.shed_share) * weight
        self.ended_at = now

    def on_shed(self, now: float) -> None:
        """Count a shed reply and lower the limit, once per round trip."""
        self.shed_count += 1
        self._record_outcome(now, failed=True, shed=True)
        if now - self.limit_lowered_at >= self.latency_s:
            self.limit = max(1.0, self.limit * _SHED_FACTOR)
            self.limit_lowered_at = now

    def on_queued(self, now: float) -> None:
        """Lower the limit because requests are queued at the target, once per round trip."""
        if now - self.limit_lowered_at >= self.latency_s:
            self.limit = max(1.0, self.limit * _QUEUED_FACTOR)
            self.limit_lowered_at = now

    def on_failure(self, now: float) -> None:
        """Count a failure and eject the target after too many consecutive ones."""
        self.failure_count += 1
        self.failures += 1
        self._record_outcome(now, failed=True)
        if self.failures >= FAILURES_TO_EJECT and now >= self.ejected_until:
            wait = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**self.ejections)
            self.ejections = min(self.ejections + 1, 10)
            self.ejected_at, self.ejected_until = now, now + wait
            # After the ejection, a single failure causes the next ejection.
            self.failures = FAILURES_TO_EJECT - 1

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state and the reason for it."""
        return {
            "domain": self.domain,
            "why": self._explain(now),
            "in_flight": self.in_flight,
            "limit": round(self.limit, 2),
            "latency_ms": round(self.latency_s * 1e3, 3),
            "consecutive_failures": self.failures,
            "replies": self.replies,
            "shed": self.shed_count,
            "failed_share": round(self.failed_share, 3),
            "failed": self.failure_count,
            "reported_load": round(self.reported_load, 3),
        }

    def _explain(self, now: float) -> str:
        if self.leaving:
            return "leaving: the target refused work because it is shutting down"
        if self.down:
            return "down: the connection monitor finds the target unreachable"
        if self.held_until > now:
            return f"held back: the hold ends in {self.held_until - now:.1f} s"
        if self.absent_until > now:
            return "absent: another target responded at its address"
        if self.ejected_until > now:
            remaining_s = self.ejected_until - now
            return f"ejected: consecutive failures; the ejection ends in {remaining_s:.1f} s"
        if now < self.cold_until:
            return f"cold: used only if no other replica is left, for {self.cold_until - now:.1f} s"
        if now < self.warm_until:
            return f"warming up: gets {self.warm_share(now):.0%} of its full load share"
        if self.in_flight >= self.limit:
            return "at its limit: used only if no replica has free capacity"
        return "in use"


def _time_weight(since_s: float) -> float:
    """Return the weight of a new observation by the time since the last one."""
    return 1.0 - math.exp(-since_s / OBSERVATION_DECAY_S)
