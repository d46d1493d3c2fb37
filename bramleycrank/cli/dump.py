"""The command that shows the state of a VM."""

from __future__ import annotations

import json

from bramleycrank.cli.context import Context, DeferredCommand
from bramleycrank.proto import operator_pb2 as pb


def dump(context: Context, vm_id: str) -> DeferredCommand:
    """Return the command that prints the state of a VM as JSON.

    Parameters
    ----------
    context : Context
        Server and output format.
    vm_id : str
        Name of the VM; empty: the server.
    """

    async def run() -> None:
        async with context.operator() as client:
            reply = await client.call("Dump", pb.DumpRequest(vm_id=vm_id))
        print(json.dumps(json.loads(reply.json), indent=2, sort_keys=True))

    return DeferredCommand(run)
