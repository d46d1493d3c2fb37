"""Identity of a data folder and the lock on it."""

from __future__ import annotations

import fcntl
import json
import os
import uuid
from pathlib import Path

import attrs
import xxhash

from bramleycrank.exceptions import FolderInUse, StorageError
from bramleycrank.storage.files import encode_frame, read_single_frame, write_synced

IDENTITY_FILE = "identity"


@attrs.frozen
class DiskIdentity:
    """Identifies the VM and the disk that a data folder belongs to.

    Parameters
    ----------
    vm_id : str
        VM that the folder belongs to.
    disk_id : str
        Random UUID; a folder that was lost and created again gets a new one.
    """

    vm_id: str
    disk_id: str

    @classmethod
    def create(cls, vm_id: str) -> DiskIdentity:
        """Return an identity with a new random disk id."""
        return cls(vm_id, str(uuid.uuid4()))

    @classmethod
    def load(cls, folder: Path) -> DiskIdentity | None:
        """Read the identity of a folder; ``None`` if the folder has none yet.

        Raises
        ------
        StorageError
            The file is damaged.
        """
        path = folder / IDENTITY_FILE
        if not path.exists():
            return None
        payload = read_single_frame(path)
        if payload is None:
            raise StorageError(f"{path} is damaged")
        return cls(**json.loads(payload))

    def save(self, folder: Path) -> None:
        """Write the identity durably."""
        payload = json.dumps(attrs.asdict(self)).encode()
        write_synced(folder / IDENTITY_FILE, encode_frame(payload))

    @property
    def node_id(self) -> str:
        """Node id in the replicated log: ``vm_id/disk_id``."""
        return f"{self.vm_id}/{self.disk_id}"

    @property
    def seed(self) -> int:
        """Checksum seed for the log and the snapshots of this folder."""
        return xxhash.xxh32_intdigest(self.disk_id.encode())


class FolderLock:
    """Exclusive lock on a data folder; the kernel releases it when the process ends."""

    def __init__(self, fd: int) -> None:
        self._fd = fd

    @classmethod
    def acquire(cls, folder: Path) -> FolderLock:
        """Lock the folder; raises ``FolderInUse`` if another process holds the lock."""
        fd = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            os.close(fd)
            raise FolderInUse(f"{folder} is in use by another process") from exc
        return cls(fd)

    def release(self) -> None:
        """Release the lock."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
