"""The configuration in force, kept in the data folder."""

from __future__ import annotations

from pathlib import Path

from bramleycrank.proto.log_pb2 import ConfigImage


class ConfigCache:
    """File with the newest configuration that was in force on this VM."""

    @classmethod
    def open(cls, folder: Path) -> ConfigCache:
        """Open the cache in a data folder, which is created if missing."""
        raise NotImplementedError

    def load(self) -> ConfigImage | None:
        """Return the stored image; ``None`` if there is none or its checksum is wrong."""
        raise NotImplementedError

    def save(self, image: ConfigImage) -> None:
        """Replace the stored image, synced; a lower revision is not stored."""
        raise NotImplementedError
