"""Leaves of targets that the replicated log holds."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator

from bramleycrank.proto.log_pb2 import Command, Entry, TargetLeave, TargetLeaves

MAX_LEAVES = 16_384
"""Leaves that are kept; a release that replaces a target every 20 ms takes 5 minutes to reach it,
while reports of a target arrive seconds late."""

MAX_LEAVES_BYTES = 1024 * 1024
"""Size of all leaves that are kept, in bytes."""

MAX_TARGET_ID_BYTES = 1024
"""Longest id of a target whose leave is kept, in bytes."""

LEAVE_OVERHEAD_BYTES = 16
"""Size of a leave in an image without its target's id, in bytes."""


def is_recordable(target_id: str) -> bool:
    """Return whether the leave of a target with this id can be kept."""
    return 0 < len(target_id.encode()) <= MAX_TARGET_ID_BYTES


_LEAVES_TAG = bytes([Command.TARGET_LEAVES_FIELD_NUMBER << 3 | 2])


class LeaveTable:
    """Newest incarnation in which each target left, in the order of the log.

    Beyond the bounds the oldest leaves are dropped. No clock decides, so equal logs give equal
    tables.
    """

    def __init__(self) -> None:
        self.recorded = 0
        """Number of leaves that were ever added."""
        self._incarnations: dict[str, int] = {}
        self._bytes = 0

    @classmethod
    def from_message(cls, message: TargetLeaves) -> LeaveTable:
        """Build the table from the leaves of an image."""
        table = cls()
        table.record(message.leaves)
        return table

    @classmethod
    def from_entries(cls, entries: Iterable[Entry]) -> LeaveTable:
        """Build the table from log entries, committed or not.

        Only commands with leaves are decoded, since others may be large.
        """
        table = cls()
        for entry in entries:
            if entry.command.startswith(_LEAVES_TAG):
                table.record(Command.FromString(entry.command).target_leaves.leaves)
        return table

    def __len__(self) -> int:
        return len(self._incarnations)

    def message(self) -> TargetLeaves:
        """Return all leaves, oldest first."""
        return TargetLeaves(
            leaves=(
                TargetLeave(target_id=target_id, incarnation=incarnation)
                for target_id, incarnation in self._incarnations.items()
            )
        )

    def covers(self, target_id: str, incarnation: int) -> bool:
        """Return whether a target left in an incarnation or a later one."""
        return incarnation <= self._incarnations.get(target_id, -1)

    def incarnation_of(self, target_id: str) -> int | None:
        """Return the newest incarnation in which a target left, or None."""
        return self._incarnations.get(target_id)

    def newest(self, count: int) -> Iterator[tuple[str, int]]:
        """Yield id and incarnation of the newest leaves, newest first."""
        return itertools.islice(reversed(self._incarnations.items()), count)

    def record(self, leaves: Iterable[TargetLeave]) -> None:
        """Add leaves; those without a valid id, and those that are covered, change nothing."""
        for leave in leaves:
            target_id, incarnation = leave.target_id, leave.incarnation
            if not is_recordable(target_id) or self.covers(target_id, incarnation):
                continue
            self._drop(target_id)
            self._incarnations[target_id] = incarnation
            self._bytes += _size(target_id)
            self.recorded += 1
        while len(self._incarnations) > MAX_LEAVES or self._bytes > MAX_LEAVES_BYTES:
            self._drop(next(iter(self._incarnations)))

    def _drop(self, target_id: str) -> None:
        if self._incarnations.pop(target_id, None) is not None:
            self._bytes -= _size(target_id)


def _size(target_id: str) -> int:
    return len(target_id.encode()) + LEAVE_OVERHEAD_BYTES
