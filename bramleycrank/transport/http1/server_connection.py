"""One connection of a caller: reads requests within limits and writes complete responses."""

from __future__ import annotations

import asyncio
import logging
import select
from collections import deque
from collections.abc import Callable
from typing import Protocol

import attrs
import httptools

from bramleycrank.observability.request_log import RequestLog
from bramleycrank.routing import Limits
from bramleycrank.transport.http1.answer_writer import AnswerWriter
from bramleycrank.transport.http1.messages import (
    VERSIONS,
    Headers,
    Request,
    encode_response_head,
    has_known_encoding,
)
from bramleycrank.transport.http1.receive_budget import MessageMeter, ReceiveBudget
from bramleycrank.transport.http1.tcp_info import acked_bytes_of, round_trip_of

log = logging.getLogger(__name__)

MAX_PIPELINED = 8
"""Requests that wait behind the one in progress from which no others are parsed."""

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Most bytes read from a connection at once."""

PARSED_BYTES = 4096
"""Most bytes parsed at once; they can contain a request for each 27 bytes."""

PIPELINED_PARSED_BYTES = 512
"""Most bytes parsed at once behind a request in progress."""

PIPELINED_REQUEST_BYTES = 2048
"""Memory of a waiting request beside its bytes; 1.6 KB were measured."""

FREE_HEADERS = 32
"""Headers of a request whose objects count as a part of the connection."""

HEADER_BYTES = 170
"""Memory of the objects of one header beside its bytes."""

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

END_EVENT = getattr(select, "POLLRDHUP", 0)
"""Event of a connection that the caller has ended, where the system tells it apart."""

_receive_buffer = bytearray(RECEIVE_BUFFER_BYTES)
"""Buffer of all connections; received data is parsed or copied before the next read."""


class Handler(Protocol):
    """Handles requests."""

    def on_request(self, exchange: Exchange) -> None:
        """Handle a request; must call `Exchange.respond` once, now or later."""


class Server(Protocol):
    """Server state that its connections use.

    The connections are in the order of their last answer, or of their start.
    """

    handler: Handler
    limits: Callable[[], Limits]
    draining: bool
    connections: dict[ServerConnection, None]
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


class ServerConnection(asyncio.BufferedProtocol):
    """One connection of a caller.

    Its requests are handled one after the other. The length of a body is never ambiguous, because
    the parser rejects requests with several lengths, or with a length and chunked encoding.

    Nothing is read while the caller does not read its answers, or has many requests waiting.

    Parameters
    ----------
    server : Server
        Handler, limits and the open connections.
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
        self._writer = AnswerWriter(self._loop.time)
        self._unparsed = memoryview(b"")
        self._parse_scheduled = False
        self._has_dropped_data = False
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
        server.connections[self] = None

    def _start_request(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._head_bytes = 0
        self._in_body = False
        self._body = bytearray()

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the opened connection."""
        self._transport = transport
        self._writer.start(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._on_disconnect()

    def eof_received(self) -> bool:
        """Treat EOF as a disconnect, because callers do not half-close connections."""
        return False

    def pause_writing(self) -> None:
        """Hold the next request back, since the caller does not read its answer."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Send the rest of the answer, then go on with the next request."""
        self._writer.resume()
        # Deferred, because the transport still works on its buffer and must not be closed now.
        self._loop.call_soon(self._on_resumed)

    def _on_resumed(self) -> None:
        if self.closed:
            return
        self._account()
        if not self._writer.is_pending:
            self._on_written()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer that received data is written to."""
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received data."""
        if self._closing or self._error:
            self._discard(nbytes)
            return
        rest = self._parse(memoryview(_receive_buffer)[:nbytes])
        if rest:
            self._unparsed = memoryview(bytes(rest))
            self._transport.pause_reading()
        self._account()
        self._respond_error()

    def _discard(self, count: int) -> None:
        """Ignore data after the last request of a connection, up to a limit."""
        self._discarded_bytes += count
        if self._linger_until is not None and self._discarded_bytes > LINGER_BYTES:
            self._transport.abort()

    @property
    def _is_held_back(self) -> bool:
        return self._writer.is_pending or len(self._waiting) >= MAX_PIPELINED

    def _parse(self, data: memoryview) -> memoryview:
        """Parse data until a request has to wait; return the rest."""
        while data and not self._is_held_back and not (self._closing or self._error):
            in_progress = self._current is not None
            count = PIPELINED_PARSED_BYTES if in_progress else PARSED_BYTES
            self._parse_piece(data[:count])
            data = data[count:]
        if self._closing or self._error:
            self._has_dropped_data |= bool(data)
            return data[:0]
        return data

    def _parse_piece(self, data: memoryview) -> None:
        if self._request_started_at is None:
            self._request_started_at = self._loop.time()
        self._completed = False
        self._meter.received += len(data)
        try:
            self._feed(data)
        except httptools.HttpParserError as exc:
            if self._error is None:
                self._set_error(400, f"malformed request: {exc}")
        self._check_sizes()

    def _feed(self, data: memoryview) -> None:
        """Pass data to the parser, which ends a request with an offered upgrade after its head."""
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as exc:
                if self._error is not None or self._closing:
                    return
                data = data[exc.args[0] :]
                self._resume_without_upgrade()

    def _resume_without_upgrade(self) -> None:
        """Read the head again without the offer of an upgrade, so that the body follows it."""
        version = self._parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (self._parser.get_method(), self._url, version)]
        lines += [b"%b: %b" % item for item in self._headers if item[0].lower() != b"upgrade"]
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(b"\r\n".join(lines) + b"\r\n\r\n")

    def _parse_rest(self) -> None:
        """Go on with data that arrived while a request had to wait."""
        self._parse_scheduled = False
        if self.closed or self._closing or self._error:
            return
        if self._request_started_at is not None:
            self._request_started_at = self._loop.time()  # the caller did not cause the wait
        self._unparsed = self._parse(self._unparsed)
        if not self._unparsed and not self._transport.is_closing():
            self._transport.resume_reading()
        self._account()
        self._respond_error()

    def _schedule_parsing(self) -> None:
        if self._unparsed and not self._is_held_back and not self._parse_scheduled:
            self._parse_scheduled = True
            self._loop.call_soon(self._parse_rest)

    def _check_sizes(self) -> None:
        limits = self._server.limits()
        if self._completed:
            self._meter.restart()  # how much of the data belongs to the next request is unknown
        self._meter.framing_bytes = MAX_FRAMING_FACTOR * limits.header_bytes
        if self._meter.exceeded or (not self._in_body and self._head_bytes > limits.header_bytes):
            self._set_error(431, "the head, the trailers or the chunk sizes are too large")
        elif len(self._body) > limits.body_bytes:
            self._set_error(413, "the body is too large")

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
        if self._parser.get_http_version() not in VERSIONS:
            self._set_error(400, "the version of the protocol is not supported")
            return
        if self._parser.get_method() == b"CONNECT":
            self._set_error(400, "tunnels are not supported")
            return
        if self._parser.should_upgrade():
            return  # the head is read again without the offer
        if not has_known_encoding(self._headers):
            self._set_error(400, "the transfer encoding is not supported")
            return
        lengths = [value for name, value in self._headers if name.lower() == b"content-length"]
        length = int(lengths[0]) if lengths and lengths[0].isdigit() else 0
        if length > limits.body_bytes:
            self._set_error(413, "the body is too large")
            return
        if not self._server.receive_budget.admits(self._head_cost + length):
            self._refuse_for_memory()
            return
        expects = any(name.lower() == b"expect" for name, _ in self._headers)
        answering = self._current is not None or self._waiting or self._writer.is_pending
        if expects and not answering:
            self._writer.write(b"HTTP/1.1 100 Continue\r\n\r\n", b"")

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if self._error is None:
            self._body += body
            self._meter.body += len(body)

    def on_message_complete(self) -> None:
        """Queue the request."""
        if self._error is not None or self._closing or self._parser.should_upgrade():
            return
        self._request_started_at = None
        self._completed = True
        if len(self._body) > self._server.limits().body_bytes:
            self._set_error(413, "the body is too large")
            return
        if self._server.draining:
            # It may need longer than the rest of the grace time.
            self._set_error(503, "the VM stops", STOP_RETRY_AFTER_S)
            return
        hosts = [value for name, value in self._headers if name.lower() == b"host"]
        target, host = _split_target(self._url, hosts[0] if hosts else b"")
        if len(hosts) > 1 or not host:
            self._set_error(400, "exactly one Host header is needed")
            return
        size = self._head_cost + len(self._body)
        if self._current is not None or self._waiting or self._writer.is_pending:
            size += PIPELINED_REQUEST_BYTES
        if not self._server.receive_budget.keep(self, size):
            self._refuse_for_memory()
            return
        self._kept_bytes += size
        body, self._body = bytes(self._body), bytearray()
        request = Request(self._parser.get_method(), target, host, self._headers, body)
        keep_alive = self._parser.should_keep_alive()
        self._waiting.append((Exchange(request, self, self._loop.time(), size), keep_alive))
        self._handle_next()

    # Memory.

    @property
    def _head_cost(self) -> int:
        """Memory of the head of the request being read, in bytes."""
        return self._head_bytes + HEADER_BYTES * max(0, len(self._headers) - FREE_HEADERS)

    def _account(self) -> None:
        """Draw on the budget for all that this connection holds beside complete requests."""
        if self.closed:
            return
        held = self._writer.held_bytes + (len(self._unparsed.obj) if self._unparsed else 0)
        if self._request_started_at is not None and self._error is None:
            # A part of a head that the parser has not passed on yet counts by its bytes.
            partial_bytes = 0 if self._in_body else self._meter.framing - self._head_bytes
            held += self._head_cost + max(0, partial_bytes) + len(self._body)
        for conn in self._server.receive_budget.hold(self, held):
            conn.abort_request()

    def _refuse_for_memory(self) -> None:
        self._set_error(503, "the memory for requests is used up", MEMORY_RETRY_AFTER_S)

    def _release_memory(self) -> None:
        """Release the memory of all requests of this connection, incomplete or in progress."""
        self._server.receive_budget.release_kept(self._kept_bytes)
        self._kept_bytes = 0
        self._waiting.clear()
        self._start_request()
        self._unparsed = memoryview(b"")

    def abort_request(self) -> None:
        """Refuse the request being read, or disconnect a caller that does not read its answer."""
        if self._writer.is_pending or self._closing:
            self._server.refusals.record(
                "the memory for answers is used up",
                b"",
                self._loop.time(),
                failed=True,
                held_bytes=self._server.receive_budget.held_bytes,
                kept_bytes=self._server.receive_budget.kept_bytes,
            )
            self.abort()
            return
        self._refuse_for_memory()
        self._has_dropped_data |= bool(self._unparsed)
        self._unparsed = memoryview(b"")
        self._loop.call_soon(self._respond_error)

    # Requests and responses.

    def _handle_next(self) -> None:
        if self._current is not None or not self._waiting or self.closed:
            return
        if self._writer.is_pending:
            return  # goes on in `_on_written`
        self._current, self._keep_alive = self._waiting.popleft()
        self._schedule_parsing()
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
        self._closing = close or not self._keep_alive or self._server.draining
        head = exchange.request.method == b"HEAD"
        start = encode_response_head(status, headers, len(body), close=self._closing, head=head)
        self._write(start, b"" if head else body)
        self._idle_since = self._loop.time()
        self._server.connections[self] = self._server.connections.pop(self, None)
        if not self._writer.is_pending:
            # Deferred, because a handler that responds immediately would cause recursion.
            if self._waiting and not self._closing:
                self._loop.call_soon(self._handle_next)
            else:
                self._on_written()

    def _on_written(self) -> None:
        """Go on after a complete answer has been passed to the kernel."""
        if self.closed or self._current is not None:
            return
        self._idle_since = self._loop.time()
        if self._closing:
            if self._linger_until is None:
                self._close_after_write()
        elif self._waiting:
            self._handle_next()
        elif self._unparsed:
            self._schedule_parsing()
        else:
            self._respond_error()

    def _set_error(self, status: int, reason: str, retry_after_s: float = 0.0) -> None:
        if self._error is None:
            self._error = (status, reason, retry_after_s)
            self._start_request()  # frees what was received

    def _respond_error(self) -> None:
        """Write the error response for an invalid request, after all earlier responses."""
        if self._error is None or self._current is not None or self._waiting or self.closed:
            return
        if self._closing or self._writer.is_pending:
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
            body_bytes=self._meter.body,
            held_bytes=self._server.receive_budget.held_bytes,
            kept_bytes=self._server.receive_budget.kept_bytes,
            bounds=attrs.asdict(self._server.limits()),
        )
        headers = [(b"Content-Type", b"text/plain")]
        if retry_after_s:
            headers.append((b"Retry-After", b"%g" % retry_after_s))
        body = reason.encode()
        self._closing = True
        self._write(encode_response_head(status, headers, len(body), close=True, head=False), body)
        self._close_after_write(
            linger=self._request_started_at is not None or self._has_dropped_data
        )

    def _write(self, head: bytes, body: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._writer.write(head, body)
            self._account()

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
        if self._transport is None or self._transport.is_closing():
            return
        if linger:
            self._request_started_at = None
            self._linger_until = self._loop.time() + LINGER_S
            self._transport.resume_reading()
            self._transport.write_eof()
        else:
            self._transport.close()
        self._account()

    def _on_disconnect(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._server.connections.pop(self, None)
        self._server.receive_budget.release(self)
        self._release_memory()
        self._writer.clear()
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
    def closing(self) -> bool:
        """Whether the connection is about to be closed."""
        return self._transport is not None and self._transport.is_closing()

    @property
    def has_unread_data(self) -> bool:
        """Whether the kernel holds data of the caller that has not been read."""
        sock = self._transport.get_extra_info("socket") if self._transport else None
        if sock is None or sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN | END_EVENT)
        try:
            events = poll.poll(0)
        except OSError as exc:
            log.debug("http: looking for unread data of a connection failed: %s", exc)
            return False
        return any(event & select.POLLIN and not event & END_EVENT for _, event in events)

    @property
    def serving(self) -> bool:
        """Whether there is a complete request, its answer is being sent, or data is not parsed."""
        return bool(
            self._current is not None or self._waiting or self._writer.is_pending or self._unparsed
        )

    @property
    def busy(self) -> bool:
        """Whether there is a request, complete or not, or unsent response data."""
        return self.serving or self._request_started_at is not None

    def check_timeouts(self, now: float) -> None:
        """Apply the timeouts."""
        limits = self._server.limits()
        if self._transport is None:
            return
        if self._writer.is_pending:
            sock = self._transport.get_extra_info("socket")
            self._writer.note_acked(acked_bytes_of(sock) if sock is not None else None)
        if self._writer.is_overdue(now, limits.idle_timeout_s) or (
            self._linger_until is not None and now > self._linger_until
        ):
            self.abort()
        elif self.serving or self._closing:
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
        self._writer.clear()
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
