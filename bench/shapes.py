"""The two users' sizes as the measurements use them."""

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
        Shards and replicas of each shard.
    slots, connections : int
        Sub-requests at a time and connections that a target accepts.
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
    """One user's VMs and services.

    Parameters
    ----------
    name : str
        Name of the user.
    domains : tuple of str
        Failure domains.
    vms : int
        Entry VMs, spread evenly over the domains.
    search, records : ServiceShape
        The service for searches over all shards, and the one for single records.
    order_kind : str
        The non-idempotent request kind.
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
