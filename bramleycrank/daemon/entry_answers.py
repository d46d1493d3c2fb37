"""What the caller of a forwarded request gets, as a response."""

from __future__ import annotations

from bramleycrank.daemon.entry_types import CallerMeta, EntryDialect
from bramleycrank.routing import Route
from bramleycrank.scatter import Answer, Merged, Refusal, merge_records
from bramleycrank.scatter.types import Give
from bramleycrank.transport.http1.messages import Headers, end_to_end_headers


def render(dialect: EntryDialect, meta: CallerMeta, give: Give) -> tuple[int, Headers, bytes, str]:
    """Return status, headers and body of the response, and a note for the log."""
    match give:
        case Answer(answer=answer):
            return answer.status, end_to_end_headers(answer.headers), answer.body, "answered"
        case Merged():
            receipts = [part.receipt for part in give.parts]
            body = merge_records((part.body for part in give.parts), give.top_records)
            return 200, dialect.merged_headers(meta, receipts, give.missing), body, "merged"
        case Refusal():
            headers = dialect.refusal_headers(meta, give.retry_after_s)
            return _refusal_status(give), headers, b"", give.reason


def missing_services(route: Route, give: Give) -> list[str]:
    """Return the services whose part is not in a merged answer."""
    if not isinstance(give, Merged):
        return []
    return sorted(set(route.services) - {part.service for part in give.parts})


def _refusal_status(refusal: Refusal) -> int:
    """Return 503 only where it is true that the request has not run and never will."""
    if refusal.not_run:
        return 503
    return 504 if refusal.reason == "timeout" else 502
