"""Commands that show the configuration in force on the VMs."""

from __future__ import annotations

import asyncio

from bramleycrank.cli.arguments import command
from bramleycrank.cli.context import Context, DeferredCommand
from bramleycrank.cli.output import message_to_dict, table
from bramleycrank.exceptions import DeadlineExceeded
from bramleycrank.proto import operator_pb2 as pb

POLL_INTERVAL_S = 0.1


class ConfigCommands:
    """Shows the configuration revision in force on each VM."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @command
    def status(self) -> DeferredCommand:
        """Show the revision in force and its age in ms for each VM."""

        async def run() -> None:
            async with self._context.operator() as client:
                reply = await client.call("Status", pb.StatusRequest())
            headers = ("VM", "REVISION", "AGE", "STATE")
            text = table(headers, [_status_row(vm) for vm in reply.vms])
            self._context.show(message_to_dict(reply), f"{leader_line(reply)}\n{text}")

        return DeferredCommand(run)

    @command
    def wait(self, revision: int, timeout_s: float = 10.0) -> DeferredCommand:
        """Wait until all reachable VMs have a revision in force.

        Parameters
        ----------
        revision : int
            Revision that a change returned.
        timeout_s : float
            Timeout in s.
        """

        async def run() -> None:
            deadline = asyncio.get_running_loop().time() + timeout_s
            async with self._context.operator() as client:
                while True:
                    reply = await client.call("Status", pb.StatusRequest())
                    lagging = [v for v in reply.vms if v.reachable and v.revision < revision]
                    if reply.vms and not lagging:
                        break
                    if asyncio.get_running_loop().time() >= deadline:
                        names = ", ".join(vm.record.vm_id for vm in lagging)
                        raise DeadlineExceeded(f"revision {revision} is not in force on {names}")
                    await asyncio.sleep(POLL_INTERVAL_S)
            missing = [vm.record.vm_id for vm in reply.vms if not vm.reachable]
            text = f"revision {revision} is in force on all {len(reply.vms) - len(missing)} VMs"
            if missing:
                text = f"{text} that are reachable; unreachable: {', '.join(missing)}"
            self._context.show({"revision": revision, "unreachable": missing}, text)

        return DeferredCommand(run)


def leader_line(reply: pb.StatusReply) -> str:
    """Return a line with the leader and the revision that it confirmed."""
    leader = reply.leader_vm or "unknown"
    return f"leader {leader}, confirmed revision {reply.leader_revision}"


def _status_row(vm: pb.VmStatus) -> tuple[object, ...]:
    if not vm.reachable:
        return (vm.record.vm_id, "-", "-", "unreachable")
    age = "0 ms" if vm.current else f"{vm.stale_ms} ms"
    return (vm.record.vm_id, vm.revision, age, "current" if vm.current else "unconfirmed")
