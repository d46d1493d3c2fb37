"""Validation of a route table."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from itertools import chain

from bramleycrank import customers as customers_module
from bramleycrank.exceptions import InvalidChange, Outcome
from bramleycrank.proto.log_pb2 import Customer, Route, RouteTable

MAX_ROUTES = 10_000
"""Maximum number of routes in a table, so that it fits into a message between VMs."""


def check_routes(table: RouteTable) -> None:
    """Check that a route table is valid.

    Raises
    ------
    InvalidChange
        If the table is invalid; the message has the first five problems.
    """
    _refuse_if_any(chain(_find_problems(table), find_customer_problems(table.customers)))


def check_without_customers(table: RouteTable) -> None:
    """Check all parts of a route table but its customers.

    Raises
    ------
    InvalidChange
        If one is invalid; the message has the first five problems.
    """
    _refuse_if_any(_find_problems(table))


def _refuse_if_any(found: Iterable[str]) -> None:
    problems = list(found)
    if problems:
        raise InvalidChange("; ".join(problems[:5]), outcome=Outcome.NOT_RUN)


def _find_problems(table: RouteTable) -> Iterable[str]:
    if not table.version:
        yield "the version is missing"
    if len(table.routes) > MAX_ROUTES:
        yield f"there are {len(table.routes)} routes, more than {MAX_ROUTES}"
    services = Counter(service.name for service in table.services)
    yield from (
        f"service {name!r} is listed twice" for name, count in services.items() if count > 1
    )
    yield from (
        f"service {service.name!r}: the rate of a cold target must not be negative"
        for service in table.services
        if service.warmup_per_s < 0
    )
    host_prefix_counts = Counter((route.host.lower(), route.path_prefix) for route in table.routes)
    yield from (
        f"two routes have host {host!r} and prefix {prefix!r}"
        for (host, prefix), count in host_prefix_counts.items()
        if count > 1
    )
    for route in table.routes:
        yield from (
            f"route {route.name!r}: {text}" for text in _find_route_problems(route, services)
        )


def find_customer_problems(customers: Iterable[Customer]) -> Iterable[str]:
    """Yield what is wrong with the customers; no text has a key."""
    names = Counter(customer.name for customer in customers)
    yield from (f"customer {name!r} is listed twice" for name, count in names.items() if count > 1)
    holders: dict[str, Customer] = {}
    for customer in customers:
        label = f"customer {customer.name!r}"
        for text in customers_module.Customer.from_message(customer).find_problems():
            yield f"{label}: {text}"
        if not all(customer.keys):
            yield f"{label}: a key is empty"
        for key in filter(None, customer.keys):
            holder = holders.setdefault(key, customer)
            if holder is not customer:
                yield f"{label} shares a key with customer {holder.name!r}"
        if len(set(customer.keys)) != len(customer.keys):
            yield f"{label}: a key is listed twice"


def _find_route_problems(route: Route, services: Counter[str]) -> Iterable[str]:
    prefix = route.path_prefix
    if not route.host:
        yield "the host is missing"
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield "the prefix must begin and end with a slash"
    if not route.timeout_ms:
        yield "the timeout is 0"
    names = [*route.shards, *(part.name for part in route.split)]
    if bool(route.shards) == bool(route.split):
        yield "exactly one of a split and a list of shards must be given"
    yield from (f"service {name!r} is unknown" for name in names if name not in services)
    if len(set(names)) != len(names):
        yield "a service is listed twice"
    if route.split and not _are_valid_weights(part.weight for part in route.split):
        yield "the weights must not be negative and must not add up to 0"
    if route.shards and not route.top_records:
        yield "a route over shards needs the number of records of its answers"
    if not 0 <= route.min_coverage <= 1:
        yield "the minimum coverage must lie between 0 and 1"


def _are_valid_weights(weights: Iterable[float]) -> bool:
    weights = list(weights)
    return all(weight >= 0 for weight in weights) and sum(weights) > 0
