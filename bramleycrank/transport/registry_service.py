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
    """Takes announcements of targets.

    Parameters
    ----------
    membership : MembershipController
        Owner of the registry.
    """

    def __init__(self, membership: MembershipController) -> None:
        self._membership = membership

    @unary
    async def Announce(self, request: AnnounceRequest) -> AnnounceReply:  # noqa: N802
        """Take an announcement or a renewal."""
        return await self._membership.announce(request)

    @unary
    async def Leave(self, request: LeaveRequest) -> LeaveReply:  # noqa: N802
        """Record that a target leaves."""
        return await self._membership.leave_target(request)
