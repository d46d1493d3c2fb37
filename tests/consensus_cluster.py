"""Simulated cluster of Raft nodes: in-memory disks, a faulty network and checks at each step."""

from __future__ import annotations

import heapq
import itertools
import os
import random
from collections.abc import Callable

import attrs
from hypothesis import settings

from bramleycrank import consensus as raft
from bramleycrank.proto import log_pb2 as pb
from bramleycrank.state import ReplicatedState
from bramleycrank.storage.segment import SegmentContent


def hypothesis_settings(examples: int, steps: int = 30) -> settings:
    """Return Hypothesis settings; the long profile runs 40 times the examples."""
    long_profile = os.environ.get("HYPOTHESIS_PROFILE") == "long"
    return settings(
        max_examples=examples * (40 if long_profile else 1),
        stateful_step_count=steps * (3 if long_profile else 1),
    )


class MemoryDisk:
    """In-memory stand-in for ``LogStore`` with the same rules."""

    def __init__(self) -> None:
        self.snapshot: pb.LogSnapshot | None = None
        self.content = SegmentContent(first_index=1)

    def load(self) -> raft.DurableState:
        return raft.DurableState(
            self.content.hard_state, self.snapshot, tuple(self.content.entries)
        )

    def save_snapshot(self, snapshot: pb.LogSnapshot) -> None:
        self.content = self.content.retained_after(snapshot)
        self.snapshot = snapshot


@attrs.define(eq=False)
class SimNode:
    """Simulated node; `waiting` holds the ids of its unresolved proposals."""

    node_id: str
    disk: MemoryDisk
    raft: raft.RaftNode
    state: ReplicatedState
    applied: int = 0
    alive: bool = True
    crash_after: int | None = None
    waiting: set[str] = attrs.field(factory=set)


class Oracle:
    """Checks the invariants of the whole cluster, which must hold under any faults."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}
        self.contents: dict[tuple[int, int], tuple[bytes, int]] = {}
        self.committed: dict[int, bytes] = {}
        self.commit_terms: dict[int, int] = {}
        self.commit_times: dict[int, float] = {}
        self.results: dict[int, pb.CommandResult] = {}
        self.rejected: set[str] = set()
        self.acknowledged: dict[str, tuple[int, pb.CommandResult]] = {}
        self.membership = pb.Membership()
        self.versions: dict[str, int] = {}
        self.first_results: dict[str, pb.CommandResult] = {}
        self.revision = 0

    def on_persisted(self, entry: pb.Entry, previous_term: int) -> None:
        """Check log matching: index and term determine an entry and the term before it."""
        content = (entry.SerializeToString(), previous_term)
        assert self.contents.setdefault((entry.index, entry.term), content) == content

    def on_leader(self, node: SimNode, term: int) -> None:
        """Check election safety, and that the leader's log holds every committed entry.

        Votes may arrive after a leader of a higher term has committed entries. The late leader
        needs those that were committed up to its own term; it can commit nothing any more.
        """
        assert self.leaders.setdefault(term, node.node_id) == node.node_id
        stored = {entry.index: entry.SerializeToString() for entry in node.disk.content.entries}
        start = node.disk.snapshot.index
        assert all(
            stored.get(i) == data
            for i, data in self.committed.items()
            if i > start and self.commit_terms[i] <= term
        )

    def on_applied(self, entry: pb.Entry, now: float, term: int) -> pb.CommandResult:
        """Check that all nodes apply the same entry; return its expected result.

        Parameters
        ----------
        entry : Entry
            The entry.
        now : float
            Current time in seconds.
        term : int
            Term of the node that applies it; the entry was committed in this term at the latest.
        """
        data = entry.SerializeToString()
        assert self.committed.setdefault(entry.index, data) == data
        self.commit_terms[entry.index] = min(term, self.commit_terms.get(entry.index, term))
        assert entry.proposal_id not in self.rejected
        if entry.index not in self.results:
            self.commit_times[entry.index] = now
            self.results[entry.index] = self._expected_result(entry)
            if entry.WhichOneof("body") == "membership":
                self.membership = entry.membership
        return self.results[entry.index]

    def committed_before(self, time: float) -> int:
        return max((i for i, at in self.commit_times.items() if at < time), default=0)

    def _expected_result(self, entry: pb.Entry) -> pb.CommandResult:
        """Compute the result from a model: versions by name and first results by change id."""
        code = pb.ResultCode.RESULT_CODE_OK
        if entry.WhichOneof("body") != "command":
            return pb.CommandResult(code=code, revision=self.revision)
        change = pb.Command.FromString(entry.command).change
        if change.change_id in self.first_results:
            return self.first_results[change.change_id]
        name = change.put_service.name
        version = self.versions.get(name, 0)
        if version == change.expected_version:
            self.revision += 1
            version = self.versions[name] = self.revision
        else:
            code = pb.ResultCode.RESULT_CODE_VERSION_CONFLICT
        result = pb.CommandResult(code=code, revision=self.revision, version=version)
        self.first_results[change.change_id] = result
        return result


class Cluster:
    """Simulated nodes, network and clock."""

    def __init__(self, size: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.oracle = Oracle()
        self.nodes: dict[str, SimNode] = {}
        self.lost_nodes: set[str] = set()
        self.partitioned_links: set[tuple[str, str]] = set()
        self.network: list[tuple[float, int, pb.ConsensusMessage]] = []
        self.loss_probability = self.duplication_probability = 0.0
        self.max_delay_s = 0.02
        self.drops_message: Callable[[pb.ConsensusMessage], bool] = lambda msg: False
        self.ids = itertools.count(1)
        self.reads: dict[str, int] = {}
        self.outcomes: dict[str, object] = {}
        members = [
            pb.Member(node_id=f"vm{i}/0", host=f"vm{i}", domain=f"d{i}", voter=True)
            for i in range(size)
        ]
        self.initial_membership = pb.Membership(cluster_id="cluster", members=members)
        self.oracle.membership = self.initial_membership
        for member in members:
            node = self.add(member.node_id)
            self.execute(node, node.raft.bootstrap(self.initial_membership, self.now))
            node.applied = node.raft.commit_index

    def add(self, node_id: str) -> SimNode:
        """Start a node with an empty disk."""
        disk = MemoryDisk()
        node = SimNode(node_id, disk, self._new_raft_node(node_id, disk), ReplicatedState())
        self.nodes[node_id] = node
        return node

    def crash(self, node: SimNode) -> None:
        node.alive, node.crash_after = False, None
        node.waiting.clear()

    def restart(self, node: SimNode) -> None:
        node.raft = self._new_raft_node(node.node_id, node.disk)
        snapshot = node.disk.snapshot or pb.LogSnapshot()
        node.state = ReplicatedState.from_image(snapshot.image)
        node.applied, node.alive = snapshot.index, True

    def lose_disk(self, node: SimNode) -> None:
        """Remove a node with its disk; its VM may start again under a new node id."""
        self.crash(node)
        self.lost_nodes.add(node.node_id)
        del self.nodes[node.node_id]

    def may_lose(self, node_id: str) -> bool:
        """Return whether each membership in use would keep a majority of voters with disks."""
        sent = (entry for _, _, msg in self.network for entry in msg.append_request.entries)
        memberships = [entry.membership for entry in sent if entry.HasField("membership")]
        memberships += [node.raft.membership for node in self.nodes.values()]
        lost_node_ids = self.lost_nodes | {node_id}
        voter_ids = [[m.node_id for m in item.members if m.voter] for item in memberships]
        if any(len(lost_node_ids & set(ids)) > (len(ids) - 1) // 2 for ids in voter_ids if ids):
            return False
        is_voter = any(node_id in ids for ids in voter_ids)
        return is_voter or not any(self.lost_nodes & set(ids) for ids in voter_ids)

    def alive_nodes(self) -> list[SimNode]:
        return [node for node in self.nodes.values() if node.alive]

    def leader(self) -> SimNode | None:
        leaders = [node for node in self.alive_nodes() if node.raft.role is raft.Role.LEADER]
        return max(leaders, key=lambda node: node.raft.term, default=None)

    def propose(self, node: SimNode, command: pb.Command) -> str:
        return self.propose_all(node, [command])[0]

    def propose_all(self, node: SimNode, commands: list[pb.Command]) -> list[str]:
        ids = [f"p{next(self.ids)}" for _ in commands]
        proposals = [
            raft.Proposal(i, command.SerializeToString())
            for i, command in zip(ids, commands, strict=True)
        ]
        node.waiting.update(ids)
        self.execute(node, node.raft.propose(proposals, self.now))
        return ids

    def change(self, node: SimNode, change: raft.AddLearner | raft.Promote | raft.Remove) -> str:
        proposal_id = f"m{next(self.ids)}"
        node.waiting.add(proposal_id)
        self.execute(node, node.raft.change_membership(proposal_id, change, self.now))
        return proposal_id

    def read(self, node: SimNode) -> str:
        read_id = f"r{next(self.ids)}"
        self.reads[read_id] = max(self.oracle.committed, default=0)
        self.execute(node, node.raft.read_index(read_id, self.now))
        return read_id

    def compact(self, node: SimNode) -> None:
        self.execute(node, node.raft.compact(node.applied, node.state.image()))

    def run(self, duration_s: float) -> None:
        """Advance the clock; deliver messages and tick the nodes when due."""
        end = self.now + duration_s
        while True:
            ticks = [(node.raft.next_deadline(), node.node_id) for node in self.alive_nodes()]
            tick_at, node_id = min(ticks, default=(end, ""))
            message_at = self.network[0][0] if self.network else end
            next_event_at = max(self.now, min(tick_at, message_at))
            if next_event_at >= end:
                self.now = end
                return
            self.now = next_event_at
            if message_at <= tick_at:
                self.deliver(heapq.heappop(self.network)[2])
            else:
                node = self.nodes[node_id]
                self.execute(node, node.raft.tick(self.now))

    def heal_and_run(self, duration_s: float = 8.0) -> None:
        """Remove all faults, restart crashed nodes and run long enough to recover."""
        self.partitioned_links.clear()
        self.loss_probability = self.duplication_probability = 0.0
        self.max_delay_s = 0.02
        for node in self.nodes.values():
            node.crash_after = None
            if not node.alive:
                self.restart(node)
        self.run(duration_s)

    def deliver(self, msg: pb.ConsensusMessage) -> None:
        node = self.nodes.get(msg.recipient)
        is_partitioned = (msg.sender, msg.recipient) in self.partitioned_links
        is_lost = (
            is_partitioned or self.drops_message(msg) or self.rng.random() < self.loss_probability
        )
        if node is not None and node.alive and not is_lost:
            self.execute(node, node.raft.receive(msg, self.now))

    def execute(self, node: SimNode, actions: list[object]) -> None:
        """Execute actions in order; the node may crash between any two of them."""
        for action in actions:
            if node.crash_after is not None:
                if node.crash_after == 0:
                    self.crash(node)
                    return
                node.crash_after -= 1
            self._execute_one(node, action)
        confirmed_at = node.raft.confirmed_at
        if confirmed_at is not None:
            assert node.raft.commit_index >= self.oracle.committed_before(confirmed_at)

    def _execute_one(self, node: SimNode, action: object) -> None:
        match action:
            case raft.Persist():
                self._persist(node, action)
            case raft.PersistSnapshot(snapshot):
                node.disk.save_snapshot(snapshot)
            case raft.RestoreState(snapshot):
                assert snapshot.index > node.applied
                revision_before = node.state.config.revision
                node.state = ReplicatedState.from_image(snapshot.image)
                node.applied = snapshot.index
                assert node.state.config.revision >= revision_before
            case raft.Send(message):
                self._check_synced(node, message)
                self._send(message)
            case raft.Apply(entries):
                for entry in entries:
                    self._apply(node, entry)
            case raft.ProposalRejected(proposal_id, error):
                assert proposal_id in node.waiting
                node.waiting.discard(proposal_id)
                self.oracle.rejected.add(proposal_id)
                self.outcomes[proposal_id] = error
            case raft.ProposalUnresolved(proposal_id):
                assert proposal_id in node.waiting
                node.waiting.discard(proposal_id)
                self.outcomes[proposal_id] = action
            case raft.ReadReady(read_id, index):
                assert self.reads[read_id] <= index <= node.applied
                self.outcomes[read_id] = index
            case raft.ReadFailed(read_id, error):
                self.outcomes[read_id] = error
            case raft.RoleChanged(role, term, leader_id):
                if role is raft.Role.LEADER:
                    assert leader_id == node.node_id
                    self.oracle.on_leader(node, term)
            case _:
                raise AssertionError(action)

    def _check_synced(self, node: SimNode, msg: pb.ConsensusMessage) -> None:
        """Check that the state that a message relies on is on the disk before it is sent."""
        hard, content = node.disk.content.hard_state, node.disk.content
        if msg.HasField("vote_reply") and msg.vote_reply.granted and not msg.vote_reply.pre_vote:
            assert (hard.term, hard.voted_for) == (msg.term, msg.recipient)
        if msg.HasField("vote_request") and not msg.vote_request.pre_vote:
            assert (hard.term, hard.voted_for) == (msg.term, node.node_id)
        if msg.HasField("append_reply") and msg.append_reply.success:
            assert content.first_index + len(content.entries) > msg.append_reply.match_index

    def _persist(self, node: SimNode, action: raft.Persist) -> None:
        old = node.disk.content.hard_state
        node.disk.content.apply(action)
        new = node.disk.content.hard_state
        assert new.term >= old.term
        assert new.term > old.term or old.voted_for in ("", new.voted_for)
        content = node.disk.content
        for entry in action.entries:
            position = entry.index - content.first_index
            is_first = position == 0
            previous = node.disk.snapshot if is_first else content.entries[position - 1]
            self.oracle.on_persisted(entry, previous.term)

    def _apply(self, node: SimNode, entry: pb.Entry) -> None:
        assert entry.index == node.applied + 1
        node.applied = entry.index
        revision_before = node.state.config.revision
        result = node.state.apply(entry)
        expected = self.oracle.on_applied(entry, self.now, node.raft.term)
        actual = (result.code, result.revision, result.version)
        assert actual == (expected.code, expected.revision, expected.version)
        assert result.revision >= 0 <= node.state.config.revision - revision_before
        if entry.proposal_id in node.waiting:
            node.waiting.discard(entry.proposal_id)
            self.oracle.acknowledged[entry.proposal_id] = (entry.index, result)
            self.outcomes[entry.proposal_id] = result

    def _send(self, msg: pb.ConsensusMessage) -> None:
        copies = 2 if self.rng.random() < self.duplication_probability else 1
        for _ in range(copies):
            due = self.now + self.rng.uniform(0.001, self.max_delay_s)
            heapq.heappush(self.network, (due, next(self.ids), msg))

    def _new_raft_node(self, node_id: str, disk: MemoryDisk) -> raft.RaftNode:
        cfg = raft.RaftConfig(node_id, max_entries_per_append=3, snapshot_retry_s=0.5)
        rng = random.Random(self.rng.getrandbits(32))
        return raft.RaftNode.from_config(cfg, disk.load(), rng, self.now)


def put_service_command(name: str, expected: int, change_id: str) -> pb.Command:
    change = pb.Change(
        change_id=change_id, expected_version=expected, put_service=pb.ServiceConfig(name=name)
    )
    return pb.Command(change=change)


def isolate(cluster: Cluster, *node_ids: str) -> None:
    others = set(cluster.nodes) - set(node_ids)
    cluster.partitioned_links = {(a, b) for a in node_ids for b in others}
    cluster.partitioned_links |= {(b, a) for a, b in cluster.partitioned_links}
