"""Commands for targets."""

from __future__ import annotations

from bramleycrank.cli.arguments import command
from bramleycrank.cli.context import Context, DeferredCommand
from bramleycrank.cli.output import message_to_dict, table
from bramleycrank.proto import operator_pb2 as pb
from bramleycrank.proto import target_pb2


class TargetCommands:
    """Shows the targets that a VM knows."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @command
    def list(self, service: str = "") -> DeferredCommand:
        """List targets with state, home VM and replicas (version/shard of shard count).

        Parameters
        ----------
        service : str
            Service name; empty: all.
        """

        async def run() -> None:
            async with self._context.operator() as client:
                request = pb.ListTargetsRequest(service=service)
                reply = await client.call("ListTargets", request)
            headers = ("TARGET", "SERVICE", "DOMAIN", "ADDRESS", "STATE", "HOME", "REPLICAS")
            rows = [_target_row(t) for t in sorted(reply.targets, key=lambda t: t.target_id)]
            self._context.show(message_to_dict(reply), table(headers, rows))

        return DeferredCommand(run)


def _target_row(target: target_pb2.TargetRecord) -> tuple[object, ...]:
    state = target_pb2.TargetState.Name(target.state).removeprefix("TARGET_STATE_").lower()
    replicas = (
        f"{r.snapshot.version}/{r.shard} of {r.snapshot.shard_count}" for r in target.replicas
    )
    return (
        target.target_id,
        target.service,
        target.domain,
        f"{target.host}:{target.port}",
        state,
        target.home_vm or "-",
        ", ".join(replicas) or "-",
    )
