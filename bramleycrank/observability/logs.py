"""Logs as JSON, one object per line on standard error."""

from __future__ import annotations

import logging
import os
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from bramleycrank.settings import LoggingSettings

# Libraries that log each request or each closed connection at level INFO.
NOISY_LOGGERS = ("grpclib", "hpack", "h2", "asyncio")


def configure(cfg: LoggingSettings, vm_id: str, stream: TextIO | None = None) -> None:
    """Write all log records to a stream, replacing existing handlers.

    Parameters
    ----------
    cfg : LoggingSettings
        The section `[logging]`.
    vm_id : str
        Name of the VM, added to each record.
    stream : TextIO, optional
        Output stream; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(json_formatter(vm_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(cfg.level.upper())
    for name in NOISY_LOGGERS:
        logging.getLogger(name).setLevel(max(root.level, logging.WARNING))


def configure_stdout(cfg: LoggingSettings, vm_id: str) -> None:
    """Write all log records to standard output without blocking on its reader.

    Parameters
    ----------
    cfg : LoggingSettings
        The section `[logging]`.
    vm_id : str
        Name of the VM, added to each record.
    """
    configure(cfg, vm_id)
    handler = NonBlockingHandler(sys.stdout.fileno())
    handler.setFormatter(json_formatter(vm_id))
    logging.getLogger().handlers[:] = [handler]


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking; drops and counts lines while it is full.

    Parameters
    ----------
    fd : int
        File descriptor; it is set to non-blocking mode.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self._fd = fd
        self._unsent = b""
        self.dropped = 0
        try:
            os.set_blocking(fd, False)
        except OSError as exc:
            # Some streams have no non-blocking mode; these are files, whose writes do not block.
            sys.stderr.write(f"logs: standard output stays blocking: {exc}\n")

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it while an earlier line is not written completely."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._unsent and not self._write(self._unsent):
            self.dropped += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            line = b'{"message": "logs: lines were dropped", "count": %d}\n%b' % (dropped, line)
        self._write(line)

    def _write(self, data: bytes) -> bool:
        """Write data and keep the unwritten part; return whether nothing is left to write."""
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            written = 0
        except OSError:
            self.dropped += 1
            self._unsent = b""
            return True
        self._unsent = data[written:]
        return not self._unsent


def json_formatter(vm_id: str) -> JsonFormatter:
    """Return the formatter: fields ``time`` (UTC), ``level``, ``logger``, ``message``, ``vm``."""
    return JsonFormatter(
        ["levelname", "name", "message"],
        rename_fields={"levelname": "level", "name": "logger", "timestamp": "time"},
        static_fields={"vm": vm_id},
        timestamp=True,
    )
