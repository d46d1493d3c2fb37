"""Tests of the consensus node under message loss, crashes, lost disks and membership changes."""

import random

import pytest
from consensus_cluster import Cluster, bounded, isolate, put
from hypothesis import given
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


def restart_all(cluster: Cluster, spread_s: float) -> None:
    """Restart every node within a time, in any order."""
    for node in cluster.nodes.values():
        cluster.crash(node)
    cluster.network.clear()
    cluster.run(1.0)
    for node in cluster.rng.sample(list(cluster.nodes.values()), len(cluster.nodes)):
        cluster.restart(node)
        cluster.run(cluster.rng.uniform(0, 2 * spread_s / len(cluster.nodes)))


@bounded(200)
@given(seed=st.integers(0, 2**32), size=st.sampled_from([3, 5]))
def test_a_leader_soon_after_a_loss_of_power(seed, size):
    """Load pattern: all voters lose power and return together, and nothing is decided meanwhile."""
    cluster = Cluster(size, seed)
    cluster.run(3)
    proposal = cluster.propose(cluster.leader(), put("archivio", 0, "c"))
    cluster.run(0.5)
    restart_all(cluster, spread_s=0.05)
    cluster.run(0.6)
    leader = cluster.leader()
    assert leader is not None
    assert proposal in cluster.oracle.acknowledged
    assert leader.raft.commit_index >= cluster.oracle.acknowledged[proposal][0]


@bounded(100)
@given(seed=st.integers(0, 2**32), gap_s=st.floats(0, 0.1))
def test_restarted_voters_do_not_depose_a_living_leader(seed, gap_s):
    """Guards against restarted voters that elect one of them before they hear the leader."""
    cluster = Cluster(3, seed)
    cluster.run(3)
    leader = cluster.leader()
    term = leader.raft.term
    for node in cluster.nodes.values():
        if node is not leader:
            cluster.crash(node)
            cluster.restart(node)
            cluster.run(gap_s)
    cluster.run(3)
    assert (cluster.leader(), leader.raft.term) == (leader, term)


@pytest.mark.parametrize("seed", range(20))
def test_a_former_voter_campaigns_after_the_voters_have_had_their_time(seed):
    """Load pattern: a loss of power after a voter was cut off, removed, and came back as a learner.

    After a restart it knows of no commit beyond its snapshot, so it may ask for votes.
    """
    first = pb.Membership(cluster_id="c", members=[pb.Member(node_id=n, voter=True) for n in "abc"])
    later = pb.Membership(
        cluster_id="c", members=[pb.Member(node_id=n, voter=n != "a") for n in "abc"]
    )
    snapshot = pb.LogSnapshot(index=1, term=1, membership=first)
    entries = [pb.Entry(index=2, term=1, membership=later)]
    durable = DurableState(pb.HardState(term=1), snapshot, entries)
    cfg = RaftConfig("a")
    node = RaftNode.from_config(cfg, durable, random.Random(seed), now=0.0)
    least, most = cfg.election_timeout_s
    assert least + most <= node.next_deadline() <= 2 * most
