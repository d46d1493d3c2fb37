"""Adds the state of the configuration to an answer."""

from __future__ import annotations

import attrs

from bramleycrank.filters.types import Configuration, Next, RequestContext
from bramleycrank.query.types import Answer


class AnswerFilter:
    """Last filter; it does not call the next one."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    async def __call__(self, ctx: RequestContext, next: Next) -> Answer:
        """Return the answer with the revision and the age of the configuration in force."""
        assert ctx.answer is not None
        return attrs.evolve(
            ctx.answer,
            revision=self._configuration.revision,
            stale_ms=self._configuration.stale_ms(),
        )
