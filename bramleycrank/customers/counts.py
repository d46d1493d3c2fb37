"""Counts by customer for metrics, with a bound on the number of customers that are named."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from bramleycrank.customers.decay import DecayingSum

NAMED_CUSTOMERS = 20
"""Number of customers that metrics of a VM name; each has a series for each of up to 16 results."""

OTHERS = "(others)"
"""Label of the sum over all customers that are not named."""

RATE_S = 60.0
"""Time constant of the rates by which customers are chosen, in seconds; a few scrapes."""

EXCHANGE_FACTOR = 2.0
"""How many times as many requests as a named customer another must send to replace it, so that
customers with similar rates do not replace each other at each scrape."""

MIN_RATE = 0.01
"""Decayed number of requests below which a customer that is not named is forgotten."""


class CustomerCounts:
    """Counts the requests of customers by result; only those with the most requests are named.

    Load pattern: 10,000 customers call, and one of them floods. A series for each customer would
    be a scrape of a megabyte; the flood must be seen under its name all the same. A request counts
    for the label that its customer has at that time, so the sum over the others never decreases.
    A customer that is named again starts from 0, as after a restart.

    Parameters
    ----------
    limit : int, optional
        Largest number of customers to name.
    """

    def __init__(self, limit: int = NAMED_CUSTOMERS) -> None:
        self._limit = limit
        self._named: dict[str, Counter[str]] = {}
        self._others: Counter[str] = Counter()
        self._recent: dict[str, DecayingSum] = {}

    def count(self, name: str, result: str, now: float) -> None:
        """Count the result of a request.

        Parameters
        ----------
        name : str
            The customer.
        result : str
            ``served``, ``failed``, ``gone`` or the rule by which it was refused.
        now : float
            Current time in seconds.
        """
        recent = self._recent.get(name)
        if recent is None:
            recent = self._recent[name] = DecayingSum(RATE_S)
        recent.add(1.0, now)
        if len(self._named) < self._limit and name not in self._named and name != OTHERS:
            self._named[name] = Counter()
        self._named.get(name, self._others)[result] += 1

    def retain(self, names: Iterable[str]) -> None:
        """Forget all customers except the given ones."""
        gone = self._recent.keys() - set(names)
        for name in gone:
            del self._recent[name]
            self._named.pop(name, None)

    def values(self, now: float) -> dict[tuple[str, str], int]:
        """Choose the customers to name; return the counts by label and result."""
        self._choose(now)
        return {
            (label, result): number
            for label, counts in (*self._named.items(), (OTHERS, self._others))
            for result, number in counts.items()
        }

    def _choose(self, now: float) -> None:
        rates = {name: recent.at(now) for name, recent in self._recent.items()}
        unnamed = rates.keys() - self._named.keys() - {OTHERS}
        others = sorted(unnamed, key=lambda name: (-rates[name], name))
        for name in others[: self._limit]:
            if len(self._named) >= self._limit:
                weakest = min(self._named, key=rates.__getitem__)
                if rates[name] <= EXCHANGE_FACTOR * rates[weakest]:
                    break
                del self._named[weakest]
            self._named[name] = Counter()
        for name, rate in rates.items():
            if rate < MIN_RATE and name not in self._named:
                del self._recent[name]
