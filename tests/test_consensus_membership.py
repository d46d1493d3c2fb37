"""Tests of learners, voters and their changes in the consensus node."""

import pytest
from consensus_cluster import Cluster, bounded, isolate, put
from hypothesis import example, given
from hypothesis import strategies as st

from bramleycrank import exceptions as errors
from bramleycrank.consensus import (
    AddLearner,
    Promote,
    Remove,
    Role,
)
from bramleycrank.proto import log_pb2 as pb


@pytest.mark.parametrize("answers", [False, True], ids=["silent", "behind"])
def test_a_learner_that_is_not_caught_up_is_not_promoted(cluster, answers):
    """Guards against a voter that cannot vote and so takes the quorum away."""
    leader = cluster.leader()
    down = [node for node in cluster.nodes.values() if node is not leader]
    for node in down[: (len(cluster.nodes) - 1) // 2]:
        cluster.crash(node)
    cluster.add("new/1")
    cluster.change(leader, AddLearner(pb.Member(node_id="new/1")))
    if answers:
        cluster.dropped = lambda msg: (
            msg.recipient == "new/1"
            and (msg.HasField("install_snapshot") or len(msg.append_request.entries) > 0)
        )
    else:
        isolate(cluster, "new/1")
    cluster.run(2)
    promotion = cluster.change(leader, Promote("new/1"))
    assert promotion not in cluster.outcomes
    busy = cluster.change(leader, AddLearner(pb.Member(node_id="other/1")))
    assert isinstance(cluster.outcomes[busy], errors.MembershipChangeInProgress)
    cluster.run(2)
    assert isinstance(cluster.outcomes[promotion], errors.LearnerNotCaughtUp)
    proposal = cluster.propose(leader, put("late", 0, "late"))
    cluster.run(1)
    assert proposal in cluster.oracle.acknowledged


def in_effect(cluster: Cluster, change: AddLearner | Promote | Remove) -> bool:
    """Return whether the committed membership is as the change leaves it."""
    voters = {m.node_id: m.voter for m in cluster.oracle.membership.members}
    match change:
        case AddLearner(member):
            return member.node_id in voters
        case Promote(node_id):
            return voters.get(node_id, False)
    return change.node_id not in voters


@bounded(25)
@given(seed=st.integers(0, 2**32), loss=st.floats(0, 0.2), wait=st.floats(0, 0.5))
@example(seed=1735, loss=0.171875, wait=0.0)
def test_second_loss_right_after_a_repair(seed, loss, wait):
    """Guards against a replacement that counts as a voter before it holds the commits."""
    cluster = Cluster(3, seed)
    cluster.run(3)
    first, second, *_ = [n for n in cluster.nodes.values() if n is not cluster.leader()]
    cluster.propose_all(cluster.leader(), [put(f"s{i}", 0, f"c{i}") for i in range(20)])
    cluster.run(0.5)
    cluster.compact(cluster.leader())
    cluster.lose_disk(first)
    cluster.loss = loss
    replacement = cluster.add("vm9/1")
    changes = [AddLearner(pb.Member(node_id="vm9/1")), Promote("vm9/1"), Remove(first.node_id)]
    for change in changes:
        for _ in range(40):
            cluster.run(0.3)
            if leader := cluster.leader():
                outcome = cluster.change(leader, change)
                cluster.run(1.3)
                # A change whose leader was lost may be committed by the next one, which then
                # refuses it; the daemon looks at the members in the same way.
                if outcome in cluster.oracle.acknowledged or in_effect(cluster, change):
                    break
        else:
            raise AssertionError(change)
    late = cluster.propose(cluster.leader(), put("late", 0, "late")) if cluster.leader() else ""
    cluster.run(wait)
    lost = cluster.leader() if cluster.leader() not in (None, replacement) else second
    cluster.lose_disk(lost)
    cluster.settle()
    assert cluster.leader() is not None
    assert replacement.state.config.revision >= 20
    if late in cluster.oracle.acknowledged:
        assert "late" in replacement.state.config.services


@pytest.mark.parametrize("blank", [True, False])
def test_a_node_outside_the_membership_never_votes(cluster, blank):
    """Guards against a lost disk, or a removed node, that votes under a majority's eyes."""
    leader = cluster.leader()
    if blank:
        outsider = cluster.add("vm1/other-disk")
    else:
        outsider = next(node for node in cluster.nodes.values() if node is not leader)
        cluster.change(leader, Remove(outsider.node_id))
        cluster.run(1)
        assert outsider.node_id not in [m.node_id for m in outsider.raft.membership.members]
    for node in cluster.alive():
        if node not in (leader, outsider):
            cluster.crash(node)
    term = outsider.raft.term
    cluster.run(5)
    assert cluster.leader() is None
    assert (outsider.raft.term, outsider.raft.role) == (term, Role.LEARNER)
    assert outsider.disk.content.hard_state.voted_for in ("", leader.node_id)
    req = pb.VoteRequest(last_index=10**6, last_term=10**6, leader_transfer=True)
    ask = pb.ConsensusMessage(
        cluster_id="cluster", sender=leader.node_id, recipient=outsider.node_id, vote_request=req
    )
    ask.term = 10**6
    assert outsider.raft.receive(ask, cluster.now) == []


def test_a_learner_gets_the_log_and_never_counts(cluster):
    """Guards against a learner that replaces a voter in a majority."""
    leader = cluster.leader()
    cluster.compact(leader)
    learner = cluster.add("new/1")
    cluster.change(leader, AddLearner(pb.Member(node_id="new/1")))
    cluster.run(2)
    assert learner.state.image() == leader.state.image()
    for node in list(cluster.nodes.values()):
        if node not in (leader, learner):
            cluster.crash(node)
    proposal = cluster.propose(leader, put("late", 0, "late"))
    cluster.run(5)
    assert proposal not in cluster.oracle.acknowledged
    assert cluster.leader() is None


def test_membership_changes_that_would_break_the_cluster_are_refused(cluster):
    """Guards against operators' slips: double adds, unknown nodes, more than seven voters."""
    leader = cluster.leader()
    known = leader.node_id
    for change in (AddLearner(pb.Member(node_id=known)), Promote(known), Remove("nobody/0")):
        refused = cluster.change(leader, change)
        assert isinstance(cluster.outcomes[refused], errors.InvalidMembershipChange)
    with pytest.raises(errors.AlreadyBootstrapped):
        leader.raft.bootstrap(cluster.first, cluster.now)
    with pytest.raises(errors.InvalidMembershipChange):
        blank = cluster.add("blank/1")
        blank.raft.bootstrap(pb.Membership(cluster_id="x"), cluster.now)
    accepted = 0
    for i in range(8):
        cluster.add(f"new/{i}")
        cluster.change(leader, AddLearner(pb.Member(node_id=f"new/{i}")))
        cluster.run(1)
        promotion = cluster.change(leader, Promote(f"new/{i}"))
        cluster.run(1)
        accepted += promotion in cluster.oracle.acknowledged
    assert accepted == 7 - len(cluster.first.members)


def test_removal_that_would_lose_the_quorum_is_refused(cluster):
    """Guards against removing a live voter while the others that remain do not answer."""
    leader = cluster.leader()
    others = [node for node in cluster.nodes.values() if node is not leader]
    silent = (len(cluster.nodes) - 1) // 2
    for node in others[:silent]:
        cluster.crash(node)
    cluster.run(2)
    refused = cluster.change(leader, Remove(others[-1].node_id))
    assert isinstance(cluster.outcomes[refused], errors.InvalidMembershipChange)


def test_removal_by_a_leader_that_has_just_been_elected_needs_answers(cluster):
    """Guards against counting silent voters as answering after an election.

    The removal of a leader reaches its successor at once. Accepted with a silent voter among those
    that remain, it could neither be committed nor undone.
    """
    first = cluster.leader()
    others = [node for node in cluster.nodes.values() if node is not first]
    for node in others[: (len(cluster.nodes) - 1) // 2]:
        cluster.crash(node)
    cluster.run(0.7)
    cluster.execute(first, first.raft.transfer_leadership(cluster.now))
    while cluster.leader() in (None, first) or cluster.leader().raft.confirmed_at is None:
        cluster.run(0.001)
    leader = cluster.leader()
    for wait, error in (0, errors.MembershipChangeInProgress), (2, errors.InvalidMembershipChange):
        cluster.run(wait)
        refused = cluster.change(leader, Remove(first.node_id))
        assert isinstance(cluster.outcomes.get(refused), error)
    assert cluster.leader() is leader
    cluster.settle(2)
    removal = cluster.change(leader, Remove(first.node_id))
    cluster.run(1)
    assert removal in cluster.oracle.acknowledged


def test_a_member_that_does_not_answer_gets_no_snapshots(cluster):
    """Guards against a leader that copies the whole image every few seconds for a dead member."""
    silent = next(node for node in cluster.nodes.values() if node is not cluster.leader())
    cluster.crash(silent)
    for turn in range(3):
        commands = [put(f"t{turn}-{i}", 0, f"t{turn}-{i}") for i in range(300)]
        cluster.propose_all(cluster.leader(), commands)
        cluster.run(5)
        cluster.compact(cluster.leader())
    sent = []
    cluster.dropped = lambda msg: bool(sent.append(msg.WhichOneof("body")))
    cluster.run(20)
    assert "append_request" in sent and "install_snapshot" not in sent
    cluster.restart(silent)
    cluster.run(2)
    assert silent.state.image() == cluster.leader().state.image()


def test_a_membership_that_was_never_committed_is_rolled_back(cluster):
    """Guards against a node that counts majorities by a change that another leader undid."""
    leader = cluster.leader()
    isolate(cluster, leader.node_id)
    cluster.change(leader, AddLearner(pb.Member(node_id="new/1")))
    cluster.compact(leader)
    assert "new/1" in [m.node_id for m in leader.raft.membership.members]
    cluster.run(3)
    cluster.propose(cluster.leader(), put("late", 0, "late"))
    cluster.settle(2)
    assert leader.raft.membership == cluster.first
    assert leader.state.image() == cluster.leader().state.image()


@pytest.mark.parametrize("removed_leads", [True, False])
def test_a_removal_that_only_the_removed_node_holds_is_still_decided(removed_leads):
    """Guards against a cluster that stops for good because a removed node refuses its vote."""
    cluster = Cluster(4, seed=3)
    cluster.run(3)
    leader = cluster.leader()
    others = [node for node in cluster.nodes.values() if node is not leader]
    removed = leader if removed_leads else others[0]
    cluster.dropped = lambda msg: msg.recipient not in (leader.node_id, removed.node_id)
    cluster.change(leader, Remove(removed.node_id))
    cluster.run(0.1)
    cluster.lose_disk(others[-1] if removed_leads else leader)
    cluster.run(3)
    cluster.dropped = lambda msg: False
    cluster.settle()
    late = cluster.propose(cluster.leader(), put("late", 0, "late"))
    cluster.run(1)
    assert late in cluster.oracle.acknowledged
    assert removed.node_id not in [m.node_id for m in cluster.oracle.membership.members]
