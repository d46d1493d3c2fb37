"""Issues allowances on the VM that leads the replicated log."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Any, Protocol

from bramleycrank.customers import Customer
from bramleycrank.customers.allowances import AllowanceBounds, Issuer
from bramleycrank.customers.allowances.limits import LEASE_S
from bramleycrank.customers.fleet_use import FleetSums
from bramleycrank.exceptions import BramleycrankError
from bramleycrank.proto.log_pb2 import RouteTable
from bramleycrank.proto.peer_pb2 import GrantReply, GrantRequest

log = logging.getLogger(__name__)

CONFIRM_TIMEOUT_S = 0.25
"""Longest time for which a call waits until a quorum has confirmed the leader, in seconds; holders
wait for half a second."""

SUSPEND_TOLERANCE_S = 0.01
"""Difference of the two clocks' steps from which a suspension of the machine is assumed, in
seconds."""


class Config(Protocol):
    """Source of the customers in force."""

    def routes(self) -> RouteTable | None:
        """Return the table in force, or None while there is none."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each new revision in force."""


class Leadership(Protocol):
    """The replicated log's view of the leadership of this VM."""

    @property
    def leader_term(self) -> int:
        """Term in which this VM leads, or 0."""

    def confirmed_at(self) -> float | None:
        """Return the start of the newest round that a quorum replied to, or None."""

    async def confirm_read(self, timeout_s: float) -> int:
        """Have a quorum confirm that this VM leads."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change of the role."""


class AllowanceIssuer:
    """Answers requests for grants while a quorum has confirmed recently that this VM leads.

    Parameters
    ----------
    bounds : AllowanceBounds
        The bound on the requests in each window.
    config : Config
        Source of the customers.
    consensus : Leadership
        Tells whether this VM leads.
    clock : callable
        Time in seconds by which rounds are confirmed; it may stand still while the machine is
        suspended.
    suspend_aware_clock : callable, optional
        Time in seconds that does not.
    """

    def __init__(
        self,
        bounds: AllowanceBounds,
        config: Config,
        consensus: Leadership,
        clock: Callable[[], float],
        suspend_aware_clock: Callable[[], float] = lambda: time.clock_gettime(time.CLOCK_BOOTTIME),
    ) -> None:
        self._issuer = Issuer(bounds)
        self._fleet_use = FleetSums()
        self._config = config
        self._consensus = consensus
        self._clock = clock
        self._suspend_aware_clock = suspend_aware_clock
        self._clock_offset = suspend_aware_clock() - clock()
        self._resumed_at = float("-inf")
        self._term = 0
        self._routes_version = -1

    def start(self) -> None:
        """Follow the leadership, and the customers in force while this VM leads."""
        self._config.subscribe(self._on_config)
        self._consensus.subscribe(self._on_role)
        self._on_role()

    async def on_grant(self, request: GrantRequest) -> GrantReply:
        """Return the grants for a holder's request."""
        self._now()
        self._on_role()
        if self._term and not self._is_confirmed():
            # A busy leader may be late with its rounds.
            try:
                await self._consensus.confirm_read(CONFIRM_TIMEOUT_S)
            except BramleycrankError as exc:
                log.debug("allowances: no quorum confirmed the leader: %s", exc)
            self._on_role()
        now = self._now()
        if not self._is_confirmed():
            return GrantReply(issuing=False, issuer_term=self._term)
        reply = self._issuer.on_request(request, now)
        self._fleet_use.answer(request, reply, now)
        return reply

    def _is_confirmed(self) -> bool:
        """Return whether no successor can issue yet.

        A confirmation from before a suspension of the machine may be older than its clock tells.
        """
        confirmed_at = self._consensus.confirmed_at() if self._term else None
        if confirmed_at is None or confirmed_at <= self._resumed_at:
            return False
        return self._clock() - confirmed_at <= LEASE_S

    def _now(self) -> float:
        now, local = self._suspend_aware_clock(), self._clock()
        offset = now - local
        if offset > self._clock_offset + SUSPEND_TOLERANCE_S:
            self._resumed_at = local
        self._clock_offset = offset
        return now

    def _on_role(self) -> None:
        term = self._consensus.leader_term
        if term == self._term:
            return
        self._term = term
        if term:
            log.info("allowances: this VM issues them", extra={"term": term})
            self._on_config()
            self._issuer.lead(term, self._now())

    def _on_config(self) -> None:
        table = self._config.routes() if self._term else None
        if table is None or table.version == self._routes_version:
            return
        self._routes_version = table.version
        customers = (Customer.from_message(message) for message in table.customers)
        limited = [customer for customer in customers if customer.is_limited]
        self._issuer.set_customers(limited, table.version, self._now())

    def dump(self) -> dict[str, Any]:
        """Return the buckets in JSON form, on the VM that leads."""
        return self._issuer.dump(self._now()) if self._term else {}
