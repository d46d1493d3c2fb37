"""Queue of the record changes to send with probes, each a bounded number of times."""

from __future__ import annotations

import math

import attrs
import xxhash

from bramleycrank.membership.peer_selection import PeerSelection
from bramleycrank.membership.records import Key

MAX_RECEIVED_COPIES = 3
"""Received copies of a change after which a VM no longer sends it in its own domain."""


@attrs.define
class _Change:
    """A change that is still being sent."""

    key: Key
    size_bytes: int
    urgent: bool
    sender_draw: float  # in [0, 1); decides whether this VM sends the change to other domains
    sent: int = 0
    sent_remote: int = 0
    received_copies: int = 0


class GossipQueue:
    """Selects the changes for each message.

    A change is sent at most ``3 * log2(n + 1)`` times in a group of ``n`` VMs, which reaches every
    member with high probability; anti-entropy delivers it to the rest. Urgent changes are sent
    first, then the ones that were sent least often. A newer change of a record replaces the older
    one.

    In a group with large domains, a VM stops sending a change within its domain after it received
    ``MAX_RECEIVED_COPIES`` copies, because most of the domain has it then. Only a few VMs of each
    domain send a change to other domains.

    Parameters
    ----------
    vm_id : str
        Id of this VM. A hash of it and the change decides whether this VM sends the change to other
        domains.
    """

    def __init__(self, vm_id: str) -> None:
        self._vm_id = vm_id
        self._changes: dict[str, _Change] = {}

    def __len__(self) -> int:
        return len(self._changes)

    def add(self, record_id: str, key: Key, size_bytes: int, *, urgent: bool = False) -> None:
        """Add a change to the queue.

        Parameters
        ----------
        record_id : str
            ``vm/ID`` or ``target/ID``.
        key : tuple of int
            Order key of the record.
        size_bytes : int
            Size of the serialized record, in bytes.
        urgent : bool, optional
            Whether the change is sent before others.
        """
        sender_draw = xxhash.xxh64_intdigest(f"{self._vm_id}\n{record_id}\n{key}".encode()) / 2**64
        self._changes[record_id] = _Change(key, size_bytes, urgent, sender_draw)

    def count_received_copy(self, record_id: str) -> None:
        """Count a received copy of a change that this VM already has."""
        change = self._changes.get(record_id)
        if change is not None:
            change.received_copies += 1

    def discard(self, record_id: str) -> None:
        """Remove the change of a record."""
        self._changes.pop(record_id, None)

    def select(
        self, selection: PeerSelection, max_bytes: int, *, to_other_domain: bool
    ) -> list[str]:
        """Return the ids of the records to put into one message and count them as sent.

        Parameters
        ----------
        selection : PeerSelection
            The VMs that this VM probes.
        max_bytes : int
            Limit for the sum of the record sizes. A record that is larger is sent alone.
        to_other_domain : bool
            Whether the receiver is in another failure domain.
        """
        limit = max_transmissions(
            len(selection.members if selection.is_complete else selection.local_peers) + 1
        )
        is_cross_domain = to_other_domain and not selection.is_complete
        selected: list[str] = []
        free_bytes = max_bytes
        ordered = sorted(
            self._changes.items(), key=lambda entry: (not entry[1].urgent, entry[1].sent)
        )
        for record_id, change in ordered:
            local_done = change.sent >= limit or (
                change.received_copies >= MAX_RECEIVED_COPIES and not selection.is_complete
            )
            remote_done = (
                change.sender_draw >= selection.cross_domain_sender_share
                or change.sent_remote >= selection.remote_domain_count
            )
            if local_done and (selection.is_complete or remote_done):
                del self._changes[record_id]
                continue
            done = remote_done if is_cross_domain else local_done
            if done or (change.size_bytes > free_bytes and selected):
                continue
            selected.append(record_id)
            free_bytes -= change.size_bytes
            change.sent_remote += to_other_domain
            change.sent += not is_cross_domain
            if free_bytes <= 0:
                break
        return selected


def max_transmissions(vm_count: int) -> int:
    """Return the maximum number of times that a VM sends a change in a group of the given size."""
    return max(3, math.ceil(3 * math.log2(vm_count + 1)))
