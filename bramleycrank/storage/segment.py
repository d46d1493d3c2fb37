"""Log segment: an append-only file of checksummed batches of records."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path

import attrs
from google.protobuf.message import DecodeError

from bramleycrank.consensus.types import Persist
from bramleycrank.exceptions import CorruptLog
from bramleycrank.proto.log_pb2 import Entry, HardState, LogBatch, LogSnapshot
from bramleycrank.storage.files import (
    decode_frames,
    encode_frame,
    has_frame_after,
    write_parts_synced,
)

BATCH_BYTES = 1024 * 1024
"""Size of the entries in one batch, in bytes, beyond which a further batch begins."""


@attrs.define
class SegmentContent:
    """Hard state and entries that result from the batches of a segment.

    Parameters
    ----------
    first_index : int
        Lowest index of an entry that the segment may hold.
    """

    first_index: int
    hard_state: HardState = attrs.field(factory=HardState)
    entries: list[Entry] = attrs.field(factory=list)

    def apply(self, action: Persist) -> None:
        """Apply an action; raises ``CorruptLog`` if the entry indexes are not contiguous."""
        if action.hard_state is not None:
            self.hard_state = action.hard_state
        if action.truncate_from:
            self._truncate_from(action.truncate_from)
        for entry in action.entries:
            self._append(entry)

    def replay(self, batch: LogBatch) -> None:
        """Apply a batch read from the file; raises ``CorruptLog`` if a record does not fit."""
        for record in batch.records:
            match record.WhichOneof("body"):
                case "hard_state":
                    self.hard_state = record.hard_state
                case "truncate_from":
                    self._truncate_from(record.truncate_from)
                case "entry":
                    self._append(record.entry)
                case _:
                    raise CorruptLog("the log has a record of unknown type")

    def retained_after(self, snapshot: LogSnapshot) -> SegmentContent:
        """Return the hard state and the entries to keep after a snapshot.

        Entries after the snapshot are kept only if the last entry that it covers is in the segment
        with the same term; otherwise they conflict with the leader's log.
        """
        position = snapshot.index - self.first_index
        covered = self.entries[position : position + 1]
        kept = self.entries[position + 1 :] if covered and covered[0].term == snapshot.term else []
        return SegmentContent(snapshot.index + 1, self.hard_state, kept)

    def _truncate_from(self, index: int) -> None:
        if index < self.first_index:
            raise CorruptLog(f"the log truncates at entry {index}, which is before its first entry")
        del self.entries[index - self.first_index :]

    def _append(self, entry: Entry) -> None:
        expected = self.first_index + len(self.entries)
        if entry.index != expected:
            raise CorruptLog(f"the log has entry {entry.index} instead of entry {expected}")
        self.entries.append(entry)


class Segment:
    """Segment file that is open for appending."""

    def __init__(self, path: Path, seed: int, content: SegmentContent) -> None:
        self.path = path
        self.content = content
        self._seed = seed
        # Unbuffered: after a failed write, closing a buffered file would write the data again.
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115

    @classmethod
    def create(cls, path: Path, seed: int, content: SegmentContent) -> Segment:
        """Create a segment with ``content`` as its first batches, durably under its final name."""
        action = Persist(content.hard_state, 0, content.entries)
        write_parts_synced(path, _encode_batches(action, seed))
        return cls(path, seed, content)

    @classmethod
    def open(cls, path: Path, seed: int, first_index: int) -> Segment:
        """Read a segment and truncate a torn last batch.

        Raises
        ------
        CorruptLog
            A batch other than the last is damaged, the first batch is missing, or records are
            out of order. The first batch cannot be torn, because ``create`` writes it to a
            temporary file first.
        """
        content = SegmentContent(first_index)
        intact_bytes = 0
        with open(path, "r+b") as file:
            for end, payload in decode_frames(file, seed):
                content.replay(_decode_batch(payload, path, intact_bytes))
                intact_bytes = end
            file.seek(intact_bytes)
            tail = file.read()
            if intact_bytes == 0 or has_frame_after(tail, 0, seed):
                raise CorruptLog(f"{path} is damaged at byte {intact_bytes}")
            if tail:
                file.truncate(intact_bytes)
            # After a failed sync, the data just read may be only in the page cache.
            os.fsync(file.fileno())
        return cls(path, seed, content)

    def append(self, action: Persist) -> None:
        """Append one action and sync the file.

        An action with many bytes becomes several batches, so that their copies need little memory.
        Each is synced before the next, since only the last batch of a segment may be torn. A power
        loss keeps a prefix of the action, which nobody has been told of.
        """
        for batch in _encode_batches(action, self._seed):
            unwritten = memoryview(batch)
            while unwritten:
                unwritten = unwritten[self._file.write(unwritten) :]
            os.fsync(self._file.fileno())
        self.content.apply(action)

    @property
    def size(self) -> int:
        """Size of the open file, in bytes."""
        return os.fstat(self._file.fileno()).st_size

    def close(self) -> None:
        """Close the segment file."""
        self._file.close()


def _encode_batches(action: Persist, seed: int) -> Iterator[bytes]:
    """Yield the frames of an action; there is at least one, and the first has all but entries."""
    batch, entry_bytes = LogBatch(), 0
    if action.hard_state is not None:
        batch.records.add().hard_state.CopyFrom(action.hard_state)
    if action.truncate_from:
        batch.records.add().truncate_from = action.truncate_from
    for entry in action.entries:
        if entry_bytes >= BATCH_BYTES:
            yield encode_frame(batch.SerializeToString(), seed)
            batch, entry_bytes = LogBatch(), 0
        batch.records.add().entry.CopyFrom(entry)
        entry_bytes += entry.ByteSize()
    yield encode_frame(batch.SerializeToString(), seed)


def _decode_batch(payload: bytes, path: Path, offset: int) -> LogBatch:
    try:
        return LogBatch.FromString(payload)
    except DecodeError as exc:
        raise CorruptLog(f"{path} has an invalid batch at byte {offset}") from exc
