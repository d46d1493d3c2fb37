"""One connection of a caller: reads requests within limits and writes whole responses."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Protocol

import attrs
import httptools

from bramleycrank.observability.request_log import RequestLog
from bramleycrank.routing import Limits
from bramleycrank.transport.http1.intake import IntakeBudget, MessageMeter
from bramleycrank.transport.http1.messages import Headers, Request, encode_response
from bramleycrank.transport.http1.round_trip import round_trip_of

log = logging.getLogger(__name__)

MAX_PIPELINED = 8
"""Requests that may wait behind the one in progress before the connection is read no further."""

FRAMING_HEADS = 2
"""Largest framing of a request, in heads: trailers may be as large as the head."""

BUSY_RETRY_S = 1
"""When a caller should come back to a VM whose memory for requests is used up, in seconds."""

WRITE_STALL_S = 10.0
"""Time after which a caller that does not read its response is disconnected, in seconds."""


class Handler(Protocol):
    """Answers requests."""

    def on_request(self, exchange: Exchange) -> None:
        """Take a request; `Exchange.respond` is called once, at any time."""


class Server(Protocol):
    """What a connection needs of the server that accepted it."""

    handler: Handler
    limits: Callable[[], Limits]
    draining: bool
    connections: set[ServerConnection]
    refusals: RequestLog
    intake: IntakeBudget[ServerConnection]


class Exchange:
    """A request and the way to answer it.

    Parameters
    ----------
    request : Request
        The request.
    connection : ServerConnection
        The connection that it came on.
    arrived : float
        Time of the loop at which the request was complete, in seconds.
    size : int
        Bytes of head and body.
    """

    __slots__ = ("_connection", "arrived", "on_gone", "request", "size")

    def __init__(
        self, request: Request, connection: ServerConnection, arrived: float, size: int
    ) -> None:
        self.request = request
        self.size = size
        self.arrived = arrived
        self.on_gone: Callable[[], None] | None = None
        self._connection = connection

    @property
    def gone(self) -> bool:
        """Whether the caller closed the connection."""
        return self._connection.closed

    @property
    def round_trip_s(self) -> float | None:
        """Round trip to the caller in seconds as the kernel measured it, or None if unknown."""
        return self._connection.round_trip_s

    def respond(self, status: int, headers: Headers, body: bytes, *, close: bool = False) -> None:
        """Write the response; one for a caller that went away is dropped."""
        self.on_gone = None
        self._connection.respond(self, status, headers, body, close)


class ServerConnection(asyncio.Protocol):
    """One connection of a caller.

    Requests on it are answered one after the other. The length of a body is never taken from two
    sources: the parser refuses requests with several lengths, or with a length and chunks.

    Parameters
    ----------
    server : Server
        Handler, limits and the set of open connections.
    """

    def __init__(self, server: Server) -> None:
        self.closed = False
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[tuple[Exchange, bool]] = deque()
        self._current: Exchange | None = None
        self._keep_alive = True
        self._meter = MessageMeter(0)
        self._completed = False  # a request ended among the bytes that are being parsed
        self._ending = False  # a response with "Connection: close" was written or is due
        self._problem: tuple[int, str] | None = None
        self._begin()
        self._started: float | None = None  # first byte of a request that is not complete
        self._idle_since = self._loop.time()
        self._stalled_since: float | None = None

    def _begin(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._head_bytes = 0
        self._in_body = False
        self._body: list[bytes] = []
        self._body_bytes = 0

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what is in progress."""
        self._gone()

    def eof_received(self) -> bool:
        """Take the end of the caller's bytes for its leaving; callers send none in the middle."""
        return False

    def pause_writing(self) -> None:
        """Note that the caller does not read."""
        self._stalled_since = self._loop.time()

    def resume_writing(self) -> None:
        """Note that the caller reads again."""
        self._stalled_since = None

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the caller."""
        if self._ending or self._problem:
            return  # What follows the last request of a connection is not read.
        if self._started is None:
            self._started = self._loop.time()
        self._completed = False
        self._meter.received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(400, "protocol upgrades are not supported")
        except httptools.HttpParserError as exc:
            if self._problem is None:
                self._fail(400, f"malformed request: {exc}")
        self._check_framing()
        self._end_after_problem()

    def _check_framing(self) -> None:
        header_bytes = self._server.limits().header_bytes
        if self._completed:
            self._meter.restart()  # which of the bytes belong to the next request is unknown
        self._meter.framing_bytes = FRAMING_HEADS * header_bytes
        if self._meter.exceeded or (not self._in_body and self._head_bytes > header_bytes):
            self._fail(431, "the head, the trailers or the chunk sizes are too large")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._begin()
        self._started = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""
        self._url += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are read past."""
        if self._in_body:
            return
        self._headers.append((name, value or b""))
        self._head_bytes += len(name) + len(value or b"") + 4

    def on_headers_complete(self) -> None:
        """Check the head."""
        self._in_body = True
        limits = self._server.limits()
        if self._head_bytes > limits.header_bytes:
            self._fail(431, "the head of the request is too large")
            return
        self._hold(self._head_bytes)
        lengths = [value for name, value in self._headers if name.lower() == b"content-length"]
        if lengths and lengths[0].isdigit() and int(lengths[0]) > limits.body_bytes:
            self._fail(413, "the body is too large")
            return
        expects = any(name.lower() == b"expect" for name, _ in self._headers)
        if expects and self._current is None and not self._waiting:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self._problem is not None:
            return
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits().body_bytes:
            self._fail(413, "the body is too large")
        else:
            self._meter.body += len(body)
            self._body.append(body)
            self._hold(len(body))

    def on_message_complete(self) -> None:
        """Queue the request."""
        if self._problem is not None or self._ending:
            return
        self._started = None
        self._completed = True
        hosts = [value for name, value in self._headers if name.lower() == b"host"]
        target, host = _split_target(self._url, hosts[0] if hosts else b"")
        if len(hosts) > 1 or not host:
            self._fail(400, "exactly one Host header is needed")
            return
        request = Request(
            self._parser.get_method(), target, host, self._headers, b"".join(self._body)
        )
        keep_alive = self._parser.should_keep_alive()
        size = self._head_bytes + self._body_bytes
        self._waiting.append((Exchange(request, self, self._loop.time(), size), keep_alive))
        if len(self._waiting) > MAX_PIPELINED:
            self._transport.pause_reading()
        self._next()

    def _hold(self, count: int) -> None:
        for conn in self._server.intake.take(self, count):
            conn.give_up()

    def give_up(self) -> None:
        """Refuse the request that is being read, because the memory for requests is used up."""
        self._fail(503, "the memory for requests is used up")
        self._body = []
        self._loop.call_soon(self._end_after_problem)

    # Requests and responses.

    def _next(self) -> None:
        if self._current is not None or not self._waiting or self.closed:
            return
        self._current, self._keep_alive = self._waiting.popleft()
        if len(self._waiting) == MAX_PIPELINED:
            self._transport.resume_reading()
        exchange = self._current
        try:
            self._server.handler.on_request(exchange)
        except Exception:
            log.exception("http: a request failed")
            if self._current is exchange:
                exchange.respond(500, [], b"", close=True)

    def respond(
        self, exchange: Exchange, status: int, headers: Headers, body: bytes, close: bool
    ) -> None:
        """Write the response of the request in progress."""
        if self.closed or self._current is not exchange:
            return
        self._current = None
        self._server.intake.release(self, exchange.size)
        close = close or not self._keep_alive or self._server.draining
        head = exchange.request.method == b"HEAD"
        self._write(encode_response(status, headers, body, close=close, head=head))
        self._idle_since = self._loop.time()
        if close:
            self._end()
        elif self._waiting:
            # Not at once: a handler that answers immediately would otherwise nest calls.
            self._loop.call_soon(self._next)
        else:
            self._end_after_problem()

    def _fail(self, status: int, reason: str) -> None:
        if self._problem is None:
            self._problem = (status, reason)

    def _end_after_problem(self) -> None:
        """Answer a request that cannot be read, after those before it."""
        if self._problem is None or self._current is not None or self._waiting or self.closed:
            return
        if self._ending:
            return
        status, reason = self._problem
        now = self._loop.time()
        self._server.refusals.record(
            reason,
            b"",
            now,
            failed=True,
            status=status,
            framing_bytes=self._meter.framing,
            body_bytes=self._body_bytes,
            held_bytes=self._server.intake.held_bytes,
            bounds=attrs.asdict(self._server.limits()),
        )
        headers = [(b"Content-Type", b"text/plain")]
        if status == 503:
            headers.append((b"Retry-After", b"%d" % BUSY_RETRY_S))
        self._write(encode_response(status, headers, reason.encode(), close=True, head=False))
        self._end()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _end(self) -> None:
        self._ending = True
        self._server.intake.release(self)
        self._waiting.clear()
        if self._transport is not None:
            self._transport.close()

    def _gone(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._server.connections.discard(self)
        self._server.intake.release(self)
        self._waiting.clear()
        exchange, self._current = self._current, None
        if exchange is not None and exchange.on_gone is not None:
            exchange.on_gone()

    @property
    def round_trip_s(self) -> float | None:
        """Round trip to the caller in seconds as the kernel measured it, or None if unknown."""
        sock = self._transport.get_extra_info("socket") if self._transport else None
        return None if sock is None or self.closed else round_trip_of(sock)

    # Time limits and shutdown.

    @property
    def busy(self) -> bool:
        """Whether a request is read, waits or is in progress, or a response is being written."""
        writing = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return bool(self._current or self._waiting or self._started is not None or writing)

    def sweep(self, now: float) -> None:
        """Apply the time limits."""
        limits = self._server.limits()
        if self._stalled_since is not None and now - self._stalled_since > WRITE_STALL_S:
            self._transport.abort()
        elif self._current is not None or self._waiting or self._ending:
            return
        elif self._started is not None:
            limit_s = limits.idle_timeout_s if self._in_body else limits.header_timeout_s
            if now - self._started > limit_s:
                self._fail(408, "the request did not arrive in time")
                self._end_after_problem()
        elif now - self._idle_since > limits.idle_timeout_s:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection if no request is on it."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Cut the connection."""
        if self._transport is not None:
            self._transport.abort()


def _split_target(url: bytes, host: bytes) -> tuple[bytes, bytes]:
    """Return path with query, and host; a target in absolute form names its own host."""
    if url.startswith(b"/"):
        return url, host
    scheme, _, rest = url.partition(b"://")
    if scheme.lower() not in (b"http", b"https"):
        return url, host
    authority, slash, path = rest.partition(b"/")
    return slash + path or b"/", authority
