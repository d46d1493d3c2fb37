"""Calls of targets: reports, and leaves that are committed before they are acknowledged."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from bramleycrank.daemon.leave_log import LeaveRecorder, NoLeaveLog
from bramleycrank.exceptions import Draining, InvalidRequest, Outcome, Refused
from bramleycrank.membership import TargetRegistry, VmMembership
from bramleycrank.membership.target_registry import check_report
from bramleycrank.observability.metrics import Metrics
from bramleycrank.observability.request_log import RequestLog
from bramleycrank.proto.target_pb2 import (
    TARGET_STATE_LEAVING,
    AnnounceReply,
    AnnounceRequest,
    LeaveReply,
    LeaveRequest,
    TargetRecord,
)
from bramleycrank.state import is_recordable

log = logging.getLogger(__name__)

# Longest wait of Leave for the acknowledgements of the other VMs before it replies.
LEAVE_WAIT_S = 0.5

# Longest wait of an announcement until this VM has joined and knows the leaves of the log. Reports
# of targets time out after 1 s.
JOIN_WAIT_S = 0.6

# Delay of the push of a new target, to batch it with others that report at the same time.
NEW_TARGETS_BATCH_S = 0.03

# Retry-after for a target that announces before this VM has joined.
JOIN_RETRY_MS = 500

# Polling period while a call, or the start of this VM, waits for it to join.
JOIN_POLL_S = 0.02


class TargetCalls:
    """Handles the calls by which targets report to this VM and leave.

    Parameters
    ----------
    registry : TargetRegistry
        Registry of the targets.
    core : VmMembership
        Tells whether this VM has joined, and which pushes are acknowledged.
    execute : callable
        Executes the actions of the registry.
    spawn : callable
        Runs a coroutine in the background.
    clock : callable
        Monotonic time in seconds.
    metrics : Metrics
        Receiver of metrics.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        core: VmMembership,
        execute: Callable[[Iterable[Any]], object],
        spawn: Callable[[Awaitable[None]], object],
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self.draining = False
        self.leave_log: LeaveRecorder = NoLeaveLog()
        self._registry = registry
        self._core = core
        self._execute = execute
        self._spawn = spawn
        self._clock = clock
        self._metrics = metrics
        self._report_lines = RequestLog(log, clock)
        self._early_reports: dict[str, AnnounceRequest] = {}  # refused, by target
        self._leaves_in_progress: dict[str, asyncio.Event] = {}  # set once all VMs acknowledged it

    async def announce(self, request: AnnounceRequest) -> AnnounceReply:
        """Handle `Registry.Announce`.

        Raises
        ------
        Draining
            This VM drains; the target has to announce to another VM.
        Refused
            This VM has not joined within `JOIN_WAIT_S`, or its log does not have all leaves yet. It
            may not know that the target left, and a delayed announcement would make it send new
            sub-requests to that target.
        NoQuorum
            The target announces that it leaves, and that is not committed yet.
        InvalidRequest
            The announcement is invalid, of an old incarnation, or of one that has already left.
        """
        if request.record.state == TARGET_STATE_LEAVING:
            check_report(request.record)
            leave = LeaveRequest(
                target_id=request.record.target_id, incarnation=request.record.incarnation
            )
            await self.leave(leave)
            return self._registry.reply()
        deadline = self._clock() + JOIN_WAIT_S
        while not self._core.joined and not self.draining and self._clock() < deadline:
            await asyncio.sleep(JOIN_POLL_S)
        if self.draining:
            raise Draining(outcome=Outcome.NOT_RUN)
        if not self._core.joined:
            raise Refused(
                "the VM is joining", outcome=Outcome.NOT_RUN, retry_after_ms=JOIN_RETRY_MS
            )
        if not await self.leave_log.wait_caught_up(deadline - self._clock()):
            self._keep_early_report(request)
            raise Refused(
                "the log does not have all leaves of targets yet",
                outcome=Outcome.NOT_RUN,
                retry_after_ms=JOIN_RETRY_MS,
            )
        return self._accept_report(request)

    def _accept_report(self, request: AnnounceRequest) -> AnnounceReply:
        push_scheduled = self._registry.has_new_targets
        is_first = self._registry.get(request.record.target_id) is None
        try:
            reply, actions = self._registry.announce(request, self._clock())
        except InvalidRequest:
            self._metrics.incr("targets.outdated_reports")
            raise
        if is_first:
            self._record_first_report(request.record)
        self._execute(actions)
        if self._registry.has_new_targets and not push_scheduled:
            self._spawn(self._push_new_targets())
        return reply

    def _keep_early_report(self, request: AnnounceRequest) -> None:
        """Keep the newest report of a target until this VM knows all leaves.

        Load pattern: all VMs start after a loss of power. The next report of a target comes a
        renewal time later, and callers wait for the targets.
        """
        target_id = request.record.target_id
        kept = self._early_reports.get(target_id)
        if kept is not None and _age_order(kept) > _age_order(request):
            return
        if not self._early_reports:
            self._spawn(self._accept_early_reports())
        self._early_reports[target_id] = request

    async def _accept_early_reports(self) -> None:
        while not await self.leave_log.wait_caught_up(JOIN_WAIT_S):
            pass
        requests, self._early_reports = self._early_reports, {}
        for request in requests.values():
            try:
                self._accept_report(request)
            except InvalidRequest as exc:
                log.info("membership: dropped an early report: %s", exc)

    def _record_first_report(self, record: TargetRecord) -> None:
        """Record that this VM knew nothing of a target, as after a start."""
        self._metrics.incr("targets.first_reports")
        self._report_lines.record(
            "first report of a target",
            b"",
            self._clock(),
            failed=False,
            target=record.target_id,
            incarnation=record.incarnation,
            sequence=record.sequence,
        )

    async def _push_new_targets(self) -> None:
        """Push new targets to other VMs in one batch, after a short delay.

        After a power loss all targets announce themselves at about the same time, and callers
        wait for them.
        """
        await asyncio.sleep(NEW_TARGETS_BATCH_S)
        self._execute(self._registry.push_new_targets())

    async def leave(self, request: LeaveRequest) -> LeaveReply:
        """Handle `Registry.Leave`; reply once the leave is committed and the other VMs have it.

        The leave is obeyed at once. A reply before the commit would promise what is forgotten if
        all processes end; one before the other VMs acknowledged the record, or 0.5 s passed, would
        lose time if this VM failed right after it.

        Raises
        ------
        InvalidRequest
            The target's id is empty or too long to be kept.
        NoQuorum
            The leave is not committed yet; the target can send it again, to any VM.
        """
        target_id = request.target_id
        if not is_recordable(target_id):
            raise InvalidRequest("target_id is empty or too long", outcome=Outcome.NOT_RUN)
        self._metrics.incr("targets.leaves")
        pushed_by = self._clock() + LEAVE_WAIT_S
        self._execute(self._registry.leave(request, self._clock()))
        await self.leave_log.record(target_id, request.incarnation)
        if self._core.has_unacknowledged_push(target_id):
            acknowledged = self._leaves_in_progress.setdefault(target_id, asyncio.Event())
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(acknowledged.wait(), max(0.0, pushed_by - self._clock()))
        return LeaveReply()

    def on_push_ended(self) -> None:
        """Let the leaves go on whose pushes all receivers have acknowledged."""
        acknowledged = [
            target_id
            for target_id in self._leaves_in_progress
            if not self._core.has_unacknowledged_push(target_id)
        ]
        for target_id in acknowledged:
            self._leaves_in_progress.pop(target_id).set()

    def spread_committed_leaves(self, now: float) -> None:
        """Spread leaves that the VM which took them did not push, for example because it ended."""
        for target_id, incarnation in self.leave_log.unspread(now):
            actions = self._registry.spread_leave(target_id, incarnation, now)
            if actions:
                log.info(
                    "membership: learned of a leave from the log",
                    extra={"target": target_id, "incarnation": incarnation},
                )
            self._execute(actions)


def _age_order(request: AnnounceRequest) -> tuple[int, int]:
    """Return the order of a target's reports."""
    return request.record.incarnation, request.record.sequence
