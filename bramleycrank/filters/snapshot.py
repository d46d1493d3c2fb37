"""Selection of the snapshot for a query."""

from __future__ import annotations

from collections.abc import Callable

from bramleycrank.exceptions import NoTargets
from bramleycrank.filters.types import Next, RequestContext
from bramleycrank.query.catalog import SnapshotCatalog
from bramleycrank.query.result import DEFAULT_RETRY_AFTER_MS
from bramleycrank.query.types import Answer


class SnapshotFilter:
    """Chooses the snapshot that a query reads.

    Parameters
    ----------
    refresh : callable
        Updates the catalog with the current targets of a service.
    """

    def __init__(
        self,
        catalog: SnapshotCatalog,
        refresh: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        self._catalog = catalog
        self._refresh = refresh
        self._clock = clock

    async def __call__(self, ctx: RequestContext, next: Next) -> Answer:
        """Set the snapshot; raise `NoTargets` if there is none."""
        service = ctx.service
        assert service is not None
        self._refresh(service.name)
        pinned = service.pinned_version
        ctx.snapshot = self._catalog.choose(service.name, pinned, self._clock())
        if ctx.snapshot is None:
            message = f"No target holds the pinned version {pinned}." if pinned else ""
            raise NoTargets(message, retry_after_ms=DEFAULT_RETRY_AFTER_MS)
        return await next(ctx)
