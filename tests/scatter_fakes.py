"""Fake policy and builders of routes, replies and executions for tests of forwarded requests."""

from __future__ import annotations

import itertools
from collections.abc import Collection

from bramleycrank.routing import Route
from bramleycrank.scatter import Forward, ScatterExecution, TargetReply


def gather_route(shards: int = 4, **fields: object) -> Route:
    """Return a gather route over shards named s0, s1 and so on."""
    defaults = {
        "name": "search",
        "prefix": "/s/",
        "idempotent": True,
        "timeout_s": 2.0,
        "objective_s": 0.1,
        "rank": 1,
        "max_targets": 2,
        "services": tuple(f"s{number}" for number in range(shards)),
        "top_records": 3,
        "min_coverage": 0.75,
    }
    return Route(**{**defaults, **fields})


def single_route(**fields: object) -> Route:
    """Return a route to a single service."""
    defaults = {
        "name": "record",
        "prefix": "/r/",
        "idempotent": True,
        "timeout_s": 2.0,
        "objective_s": 0.4,
        "rank": 2,
        "max_targets": 2,
        "services": ("records",),
        "weights": (1.0,),
        "cumulative": (1.0,),
    }
    return Route(**{**defaults, **fields})


def target_reply(status: int = 200, body: bytes = b"", receipt: bytes = b"r") -> TargetReply:
    """Return a reply of a target."""
    return TargetReply(status, [], body, receipt)


class FakePolicy:
    """Targets in a fixed order, with a retry budget and a hedge delay that tests set."""

    def __init__(
        self, targets: int = 3, hedge_delay_s: float = 0.05, extra_left: int = 100
    ) -> None:
        self.targets = targets
        self.hedge_delay_s = hedge_delay_s
        self.extra_left = extra_left
        self.scarce = False
        self.choose_calls = 0
        self.busy: set[str] = set()
        self.services_without_targets: set[str] = set()
        self.sent: list[str] = []
        self.failures: list[tuple[str, str]] = []
        self.superseded: list[float] = []

    def target_ids(self, service: str) -> list[str]:
        """Return the targets of a service."""
        if service in self.services_without_targets:
            return []
        return [f"{service}-{number}" for number in range(self.targets)]

    def choose(
        self, service: str, tried: Collection[str], now: float, *, gather: bool = False
    ) -> str | None:
        self.choose_calls += 1
        usable = [n for n in self.target_ids(service) if n not in tried and n not in self.busy]
        return usable[0] if usable else None

    def has_targets(self, service: str, tried: Collection[str], now: float) -> bool:
        return any(name not in tried for name in self.target_ids(service))

    def knows(self, service: str) -> bool:
        return bool(self.target_ids(service))

    def usable_targets(self, service: str) -> int:
        return len(self.target_ids(service))

    def estimate_retry_after(self, services: list[str], needed: int, now: float) -> float:
        return 0.2

    def hedge_delay(self, route: str, objective_s: float, *, scarce: bool) -> float:
        return self.hedge_delay_s

    def is_budget_scarce(self, service: str, now: float) -> bool:
        return self.scarce

    def spend_retry_budget(self, service: str, now: float) -> bool:
        self.extra_left -= 1
        return self.extra_left >= 0

    def on_request(self, service: str, now: float) -> None:
        pass

    def on_sent(self, target_id: str, now: float) -> None:
        self.sent.append(target_id)

    def on_reply(self, route, target_id, reply, latency_s, now) -> None:
        pass

    def on_failure(self, target_id, failure, now) -> None:
        self.failures.append((target_id, failure.kind))

    def on_superseded(self, route: str, elapsed_s: float) -> None:
        self.superseded.append(elapsed_s)


def begin(route: Route, policy: FakePolicy, deadline: float = 2.0):
    """Start an execution at time 0; return it, its sub-requests by service and its actions."""
    execution = ScatterExecution(route, policy, itertools.count(1), 0.0, deadline)
    actions = execution.start(0.0)
    return execution, {a.service: a for a in actions if isinstance(a, Forward)}, actions
