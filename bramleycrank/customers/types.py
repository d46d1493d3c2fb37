"""Customers as a route table names them."""

from __future__ import annotations

import math
from collections.abc import Iterator

import attrs

from bramleycrank.proto import log_pb2


@attrs.frozen
class Customer:
    """A customer, whose callers present one of its keys.

    Parameters
    ----------
    name : str
        Name of the customer, which targets receive.
    rank : int or None
        Priority rank of its requests, which goes before that of their routes; 0 is the most urgent.
        None if the routes decide.
    per_s : float
        Requests per second that all VMs together admit; 0 if they are not limited.
    burst : float
        Requests beyond the rate.
    """

    name: str
    rank: int | None = None
    per_s: float = 0.0
    burst: float = 0.0

    @classmethod
    def from_message(cls, message: log_pb2.Customer) -> Customer:
        """Return the customer that a message describes."""
        rank = message.rank if message.HasField("rank") else None
        return cls(message.name, rank, message.per_s, message.burst)

    @property
    def is_limited(self) -> bool:
        """Whether the customer has an allowance."""
        return self.per_s > 0

    @property
    def is_sound(self) -> bool:
        """Whether `find_problems` finds none."""
        return _is_header_value(self.name) and self._has_valid_rate

    @property
    def _has_valid_rate(self) -> bool:
        return 0 <= self.per_s < math.inf and 0 <= self.burst < math.inf

    def find_problems(self) -> Iterator[str]:
        """Yield why requests of the customer cannot be served by its rules."""
        if not _is_header_value(self.name):
            yield "the name is empty or has characters that no header bears"
        if not self._has_valid_rate:
            yield "the rate and the burst must be finite and not negative"


def _is_header_value(text: str) -> bool:
    """Return whether a header transports a text unchanged."""
    if text.isascii() and text.isprintable():
        return bool(text) and text == text.strip()
    value = text.encode()
    return (
        bool(value)
        and value == value.strip()
        and all(char >= 0x20 and char != 0x7F for char in value)
    )
