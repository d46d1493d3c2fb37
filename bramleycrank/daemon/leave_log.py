"""Leaves of targets in the replicated log: committed before they are acknowledged."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Protocol

from bramleycrank.exceptions import BramleycrankError, InternalError, NoQuorum, Outcome
from bramleycrank.observability.metrics import Metrics
from bramleycrank.proto import log_pb2
from bramleycrank.state import LeaveTable, ReplicatedState

log = logging.getLogger(__name__)

COMMIT_WAIT_S = 0.8
"""Longest wait of a leaving target for the commit, in seconds; it calls another VM after 1 s."""

COMMIT_TIMEOUT_S = 2.0
"""Timeout for committing one batch of leaves, in seconds."""

COMMIT_RETRY_MS = 500
"""Retry-after for a target whose leave is not committed yet, in milliseconds."""

MAX_BATCH = 256
"""Most leaves in one log entry."""

CATCH_UP_LIMIT_S = 3.0
"""Time after the start from which a VM takes reports although its log is not confirmed, in seconds.
Without a quorum the targets in service would be lost otherwise."""

CATCH_UP_POLL_S = 0.01
"""Polling period while this VM waits for a leader or for its own log, in seconds."""

SPREAD_CHECK_S = 0.5
"""Time from the commit of a leave until the VMs with a log check that they know it from gossip, in
seconds. The VM that took it pushes it within that time, unless it ends."""


class ReplicatedLog(Protocol):
    """The replicated log as this VM sees it."""

    has_log: bool
    applied_index: int
    state: ReplicatedState | None

    def has_left(self, target_id: str, incarnation: int) -> bool:
        """Return whether a target has left according to the log of this VM, committed or not."""

    async def propose(self, command: log_pb2.Command, timeout_s: float) -> log_pb2.CommandResult:
        """Commit a command through the leader."""


class LeaveRecorder(Protocol):
    """Keeps leaves of targets beyond the end of this process."""

    def has_left(self, target_id: str, incarnation: int) -> bool:
        """Return whether a target has left in an incarnation or a later one."""

    def incarnation_of(self, target_id: str) -> int | None:
        """Return the newest incarnation in which a target left, or None."""

    def wait_caught_up(self, timeout_s: float) -> Awaitable[bool]:
        """Wait until all leaves that were acknowledged before the start are known."""

    def record(self, target_id: str, incarnation: int) -> Awaitable[None]:
        """Keep a leave; raise `NoQuorum` if it is not kept yet."""

    def unspread(self, now: float) -> list[tuple[str, int]]:
        """Return leaves that the VM which took them should have spread by now."""


class NoLeaveLog:
    """Keeps nothing, for a registry of targets without a replicated log."""

    def has_left(self, target_id: str, incarnation: int) -> bool:
        """Return False."""
        return False

    def incarnation_of(self, target_id: str) -> int | None:
        """Return None."""
        return None

    async def wait_caught_up(self, timeout_s: float) -> bool:
        """Return True at once."""
        return True

    async def record(self, target_id: str, incarnation: int) -> None:
        """Return at once."""

    def unspread(self, now: float) -> list[tuple[str, int]]:
        """Return no leaves."""
        return []


class LeaveLog:
    """Commits leaves of targets in the replicated log and reads them there; a `LeaveRecorder`.

    Load pattern: a release makes many targets leave at once. One batch is in flight, and leaves
    that arrive meanwhile form the next one.

    Parameters
    ----------
    replicated : ReplicatedLog
        The replicated log.
    confirmed_index : callable
        Returns an index of the log that a quorum confirmed after the call; raises
        `BramleycrankError` if it cannot be determined now.
    metrics : Metrics
        Receiver of metrics.
    """

    def __init__(
        self,
        replicated: ReplicatedLog,
        confirmed_index: Callable[[], Awaitable[int]],
        metrics: Metrics,
    ) -> None:
        self._replicated = replicated
        self._confirmed_index = confirmed_index
        self._metrics = metrics
        self._waiting: dict[tuple[str, int], asyncio.Future[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._commit_task: asyncio.Task[None] | None = None
        self._caught_up = asyncio.Event()
        self._seen_table: LeaveTable | None = None
        self._seen_count = 0
        self._unchecked: deque[tuple[float, str, int]] = deque()

    def start(self) -> None:
        """Begin to find out whether the log of this VM has all that was committed."""
        if self._replicated.has_log:
            self._spawn(self._catch_up())
        else:
            self._caught_up.set()

    def stop(self) -> None:
        """Stop all tasks."""
        for task in self._tasks:
            task.cancel()

    def has_left(self, target_id: str, incarnation: int) -> bool:
        """Return whether a target has left according to the log of this VM."""
        return self._replicated.has_left(target_id, incarnation)

    def incarnation_of(self, target_id: str) -> int | None:
        """Return the newest incarnation in which a target left according to the log, or None."""
        state = self._replicated.state
        return state.leaves.incarnation_of(target_id) if state else None

    async def wait_caught_up(self, timeout_s: float) -> bool:
        """Wait until this VM knows all leaves that were acknowledged before it started.

        Returns
        -------
        bool
            Whether it does; True without a quorum as well, `CATCH_UP_LIMIT_S` after the start.
        """
        if self._caught_up.is_set():
            return True
        try:
            await asyncio.wait_for(self._caught_up.wait(), max(0.0, timeout_s))
        except TimeoutError:
            return False
        return True

    async def record(self, target_id: str, incarnation: int) -> None:
        """Commit a leave; return at once if it is committed already.

        Raises
        ------
        NoQuorum
            The leave is not committed yet, so it must not be acknowledged.
        """
        if self._is_recorded(target_id, incarnation):
            self._metrics.incr("targets.leaves_repeated")
            return
        key = (target_id, incarnation)
        future = self._waiting.get(key)
        if future is None:
            future = self._waiting[key] = asyncio.get_running_loop().create_future()
        if self._commit_task is None or self._commit_task.done():
            self._commit_task = self._spawn(self._commit_waiting())
        try:
            # Resends share the future, and the commit goes on after the caller has given up.
            await asyncio.wait_for(asyncio.shield(future), COMMIT_WAIT_S)
        except (TimeoutError, BramleycrankError) as exc:
            self._metrics.incr("targets.leaves_uncommitted")
            log.warning(
                "control: the leave of a target is not committed",
                extra={"target": target_id, "incarnation": incarnation, "reason": str(exc)},
            )
            raise NoQuorum(
                "the leave is not committed yet",
                outcome=Outcome.UNKNOWN,
                retry_after_ms=COMMIT_RETRY_MS,
            ) from None
        self._metrics.incr("targets.leaves_committed")

    def unspread(self, now: float) -> list[tuple[str, int]]:
        """Return the leaves that were committed `SPREAD_CHECK_S` ago or earlier, each one once.

        Parameters
        ----------
        now : float
            Current time in seconds, of any clock that does not step.
        """
        self._unchecked.extend((now, *leave) for leave in self._new_leaves())
        due = []
        while self._unchecked and now - self._unchecked[0][0] >= SPREAD_CHECK_S:
            _, target_id, incarnation = self._unchecked.popleft()
            due.append((target_id, incarnation))
        return due

    def _new_leaves(self) -> list[tuple[str, int]]:
        state = self._replicated.state
        if state is None:
            return []
        table, known = state.leaves, self._seen_count
        if table is not self._seen_table:  # restored from a snapshot
            known = 0
        self._seen_table, self._seen_count = table, table.recorded
        return list(table.newest(table.recorded - known)) if table.recorded > known else []

    def _is_recorded(self, target_id: str, incarnation: int) -> bool:
        state = self._replicated.state
        return state is not None and state.leaves.covers(target_id, incarnation)

    async def _commit_waiting(self) -> None:
        while self._waiting:
            keys = list(itertools.islice(self._waiting, MAX_BATCH))
            leaves = [log_pb2.TargetLeave(target_id=i, incarnation=number) for i, number in keys]
            command = log_pb2.Command(target_leaves=log_pb2.TargetLeaves(leaves=leaves))
            error: BramleycrankError | None = None
            try:
                await self._replicated.propose(command, COMMIT_TIMEOUT_S)
            except BramleycrankError as exc:
                error = exc
            except Exception as exc:
                log.exception("control: committing leaves of targets failed")
                error = InternalError(str(exc))
            for key in keys:
                future = self._waiting.pop(key)
                if error is None:
                    future.set_result(None)
                else:
                    future.set_exception(error)
                    future.exception()  # marks it as retrieved; the caller may no longer wait

    async def _catch_up(self) -> None:
        loop = asyncio.get_running_loop()
        limit_at = loop.time() + CATCH_UP_LIMIT_S
        index: int | None = None
        reason = ""
        while loop.time() < limit_at:
            try:
                if index is None:
                    index = await self._confirmed_index()
            except Exception as exc:
                # Besides typed errors, grpclib raises others for a connection that was just closed.
                reason = f"{type(exc).__name__}: {exc}"
            if index is not None and self._replicated.applied_index >= index:
                log.info("control: the log has all leaves of targets", extra={"index": index})
                break
            await asyncio.sleep(CATCH_UP_POLL_S)
        else:
            log.warning(
                "control: takes reports of targets before its log is confirmed",
                extra={
                    "after_s": CATCH_UP_LIMIT_S,
                    "confirmed_index": index,
                    "applied_index": self._replicated.applied_index,
                    "reason": reason,
                },
            )
        self._caught_up.set()

    def _spawn(self, coro: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
