"""Converts the outcome of an execution into an answer or an error."""

from __future__ import annotations

from bramleycrank.filters.types import Next, RequestContext
from bramleycrank.query.types import Answer, Fail


class MergeFilter:
    """Sets the merged answer of the request; `bramleycrank.query.merge` does the merging."""

    async def __call__(self, ctx: RequestContext, next: Next) -> Answer:
        """Set the answer, or raise the error with which the execution ended."""
        outcome = ctx.outcome
        assert outcome is not None
        if isinstance(outcome, Fail):
            raise outcome.error
        ctx.answer = outcome.answer
        return await next(ctx)
