"""Data folder of a node: durable log, snapshots and disk identity.

The folder holds ``snapshot-N`` and the segment ``log-N`` with the entries after it. A new snapshot
starts generation N + 1: the new segment with the entries that the snapshot does not cover is
written first, then the snapshot. The rename of the snapshot file switches the generation, so after
a crash at any point one of the two generations is complete.
"""

from __future__ import annotations

import logging
import re
from collections.abc import Callable
from pathlib import Path

from google.protobuf.message import DecodeError

from bramleycrank.consensus.types import DurableState, Persist
from bramleycrank.exceptions import BramleycrankError, CorruptLog, StorageError
from bramleycrank.proto.log_pb2 import LogSnapshot
from bramleycrank.storage.files import encode_frame, read_single_frame, sync_folder, write_synced
from bramleycrank.storage.identity import IDENTITY_FILE, DiskIdentity, FolderLock
from bramleycrank.storage.segment import Segment, SegmentContent

log = logging.getLogger(__name__)

_GENERATION_FILE = re.compile(r"(log|snapshot)-(\d+)(\.tmp)?")


class LogStore:
    """Durable log and snapshots of one node; the folder is locked while the store is open."""

    def __init__(
        self,
        folder: Path,
        lock: FolderLock,
        identity: DiskIdentity,
        generation: int,
        snapshot: LogSnapshot | None,
        segment: Segment,
    ) -> None:
        self._folder = folder
        self._lock = lock
        self._identity = identity
        self._generation = generation
        self._snapshot = snapshot
        self._segment = segment
        self._failed = False

    @classmethod
    def open(cls, folder: Path, vm_id: str) -> LogStore:
        """Open a data folder; a new or empty one gets a new disk id.

        Parameters
        ----------
        folder : Path
            Data folder; created if missing.
        vm_id : str
            VM that the folder belongs to.

        Raises
        ------
        FolderInUse
            Another process holds the lock on the folder.
        CorruptLog
            A synced record is damaged or missing.
        StorageError
            The folder belongs to another VM, has a log but no identity, or cannot be accessed.
        """
        try:
            folder.mkdir(parents=True, exist_ok=True)
            sync_folder(folder.parent)
            lock = FolderLock.acquire(folder)
        except OSError as exc:
            raise StorageError(f"{folder} cannot be used: {exc}") from exc
        try:
            return cls._open_locked(folder, vm_id, lock)
        except OSError as exc:
            lock.release()
            raise StorageError(f"{folder} cannot be used: {exc}") from exc
        except BramleycrankError:
            lock.release()
            raise

    @staticmethod
    def discard(folder: Path) -> None:
        """Delete a damaged log and its identity, so that the next ``open`` creates new ones.

        The identity is deleted last, so that a crash in between does not make the folder look new.

        Raises
        ------
        StorageError
            A file could not be deleted.
        """
        try:
            for path in folder.iterdir():
                if _GENERATION_FILE.fullmatch(path.name):
                    path.unlink()
            sync_folder(folder)
            (folder / IDENTITY_FILE).unlink(missing_ok=True)
            sync_folder(folder)
        except OSError as exc:
            raise StorageError(f"{folder} cannot be cleared: {exc}") from exc

    @property
    def node_id(self) -> str:
        """Node id in the replicated log: ``vm_id/disk_id``."""
        return self._identity.node_id

    def load(self) -> DurableState:
        """Return the persisted hard state, snapshot and entries."""
        content = self._segment.content
        return DurableState(content.hard_state, self._snapshot, tuple(content.entries))

    def persist(self, action: Persist) -> None:
        """Append one action to the log and sync it.

        Raises
        ------
        StorageError
            The write failed. The content of the file is then unknown, so every later call fails
            too and the process must end.
        """
        self._write_or_disable(lambda: self._segment.append(action))

    def save_snapshot(self, snapshot: LogSnapshot) -> None:
        """Store a snapshot and drop the entries that it covers or conflicts with.

        Entries after the snapshot are kept only if the log holds the snapshot's last entry with the
        same term.

        Raises
        ------
        StorageError
            The write failed; every later call fails too.
        """
        self._write_or_disable(lambda: self._switch_generation(snapshot))

    @property
    def log_bytes(self) -> int:
        """Size of the log file while the store is open, in bytes."""
        return self._segment.size

    def dump(self) -> dict[str, object]:
        """Return the identity and the sizes of the log for operators."""
        content = self._segment.content
        return {
            "node_id": self.node_id,
            "folder": str(self._folder),
            "generation": self._generation,
            "snapshot_index": self._snapshot.index if self._snapshot else 0,
            "entries": len(content.entries),
            "term": content.hard_state.term,
            "voted_for": content.hard_state.voted_for,
            "log_bytes": self._segment.path.stat().st_size,
            "failed": self._failed,
        }

    def close(self) -> None:
        """Close the log file and release the lock on the folder."""
        self._segment.close()
        self._lock.release()

    @classmethod
    def _open_locked(cls, folder: Path, vm_id: str, lock: FolderLock) -> LogStore:
        identity = DiskIdentity.load(folder)
        if identity is None:
            return cls._create(folder, vm_id, lock)
        if identity.vm_id != vm_id:
            raise StorageError(f"{folder} belongs to VM {identity.vm_id}, not to {vm_id}")
        generation = max((n for kind, n in _generations(folder) if kind == "snapshot"), default=0)
        snapshot = _read_snapshot(_generation_path(folder, "snapshot", generation), identity.seed)
        if snapshot is None and generation:
            raise CorruptLog(f"snapshot {generation} in {folder} is damaged")
        path = _generation_path(folder, "log", generation)
        if not path.exists():
            # The vote is in the log; without it, the node could vote twice in one term.
            raise CorruptLog(f"{path} is missing")
        first = snapshot.index + 1 if snapshot else 1
        segment = Segment.open(path, identity.seed, first)
        store = cls(folder, lock, identity, generation, snapshot, segment)
        store._remove_other_generations()
        return store

    @classmethod
    def _create(cls, folder: Path, vm_id: str, lock: FolderLock) -> LogStore:
        """Create an empty log and then the identity, which marks the folder as complete."""
        if any(kind == "snapshot" or n for kind, n in _generations(folder)):
            raise StorageError(f"{folder} has a log but no identity file")
        identity = DiskIdentity.create(vm_id)
        path = _generation_path(folder, "log", 0)
        segment = Segment.create(path, identity.seed, SegmentContent(first_index=1))
        identity.save(folder)
        log.info("storage: created %s as %s", folder, identity.node_id)
        return cls(folder, lock, identity, 0, None, segment)

    def _switch_generation(self, snapshot: LogSnapshot) -> None:
        if self._snapshot is not None and snapshot.index <= self._snapshot.index:
            return
        generation, old_segment = self._generation + 1, self._segment
        content = old_segment.content.retained_after(snapshot)
        seed = self._identity.seed
        segment = Segment.create(_generation_path(self._folder, "log", generation), seed, content)
        frame = encode_frame(snapshot.SerializeToString(), seed)
        write_synced(_generation_path(self._folder, "snapshot", generation), frame)
        old_segment.close()
        self._segment, self._snapshot, self._generation = segment, snapshot, generation
        self._remove_other_generations()

    def _remove_other_generations(self) -> None:
        for path in self._folder.iterdir():
            match = _GENERATION_FILE.fullmatch(path.name)
            if match and (match[3] or int(match[2]) != self._generation):
                path.unlink()
        sync_folder(self._folder)

    def _write_or_disable(self, write: Callable[[], None]) -> None:
        """Run a write; after a failed one, refuse every later write."""
        if self._failed:
            raise StorageError(f"an earlier write to {self._folder} failed")
        self._failed = True
        try:
            write()
        except OSError as exc:
            raise StorageError(f"writing to {self._folder} failed: {exc}") from exc
        self._failed = False


def _generation_path(folder: Path, kind: str, generation: int) -> Path:
    return folder / f"{kind}-{generation}"


def _generations(folder: Path) -> list[tuple[str, int]]:
    matches = (_GENERATION_FILE.fullmatch(path.name) for path in folder.iterdir())
    return [(match[1], int(match[2])) for match in matches if match and not match[3]]


def _read_snapshot(path: Path, seed: int) -> LogSnapshot | None:
    payload = read_single_frame(path, seed)
    if payload is None:
        return None
    try:
        return LogSnapshot.FromString(payload)
    except DecodeError as exc:
        raise CorruptLog(f"{path} is unreadable") from exc
