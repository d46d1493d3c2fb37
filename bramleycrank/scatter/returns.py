"""When a caller that was refused should come back."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from bramleycrank.query.targets import TargetState

UNKNOWN_RETURN_S = 0.25
"""Time until a target of a service without any should be known, in seconds; targets report about
once a second, and a new one is pushed to all VMs."""

DOWN_RETURN_S = 0.25
"""Time until a target that is down is tried again, in seconds; the pool's first pause."""

BUSY_RETURN_S = 0.05
"""Least time until a busy target has room, in seconds; some answers have to pass."""

START_S = 0.6
"""Time from the start of a VM until it has its routes, in seconds, when all VMs start together."""

START_LEAST_S = 0.1
"""Least time after which a caller tries a starting VM again, in seconds."""

SPREAD = 0.5
"""Part of a time by which it is prolonged at most, so that callers don't return together."""


def spread(wait_s: float, rng: random.Random) -> float:
    """Return a time of return in seconds, other for each caller.

    Load pattern: a fault ends, and all callers that were refused meanwhile return. Each has few
    attempts, so none may come before the end that is expected.
    """
    return wait_s * (1 + SPREAD * rng.random())


def until_ready(targets: Iterable[TargetState], now: float) -> float:
    """Return the time in seconds until the first target of a service should take work."""
    return min((_until_ready(target, now) for target in targets), default=UNKNOWN_RETURN_S)


def until_enough(waits_s: Sequence[float], needed: int) -> float:
    """Return the time in seconds until some of the services that are missing should be back."""
    if not waits_s:
        return BUSY_RETURN_S
    return sorted(waits_s)[max(1, min(needed, len(waits_s))) - 1]


def until_started(running_s: float) -> float:
    """Return the time in seconds until a VM without routes should have them."""
    return max(START_LEAST_S, START_S - running_s)


def _until_ready(target: TargetState, now: float) -> float:
    held_s = target.held_until - now
    if target.down:
        return max(held_s, DOWN_RETURN_S)
    if max(held_s, target.ejected_until - now) > 0:
        return max(held_s, target.ejected_until - now)
    return max(BUSY_RETURN_S, target.latency_s)
