"""Elections: pre-votes, votes and leader stickiness."""

from __future__ import annotations

from collections.abc import Callable

from bramleycrank.consensus import quorum
from bramleycrank.consensus.core import NodeCore, State
from bramleycrank.proto.log_pb2 import ConsensusMessage, VoteReply, VoteRequest


class Election:
    """Requests votes and grants them.

    Parameters
    ----------
    core : NodeCore
        Shared state of the node.
    become_follower : callable
        Makes the node a follower of ``(term, leader_id)`` and ends its leadership.
    """

    def __init__(self, core: NodeCore, become_follower: Callable[[int, str], None]) -> None:
        self._core = core
        self._become_follower = become_follower
        self._granted_by: set[str] = set()

    def start(self) -> bool:
        """Request pre-votes after an election timeout; returns whether the node already won."""
        core = self._core
        core.leader_id = ""
        core.state = State.FOLLOWER
        core.reset_election()
        if not core.may_campaign:
            return False
        core.state = State.PRE_CANDIDATE
        return self._request_votes(pre_vote=True, transfer=False)

    def start_for_transfer(self) -> bool:
        """Request votes immediately because the leader transfers its leadership."""
        return self._core.may_campaign and self._campaign(transfer=True)

    def on_reply(self, msg: ConsensusMessage) -> bool:
        """Count a vote; returns whether the node won the election."""
        core, reply = self._core, msg.vote_reply
        if quorum.find_member(core.log.membership, msg.sender) is None:
            return False
        if not reply.granted:
            if msg.term > core.term:
                self._become_follower(msg.term, "")
            return False
        expected_state = State.PRE_CANDIDATE if reply.pre_vote else State.CANDIDATE
        term = core.term + 1 if reply.pre_vote else core.term
        if core.state is not expected_state or msg.term != term:
            return False
        self._granted_by.add(msg.sender)
        return self._advance_if_won()

    def on_request(self, msg: ConsensusMessage) -> None:
        """Grant or refuse a vote.

        A node outside the memberships of its own log never votes. A learner does vote: the
        candidate counts the vote only if the candidate's log makes the learner a voter, and the
        learner may not have received that entry yet.
        """
        core, req = self._core, msg.vote_request
        if not core.is_member or (self._leader_presumed_alive() and not req.leader_transfer):
            return
        if req.pre_vote:
            granted = msg.term > core.term and self._is_up_to_date(req)
            reply = VoteReply(pre_vote=True, granted=granted)
            core.send(msg.sender, msg.term if granted else core.term, vote_reply=reply)
            return
        if msg.term > core.term:
            self._become_follower(msg.term, "")
        may_grant = core.voted_for == msg.sender or (not core.voted_for and not core.leader_id)
        granted = msg.term == core.term and may_grant and self._is_up_to_date(req)
        if granted:
            core.set_term(core.term, msg.sender)
            core.reset_election()
        core.send(msg.sender, vote_reply=VoteReply(granted=granted))

    def _leader_presumed_alive(self) -> bool:
        """Return whether a leader is presumed alive, so that no vote is granted."""
        core = self._core
        return core.state is State.LEADER or core.now < core.leader_presumed_until

    def _is_up_to_date(self, req: VoteRequest) -> bool:
        log = self._core.log
        return (req.last_term, req.last_index) >= (log.last_term, log.last_index)

    def _campaign(self, *, transfer: bool) -> bool:
        core = self._core
        core.state = State.CANDIDATE
        core.leader_id = ""
        core.set_term(core.term + 1, core.node_id)
        core.reset_election()
        return self._request_votes(pre_vote=False, transfer=transfer)

    def _request_votes(self, *, pre_vote: bool, transfer: bool) -> bool:
        core = self._core
        self._granted_by = {core.node_id}
        if quorum.has_quorum(core.log.membership, self._granted_by):
            return self._advance_if_won()
        req = VoteRequest(
            pre_vote=pre_vote,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            leader_transfer=transfer,
        )
        for node_id in quorum.voter_ids(core.log.membership):
            if node_id != core.node_id:
                core.send(node_id, core.term + pre_vote, vote_request=req)
        return False

    def _advance_if_won(self) -> bool:
        """Go to the next phase on a majority of votes; returns whether the election is won.

        Only voters of the newest membership in the own log count. Shortly after a start all of
        them must grant their pre-votes, which shows that none of them knows a live leader.
        """
        core = self._core
        voter_ids = set(quorum.voter_ids(core.log.membership))
        if (
            core.needs_all_pre_votes
            and core.state is State.PRE_CANDIDATE
            and voter_ids - self._granted_by
        ):
            return False
        if not quorum.has_quorum(core.log.membership, self._granted_by):
            return False
        if core.state is State.PRE_CANDIDATE:
            return self._campaign(transfer=False)
        return True
