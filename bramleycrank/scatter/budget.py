"""Retry budget: bounds hedges and retries over a sliding window."""

from __future__ import annotations

from collections import deque
from typing import Any

import attrs

SAFETY_FACTOR = 0.8
"""Share of the budget that is used, since the VMs' counts of requests and VMs can be outdated."""


@attrs.frozen
class RetryBudgetConfig:
    """Bound on the extra sub-requests of all VMs together, for each service.

    Parameters
    ----------
    ratio : float
        Extra sub-requests allowed per request in a window.
    window_s : float
        Length of the window, in seconds.
    slack : float
        Extra sub-requests allowed in a window regardless of the number of requests, over all VMs.
    """

    ratio: float = 0.1
    window_s: float = 10.0
    slack: float = 20.0


class RetryBudget:
    """One VM's share of the retry budget of a service.

    The ratio applies to each VM's own requests and needs no coordination. The slack is divided
    by the number of VMs.

    Parameters
    ----------
    cfg : RetryBudgetConfig
        The bound for all VMs.
    """

    def __init__(self, cfg: RetryBudgetConfig) -> None:
        self._cfg = cfg
        self._request_times: deque[float] = deque()
        self._extra_times: deque[float] = deque()
        self.denied = 0

    @property
    def used(self) -> int:
        """Extra sub-requests in the window that ended at the last call of `available`."""
        return len(self._extra_times)

    def add_request(self, now: float) -> None:
        """Count a request, which raises the budget."""
        self._request_times.append(now)

    def available(self, vm_count: int, now: float) -> float:
        """Return how many extra sub-requests may be sent now."""
        window_start = now - self._cfg.window_s
        for times in (self._request_times, self._extra_times):
            while times and times[0] < window_start:
                times.popleft()
        allowed = self._cfg.ratio * len(self._request_times) + self._cfg.slack / max(1, vm_count)
        return SAFETY_FACTOR * allowed - len(self._extra_times)

    def try_spend(self, vm_count: int, now: float) -> bool:
        """Spend budget on one extra sub-request; return False if none is left."""
        if self.available(vm_count, now) < 1:
            self.denied += 1
            return False
        self._extra_times.append(now)
        return True

    def dump(self) -> dict[str, Any]:
        """Return the counts of the window, and all denied extra sub-requests so far."""
        return {
            "requests": len(self._request_times),
            "extra": len(self._extra_times),
            "denied": self.denied,
        }
