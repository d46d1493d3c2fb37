"""Encodes and decodes the headers of the platform's requests and responses."""

from __future__ import annotations

import math
from collections.abc import Sequence

from bramleycrank.customers import Identity
from bramleycrank.entry.types import CallerMeta, TargetMeta
from bramleycrank.proto.target_pb2 import LoadReport
from bramleycrank.transport.http1.messages import (
    Headers,
    Request,
    Response,
    distinct_values,
    end_to_end_headers,
    values_by_name,
)

REQUEST_ID = b"X-Request-Id"
DEADLINE_MS = b"X-Deadline-Ms"
EXPECT_INSTANCE = b"X-Expect-Instance"
STAMP = b"X-Server-Stamp"
NOT_EXECUTED = b"X-Not-Executed"
BACKEND_LOAD = b"X-Backend-Load"
PART_STAMPS = b"X-Part-Stamps"
MISSING_PARTS = b"X-Missing-Parts"
RETRY_AFTER = b"Retry-After"
CUSTOMER = b"X-Tenant"
AUTHORIZATION = b"Authorization"
KEY_SCHEME = b"Token"
SERVER_LIMIT = b"server-limit"

MAX_DIGITS = 9
"""Digits of a number that count; more of them mean a value without any meaning."""

STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503

_REPLACED_HEADERS = frozenset({DEADLINE_MS.lower(), EXPECT_INSTANCE.lower()})


class PlatformHeaders:
    """Implements `EntryDialect` for the platform."""

    def caller_meta(self, request: Request) -> CallerMeta:
        """Return the metadata in the headers of a request."""
        headers = values_by_name(request.headers)
        # The header contains a duration from now on, not a point in time.
        wait_ms = headers.get(b"x-deadline-ms", b"")
        wait_s = int(wait_ms[:MAX_DIGITS]) / 1000 if wait_ms.isdigit() else None
        return CallerMeta(
            headers.get(b"x-request-id", b""),
            wait_s,
            _parse_key(request.headers),
            headers.get(CUSTOMER.lower(), b"").decode(errors="replace"),
        )

    def forwarded_headers(self, request: Request, identity: Identity) -> Headers:
        """Return the headers that all sub-requests share."""
        headers = end_to_end_headers(request.headers, _REPLACED_HEADERS)
        if not identity.keys_in_use:
            return headers
        headers = [item for item in headers if not _states_identity(*item)]
        if identity.customer is not None:
            headers.append((CUSTOMER, identity.customer.name.encode()))
        return headers

    def wait_headers(self, timeout_s: float) -> Headers:
        """Return the headers that tell another VM how long the caller waits."""
        return [(DEADLINE_MS, b"%d" % max(1, int(timeout_s * 1000)))]

    def target_headers(self, target_id: str, timeout_s: float) -> Headers:
        """Return the headers that differ between sub-requests."""
        return [*self.wait_headers(timeout_s), (EXPECT_INSTANCE, target_id.encode())]

    def target_meta(self, response: Response) -> TargetMeta:
        """Return the metadata in the headers of a response."""
        headers = response.fields
        misdirected = response.status == STATUS_MISDIRECTED
        return TargetMeta(
            request_id=headers.get(b"x-request-id", b""),
            receipt=headers.get(b"x-server-stamp", b""),
            not_run=misdirected or b"x-not-executed" in headers,
            wrong_target=misdirected,
            encoded=headers.get(b"content-encoding", b"identity") != b"identity",
            load=_parse_load(headers.get(b"x-backend-load")),
            leaving=headers.get(b"server-leaving", b"").strip() == b"1",
            hold_s=_parse_number(headers.get(b"retry-after", b"0"))
            if response.status == STATUS_UNAVAILABLE
            else 0.0,
            limit_per_s=_parse_number(headers[SERVER_LIMIT]) if SERVER_LIMIT in headers else None,
        )

    def merged_headers(self, meta: CallerMeta, receipts: Sequence[bytes], missing: int) -> Headers:
        """Return the headers of a merged answer."""
        return [
            (REQUEST_ID, meta.request_id),
            (PART_STAMPS, b", ".join(receipts)),
            (MISSING_PARTS, b"%d" % missing),
            (b"Content-Type", b"application/octet-stream"),
        ]

    def refusal_headers(self, meta: CallerMeta, retry_after_s: float) -> Headers:
        """Return the headers of an error response of this VM."""
        headers = [(REQUEST_ID, meta.request_id)] if meta.request_id else []
        if retry_after_s > 0:
            headers.append((RETRY_AFTER, b"%.3f" % retry_after_s))
        return headers

    def unauthorized_headers(self, meta: CallerMeta) -> Headers:
        """Return the headers of the response to a request whose key is unknown."""
        return [*self.refusal_headers(meta, 0.0), (b"WWW-Authenticate", KEY_SCHEME)]


def _parse_key(headers: Headers) -> bytes | None:
    """Return the key of a request, or None if it has none or several credentials that differ."""
    values = distinct_values(headers, AUTHORIZATION.lower())
    if len(values) != 1:
        return None
    scheme, *key = values.pop().split(maxsplit=1) or [b""]
    return key[0] if key and scheme.lower() == KEY_SCHEME.lower() else None


def _states_identity(name: bytes, value: bytes) -> bool:
    """Return whether a header of a caller has a key, or would be read as the customer's name.

    A misspelt credential such as ``Token:KEY`` counts as a key. Targets with a CGI-like interface
    cannot tell an underscore from a hyphen in a name.
    """
    name = name.lower().replace(b"_", b"-")
    if name == AUTHORIZATION.lower():
        return value.lstrip().lower().startswith(KEY_SCHEME.lower())
    return name == CUSTOMER.lower()


def _parse_number(value: bytes) -> float:
    """Return the number in a header, or NaN if its value is not a number."""
    try:
        return float(value)
    except ValueError:
        return math.nan


def _parse_load(value: bytes | None) -> LoadReport | None:
    """Return the load report of "running,waiting,slots"; further numbers are ignored."""
    numbers = value.split(b",") if value else []
    if len(numbers) < 3 or not all(number.strip().isdigit() for number in numbers[:3]):
        return None
    running, waiting, slots = (int(number.strip()[:MAX_DIGITS]) for number in numbers[:3])
    return LoadReport(in_flight=running, queued=waiting, slots=slots)
