"""Look-up of customers by their keys."""

from __future__ import annotations

import hashlib
import os
from collections.abc import Iterable, Iterator

from bramleycrank.customers.types import Customer
from bramleycrank.proto import log_pb2

DIGEST_BYTES = 16
"""Size of the digest of a key; large enough that no two keys share one."""

_SECRET = os.urandom(32)


class CustomerIndex:
    """The customers of one route table.

    Keys are stored and compared as digests with a secret of this process, so that the time of a
    look-up does not depend on how much of a key is right, and a dump of memory reveals no key.

    Parameters
    ----------
    messages : iterable of Customer
        The customers of the table.
    """

    def __init__(self, messages: Iterable[log_pb2.Customer] = ()) -> None:
        self._by_name: dict[str, Customer] = {}
        self._by_digest: dict[bytes, Customer] = {}
        self._key_counts: dict[str, int] = {}
        for message in messages:
            customer = Customer.from_message(message)
            self._by_name[customer.name] = customer
            self._key_counts[customer.name] = len(message.keys)
            for key in message.keys:
                self._by_digest[_digest(key.encode())] = customer

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[Customer]:
        return iter(self._by_name.values())

    def identify(self, key: bytes) -> Customer | None:
        """Return the customer that holds a key, or None."""
        return self._by_digest.get(_digest(key))

    def by_name(self, name: str) -> Customer | None:
        """Return the customer with a name, or None."""
        return self._by_name.get(name)

    def key_count(self, name: str) -> int:
        """Return how many keys a customer has."""
        return self._key_counts.get(name, 0)


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=_SECRET).digest()
