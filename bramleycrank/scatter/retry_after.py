"""Retry-after times for refused callers."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

from bramleycrank.query.targets import TargetState

NO_TARGETS_RETRY_AFTER_S = 0.25
"""Retry-after for a service without known targets, in seconds; targets report about once a second,
and a new one is pushed to all VMs."""

DOWN_RETRY_AFTER_S = 0.25
"""Retry-after for a target that is down, in seconds; equals the pool's first reconnect delay."""

MAX_CUT_RETRY_AFTER_S = 1.0
"""Maximum retry-after of a VM that is cut off, in seconds; another VM may serve the retry."""

MAX_RATE_RETRY_AFTER_S = 1.0
"""Maximum retry-after for a rate limit, in seconds; other VMs may have shares left."""

MIN_BUSY_RETRY_AFTER_S = 0.05
"""Minimum retry-after for a busy target, in seconds; some of its requests must end first."""

EXPECTED_STARTUP_S = 0.6
"""Time in which a VM gets its routes when all VMs start at the same time, in seconds."""

MIN_STARTUP_RETRY_AFTER_S = 0.1
"""Minimum retry-after of a VM that is starting, in seconds."""

JITTER_SHARE = 0.5
"""Maximum random extension of a retry-after, as a share of it; avoids synchronized retries."""


def add_jitter(wait_s: float, rng: random.Random) -> float:
    """Return the time with a random extension, in seconds.

    Load pattern: a fault ends and all callers refused during it retry. Jitter only extends the
    time: callers have few attempts and should not retry before the expected end of the fault.
    """
    return wait_s * (1 + JITTER_SHARE * rng.random())


def service_retry_after(
    targets: Iterable[TargetState], now: float, rate_wait: Callable[[str, str, float], float]
) -> float:
    """Return the time in seconds until the first target of a service should accept requests.

    Parameters
    ----------
    targets : iterable of TargetState
        Targets of the service.
    now : float
        Current time in seconds.
    rate_wait : callable
        Returns the time in seconds until the rate limit of a target allows one more request, given
        its id, its failure domain and the current time.
    """
    return min(
        (
            max(
                _target_retry_after(target, now),
                min(MAX_RATE_RETRY_AFTER_S, rate_wait(target.target_id, target.domain, now)),
            )
            for target in targets
        ),
        default=NO_TARGETS_RETRY_AFTER_S,
    )


def combined_retry_after(waits_s: Sequence[float], needed: int) -> float:
    """Return the time in seconds until `needed` of the missing services should accept requests."""
    if not waits_s:
        return MIN_BUSY_RETRY_AFTER_S
    return sorted(waits_s)[max(1, min(needed, len(waits_s))) - 1]


def cut_retry_after(cut_s: float) -> float:
    """Return the time in seconds until a cut should have ended that has lasted for `cut_s`.

    Load pattern: all VMs are cut off, and each caller has one more attempt. An outage is expected
    to last as long again as it has lasted, and an early retry would be refused as well.
    """
    return min(MAX_CUT_RETRY_AFTER_S, max(DOWN_RETRY_AFTER_S, cut_s))


def startup_retry_after(uptime_s: float) -> float:
    """Return the time in seconds until a VM that is starting should have its routes."""
    return max(MIN_STARTUP_RETRY_AFTER_S, EXPECTED_STARTUP_S - uptime_s)


def _target_retry_after(target: TargetState, now: float) -> float:
    held_s = target.held_until - now
    if target.absent_until > now:
        return max(held_s, NO_TARGETS_RETRY_AFTER_S)
    if target.down:
        return max(held_s, DOWN_RETRY_AFTER_S)
    if max(held_s, target.ejected_until - now) > 0:
        return max(held_s, target.ejected_until - now)
    return max(MIN_BUSY_RETRY_AFTER_S, target.latency_s)
