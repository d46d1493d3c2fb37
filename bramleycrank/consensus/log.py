"""In-memory log of a node, with the memberships that its entries put into effect."""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Sequence

from bramleycrank.proto.log_pb2 import Entry, LogSnapshot, Membership

# Entries kept in memory after compaction, so that a follower that is only a few messages behind
# does not need the whole snapshot; fewer if they are large.
RETAINED_ENTRIES = 512


class RaftLog:
    """Log entries after a snapshot.

    Parameters
    ----------
    snapshot : LogSnapshot or None
        Snapshot that the log starts from; ``None`` for a node that belongs to no cluster.
    entries : iterable of Entry
        Entries after the snapshot, contiguous.
    """

    def __init__(self, snapshot: LogSnapshot | None, entries: Iterable[Entry]) -> None:
        self.snapshot: LogSnapshot | None = None
        self.snapshot_bytes = 0
        self._base_index = 0
        self._base_term = 0
        self._entries: list[Entry] = []
        # Sum of the sizes of all entries up to each one in memory. Sizes of ranges are differences.
        self._sums = [0]
        self._memberships: list[tuple[int, Membership]] = []
        if snapshot is not None:
            self.restore(snapshot)
        self.append(list(entries))

    @property
    def snapshot_index(self) -> int:
        """Index of the last entry that the snapshot covers; 0 without a snapshot."""
        return self.snapshot.index if self.snapshot is not None else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def membership(self) -> Membership:
        """Newest membership in the log, committed or not."""
        return self._memberships[-1][1] if self._memberships else Membership()

    @property
    def membership_index(self) -> int:
        """Index of the entry with the newest membership."""
        return self._memberships[-1][0] if self._memberships else 0

    def membership_at(self, index: int) -> Membership:
        """Return the membership that the entries up to ``index`` put into effect."""
        return next((item for at, item in reversed(self._memberships) if at <= index), Membership())

    @property
    def memory_bytes(self) -> int:
        """Size of the entries in memory, in bytes."""
        return self._sums[-1] - self._sums[0]

    def bytes_between(self, first: int, last: int) -> int:
        """Return the size of the entries from ``first`` to ``last`` that are in memory."""
        start = max(first - 1, self._base_index) - self._base_index
        end = min(last, self.last_index) - self._base_index
        return self._sums[end] - self._sums[start] if end > start else 0

    def last_within(self, first: int, max_entries: int, max_bytes: int) -> int:
        """Return the last entry of a range with limits; at least ``first``, whatever its size."""
        start = first - 1 - self._base_index
        position = bisect.bisect_right(self._sums, self._sums[start] + max_bytes) - 1
        last = self._base_index + min(position, start + max_entries)
        return min(max(first, last), self.last_index)

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; ``None`` if it is not in memory."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def first_index_of_term(self, index: int) -> int:
        """Return the lowest index in memory whose entries up to ``index`` all have its term."""
        term = self.term_at(index)
        while index > self._base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def entries_between(self, first: int, last: int) -> Sequence[Entry]:
        """Return the entries from ``first`` to ``last``, both inclusive."""
        return self._entries[first - self._base_index - 1 : max(0, last - self._base_index)]

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries, which must follow the last one without a gap."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ValueError(f"entry {entry.index} does not follow {self.last_index}")
            self._entries.append(entry)
            self._sums.append(self._sums[-1] + entry.ByteSize())
            if entry.WhichOneof("body") == "membership":
                self._memberships.append((entry.index, entry.membership))

    def truncate_from(self, index: int) -> None:
        """Drop the entry at ``index`` and all after it, with the memberships in them."""
        del self._entries[index - self._base_index - 1 :]
        del self._sums[index - self._base_index :]
        while self._memberships and self._memberships[-1][0] >= index:
            self._memberships.pop()

    def compact(self, snapshot: LogSnapshot, retained_bytes: int) -> None:
        """Drop the entries that the snapshot covers, except for the retained ones.

        Parameters
        ----------
        snapshot : LogSnapshot
            Snapshot of an entry in memory.
        retained_bytes : int
            Maximum size of the retained entries, in bytes.
        """
        base_index = max(
            self._base_index,
            snapshot.index - RETAINED_ENTRIES,
            self._first_base_within(snapshot.index, retained_bytes),
        )
        base_term = self.term_at(base_index)
        if base_term is None:
            raise ValueError(f"entry {base_index} is not in the log")
        del self._entries[: base_index - self._base_index]
        del self._sums[: base_index - self._base_index]
        self._base_index, self._base_term = base_index, base_term
        later_memberships = [item for item in self._memberships if item[0] > snapshot.index]
        self._memberships = [(snapshot.index, snapshot.membership), *later_memberships]
        self._set_snapshot(snapshot)

    def restore(self, snapshot: LogSnapshot) -> None:
        """Replace the whole log with a snapshot."""
        self._entries, self._sums = [], [0]
        self._base_index, self._base_term = snapshot.index, snapshot.term
        self._memberships = [(snapshot.index, snapshot.membership)]
        self._set_snapshot(snapshot)

    def _set_snapshot(self, snapshot: LogSnapshot) -> None:
        self.snapshot, self.snapshot_bytes = snapshot, snapshot.ByteSize()

    def _first_base_within(self, index: int, max_bytes: int) -> int:
        """Return the lowest index after which the entries up to ``index`` fit ``max_bytes``."""
        end_sum = self._sums[index - self._base_index]
        return self._base_index + bisect.bisect_left(self._sums, end_sum - max_bytes)
