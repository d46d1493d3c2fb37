"""Leader side: proposals, reads, membership changes and leadership transfer."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Sequence

import attrs

from bramleycrank.consensus import quorum
from bramleycrank.consensus.bounds import LARGE_BYTES
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
    required_index: int
    deadline: float


class Leadership:
    """State of a leader for one term, from the election until the node steps down."""

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
    def has_committed_in_term(self) -> bool:
        """Whether an entry of this term is committed, so that all earlier commits are known."""
        return self._core.commit_index >= self._noop_index

    @property
    def confirmed_at(self) -> float | None:
        """Start time of the newest round that a quorum replied to; ``None`` if unknown."""
        return self.replication.confirmed_at if self.has_committed_in_term else None

    def has_quorum(self) -> bool:
        """Return whether a majority of the voters replied within the longest election timeout."""
        timeout_s = self._core.cfg.election_timeout_s[1]
        return self.replication.quorum_contact_at() >= self._core.now - timeout_s

    def tick(self) -> None:
        """Time out promotions and transfers, and send due heartbeats."""
        if self._promotion is not None and self._core.now >= self._promotion.deadline:
            self._reject_promotion(LearnerNotCaughtUp("the learner did not catch up in time"))
        if self.transfer_to and self._core.now >= self._transfer_deadline:
            self.transfer_to = ""
        if self._core.now >= self.replication.heartbeat_due:
            self.replication.start_round()
        self.advance()

    def propose(self, proposals: Sequence[Proposal]) -> None:
        """Append the proposed commands as one batch; reject those beyond the uncommitted limit."""
        core = self._core
        error = self._transfer_error()
        accepted = [] if error else proposals[: self._count_accepted(proposals)]
        for proposal in proposals[len(accepted) :]:
            rejection = error or NoQuorum("too much is uncommitted", outcome=Outcome.NOT_RUN)
            core.add_action(ProposalRejected(proposal.proposal_id, rejection))
        first = core.log.last_index + 1
        entries = [
            Entry(index=first + i, term=core.term, command=p.command, proposal_id=p.proposal_id)
            for i, p in enumerate(accepted)
        ]
        if entries:
            self._append(entries)

    def change_membership(self, proposal_id: str, change: MembershipChange) -> None:
        """Append a membership change; a promotion first waits until its learner has caught up."""
        try:
            new_membership = self._validate_change(change)
        except BramleycrankError as exc:
            self._core.add_action(ProposalRejected(proposal_id, exc))
            return
        if isinstance(change, Promote):
            core = self._core
            deadline = core.now + core.cfg.election_timeout_s[1]
            self._promotion = _PendingPromotion(proposal_id, change, core.commit_index, deadline)
            self.advance()
        else:
            self._append_membership(proposal_id, new_membership)

    def read_index(self, read_id: str) -> None:
        """Queue a read until a round that starts after the request confirms the leadership.

        While a round is open, further reads wait for the next one, so that many reads share a
        round.
        """
        replication = self.replication
        self._reads.append((read_id, replication.round + 1))
        if replication.confirmed_round == replication.round:
            replication.start_round()
        self.advance()

    def transfer(self) -> None:
        """Stop accepting requests and transfer to the most caught-up voter that responds."""
        core, replication = self._core, self.replication
        responsive = replication.responsive_since(self._core.now - core.cfg.election_timeout_s[0])
        voters = set(quorum.voter_ids(core.log.membership)) & set(responsive) - {core.node_id}
        if not voters or self.transfer_to:
            return
        self.transfer_to = max(sorted(voters), key=lambda n: replication.progress[n].match_index)
        self._transfer_deadline = self._core.now + core.cfg.election_timeout_s[1]
        self._send_timeout_now()

    def on_reply(self, msg: ConsensusMessage) -> None:
        """Handle a member's reply; replies of nodes that are not tracked are ignored."""
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
        """Commit entries that a majority synced; process the pending promotion and reads."""
        core = self._core
        synced_index = self.replication.quorum_match_index()
        # Entries of older terms are committed only through an entry of this term: even if a
        # majority stores them, another leader may still overwrite them.
        if synced_index > core.commit_index and core.log.term_at(synced_index) == core.term:
            core.commit_to(synced_index)
            self.replication.drop_removed_members()
        self._advance_promotion()
        replication = self.replication
        if self._reads and self._reads[-1][1] > replication.round == replication.confirmed_round:
            replication.start_round()
        while self._reads and self.has_committed_in_term:
            read_id, required_round = self._reads[0]
            if required_round > replication.confirmed_round:
                break
            self._reads.popleft()
            core.add_action(ReadReady(read_id, core.commit_index))

    @property
    def is_removed(self) -> bool:
        """Whether the removal of this node is committed, so it must stop leading."""
        core = self._core
        return not core.is_voter and core.log.membership_index <= core.commit_index

    def resolve_pending(self, error: BramleycrankError) -> None:
        """Report uncommitted proposals as unresolved; fail the pending promotion and reads."""
        core = self._core
        for entry in core.log.entries_between(core.commit_index + 1, core.log.last_index):
            if entry.term == core.term and entry.proposal_id:
                core.add_action(ProposalUnresolved(entry.proposal_id))
        if self._promotion is not None:
            self._reject_promotion(error)
        for read_id, _ in self._reads:
            core.add_action(ReadFailed(read_id, error))
        self._reads.clear()

    def dump(self) -> dict[str, object]:
        """Return the leader's state and the members' progress for operators."""
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

    def _count_accepted(self, proposals: Sequence[Proposal]) -> int:
        """Return how many of the proposals the bounds on uncommitted entries allow.

        A proposal of any size is allowed while hardly anything is uncommitted.
        """
        core = self._core
        uncommitted = core.log.last_index - core.commit_index
        free_entries = max(0, core.cfg.max_uncommitted_entries - uncommitted)
        uncommitted_bytes = core.log.bytes_between(core.commit_index + 1, core.log.last_index)
        sizes = [len(proposal.command) for proposal in proposals[:free_entries]]
        sums = itertools.accumulate(sizes, initial=uncommitted_bytes)
        bound = core.cfg.bounds.uncommitted_bytes
        allowed = itertools.takewhile(
            lambda item: item[0] < LARGE_BYTES or sum(item) <= bound,
            zip(sums, sizes, strict=False),
        )
        return len(list(allowed))

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

    def _validate_change(self, change: MembershipChange) -> Membership:
        """Return the membership after the change; raises an error if it is not allowed now."""
        core = self._core
        if error := self._transfer_error():
            raise error
        change_pending = (
            self._promotion is not None or core.log.membership_index > core.commit_index
        )
        # Until an entry of this term is committed, other logs may hold an older leader's change.
        # Two concurrent changes could allow majorities without a common voter.
        if change_pending or not self.has_committed_in_term:
            raise MembershipChangeInProgress(outcome=Outcome.NOT_RUN)
        new_membership = quorum.membership_after(core.log.membership, change)
        # For a promotion this is checked after the learner has caught up, before the append.
        if not isinstance(change, Promote) and not self._majority_responds(new_membership):
            if core.now < self._started_at + core.cfg.election_timeout_s[1]:
                message = "the voters have not yet replied to the new leader"
                raise MembershipChangeInProgress(message, outcome=Outcome.NOT_RUN)
            message = "a majority of the voters after the change does not respond"
            raise InvalidMembershipChange(message, outcome=Outcome.NOT_RUN)
        return new_membership

    def _majority_responds(self, membership: Membership) -> bool:
        """Return whether a majority of its voters replied within the longest election timeout."""
        since = self._core.now - self._core.cfg.election_timeout_s[1]
        return quorum.has_quorum(membership, self.replication.responsive_since(since))

    def _advance_promotion(self) -> None:
        promotion = self._promotion
        if promotion is None:
            return
        core = self._core
        progress = self.replication.progress.get(promotion.change.node_id)
        since = core.now - core.cfg.election_timeout_s[1]
        responsive = progress is not None and progress.heard_at >= since
        if responsive and progress.match_index >= promotion.required_index:
            new_membership = quorum.membership_after(core.log.membership, promotion.change)
            if self._majority_responds(new_membership):
                self._promotion = None
                self._append_membership(promotion.proposal_id, new_membership)

    def _reject_promotion(self, error: BramleycrankError) -> None:
        promotion, self._promotion = self._promotion, None
        error.outcome = Outcome.NOT_RUN
        self._core.add_action(ProposalRejected(promotion.proposal_id, error))

    def _transfer_error(self) -> BramleycrankError | None:
        if self.transfer_to:
            return NotLeader("the leadership is being transferred")
        return None

    def _send_timeout_now(self) -> None:
        progress = self.replication.progress.get(self.transfer_to)
        if progress is not None and progress.match_index == self._core.log.last_index:
            self._core.send(self.transfer_to, timeout_now=TimeoutNow())
