"""Rate limits that targets name for all VMs together."""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from bramleycrank.scatter.senders import Senders

log = logging.getLogger(__name__)

OBSERVED_S = 4.0
"""Time before a dump for which it counts the sub-requests to a limited target, in seconds."""

MAX_AGE_S = 3600.0
"""Time after its last reply for which a target is remembered, in seconds."""

SPARE_SENDERS = 3
"""Senders of a target beyond one for each request per second that it tolerates; some of them may be
down or have no requests for it."""

REMOTE_WEIGHT = 0.25
"""Share of a sender in another failure domain than the target, relative to one in its domain, since
requests go to other domains only if the own one has no better target."""

BURST_S = 0.25
"""Time for which a sender may save up its share, in seconds, if that is more than one request."""

RECHECK_SHARE = 0.2
"""Share of the limit that all VMs together may use to learn whether it is still in force."""

MIN_RECHECKS_PER_S = 0.25
"""The same for targets with very low limits, in requests per second."""


@attrs.define
class _Limit:
    """The limit of one incarnation of a target; `per_s` is None if it names none any more.

    Parameters
    ----------
    tokens : float
        Requests that this VM may send, as of `filled_at`.
    recheck_at : float
        Time at which this VM may check the limit although it has no share left, in seconds.
    """

    incarnation: int
    per_s: float | None
    seen_at: float
    filled_at: float
    recheck_at: float = 0.0
    tokens: float = 1.0
    sent_times: deque[float] = attrs.field(factory=deque)


class RateLimits:
    """Decides how many requests this VM may send to a target that names a rate for all VMs.

    Load pattern: a target in need names a limit far below its usual load, and all VMs learn of it
    from their own replies. As many VMs as the limit can serve in about a second share it, those in
    the target's domain first. Each has a token bucket, and all buckets together hold about a second
    of the limit, so that VMs that become busy at the same moment do not exceed it. Any VM may check
    from time to time whether the limit is still in force.

    Parameters
    ----------
    senders : Senders
        Ranks this VM among all that send to a target.
    random : callable
        Returns a random number from 0 to 1.
    """

    def __init__(self, senders: Senders, random: Callable[[], float]) -> None:
        self._senders = senders
        self._random = random
        self._limits: dict[str, _Limit] = {}

    @property
    def in_force(self) -> bool:
        """Whether any target has a limit."""
        return any(limit.per_s is not None for limit in self._limits.values())

    def update(self, target_id: str, incarnation: int, per_s: float | None, now: float) -> bool:
        """Record what a reply says about the limit of its target; return whether it changed.

        A value that is not a rate is ignored.

        Parameters
        ----------
        target_id : str
            The target.
        incarnation : int
            The incarnation that replied; a later one has no limit until it names one.
        per_s : float or None
            Sub-requests per second that the target tolerates; None if it names no limit.
        now : float
            Current time in seconds.
        """
        if per_s is not None and not (math.isfinite(per_s) and per_s >= 0):
            log.warning("scatter: ignored a limit that is not a rate", extra={"target": target_id})
            return False
        known = self._limits.get(target_id)
        if known is None or known.incarnation < incarnation:
            if per_s is None:
                return self._limits.pop(target_id, None) is not None
            self._forget_old(now)
            known = self._limits[target_id] = _Limit(incarnation, per_s, now, now)
            self._set_recheck(known, now)
            return True
        if known.incarnation > incarnation:
            return False
        changed, known.per_s = known.per_s != per_s, per_s
        known.seen_at = now
        self._set_recheck(known, now)
        return changed

    def admits(self, target_id: str, domain: str, now: float) -> bool:
        """Return whether this VM may send one more request to a target in a failure domain."""
        return self.wait_s(target_id, domain, now) <= 0

    def wait_s(self, target_id: str, domain: str, now: float) -> float:
        """Return the time until this VM may send a request to a target, in seconds; 0 for now."""
        limit = self._limits.get(target_id)
        if limit is None or limit.per_s is None:
            return 0.0
        recheck_s = limit.recheck_at - now
        share_per_s = self._share_per_s(target_id, domain, limit.per_s)
        if not share_per_s:
            return max(0.0, recheck_s)
        capacity = max(1.0, share_per_s * BURST_S)
        limit.tokens = min(capacity, limit.tokens + share_per_s * (now - limit.filled_at))
        limit.filled_at = now
        return max(0.0, min(recheck_s, (1.0 - limit.tokens) / share_per_s))

    def _share_per_s(self, target_id: str, domain: str, per_s: float) -> float:
        """Return the share of this VM in the limit of a target, in requests per second."""
        rank = self._senders.rank(target_id, domain)
        sender_count = min(rank.total, math.floor(per_s) + SPARE_SENDERS)
        if rank.position >= max(1, sender_count):
            return 0.0
        local = min(rank.local, sender_count)
        weights = local + REMOTE_WEIGHT * (sender_count - local)
        weight = 1.0 if rank.position < local else REMOTE_WEIGHT
        return per_s * weight / weights if weights else per_s

    def _set_recheck(self, limit: _Limit, now: float) -> None:
        vm_count = max(1, self._senders.vm_count)
        rechecks_per_s = max(MIN_RECHECKS_PER_S, RECHECK_SHARE * (limit.per_s or 0.0))
        limit.recheck_at = now + vm_count / rechecks_per_s * (1.0 + self._random())

    def _forget_old(self, now: float) -> None:
        for target_id, limit in list(self._limits.items()):
            if now - limit.seen_at > MAX_AGE_S:
                del self._limits[target_id]

    def on_sent(self, target_id: str, now: float) -> None:
        """Count a sub-request to a target."""
        limit = self._limits.get(target_id)
        if limit is None:
            return
        limit.tokens = max(0.0, limit.tokens - 1.0)
        self._set_recheck(limit, now)
        limit.sent_times.append(now)
        while limit.sent_times[0] <= now - OBSERVED_S:
            limit.sent_times.popleft()

    def dump(self, now: float) -> dict[str, Any]:
        """Return the limits in force and how many sub-requests this VM has sent recently."""
        return {
            target_id: {
                "per_s": limit.per_s,
                "sent_in_4_s": sum(at > now - OBSERVED_S for at in limit.sent_times),
            }
            for target_id, limit in self._limits.items()
            if limit.per_s is not None
        }
