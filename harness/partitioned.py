"""Runs a program of the project so that signals cut it off from some addresses.

``python -m harness.partitioned MODULE ARGUMENTS`` calls ``MODULE.main``. SIGUSR1 cuts the links to
the addresses in the file that BRAMLEYCRANK_CUT names: open connections go silent and new ones do
not complete, as behind a firewall that drops packets. SIGUSR2 heals the links. Both ends of a link
have to be cut. Only the connections' byte flow changes, nothing in the program.
"""

from __future__ import annotations

import asyncio
import importlib
import os
import signal
import sys
from pathlib import Path

CUT_FILE = Path(os.environ.get("BRAMLEYCRANK_CUT", os.devnull))

_cut_addresses: set[tuple[str, int]] = set()
_transports: dict[asyncio.Transport, tuple[str, int]] = {}
_create_connection = asyncio.base_events.BaseEventLoop.create_connection


def _silence(transport: asyncio.Transport) -> None:
    transport.pause_reading()
    transport.write = lambda data: None
    transport.writelines = lambda chunks: None


def _cut(_number: int, _frame: object) -> None:
    for line in CUT_FILE.read_text().split():
        host, _, port = line.rpartition(":")
        _cut_addresses.add((host, int(port)))
    for transport, address in list(_transports.items()):
        if address in _cut_addresses and not transport.is_closing():
            _silence(transport)


def _heal(_number: int, _frame: object) -> None:
    for transport, address in list(_transports.items()):
        if address in _cut_addresses:
            transport.abort()
            del _transports[transport]
    _cut_addresses.clear()


async def _connect(self, factory, host=None, port=None, **options):
    while (host, port) in _cut_addresses:
        await asyncio.sleep(0.1)
    transport, protocol = await _create_connection(self, factory, host, port, **options)
    for known in [t for t in _transports if t.is_closing()]:
        del _transports[known]
    _transports[transport] = (host, port)
    return transport, protocol


def main() -> None:
    """Install the hooks and run the program."""
    asyncio.base_events.BaseEventLoop.create_connection = _connect
    signal.signal(signal.SIGUSR1, _cut)
    signal.signal(signal.SIGUSR2, _heal)
    module = importlib.import_module(sys.argv[1])
    sys.argv = sys.argv[1:]
    module.main()


if __name__ == "__main__":
    main()
