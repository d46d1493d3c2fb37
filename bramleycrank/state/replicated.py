"""The replicated state machine."""

from __future__ import annotations

from bramleycrank.proto.log_pb2 import Command, CommandResult, Entry
from bramleycrank.state.claims import ClaimTable
from bramleycrank.state.config_state import ConfigState


class ReplicatedState:
    """Configuration and claims; equal logs give equal states on every node."""

    config: ConfigState
    claims: ClaimTable

    def apply(self, entry: Entry) -> CommandResult:
        """Apply a committed entry; entries without a command change nothing."""
        raise NotImplementedError

    def image(self) -> bytes:
        """Return the serialized state image."""
        raise NotImplementedError

    @classmethod
    def from_image(cls, data: bytes) -> ReplicatedState:
        """Build the state from an image; empty data gives the empty state."""
        raise NotImplementedError

    def floor_proposal(self, now_ms: int) -> Command | None:
        """Return the command that moves the claims floor, if it should move."""
        raise NotImplementedError
