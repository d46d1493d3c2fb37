"""Runs the query core on the asyncio loop."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

from bramleycrank.filters.types import (
    Configuration,
    Metrics,
    NoMetrics,
    Proposer,
    Sessions,
    Targets,
)
from bramleycrank.proto.target_pb2 import LoadReport
from bramleycrank.query.types import Answer, QueryConfig, QueryRequest


class QueryController:
    """Executes requests and owns admission, snapshots, replicas and budgets.

    Parameters
    ----------
    vm_id, domain : str
        Identity and failure domain of this VM.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        domain: str,
        cfg: QueryConfig,
        configuration: Configuration,
        targets: Targets,
        sessions: Sessions,
        proposer: Proposer,
        metrics: Metrics | None = None,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        self._metrics = metrics or NoMetrics()

    @property
    def in_flight(self) -> int:
        """Number of requests that are not answered yet, and of claims not completed yet."""
        raise NotImplementedError

    async def start(self) -> None:
        """Subscribe to target changes."""

    async def stop(self) -> None:
        """Stop timers and background work."""

    async def execute(self, req: QueryRequest) -> Answer:
        """Return the answer to `req`.

        Raises
        ------
        BramleycrankError
            If the request cannot be answered.
        """
        raise NotImplementedError

    async def drain(self, limit_s: float) -> bool:
        """Wait until nothing is in flight, at most `limit_s`; return whether that was reached.

        New requests are refused with `Draining` from the start of this call.
        """
        raise NotImplementedError

    def set_down(self, target_id: str, down: bool) -> None:
        """Take over the connection monitor's view of a target."""
        raise NotImplementedError

    def on_load(self, target_id: str, report: LoadReport) -> None:
        """Take over the load report of a target."""
        raise NotImplementedError

    def dump(self) -> dict[str, Any]:
        """Return the state of targets, limits, budgets and snapshots with its explanation."""
        raise NotImplementedError
