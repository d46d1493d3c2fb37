"""How long targets want no requests of this VM, as their refusals said."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

log = logging.getLogger(__name__)

MAX_HOLD_S = 3600.0
"""Longest hold that is kept, in seconds; a wrong figure would lose a shard for good otherwise."""

RETURN_SPREAD = 0.1
"""Part of a hold by which it is prolonged at most, so that not all VMs return in one moment."""


class Holds:
    """Holds of targets by incarnation.

    They are kept apart from what else is known of a target, since a target that is forgotten and
    found again in the same incarnation still wants nothing.

    Parameters
    ----------
    random : callable
        Returns a random number from 0 to 1.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self._until: dict[str, tuple[int, float]] = {}

    def add(self, target_id: str, incarnation: int, hold_s: float, now: float) -> float:
        """Take what a refusal said; return the time until which the target is held back.

        Of several holds the latest end counts. What is no duration changes nothing.

        Parameters
        ----------
        target_id : str
            The target.
        incarnation : int
            Its incarnation; a later one is not held back.
        hold_s : float
            What the target said, in seconds.
        now : float
            Current time in seconds.
        """
        known = self.until(target_id, incarnation)
        if not math.isfinite(hold_s) or hold_s < 0:
            log.warning("query: a hold is no duration", extra={"target": target_id})
            return known
        if hold_s > MAX_HOLD_S:
            log.warning("query: a hold is too long", extra={"target": target_id, "hold_s": hold_s})
        wait_s = min(hold_s, MAX_HOLD_S) * (1 + RETURN_SPREAD * self._random())
        self._until = {name: held for name, held in self._until.items() if held[1] > now}
        self._until[target_id] = (incarnation, max(known, now + wait_s))
        return self._until[target_id][1]

    def until(self, target_id: str, incarnation: int) -> float:
        """Return the end of the hold of a target, in seconds; 0 if there is none."""
        held_incarnation, until = self._until.get(target_id, (incarnation, 0.0))
        return until if held_incarnation == incarnation else 0.0
