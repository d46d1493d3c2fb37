"""A settings file that is noticed when it changes, with or without a signal."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from pathlib import Path

from bramleycrank.daemon.http_node import HttpNodeConfig
from bramleycrank.exceptions import BramleycrankError

log = logging.getLogger(__name__)

POLL_S = 1.0
"""Time between two looks at the file, in seconds; seeds change seconds before they are needed."""

Fingerprint = tuple[int, int, int]
"""Inode, size and time of the last change of a file."""


class SettingsFile:
    """Reads a settings file at the start and again after each change.

    Parameters
    ----------
    path : Path
        The file.
    load : callable
        Reads the file; raises a `BramleycrankError` if it is not valid.
    """

    def __init__(self, path: Path, load: Callable[[Path], HttpNodeConfig]) -> None:
        self._path = path
        self._load = load
        self._read: Fingerprint | None = None
        self._last_seen: Fingerprint | None = None

    def load(self) -> HttpNodeConfig:
        """Read the file.

        Raises
        ------
        BramleycrankError
            The file cannot be read or is not valid.
        """
        self._read = self._last_seen = self._fingerprint()
        return self._load(self._path)

    def has_changed(self) -> bool:
        """Whether the file differs from the one read, and has stayed so since the last look.

        A file that is still being written is left alone until it rests.
        """
        now = self._fingerprint()
        rests = now == self._last_seen
        self._last_seen = now
        return rests and now is not None and now != self._read

    async def watch(self, on_change: Callable[[], None]) -> None:
        """Call back after each change, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
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
        """Return what tells versions of the file apart, or None while it cannot be read."""
        try:
            status = os.stat(self._path)
        except OSError as exc:
            if self._last_seen is not None:
                log.error("process: no settings file", extra={"reason": str(exc)})
            return None
        return status.st_ino, status.st_size, status.st_mtime_ns
