"""Runs a program of the project with network partitions that signals start and end.

``python -m harness.partitioned MODULE ARGUMENTS`` calls ``MODULE.main``. SIGUSR1 blocks the links
to the addresses in the file that BRAMLEYCRANK_CUT names: no data passes on open connections, and
new connections do not complete, as behind a firewall that drops packets. SIGUSR2 ends the
partition. The processes at both ends of a link have to block it. Of an address in a line ``refuse
ADDRESS``, open connections live on and new ones are refused. The program's own code is not changed.
"""

from __future__ import annotations

import asyncio
import importlib
import os
import signal
import sys
from pathlib import Path

PARTITION_FILE = Path(os.environ.get("BRAMLEYCRANK_CUT", os.devnull))

_blocked_addresses: set[tuple[str, int]] = set()
_refused_addresses: set[tuple[str, int]] = set()
_transports: dict[asyncio.Transport, tuple[str, int]] = {}
_create_connection = asyncio.base_events.BaseEventLoop.create_connection


def _block_transport(transport: asyncio.Transport) -> None:
    transport.pause_reading()
    transport.write = lambda data: None
    transport.writelines = lambda chunks: None


def _start_partition(_signal_number: int, _frame: object) -> None:
    for line in PARTITION_FILE.read_text().splitlines():
        host, _, port = line.rpartition(":")
        refused = host.startswith("refuse ")
        addresses = _refused_addresses if refused else _blocked_addresses
        addresses.add((host.removeprefix("refuse "), int(port)))
    for transport, address in list(_transports.items()):
        if address in _blocked_addresses and not transport.is_closing():
            _block_transport(transport)


def _end_partition(_signal_number: int, _frame: object) -> None:
    for transport, address in list(_transports.items()):
        if address in _blocked_addresses:
            transport.abort()
            del _transports[transport]
    _blocked_addresses.clear()
    _refused_addresses.clear()


async def _create_connection_when_reachable(self, factory, host=None, port=None, **options):
    if (host, port) in _refused_addresses:
        raise ConnectionRefusedError(f"{host}:{port} is cut")
    while (host, port) in _blocked_addresses:
        await asyncio.sleep(0.1)
    transport, protocol = await _create_connection(self, factory, host, port, **options)
    for closing in [t for t in _transports if t.is_closing()]:
        del _transports[closing]
    _transports[transport] = (host, port)
    return transport, protocol


def main() -> None:
    """Install the connection hook and the signal handlers, then run the program."""
    asyncio.base_events.BaseEventLoop.create_connection = _create_connection_when_reachable
    signal.signal(signal.SIGUSR1, _start_partition)
    signal.signal(signal.SIGUSR2, _end_partition)
    module = importlib.import_module(sys.argv[1])
    sys.argv = sys.argv[1:]
    module.main()


if __name__ == "__main__":
    main()
