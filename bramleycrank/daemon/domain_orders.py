"""Executes operators' orders to evacuate a failure domain or to restore it."""

from __future__ import annotations

import logging
import time
import uuid
from collections.abc import Callable, Collection
from typing import Protocol

import attrs

from bramleycrank.exceptions import InternalError, NoQuorum, NotFound, Outcome, Refused
from bramleycrank.proto import log_pb2
from bramleycrank.state.evacuation import PossibleResend, decide_order

log = logging.getLogger(__name__)

ORDER_ATTEMPTS = 4
"""Attempts to commit an order; another order for the same domain makes an attempt fail."""

COMMIT_TIMEOUT_S = 2.0
"""Timeout of one attempt to commit an order, in seconds."""


class Proposer(Protocol):
    """Commits commands."""

    async def propose(self, command: log_pb2.Command, timeout_s: float) -> log_pb2.CommandResult:
        """Commit a command through the leader."""


class Domains(Protocol):
    """Source of the domains' configuration."""

    async def confirm(self) -> None:
        """Bring this VM up to the newest revision, confirmed by a quorum after the call."""

    def domain(self, name: str) -> log_pb2.DomainConfig:
        """Return the configuration of a domain; an empty one if there is none."""


@attrs.frozen
class DomainOrder:
    """An order of an operator.

    Parameters
    ----------
    domain : str
        The failure domain.
    evacuate : bool
        Whether its targets are to receive no new sub-requests; otherwise they may again.
    """

    domain: str
    evacuate: bool


class DomainOrders:
    """Commits orders in the replicated log.

    Parameters
    ----------
    domains : Domains
        Source of the domains' configuration.
    proposer : Proposer
        The replicated log.
    known : collection of str
        Names of all failure domains; empty if they are not configured.
    resend_window_s : float
        Longest time for which operators resend an order, in seconds.
    wall_clock : callable
        Unix time in seconds.
    """

    def __init__(
        self,
        domains: Domains,
        proposer: Proposer,
        known: Collection[str],
        resend_window_s: float,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._domains = domains
        self._proposer = proposer
        self._known = frozenset(known)
        self._resend_window_ms = round(resend_window_s * 1000)
        self._wall_clock = wall_clock

    async def execute(self, order: DomainOrder, is_abandoned: Callable[[], bool]) -> None:
        """Commit an order; return once it is in the log.

        Parameters
        ----------
        order : DomainOrder
            The order.
        is_abandoned : callable
            Returns whether the operator has stopped waiting. Such an order is dropped: a VM that
            was frozen may read it long after the operator has sent the opposite one.

        Raises
        ------
        NotFound
            No failure domain has this name.
        Refused
            The order may be a resend of one that has been replaced, or the operator has left.
        NoQuorum, NotLeader, PeerUnreachable, ProposalOutcomeUnknown
            The order may not be committed; it can be sent again.
        """
        if self._known and order.domain not in self._known:
            raise NotFound(f"no failure domain is named {order.domain[:100]!r}")
        for _ in range(ORDER_ATTEMPTS):
            # The read takes a round trip, in which a closed connection is noticed.
            await self._domains.confirm()
            if is_abandoned():
                raise Refused("the operator has disconnected", outcome=Outcome.NOT_RUN)
            if await self._try_commit(order):
                return
        raise NoQuorum("other orders for the domain came first", outcome=Outcome.UNKNOWN)

    async def _try_commit(self, order: DomainOrder) -> bool:
        """Decide and commit an order; return False if another one was committed meanwhile."""
        decision = decide_order(
            self._current(order.domain),
            evacuate=order.evacuate,
            now_ms=round(self._wall_clock() * 1000),
            resend_window_ms=self._resend_window_ms,
        )
        if isinstance(decision, PossibleResend):
            raise Refused(
                "this may be a resend of an order that a later one has replaced",
                outcome=Outcome.NOT_RUN,
                retry_after_ms=round(decision.wait_s * 1000),
            )
        change = log_pb2.Change(
            change_id=uuid.uuid4().hex,
            expected_version=decision.expected_version,
            put_domain=decision.config,
        )
        result = await self._proposer.propose(log_pb2.Command(change=change), COMMIT_TIMEOUT_S)
        log.info(
            "control: domain order decided",
            extra={
                "domain": order.domain,
                "evacuate": order.evacuate,
                "revision": result.revision,
                "result": log_pb2.ResultCode.Name(result.code),
            },
        )
        if result.code == log_pb2.RESULT_CODE_VERSION_CONFLICT:
            return False
        if result.code != log_pb2.RESULT_CODE_OK:
            raise InternalError(f"the order was rejected: {result.message}")
        return True

    def _current(self, name: str) -> log_pb2.DomainConfig:
        current = log_pb2.DomainConfig()
        current.CopyFrom(self._domains.domain(name))
        current.domain = name
        return current
