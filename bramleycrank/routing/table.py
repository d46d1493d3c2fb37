"""Lookup of the route of a request, and the choice among weighted services."""

from __future__ import annotations

import math
from collections import defaultdict
from itertools import accumulate
from typing import Any

import attrs

from bramleycrank.proto.log_pb2 import Route as RouteMessage
from bramleycrank.proto.log_pb2 import RouteTable

DEFAULT_HEADER_BYTES = 16 * 1024
"""Limit for the head of a request while the table names none, in bytes."""

DEFAULT_BODY_BYTES = 256 * 1024
"""Limit for the body of a request while the table names none, in bytes."""

DEFAULT_HEADER_TIMEOUT_S = 3.0
"""Time for the head of a request while the table names none, in seconds."""

DEFAULT_IDLE_TIMEOUT_S = 15.0
"""Idle time of a caller's connection while the table names none, in seconds."""


@attrs.frozen
class Limits:
    """What callers may send, and how long they may take."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S

    @classmethod
    def from_table(cls, table: RouteTable) -> Limits:
        """Return the limits of a table; those that it does not set have their defaults."""
        limits = table.limits
        return cls(
            limits.header_bytes or DEFAULT_HEADER_BYTES,
            limits.body_bytes or DEFAULT_BODY_BYTES,
            limits.header_timeout_ms / 1000 or DEFAULT_HEADER_TIMEOUT_S,
            limits.idle_timeout_ms / 1000 or DEFAULT_IDLE_TIMEOUT_S,
        )


@attrs.define(eq=False)
class Route:
    """One route with its state of the weighted choice.

    Parameters
    ----------
    name : str
        Name for logs.
    prefix : str
        Path prefix, with a slash at both ends.
    idempotent : bool
        Whether a request may run more than once.
    timeout_s : float
        Longest time that a caller is kept waiting.
    objective_s : float
        Latency objective; 0 for none.
    rank : int
        Urgency; 0 is the highest.
    max_targets : int
        Most targets of a service that one request is sent to.
    services : tuple of str
        Services of a weighted split, or all shards of a gather route.
    weights : tuple of float
        Weights of a split; empty for a gather route.
    top_records : int
        Records of a merged answer.
    min_coverage : float
        Smallest share of the shards in a merged answer.
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
    _cumulative: tuple[float, ...] = ()
    _position: float = 0.0

    @classmethod
    def from_message(cls, message: RouteMessage) -> Route:
        """Return the route of a message."""
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
            cumulative=() if gather else tuple(accumulate(weights)),
        )

    @property
    def needed(self) -> int:
        """How many services must answer for a success."""
        if not self.gather:
            return 1
        # The product of a share and a count may lie just above a whole number.
        return max(1, math.ceil(self.min_coverage * len(self.services) - 1e-9))

    @property
    def gather(self) -> bool:
        """Whether a request is sent to all services and the answers are merged."""
        return not self.weights

    def choose_service(self) -> str:
        """Return the service of the next request.

        Requests walk through the weights by the golden ratio, which keeps the shares close to the
        weights over short spans too; a random choice would stray by several percent.
        """
        if len(self.services) == 1:
            return self.services[0]
        self._position = (self._position + _GOLDEN) % 1.0
        point = self._position * self._cumulative[-1]
        return next(
            name
            for name, upper in zip(self.services, self._cumulative, strict=True)
            if point < upper
        )


_GOLDEN = 0.6180339887498949


class RouteIndex:
    """The routes of one version of the table.

    Parameters
    ----------
    table : RouteTable
        The table in force.
    """

    def __init__(self, table: RouteTable) -> None:
        self.version = table.version
        self.limits = Limits.from_table(table)
        self.connections = {service.name: service.connections for service in table.services}
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
        """Return the route with the longest prefix that begins the path, or None."""
        name = host.lower()
        routes = self._by_host.get(name) or self._by_host.get(_without_port(name), ())
        return next((route for route in routes if path.startswith(route.prefix)), None)

    def dump(self) -> dict[str, Any]:
        """Return the table's version and the places that it routes."""
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
