"""Tests of the consensus node under message loss, crashes, lost disks and membership changes."""

import random

import pytest
from consensus_cluster import Cluster, bounded
from hypothesis import example, given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from bramleycrank import exceptions as errors
from bramleycrank.consensus import (
    AddLearner,
    DurableState,
    Promote,
    RaftConfig,
    RaftNode,
    ReadReady,
    Remove,
    Role,
)
from bramleycrank.proto import log_pb2 as pb

NAMES = st.sampled_from(["archivio", "preventivi"])


def put(name: str, expected: int, change_id: str) -> pb.Command:
    change = pb.Change(
        change_id=change_id, expected_version=expected, put_service=pb.ServiceConfig(name=name)
    )
    return pb.Command(change=change)


class FaultyCluster(RuleBasedStateMachine):
    """Guards against lost, repeated or reordered commits under any mix of faults."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster: Cluster
        self.sent: list[pb.Command] = []
        self.replacements = 0

    @initialize(size=st.sampled_from([1, 3, 3, 4, 5]), seed=st.integers(0, 2**32))
    def start(self, size: int, seed: int) -> None:
        self.cluster = Cluster(size, seed)
        self.cluster.run(3)

    def pick(self, data: st.DataObject, nodes: list) -> object:
        return nodes[data.draw(st.integers(0, len(nodes) - 1))] if nodes else None

    @rule(duration=st.floats(0.01, 3))
    def run(self, duration: float) -> None:
        self.cluster.run(duration)

    @rule(
        loss=st.sampled_from([0, 0, 0.1, 0.4]),
        duplication=st.sampled_from([0, 0.3]),
        max_delay=st.sampled_from([0.02, 0.3, 1.5]),
    )
    def change_network(self, loss: float, duplication: float, max_delay: float) -> None:
        cluster = self.cluster
        cluster.loss, cluster.duplication, cluster.max_delay = loss, duplication, max_delay

    @rule(data=st.data(), both_ways=st.booleans())
    def partition(self, data: st.DataObject, both_ways: bool) -> None:
        """Cut some nodes off; none of them heals the network."""
        ids = sorted(self.cluster.nodes)
        apart = data.draw(st.one_of(st.just(set()), st.sets(st.sampled_from(ids))))
        rest = set(ids) - apart
        self.cluster.cuts = {(a, b) for a in apart for b in rest}
        if both_ways:
            self.cluster.cuts |= {(b, a) for a, b in self.cluster.cuts}

    @rule(data=st.data(), after=st.integers(0, 6))
    def crash(self, data: st.DataObject, after: int) -> None:
        """Crash between two actions; 0 is before the next one."""
        if node := self.pick(data, self.cluster.alive()):
            node.crash_after = after

    @rule(data=st.data())
    def restart(self, data: st.DataObject) -> None:
        down = [node for node in self.cluster.nodes.values() if not node.alive]
        if node := self.pick(data, down):
            self.cluster.restart(node)

    @rule(data=st.data())
    def lose_disk(self, data: st.DataObject) -> None:
        candidates = [n for i, n in self.cluster.nodes.items() if self.cluster.may_lose(i)]
        if node := self.pick(data, candidates):
            self.cluster.lose_disk(node)

    def target(self, data: st.DataObject) -> object:
        """Return mostly the leader, at times any other node."""
        leader = self.cluster.leader()
        if leader is not None and data.draw(st.integers(0, 4)):
            return leader
        return self.pick(data, self.cluster.alive())

    @rule(data=st.data(), name=NAMES, offset=st.sampled_from([0, 0, 0, 1]), count=st.integers(1, 6))
    def propose(self, data: st.DataObject, name: str, offset: int, count: int) -> None:
        if node := self.target(data):
            expected = self.cluster.oracle.versions.get(name, 0) + offset
            commands = [put(name, expected, f"c{len(self.sent) + i}") for i in range(count)]
            self.sent += commands
            self.cluster.propose_all(node, commands)

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def resend(self, data: st.DataObject) -> None:
        if node := self.target(data):
            self.cluster.propose(node, self.pick(data, self.sent))

    @rule(data=st.data())
    def read(self, data: st.DataObject) -> None:
        if node := self.target(data):
            self.cluster.read(node)

    @rule(data=st.data())
    def compact(self, data: st.DataObject) -> None:
        if node := self.pick(data, self.cluster.alive()):
            self.cluster.compact(node)

    @rule(data=st.data())
    def transfer(self, data: st.DataObject) -> None:
        if node := self.target(data):
            self.cluster.execute(node, node.raft.transfer_leadership(self.cluster.now))

    @precondition(lambda self: self.replacements < 4)
    @rule(data=st.data())
    def add_learner(self, data: st.DataObject) -> None:
        if node := self.target(data):
            self.replacements += 1
            learner = self.cluster.add(f"vm{self.replacements}/{self.replacements}")
            self.cluster.change(node, AddLearner(pb.Member(node_id=learner.node_id)))

    @rule(data=st.data(), promote=st.booleans())
    def change_member(self, data: st.DataObject, promote: bool) -> None:
        node = self.target(data)
        member = self.pick(data, list(node.raft.membership.members)) if node else None
        if member is None:
            return
        ids = {m.node_id for m in node.raft.membership.members if m.voter}
        after = ids | {member.node_id} if promote else ids - {member.node_id}
        # A change that leaves no majority with a disk would be an operator's error.
        if len(after & self.cluster.lost) <= (len(after) - 1) // 2:
            change = Promote(member.node_id) if promote else Remove(member.node_id)
            self.cluster.change(node, change)

    def teardown(self) -> None:
        """After all faults the cluster must commit again, and all members must agree."""
        cluster = getattr(self, "cluster", None)
        if cluster is None:
            return
        cluster.settle()
        leader = cluster.leader()
        assert leader is not None
        cluster.propose(leader, put("fonderia", cluster.oracle.versions.get("fonderia", 0), "end"))
        cluster.run(4)
        assert "end" in cluster.oracle.first_answers
        members = {m.node_id for m in cluster.oracle.membership.members}
        nodes = [node for node in cluster.nodes.values() if node.node_id in members]
        assert len({node.state.image() for node in nodes}) == 1
        assert not any(node.waiting for node in cluster.nodes.values())
        assert all(node.raft.membership == cluster.oracle.membership for node in nodes)


FaultyCluster.TestCase.settings = bounded(120, 40)
TestFaultyCluster = FaultyCluster.TestCase


def disturb(cluster: Cluster, count: int) -> None:
    """Make one random fault or request; a short time later the next one comes."""
    rng, nodes = cluster.rng, list(cluster.nodes.values())
    node = rng.choice(nodes)
    leader = cluster.leader() or node
    match rng.randrange(9):
        case 0:
            target = rng.choice([leader, node])
            if target.alive:
                target.crash_after = rng.randrange(8)
        case 1 | 2:
            for crashed in nodes:
                if not crashed.alive:
                    cluster.restart(crashed)
        case 3:
            isolate(cluster, *rng.sample(sorted(cluster.nodes), rng.randint(1, len(nodes) // 2)))
        case 4:
            cluster.cuts = {pair for pair in cluster.cuts if rng.random() < 0.3}
        case 5:
            cluster.loss = rng.choice([0, 0.1, 0.3])
            cluster.max_delay = rng.choice([0.02, 0.3, 1.0])
        case 6 if leader.alive:
            cluster.read(leader)
        case 7 if node.alive and rng.random() < 0.3:
            cluster.compact(node)
        case _:
            target = rng.choice([leader, leader, node])
            if target.alive:
                cluster.propose(target, put(f"s{count}", 0, f"c{count}"))


@bounded(60)
@given(seed=st.integers(0, 2**32), size=st.sampled_from([3, 3, 5]))
def test_dense_faults_lose_and_reorder_nothing(seed, size):
    """Guards against lost commits and double leaders when elections are frequent."""
    cluster = Cluster(size, seed)
    cluster.run(2)
    for count in range(120):
        disturb(cluster, count)
        cluster.run(cluster.rng.choice([0.02, 0.2, 0.7]))
    cluster.settle()
    assert cluster.leader() is not None
    assert len({node.state.image() for node in cluster.nodes.values()}) == 1


@pytest.fixture(params=[3, 5])
def cluster(request: pytest.FixtureRequest) -> Cluster:
    """Return a calm cluster with a leader and some commits."""
    cluster = Cluster(request.param, seed=7)
    cluster.run(3)
    cluster.propose_all(cluster.leader(), [put(f"s{i}", 0, f"c{i}") for i in range(5)])
    cluster.run(1)
    assert cluster.oracle.revision == 5
    return cluster


def isolate(cluster: Cluster, *node_ids: str) -> None:
    others = set(cluster.nodes) - set(node_ids)
    cluster.cuts = {(a, b) for a in node_ids for b in others}
    cluster.cuts |= {(b, a) for a, b in cluster.cuts}


@bounded(40)
@given(
    seed=st.integers(0, 2**32),
    silent_s=st.floats(0.5, 100),
    restart=st.booleans(),
    one_link=st.booleans(),
)
def test_a_returning_silent_node_does_not_depose_the_leader(seed, silent_s, restart, one_link):
    """Guards against elections forced by a node that was cut off, wholly or from the leader."""
    cluster = Cluster(3, seed)
    cluster.run(3)
    leader = cluster.leader()
    term = leader.raft.term
    silent = next(node for node in cluster.nodes.values() if node is not leader)
    if one_link:
        cluster.cuts = {(leader.node_id, silent.node_id), (silent.node_id, leader.node_id)}
    else:
        isolate(cluster, silent.node_id)
    cluster.run(silent_s)
    assert (cluster.leader(), leader.raft.term) == (leader, term)
    if restart:
        cluster.restart(silent)
    cluster.cuts = set()
    proposal = cluster.propose(leader, put("archivio", 0, "c"))
    cluster.run(3)
    assert (cluster.leader(), leader.raft.term) == (leader, term)
    assert proposal in cluster.oracle.acknowledged
    assert silent.raft.leader_id == leader.node_id


def test_a_cut_off_leader_stops_accepting_and_serving_reads(cluster):
    """Guards against a leader behind a partition that accepts what it cannot commit."""
    leader = cluster.leader()
    isolate(cluster, leader.node_id)
    open_read = cluster.read(leader)
    open_proposal = cluster.propose(leader, put("late", 0, "late"))
    cluster.run(1.3)
    assert leader.raft.role is not Role.LEADER
    assert leader.raft.confirmed_at is None
    assert isinstance(cluster.outcomes[open_read], errors.NoQuorum)
    assert not leader.waiting and open_proposal not in cluster.oracle.acknowledged
    refused = cluster.propose(leader, put("later", 0, "later"))
    assert isinstance(cluster.outcomes[refused], errors.NotLeader)
    cluster.run(1.7)
    assert cluster.leader() not in (None, leader)


def test_a_leader_that_was_paused_does_not_accept_at_once(cluster):
    """Guards against a frozen process that goes on as leader before its first tick."""
    leader = cluster.leader()
    cluster.now += 5
    refused = cluster.propose(leader, put("late", 0, "late"))
    assert isinstance(cluster.outcomes[refused], errors.NoQuorum)
    assert isinstance(cluster.outcomes[cluster.read(leader)], errors.NotLeader)


def test_a_new_leader_within_three_seconds(cluster):
    """Guards against elections that take longer than the goal for a lost leader."""
    for _ in range(10):
        leader = cluster.leader()
        cluster.crash(leader)
        cluster.run(3)
        assert cluster.leader() not in (None, leader)
        cluster.restart(leader)
        cluster.run(1)


def test_transfer_hands_over_without_an_election_timeout(cluster):
    """Guards against a graceful stop that leaves the cluster without a leader."""
    leader = cluster.leader()
    proposal = cluster.propose(leader, put("late", 0, "late"))
    cluster.execute(leader, leader.raft.transfer_leadership(cluster.now))
    refused = cluster.propose(leader, put("later", 0, "later"))
    assert isinstance(cluster.outcomes[refused], errors.NotLeader)
    cluster.run(0.3)
    assert cluster.leader() not in (None, leader)
    assert proposal in cluster.oracle.acknowledged


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


def test_messages_of_others_are_ignored(cluster):
    """Guards against clusters that mix, and against a new disk answering for a lost one."""
    leader = cluster.leader()
    follower = next(node for node in cluster.nodes.values() if node is not leader)
    sent = leader.raft.tick(cluster.now + 1)
    before = follower.raft.dump()
    for action in sent:
        if getattr(action, "message", None) and action.message.recipient == follower.node_id:
            for field, value in (("cluster_id", "foreign"), ("recipient", "vm1/lost")):
                message = type(action.message)()
                message.CopyFrom(action.message)
                setattr(message, field, value)
                message.term += 1
                assert follower.raft.receive(message, cluster.now + 1) == []
    assert follower.raft.dump() == before


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


def alone(entries: list[pb.Entry]) -> RaftNode:
    """Return node a of three with entries of an older term after the first snapshot."""
    members = [pb.Member(node_id=name, voter=True) for name in "abc"]
    snapshot = pb.LogSnapshot(
        index=1, term=1, membership=pb.Membership(cluster_id="c", members=members)
    )
    durable = DurableState(pb.HardState(term=3), snapshot, entries)
    return RaftNode.from_config(RaftConfig("a"), durable, random.Random(1), now=0.0)


def message(term: int, **body: object) -> pb.ConsensusMessage:
    return pb.ConsensusMessage(cluster_id="c", sender="b", recipient="a", term=term, **body)


def test_a_leader_commits_and_changes_nothing_before_an_entry_of_its_term():
    """Guards against a commit of an older entry that a later leader may still overwrite."""
    node = alone([pb.Entry(index=2, term=2, command=b"x")])
    node.tick(2.0)
    node.receive(message(4, vote_reply=pb.VoteReply(pre_vote=True, granted=True)), 2.0)
    node.receive(message(4, vote_reply=pb.VoteReply(granted=True)), 2.0)
    assert (node.role, node.last_index) == (Role.LEADER, 3)
    node.receive(message(4, append_reply=pb.AppendReply(success=True, match_index=2, round=1)), 2.0)
    assert (node.commit_index, node.confirmed_at) == (1, None)
    assert not any(isinstance(action, ReadReady) for action in node.read_index("r", 2.0))
    (refused,) = node.change_membership("m", Remove("c"), 2.0)
    assert isinstance(refused.error, errors.MembershipChangeInProgress)
    node.receive(message(4, append_reply=pb.AppendReply(success=True, match_index=3, round=1)), 2.0)
    assert (node.commit_index, node.confirmed_at) == (3, 2.0)


def test_a_follower_commits_only_what_the_message_proves_equal():
    """Guards against a commit of own entries that contradict the leader's log."""
    node = alone([pb.Entry(index=i, term=2, command=b"x") for i in (2, 3)])
    heartbeat = pb.AppendRequest(prev_index=1, prev_term=1, commit_index=3)
    node.receive(message(3, append_request=heartbeat), 0.1)
    assert node.commit_index == 1


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
