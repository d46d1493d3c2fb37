"""Adaptive limit on the requests that a VM runs at once."""

from __future__ import annotations

from collections import Counter
from statistics import median
from typing import Any

MIN_LIMIT = 4
"""Smallest limit; with fewer places a single slow request would block a class."""

OVERLOAD_SHARE = 0.05
"""Share of overloaded requests in a period above which the limit is lowered."""

_SHARE_WEIGHT = 0.15  # five late requests in a row raise the share of a service above a half
_STALLED_SHARE = 0.5  # under overload of the VM most admitted requests still end in time
_MIN_REQUESTS = 10  # in a period, and beside one service to tell that the others are well
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
        self.maximum = float(maximum)
        self._adaptive = adaptive
        self._latencies: list[float] = []
        self._ended: Counter[str] = Counter()
        self._overloaded: Counter[str] = Counter()
        self._shares: dict[str, float] = {}  # of overloaded requests, by service
        self._period_start = 0.0
        self._used = 0
        self._long_median_s = 0.0
        self._why = "initial value"

    def on_end(
        self, latency_s: float, overloaded: bool, in_flight: int, now: float, service: str = ""
    ) -> str | None:
        """Count one ended request; `in_flight` includes it.

        Returns
        -------
        str or None
            The service that alone is overloaded, if there is one; the limit is not lowered then.
        """
        if not self._latencies:
            self._period_start = now
        self._latencies.append(latency_s)
        self._ended[service] += 1
        if overloaded:
            self._overloaded[service] += 1
        share = self._shares.get(service, 0.0)
        self._shares[service] = share + (overloaded - share) * _SHARE_WEIGHT
        self._used = max(self._used, in_flight)
        if not self._adaptive or len(self._latencies) < _MIN_REQUESTS:
            return None
        if now - self._period_start < max(_PERIOD_S, self._long_median_s):
            return None
        return self._adjust()

    def _adjust(self) -> str | None:
        count, middle = len(self._latencies), median(self._latencies)
        share, long_s = self._overloaded.total() / count, self._long_median_s
        overloaded_service = self._overloaded_service() if share > OVERLOAD_SHARE else None
        if overloaded_service is not None:
            self._why = f"kept: only the service {overloaded_service} was overloaded"
        elif share > OVERLOAD_SHARE:
            self._lower(f"{share:.0%} of the requests in a period were overloaded")
        elif long_s and middle > _SLOW_FACTOR * long_s:
            self._lower("the median latency was above twice the long-term median")
        elif self._used >= 0.8 * self.value:
            self.value = min(self.maximum, self.value + max(1.0, count / self.value * 0.5))
            self._why = "raised: the limit was used and latency was good"
        weight = _RISE if middle > long_s else _FALL
        self._long_median_s = long_s + (middle - long_s) * weight if long_s else middle
        self._latencies.clear()
        self._ended.clear()
        self._overloaded.clear()
        self._used = 0
        return overloaded_service

    def _overloaded_service(self) -> str | None:
        """Return the service without which the period shows no overload."""
        [(service, late)] = self._overloaded.most_common(1)
        others = self._ended.total() - self._ended[service]
        if others < _MIN_REQUESTS:
            return None
        well = self._overloaded.total() - late <= OVERLOAD_SHARE * others
        return service if well and self._shares[service] >= _STALLED_SHARE else None

    def _lower(self, reason: str) -> None:
        self.value = max(float(min(MIN_LIMIT, self.maximum)), self.value * _DECREASE)
        self._why = f"lowered: {reason}"

    def dump(self) -> dict[str, Any]:
        """Return the limit with its explanation."""
        return {
            "limit": round(self.value, 1),
            "why": self._why,
            "long_term_median_ms": round(self._long_median_s * 1e3, 3),
        }
