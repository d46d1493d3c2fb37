"""The configuration in force, kept in the data folder."""

from __future__ import annotations

import logging
from pathlib import Path

from google.protobuf.message import DecodeError

from bramleycrank.exceptions import StorageError
from bramleycrank.proto.log_pb2 import ConfigImage
from bramleycrank.storage.files import encode_frame, read_single_frame, write_synced

log = logging.getLogger(__name__)

CACHE_FILE = "config"


class ConfigCache:
    """File with the newest configuration that was in force on this VM.

    The folder is locked by the ``LogStore`` that uses it; a VM that only keeps its configuration
    opens one as well.
    """

    def __init__(self, path: Path, stored: ConfigImage | None) -> None:
        self._path = path
        self._stored = stored

    @classmethod
    def open(cls, folder: Path) -> ConfigCache:
        """Open the cache in a data folder, which is made if missing.

        Raises
        ------
        StorageError
            The folder cannot be used.
        """
        path = folder / CACHE_FILE
        try:
            folder.mkdir(parents=True, exist_ok=True)
            return cls(path, _read(path))
        except OSError as exc:
            raise StorageError(f"{path} cannot be read: {exc}") from exc

    def load(self) -> ConfigImage | None:
        """Return the stored image; ``None`` if there is none or it is damaged."""
        return self._stored

    def save(self, image: ConfigImage) -> None:
        """Replace the stored image, synced; an image that is not newer changes nothing.

        Raises
        ------
        StorageError
            The file cannot be written; the stored image is unchanged.
        """
        if self._stored is not None and image.revision <= self._stored.revision:
            return
        try:
            write_synced(self._path, encode_frame(image.SerializeToString()))
        except OSError as exc:
            raise StorageError(f"{self._path} cannot be written: {exc}") from exc
        self._stored = image


def _read(path: Path) -> ConfigImage | None:
    payload = read_single_frame(path)
    if payload is None:
        if path.exists():
            log.warning("storage: %s is damaged and not used", path)
        return None
    try:
        return ConfigImage.FromString(payload)
    except DecodeError:
        log.warning("storage: %s is unreadable and not used", path)
        return None
