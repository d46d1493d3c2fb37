"""The grpclib server of the target registry."""

from __future__ import annotations

from bramleycrank.daemon.membership_controller import MembershipController
from bramleycrank.proto.target_grpc import RegistryBase
from bramleycrank.proto.target_pb2 import (
    AnnounceReply,
    AnnounceRequest,
    LeaveReply,
    LeaveRequest,
)
from bramleycrank.transport.grpc_errors import unary


class RegistryService(RegistryBase):
    """Receives the announcements of targets.

    Parameters
    ----------
    membership : MembershipController
        Maintains the registry of targets.
    """

    def __init__(self, membership: MembershipController) -> None:
        self._membership = membership

    @unary
    async def Announce(self, request: AnnounceRequest) -> AnnounceReply:  # noqa: N802
        """Register a target or renew its lease."""
        return await self._membership.announce(request)

    @unary
    async def Leave(self, request: LeaveRequest) -> LeaveReply:  # noqa: N802
        """Record that a target is leaving."""
        return await self._membership.leave_target(request)
