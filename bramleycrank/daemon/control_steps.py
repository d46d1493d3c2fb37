"""Steps of the life cycle that concern the control plane, whatever the VM serves."""

from __future__ import annotations

from typing import Protocol

from bramleycrank.daemon.consensus_controller import ConsensusController
from bramleycrank.daemon.membership_controller import MembershipController


class Control(Protocol):
    """The parts of the control plane that a node built."""

    membership: MembershipController
    consensus: ConsensusController


class ControlSteps:
    """Base of the nodes; they set `_parts` once the parts are built."""

    def __init__(self) -> None:
        self._parts: Control | None = None
        self._in_gossip = False

    def set_draining(self, draining: bool) -> None:
        """Tell the other VMs and the targets whether this VM is draining."""
        if draining:
            self._parts.membership.drain()
        else:
            self._parts.membership.resume()

    async def transfer_leadership(self) -> None:
        """Hand the leadership over, if this VM leads."""
        if self._parts is not None:
            await self._parts.consensus.transfer_leadership()

    async def leave(self) -> None:
        """Tell the other VMs that this VM has left.

        A second process that was started with the same settings by mistake must not say so.
        """
        if self._in_gossip:
            await self._parts.membership.leave()
