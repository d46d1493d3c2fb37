"""A sum that forgets exponentially."""

from __future__ import annotations

import math

import attrs


@attrs.define
class DecayingSum:
    """Sum of amounts, each of which decays with a time constant.

    Parameters
    ----------
    time_constant_s : float
        Time in which an amount decays to 1/e, in seconds.
    """

    time_constant_s: float
    _value: float = 0.0
    _at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount; `now` is the current time in seconds."""
        self._value = self.at(now) + amount
        self._at = now

    def at(self, now: float) -> float:
        """Return the sum of what is left of the amounts."""
        return self._value * math.exp((self._at - now) / self.time_constant_s)

    def per_s(self, now: float) -> float:
        """Return the recent rate, in amounts per second."""
        return self.at(now) / self.time_constant_s
