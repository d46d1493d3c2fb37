"""Replicated-log core: Raft without input or output."""

from bramleycrank.consensus.node import RaftNode
from bramleycrank.consensus.types import *  # noqa: F403
from bramleycrank.consensus.types import __all__ as _types

__all__ = [*_types, "RaftNode"]
