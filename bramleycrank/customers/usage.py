"""Counts of what the callers of each customer got at this VM."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import attrs

from bramleycrank.customers.decay import DecayingSum

RECENT_S = 5.0
"""Time constant of the recent rate, in seconds; the default window of allowances."""


class RefusalRule(enum.StrEnum):
    """Rule by which a request of a customer was refused."""

    ALLOWANCE = "allowance"  # beyond the customer's rate and burst
    ISSUER = "issuer"  # no issuer of allowances is reached, and the fallback rate is used up
    ROOM = "room"  # the targets have no room for it


@attrs.define
class Use:
    """What the callers of one customer got since this VM knows the customer.

    Parameters
    ----------
    admitted : int
        Requests that were passed on to the targets.
    refused : dict
        Requests that were refused, by rule.
    """

    admitted: int = 0
    refused: dict[str, int] = attrs.field(factory=dict)
    _recent: DecayingSum = attrs.field(factory=lambda: DecayingSum(RECENT_S))

    def on_admitted(self, now: float) -> None:
        """Count a request that was passed on."""
        self.admitted += 1
        self._recent.add(1.0, now)

    def on_refused(self, rule: str) -> None:
        """Count a request that was refused."""
        self.refused[rule] = self.refused.get(rule, 0) + 1

    def recent_per_s(self, now: float) -> float:
        """Return the rate of admitted requests over the last seconds, in requests per second."""
        return self._recent.per_s(now)


class CustomerUsage:
    """The use of all customers that called this VM; bounded by the customers of the table."""

    def __init__(self) -> None:
        self._uses: dict[str, Use] = {}

    def __getitem__(self, name: str) -> Use:
        """Return the use of a customer, which begins with zeros."""
        use = self._uses.get(name)
        if use is None:
            use = self._uses[name] = Use()
        return use

    def get(self, name: str) -> Use:
        """Return the use of a customer without remembering it; zeros if none was seen."""
        return self._uses.get(name) or Use()

    def has_seen(self, name: str) -> bool:
        """Return whether a caller of a customer was seen."""
        return name in self._uses

    def retain(self, names: Iterable[str]) -> None:
        """Forget all customers except the given ones."""
        for name in self._uses.keys() - set(names):
            del self._uses[name]
