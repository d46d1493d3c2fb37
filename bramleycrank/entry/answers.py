"""Builds the response to the caller of a forwarded request."""

from __future__ import annotations

from bramleycrank.entry.types import CallerMeta, EntryDialect
from bramleycrank.routing import Route
from bramleycrank.scatter import Answer, Merged, Refusal, RefusalCause, merge_records
from bramleycrank.scatter.types import FinalAction
from bramleycrank.transport.http1.messages import Headers, end_to_end_headers


def render(
    dialect: EntryDialect, meta: CallerMeta, outcome: FinalAction
) -> tuple[int, Headers, bytes, str]:
    """Return status, headers and body of the response, and the outcome for the log."""
    match outcome:
        case Answer(answer=answer):
            return answer.status, end_to_end_headers(answer.headers), answer.body, "answered"
        case Merged():
            receipts = [part.receipt for part in outcome.parts]
            body = merge_records((part.body for part in outcome.parts), outcome.top_records)
            return 200, dialect.merged_headers(meta, receipts, outcome.missing), body, "merged"
        case Refusal():
            headers = dialect.refusal_headers(meta, outcome.retry_after_s)
            return _refusal_status(outcome), headers, b"", outcome.reason


def missing_services(route: Route, outcome: FinalAction) -> list[str]:
    """Return the services whose reply is missing from a merged answer."""
    if not isinstance(outcome, Merged):
        return []
    return sorted(set(route.services) - {part.service for part in outcome.parts})


def _refusal_status(refusal: Refusal) -> int:
    """Return the status of a refusal: 503 only if the request was not and will not be executed."""
    if refusal.not_run:
        return 503
    return 504 if refusal.cause is RefusalCause.TIMEOUT else 502
