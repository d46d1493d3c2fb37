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

    A table that this build would refuse may have been accepted by an older one. Keys that two
    customers hold, and those of a customer whose rules cannot be kept, then identify nobody.

    Parameters
    ----------
    messages : iterable of Customer
        The customers of the table.
    unreadable : bool, optional
        Whether the table has customers that this build cannot read.
    """

    def __init__(
        self, messages: Iterable[log_pb2.Customer] = (), *, unreadable: bool = False
    ) -> None:
        self._unreadable = unreadable
        self._by_name: dict[str, Customer] = {}
        self._by_digest: dict[bytes, Customer] = {}
        self._key_counts: dict[str, int] = {}
        self._unclear: set[bytes] = set()
        unsound: set[str] = set()
        for message in messages:
            customer = Customer.from_message(message)
            if customer.name in self._by_name or not customer.is_sound:
                unsound.add(customer.name)
            self._by_name[customer.name] = customer
            self._key_counts[customer.name] = len(message.keys)
            for key in message.keys:
                digest = _digest(key.encode())
                if self._by_digest.setdefault(digest, customer) is not customer:
                    self._unclear.add(digest)
        self._in_use = unreadable or bool(self._by_name)
        self._remove_unclear(unsound)

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[Customer]:
        return iter(self._by_name.values())

    def _remove_unclear(self, names: set[str]) -> None:
        """Remove some customers and the keys that identify nobody."""
        if names:
            self._unclear.update(
                digest for digest, holder in self._by_digest.items() if holder.name in names
            )
        self._unclear.discard(_digest(b""))
        for digest in (*self._unclear, _digest(b"")):
            self._by_digest.pop(digest, None)
        for name in names:
            del self._by_name[name], self._key_counts[name]

    @property
    def in_use(self) -> bool:
        """Whether the table has customers, so that callers need a key."""
        return self._in_use

    def is_unclear(self, key: bytes | None) -> bool:
        """Return whether a key identifies nobody although a customer may hold it."""
        return self._unreadable or (key is not None and _digest(key) in self._unclear)

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
