"""Tests of the Raft node under message loss, crashes, lost disks and membership changes."""

import random

import pytest
from consensus_cluster import Cluster, hypothesis_settings, isolate, put_service_command
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
    """Guards against lost, duplicate or reordered commits under any combination of faults."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster: Cluster
        self.sent: list[pb.Command] = []
        self.added_learners = 0

    @initialize(size=st.sampled_from([1, 3, 3, 4, 5]), seed=st.integers(0, 2**32))
    def start(self, size: int, seed: int) -> None:
        self.cluster = Cluster(size, seed)
        self.cluster.run(3)

    def draw_from(self, data: st.DataObject, nodes: list) -> object:
        return nodes[data.draw(st.integers(0, len(nodes) - 1))] if nodes else None

    @rule(duration_s=st.floats(0.01, 3))
    def run(self, duration_s: float) -> None:
        self.cluster.run(duration_s)

    @rule(
        loss_probability=st.sampled_from([0, 0, 0.1, 0.4]),
        duplication_probability=st.sampled_from([0, 0.3]),
        max_delay_s=st.sampled_from([0.02, 0.3, 1.5]),
    )
    def change_network(
        self, loss_probability: float, duplication_probability: float, max_delay_s: float
    ) -> None:
        cluster = self.cluster
        cluster.loss_probability, cluster.duplication_probability, cluster.max_delay_s = (
            loss_probability,
            duplication_probability,
            max_delay_s,
        )

    @rule(data=st.data(), both_directions=st.booleans())
    def partition(self, data: st.DataObject, both_directions: bool) -> None:
        """Partition some nodes from the others; an empty set removes the partition."""
        ids = sorted(self.cluster.nodes)
        isolated = data.draw(st.one_of(st.just(set()), st.sets(st.sampled_from(ids))))
        rest = set(ids) - isolated
        self.cluster.partitioned_links = {(a, b) for a in isolated for b in rest}
        if both_directions:
            self.cluster.partitioned_links |= {(b, a) for a, b in self.cluster.partitioned_links}

    @rule(data=st.data(), after=st.integers(0, 6))
    def crash(self, data: st.DataObject, after: int) -> None:
        """Crash a node after `after` further actions."""
        if node := self.draw_from(data, self.cluster.alive_nodes()):
            node.crash_after = after

    @rule(data=st.data())
    def restart(self, data: st.DataObject) -> None:
        down = [node for node in self.cluster.nodes.values() if not node.alive]
        if node := self.draw_from(data, down):
            self.cluster.restart(node)

    @rule(data=st.data())
    def lose_disk(self, data: st.DataObject) -> None:
        candidates = [n for i, n in self.cluster.nodes.items() if self.cluster.may_lose(i)]
        if node := self.draw_from(data, candidates):
            self.cluster.lose_disk(node)

    def leader_or_any(self, data: st.DataObject) -> object:
        """Return the leader in most cases, otherwise any running node."""
        leader = self.cluster.leader()
        if leader is not None and data.draw(st.integers(0, 4)):
            return leader
        return self.draw_from(data, self.cluster.alive_nodes())

    @rule(data=st.data(), name=NAMES, offset=st.sampled_from([0, 0, 0, 1]), count=st.integers(1, 6))
    def propose(self, data: st.DataObject, name: str, offset: int, count: int) -> None:
        if node := self.leader_or_any(data):
            expected = self.cluster.oracle.versions.get(name, 0) + offset
            commands = [
                put_service_command(name, expected, f"c{len(self.sent) + i}") for i in range(count)
            ]
            self.sent += commands
            self.cluster.propose_all(node, commands)

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def resend(self, data: st.DataObject) -> None:
        if node := self.leader_or_any(data):
            self.cluster.propose(node, self.draw_from(data, self.sent))

    @rule(data=st.data())
    def read(self, data: st.DataObject) -> None:
        if node := self.leader_or_any(data):
            self.cluster.read(node)

    @rule(data=st.data())
    def compact(self, data: st.DataObject) -> None:
        if node := self.draw_from(data, self.cluster.alive_nodes()):
            self.cluster.compact(node)

    @rule(data=st.data())
    def transfer(self, data: st.DataObject) -> None:
        if node := self.leader_or_any(data):
            self.cluster.execute(node, node.raft.transfer_leadership(self.cluster.now))

    @precondition(lambda self: self.added_learners < 4)
    @rule(data=st.data())
    def add_learner(self, data: st.DataObject) -> None:
        if node := self.leader_or_any(data):
            self.added_learners += 1
            learner = self.cluster.add(f"vm{self.added_learners}/{self.added_learners}")
            self.cluster.change(node, AddLearner(pb.Member(node_id=learner.node_id)))

    @rule(data=st.data(), promote=st.booleans())
    def change_member(self, data: st.DataObject, promote: bool) -> None:
        node = self.leader_or_any(data)
        member = self.draw_from(data, list(node.raft.membership.members)) if node else None
        if member is None:
            return
        ids = {m.node_id for m in node.raft.membership.members if m.voter}
        after = ids | {member.node_id} if promote else ids - {member.node_id}
        # A change after which no majority of the voters has its disk would be an operator error.
        if len(after & self.cluster.lost_nodes) <= (len(after) - 1) // 2:
            change = Promote(member.node_id) if promote else Remove(member.node_id)
            self.cluster.change(node, change)

    def teardown(self) -> None:
        """Check that the cluster commits again after all faults and that all members agree."""
        cluster = getattr(self, "cluster", None)
        if cluster is None:
            return
        cluster.heal_and_run()
        leader = cluster.leader()
        assert leader is not None
        cluster.propose(
            leader,
            put_service_command("fonderia", cluster.oracle.versions.get("fonderia", 0), "end"),
        )
        cluster.run(4)
        assert "end" in cluster.oracle.first_results
        members = {m.node_id for m in cluster.oracle.membership.members}
        nodes = [node for node in cluster.nodes.values() if node.node_id in members]
        assert len({node.state.image() for node in nodes}) == 1
        assert not any(node.waiting for node in cluster.nodes.values())
        assert all(node.raft.membership == cluster.oracle.membership for node in nodes)


FaultyCluster.TestCase.settings = hypothesis_settings(120, 40)
TestFaultyCluster = FaultyCluster.TestCase


def inject_random_event(cluster: Cluster, count: int) -> None:
    """Inject one random fault or request."""
    rng, nodes = cluster.rng, list(cluster.nodes.values())
    node = rng.choice(nodes)
    leader = cluster.leader() or node
    match rng.randrange(9):
        case 0:
            chosen = rng.choice([leader, node])
            if chosen.alive:
                chosen.crash_after = rng.randrange(8)
        case 1 | 2:
            for crashed in nodes:
                if not crashed.alive:
                    cluster.restart(crashed)
        case 3:
            isolate(cluster, *rng.sample(sorted(cluster.nodes), rng.randint(1, len(nodes) // 2)))
        case 4:
            cluster.partitioned_links = {
                pair for pair in cluster.partitioned_links if rng.random() < 0.3
            }
        case 5:
            cluster.loss_probability = rng.choice([0, 0.1, 0.3])
            cluster.max_delay_s = rng.choice([0.02, 0.3, 1.0])
        case 6 if leader.alive:
            cluster.read(leader)
        case 7 if node.alive and rng.random() < 0.3:
            cluster.compact(node)
        case _:
            chosen = rng.choice([leader, leader, node])
            if chosen.alive:
                cluster.propose(chosen, put_service_command(f"s{count}", 0, f"c{count}"))


@hypothesis_settings(60)
@given(seed=st.integers(0, 2**32), size=st.sampled_from([3, 3, 5]))
def test_frequent_faults_neither_lose_nor_reorder_commits(seed, size):
    """Guards against lost commits and two leaders in one term when elections are frequent."""
    cluster = Cluster(size, seed)
    cluster.run(2)
    for count in range(120):
        inject_random_event(cluster, count)
        cluster.run(cluster.rng.choice([0.02, 0.2, 0.7]))
    cluster.heal_and_run()
    assert cluster.leader() is not None
    assert len({node.state.image() for node in cluster.nodes.values()}) == 1


@hypothesis_settings(40)
@given(
    seed=st.integers(0, 2**32),
    silent_s=st.floats(0.5, 100),
    restart=st.booleans(),
    one_link=st.booleans(),
)
def test_a_node_that_returns_from_a_partition_does_not_depose_the_leader(
    seed, silent_s, restart, one_link
):
    """Guards against elections forced by a node partitioned from all others or the leader only."""
    cluster = Cluster(3, seed)
    cluster.run(3)
    leader = cluster.leader()
    term = leader.raft.term
    silent = next(node for node in cluster.nodes.values() if node is not leader)
    if one_link:
        cluster.partitioned_links = {
            (leader.node_id, silent.node_id),
            (silent.node_id, leader.node_id),
        }
    else:
        isolate(cluster, silent.node_id)
    cluster.run(silent_s)
    assert (cluster.leader(), leader.raft.term) == (leader, term)
    if restart:
        cluster.restart(silent)
    cluster.partitioned_links = set()
    proposal = cluster.propose(leader, put_service_command("archivio", 0, "c"))
    cluster.run(3)
    assert (cluster.leader(), leader.raft.term) == (leader, term)
    assert proposal in cluster.oracle.acknowledged
    assert silent.raft.leader_id == leader.node_id


def test_a_partitioned_leader_stops_accepting_proposals_and_reads(cluster):
    """Guards against a partitioned leader that accepts proposals that it cannot commit."""
    leader = cluster.leader()
    isolate(cluster, leader.node_id)
    open_read = cluster.read(leader)
    open_proposal = cluster.propose(leader, put_service_command("late", 0, "late"))
    cluster.run(1.3)
    assert leader.raft.role is not Role.LEADER
    assert leader.raft.confirmed_at is None
    assert isinstance(cluster.outcomes[open_read], errors.NoQuorum)
    assert not leader.waiting and open_proposal not in cluster.oracle.acknowledged
    refused = cluster.propose(leader, put_service_command("later", 0, "later"))
    assert isinstance(cluster.outcomes[refused], errors.NotLeader)
    cluster.run(1.7)
    assert cluster.leader() not in (None, leader)


def test_a_leader_resumed_after_a_pause_rejects_requests(cluster):
    """Guards against a suspended process that still acts as leader before its first tick."""
    leader = cluster.leader()
    cluster.now += 5
    refused = cluster.propose(leader, put_service_command("late", 0, "late"))
    assert isinstance(cluster.outcomes[refused], errors.NoQuorum)
    assert isinstance(cluster.outcomes[cluster.read(leader)], errors.NotLeader)


def test_a_new_leader_is_elected_within_three_seconds(cluster):
    """Guards against elections that exceed the objective for replacing a lost leader."""
    for _ in range(10):
        leader = cluster.leader()
        cluster.crash(leader)
        cluster.run(3)
        assert cluster.leader() not in (None, leader)
        cluster.restart(leader)
        cluster.run(1)


def test_leadership_transfer_does_not_wait_for_an_election_timeout(cluster):
    """Guards against a graceful stop after which no leader exists until a timeout."""
    leader = cluster.leader()
    proposal = cluster.propose(leader, put_service_command("late", 0, "late"))
    cluster.execute(leader, leader.raft.transfer_leadership(cluster.now))
    refused = cluster.propose(leader, put_service_command("later", 0, "later"))
    assert isinstance(cluster.outcomes[refused], errors.NotLeader)
    cluster.run(0.3)
    assert cluster.leader() not in (None, leader)
    assert proposal in cluster.oracle.acknowledged


def test_messages_for_another_cluster_or_node_are_ignored(cluster):
    """Guards against mixed clusters and against a new disk that replies for a lost one."""
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


def node_of_three(entries: list[pb.Entry]) -> RaftNode:
    """Return node a of a cluster of three, with `entries` after its initial snapshot."""
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
    node = node_of_three([pb.Entry(index=2, term=2, command=b"x")])
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


def test_a_follower_commits_only_entries_known_to_equal_the_leaders():
    """Guards against a commit of own entries that conflict with the leader's log."""
    node = node_of_three([pb.Entry(index=i, term=2, command=b"x") for i in (2, 3)])
    heartbeat = pb.AppendRequest(prev_index=1, prev_term=1, commit_index=3)
    node.receive(message(3, append_request=heartbeat), 0.1)
    assert node.commit_index == 1


def restart_all(cluster: Cluster, spread_s: float) -> None:
    """Crash all nodes and restart them in random order within `spread_s` on average."""
    for node in cluster.nodes.values():
        cluster.crash(node)
    cluster.network.clear()
    cluster.run(1.0)
    for node in cluster.rng.sample(list(cluster.nodes.values()), len(cluster.nodes)):
        cluster.restart(node)
        cluster.run(cluster.rng.uniform(0, 2 * spread_s / len(cluster.nodes)))


@hypothesis_settings(200)
@given(seed=st.integers(0, 2**32), size=st.sampled_from([3, 5]))
def test_a_leader_is_elected_soon_after_all_voters_restart(seed, size):
    """Guards against long election timeouts after all voters lost power and restart together."""
    cluster = Cluster(size, seed)
    cluster.run(3)
    proposal = cluster.propose(cluster.leader(), put_service_command("archivio", 0, "c"))
    cluster.run(0.5)
    restart_all(cluster, spread_s=0.05)
    cluster.run(0.6)
    leader = cluster.leader()
    assert leader is not None
    assert proposal in cluster.oracle.acknowledged
    assert leader.raft.commit_index >= cluster.oracle.acknowledged[proposal][0]


@hypothesis_settings(100)
@given(seed=st.integers(0, 2**32), gap_s=st.floats(0, 0.1))
def test_restarted_voters_do_not_depose_a_live_leader(seed, gap_s):
    """Guards against restarted voters that elect a leader before the live one reaches them."""
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
def test_a_former_voter_campaigns_later_than_the_voters(seed):
    """Guards against a removed voter that wins elections after a power loss.

    The voter was partitioned, removed and added again as a learner. After a restart it knows of no
    commit after its snapshot, so it may still campaign.
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
    shortest_s, longest_s = cfg.election_timeout_s
    assert shortest_s + longest_s <= node.next_deadline() <= 2 * longest_s
