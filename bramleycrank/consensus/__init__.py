"""Raft core of the replicated log, without network or disk access."""

from bramleycrank.consensus.node import RaftNode
from bramleycrank.consensus.types import *  # noqa: F403
from bramleycrank.consensus.types import __all__ as _types

__all__ = [*_types, "RaftNode"]
