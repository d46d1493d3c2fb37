"""Replicated state machine and the follower that keeps each VM's configuration up to date."""

from bramleycrank.state.claims import ClaimTable
from bramleycrank.state.config_state import ConfigState
from bramleycrank.state.follower import ConfigFollower
from bramleycrank.state.replicated import ReplicatedState, with_leaves
from bramleycrank.state.target_leaves import LeaveTable, is_recordable
from bramleycrank.state.types import ConfigInForce, FetchConfig, FollowerAction, FollowerConfig

__all__ = [
    "ClaimTable",
    "ConfigFollower",
    "ConfigInForce",
    "ConfigState",
    "FetchConfig",
    "FollowerAction",
    "FollowerConfig",
    "LeaveTable",
    "ReplicatedState",
    "is_recordable",
    "with_leaves",
]
