"""Tests of the bounds in bytes on the replicated log, by the bytes of messages and of the log."""

from __future__ import annotations

import os
import random
from collections import defaultdict

import pytest
from consensus_cluster import Cluster, SimNode, isolate, put_service_command

from bramleycrank import consensus as raft
from bramleycrank.exceptions import BramleycrankError, NoQuorum
from bramleycrank.proto import log_pb2 as pb

MIB = 1024 * 1024
MEMORY_BYTES = 300 * MIB
"""Memory of a voter on the smallest deployments."""

MESSAGE_BYTES = MEMORY_BYTES // 64
"""Bound on the bytes on the way to a member: four copies of each go to six members."""

ORDER_RESEND_S = 1.0
"""Time after which an operator sends an order to another VM, in seconds."""

CATCH_UP_S = 4.0
"""Time after which a new member has to be a voter, in seconds."""

CONFIG_APPLY_S = 3.0
"""Time until a change has to be in force, in seconds."""

SEEDS = range(int(os.environ.get("BOUNDS_SEEDS", "12")))


def large_command(number: int, size: int) -> pb.Command:
    """Return a command of a given size; a service that it creates has this size in the image."""
    command = put_service_command(f"s{number % 3}", 0, f"c{number}")
    padding = pb.Route(regions=["x" * size])  # a field that services do not have, and keep
    service = command.change.put_service
    service.MergeFromString(padding.SerializeToString())
    return command


class SizedCluster(Cluster):
    """A cluster that keeps account of the bytes that are on the way and in memory.

    A message that is not delivered is on its way for as long as a link tries to send it.
    """

    def __init__(self, size: int, seed: int, cfg: dict | None = None) -> None:
        self.cfg = cfg or {}
        self.live: dict[tuple[str, str], dict[int, tuple[float, int]]] = defaultdict(dict)
        self.peak_live = self.peak_message = self.peak_log = self.sent_bytes = 0
        super().__init__(size, seed)

    def _new_raft_node(self, node_id, disk):
        cfg = raft.RaftConfig(node_id, **self.cfg)
        rng = random.Random(self.rng.getrandbits(32))
        return raft.RaftNode.from_config(cfg, disk.load(), rng, self.now)

    def execute(self, node: SimNode, actions: list[object]) -> None:
        super().execute(node, actions)
        while node.alive and node.raft.needs_compaction:
            super().execute(node, node.raft.compact(node.applied, node.state.image()))
        self.peak_log = max(self.peak_log, node.raft.log_bytes)

    def deliver(self, msg: pb.ConsensusMessage) -> None:
        self.live[msg.sender, msg.recipient].pop(id(msg), None)
        super().deliver(msg)

    def _send(self, msg: pb.ConsensusMessage) -> None:
        size = msg.ByteSize()
        on_link = self.live[msg.sender, msg.recipient]
        for key in [key for key, (until, _) in on_link.items() if until <= self.now]:
            del on_link[key]
        on_link[id(msg)] = (self.now + 1.0 + size / 2e6, size)
        self.peak_message = max(self.peak_message, size)
        self.peak_live = max(self.peak_live, sum(size for _, size in on_link.values()))
        self.sent_bytes += size
        super()._send(msg)


def propose_in_turn(cluster: SizedCluster, count: int, size: int) -> list[str]:
    """Propose commands of one size, eight at a time, as operators may."""
    proposals = []
    for first in range(0, count, 8):
        commands = [large_command(first + i, size) for i in range(min(8, count - first))]
        proposals += cluster.propose_all(cluster.leader(), commands)
        cluster.run(0.1)
    return proposals


def assert_all_equal(cluster: Cluster) -> None:
    assert len({node.state.image() for node in cluster.nodes.values()}) == 1


@pytest.mark.parametrize("returns", ["restarted", "frozen", "wiped"])
def test_a_member_that_is_far_behind_costs_the_memory_of_one_message(returns):
    """Guards against windows of hundreds of large entries, which exceeded a leader's memory."""
    cluster = SizedCluster(3, seed=1)
    cluster.run(3)
    behind = next(node for node in cluster.nodes.values() if node is not cluster.leader())
    if returns == "frozen":
        isolate(cluster, behind.node_id)
    else:
        cluster.crash(behind)
    proposals = propose_in_turn(cluster, 400, 100_000)
    cluster.max_delay_s = 0.3
    if returns == "frozen":
        cluster.partitioned_links = set()
    elif returns == "restarted":
        cluster.restart(behind)
    else:
        cluster.lose_disk(behind)
        new = cluster.add("new/0")
        cluster.change(cluster.leader(), raft.AddLearner(pb.Member(node_id=new.node_id)))
    cluster.run(20)
    assert cluster.peak_live <= MESSAGE_BYTES
    assert cluster.peak_log <= MEMORY_BYTES // 8
    assert_all_equal(cluster)
    assert set(proposals) <= cluster.oracle.acknowledged.keys()


def test_a_member_that_answers_no_large_message_is_sent_few():
    """Guards against the same large entries again on each heartbeat, and by each new leader."""
    cluster = SizedCluster(3, seed=2)
    cluster.run(3)
    behind = next(node for node in cluster.nodes.values() if node is not cluster.leader())
    cluster.crash(behind)
    propose_in_turn(cluster, 24, 100_000)
    cluster.restart(behind)
    cluster.drops_message = lambda msg: msg.ByteSize() > 50_000
    before = cluster.sent_bytes
    cluster.run(10)
    assert cluster.sent_bytes - before <= 8 * MESSAGE_BYTES
    assert cluster.peak_live <= MESSAGE_BYTES
    cluster.drops_message = lambda msg: False
    cluster.run(10)
    assert_all_equal(cluster)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    ("max_delay_s", "limit_s"),
    [(0.02, ORDER_RESEND_S), (0.1, ORDER_RESEND_S), (0.3, CONFIG_APPLY_S)],
)
def test_large_orders_in_progress_do_not_wait_for_each_other(seed, max_delay_s, limit_s):
    """Guards against orders that wait for timeouts, since large messages overtake each other."""
    cluster = SizedCluster(3, seed)
    cluster.run(3)
    cluster.max_delay_s = max_delay_s
    proposals = []
    for number in range(8):
        size = 400_000 if number % 3 else 70_000
        proposals.append(cluster.propose(cluster.leader(), large_command(number, size)))
        cluster.run(0.01)
    cluster.run(limit_s)
    assert set(proposals) <= cluster.oracle.acknowledged.keys()
    assert cluster.peak_live <= MESSAGE_BYTES


def test_a_lost_reply_is_made_up_for_by_the_next_heartbeat():
    """Guards against large entries that are sent again because a reply was lost."""
    cluster = SizedCluster(3, seed=6)
    cluster.run(3)
    cluster.drops_message = lambda msg: msg.WhichOneof("body") == "append_reply"
    proposal = cluster.propose(cluster.leader(), large_command(1, 300_000))
    cluster.run(0.1)
    cluster.drops_message = lambda msg: False
    before = cluster.sent_bytes
    cluster.run(0.3)
    assert proposal in cluster.oracle.acknowledged
    assert cluster.sent_bytes - before < 100_000


def test_a_message_that_could_not_be_sent_is_sent_again_soon():
    """Guards against a wait for the whole timeout when the connection was refused."""
    cluster = SizedCluster(3, seed=7)
    cluster.run(3)
    leader = cluster.leader()
    cluster.drops_message = lambda msg: msg.ByteSize() > 50_000
    proposal = cluster.propose(leader, large_command(1, 300_000))
    cluster.run(0.05)
    cluster.drops_message = lambda msg: False
    for node_id in cluster.nodes:
        cluster.execute(leader, leader.raft.report_unsent(node_id, cluster.now))
    cluster.run(0.6)
    assert proposal in cluster.oracle.acknowledged


def test_a_new_member_catches_up_while_the_log_grows():
    """Guards against a member that is not promoted, since entries come as fast as it gets them."""
    cluster = SizedCluster(3, seed=8)
    cluster.run(3)
    propose_in_turn(cluster, 120, 100_000)
    cluster.max_delay_s = 0.3
    new = cluster.add("new/0")
    leader = cluster.leader()
    cluster.change(leader, raft.AddLearner(pb.Member(node_id=new.node_id)))
    started, promoted = cluster.now, ""
    while cluster.now < started + CATCH_UP_S and promoted not in cluster.oracle.acknowledged:
        number = round(1000 * cluster.now)
        cluster.propose_all(leader, [large_command(number + i, 100_000) for i in range(4)])
        if not promoted or isinstance(cluster.outcomes.get(promoted), BramleycrankError):
            promoted = cluster.change(leader, raft.Promote(new.node_id))
        cluster.run(0.4)
    assert promoted in cluster.oracle.acknowledged
    assert cluster.peak_live <= MESSAGE_BYTES


def test_an_entry_larger_than_every_bound_still_travels():
    """Guards against a bound that keeps a single large entry from a member for ever."""
    cluster = SizedCluster(3, seed=3, cfg={"bounds": raft.LogBounds(300_000, 150_000, 70_000, 1)})
    cluster.run(3)
    behind = next(node for node in cluster.nodes.values() if node is not cluster.leader())
    cluster.crash(behind)
    proposals = [cluster.propose(cluster.leader(), large_command(1, 4 * MIB))]
    cluster.run(5)
    proposals.append(cluster.propose(cluster.leader(), large_command(2, 2 * MIB)))
    cluster.run(5)
    cluster.restart(behind)
    cluster.run(10)
    assert set(proposals) <= cluster.oracle.acknowledged.keys()
    assert_all_equal(cluster)


def test_a_leader_without_a_quorum_holds_a_bounded_log():
    """Guards against uncommitted entries counted without their sizes, in memory and on disk."""
    bounds = raft.LogBounds()
    cluster = SizedCluster(3, seed=4)
    cluster.run(3)
    leader = cluster.leader()
    isolate(cluster, leader.node_id)
    ids = cluster.propose_all(leader, [large_command(i, 400_000) for i in range(100)])
    rejected = [i for i in ids if isinstance(cluster.outcomes.get(i), NoQuorum)]
    assert len(rejected) >= 75
    assert leader.raft.log_bytes <= bounds.uncommitted_bytes + 500_000
    cluster.partitioned_links = set()
    cluster.run(5)
    assert_all_equal(cluster)


def exchange(cluster: SizedCluster, count: int) -> None:
    """Change the members in a random way that may fail."""
    leader, rng = cluster.leader(), cluster.rng
    members = leader.raft.membership.members
    learners = [m.node_id for m in members if not m.voter]
    if not learners:
        node = cluster.add(f"new{count}/0")
        cluster.change(leader, raft.AddLearner(pb.Member(node_id=node.node_id)))
    elif rng.random() < 0.6:
        cluster.change(leader, raft.Promote(rng.choice(learners)))
    else:
        # Removing a live voter beside lost ones may leave no majority.
        lost = [m.node_id for m in members if m.node_id in cluster.lost_nodes]
        cluster.change(leader, raft.Remove(rng.choice(lost or [m.node_id for m in members])))


def inject_event(cluster: SizedCluster, count: int) -> None:
    """Inject one random event: large proposals, members that leave and return, exchanges."""
    rng, leader = cluster.rng, cluster.leader()
    nodes = [node for node in cluster.nodes.values() if node.alive]
    stopped = [node for node in cluster.nodes.values() if not node.alive]
    event = rng.choice(["propose"] * 5 + ["stop", "return", "lose", "cut", "net", "exchange"])
    if event == "propose" and leader is not None:
        sizes = [rng.choice([100, 5_000, 100_000, 300_000]) for _ in range(rng.randint(1, 8))]
        commands = [large_command(100 * count + i, size) for i, size in enumerate(sizes)]
        cluster.propose_all(leader, commands)
    elif event == "stop" and not stopped and nodes:
        cluster.crash(rng.choice(nodes))
    elif event == "return" and stopped:
        cluster.restart(rng.choice(stopped))
    elif event == "lose":
        node = rng.choice(list(cluster.nodes.values()))
        if cluster.may_lose(node.node_id):
            cluster.lose_disk(node)
    elif event == "cut":
        cluster.partitioned_links = set()
        if rng.random() < 0.6 and nodes:
            isolate(cluster, rng.choice(nodes).node_id)
    elif event == "net":
        cluster.loss_probability = rng.choice([0, 0, 0.1, 0.3])
        cluster.max_delay_s = rng.choice([0.02, 0.1, 0.3])
    elif event == "exchange" and leader is not None and leader.alive:
        exchange(cluster, count)


@pytest.mark.parametrize("seed", SEEDS)
def test_bytes_stay_bounded_and_no_commit_is_lost_under_faults(seed):
    """Guards against any series of faults that makes messages or logs large, or loses a commit."""
    bounds = raft.LogBounds.from_limits(16 * MIB, 0)
    largest = 310_000
    cluster = SizedCluster(3 + 2 * (seed % 2), seed, cfg={"bounds": bounds})
    cluster.run(3)
    for count in range(60):
        inject_event(cluster, count)
        cluster.run(cluster.rng.choice([0.05, 0.3, 1.0]))
    cluster.heal_and_run(30)
    assert cluster.leader() is not None
    members = {m.node_id for m in cluster.leader().raft.membership.members}
    images = {node.state.image() for name, node in cluster.nodes.items() if name in members}
    assert len(images) == 1
    image_bytes = 2 * 3 * largest  # each of the services, and the change that created it
    assert cluster.peak_message <= max(bounds.message_bytes + largest, image_bytes)
    assert cluster.peak_live <= 2 * (bounds.message_bytes + largest) + image_bytes
    compacted_at = max(bounds.log_bytes, image_bytes)
    uncommitted = bounds.uncommitted_bytes + largest
    assert cluster.peak_log <= bounds.retained_bytes + compacted_at + 3 * uncommitted
