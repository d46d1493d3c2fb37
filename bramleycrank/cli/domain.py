"""Commands for failure domains."""

from __future__ import annotations

from bramleycrank.cli.arguments import command
from bramleycrank.cli.context import Context, DeferredCommand, new_change_id
from bramleycrank.cli.output import message_to_dict, table
from bramleycrank.proto import operator_pb2 as pb


class DomainCommands:
    """Shows, evacuates and restores failure domains."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @command
    def list(self) -> DeferredCommand:
        """List all known failure domains with their VMs and targets."""

        async def run() -> None:
            async with self._context.operator() as client:
                reply = await client.call("ListDomains", pb.ListDomainsRequest())
            rows = [
                (
                    item.domain,
                    "evacuated" if item.evacuated else "in use",
                    item.vms,
                    item.targets,
                    item.revision or "-",
                )
                for item in reply.domains
            ]
            headers = ("DOMAIN", "STATE", "VMS", "TARGETS", "REVISION")
            self._context.show(message_to_dict(reply), table(headers, rows))

        return DeferredCommand(run)

    @command
    def evacuate(self, domain: str, change_id: str = "") -> DeferredCommand:
        """Send nothing more to the targets of a failure domain; its VMs serve callers on.

        Parameters
        ----------
        domain : str
            Name of the failure domain.
        change_id : str
            Id of an earlier attempt, to resend it; empty: a new one.
        """
        return self._set(domain, True, change_id)

    @command
    def restore(self, domain: str, change_id: str = "") -> DeferredCommand:
        """Use the targets of an evacuated failure domain again.

        Parameters
        ----------
        domain : str
            Name of the failure domain.
        change_id : str
            Id of an earlier attempt, to resend it; empty: a new one.
        """
        return self._set(domain, False, change_id)

    def _set(self, domain: str, evacuated: bool, change_id: str) -> DeferredCommand:
        async def run() -> None:
            request = pb.DomainRequest(
                domain=domain, evacuated=evacuated, change_id=new_change_id(change_id)
            )
            async with self._context.operator() as client:
                reply = await client.call("SetDomain", request)
            data = {**message_to_dict(reply), "change_id": request.change_id}
            self._context.show(data, f"accepted: revision {reply.revision}")

        return DeferredCommand(run)
