"""Requests and responses, and which of their headers are forwarded."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

import attrs
import xxhash

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that apply to one connection only; Content-Length is set when a body is written."""

VERSIONS = frozenset({"1.0", "1.1"})
"""Versions of HTTP that a message may have."""

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, by its name in lower case, or None."""
    return next((value for key, value in headers if key.lower() == name), None)


def values_by_name(headers: Headers) -> dict[bytes, bytes]:
    """Return the values of headers by their names in lower case."""
    return {name.lower(): value for name, value in headers}


def distinct_values(headers: Headers, name: bytes) -> set[bytes]:
    """Return the different values of a header, by its name in lower case."""
    return {value.strip() for key, value in headers if key.lower() == name}


def has_known_encoding(headers: Headers) -> bool:
    """Return whether a body has no transfer encoding, or is chunked and nothing else.

    The parser takes a list that ends with "chunked" for chunked alone.
    """
    encodings = [value for name, value in headers if name.lower() == b"transfer-encoding"]
    return not encodings or [value.strip().lower() for value in encodings] == [b"chunked"]


def headers_size(headers: Headers) -> int:
    """Return the size of headers in bytes, without their separators."""
    return sum(len(name) + len(value) for name, value in headers)


def end_to_end_headers(headers: Headers, dropped: frozenset[bytes] = frozenset()) -> Headers:
    """Return the headers to forward: all but hop-by-hop headers and those in `dropped`."""
    connection_header = find_header(headers, b"connection")
    skip = HOP_BY_HOP | dropped
    if connection_header is not None:
        skip |= {name.strip().lower() for name in connection_header.split(b",")}
    return [item for item in headers if item[0].lower() not in skip]


@attrs.frozen(eq=False)
class Request:
    """A complete request.

    Parameters
    ----------
    method : bytes
        Method in capitals.
    target : bytes
        Path and query as received.
    host : bytes
        Value of the Host header.
    headers : list of (bytes, bytes)
        All headers in order, with their names as received.
    body : bytes
        Complete body, with the chunked encoding removed.
    """

    method: bytes
    target: bytes
    host: bytes
    headers: Headers = attrs.field(repr=False)  # may have a caller's key
    body: bytes = attrs.field(repr=False)

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def fingerprint(self) -> int:
        """64-bit hash of method, host, path, query and body; equal for a repeated request."""
        digest = xxhash.xxh64(b"%b %b %b\n" % (self.method, self.host, self.target))
        digest.update(self.body)
        return digest.intdigest()


@attrs.frozen(eq=False)
class Response:
    """A complete response of a target.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        All headers in order, with their names as received.
    body : bytes
        Complete body.
    fields : dict
        Values by name in lower case; the last value of a repeated name.
    """

    status: int
    headers: Headers
    body: bytes
    fields: dict[bytes, bytes] = attrs.field(
        default=attrs.Factory(lambda self: values_by_name(self.headers), takes_self=True)
    )

    @property
    def size(self) -> int:
        """Bytes of headers and body."""
        return headers_size(self.headers) + len(self.body)


class RequestTemplate:
    """A request that is sent in several copies, which differ only in a few headers.

    Parameters
    ----------
    request : Request
        The request as received.
    headers : list of (bytes, bytes)
        Headers of all copies.
    """

    def __init__(self, request: Request, headers: Headers) -> None:
        lines = [b"%b %b HTTP/1.1" % (request.method, request.target)]
        lines += [b"%b: %b" % item for item in headers]
        if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
            lines.append(b"Content-Length: %d" % len(request.body))
        self._start = b"\r\n".join(lines)
        self._body = request.body

    def encode(self, headers: Headers) -> bytes:
        """Return the bytes of a copy with these additional headers."""
        lines = [self._start, *(b"%b: %b" % item for item in headers), b"", self._body]
        return b"\r\n".join(lines)


def encode_response_head(
    status: int, headers: Iterable[tuple[bytes, bytes]], length: int, *, close: bool, head: bool
) -> bytes:
    """Return the bytes of a response before its body.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : iterable of (bytes, bytes)
        Headers except Content-Length and Connection.
    length : int
        Length of the body in bytes.
    close : bool
        Whether the connection is closed after the response.
    head : bool
        Whether the request was HEAD, whose response has no body.
    """
    lines = [b"HTTP/1.1 %d %b" % (status, _REASONS.get(status, b"Unknown"))]
    lines += [b"%b: %b" % item for item in headers]
    if status >= 200 and status != 204 and not (head and status == 304):
        lines.append(b"Content-Length: %d" % length)
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"
