"""Route lookup and weighted selection of services."""

from __future__ import annotations

import math
from collections import defaultdict
from itertools import accumulate
from typing import Any

import attrs

from bramleycrank.customers import CustomerIndex
from bramleycrank.proto.log_pb2 import Route as RouteMessage
from bramleycrank.proto.log_pb2 import RouteTable

DEFAULT_HEADER_BYTES = 16 * 1024
"""Default limit for the header section of a request, in bytes."""

DEFAULT_BODY_BYTES = 256 * 1024
"""Default limit for the body of a request, in bytes."""

DEFAULT_HEADER_TIMEOUT_S = 3.0
"""Default time limit for the header section of a request, in seconds."""

DEFAULT_IDLE_TIMEOUT_S = 15.0
"""Default idle timeout of a caller's connection, in seconds."""


@attrs.frozen
class Limits:
    """Size and time limits for requests of callers."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S

    @classmethod
    def from_table(cls, table: RouteTable) -> Limits:
        """Return the limits of a table, with defaults for those it does not set."""
        limits = table.limits
        return cls(
            limits.header_bytes or DEFAULT_HEADER_BYTES,
            limits.body_bytes or DEFAULT_BODY_BYTES,
            limits.header_timeout_ms / 1000 or DEFAULT_HEADER_TIMEOUT_S,
            limits.idle_timeout_ms / 1000 or DEFAULT_IDLE_TIMEOUT_S,
        )


@attrs.frozen
class ServiceWarmup:
    """Warm-up of the targets of a service.

    Parameters
    ----------
    duration_s : float
        Time for which a target is cold after its start, in seconds.
    per_s : float
        Requests per second that a cold target tolerates; 0 if the service states no rate.
    """

    duration_s: float = 0.0
    per_s: float = 0.0


@attrs.define(eq=False)
class Route:
    """A route with the state of its weighted selection.

    Parameters
    ----------
    name : str
        Name of the route in logs.
    prefix : str
        Path prefix, with a slash at both ends.
    idempotent : bool
        Whether a request may run more than once.
    timeout_s : float
        Maximum time until a caller gets a response, in seconds.
    objective_s : float
        Latency objective in seconds; 0 for none.
    rank : int
        Priority rank; 0 is the most urgent.
    max_targets : int
        Maximum number of targets per service that a request is sent to.
    services : tuple of str
        Services of a weighted split, or all shards of a gather route.
    weights : tuple of float
        Weights of a split; empty for a gather route.
    top_records : int
        Maximum number of records in a merged answer.
    min_coverage : float
        Minimum share of the shards in a merged answer.
    regions : frozenset of str
        Regions whose targets may receive the requests; empty for all.
    public : bool
        Whether callers need no key.
    """

    name: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    rank: int
    max_targets: int
    services: tuple[str, ...]
    weights: tuple[float, ...] = ()
    top_records: int = 0
    min_coverage: float = 0.0
    regions: frozenset[str] = frozenset()
    public: bool = False
    _cumulative: tuple[float, ...] = ()
    _sequence_value: float = 0.0

    @classmethod
    def from_message(cls, message: RouteMessage) -> Route:
        """Return the route that a message describes."""
        gather = bool(message.shards)
        weights = tuple(part.weight for part in message.split)
        return cls(
            name=message.name,
            prefix=message.path_prefix,
            idempotent=message.idempotent or gather,
            timeout_s=message.timeout_ms / 1000,
            objective_s=message.objective_ms / 1000,
            rank=message.rank,
            max_targets=max(1, message.max_targets),
            services=tuple(message.shards) or tuple(part.name for part in message.split),
            weights=() if gather else weights,
            top_records=message.top_records,
            min_coverage=message.min_coverage,
            regions=frozenset(message.regions),
            public=message.public,
            cumulative=() if gather else tuple(accumulate(weights)),
        )

    @property
    def needed(self) -> int:
        """Number of services that must reply for a successful answer."""
        if not self.gather:
            return 1
        # Rounding errors can lift the product just above an integer.
        return max(1, math.ceil(self.min_coverage * len(self.services) - 1e-9))

    @property
    def gather(self) -> bool:
        """Whether a request is sent to all services and their replies are merged."""
        return not self.weights

    def choose_service(self) -> str:
        """Return the service of the next request.

        A low-discrepancy sequence (multiples of the golden ratio modulo 1) keeps the shares close
        to the weights even over few requests; a random choice would deviate by several percent.
        """
        if len(self.services) == 1:
            return self.services[0]
        self._sequence_value = (self._sequence_value + _GOLDEN_RATIO_FRACTION) % 1.0
        offset = self._sequence_value * self._cumulative[-1]
        return next(
            name
            for name, upper in zip(self.services, self._cumulative, strict=True)
            if offset < upper
        )


_GOLDEN_RATIO_FRACTION = 0.6180339887498949


class RouteIndex:
    """Index of the routes of one route table version.

    Parameters
    ----------
    table : RouteTable
        The table in force.
    """

    def __init__(self, table: RouteTable) -> None:
        self.version = table.version
        self.limits = Limits.from_table(table)
        self.connections = {service.name: service.connections for service in table.services}
        self.warmups = {
            service.name: ServiceWarmup(service.warmup_ms / 1000, service.warmup_per_s)
            for service in table.services
        }
        self.customers = CustomerIndex(table.customers, unreadable=table.customers_unreadable)
        self._by_host: dict[str, list[Route]] = defaultdict(list)
        for message in table.routes:
            self._by_host[message.host.lower()].append(Route.from_message(message))
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self.services = frozenset(name for route in self.routes() for name in route.services)

    def routes(self) -> list[Route]:
        """Return all routes."""
        return [route for routes in self._by_host.values() for route in routes]

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        name = host.lower()
        routes = self._by_host.get(name) or self._by_host.get(_without_port(name), ())
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def dump(self) -> dict[str, Any]:
        """Return the route table version and the services of each host and prefix."""
        return {
            "version": self.version,
            "routes": {
                f"{host}{route.prefix}": list(route.services)
                for host, routes in self._by_host.items()
                for route in routes
            },
        }


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
