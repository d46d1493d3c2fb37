"""Budgets for connections per target and reconnects per VM, and shares of a target's slots."""

from __future__ import annotations

from collections import deque

from bramleycrank.connections.types import ConnectionConfig


class ReconnectBudget:
    """Token bucket for the reconnects of one VM.

    Parameters
    ----------
    rate : float
        Tokens per second.
    burst : int
        Size of the bucket; it starts full.
    now : float
        Current time in seconds.
    """

    def __init__(self, rate: float, burst: int, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._updated_at = now

    @classmethod
    def from_config(cls, cfg: ConnectionConfig, now: float) -> ReconnectBudget:
        """Return a full budget."""
        return cls(cfg.reconnects_per_s, cfg.reconnect_burst, now)

    def try_acquire(self, now: float, *, reserve: float = 0.0) -> bool:
        """Take one token; return False if there is none.

        Parameters
        ----------
        now : float
            Current time in seconds.
        reserve : float, optional
            Share of the bucket that must remain. Retries to targets that are down leave half of
            it. Otherwise targets behind a network partition would use up the whole budget.
        """
        elapsed = max(0.0, now - self._updated_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._updated_at = now
        if self._tokens < 1 + reserve * self._burst:
            return False
        self._tokens -= 1
        return True

    def dump(self) -> dict[str, object]:
        """Return the tokens after the last use, the rate and the burst."""
        return {"tokens": round(self._tokens, 2), "rate": self._rate, "burst": self._burst}


class ConnectionBudget:
    """Share of a target's connections that one VM may open.

    The share is ``floor(limit / (n + 1))`` and at least 1, with ``n`` the highest number of VMs of
    the last 30 s. The additional 1 is for a VM that is joining and not known yet. A new VM opens
    only 1 connection in its first 5 s, since the others may not have reduced their shares yet.

    Parameters
    ----------
    cfg : ConnectionConfig
        Options.
    now : float
        Time at which this VM joined, in seconds.
    """

    def __init__(self, cfg: ConnectionConfig, now: float) -> None:
        self._cfg = cfg
        self._joined_at = now
        # Decreasing counts with the time at which each was last seen; the first is the highest.
        self._counts: deque[tuple[int, float]] = deque()

    def on_vm_count(self, vm_count: int, now: float) -> None:
        """Record the number of known VMs, including those that died in the last 30 s."""
        while self._counts and self._counts[-1][0] <= vm_count:
            self._counts.pop()
        self._counts.append((vm_count, now))

    def share(self, limit: int, now: float) -> int:
        """Return how many connections this VM may have to a target.

        Parameters
        ----------
        limit : int
            Total connections that the target accepts; 0 if it did not report a limit.
        now : float
            Current time in seconds.
        """
        if now - self._joined_at < self._cfg.join_s:
            return 1
        while len(self._counts) > 1 and now - self._counts[0][1] > self._cfg.budget_retention_s:
            self._counts.popleft()
        vm_count = self._counts[0][0] if self._counts else 1
        return max(1, limit // (vm_count + 1))

    def dump(self) -> dict[str, object]:
        """Return the VM counts that determine the share."""
        return {"joined_at": self._joined_at, "counts": list(self._counts)}


def slot_share(slots: int, domain_vms: int, *, same_domain: bool) -> int:
    """Return a VM's share of a target's slots, the initial value of its concurrency limit.

    Parameters
    ----------
    slots : int
        Slots of the target.
    domain_vms : int
        VMs in the target's domain.
    same_domain : bool
        Whether the VM is in the target's domain; the share of others is 1.
    """
    return max(1, slots // max(1, domain_vms)) if same_domain else 1
