"""Logs as JSON, one object a line on standard error."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from bramleycrank.settings import LoggingSettings

# Libraries that log each request or each closed connection at the level "info".
NOISY_LOGGERS = ("grpclib", "hpack", "h2", "asyncio")


def configure(cfg: LoggingSettings, vm_id: str, stream: TextIO | None = None) -> None:
    """Send all log records to a stream, replacing handlers that were set before.

    Parameters
    ----------
    cfg : LoggingSettings
        The section `[logging]`.
    vm_id : str
        Name of the VM, added to each record.
    stream : TextIO, optional
        Where to write; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(json_formatter(vm_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(cfg.level.upper())
    for name in NOISY_LOGGERS:
        logging.getLogger(name).setLevel(max(root.level, logging.WARNING))


def json_formatter(vm_id: str) -> JsonFormatter:
    """Return the formatter: fields ``time`` (UTC), ``level``, ``logger``, ``message``, ``vm``."""
    return JsonFormatter(
        ["levelname", "name", "message"],
        rename_fields={"levelname": "level", "name": "logger", "timestamp": "time"},
        static_fields={"vm": vm_id},
        timestamp=True,
    )
