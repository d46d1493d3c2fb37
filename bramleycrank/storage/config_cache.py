"""Cache of the configuration in force, stored in the data folder."""

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

    The cache takes no lock. The ``LogStore`` of the same folder holds one; a VM without a log
    opens the cache alone.
    """

    def __init__(self, path: Path, stored: ConfigImage | None) -> None:
        self._path = path
        self._stored = stored

    @classmethod
    def open(cls, folder: Path) -> ConfigCache:
        """Open the cache in a data folder, and create the folder if it is missing.

        Raises
        ------
        StorageError
            The folder cannot be created or the file cannot be read.
        """
        path = folder / CACHE_FILE
        try:
            folder.mkdir(parents=True, exist_ok=True)
            return cls(path, _read_image(path))
        except OSError as exc:
            raise StorageError(f"{path} cannot be read: {exc}") from exc

    def load(self) -> ConfigImage | None:
        """Return the stored image; ``None`` if there is none or it is damaged."""
        return self._stored

    def save(self, image: ConfigImage) -> None:
        """Replace the stored image durably; an image that is not newer is ignored.

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


def _read_image(path: Path) -> ConfigImage | None:
    payload = read_single_frame(path)
    if payload is None:
        if path.exists():
            log.warning("storage: %s is damaged and is ignored", path)
        return None
    try:
        return ConfigImage.FromString(payload)
    except DecodeError:
        log.warning("storage: %s holds no valid configuration and is ignored", path)
        return None
