"""Calls of operators and targets, accepted by any control VM: routes, domain orders, reports."""

from __future__ import annotations

import asyncio
import logging
import uuid
from collections.abc import Callable
from typing import Protocol

from bramleycrank.daemon.config_controller import ConfigController
from bramleycrank.daemon.domain_orders import DomainOrder, DomainOrders, Proposer
from bramleycrank.exceptions import (
    BramleycrankError,
    ConfigurationUnavailable,
    InvalidChange,
    Outcome,
    Refused,
    VersionConflict,
)
from bramleycrank.proto import log_pb2, target_pb2
from bramleycrank.routing import check_routes
from bramleycrank.routing.packing import pack

log = logging.getLogger(__name__)

PROPOSE_TIMEOUT_S = 4.0
"""Timeout for committing a route table; operators resend to another VM after about 1 s."""

READ_RETRIES = 2
"""Number of retries of a read, for a change of the leader in the meantime."""

UNKNOWN_TARGET_RETRY_MS = 500
"""Retry-after for a leave without an incarnation of a target that is not known, in milliseconds."""

READ_RETRY_S = 0.15
"""Delay before a read is retried, in seconds."""


class Registry(Protocol):
    """Accepts reports of targets."""

    async def announce(self, request: target_pb2.AnnounceRequest) -> target_pb2.AnnounceReply:
        """Record an announcement or a renewal."""

    async def leave_target(self, request: target_pb2.LeaveRequest) -> target_pb2.LeaveReply:
        """Record that a target leaves, and send the record to the other VMs."""

    def incarnation_of(self, target_id: str) -> int | None:
        """Return the newest known incarnation of a target."""


class ControlService:
    """Serves the calls of operators and targets.

    Parameters
    ----------
    config : ConfigController
        The configuration in force.
    proposer : Proposer
        The replicated log.
    registry : Registry
        Registry of the targets.
    orders : DomainOrders
        Executes orders for failure domains.
    """

    def __init__(
        self,
        config: ConfigController,
        proposer: Proposer,
        registry: Registry,
        orders: DomainOrders,
    ) -> None:
        self._config = config
        self._proposer = proposer
        self._registry = registry
        self._orders = orders
        self.in_flight = 0

    async def put_routes(self, table: log_pb2.RouteTable) -> None:
        """Commit a route table.

        Raises
        ------
        InvalidChange
            The table is invalid.
        VersionConflict
            Another table has the same version.
        NoQuorum, ProposalOutcomeUnknown
            The table may not be committed; the same table can be sent again.
        """
        check_routes(table)
        change = log_pb2.Change(change_id=uuid.uuid4().hex, put_routes=pack(table))
        offered_version = table.version
        del table  # many times as large as the packed one, which is all that waits for the log
        self.in_flight += 1
        try:
            result = await self._proposer.propose(log_pb2.Command(change=change), PROPOSE_TIMEOUT_S)
        finally:
            self.in_flight -= 1
        log.info(
            "control: route table decided",
            extra={
                "offered_version": offered_version,
                "held_version": result.version,
                "result": log_pb2.ResultCode.Name(result.code),
            },
        )
        if result.code == log_pb2.RESULT_CODE_VERSION_CONFLICT:
            raise VersionConflict(result.message, current_version=result.version)
        if result.code != log_pb2.RESULT_CODE_OK:
            raise InvalidChange(result.message, outcome=Outcome.NOT_RUN)

    async def routes(self) -> log_pb2.RouteTable:
        """Return the newest route table, confirmed by a quorum after this call began.

        Raises
        ------
        NotLeader, NoQuorum, PeerUnreachable
            The newest table cannot be determined now.
        ConfigurationUnavailable
            There is no table yet.
        """
        for retries_left in reversed(range(READ_RETRIES + 1)):
            try:
                await self._config.confirm()
                break
            except BramleycrankError as exc:
                if not retries_left:
                    raise
                log.debug("control: read failed and is retried: %s", exc)
                await asyncio.sleep(READ_RETRY_S)
        table = self._config.routes()
        if table is None:
            raise ConfigurationUnavailable("there is no route table yet")
        return table

    async def order(self, order: DomainOrder, is_abandoned: Callable[[], bool]) -> None:
        """Evacuate or restore a failure domain; see `DomainOrders.execute` for the errors."""
        self.in_flight += 1
        try:
            await self._orders.execute(order, is_abandoned)
        finally:
            self.in_flight -= 1

    async def announce(self, record: target_pb2.TargetRecord) -> None:
        """Record a report of a target; one that a later report has replaced changes nothing.

        Raises
        ------
        InvalidRequest
            The report is invalid, of an old incarnation, or of one that has already left.
        Draining, Refused
            This VM cannot accept the report now; another VM may.
        NoQuorum
            The target reports that it leaves, and that is not committed yet.
        """
        if record.state == target_pb2.TARGET_STATE_LEAVING:
            await self.leave(record.target_id, record.incarnation)
            return
        await self._registry.announce(target_pb2.AnnounceRequest(record=record))

    async def leave(self, target_id: str, incarnation: int | None) -> None:
        """Record that a target leaves; return once that is committed.

        Parameters
        ----------
        target_id : str
            The target.
        incarnation : int or None
            Its incarnation; None for the newest known one.

        Raises
        ------
        Refused
            No incarnation is given and none is known, so that nothing could keep a late report of
            the target out; another VM may know one.
        NoQuorum
            The leave is not committed yet; it can be sent again, to any VM.
        """
        if incarnation is None:
            incarnation = self._registry.incarnation_of(target_id)
        if incarnation is None:
            raise Refused(
                "the leave names no incarnation, and none is known",
                outcome=Outcome.NOT_RUN,
                retry_after_ms=UNKNOWN_TARGET_RETRY_MS,
            )
        request = target_pb2.LeaveRequest(target_id=target_id, incarnation=incarnation)
        self.in_flight += 1
        try:
            await self._registry.leave_target(request)
        finally:
            self.in_flight -= 1
        log.info("control: target leaves", extra={"target": target_id, "incarnation": incarnation})
