"""Rate limits that targets name for all VMs together."""

from __future__ import annotations

import logging
import math
from collections import deque
from typing import Any

import attrs

log = logging.getLogger(__name__)

OBSERVED_S = 4.0
"""Time before a dump for which it counts the sub-requests to a limited target, in seconds."""

MAX_AGE_S = 3600.0
"""Time after its last reply for which a target is remembered, in seconds."""


@attrs.define
class _Limit:
    """The limit of one incarnation of a target; `per_s` is None if it names none any more."""

    incarnation: int
    per_s: float | None
    seen_at: float
    sent_times: deque[float] = attrs.field(factory=deque)


class RateLimits:
    """Keeps the rates that targets tolerate from all VMs together, as their replies name them."""

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}

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
            self._limits[target_id] = _Limit(incarnation, per_s, now)
            return True
        if known.incarnation > incarnation:
            return False
        known.seen_at = now
        changed, known.per_s = known.per_s != per_s, per_s
        return changed

    def _forget_old(self, now: float) -> None:
        for target_id, limit in list(self._limits.items()):
            if now - limit.seen_at > MAX_AGE_S:
                del self._limits[target_id]

    def on_sent(self, target_id: str, now: float) -> None:
        """Count a sub-request to a target."""
        limit = self._limits.get(target_id)
        if limit is None:
            return
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
