"""The data folder of a node: synced log, snapshots and disk identity."""

from __future__ import annotations

from pathlib import Path

from bramleycrank.consensus.types import DurableState, Persist
from bramleycrank.proto.log_pb2 import LogSnapshot


class LogStore:
    """Synced log and snapshots of one node; the folder is locked while it is open."""

    node_id: str

    @classmethod
    def open(cls, folder: Path, vm_id: str) -> LogStore:
        """Open or create the folder; raises ``FolderInUse``, ``CorruptLog``, ``StorageError``."""
        raise NotImplementedError

    def load(self) -> DurableState:
        """Return what was persisted before."""
        raise NotImplementedError

    def persist(self, action: Persist) -> None:
        """Write and sync one action."""
        raise NotImplementedError

    def save_snapshot(self, snapshot: LogSnapshot) -> None:
        """Store a snapshot and drop the log entries that it replaces."""
        raise NotImplementedError

    def dump(self) -> dict[str, object]:
        """Return sizes and identity for operators."""
        raise NotImplementedError

    def close(self) -> None:
        """Release the folder."""
        raise NotImplementedError
