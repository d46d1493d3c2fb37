"""Holds: times until which targets get no requests from this VM."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

log = logging.getLogger(__name__)

MAX_HOLD_S = 3600.0
"""Longest hold in seconds; without it a wrong value could make a shard unavailable permanently."""

HOLD_JITTER_SHARE = 0.1
"""Largest share by which a hold is extended, so that VMs do not all resume at the same time."""


class Holds:
    """Holds of targets by incarnation.

    Holds are stored apart from the other state of a target, since they stay in force when a target
    is removed and added again in the same incarnation.

    Parameters
    ----------
    random : callable
        Returns a random number from 0 to 1.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self._until: dict[str, tuple[int, float]] = {}

    def add(self, target_id: str, incarnation: int, hold_s: float, now: float) -> float:
        """Add a hold and return the time until which the target is held back.

        Of several holds, the one that ends last is in force. A value that is not a valid duration
        is ignored.

        Parameters
        ----------
        target_id : str
            The target.
        incarnation : int
            The incarnation of the target; a later incarnation is not held back.
        hold_s : float
            Duration that the target requested, in seconds.
        now : float
            Current time in seconds.
        """
        current_until = self.until(target_id, incarnation)
        if not math.isfinite(hold_s) or hold_s < 0:
            log.warning(
                "query: ignored a hold that is not a valid duration", extra={"target": target_id}
            )
            return current_until
        if hold_s > MAX_HOLD_S:
            log.warning(
                "query: shortened a hold that is too long",
                extra={"target": target_id, "hold_s": hold_s},
            )
        duration_s = min(hold_s, MAX_HOLD_S) * (1 + HOLD_JITTER_SHARE * self._random())
        self._until = {name: held for name, held in self._until.items() if held[1] > now}
        self._until[target_id] = (incarnation, max(current_until, now + duration_s))
        return self._until[target_id][1]

    def until(self, target_id: str, incarnation: int) -> float:
        """Return the end of the hold of a target, in seconds; 0 if there is none."""
        held_incarnation, until = self._until.get(target_id, (incarnation, 0.0))
        return until if held_incarnation == incarnation else 0.0
