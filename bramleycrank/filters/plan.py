"""Creates the execution of a query."""

from __future__ import annotations

from collections.abc import Callable

from bramleycrank.filters.types import Next, RequestContext
from bramleycrank.query.catalog import SnapshotCatalog
from bramleycrank.query.execution import QueryExecution
from bramleycrank.query.types import Answer, NextSubId, QueryPolicy

MERGE_RESERVE_SHARE, MAX_MERGE_RESERVE_S = 0.02, 0.005
"""Share of the time limit and maximum in seconds reserved for merging and writing the answer."""


class PlanFilter:
    """Creates the execution of a query and determines its first actions."""

    def __init__(
        self,
        policy: QueryPolicy,
        catalog: SnapshotCatalog,
        next_sub_id: NextSubId,
        clock: Callable[[], float],
    ) -> None:
        self._policy = policy
        self._catalog = catalog
        self._next_sub_id = next_sub_id
        self._clock = clock

    async def __call__(self, ctx: RequestContext, next: Next) -> Answer:
        """Set the execution and its first actions; nothing is sent yet."""
        service, snapshot = ctx.service, ctx.snapshot
        assert service is not None
        assert snapshot is not None
        total_s = ctx.deadline - ctx.received_at
        ctx.execution = QueryExecution(
            ctx.req,
            snapshot=snapshot,
            policy=self._policy,
            catalog=self._catalog,
            next_sub_id=self._next_sub_id,
            deadline=ctx.deadline - min(MERGE_RESERVE_SHARE * total_s, MAX_MERGE_RESERVE_S),
            idempotent=ctx.idempotent,
            hedging=not service.hedging_disabled,
            pinned_version=service.pinned_version,
        )
        ctx.first_actions = ctx.execution.start(self._clock())
        return await next(ctx)
