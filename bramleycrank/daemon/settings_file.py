"""Reads a settings file and detects its changes, with or without a signal."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from pathlib import Path

from bramleycrank.daemon.http_node import HttpNodeConfig
from bramleycrank.exceptions import BramleycrankError

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 1.0
"""Interval between two checks of the file, in seconds.

It has to be short, because seeds change only seconds before they are needed.
"""

Fingerprint = tuple[int, int, int]
"""Inode, size and modification time of a file."""


class SettingsFile:
    """Reads a settings file, and reads it again after each change.

    Parameters
    ----------
    path : Path
        Path of the settings file.
    load : callable
        Parses the file; raises a `BramleycrankError` if it is not valid.
    """

    def __init__(self, path: Path, load: Callable[[Path], HttpNodeConfig]) -> None:
        self._path = path
        self._load = load
        self._loaded: Fingerprint | None = None
        self._last_seen: Fingerprint | None = None

    def load(self) -> HttpNodeConfig:
        """Read the file.

        Raises
        ------
        BramleycrankError
            The file cannot be read or is not valid.
        """
        self._loaded = self._last_seen = self._fingerprint()
        return self._load(self._path)

    def has_changed(self) -> bool:
        """Return whether the file differs from the loaded one and is the same as at the last check.

        A file that is still being written is not reported until two checks find it unchanged.
        """
        current = self._fingerprint()
        is_stable = current == self._last_seen
        self._last_seen = current
        return is_stable and current is not None and current != self._loaded

    async def watch(self, on_change: Callable[[], None]) -> None:
        """Call back after each change, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.has_changed():
                on_change()

    def reload(self) -> HttpNodeConfig | None:
        """Read the file again; return None, with a log line, if it is not valid."""
        try:
            return self.load()
        except BramleycrankError as exc:
            log.error("process: settings were not reloaded", extra={"reason": str(exc)})
            return None

    def _fingerprint(self) -> Fingerprint | None:
        """Return the identity of the file's current version, or None if it cannot be read."""
        try:
            status = os.stat(self._path)
        except OSError as exc:
            if self._last_seen is not None:
                log.error("process: no settings file", extra={"reason": str(exc)})
            return None
        return status.st_ino, status.st_size, status.st_mtime_ns
