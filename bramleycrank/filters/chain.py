"""Composition of the filters and the outcome that an error may state."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from bramleycrank.exceptions import BramleycrankError, InternalError, Outcome
from bramleycrank.filters.types import Filter, Next, RequestContext
from bramleycrank.query.types import READ_KINDS, Answer


async def _end(ctx: RequestContext) -> Answer:
    raise InternalError("The filter chain has no end.")


def compose(filters: Sequence[Filter]) -> Next:
    """Return the function that passes a request through `filters` in order."""
    chain: Next = _end
    for step in reversed(filters):
        chain = partial(step, next=chain)
    return chain


def settle_outcome(ctx: RequestContext, exc: BramleycrankError) -> None:
    """Set the outcome of an error to what is known about the request.

    "Not run" needs that no sub-request was dispatched, or that every target proved that it did
    not run. For a non-idempotent request it also needs the winning claim, because an earlier
    attempt through another VM may have run.
    """
    proved = ctx.execution is None or ctx.execution.not_run
    alone = ctx.idempotent or ctx.claim_won or ctx.req.kind in READ_KINDS
    exc.outcome = Outcome.NOT_RUN if proved and alone else Outcome.UNKNOWN
