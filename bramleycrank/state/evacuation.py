"""Decision on an operator's order to evacuate a failure domain or to restore it."""

from __future__ import annotations

import attrs

from bramleycrank.proto.log_pb2 import DomainConfig


@attrs.frozen
class DomainChange:
    """The change that an order leads to.

    Parameters
    ----------
    expected_version : int
        Version of the domain on which the order was decided; 0 if it has none.
    config : DomainConfig
        The domain after the change.
    """

    expected_version: int
    config: DomainConfig


@attrs.frozen
class PossibleResend:
    """The order may be a resend that arrives after the opposite order; it must not be obeyed.

    Parameters
    ----------
    wait_s : float
        Time in seconds after which the same order can only be a new one.
    """

    wait_s: float


def decide_order(
    current: DomainConfig, *, evacuate: bool, now_ms: int, resend_window_ms: int
) -> DomainChange | PossibleResend:
    """Decide on an order, which has no number that would distinguish it from a resend.

    Operators resend an order only within `resend_window_ms` of its first sending, and an accepted
    one was first sent earlier. So an order that contradicts the state and follows an accepted one
    of its own kind by less than that may be a resend of it, which the opposite order has replaced
    in the meantime. Later, it is a new order.

    An order that agrees with the state changes the version as well: a proposal for the opposite
    order that is still on its way expects the earlier version and is rejected.

    Parameters
    ----------
    current : DomainConfig
        The domain, as a quorum confirmed it; empty if there has been no order.
    evacuate : bool
        Whether the domain is to be evacuated; otherwise it is to be restored.
    now_ms : int
        Unix time in milliseconds.
    resend_window_ms : int
        Longest time for which operators resend an order, in milliseconds.
    """
    last_ms = current.evacuated_at_ms if evacuate else current.restored_at_ms
    # The distance counts in both directions, since the clocks of VMs differ.
    age_ms = abs(now_ms - last_ms) if last_ms else resend_window_ms
    if current.evacuated != evacuate and age_ms < resend_window_ms:
        return PossibleResend((resend_window_ms - age_ms) / 1000)
    config = DomainConfig()
    config.CopyFrom(current)
    config.evacuated = evacuate
    if evacuate:
        config.evacuated_at_ms = now_ms
    else:
        config.restored_at_ms = now_ms
    return DomainChange(current.version, config)
