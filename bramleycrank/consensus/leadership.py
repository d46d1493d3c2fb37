"""The duties of a leader: proposals, reads, membership changes and leadership transfer."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

import attrs

from bramleycrank.consensus import quorum
from bramleycrank.consensus.core import NodeCore
from bramleycrank.consensus.replication import Replication
from bramleycrank.consensus.types import (
    MembershipChange,
    Promote,
    Proposal,
    ProposalRejected,
    ProposalUnresolved,
    ReadFailed,
    ReadReady,
)
from bramleycrank.exceptions import (
    BramleycrankError,
    InvalidMembershipChange,
    LearnerNotCaughtUp,
    MembershipChangeInProgress,
    NoQuorum,
    NotLeader,
    Outcome,
)
from bramleycrank.proto.log_pb2 import ConsensusMessage, Entry, Membership, TimeoutNow


@attrs.frozen
class _PendingPromotion:
    proposal_id: str
    change: Promote
    target_index: int
    deadline: float


class Leadership:
    """One term of leadership, from the won election until the node steps down."""

    def __init__(self, core: NodeCore) -> None:
        self._core = core
        self._started_at = core.now
        self.transfer_to = ""
        self._transfer_deadline = 0.0
        self._promotion: _PendingPromotion | None = None
        self._reads: deque[tuple[str, int]] = deque()
        core.append([Entry(index=core.log.last_index + 1, term=core.term, noop=True)])
        self._noop_index = core.log.last_index
        self.replication = Replication(core)
        for progress in self.replication.progress.values():
            progress.next_index = self._noop_index
        self.replication.start_round()

    @property
    def knows_commits(self) -> bool:
        """Whether an entry of this term is committed, so no older commit is unknown."""
        return self._core.commit_index >= self._noop_index

    @property
    def confirmed_at(self) -> float | None:
        """Time at which the newest round that a quorum answered was started."""
        return self.replication.confirmed_at if self.knows_commits else None

    def has_quorum(self) -> bool:
        """Return whether a majority of the voters answered within an election timeout."""
        longest = self._core.cfg.election_timeout_s[1]
        return self.replication.heard_quorum_at() >= self._core.now - longest

    def tick(self) -> None:
        """Give up late promotions and transfers, and send heartbeats."""
        if self._promotion is not None and self._core.now >= self._promotion.deadline:
            self._reject_promotion(LearnerNotCaughtUp("the learner did not catch up in time"))
        if self.transfer_to and self._core.now >= self._transfer_deadline:
            self.transfer_to = ""
        if self._core.now >= self.replication.heartbeat_due:
            self.replication.start_round()
        self.advance()

    def propose(self, proposals: Sequence[Proposal]) -> None:
        """Append the commands of one call as one batch."""
        core = self._core
        error = self._refusal()
        room = core.cfg.max_uncommitted - (core.log.last_index - core.commit_index)
        taken = [] if error else proposals[: max(0, room)]
        for proposal in proposals[len(taken) :]:
            late = error or NoQuorum("too many uncommitted entries", outcome=Outcome.NOT_RUN)
            core.emit(ProposalRejected(proposal.proposal_id, late))
        first = core.log.last_index + 1
        entries = [
            Entry(index=first + i, term=core.term, command=p.command, proposal_id=p.proposal_id)
            for i, p in enumerate(taken)
        ]
        if entries:
            self._append(entries)

    def change_membership(self, proposal_id: str, change: MembershipChange) -> None:
        """Append a membership change, or wait for the learner of a promotion to catch up."""
        try:
            after = self._checked_change(change)
        except BramleycrankError as exc:
            self._core.emit(ProposalRejected(proposal_id, exc))
            return
        if isinstance(change, Promote):
            core = self._core
            deadline = core.now + core.cfg.election_timeout_s[1]
            self._promotion = _PendingPromotion(proposal_id, change, core.commit_index, deadline)
            self.advance()
        else:
            self._append_membership(proposal_id, after)

    def read_index(self, read_id: str) -> None:
        """Confirm the leadership by a round that starts after the request.

        While a round is unanswered, further reads wait for the next one, so that many reads
        share a round.
        """
        replication = self.replication
        self._reads.append((read_id, replication.round + 1))
        if replication.confirmed_round == replication.round:
            replication.start_round()
        self.advance()

    def transfer(self) -> None:
        """Stop accepting and hand over to the most caught-up voter that answers."""
        core, replication = self._core, self.replication
        heard = replication.heard_since(self._core.now - core.cfg.election_timeout_s[0])
        ids = set(quorum.voters(core.log.membership)) & set(heard) - {core.node_id}
        if not ids or self.transfer_to:
            return
        self.transfer_to = max(sorted(ids), key=lambda n: replication.progress[n].match_index)
        self._transfer_deadline = self._core.now + core.cfg.election_timeout_s[1]
        self._send_timeout_now()

    def on_reply(self, msg: ConsensusMessage) -> None:
        """Handle a member's answer; nodes outside the membership have no progress to change."""
        if msg.sender not in self.replication.progress:
            return
        if msg.WhichOneof("body") == "append_reply":
            self.replication.on_append_reply(msg.sender, msg.append_reply)
        else:
            reply = msg.install_snapshot_reply
            self.replication.on_snapshot_reply(msg.sender, reply.match_index, reply.round)
        self.advance()
        if msg.sender == self.transfer_to:
            self._send_timeout_now()

    def advance(self) -> None:
        """Commit what a majority synced, and go on with all that waits for it."""
        core = self._core
        matched = self.replication.matched()
        # Entries of older terms are only committed through one of this term, since a majority
        # that stores them does not keep another leader from overwriting them.
        if matched > core.commit_index and core.log.term_at(matched) == core.term:
            core.commit_to(matched)
            self.replication.drop_removed()
        self._advance_promotion()
        replication = self.replication
        if self._reads and self._reads[-1][1] > replication.round == replication.confirmed_round:
            replication.start_round()
        while self._reads and self.knows_commits:
            read_id, wanted = self._reads[0]
            if wanted > replication.confirmed_round:
                break
            self._reads.popleft()
            core.emit(ReadReady(read_id, core.commit_index))

    @property
    def removed(self) -> bool:
        """Whether the removal of this node is committed, so it must stop leading."""
        core = self._core
        return not core.is_voter and core.log.membership_index <= core.commit_index

    def end(self, error: BramleycrankError) -> None:
        """Resolve everything that waits, as far as it can be."""
        core = self._core
        for entry in core.log.between(core.commit_index + 1, core.log.last_index):
            if entry.term == core.term and entry.proposal_id:
                core.emit(ProposalUnresolved(entry.proposal_id))
        if self._promotion is not None:
            self._reject_promotion(error)
        for read_id, _ in self._reads:
            core.emit(ReadFailed(read_id, error))
        self._reads.clear()

    def dump(self) -> dict[str, object]:
        """Return the members' progress for operators."""
        return {
            "confirmed_at": self.confirmed_at,
            "transfer_to": self.transfer_to,
            "waiting_reads": len(self._reads),
            "waiting_promotion": self._promotion.change.node_id if self._promotion else "",
            "progress": {
                node_id: attrs.asdict(progress)
                for node_id, progress in self.replication.progress.items()
            },
        }

    def _append(self, entries: list[Entry]) -> None:
        self._core.append(entries)
        self.replication.broadcast_entries()
        self.advance()

    def _append_membership(self, proposal_id: str, membership: Membership) -> None:
        core = self._core
        entry = Entry(
            index=core.log.last_index + 1,
            term=core.term,
            membership=membership,
            proposal_id=proposal_id,
        )
        core.append([entry])
        self.replication.update_members()
        self.replication.broadcast_entries()
        self.advance()

    def _checked_change(self, change: MembershipChange) -> Membership:
        """Return the membership after the change; raises what forbids it."""
        core = self._core
        if refusal := self._refusal():
            raise refusal
        pending = self._promotion is not None or core.log.membership_index > core.commit_index
        # Before an entry of this term is committed, an older leader's change may still be in the
        # log of others, and two changes at once could give majorities without a common voter.
        if pending or not self.knows_commits:
            raise MembershipChangeInProgress(outcome=Outcome.NOT_RUN)
        after = quorum.changed(core.log.membership, change)
        # A promotion waits for its learner, and is checked when it is appended.
        if not isinstance(change, Promote) and not self._answers(after):
            if core.now < self._started_at + core.cfg.election_timeout_s[1]:
                message = "the voters have not answered the new leader yet"
                raise MembershipChangeInProgress(message, outcome=Outcome.NOT_RUN)
            message = "a majority of the voters after the change does not answer"
            raise InvalidMembershipChange(message, outcome=Outcome.NOT_RUN)
        return after

    def _answers(self, membership: Membership) -> bool:
        """Return whether a majority of the voters answered within an election timeout."""
        since = self._core.now - self._core.cfg.election_timeout_s[1]
        return quorum.has_quorum(membership, self.replication.heard_since(since))

    def _advance_promotion(self) -> None:
        waiting = self._promotion
        if waiting is None:
            return
        core = self._core
        progress = self.replication.progress.get(waiting.change.node_id)
        since = core.now - core.cfg.election_timeout_s[1]
        answered = progress is not None and progress.heard_at >= since
        if answered and progress.match_index >= waiting.target_index:
            after = quorum.changed(core.log.membership, waiting.change)
            if self._answers(after):
                self._promotion = None
                self._append_membership(waiting.proposal_id, after)

    def _reject_promotion(self, error: BramleycrankError) -> None:
        waiting, self._promotion = self._promotion, None
        error.outcome = Outcome.NOT_RUN
        self._core.emit(ProposalRejected(waiting.proposal_id, error))

    def _refusal(self) -> BramleycrankError | None:
        if self.transfer_to:
            return NotLeader("the leadership is being transferred")
        return None

    def _send_timeout_now(self) -> None:
        progress = self.replication.progress.get(self.transfer_to)
        if progress is not None and progress.match_index == self._core.log.last_index:
            self._core.send(self.transfer_to, timeout_now=TimeoutNow())
