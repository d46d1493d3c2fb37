"""Turns the outcome of an execution into the answer or the error of the request."""

from __future__ import annotations

from bramleycrank.filters.types import Next, RequestContext
from bramleycrank.query.types import Answer, Fail


class MergeFilter:
    """Takes the merged answer; the merge itself is in `bramleycrank.query.merge`."""

    async def __call__(self, ctx: RequestContext, next: Next) -> Answer:
        """Set the answer, or raise the error that the execution ended with."""
        outcome = ctx.outcome
        assert outcome is not None
        if isinstance(outcome, Fail):
            raise outcome.error
        ctx.answer = outcome.answer
        return await next(ctx)
