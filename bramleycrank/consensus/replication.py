"""Leader side of replication to the other members."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from bramleycrank.consensus import quorum
from bramleycrank.consensus.bounds import LARGE_BYTES, MIN_BYTES_PER_S
from bramleycrank.consensus.core import NodeCore
from bramleycrank.consensus.progress import LargeSend, Progress
from bramleycrank.proto.log_pb2 import AppendReply, AppendRequest, InstallSnapshot

# Append messages with entries that may be in flight to one member.
APPEND_WINDOW_MESSAGES = 4


class Replication:
    """Sends entries, heartbeats and snapshots, and tracks the members' progress.

    What is in flight to a member is bounded in bytes. A large message (`LARGE_BYTES`) is sent only
    to a member whose log is known to match and that responds. It is not sent again before it counts
    as lost. So a member that is far behind costs the memory of one window, however far behind it is
    and however long it takes.

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
        # Whether a member waits for a new snapshot, since it lacks too much beside the last one.
        self.needs_snapshot = False
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
                self._send_removal(node_id, progress)
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
            self._send_heartbeat(node_id, progress)

    def send_entries(self, node_id: str, progress: Progress) -> bool:
        """Send entries or a snapshot as far as the window allows; returns whether any was sent."""
        log = self._core.log
        if progress.large_send is not None and self._core.now >= progress.large_send.due:
            self._on_large_lost(progress)
        if progress.large_send is not None and progress.large_send.snapshot_bytes:
            return False
        if self._is_far_behind(progress):
            self.needs_snapshot = True
            return False
        if log.term_at(progress.next_index - 1) is None or self._is_snapshot_cheaper(progress):
            return self._send_snapshot(node_id, progress)
        sent = False
        while progress.next_index <= log.last_index:
            last = self._last_sendable(progress)
            if last < progress.next_index:
                break
            self._send_append(node_id, progress, last)
            sent = True
            if progress.probing:
                break
            progress.next_index = last + 1
        return sent

    def on_unsent(self, node_id: str) -> None:
        """Record that a large message to a member was lost on the way, without its reply."""
        progress = self.progress[node_id]
        if progress.large_send is not None:
            self._on_large_lost(progress)

    def on_append_reply(self, node_id: str, reply: AppendReply) -> None:
        """Record a member's reply to an append and send further entries."""
        progress = self.progress[node_id]
        self._record_reply(progress, reply.round)
        if reply.success:
            self._on_match(progress, reply.match_index)
            self.send_entries(node_id, progress)
        elif progress.large_send is not None:
            progress.refused = True
        elif progress.on_conflict(reply.conflict_index):
            self.send_entries_or_heartbeat(node_id, progress)

    def on_snapshot_reply(self, node_id: str, match_index: int, reply_round: int) -> None:
        """Record that a member has installed the snapshot and send the entries after it."""
        progress = self.progress[node_id]
        self._record_reply(progress, reply_round)
        if progress.large_send is not None and progress.large_send.snapshot_bytes:
            progress.large_send = None
        self._on_match(progress, match_index)
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

    def _on_match(self, progress: Progress, match_index: int) -> None:
        """Record a member's synced log; a member that makes progress has more time to answer."""
        before = progress.match_index
        progress.on_match(match_index)
        sent = progress.large_send
        if sent is not None and progress.match_index > before:
            progress.large_send = attrs.evolve(sent, due=max(sent.due, self._answer_due(0)))

    def _record_reply(self, progress: Progress, reply_round: int) -> None:
        progress.heard_at = self._core.now
        progress.acked_round = max(progress.acked_round, reply_round)
        self.update_confirmed_round()

    def _send_removal(self, node_id: str, progress: Progress) -> None:
        """Send all unacknowledged entries that fit a message, as messages may be reordered."""
        cfg, log = self._core.cfg, self._core.log
        progress.next_index, progress.probing = progress.match_index + 1, True
        if log.term_at(progress.match_index) is None or progress.match_index == log.last_index:
            self.send_entries_or_heartbeat(node_id, progress)
            return
        max_bytes = cfg.bounds.message_bytes
        last = log.last_within(progress.next_index, cfg.max_entries_per_append, max_bytes)
        self._send_append(node_id, progress, last)

    def _last_sendable(self, progress: Progress) -> int:
        """Return the last entry of the next message; less than ``next_index`` if none is due."""
        log, cfg = self._core.log, self._core.cfg
        first = progress.next_index
        max_bytes = LARGE_BYTES - 1 if progress.probing else cfg.bounds.message_bytes
        last = log.last_within(first, cfg.max_entries_per_append, max_bytes)
        size = log.bytes_between(first, last)
        if size >= LARGE_BYTES and not self._may_send_large(progress):
            return first - 1
        if progress.probing:
            return last
        in_flight = first - progress.match_index - 1
        bytes_in_flight = log.bytes_between(progress.match_index + 1, first - 1)
        is_open = in_flight < APPEND_WINDOW_MESSAGES * cfg.max_entries_per_append and (
            not in_flight or bytes_in_flight + size <= cfg.bounds.message_bytes
        )
        return last if is_open else first - 1

    def _may_send_large(self, progress: Progress) -> bool:
        if progress.probing or self._core.now < progress.large_from:
            return False
        return self._is_responsive(progress)

    def _is_responsive(self, progress: Progress) -> bool:
        core = self._core
        return core.now - progress.heard_at <= core.cfg.election_timeout_s[1]

    def _is_far_behind(self, progress: Progress) -> bool:
        """Return whether a member lacks much more than a new snapshot would have.

        While the log grows, such a member would catch up slowly or never by entries.
        """
        core, log = self._core, self._core.log
        if progress.probing and log.term_at(progress.next_index - 1) is not None:
            return False
        first = max(progress.match_index, log.snapshot_index) + 1
        lacked_bytes = log.bytes_between(first, core.commit_index)
        return lacked_bytes >= 2 * log.snapshot_bytes + core.cfg.bounds.message_bytes

    def _is_snapshot_cheaper(self, progress: Progress) -> bool:
        """Return whether the snapshot is smaller than the entries that it replaces.

        The difference has to be large, since a snapshot makes the member write its files anew.
        """
        log = self._core.log
        if progress.probing or progress.next_index > log.snapshot_index:
            return False
        replaced_bytes = log.bytes_between(progress.next_index, log.snapshot_index)
        return replaced_bytes >= log.snapshot_bytes + LARGE_BYTES

    def _send_heartbeat(self, node_id: str, progress: Progress) -> None:
        log = self._core.log
        prev = progress.next_index - 1
        if progress.large_send is not None and log.term_at(progress.match_index) is not None:
            # The heartbeat may arrive before the large message.
            prev = progress.match_index
        if log.term_at(prev) is None:
            # The member needs a snapshot; this message only prevents it from starting an election.
            prev = log.snapshot_index
        self._send_append_after(node_id, prev, prev)

    def _send_append(self, node_id: str, progress: Progress, last: int) -> None:
        """Send the entries from ``next_index`` to ``last``."""
        size = self._core.log.bytes_between(progress.next_index, last)
        if progress.large_send is not None:
            progress.large_send = attrs.evolve(progress.large_send, index=last)
        elif size >= LARGE_BYTES:
            progress.large_send = LargeSend(last, self._answer_due(size))
        self._send_append_after(node_id, progress.next_index - 1, last)

    def _send_append_after(self, node_id: str, prev: int, last: int) -> None:
        core, log = self._core, self._core.log
        req = AppendRequest(
            prev_index=prev,
            prev_term=log.term_at(prev) if prev != log.snapshot_index else log.snapshot.term,
            entries=log.entries_between(prev + 1, last),
            commit_index=core.commit_index,
            round=self.round,
        )
        core.send(node_id, append_request=req)

    def _answer_due(self, size: int, min_timeout_s: float = 0.0) -> float:
        """Return the time until which a member may answer, on the slowest supported link."""
        cfg = self._core.cfg
        in_flight_bytes = max(size, cfg.bounds.message_bytes)
        timeout_s = cfg.answer_timeout_s + in_flight_bytes / MIN_BYTES_PER_S
        return self._core.now + max(timeout_s, min_timeout_s)

    def _on_large_lost(self, progress: Progress) -> None:
        progress.on_large_lost(self._core.now, self._core.cfg.heartbeat_s)

    def _send_snapshot(self, node_id: str, progress: Progress) -> bool:
        core, log = self._core, self._core.log
        # The image may be large; an empty append checks first whether the member responds.
        if not self._is_responsive(progress) or not self._may_send_snapshot(progress):
            return False
        due = self._answer_due(log.snapshot_bytes, core.cfg.snapshot_retry_s)
        progress.large_send = LargeSend(log.snapshot_index, due, log.snapshot_bytes)
        core.send(
            node_id, install_snapshot=InstallSnapshot(snapshot=log.snapshot, round=self.round)
        )
        return True

    def _may_send_snapshot(self, progress: Progress) -> bool:
        """Return whether the bound on messages allows a further snapshot; one is always allowed."""
        core = self._core
        if core.now < progress.large_from:
            return False
        sends = (other.large_send for other in self.progress.values())
        size = sum(
            send.snapshot_bytes for send in sends if send is not None and core.now < send.due
        )
        return not size or size + core.log.snapshot_bytes <= core.cfg.bounds.message_bytes
