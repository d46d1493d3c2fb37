"""Adaptive limit on the number of concurrent requests of a VM."""

from __future__ import annotations

from collections import Counter
from statistics import median
from typing import Any

MIN_LIMIT = 4
"""Smallest limit; with a lower one a single slow request could block a class."""

OVERLOAD_SHARE = 0.05
"""Share of overloaded requests in a period above which the limit is lowered."""

_OVERLOAD_WEIGHT = 0.15  # five overloaded requests in a row raise the share of a service above 0.5
_STALLED_SHARE = 0.5  # if the VM is overloaded, most admitted requests still end in time
_MIN_REQUESTS = 10  # in a period, and of the other services to compare one with them
_PERIOD_S = 0.1  # shortest time between adjustments
_DECREASE_FACTOR = 0.8
_SLOW_FACTOR = 2.0
_RISE_WEIGHT, _FALL_WEIGHT = 0.01, 0.2  # of a period's median in the slowly rising long-term one


class AdaptiveLimit:
    """Concurrency limit with additive increase and multiplicative decrease (AIMD).

    It increases while latency is good and decreases on overload.

    Parameters
    ----------
    initial, maximum : int
        Initial value and upper bound of the limit.
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
        self._overload_shares: dict[str, float] = {}  # of overloaded requests, by service
        self._period_start = 0.0
        self._max_in_flight = 0
        self._long_median_s = 0.0
        self._reason = "initial value"

    def on_end(
        self, latency_s: float, overloaded: bool, in_flight: int, now: float, service: str = ""
    ) -> str | None:
        """Count one ended request; `in_flight` includes it.

        Returns
        -------
        str or None
            The only overloaded service, if there is exactly one; the limit is not lowered then.
        """
        if not self._latencies:
            self._period_start = now
        self._latencies.append(latency_s)
        self._ended[service] += 1
        if overloaded:
            self._overloaded[service] += 1
        share = self._overload_shares.get(service, 0.0)
        self._overload_shares[service] = share + (overloaded - share) * _OVERLOAD_WEIGHT
        self._max_in_flight = max(self._max_in_flight, in_flight)
        if not self._adaptive or len(self._latencies) < _MIN_REQUESTS:
            return None
        if now - self._period_start < max(_PERIOD_S, self._long_median_s):
            return None
        return self._adjust()

    def _adjust(self) -> str | None:
        count, median_s = len(self._latencies), median(self._latencies)
        share, long_median_s = self._overloaded.total() / count, self._long_median_s
        overloaded_service = self._overloaded_service() if share > OVERLOAD_SHARE else None
        if overloaded_service is not None:
            self._reason = f"kept: only the service {overloaded_service} was overloaded"
        elif share > OVERLOAD_SHARE:
            self._decrease(f"{share:.0%} of the requests in a period were overloaded")
        elif long_median_s and median_s > _SLOW_FACTOR * long_median_s:
            self._decrease("the median latency was above twice the long-term median")
        elif self._max_in_flight >= 0.8 * self.value:
            self.value = min(self.maximum, self.value + max(1.0, count / self.value * 0.5))
            self._reason = "raised: the limit was used and latency was good"
        weight = _RISE_WEIGHT if median_s > long_median_s else _FALL_WEIGHT
        self._long_median_s = (
            long_median_s + (median_s - long_median_s) * weight if long_median_s else median_s
        )
        self._latencies.clear()
        self._ended.clear()
        self._overloaded.clear()
        self._max_in_flight = 0
        return overloaded_service

    def _overloaded_service(self) -> str | None:
        """Return the service that alone caused the overload of the period, or None."""
        [(service, overloaded)] = self._overloaded.most_common(1)
        others = self._ended.total() - self._ended[service]
        if others < _MIN_REQUESTS:
            return None
        others_ok = self._overloaded.total() - overloaded <= OVERLOAD_SHARE * others
        return service if others_ok and self._overload_shares[service] >= _STALLED_SHARE else None

    def _decrease(self, reason: str) -> None:
        self.value = max(float(min(MIN_LIMIT, self.maximum)), self.value * _DECREASE_FACTOR)
        self._reason = f"lowered: {reason}"

    def dump(self) -> dict[str, Any]:
        """Return the limit and the reason for its last change."""
        return {
            "limit": round(self.value, 1),
            "why": self._reason,
            "long_term_median_ms": round(self._long_median_s * 1e3, 3),
        }
