"""The consensus node: one member of the replicated log."""

from __future__ import annotations

import random
from collections.abc import Sequence

from bramleycrank.consensus.types import (
    Action,
    DurableState,
    MembershipChange,
    Proposal,
    RaftConfig,
    Role,
)
from bramleycrank.proto.log_pb2 import ConsensusMessage, Membership


class RaftNode:
    """A node of the replicated log; every method returns the actions to execute in order."""

    @classmethod
    def from_config(
        cls, cfg: RaftConfig, durable: DurableState, rng: random.Random, now: float
    ) -> RaftNode:
        """Build a node; the caller restores its state machine from ``durable.snapshot`` itself."""
        raise NotImplementedError

    def bootstrap(self, membership: Membership, now: float) -> list[Action]:
        """Make an empty node a member of a new cluster; raises ``AlreadyBootstrapped``."""
        raise NotImplementedError

    def receive(self, msg: ConsensusMessage, now: float) -> list[Action]:
        """Handle a message of another node."""
        raise NotImplementedError

    def propose(self, proposals: Sequence[Proposal], now: float) -> list[Action]:
        """Append commands; all of one call are persisted together."""
        raise NotImplementedError

    def tick(self, now: float) -> list[Action]:
        """Do what is due at ``now``."""
        raise NotImplementedError

    def change_membership(
        self, proposal_id: str, change: MembershipChange, now: float
    ) -> list[Action]:
        """Start a membership change; its outcome is that of a proposal."""
        raise NotImplementedError

    def transfer_leadership(self, now: float) -> list[Action]:
        """Hand the leadership to the most caught-up voter."""
        raise NotImplementedError

    def read_index(self, read_id: str, now: float) -> list[Action]:
        """Ask for a quorum-confirmed read."""
        raise NotImplementedError

    def compact(self, index: int, image: bytes) -> list[Action]:
        """Replace the log up to an applied index by an image of the state machine."""
        raise NotImplementedError

    def next_deadline(self) -> float:
        """Return the time of the next needed tick."""
        raise NotImplementedError

    def dump(self) -> dict[str, object]:
        """Return the node's state for operators."""
        raise NotImplementedError

    @property
    def role(self) -> Role:
        """Current role."""
        raise NotImplementedError

    @property
    def term(self) -> int:
        """Current term."""
        raise NotImplementedError

    @property
    def leader_id(self) -> str:
        """Node id of the known leader, empty if unknown."""
        raise NotImplementedError

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry."""
        raise NotImplementedError

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        raise NotImplementedError

    @property
    def membership(self) -> Membership:
        """Membership in effect: the newest one in the log."""
        raise NotImplementedError

    @property
    def confirmed_at(self) -> float | None:
        """Time at which a quorum confirmed the leadership; ``None`` unless leading."""
        raise NotImplementedError
