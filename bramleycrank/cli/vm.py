"""Commands for VMs and voters of the replicated log."""

from __future__ import annotations

from bramleycrank.cli.arguments import command, invalid_argument, split_commas
from bramleycrank.cli.config import leader_line
from bramleycrank.cli.context import (
    TIMEOUT_MARGIN_S,
    Context,
    DeferredCommand,
    new_change_id,
    parse_address,
)
from bramleycrank.cli.output import message_to_dict, table
from bramleycrank.proto import operator_pb2 as pb
from bramleycrank.proto import peer_pb2

MEMBER_TIMEOUT_MS = 30_000
BOOTSTRAP_TIMEOUT_S = 30.0


class VmCommands:
    """Shows and changes VMs and voters."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @command
    def list(self) -> DeferredCommand:
        """List all known VMs with state, role and revision, and the members of the log."""

        async def run() -> None:
            async with self._context.operator() as client:
                reply = await client.call("Status", pb.StatusRequest())
            headers = ("VM", "DOMAIN", "ADDRESS", "STATE", "ROLE", "REVISION")
            vms = table(headers, [_vm_row(vm) for vm in reply.vms])
            text = f"{leader_line(reply)}\n{vms}\n\n{_members_table(reply.membership)}"
            self._context.show(message_to_dict(reply), text)

        return DeferredCommand(run)

    status = list

    @command
    def bootstrap(self, addresses: str) -> DeferredCommand:
        """Bootstrap the first voters on empty data folders; needed once for the whole system.

        Parameters
        ----------
        addresses : str
            gRPC addresses host:port of all first voters, the server's own included, separated by
            commas.
        """
        parsed = [str(parse_address(text, "addresses")) for text in split_commas(addresses)]
        if not parsed:
            raise invalid_argument("addresses: name at least one VM")
        return self._change("Bootstrap", pb.BootstrapRequest(addresses=parsed), BOOTSTRAP_TIMEOUT_S)

    @command
    def drain(self, vm_id: str, change_id: str = "") -> DeferredCommand:
        """Take a VM out of service gracefully; its process keeps running.

        Parameters
        ----------
        vm_id : str
            Name of the VM.
        change_id : str
            Id of an earlier attempt, to resend it; empty: a new one.
        """
        return self._drain(vm_id, True, change_id)

    @command
    def undrain(self, vm_id: str, change_id: str = "") -> DeferredCommand:
        """Put a drained VM back into service.

        Parameters
        ----------
        vm_id : str
            Name of the VM.
        change_id : str
            Id of an earlier attempt, to resend it; empty: a new one.
        """
        return self._drain(vm_id, False, change_id)

    @command
    def add_voter(self, address: str, timeout_ms: int = MEMBER_TIMEOUT_MS) -> DeferredCommand:
        """Add a VM as a learner and promote it once it has caught up.

        Parameters
        ----------
        address : str
            gRPC address host:port of the VM.
        timeout_ms : int
            Timeout in ms.
        """
        parsed = str(parse_address(address, "address"))
        request = pb.MemberRequest(address=parsed, timeout_ms=timeout_ms)
        return self._change("AddVoter", request, timeout_ms / 1000 + TIMEOUT_MARGIN_S)

    @command
    def remove_voter(self, node_id: str, timeout_ms: int = MEMBER_TIMEOUT_MS) -> DeferredCommand:
        """Remove a voter or learner.

        Parameters
        ----------
        node_id : str
            Node id as `vm list` shows it, such as vm1/2f0c.
        timeout_ms : int
            Timeout in ms.
        """
        request = pb.MemberRequest(node_id=node_id, timeout_ms=timeout_ms)
        return self._change("RemoveVoter", request, timeout_ms / 1000 + TIMEOUT_MARGIN_S)

    @command
    def replace_voter(
        self, node_id: str, address: str, timeout_ms: int = MEMBER_TIMEOUT_MS
    ) -> DeferredCommand:
        """Add and promote a VM, then remove an old voter.

        Parameters
        ----------
        node_id : str
            Node id of the voter to remove, as `vm list` shows it.
        address : str
            gRPC address host:port of the new VM.
        timeout_ms : int
            Timeout in ms.
        """
        parsed = str(parse_address(address, "address"))
        request = pb.MemberRequest(address=parsed, node_id=node_id, timeout_ms=timeout_ms)
        return self._change("ReplaceVoter", request, timeout_ms / 1000 + TIMEOUT_MARGIN_S)

    def _drain(self, vm_id: str, drained: bool, change_id: str) -> DeferredCommand:
        async def run() -> None:
            request = pb.DrainRequest(
                vm_id=vm_id, drained=drained, change_id=new_change_id(change_id)
            )
            async with self._context.operator() as client:
                reply = await client.call("DrainVm", request)
            data = {**message_to_dict(reply), "change_id": request.change_id}
            self._context.show(data, f"accepted: revision {reply.revision}")

        return DeferredCommand(run)

    def _change(self, method: str, request: object, timeout_s: float) -> DeferredCommand:
        async def run() -> None:
            async with self._context.operator() as client:
                reply = await client.call(method, request, timeout_s)
            self._context.show(message_to_dict(reply), _members_table(reply.membership))

        return DeferredCommand(run)


def _vm_row(vm: pb.VmStatus) -> tuple[object, ...]:
    record = vm.record
    state = peer_pb2.VmState.Name(record.state).removeprefix("VM_STATE_").lower()
    return (
        record.vm_id,
        record.domain,
        f"{record.host}:{record.port}",
        state if vm.reachable else f"{state}, unreachable",
        vm.role or "-",
        vm.revision if vm.reachable else "-",
    )


def _members_table(membership) -> str:
    """Return the members of the replicated log as a table."""
    rows = [
        (m.node_id, m.domain, f"{m.host}:{m.port}", "voter" if m.voter else "learner")
        for m in membership.members
    ]
    return table(("NODE", "DOMAIN", "ADDRESS", "MEMBER"), rows)
