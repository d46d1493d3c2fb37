"""Elections: pre-vote, votes and leader stickiness."""

from __future__ import annotations

from collections.abc import Callable

from bramleycrank.consensus import quorum
from bramleycrank.consensus.core import NodeCore, State
from bramleycrank.proto.log_pb2 import ConsensusMessage, VoteReply, VoteRequest


class Election:
    """Asks for votes and gives them.

    Parameters
    ----------
    core : NodeCore
        Shared state of the node.
    follow : callable
        Makes the node a follower of ``(term, leader_id)`` and ends its leadership.
    """

    def __init__(self, core: NodeCore, follow: Callable[[int, str], None]) -> None:
        self._core = core
        self._follow = follow
        self._granted: set[str] = set()

    def start(self) -> bool:
        """Ask for pre-votes after an election timeout; returns whether the node won at once."""
        core = self._core
        core.leader_id = ""
        core.state = State.FOLLOWER
        core.reset_election()
        if not core.may_campaign:
            return False
        core.state = State.PRE_CANDIDATE
        return self._request_votes(pre_vote=True, transfer=False)

    def start_transferred(self) -> bool:
        """Ask for votes at once because the leader hands over its leadership."""
        return self._core.may_campaign and self._campaign(transfer=True)

    def on_reply(self, msg: ConsensusMessage) -> bool:
        """Count a vote; returns whether the node won."""
        core, reply = self._core, msg.vote_reply
        if quorum.find(core.log.membership, msg.sender) is None:
            return False
        if not reply.granted:
            if msg.term > core.term:
                self._follow(msg.term, "")
            return False
        wanted = State.PRE_CANDIDATE if reply.pre_vote else State.CANDIDATE
        term = core.term + 1 if reply.pre_vote else core.term
        if core.state is not wanted or msg.term != term:
            return False
        self._granted.add(msg.sender)
        return self._counted()

    def on_request(self, msg: ConsensusMessage) -> None:
        """Grant or refuse a vote.

        A node that is not in its own view of the membership never votes. A learner votes when it
        is asked: the candidate counts it only if the candidate's log has made it a voter, and the
        learner may not have heard of that yet.
        """
        core, req = self._core, msg.vote_request
        if not core.is_member or (self._hears_leader() and not req.leader_transfer):
            return
        if req.pre_vote:
            granted = msg.term > core.term and self._is_up_to_date(req)
            reply = VoteReply(pre_vote=True, granted=granted)
            core.send(msg.sender, msg.term if granted else core.term, vote_reply=reply)
            return
        if msg.term > core.term:
            self._follow(msg.term, "")
        free = core.voted_for == msg.sender or (not core.voted_for and not core.leader_id)
        granted = msg.term == core.term and free and self._is_up_to_date(req)
        if granted:
            core.set_term(core.term, msg.sender)
            core.reset_election()
        core.send(msg.sender, vote_reply=VoteReply(granted=granted))

    def _hears_leader(self) -> bool:
        """Return whether a leader is known to be alive, so that no election is needed."""
        core = self._core
        return core.state is State.LEADER or core.now < core.trusts_until

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
        self._granted = {core.node_id}
        if quorum.has_quorum(core.log.membership, self._granted):
            return self._counted()
        req = VoteRequest(
            pre_vote=pre_vote,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            leader_transfer=transfer,
        )
        for node_id in quorum.voters(core.log.membership):
            if node_id != core.node_id:
                core.send(node_id, core.term + pre_vote, vote_request=req)
        return False

    def _counted(self) -> bool:
        """Move on if a majority granted its votes; only voters of the own membership count.

        Right after a start all of them have to say that they know no leader.
        """
        core = self._core
        voters = set(quorum.voters(core.log.membership))
        if core.needs_all_votes and core.state is State.PRE_CANDIDATE and voters - self._granted:
            return False
        if not quorum.has_quorum(core.log.membership, self._granted):
            return False
        if core.state is State.PRE_CANDIDATE:
            return self._campaign(transfer=False)
        return True
