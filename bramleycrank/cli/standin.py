"""Commands that control stand-in targets."""

from __future__ import annotations

from typing import Any

from bramleycrank.cli.arguments import command, invalid_argument, split_commas
from bramleycrank.cli.context import CALL_TIMEOUT_S, Context, DeferredCommand, open_channel
from bramleycrank.cli.output import message_to_dict, table
from bramleycrank.proto import standin_pb2 as pb
from bramleycrank.proto.standin_grpc import StandInStub
from bramleycrank.proto.target_pb2 import Replica, Snapshot
from bramleycrank.transport.grpc_errors import call


class StandInCommands:
    """Controls the stand-in targets of a process through its control address."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @command
    def fault(
        self,
        control: str,
        target: str = "",
        latency_ms: float = 0.0,
        straggler_share: float = 0.0,
        straggler_factor: float = 0.0,
        shed_share: float = 0.0,
        fail_share: float = 0.0,
        frozen: bool = False,
        silent_share: float = 0.0,
        reset: bool = False,
    ) -> DeferredCommand:
        """Add faults; values of 0 change nothing, `--reset` clears earlier faults first.

        Parameters
        ----------
        control : str
            Control address host:port of the process.
        target : str
            Target id; empty: all targets of the process.
        latency_ms : float
            New median service time in ms.
        straggler_share : float
            Share of sub-requests that are stragglers, 0 to 1.
        straggler_factor : float
            Factor on the service time of stragglers; initially 20.
        shed_share : float
            Share of sub-requests that are shed, 0 to 1.
        fail_share : float
            Share of sub-requests that fail, 0 to 1.
        frozen : bool
            Send nothing and keep connections open.
        silent_share : float
            Share of the open connections that become silent permanently, 0 to 1.
        reset : bool
            Clear all faults first; silent connections stay silent.
        """
        request = pb.FaultRequest(
            target_id=target,
            latency_ms=latency_ms,
            straggler_share=straggler_share,
            straggler_factor=straggler_factor,
            shed_share=shed_share,
            fail_share=fail_share,
            frozen=frozen,
            silent_share=silent_share,
            reset=reset,
        )
        return self._send(control, "SetFault", request)

    @command
    def replicas(
        self, control: str, target: str, version: int, shard_count: int, shards: str = ""
    ) -> DeferredCommand:
        """Replace the replicas of a target.

        Parameters
        ----------
        control : str
            Control address host:port of the process.
        target : str
            Target id.
        version : int
            Index version of all replicas.
        shard_count : int
            Shards of the snapshot.
        shards : str
            Shards held, separated by commas; empty: none.
        """
        snapshot = Snapshot(version=version, shard_count=shard_count)
        held = split_commas(shards)
        if not all(shard.isdigit() for shard in held):
            raise invalid_argument(f"shards: {shards!r} is not a list of numbers")
        replicas = [Replica(snapshot=snapshot, shard=int(shard)) for shard in held]
        request = pb.SetReplicasRequest(target_id=target, replicas=replicas)
        return self._send(control, "SetReplicas", request)

    @command
    def drain(self, control: str, target: str = "") -> DeferredCommand:
        """Drain a target: it refuses new sub-requests and announces that it leaves.

        Parameters
        ----------
        control : str
            Control address host:port of the process.
        target : str
            Target id; empty: all targets of the process.
        """
        return self._send(control, "Drain", pb.DrainRequest(target_id=target))

    @command
    def stats(self, control: str) -> DeferredCommand:
        """Show the counters of all targets of a process.

        Parameters
        ----------
        control : str
            Control address host:port of the process.
        """

        async def run() -> None:
            reply = await _call(control, "Stats", pb.StatsRequest())
            headers = ("TARGET", "RECEIVED", "EXECUTED", "SHED", "CANCELLED", "CONNECTIONS")
            rows = [
                (t.target_id, t.received, t.executed, t.shed, t.cancelled, t.open_connections)
                for t in reply.targets
            ]
            self._context.show(message_to_dict(reply), table(headers, rows))

        return DeferredCommand(run)

    def _send(self, control: str, method: str, request: Any) -> DeferredCommand:
        async def run() -> None:
            await _call(control, method, request)
            self._context.show({"result": "ok"}, "ok")

        return DeferredCommand(run)


async def _call(control: str, method: str, request: Any) -> Any:
    async with open_channel(control, "control") as conn:
        return await call(getattr(StandInStub(conn), method), request, timeout_s=CALL_TIMEOUT_S)
