"""Budget for sub-requests beyond the first of each request, over a sliding window."""

from __future__ import annotations

from collections import deque
from typing import Any

import attrs

SAFETY = 0.8
"""Part of the budget that is used: VMs count their requests and each other with a delay."""


@attrs.frozen
class ExtraConfig:
    """Bound that all VMs together keep for each service.

    Parameters
    ----------
    ratio : float
        Extra sub-requests for each request in a window.
    window_s : float
        Length of the window, in seconds.
    slack : float
        Extra sub-requests in a window that no request needs to earn, over all VMs.
    """

    ratio: float = 0.1
    window_s: float = 10.0
    slack: float = 20.0


class ExtraBudget:
    """One VM's part of the budget of one service.

    The ratio needs no agreement, since each VM earns it with its own requests. The slack is
    divided by the number of VMs.

    Parameters
    ----------
    cfg : ExtraConfig
        The bound for all VMs.
    """

    def __init__(self, cfg: ExtraConfig) -> None:
        self._cfg = cfg
        self._firsts: deque[float] = deque()
        self._extras: deque[float] = deque()
        self.denied = 0

    @property
    def used(self) -> int:
        """Extra sub-requests of the last window, as of the last look."""
        return len(self._extras)

    def earn(self, now: float) -> None:
        """Count a request."""
        self._firsts.append(now)

    def available(self, vm_count: int, now: float) -> float:
        """Return how many extra sub-requests may be sent now."""
        since = now - self._cfg.window_s
        for times in (self._firsts, self._extras):
            while times and times[0] < since:
                times.popleft()
        earned = self._cfg.ratio * len(self._firsts) + self._cfg.slack / max(1, vm_count)
        return SAFETY * earned - len(self._extras)

    def take(self, vm_count: int, now: float) -> bool:
        """Take one extra sub-request; False if none is left."""
        if self.available(vm_count, now) < 1:
            self.denied += 1
            return False
        self._extras.append(now)
        return True

    def dump(self) -> dict[str, Any]:
        """Return what was counted in the window."""
        return {"requests": len(self._firsts), "extra": len(self._extras), "denied": self.denied}
