"""Token budgets for hedges and retries."""

from __future__ import annotations

from typing import Any

SHED_CUTOFF_SHARE = 0.20
"""Share of shed replies from which on the budgets are zero."""

_SHED_WEIGHT = 0.01  # weight of one reply in the average, which covers about 100 replies


class ShedShare:
    """Exponential moving average of the share of shed replies."""

    def __init__(self) -> None:
        self.share = 0.0

    def record(self, shed: bool) -> None:
        """Count one reply."""
        self.share += ((1.0 if shed else 0.0) - self.share) * _SHED_WEIGHT

    @property
    def scale(self) -> float:
        """Factor for the budgets: 1 without shed replies, 0 at or above the cut-off share."""
        return max(0.0, 1.0 - self.share / SHED_CUTOFF_SHARE)


class TokenBudget:
    """Token bucket that bounds extra sub-requests to a share of the first ones.

    Parameters
    ----------
    ratio : float
        Tokens earned for each first sub-request while nothing is shed.
    burst : float
        Capacity of the bucket; it starts full.
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst
        self.taken = 0
        self.denied = 0

    def add_request(self, scale: float) -> None:
        """Add the tokens that one first sub-request earns."""
        tokens = self.tokens + self.ratio * scale
        self.tokens = tokens if tokens < self.burst else self.burst

    def try_acquire(self, scale: float) -> bool:
        """Take one token; return False if there is none or `scale` is zero."""
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
