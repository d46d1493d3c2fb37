"""Validation of a request against the configuration of its service."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from bramleycrank.exceptions import ClassNotAllowed, InvalidRequest, UnknownKind
from bramleycrank.filters.types import Configuration, Next, RequestContext
from bramleycrank.proto.log_pb2 import ServiceConfig
from bramleycrank.query.types import READ_KINDS, Answer, QueryRequest

MAX_ISSUED_AHEAD_MS = 3_600_000
"""Maximum distance of `issued_at_ms` into the future, in milliseconds."""

DEFAULT_HITS_LIMIT = 1_000


def is_idempotent(service: ServiceConfig, kind: str) -> bool:
    """Return whether requests of `kind` may run more than once.

    Raises
    ------
    UnknownKind
        If the service does not define the kind.
    """
    if kind in READ_KINDS:
        return True
    for kind_config in service.kinds:
        if kind_config.name == kind:
            return kind_config.idempotent
    raise UnknownKind(f"Service {service.name} does not define the kind {kind[:64]!a}.")


class ValidateFilter:
    """Refuses requests that the configuration of the service does not allow.

    Parameters
    ----------
    wall_ms : callable
        Unix time in milliseconds.
    """

    def __init__(self, configuration: Configuration, wall_ms: Callable[[], int]) -> None:
        self._configuration = configuration
        self._wall_ms = wall_ms

    async def __call__(self, ctx: RequestContext, next: Next) -> Answer:
        """Set the service and whether the request is idempotent."""
        req = ctx.req
        ctx.idempotent = req.kind in READ_KINDS
        service = ctx.service = self._configuration.service(req.service)
        ctx.idempotent = is_idempotent(service, req.kind)
        problems = list(self._find_problems(ctx.idempotent, service, req))
        if service.classes and req.priority not in service.classes:
            allowed = ", ".join(service.classes)
            message = f"class: {req.priority} is not allowed; allowed: {allowed}"
            if not problems:
                raise ClassNotAllowed(message)
            problems.append(message)
        if problems:
            raise InvalidRequest("; ".join(problems))
        return await next(ctx)

    def _find_problems(
        self, idempotent: bool, service: ServiceConfig, req: QueryRequest
    ) -> Iterable[str]:
        max_hits = service.hits_limit or DEFAULT_HITS_LIMIT
        if req.limit > max_hits:
            yield f"limit: must be at most {max_hits} for this service"
        if idempotent:
            return
        if not req.request_key:
            yield "request_key: is required for this kind"
        if not req.issued_at_ms:
            yield "issued_at_ms: is required for this kind"
        elif req.issued_at_ms > self._wall_ms() + MAX_ISSUED_AHEAD_MS:
            yield "issued_at_ms: is more than 1 h in the future"
