"""One connection of a caller: reads requests within limits and writes complete responses."""

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
from bramleycrank.transport.http1.messages import Headers, Request, encode_response
from bramleycrank.transport.http1.receive_budget import MessageMeter, ReceiveBudget
from bramleycrank.transport.http1.round_trip import round_trip_of

log = logging.getLogger(__name__)

MAX_PIPELINED = 8
"""Most requests that wait behind the one in progress; a longer queue pauses reading."""

MAX_FRAMING_FACTOR = 2
"""Largest framing as a multiple of the head limit; trailers may be as large as the head."""

MEMORY_RETRY_AFTER_S = 1
"""Retry-after of a request that is refused for lack of memory, in seconds."""

STOP_RETRY_AFTER_S = 0.05
"""Retry-after of a request that is refused since the VM stops, in seconds; others serve it."""

LINGER_S = 1.0
"""Time for which the rest of a refused request is read and discarded, in seconds."""

LINGER_BYTES = 1024 * 1024
"""Most bytes of a refused request that are read and discarded."""

WRITE_TIMEOUT_S = 10.0
"""Time after which a caller that does not read its response is disconnected, in seconds."""


class Handler(Protocol):
    """Handles requests."""

    def on_request(self, exchange: Exchange) -> None:
        """Handle a request; must call `Exchange.respond` once, now or later."""


class Server(Protocol):
    """Server state that its connections use."""

    handler: Handler
    limits: Callable[[], Limits]
    draining: bool
    connections: set[ServerConnection]
    refusals: RequestLog
    receive_budget: ReceiveBudget[ServerConnection]


class Exchange:
    """A request that a response can be written to.

    Parameters
    ----------
    request : Request
        The request.
    connection : ServerConnection
        The connection that received it.
    arrived : float
        Event loop time at which the request was complete, in seconds.
    size : int
        Size of head and body in bytes.
    """

    __slots__ = ("_connection", "arrived", "on_disconnected", "request", "size")

    def __init__(
        self, request: Request, connection: ServerConnection, arrived: float, size: int
    ) -> None:
        self.request = request
        self.size = size
        self.arrived = arrived
        self.on_disconnected: Callable[[], None] | None = None
        self._connection = connection

    @property
    def disconnected(self) -> bool:
        """Whether the caller disconnected."""
        return self._connection.closed

    @property
    def round_trip_s(self) -> float | None:
        """Round trip to the caller in seconds as the kernel measured it, or None if unknown."""
        return self._connection.round_trip_s

    def respond(self, status: int, headers: Headers, body: bytes, *, close: bool = False) -> None:
        """Write the response; does nothing if the caller disconnected."""
        self.on_disconnected = None
        self._connection.respond(self, status, headers, body, close)


class ServerConnection(asyncio.Protocol):
    """One connection of a caller.

    Its requests are handled one after the other. The length of a body is never ambiguous, because
    the parser rejects requests with several lengths, or with a length and chunked encoding.

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
        self._linger_until: float | None = None
        self._discarded_bytes = 0
        self._kept_bytes = 0  # of the requests in progress and waiting
        self._completed = False  # the data being parsed contains the end of a request
        self._closing = False  # a response with "Connection: close" was written or is due
        self._error: tuple[int, str, float] | None = None
        self._start_request()
        # Arrival of the first byte of an incomplete request.
        self._request_started_at: float | None = None
        self._idle_since = self._loop.time()
        self._write_blocked_since: float | None = None

    def _start_request(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._head_bytes = 0
        self._in_body = False
        self._body: list[bytes] = []
        self._body_bytes = 0

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the opened connection."""
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._on_disconnect()

    def eof_received(self) -> bool:
        """Treat EOF as a disconnect, because callers do not half-close connections."""
        return False

    def pause_writing(self) -> None:
        """Start the write timeout: the caller does not read its response."""
        self._write_blocked_since = self._loop.time()

    def resume_writing(self) -> None:
        """Stop the write timeout: the caller reads again."""
        self._write_blocked_since = None

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if self._closing or self._error:
            self._discard(len(data))
            return
        if self._request_started_at is None:
            self._request_started_at = self._loop.time()
        self._completed = False
        self._meter.received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._set_error(400, "protocol upgrades are not supported")
        except httptools.HttpParserError as exc:
            if self._error is None:
                self._set_error(400, f"malformed request: {exc}")
        self._check_framing_size()
        self._respond_error()

    def _discard(self, count: int) -> None:
        """Ignore data after the last request of a connection, up to a limit."""
        self._discarded_bytes += count
        if self._linger_until is not None and self._discarded_bytes > LINGER_BYTES:
            self._transport.abort()

    def _check_framing_size(self) -> None:
        header_bytes = self._server.limits().header_bytes
        if self._completed:
            self._meter.restart()  # how much of the data belongs to the next request is unknown
        self._meter.framing_bytes = MAX_FRAMING_FACTOR * header_bytes
        if self._meter.exceeded or (not self._in_body and self._head_bytes > header_bytes):
            self._set_error(431, "the head, the trailers or the chunk sizes are too large")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._start_request()
        self._request_started_at = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self._url += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are ignored."""
        if self._in_body:
            return
        self._headers.append((name, value or b""))
        self._head_bytes += len(name) + len(value or b"") + 4

    def on_headers_complete(self) -> None:
        """Check the size of the head and the announced length of the body."""
        self._in_body = True
        limits = self._server.limits()
        if self._head_bytes > limits.header_bytes:
            self._set_error(431, "the head of the request is too large")
            return
        self._reserve_memory(self._head_bytes)
        lengths = [value for name, value in self._headers if name.lower() == b"content-length"]
        length = int(lengths[0]) if lengths and lengths[0].isdigit() else 0
        if length > limits.body_bytes:
            self._set_error(413, "the body is too large")
            return
        if not self._server.receive_budget.admits(self._head_bytes + length):
            self._refuse_for_memory()
            return
        expects = any(name.lower() == b"expect" for name, _ in self._headers)
        if expects and self._current is None and not self._waiting:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if self._error is not None:
            return
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits().body_bytes:
            self._set_error(413, "the body is too large")
        else:
            self._meter.body += len(body)
            self._body.append(body)
            self._reserve_memory(len(body))

    def on_message_complete(self) -> None:
        """Queue the request."""
        if self._error is not None or self._closing:
            return
        self._request_started_at = None
        self._completed = True
        if self._server.draining:
            # It may need longer than the rest of the grace time.
            self._set_error(503, "the VM stops", STOP_RETRY_AFTER_S)
            return
        hosts = [value for name, value in self._headers if name.lower() == b"host"]
        target, host = _split_target(self._url, hosts[0] if hosts else b"")
        if len(hosts) > 1 or not host:
            self._set_error(400, "exactly one Host header is needed")
            return
        request = Request(
            self._parser.get_method(), target, host, self._headers, b"".join(self._body)
        )
        self._body = []
        keep_alive = self._parser.should_keep_alive()
        size = self._head_bytes + self._body_bytes
        if not self._server.receive_budget.keep(self, size):
            self._refuse_for_memory()
            return
        self._kept_bytes += size
        self._waiting.append((Exchange(request, self, self._loop.time(), size), keep_alive))
        if len(self._waiting) > MAX_PIPELINED:
            self._transport.pause_reading()
        self._handle_next()

    def _reserve_memory(self, count: int) -> None:
        for conn in self._server.receive_budget.add(self, count):
            conn.abort_request()

    def _refuse_for_memory(self) -> None:
        self._set_error(503, "the memory for requests is used up", MEMORY_RETRY_AFTER_S)

    def _release_memory(self) -> None:
        """Release the memory of all requests of this connection, incomplete or in progress."""
        self._server.receive_budget.release(self)
        self._server.receive_budget.release_kept(self._kept_bytes)
        self._kept_bytes = 0

    def abort_request(self) -> None:
        """Refuse the request being read, because the memory for requests is used up."""
        self._refuse_for_memory()
        self._body = []
        self._loop.call_soon(self._respond_error)

    # Requests and responses.

    def _handle_next(self) -> None:
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
        self._kept_bytes -= exchange.size
        self._server.receive_budget.release_kept(exchange.size)
        close = close or not self._keep_alive or self._server.draining
        head = exchange.request.method == b"HEAD"
        self._write(encode_response(status, headers, body, close=close, head=head))
        self._idle_since = self._loop.time()
        if close:
            self._close_after_write()
        elif self._waiting:
            # Deferred, because a handler that responds immediately would cause recursion.
            self._loop.call_soon(self._handle_next)
        else:
            self._respond_error()

    def _set_error(self, status: int, reason: str, retry_after_s: float = 0.0) -> None:
        if self._error is None:
            self._error = (status, reason, retry_after_s)

    def _respond_error(self) -> None:
        """Write the error response for an invalid request, after all earlier responses."""
        if self._error is None or self._current is not None or self._waiting or self.closed:
            return
        if self._closing:
            return
        status, reason, retry_after_s = self._error
        now = self._loop.time()
        self._server.refusals.record(
            reason,
            b"",
            now,
            failed=True,
            status=status,
            framing_bytes=self._meter.framing,
            body_bytes=self._body_bytes,
            held_bytes=self._server.receive_budget.held_bytes,
            kept_bytes=self._server.receive_budget.kept_bytes,
            bounds=attrs.asdict(self._server.limits()),
        )
        headers = [(b"Content-Type", b"text/plain")]
        if retry_after_s:
            headers.append((b"Retry-After", b"%g" % retry_after_s))
        self._write(encode_response(status, headers, reason.encode(), close=True, head=False))
        self._close_after_write(linger=self._request_started_at is not None)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _close_after_write(self, *, linger: bool = False) -> None:
        """Close the connection after the response.

        Parameters
        ----------
        linger : bool, optional
            Whether a part of the request may still arrive. To close a connection with unread data
            resets it, and the caller may lose the response.
        """
        self._closing = True
        self._release_memory()
        self._waiting.clear()
        if self._transport is None or self._transport.is_closing():
            return
        if linger:
            self._request_started_at = None
            self._linger_until = self._loop.time() + LINGER_S
            self._transport.write_eof()
        else:
            self._transport.close()

    def _on_disconnect(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._server.connections.discard(self)
        self._release_memory()
        self._waiting.clear()
        exchange, self._current = self._current, None
        if exchange is not None and exchange.on_disconnected is not None:
            exchange.on_disconnected()

    @property
    def round_trip_s(self) -> float | None:
        """Round trip to the caller in seconds as the kernel measured it, or None if unknown."""
        sock = self._transport.get_extra_info("socket") if self._transport else None
        return None if sock is None or self.closed else round_trip_of(sock)

    # Timeouts and shutdown.

    @property
    def busy(self) -> bool:
        """Whether there is a request, complete or not, or unsent response data."""
        writing = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return bool(
            self._current or self._waiting or self._request_started_at is not None or writing
        )

    def check_timeouts(self, now: float) -> None:
        """Apply the timeouts."""
        limits = self._server.limits()
        blocked_since = self._write_blocked_since
        is_blocked = blocked_since is not None and now - blocked_since > WRITE_TIMEOUT_S
        if is_blocked or (self._linger_until is not None and now > self._linger_until):
            self._transport.abort()
        elif self._current is not None or self._waiting or self._closing:
            return
        elif self._request_started_at is not None:
            limit_s = limits.idle_timeout_s if self._in_body else limits.header_timeout_s
            if now - self._request_started_at > limit_s:
                self._set_error(408, "the request did not arrive in time")
                self._respond_error()
        elif now - self._idle_since > limits.idle_timeout_s:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless it is busy."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()


def _split_target(url: bytes, host: bytes) -> tuple[bytes, bytes]:
    """Return the path with query, and the host; a target in absolute form includes the host."""
    if url.startswith(b"/"):
        return url, host
    scheme, _, rest = url.partition(b"://")
    if scheme.lower() not in (b"http", b"https"):
        return url, host
    authority, slash, path = rest.partition(b"/")
    return slash + path or b"/", authority
