"""Completes an answer with the configuration in force."""

from __future__ import annotations

import attrs

from bramleycrank.filters.types import Configuration, Next, RequestContext
from bramleycrank.query.types import Answer


class AnswerFilter:
    """Last filter; it does not call the next one."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    async def __call__(self, ctx: RequestContext, next: Next) -> Answer:
        """Return the answer with revision and age of the configuration."""
        assert ctx.answer is not None
        return attrs.evolve(
            ctx.answer,
            revision=self._configuration.revision,
            stale_ms=self._configuration.stale_ms(),
        )
