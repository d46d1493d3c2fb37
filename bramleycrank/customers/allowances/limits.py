"""The bound on a customer's requests over all VMs, and how its tolerance is divided."""

from __future__ import annotations

import math

import attrs

from bramleycrank.customers.types import Customer

VALID_S = 5.0
"""Validity of a grant after the holder sent its request, in seconds; a change of the log's leader
takes up to four seconds, in which holders use what they have."""

FALLBACK_S = 20.0
"""Validity of a share in the fallback allowance after the last reply, in seconds. After all VMs
have ended at once, nobody has a share for this time."""

RATE_SHARE_DELAY_S = 1.2
"""Time without a reply after which a holder uses its share of the rate, and the issuer grants that
share no longer, in seconds; two refreshes, so that the issuer always knows of a newer reply."""

RATE_SHARE_VALID_S = 7.0
"""Validity of a share of the rate after the holder sent its request, in seconds; the longest usual
change of the log's leader, and a reserve."""

RATE_SHARE_TOTAL = 0.8
"""Share of the rate that all holders have together. A new issuer grants the rest while it does not
know the holders."""

RATE_SHARE_MIN_PER_S = 2.0
"""Least rate of customers whose holders have shares of it, in requests per second; outstanding
grants and the fallback allowance serve smaller ones for some seconds."""

CLOCK_DRIFT_SHARE = 0.002
"""Part by which a holder shortens each validity, since clocks of two VMs run at different rates."""

LEASE_S = 0.8
"""Time after the start of a confirmed round in which a leader issues grants, in seconds; some
heartbeats. A successor issues nothing for the same time after its election."""

ON_DEMAND_S = 0.3
"""Longest validity of a grant for a request that waits, after the holder sent its request, in
seconds; some round trips."""

MAX_ON_DEMAND_SHARE = 0.4
"""Part of the granted tolerance that grants for waiting requests may use, at most."""

START_PER_S = 1.2
"""Rate at which a new issuer grants in its first window, in requests per second, to customers whose
own rate is lower; otherwise their first request would wait for seconds."""

MAX_START_SHARE = 0.3
"""Part of the tolerance that the difference to the rate may use, at most."""

GRANTED_SHARE = 0.74
"""Part of the tolerance for grants beyond the burst, in the bucket or outstanding."""

OUTSTANDING_SHARE = 0.6
"""Part of the capacity that holders may have in advance. The rest serves requests at other VMs, and
is what a new issuer may use beside the grants of its predecessor."""

RESERVE_SHARE = 0.2
"""Part of the capacity that is left in the bucket when grants are given in advance. Without it,
customers whose requests come to all VMs lost 0.4% in calm instead of 0.1%, since their grants lay
at VMs without a request."""

FALLBACK_SHARE = 0.24
"""Part of the tolerance that holders use without an issuer. The parts leave a fiftieth unused for
clocks that run at different rates."""


@attrs.frozen
class AllowanceBounds:
    """The bound: ``(rate x window + burst) x (1 + overage) + slack`` requests in each window.

    Parameters
    ----------
    window_s : float
        Length of the sliding window, in seconds.
    overage : float
        Tolerated excess as a share.
    slack : float
        Tolerated excess in requests.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    def base(self, customer: Customer) -> float:
        """Return the requests in one window without the tolerance."""
        return customer.per_s * self.window_s + customer.burst

    def tolerance(self, customer: Customer) -> float:
        """Return the requests in one window beyond rate and burst that the bound tolerates."""
        return self.overage * self.base(customer) + self.slack

    def bound(self, customer: Customer) -> float:
        """Return the most requests in one window."""
        return self.base(customer) + self.tolerance(customer)

    def capacity(self, customer: Customer) -> float:
        """Return the most requests in the bucket and outstanding together; at least one."""
        granted = GRANTED_SHARE * self.tolerance(customer) - self._reserved(customer)
        return max(1.0, customer.burst + granted)

    def outstanding(self, customer: Customer) -> int:
        """Return the most grants that are neither reported nor expired; at least one."""
        return max(1, math.floor(OUTSTANDING_SHARE * self.capacity(customer)))

    def reserve(self, customer: Customer) -> float:
        """Return the requests left in the bucket when grants are given in advance."""
        return RESERVE_SHARE * self.capacity(customer)

    def start_capacity(self, customer: Customer) -> float:
        """Return the capacity beside the outstanding grants of a predecessor; at least one."""
        return max(1.0, self.capacity(customer) - self.outstanding(customer))

    def on_demand_s(self, customer: Customer) -> float:
        """Return how long a grant for a request that waits is valid, in seconds."""
        most = MAX_ON_DEMAND_SHARE * GRANTED_SHARE * self.tolerance(customer)
        return min(ON_DEMAND_S, most / customer.per_s)

    def start_extra_per_s(self, customer: Customer) -> float:
        """Return what a new issuer grants beyond the rate in its first window, per second.

        It counts by the time for which an issuer leads, and no two lead at a time, so several
        changes of the leader within a window give no more.
        """
        most = MAX_START_SHARE * self.tolerance(customer) / self.window_s
        return max(0.0, min(START_PER_S - customer.per_s, most))

    def rate_shares(self, customer: Customer) -> float:
        """Return the share of the rate that all holders have together."""
        return RATE_SHARE_TOTAL if customer.per_s >= RATE_SHARE_MIN_PER_S else 0.0

    def _reserved(self, customer: Customer) -> float:
        """Return the part of the tolerance for on-demand grants and for new issuers, in requests.

        On-demand grants are used within their validity, so a window holds what the bucket gives in
        a time that is longer by it.
        """
        late = customer.per_s * self.on_demand_s(customer)
        return late + self.start_extra_per_s(customer) * (self.window_s + ON_DEMAND_S)

    def fallback(self, customer: Customer) -> int:
        """Return the requests in one window that all holders admit without an issuer."""
        return math.floor(FALLBACK_SHARE * self.tolerance(customer))
