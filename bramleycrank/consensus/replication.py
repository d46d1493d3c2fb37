"""Leader side of replication to the other members."""

from __future__ import annotations

from collections.abc import Callable

from bramleycrank.consensus import quorum
from bramleycrank.consensus.core import NodeCore
from bramleycrank.consensus.progress import Progress
from bramleycrank.proto.log_pb2 import AppendReply, AppendRequest, InstallSnapshot

# Append messages with entries that may be in flight to one member.
APPEND_WINDOW_MESSAGES = 4


class Replication:
    """Sends entries, heartbeats and snapshots, and tracks the members' progress.

    Each heartbeat starts a new round. A reply to a round proves that the member followed this
    leader after the round started; replies of a majority confirm the leadership for reads.
    """

    def __init__(self, core: NodeCore) -> None:
        self._core = core
        self.round = 0
        self.confirmed_round = 0
        self.confirmed_at: float | None = None
        self.heartbeat_due = core.now
        self._round_started_at: dict[int, float] = {}
        self.progress: dict[str, Progress] = {}
        self.update_members()

    def update_members(self) -> None:
        """Track new members, and mark removed members until their removal is committed."""
        core = self._core
        members = [m.node_id for m in core.log.membership.members if m.node_id != core.node_id]
        # In the order of the membership; the order of a set would differ from run to run.
        for node_id in members:
            if node_id not in self.progress:
                progress = Progress(next_index=core.log.last_index + 1, heard_at=core.now)
                self.progress[node_id] = progress
        for node_id, progress in self.progress.items():
            is_removed = node_id not in members
            progress.removed_at = (progress.removed_at or core.log.last_index) if is_removed else 0

    def drop_removed_members(self) -> None:
        """Send the committed removal to removed members and stop tracking them."""
        commit = self._core.commit_index
        for node_id, progress in list(self.progress.items()):
            if progress.removed_at and progress.removed_at <= commit:
                # Messages may be reordered, so one message carries all unacknowledged entries.
                progress.next_index, progress.probing = progress.match_index + 1, True
                self.send_entries_or_heartbeat(node_id, progress)
                del self.progress[node_id]

    def broadcast_entries(self) -> None:
        """Send new entries to all members as far as their windows allow."""
        for node_id, progress in self.progress.items():
            self.send_entries(node_id, progress)

    def start_round(self) -> None:
        """Start a new round by sending a heartbeat to all members."""
        self.round += 1
        self._round_started_at[self.round] = self._core.now
        self.heartbeat_due = self._core.now + self._core.cfg.heartbeat_s
        for node_id, progress in self.progress.items():
            self.send_entries_or_heartbeat(node_id, progress)
        self.update_confirmed_round()

    def send_entries_or_heartbeat(self, node_id: str, progress: Progress) -> None:
        """Send the next entries or snapshot, or an empty append if nothing is due."""
        if not self.send_entries(node_id, progress):
            self._send_append(node_id, progress, 0)

    def send_entries(self, node_id: str, progress: Progress) -> bool:
        """Send entries or a snapshot as far as the window allows; returns whether any was sent."""
        core, log = self._core, self._core.log
        if progress.snapshot_due is not None and core.now < progress.snapshot_due:
            return False
        if log.term_at(progress.next_index - 1) is None:
            return self._send_snapshot(node_id, progress)
        sent, limit = False, core.cfg.max_entries_per_append
        while progress.next_index <= log.last_index:
            in_flight = progress.next_index - progress.match_index - 1
            if not progress.probing and in_flight >= APPEND_WINDOW_MESSAGES * limit:
                break
            count = min(limit, log.last_index + 1 - progress.next_index)
            self._send_append(node_id, progress, count)
            sent = True
            if progress.probing:
                break
            progress.next_index += count
        return sent

    def on_append_reply(self, node_id: str, reply: AppendReply) -> None:
        """Record a member's reply to an append and send further entries."""
        progress = self.progress[node_id]
        self._record_reply(progress, reply.round)
        if reply.success:
            progress.on_match(reply.match_index)
            if self._core.log.term_at(progress.next_index - 1) is not None:
                progress.snapshot_due = None
            self.send_entries(node_id, progress)
        elif progress.snapshot_due is None and progress.on_conflict(reply.conflict_index):
            self.send_entries(node_id, progress)

    def on_snapshot_reply(self, node_id: str, match_index: int, reply_round: int) -> None:
        """Record that a member has installed the snapshot and send the entries after it."""
        progress = self.progress[node_id]
        self._record_reply(progress, reply_round)
        progress.snapshot_due = None
        progress.on_match(match_index)
        self.send_entries(node_id, progress)

    def quorum_match_index(self) -> int:
        """Return the highest index that a majority of the voters has synced."""
        own_index = self._core.log.last_index
        return int(self._quorum_value(own_index, lambda progress: progress.match_index))

    def quorum_contact_at(self) -> float:
        """Return the latest time at or after which a majority of the voters has replied."""
        return self._quorum_value(self._core.now, lambda progress: progress.heard_at)

    def responsive_since(self, since: float) -> list[str]:
        """Return the ids of this node and of the members that replied at ``since`` or later.

        A member that never replied does not count: its ``heard_at`` is the start of its tracking,
        which only allows it time to reply.
        """
        responsive = [
            node_id
            for node_id, progress in self.progress.items()
            if progress.acked_round and progress.heard_at >= since
        ]
        return [self._core.node_id, *responsive]

    def update_confirmed_round(self) -> None:
        """Update the newest round that a majority of the voters replied to."""
        newest_round = int(self._quorum_value(self.round, lambda progress: progress.acked_round))
        if newest_round > self.confirmed_round:
            self.confirmed_round = newest_round
            self.confirmed_at = self._round_started_at[newest_round]
            older_rounds = [number for number in self._round_started_at if number < newest_round]
            for number in older_rounds:
                del self._round_started_at[number]

    def _quorum_value(self, own_value: float, value_of: Callable[[Progress], float]) -> float:
        """Return the highest value that a majority of the voters reached.

        ``own_value`` counts if this node is a voter.
        """
        core = self._core
        values = [
            own_value if node_id == core.node_id else value_of(self.progress[node_id])
            for node_id in quorum.voter_ids(core.log.membership)
        ]
        return quorum.quorum_value(values)

    def _record_reply(self, progress: Progress, reply_round: int) -> None:
        progress.heard_at = self._core.now
        progress.acked_round = max(progress.acked_round, reply_round)
        self.update_confirmed_round()

    def _send_append(self, node_id: str, progress: Progress, count: int) -> None:
        core, log = self._core, self._core.log
        prev = progress.next_index - 1
        prev_term = log.term_at(prev)
        if prev_term is None:
            # The member needs a snapshot; this message only prevents it from starting an election.
            prev, prev_term = log.snapshot_index, log.snapshot.term
        req = AppendRequest(
            prev_index=prev,
            prev_term=prev_term,
            entries=log.entries_between(prev + 1, prev + count),
            commit_index=core.commit_index,
            round=self.round,
        )
        core.send(node_id, append_request=req)

    def _send_snapshot(self, node_id: str, progress: Progress) -> bool:
        core = self._core
        if core.now - progress.heard_at > core.cfg.election_timeout_s[1]:
            # The image may be large; an empty append checks first whether the member responds.
            return False
        progress.snapshot_due = core.now + core.cfg.snapshot_retry_s
        req = InstallSnapshot(snapshot=core.log.snapshot, round=self.round)
        core.send(node_id, install_snapshot=req)
        return True
