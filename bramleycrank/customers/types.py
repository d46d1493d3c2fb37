"""Customers as a route table names them."""

from __future__ import annotations

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
