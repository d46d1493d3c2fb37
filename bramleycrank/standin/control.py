"""Control service of a stand-in process: faults, replica sets, drain and counters."""

from __future__ import annotations

from collections.abc import Mapping

from bramleycrank.exceptions import InvalidRequest, NotFound, Outcome
from bramleycrank.proto import standin_pb2 as pb
from bramleycrank.proto import target_pb2
from bramleycrank.proto.standin_grpc import StandInBase
from bramleycrank.standin.target import StandInTarget
from bramleycrank.transport.grpc_errors import unary

SHARE_FIELDS = ("straggler_share", "shed_share", "fail_share", "silent_share")


class StandInService(StandInBase):
    """Serves `StandIn` for all targets of the process.

    Parameters
    ----------
    targets : Mapping of str to StandInTarget
        Targets by id.
    """

    def __init__(self, targets: Mapping[str, StandInTarget]) -> None:
        self._targets = targets

    @unary
    async def SetFault(self, request: pb.FaultRequest) -> pb.Empty:  # noqa: N802
        """Apply a fault to one target or to all."""
        if any(not 0 <= getattr(request, name) <= 1 for name in SHARE_FIELDS):
            raise _invalid_request("a share must be between 0 and 1")
        if request.latency_ms < 0 or request.straggler_factor < 0:
            raise _invalid_request("a time or factor must not be negative")
        for target in self._select_targets(request.target_id):
            target.set_fault(request)
        return pb.Empty()

    @unary
    async def SetReplicas(self, request: pb.SetReplicasRequest) -> pb.Empty:  # noqa: N802
        """Replace the replicas of one target."""
        if not request.target_id:
            raise _invalid_request("target_id is required")
        if any(r.shard >= r.snapshot.shard_count for r in request.replicas):
            raise _invalid_request("a shard must be below its shard_count")
        for target in self._select_targets(request.target_id):
            target.set_replicas(request.replicas)
        return pb.Empty()

    @unary
    async def Drain(self, request: pb.DrainRequest) -> pb.Empty:  # noqa: N802
        """Set one target, or all, to the state LEAVING."""
        for target in self._select_targets(request.target_id):
            target.set_state(target_pb2.TARGET_STATE_LEAVING)
        return pb.Empty()

    @unary
    async def Stats(self, request: pb.StatsRequest) -> pb.StatsReply:  # noqa: N802
        """Return the counters of all targets."""
        return pb.StatsReply(targets=[t.stats() for t in self._targets.values()])

    def _select_targets(self, target_id: str) -> list[StandInTarget]:
        if not target_id:
            return list(self._targets.values())
        if target_id not in self._targets:
            raise NotFound(f"no target {target_id!r} in this process", outcome=Outcome.NOT_RUN)
        return [self._targets[target_id]]


def _invalid_request(message: str) -> InvalidRequest:
    return InvalidRequest(message, outcome=Outcome.NOT_RUN)
