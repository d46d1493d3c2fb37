"""Commands that show how VMs serve callers by HTTP."""

from __future__ import annotations

import json
from typing import Any

from bramleycrank.cli.arguments import command
from bramleycrank.cli.context import Context, DeferredCommand
from bramleycrank.cli.output import message_to_dict, table
from bramleycrank.proto import entry_pb2


class EntryCommands:
    """Shows customers, the way of a request and the state of a VM that serves callers by HTTP."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @command
    def customers(self, name: str = "", local: bool = False) -> DeferredCommand:
        """List customers with rate, burst, use and refusals, over all VMs; keys are not shown.

        Parameters
        ----------
        name : str
            Customer; empty: all.
        local : bool
            Whether to ask only the server.
        """

        async def run() -> None:
            async with self._context.entry() as client:
                request = entry_pb2.ListCustomersRequest(name=name, local=local)
                reply = await client.call("ListCustomers", request)
            headers = (
                "CUSTOMER",
                "RANK",
                "RATE/S",
                "BURST",
                "KEYS",
                "USED/S",
                "ADMITTED",
                "REFUSED",
                "HELD",
                "VMS",
            )
            text = table(headers, map(_customer_row, reply.customers))
            text += f"\n{reply.vms} VMs, routes version {reply.routes_version}"
            if reply.silent_vms:
                text += f"\nno reply: {', '.join(reply.silent_vms)}"
            self._context.show(message_to_dict(reply), text)

        return DeferredCommand(run)

    @command
    def place(
        self, host: str, path: str, method: str = "GET", customer: str = ""
    ) -> DeferredCommand:
        """Tell where a request would go now, and why; nothing is sent and nothing is counted.

        Parameters
        ----------
        host : str
            Host of the request.
        path : str
            Its path.
        method : str
            Its method.
        customer : str
            Name of the customer that calls; empty: a caller without a key.
        """

        async def run() -> None:
            async with self._context.entry() as client:
                request = entry_pb2.PlaceRequest(
                    method=method, host=host, path=path, customer=customer
                )
                reply = await client.call("Place", request)
            data = json.loads(reply.json)
            self._context.show(data, "\n".join(_place_lines(data)))

        return DeferredCommand(run)

    @command
    def dump(self) -> DeferredCommand:
        """Print the state of the server as JSON."""

        async def run() -> None:
            async with self._context.entry() as client:
                reply = await client.call("Dump", entry_pb2.DumpRequest())
            print(json.dumps(json.loads(reply.json), indent=2, sort_keys=True))

        return DeferredCommand(run)


def _customer_row(use: entry_pb2.CustomerUse) -> tuple[object, ...]:
    refused = ", ".join(f"{rule} {count}" for rule, count in sorted(use.refused.items()))
    return (
        use.name,
        use.rank if use.HasField("rank") else "-",
        f"{use.per_s:g}" if use.per_s else "-",
        f"{use.burst:g}" if use.per_s else "-",
        use.keys,
        f"{use.recent_per_s:.1f}",
        use.admitted,
        refused or "-",
        f"{use.held:g}",
        use.vms,
    )


def _place_lines(data: dict[str, Any]) -> list[str]:
    """Return a decision as lines: one for each step, and one for each target of a service."""
    lines = [f"{step}: {text}" for step, text in data["steps"].items()]
    for service, targets in data["services"].items():
        lines.append(f"{service}:")
        lines += [f"  {target['target']}  {target['why']}" for target in targets]
    return lines
