"""Adaptive limit on the requests that a VM runs at once."""

from __future__ import annotations

from statistics import median
from typing import Any

MIN_LIMIT = 4
"""Smallest limit; with fewer places a single slow request would block a class."""

OVERLOAD_SHARE = 0.05
"""Share of overloaded requests in a period above which the limit is lowered."""

_PERIOD_S = 0.1  # shortest period of adjustment
_DECREASE = 0.8
_SLOW_FACTOR = 2.0
_RISE, _FALL = 0.01, 0.2  # weights of a period's median: the long-term value rises slowly


class AdaptiveLimit:
    """Additive increase while latency is good, multiplicative decrease on overload.

    Parameters
    ----------
    initial, maximum : int
        Start and upper bound of the limit.
    adaptive : bool
        False keeps the limit at `maximum`.
    """

    def __init__(self, initial: int, maximum: int, adaptive: bool = True) -> None:
        self.value = float(min(initial, maximum)) if adaptive else float(maximum)
        self._maximum = float(maximum)
        self._adaptive = adaptive
        self._latencies: list[float] = []
        self._overloaded = 0
        self._period_start = 0.0
        self._used = 0
        self._long_median_s = 0.0
        self._why = "initial value"

    def on_end(self, latency_s: float, overloaded: bool, in_flight: int, now: float) -> None:
        """Count one ended request; `in_flight` includes it."""
        if not self._latencies:
            self._period_start = now
        self._latencies.append(latency_s)
        self._overloaded += overloaded
        self._used = max(self._used, in_flight)
        if not self._adaptive or len(self._latencies) < 10:
            return
        if now - self._period_start >= max(_PERIOD_S, self._long_median_s):
            self._adjust()

    def _adjust(self) -> None:
        count, middle = len(self._latencies), median(self._latencies)
        share, long_s = self._overloaded / count, self._long_median_s
        if share > OVERLOAD_SHARE:
            self._lower(f"{share:.0%} of the requests in a period were overloaded")
        elif long_s and middle > _SLOW_FACTOR * long_s:
            self._lower("the median latency was above twice the long-term median")
        elif self._used >= 0.8 * self.value:
            self.value = min(self._maximum, self.value + max(1.0, count / self.value * 0.5))
            self._why = "raised: the limit was used and latency was good"
        weight = _RISE if middle > long_s else _FALL
        self._long_median_s = long_s + (middle - long_s) * weight if long_s else middle
        self._latencies.clear()
        self._overloaded = self._used = 0

    def _lower(self, reason: str) -> None:
        self.value = max(float(min(MIN_LIMIT, self._maximum)), self.value * _DECREASE)
        self._why = f"lowered: {reason}"

    def dump(self) -> dict[str, Any]:
        """Return the limit with its explanation."""
        return {
            "limit": round(self.value, 1),
            "why": self._why,
            "long_term_median_ms": round(self._long_median_s * 1e3, 3),
        }
