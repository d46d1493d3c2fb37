"""Composition of the filter chain, and the outcome stated by an error."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from bramleycrank.exceptions import BramleycrankError, InternalError, Outcome
from bramleycrank.filters.types import Filter, Next, RequestContext
from bramleycrank.query.types import READ_KINDS, Answer


async def _raise_no_terminal_filter(ctx: RequestContext) -> Answer:
    raise InternalError("The filter chain has no terminal filter.")


def compose(filters: Sequence[Filter]) -> Next:
    """Return a function that passes a request through `filters` in order."""
    chain: Next = _raise_no_terminal_filter
    for filter_ in reversed(filters):
        chain = partial(filter_, next=chain)
    return chain


def set_error_outcome(ctx: RequestContext, exc: BramleycrankError) -> None:
    """Set the outcome of an error according to what is known about the request.

    The outcome is "not run" only if no sub-request was dispatched or every target proved that it
    did not run the request. A non-idempotent request also needs the winning claim, because an
    earlier attempt through another VM may have run.
    """
    not_run = ctx.execution is None or ctx.execution.not_run
    earlier_attempts_harmless = ctx.idempotent or ctx.claim_won or ctx.req.kind in READ_KINDS
    exc.outcome = Outcome.NOT_RUN if not_run and earlier_attempts_harmless else Outcome.UNKNOWN
