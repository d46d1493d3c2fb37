"""The deployments of the two users in the sizes that the benchmarks use."""

from __future__ import annotations

import attrs


@attrs.frozen
class ServiceShape:
    """One service and its targets.

    Parameters
    ----------
    name : str
        Service name.
    shards, replicas : int
        Number of shards, and number of replicas of each shard.
    slots, connections : int
        Maximum number of concurrent sub-requests and of connections of a target.
    connection_ms : float
        Time to set up a connection, in ms.
    latency_ms : float
        Median service time, in ms.
    """

    name: str
    shards: int
    replicas: int
    slots: int
    connections: int
    connection_ms: float
    latency_ms: float


@attrs.frozen
class Shape:
    """The VMs and services of one deployment.

    Parameters
    ----------
    name : str
        Name of the deployment.
    domains : tuple of str
        Failure domains.
    vms : int
        Number of entry VMs, which are distributed evenly over the domains.
    search, records : ServiceShape
        Service for searches over all shards, and service for lookups of single records.
    order_kind : str
        Name of the non-idempotent request kind.
    """

    name: str
    domains: tuple[str, ...]
    vms: int
    search: ServiceShape
    records: ServiceShape
    order_kind: str


BATTAGLIO = Shape(
    name="battaglio",
    domains=("catania", "palermo", "siracusa"),
    vms=9,
    search=ServiceShape("archivio", 10, 3, 3, 30, 6.0, 30.0),
    records=ServiceShape("fonderia", 1, 8, 4, 110, 1.0, 15.0),
    order_kind="work_order",
)
HANGANG = Shape(
    name="hangang",
    domains=("a", "b", "c", "d"),
    vms=8,
    search=ServiceShape("swapboard", 10, 3, 2, 25, 6.0, 20.0),
    records=ServiceShape("clubpages", 1, 8, 2, 35, 1.0, 10.0),
    order_kind="swap_offer",
)
SHAPES = {shape.name: shape for shape in (BATTAGLIO, HANGANG)}
