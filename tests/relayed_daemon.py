"""Runs `bramleycrankd` so that its connections to other VMs go through the tests' relay.

The variable BRAMLEYCRANK_RELAYS holds a JSON object from the address of a VM to that of the relay
for the link from this VM to the other. Only the address of a connection changes.
"""

import asyncio
import json
import os

from bramleycrank.daemon.main import main

RELAYS = json.loads(os.environ.get("BRAMLEYCRANK_RELAYS", "{}"))
_create_connection = asyncio.base_events.BaseEventLoop.create_connection


def _relayed(self, factory, host=None, port=None, **options):
    relay = RELAYS.get(f"{host}:{port}")
    if relay:
        host, _, port = relay.rpartition(":")
    return _create_connection(self, factory, host, port and int(port), **options)


if __name__ == "__main__":
    asyncio.base_events.BaseEventLoop.create_connection = _relayed
    main()
