"""Runs `bramleycrankd` with its connections to other VMs through the relays of the tests.

The variable BRAMLEYCRANK_RELAYS holds a JSON object that maps the address of each VM to that of the
relay on the link to it. Only the addresses of connections change.
"""

import asyncio
import json
import os

from bramleycrank.daemon.main import main

RELAYS = json.loads(os.environ.get("BRAMLEYCRANK_RELAYS", "{}"))
_create_connection = asyncio.base_events.BaseEventLoop.create_connection


def _create_relayed_connection(self, factory, host=None, port=None, **options):
    relay_address = RELAYS.get(f"{host}:{port}")
    if relay_address:
        host, _, port = relay_address.rpartition(":")
    return _create_connection(self, factory, host, port and int(port), **options)


if __name__ == "__main__":
    asyncio.base_events.BaseEventLoop.create_connection = _create_relayed_connection
    main()
