"""Follower side of replication: entries and snapshots received from the leader."""

from __future__ import annotations

from bramleycrank.consensus.core import NodeCore
from bramleycrank.proto.log_pb2 import (
    AppendReply,
    AppendRequest,
    ConsensusMessage,
    InstallSnapshotReply,
)


class FollowerLog:
    """Applies the leader's entries and snapshots to the own log."""

    def __init__(self, core: NodeCore) -> None:
        self._core = core

    def on_append(self, msg: ConsensusMessage) -> None:
        """Append the missing entries and advance the commit index toward the leader's."""
        core, req = self._core, msg.append_request
        if core.log.snapshot is None and req.prev_index == 0:
            # Only a snapshot carries the cluster id and the first membership.
            self._refuse(msg, 1)
            return
        if req.prev_index < core.commit_index:
            # Committed entries equal the leader's. The message is delayed, or the leader does not
            # yet know the commit index of this node.
            self._accept(msg, core.commit_index)
            return
        if core.log.term_at(req.prev_index) != req.prev_term:
            self._refuse(msg, self._conflict_index(req))
            return
        self._append_missing(req)
        last = req.prev_index + len(req.entries)
        # The log is known to equal the leader's only up to the last entry of this message.
        core.commit_to(min(req.commit_index, last))
        # Only the leader of a term creates entries of it, so a log that ends with one of its own
        # equals the leader's. A heartbeat is thus answered with what earlier replies said, which
        # may have been lost.
        self._accept(msg, core.log.last_index if core.log.last_term == core.term else last)

    def on_snapshot(self, msg: ConsensusMessage) -> None:
        """Install a snapshot, unless the log already holds the entries that it covers."""
        core, snapshot = self._core, msg.install_snapshot.snapshot
        if snapshot.index > core.commit_index:
            if core.log.snapshot is not None and (
                core.log.term_at(snapshot.index) == snapshot.term
            ):
                core.commit_to(snapshot.index)
            else:
                core.restore(snapshot)
        reply = InstallSnapshotReply(
            match_index=core.commit_index, round=msg.install_snapshot.round
        )
        core.send(msg.sender, install_snapshot_reply=reply)

    def _append_missing(self, req: AppendRequest) -> None:
        """Append missing entries; existing ones are dropped only if their terms differ."""
        log = self._core.log
        for position, entry in enumerate(req.entries):
            term = log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                self._core.truncate_from(entry.index)
            self._core.append(list(req.entries[position:]))
            return

    def _conflict_index(self, req: AppendRequest) -> int:
        log = self._core.log
        if req.prev_index > log.last_index:
            return log.last_index + 1
        first_of_term = log.first_index_of_term(req.prev_index)
        return max(first_of_term, self._core.commit_index + 1)

    def _accept(self, msg: ConsensusMessage, match_index: int) -> None:
        reply = AppendReply(success=True, match_index=match_index, round=msg.append_request.round)
        self._core.send(msg.sender, append_reply=reply)

    def _refuse(self, msg: ConsensusMessage, conflict_index: int) -> None:
        reply = AppendReply(
            success=False, conflict_index=conflict_index, round=msg.append_request.round
        )
        self._core.send(msg.sender, append_reply=reply)
