"""One log segment: an append-only file of checksummed batches of records."""

from __future__ import annotations

import os
from pathlib import Path

import attrs
from google.protobuf.message import DecodeError

from bramleycrank.consensus.types import Persist
from bramleycrank.exceptions import CorruptLog
from bramleycrank.proto.log_pb2 import Entry, HardState, LogBatch, LogRecord, LogSnapshot
from bramleycrank.storage.files import decode_frames, encode_frame, has_frame_after, write_synced


@attrs.define
class SegmentContent:
    """Hard state and entries that the batches of a segment add up to.

    Parameters
    ----------
    first_index : int
        Index of the first entry that the segment may hold.
    """

    first_index: int
    hard_state: HardState = attrs.field(factory=HardState)
    entries: list[Entry] = attrs.field(factory=list)

    def persist(self, action: Persist) -> None:
        """Apply an action; raises ``CorruptLog`` if the entries do not follow one another."""
        if action.hard_state is not None:
            self.hard_state = action.hard_state
        if action.truncate_from:
            self._truncate_from(action.truncate_from)
        for entry in action.entries:
            self._append(entry)

    def replay(self, batch: LogBatch) -> None:
        """Apply a batch that was read from the file."""
        for record in batch.records:
            match record.WhichOneof("body"):
                case "hard_state":
                    self.hard_state = record.hard_state
                case "truncate_from":
                    self._truncate_from(record.truncate_from)
                case "entry":
                    self._append(record.entry)
                case _:
                    raise CorruptLog("the log has a record of an unknown kind")

    def after(self, snapshot: LogSnapshot) -> SegmentContent:
        """Return what a snapshot leaves to keep.

        Entries after the snapshot stay only if the last entry that it covers is here with its
        term; otherwise they contradict the leader's log.
        """
        position = snapshot.index - self.first_index
        covered = self.entries[position : position + 1]
        kept = self.entries[position + 1 :] if covered and covered[0].term == snapshot.term else []
        return SegmentContent(snapshot.index + 1, self.hard_state, kept)

    def _truncate_from(self, index: int) -> None:
        if index < self.first_index:
            raise CorruptLog(f"the log drops entry {index}, which is before its start")
        del self.entries[index - self.first_index :]

    def _append(self, entry: Entry) -> None:
        expected = self.first_index + len(self.entries)
        if entry.index != expected:
            raise CorruptLog(f"the log has entry {entry.index} in place of {expected}")
        self.entries.append(entry)


class Segment:
    """Open segment file."""

    def __init__(self, path: Path, seed: int, content: SegmentContent) -> None:
        self.path = path
        self.content = content
        self._seed = seed
        # Without a buffer: one that could not be written would be written again at the close.
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115

    @classmethod
    def create(cls, path: Path, seed: int, content: SegmentContent) -> Segment:
        """Write a segment that starts with ``content``, synced under its final name."""
        action = Persist(content.hard_state, 0, content.entries)
        write_synced(path, _encode(action, seed))
        return cls(path, seed, content)

    @classmethod
    def open(cls, path: Path, seed: int, first_index: int) -> Segment:
        """Read a segment and cut off a torn last batch.

        Raises
        ------
        CorruptLog
            A batch other than the last is damaged, or the records are out of order. The first
            batch is written under a temporary name and can not be torn.
        """
        data = path.read_bytes()
        content = SegmentContent(first_index)
        intact = 0
        for end, payload in decode_frames(data, seed):
            content.replay(_parse(payload, path, intact))
            intact = end
        if intact == 0 or has_frame_after(data, intact, seed):
            raise CorruptLog(f"{path} is damaged at byte {intact}")
        with open(path, "r+b") as file:
            if intact < len(data):
                file.truncate(intact)
            # After a failed sync, what was read may be in memory only.
            os.fsync(file.fileno())
        return cls(path, seed, content)

    def append(self, action: Persist) -> None:
        """Write one action as one batch and sync it."""
        left = memoryview(_encode(action, self._seed))
        while left:
            left = left[self._file.write(left) :]
        os.fsync(self._file.fileno())
        self.content.persist(action)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def _encode(action: Persist, seed: int) -> bytes:
    batch = LogBatch()
    if action.hard_state is not None:
        batch.records.append(LogRecord(hard_state=action.hard_state))
    if action.truncate_from:
        batch.records.append(LogRecord(truncate_from=action.truncate_from))
    batch.records.extend(LogRecord(entry=entry) for entry in action.entries)
    return encode_frame(batch.SerializeToString(), seed)


def _parse(payload: bytes, path: Path, offset: int) -> LogBatch:
    try:
        return LogBatch.FromString(payload)
    except DecodeError as exc:
        raise CorruptLog(f"{path} has an unreadable batch at byte {offset}") from exc
