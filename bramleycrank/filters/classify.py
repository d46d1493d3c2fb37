"""Derives the deadline and the admission ticket of a request."""

from __future__ import annotations

import itertools

from bramleycrank.filters.types import Next, RequestContext
from bramleycrank.query.types import Answer, Ticket

DEFAULT_DEADLINE_MS = 1_000


class ClassifyFilter:
    """Sets the deadline and creates the ticket from the request and its service's configuration."""

    def __init__(self) -> None:
        self._next_ticket_id = itertools.count(1).__next__

    async def __call__(self, ctx: RequestContext, next: Next) -> Answer:
        """Set the deadline and the ticket, then call the next filter."""
        req, service = ctx.req, ctx.service
        assert service is not None
        deadline_ms = req.deadline_ms or service.default_deadline_ms or DEFAULT_DEADLINE_MS
        ctx.deadline = ctx.received_at + deadline_ms / 1e3
        ctx.ticket = Ticket(
            ticket_id=self._next_ticket_id(),
            service=req.service,
            priority=req.priority,
            deadline=ctx.deadline,
            max_concurrency=service.max_concurrency,
            queue_limit=service.queue_limit,
        )
        return await next(ctx)
