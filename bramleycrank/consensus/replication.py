"""Replication of a leader's log to the other members."""

from __future__ import annotations

from collections.abc import Callable

from bramleycrank.consensus import quorum
from bramleycrank.consensus.core import NodeCore
from bramleycrank.consensus.progress import Progress
from bramleycrank.proto.log_pb2 import AppendReply, AppendRequest, InstallSnapshot

# Messages with entries that may be unanswered for one member.
APPEND_WINDOW = 4


class Replication:
    """Sends entries, heartbeats and snapshots, and tracks the members' progress.

    A heartbeat starts a new round. An answered round proves that the member followed this leader
    after the round started, which confirms the leadership for reads.
    """

    def __init__(self, core: NodeCore) -> None:
        self._core = core
        self.round = 0
        self.confirmed_round = 0
        self.confirmed_at: float | None = None
        self.heartbeat_due = core.now
        self._round_starts: dict[int, float] = {}
        self.progress: dict[str, Progress] = {}
        self.update_members()

    def update_members(self) -> None:
        """Track new members, and mark removed ones until their removal is committed."""
        core = self._core
        members = [m.node_id for m in core.log.membership.members if m.node_id != core.node_id]
        # In the order of the membership: that of a set would differ from run to run.
        for node_id in members:
            if node_id not in self.progress:
                progress = Progress(next_index=core.log.last_index + 1, heard_at=core.now)
                self.progress[node_id] = progress
        for node_id, progress in self.progress.items():
            gone = node_id not in members
            progress.removed_at = (progress.removed_at or core.log.last_index) if gone else 0

    def drop_removed(self) -> None:
        """Send the committed removal to removed members and forget them."""
        commit = self._core.commit_index
        for node_id, progress in list(self.progress.items()):
            if progress.removed_at and progress.removed_at <= commit:
                # One message with all that is unanswered, since its order is not certain.
                progress.next_index, progress.probing = progress.match_index + 1, True
                self.send_to(node_id, progress)
                del self.progress[node_id]

    def broadcast_entries(self) -> None:
        """Send new entries to all members that are ready for them."""
        for node_id, progress in self.progress.items():
            self.send_entries(node_id, progress)

    def start_round(self) -> None:
        """Send a heartbeat of a new round to all members."""
        self.round += 1
        self._round_starts[self.round] = self._core.now
        self.heartbeat_due = self._core.now + self._core.cfg.heartbeat_s
        for node_id, progress in self.progress.items():
            self.send_to(node_id, progress)
        self.update_confirmed()

    def send_to(self, node_id: str, progress: Progress) -> None:
        """Send what the member needs next, or an empty append."""
        if not self.send_entries(node_id, progress):
            self._send_append(node_id, progress, 0)

    def send_entries(self, node_id: str, progress: Progress) -> bool:
        """Send entries or a snapshot as far as the window allows; returns whether any went out."""
        core, log = self._core, self._core.log
        if progress.snapshot_due is not None and core.now < progress.snapshot_due:
            return False
        if log.term_at(progress.next_index - 1) is None:
            return self._send_snapshot(node_id, progress)
        sent, limit = False, core.cfg.max_entries_per_append
        while progress.next_index <= log.last_index:
            in_flight = progress.next_index - progress.match_index - 1
            if not progress.probing and in_flight >= APPEND_WINDOW * limit:
                break
            count = min(limit, log.last_index + 1 - progress.next_index)
            self._send_append(node_id, progress, count)
            sent = True
            if progress.probing:
                break
            progress.next_index += count
        return sent

    def on_append_reply(self, node_id: str, reply: AppendReply) -> None:
        """Record a member's answer to an append and send what follows from it."""
        progress = self.progress[node_id]
        self._heard(progress, reply.round)
        if reply.success:
            progress.on_match(reply.match_index)
            if self._core.log.term_at(progress.next_index - 1) is not None:
                progress.snapshot_due = None
            self.send_entries(node_id, progress)
        elif progress.snapshot_due is None and progress.on_conflict(reply.conflict_index):
            self.send_entries(node_id, progress)

    def on_snapshot_reply(self, node_id: str, match_index: int, answered: int) -> None:
        """Record that a member has the snapshot and send the entries after it."""
        progress = self.progress[node_id]
        self._heard(progress, answered)
        progress.snapshot_due = None
        progress.on_match(match_index)
        self.send_entries(node_id, progress)

    def matched(self) -> int:
        """Return the highest index that a majority of the voters has synced."""
        own = self._core.log.last_index
        return int(self._quorum_of(own, lambda progress: progress.match_index))

    def heard_quorum_at(self) -> float:
        """Return the latest time since which a majority of the voters has answered."""
        return self._quorum_of(self._core.now, lambda progress: progress.heard_at)

    def heard_since(self, since: float) -> list[str]:
        """Return this node and the members that answered at ``since`` or later.

        ``heard_at`` of a member that never answered is the start of its tracking, which gives it
        time to answer and proves nothing.
        """
        heard = [
            node_id
            for node_id, progress in self.progress.items()
            if progress.acked_round and progress.heard_at >= since
        ]
        return [self._core.node_id, *heard]

    def update_confirmed(self) -> None:
        """Find the newest round that a majority of the voters answered."""
        newest = int(self._quorum_of(self.round, lambda progress: progress.acked_round))
        if newest > self.confirmed_round:
            self.confirmed_round = newest
            self.confirmed_at = self._round_starts[newest]
            old = [number for number in self._round_starts if number < newest]
            for number in old:
                del self._round_starts[number]

    def _quorum_of(self, own: float, value: Callable[[Progress], float]) -> float:
        """Return what a majority of the voters reached; the own value counts if it is a voter."""
        core = self._core
        values = [
            own if node_id == core.node_id else value(self.progress[node_id])
            for node_id in quorum.voters(core.log.membership)
        ]
        return quorum.quorum_value(values)

    def _heard(self, progress: Progress, answered: int) -> None:
        progress.heard_at = self._core.now
        progress.acked_round = max(progress.acked_round, answered)
        self.update_confirmed()

    def _send_append(self, node_id: str, progress: Progress, count: int) -> None:
        core, log = self._core, self._core.log
        prev = progress.next_index - 1
        prev_term = log.term_at(prev)
        if prev_term is None:
            # The member waits for a snapshot; this only keeps it from starting an election.
            prev, prev_term = log.snapshot_index, log.snapshot.term
        req = AppendRequest(
            prev_index=prev,
            prev_term=prev_term,
            entries=log.between(prev + 1, prev + count),
            commit_index=core.commit_index,
            round=self.round,
        )
        core.send(node_id, append_request=req)

    def _send_snapshot(self, node_id: str, progress: Progress) -> bool:
        core = self._core
        if core.now - progress.heard_at > core.cfg.election_timeout_s[1]:
            # The image may be large; an empty append finds out whether the member answers again.
            return False
        progress.snapshot_due = core.now + core.cfg.snapshot_retry_s
        req = InstallSnapshot(snapshot=core.log.snapshot, round=self.round)
        core.send(node_id, install_snapshot=req)
        return True
