"""Runs one `RaftNode` with its log files and its replicated state.

All events of one iteration of the event loop are handled together: messages first, then all queued
proposals as one batch with one sync of the log, then timers. Actions are executed in the order in
which the node returns them, so a record is synced before any message that depends on it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from bramleycrank.consensus import RaftNode, types
from bramleycrank.exceptions import (
    BramleycrankError,
    InternalError,
    NoQuorum,
    Outcome,
    ProposalOutcomeUnknown,
    StorageError,
)
from bramleycrank.observability.metrics import Metrics
from bramleycrank.proto import log_pb2
from bramleycrank.state import LeaveTable, ReplicatedState, with_leaves
from bramleycrank.storage import LogStore
from bramleycrank.transport.consensus_links import ConsensusLinks

log = logging.getLogger(__name__)

# Bounds the log that a restart replays and the time of one compaction. Large entries reach the
# bound in bytes earlier.
COMPACT_ENTRIES = 1000


class Listener(Protocol):
    """Receives notifications of changes in the Raft node."""

    def on_applied(self) -> None:
        """Handle that log entries or a snapshot were applied."""

    def on_role(self) -> None:
        """Handle a change of the role, the term or the known leader, or a failure of the node."""


@attrs.define
class _PendingCalls:
    """Futures of callers, by proposal id or read id."""

    proposals: dict[str, asyncio.Future] = attrs.field(factory=dict)
    reads: dict[str, asyncio.Future] = attrs.field(factory=dict)

    def fail_all(self, error: Callable[[], BramleycrankError]) -> None:
        """Fail every future with a new error."""
        for futures in (self.proposals, self.reads):
            to_fail = list(futures.values())
            futures.clear()
            for future in to_fail:
                _fail(future, error())


def _resolve(future: asyncio.Future | None, value: object) -> None:
    if future is not None and not future.done():
        future.set_result(value)


def _fail(future: asyncio.Future | None, error: Exception) -> None:
    if future is not None and not future.done():
        future.set_exception(error)


class RaftRunner:
    """Feeds events to a `RaftNode` and executes its actions.

    Parameters
    ----------
    node : RaftNode
        The Raft node.
    store : LogStore
        Log files of the node.
    state : ReplicatedState
        Replicated state of the snapshot that the node was loaded with.
    links : ConsensusLinks
        Sends messages to other nodes.
    listener : Listener
        Notified of applied entries and changes of the role.
    metrics : Metrics
        Receiver of metrics.
    applied_index : int, optional
        Index of the last log entry that `state` includes.
    logged_leaves : LeaveTable, optional
        Leaves of targets in the entries that the node was loaded with, committed or not.
    """

    def __init__(
        self,
        node: RaftNode,
        store: LogStore,
        state: ReplicatedState,
        links: ConsensusLinks,
        listener: Listener,
        metrics: Metrics,
        applied_index: int = 0,
        logged_leaves: LeaveTable | None = None,
    ) -> None:
        self.node = node
        self.state = state
        self._logged_leaves = logged_leaves or LeaveTable()
        self.failure: BaseException | None = None
        self.applied_index = applied_index
        self._store = store
        self._links = links
        self._listener = listener
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._inbox: list[log_pb2.ConsensusMessage] = []
        self._unsent: set[str] = set()
        self._batch: list[types.Proposal] = []
        self._pending = _PendingCalls()
        self._compacted_index = applied_index
        self._iteration_handle: asyncio.Handle | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False

    def start(self) -> None:
        """Start the timer of the node."""
        self._set_timer()

    def close(self) -> None:
        """Stop; pending calls fail with `ProposalOutcomeUnknown`."""
        self._closed = True
        for handle in (self._iteration_handle, self._timer):
            if handle is not None:
                handle.cancel()
        self._pending.fail_all(ProposalOutcomeUnknown)

    def receive(self, message: log_pb2.ConsensusMessage) -> None:
        """Queue a message of another node for the next iteration of the event loop."""
        if self._closed or self.failure:
            return
        self._inbox.append(message)
        self._schedule_iteration()

    def on_unsent(self, node_id: str) -> None:
        """Note a large message that could not be sent, for the next iteration of the event loop."""
        if not self._closed:
            self._unsent.add(node_id)
            self._schedule_iteration()

    def propose(self, proposal_id: str, command: log_pb2.Command) -> asyncio.Future:
        """Queue a command for the next loop turn.

        Returns
        -------
        asyncio.Future
            Result of the command; `NotLeader` if it is in no log, `ProposalOutcomeUnknown` if
            it may still be committed.
        """
        known = proposal_id in self._pending.proposals
        future = self._future_for(self._pending.proposals, proposal_id)
        if not known and not future.done():
            self._batch.append(types.Proposal(proposal_id, command.SerializeToString()))
            self._schedule_iteration()
        return future

    def change_membership(self, proposal_id: str, change: object) -> asyncio.Future:
        """Propose one change of the members."""
        future = self._future_for(self._pending.proposals, proposal_id)
        self._run(lambda now: self.node.change_membership(proposal_id, change, now))
        return future

    def read_index(self, read_id: str) -> asyncio.Future:
        """Have a quorum confirm the leadership; the result is the index to read at."""
        future = self._future_for(self._pending.reads, read_id)
        self._run(lambda now: self.node.read_index(read_id, now))
        return future

    def bootstrap(self, membership: log_pb2.Membership) -> None:
        """Make the node a first voter of a new cluster.

        Raises
        ------
        AlreadyBootstrapped
            The node has a log.
        StorageError
            The node stopped after a failure, now or earlier; the bootstrap may not be durable.
        """
        if not self.failure:
            actions = self.node.bootstrap(membership, self._loop.time())
            self._run(lambda now: actions)
        if self.failure:
            raise StorageError(f"the consensus core is stopped: {self.failure}")

    def transfer_leadership(self) -> None:
        """Transfer the leadership to the follower with the most recent log."""
        self._run(self.node.transfer_leadership)

    def has_left(self, target_id: str, incarnation: int) -> bool:
        """Return whether a target has left according to the log, committed or not.

        A leave is true once the target has said it, so one without a quorum counts as well.
        """
        tables = (self.state.leaves, self._logged_leaves)
        return any(table.covers(target_id, incarnation) for table in tables)

    def report_bytes(self) -> None:
        """Set the gauges of the bytes that the log holds in memory, on disk and for members.

        After a failure of the disk they keep their values until the log is open again.
        """
        if self._closed:
            return
        self._metrics.gauge("consensus.log_memory", self.node.log_bytes)
        self._metrics.gauge("storage.log", self._store.log_bytes)
        queued, in_flight = self._links.held_bytes()
        self._metrics.labelled_gauge("consensus.queued", ("member",), queued)
        self._metrics.labelled_gauge("consensus.in_flight", ("member",), in_flight)

    def dump(self) -> dict[str, object]:
        """Return the state of the node, its files and its pending calls in JSON form."""
        return {
            "failure": repr(self.failure) if self.failure else None,
            "applied_index": self.applied_index,
            "compacted_index": self._compacted_index,
            "waiting_proposals": len(self._pending.proposals),
            "waiting_reads": len(self._pending.reads),
            "core": self.node.dump(),
            "state": self.state.dump(),
            "storage": self._store.dump(),
            "links": self._links.dump(self._loop.time()),
        }

    def _future_for(self, futures: dict[str, asyncio.Future], key: str) -> asyncio.Future:
        """Return the future of an id; calls with the same id share it."""
        future = futures.get(key)
        if future is None or future.done():
            future = futures[key] = self._loop.create_future()
            future.add_done_callback(lambda done: self._remove_future(futures, key, done))
        if self._closed or self.failure:
            _fail(future, NoQuorum("the consensus core is stopped", outcome=Outcome.NOT_RUN))
        return future

    @staticmethod
    def _remove_future(futures: dict[str, asyncio.Future], key: str, done: asyncio.Future) -> None:
        if futures.get(key) is done:
            del futures[key]
        if not done.cancelled():
            done.exception()  # Marks it as retrieved; the caller may no longer wait.

    def _schedule_iteration(self) -> None:
        if self._iteration_handle is None and not self._closed and not self.failure:
            self._iteration_handle = self._loop.call_soon(self._run_iteration)

    def _run_iteration(self) -> None:
        self._iteration_handle = None
        inbox, self._inbox = self._inbox, []
        batch, self._batch = self._batch, []
        unsent, self._unsent = sorted(self._unsent), set()
        for node_id in unsent:
            self._run(lambda now, node_id=node_id: self.node.report_unsent(node_id, now))
        for message in inbox:
            self._keep_leaves(message)
            self._run(lambda now, message=message: self.node.receive(message, now))
        if batch:
            self._run(lambda now: self.node.propose(batch, now))
        if self._loop.time() >= self.node.next_deadline():
            self._run(self.node.tick)

    def _keep_leaves(self, message: log_pb2.ConsensusMessage) -> None:
        """Add the known leaves to an image of a build that keeps none, before it replaces them.

        The image is stored and sent on with them.
        """
        if message.WhichOneof("body") == "install_snapshot":
            snapshot = message.install_snapshot.snapshot
            snapshot.image = with_leaves(snapshot.image, self._logged_leaves, self.state.leaves)

    def _run(self, event: Callable[[float], Sequence[object]]) -> None:
        """Pass one event to the node and execute the actions that it returns.

        After a failure to write the log files, the node's state in memory is ahead of the durable
        state, so it must not run again: it could acknowledge entries or votes that are not durable.
        """
        if self._closed or self.failure:
            return
        try:
            for action in event(self._loop.time()):
                self._execute(action)
            self._compact()
        except Exception as exc:
            log.exception("consensus: stopped after a failure")
            self.failure = exc
            self._pending.fail_all(self._stopped_error)
            self._listener.on_role()
        else:
            self._set_timer()

    def _stopped_error(self) -> BramleycrankError:
        kind = StorageError if isinstance(self.failure, OSError | StorageError) else InternalError
        return ProposalOutcomeUnknown(f"{kind.__name__}: {self.failure}")

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self.node.next_deadline(), self._schedule_iteration)

    def _execute(self, action: object) -> None:
        match action:
            case types.Persist():
                started = self._loop.time()
                self._store.persist(action)
                self._metrics.timing("storage.sync", self._loop.time() - started)
            case types.PersistSnapshot():
                self._store.save_snapshot(action.snapshot)
            case types.Send():
                self._send(action.message)
            case types.Apply():
                self._apply(action.entries)
            case types.RestoreState():
                self._restore(action.snapshot)
            case types.ProposalRejected():
                _fail(self._pending.proposals.get(action.proposal_id), action.error)
            case types.ProposalUnresolved():
                error = ProposalOutcomeUnknown("leadership was lost")
                _fail(self._pending.proposals.get(action.proposal_id), error)
            case types.ReadReady():
                _resolve(self._pending.reads.get(action.read_id), action.index)
            case types.ReadFailed():
                _fail(self._pending.reads.get(action.read_id), action.error)
            case types.RoleChanged():
                log.info("consensus: %s in term %s", action.role, action.term)
                self._metrics.incr("consensus.role_changes")
                self._listener.on_role()
            case _:
                raise InternalError(f"unknown action {type(action).__name__}")

    def _send(self, message: log_pb2.ConsensusMessage) -> None:
        if message.WhichOneof("body") == "install_snapshot":
            log.info("consensus: sends a snapshot to %s", message.recipient)
            self._metrics.incr("consensus.snapshots_sent")
        self._links.send(message)

    def _apply(self, entries: Sequence[log_pb2.Entry]) -> None:
        for entry in entries:
            result = self.state.apply(entry)
            self.applied_index = entry.index
            _resolve(self._pending.proposals.get(entry.proposal_id), result)
        self._listener.on_applied()

    def _restore(self, snapshot: log_pb2.LogSnapshot) -> None:
        self.state = ReplicatedState.from_image(snapshot.image)
        self.applied_index = self._compacted_index = snapshot.index
        self._listener.on_applied()

    def _compact(self) -> None:
        is_long = self.applied_index - self._compacted_index >= COMPACT_ENTRIES
        if not is_long and not self.node.needs_compaction:
            return
        self._compacted_index = self.applied_index
        image = self.state.image()
        log.info(
            "consensus: compacts the log up to entry %s into %s bytes",
            self.applied_index,
            len(image),
        )
        for action in self.node.compact(self.applied_index, image):
            self._execute(action)
