"""Requests that an entry VM gives to other VMs, and those that it takes from them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from bramleycrank.customers import Identity, identify_offered
from bramleycrank.entry.delegation_headers import (
    KEEP_ALIVE_S,
    MAX_OFFER_BYTES,
    STATUS_RETURNED,
    Offer,
    Reply,
)
from bramleycrank.entry.delegator import Delegation, Delegator
from bramleycrank.entry.targets import EntryTargets
from bramleycrank.entry.types import CallerMeta
from bramleycrank.observability.metrics import Metrics
from bramleycrank.routing import Limits, Route, RouteIndex
from bramleycrank.scatter.delivery import DeliveryEstimate
from bramleycrank.transport.http1 import Exchange


@attrs.frozen
class Admitted:
    """A request that this VM serves for another one."""

    route: Route
    identity: Identity
    offer: Offer


class EntryDelegation:
    """Offers requests whose targets this VM does not reach, and admits the offers of others.

    Parameters
    ----------
    targets : EntryTargets
        Tells which services this VM reaches.
    delivery : DeliveryEstimate
        Estimates the time that answers need to callers.
    delegator : Delegator or None
        Offers requests to other VMs; None if there is only this VM.
    metrics : Metrics
        Receives the metrics.
    """

    def __init__(
        self,
        targets: EntryTargets,
        delivery: DeliveryEstimate,
        delegator: Delegator | None,
        metrics: Metrics,
    ) -> None:
        self._targets = targets
        self._delivery = delivery
        self._delegator = delegator
        self._metrics = metrics
        if delegator is not None:
            targets.on_tick = delegator.tick

    @property
    def unreached(self) -> int:
        """Number of services with known targets, none of which this VM can reach."""
        return len(self._targets.unreached)

    @property
    def is_possible(self) -> bool:
        """Whether a VM is known that reaches more services than this one."""
        return self._delegator is not None and self._delegator.can_delegate(self.unreached)

    def offer(
        self,
        exchange: Exchange,
        meta: CallerMeta,
        route: Route,
        identity: Identity,
        routes_version: int,
        deadline: float,
        on_unserved: Callable[[], None],
        *,
        sends: tuple[int, ...] = (),
        on_other_routes: Callable[[], None] | None = None,
    ) -> bool:
        """Offer a request to another VM; return whether one was found.

        Parameters
        ----------
        exchange : Exchange
            The caller's request.
        meta : CallerMeta
            Its metadata.
        route : Route
            Its route.
        identity : Identity
            Who sends it.
        routes_version : int
            Version of the route table that has the route.
        deadline : float
            Time at which the request ends, in seconds.
        on_unserved : callable
            Called if no VM has started the request.
        sends : tuple of int, optional
            Sub-requests that this VM has sent to each service; empty if none.
        on_other_routes : callable, optional
            Called instead, after a short time, if a VM had another route table.
        """
        if self._delegator is None:
            return False
        network_s = self._delivery.network_time(route, exchange.round_trip_s)
        offer = Offer(routes_version, network_s, max(1, self.unreached), sends)
        return self._delegator.offer(
            Delegation(
                exchange, meta, route, identity, offer, deadline, on_unserved, on_other_routes
            )
        )

    def admit(
        self, exchange: Exchange, meta: CallerMeta, index: RouteIndex | None
    ) -> Admitted | None:
        """Return how another VM's request is served here, or return it unstarted.

        The request is served only by the same route table, for a caller that may use the route, and
        if this VM reaches more of the route's services than the other one.
        """
        request = exchange.request
        offer = Offer.from_request(request)
        exchange.request = Offer.strip(request)
        version = index.version if index is not None else 0
        route = index and index.find(request.host.decode("latin-1"), request.path)
        identity = route and identify_offered(
            index.customers, meta.named_customer, meta.key, public=route.public
        )
        if (
            offer is None
            or identity is None
            or offer.routes_version != version
            or self._targets.reach.is_cut
            or len(self._targets.unreached_of(route)) >= max(1, offer.unreached)
        ):
            self._count("refused")
            reply = Reply(False, self.unreached, version)
            exchange.respond(STATUS_RETURNED, reply.headers(), b"")
            return None
        self._count("served")
        return Admitted(route, identity, offer)

    def _count(self, event: str) -> None:
        self._metrics.incr(f"entry.delegations.{event}")

    @staticmethod
    def limits(limits: Limits) -> Limits:
        """Return the limits on the requests of other VMs, which have one more header."""
        return attrs.evolve(
            limits,
            header_bytes=limits.header_bytes + MAX_OFFER_BYTES,
            idle_timeout_s=KEEP_ALIVE_S,
        )

    def stop(self) -> None:
        """Answer all requests that are at other VMs, since this VM stops."""
        if self._delegator is not None:
            self._delegator.stop()

    def dump(self) -> dict[str, Any] | None:
        """Return the requests at other VMs, and what is known of these VMs."""
        return self._delegator and self._delegator.dump()
