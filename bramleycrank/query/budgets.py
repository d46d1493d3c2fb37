"""Budgets that bound hedges and retries."""

from __future__ import annotations

from typing import Any

SHED_CUTOFF = 0.20
"""Share of shed replies at which the budgets reach zero."""

_SHED_WEIGHT = 0.01  # weight of one reply: the share follows about the last 100 replies


class ShedShare:
    """Moving share of shed replies."""

    def __init__(self) -> None:
        self.share = 0.0

    def record(self, shed: bool) -> None:
        """Count one reply."""
        self.share += ((1.0 if shed else 0.0) - self.share) * _SHED_WEIGHT

    @property
    def scale(self) -> float:
        """Factor for the budgets: 1 without shed replies, 0 from the cut-off on."""
        return max(0.0, 1.0 - self.share / SHED_CUTOFF)


class TokenBudget:
    """Extra sub-requests as a share of the first ones.

    Parameters
    ----------
    ratio : float
        Tokens earned for each first sub-request while nothing is shed.
    burst : float
        Most tokens that are kept, and the tokens at the start.
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst
        self.taken = 0
        self.denied = 0

    def earn(self, scale: float) -> None:
        """Count one first sub-request."""
        tokens = self.tokens + self.ratio * scale
        self.tokens = tokens if tokens < self.burst else self.burst

    def take(self, scale: float) -> bool:
        """Take one token; False if there is none or the budget has shrunk to zero."""
        if scale <= 0.0 or self.tokens < 1.0:
            self.denied += 1
            return False
        self.tokens -= 1.0
        self.taken += 1
        return True

    def dump(self, scale: float) -> dict[str, Any]:
        """Return the state of the budget."""
        return {
            "ratio": round(self.ratio * scale, 4),
            "tokens": round(self.tokens, 2),
            "taken": self.taken,
            "denied": self.denied,
        }
