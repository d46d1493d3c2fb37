"""Changes that ride on probes: each is sent a bounded number of times."""

from __future__ import annotations

import math

import attrs
import xxhash

from bramleycrank.membership.borders import Ring
from bramleycrank.membership.records import Key

HEARD_ENOUGH = 3
"""Times that a change is heard from others after which it is passed on no more in the domain."""


@attrs.define
class _Item:
    """A change that is still being spread."""

    key: Key
    size: int
    urgent: bool
    draw: float  # decides whether this VM carries the change across borders
    sent: int = 0
    sent_far: int = 0
    heard: int = 0


class GossipQueue:
    """Picks the changes for each message.

    A change is sent at most ``3 * log2(n + 1)`` times in a group of ``n`` VMs, which reaches every
    member with high probability; anti-entropy repairs the rest. Urgent changes go first, then the
    ones that were sent least often. A newer change of the same record replaces the older one.

    A VM that hears the same change from others passes it on less: after ``HEARD_ENOUGH`` times most
    of its domain has it. In a group whose domains are large, only a few VMs of each carry a change
    to the others.

    Parameters
    ----------
    vm_id : str
        This VM; with each change it decides who carries it.
    """

    def __init__(self, vm_id: str) -> None:
        self._vm_id = vm_id
        self._items: dict[str, _Item] = {}

    def __len__(self) -> int:
        return len(self._items)

    def add(self, record_id: str, key: Key, size: int, *, urgent: bool = False) -> None:
        """Start to spread a change.

        Parameters
        ----------
        record_id : str
            ``vm/ID`` or ``target/ID``.
        key : tuple of int
            Order key of the record.
        size : int
            Size of the serialized record, in bytes.
        urgent : bool, optional
            Whether the change goes before others.
        """
        draw = xxhash.xxh64_intdigest(f"{self._vm_id}\n{record_id}\n{key}".encode()) / 2**64
        self._items[record_id] = _Item(key, size, urgent, draw)

    def hear(self, record_id: str) -> None:
        """Note that another VM sent the same record."""
        item = self._items.get(record_id)
        if item is not None:
            item.heard += 1

    def discard(self, record_id: str) -> None:
        """Stop spreading the change of a record."""
        self._items.pop(record_id, None)

    def take(self, ring: Ring, max_bytes: int, *, far: bool) -> list[str]:
        """Return the ids of the records to put into one message.

        Parameters
        ----------
        ring : Ring
            The VMs that this one talks to.
        max_bytes : int
            Bound for the sum of the records' sizes. A single larger record is sent alone.
        far : bool
            Whether the receiver is in another failure domain.
        """
        limit = retransmissions(len(ring.members if ring.whole else ring.near) + 1)
        carried_only = far and not ring.whole
        taken: list[str] = []
        left = max_bytes
        order = sorted(self._items.items(), key=lambda kv: (not kv[1].urgent, kv[1].sent))
        for record_id, item in order:
            near_done = item.sent >= limit or (item.heard >= HEARD_ENOUGH and not ring.whole)
            far_done = item.draw >= ring.carried_share or item.sent_far >= ring.far_domains
            if near_done and (ring.whole or far_done):
                del self._items[record_id]
                continue
            done = far_done if carried_only else near_done
            if done or (item.size > left and taken):
                continue
            taken.append(record_id)
            left -= item.size
            item.sent_far += far
            item.sent += not carried_only
            if left <= 0:
                break
        return taken


def retransmissions(vm_count: int) -> int:
    """Return how often a change is sent in a group of the given size."""
    return max(3, math.ceil(3 * math.log2(vm_count + 1)))
