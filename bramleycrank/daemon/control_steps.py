"""Steps of the life cycle that all kinds of nodes share."""

from __future__ import annotations

from typing import Protocol

from bramleycrank.daemon.consensus_controller import ConsensusController
from bramleycrank.daemon.membership_controller import MembershipController


class Control(Protocol):
    """The parts of the control plane that the steps use."""

    membership: MembershipController
    consensus: ConsensusController


class ControlSteps:
    """Base class of nodes, which set `_parts` when they have built their parts."""

    def __init__(self) -> None:
        self._parts: Control | None = None
        self._in_gossip = False

    def set_draining(self, draining: bool) -> None:
        """Announce to the other VMs and the targets whether this VM is draining."""
        if draining:
            self._parts.membership.drain()
        else:
            self._parts.membership.resume()

    async def transfer_leadership(self) -> None:
        """Transfer the leadership to another VM, if this VM leads."""
        if self._parts is not None:
            await self._parts.consensus.transfer_leadership()

    async def leave(self) -> None:
        """Announce to the other VMs that this VM has left.

        Does nothing before this process has joined gossip: a second process that was started by
        mistake with the same settings must not announce the first one as left.
        """
        if self._in_gossip:
            await self._parts.membership.leave()
