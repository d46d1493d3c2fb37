"""Client side: one connection to a target, with one request at a time."""

from __future__ import annotations

import asyncio
import logging
import re
import socket
import time
from typing import Protocol

import httptools

from bramleycrank.observability.request_log import RequestLog
from bramleycrank.transport.http1.messages import (
    VERSIONS,
    Headers,
    Response,
    has_known_encoding,
    values_by_name,
)
from bramleycrank.transport.http1.receive_budget import MessageMeter, ReceiveBudget

log = logging.getLogger(__name__)

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Largest body of a response."""

MAX_FRAMING_BYTES = 64 * 1024
"""Most bytes of head, trailers and interim responses; servers do not send larger heads."""

MAX_HEADERS = 256
"""Most headers of one response; a short header takes many times its size in memory."""

MIN_FINAL_STATUS, MAX_FINAL_STATUS = 200, 599
"""Statuses that end a response."""

STATUS_SWITCHING_PROTOCOLS = 101
"""Interim status that no request of a VM asks for."""

IDLE_TIMEOUT_SHARE = 0.8
"""Part of the target's keep-alive timeout after which a connection is not reused."""

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Most bytes read from a connection at once; the reply of a shard has a few hundred."""

_receive_buffer = bytearray(RECEIVE_BUFFER_BYTES)
"""Buffer of all connections; received data is parsed before the next read."""

_CONTROL_PATTERN = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")

_TIMEOUT_PATTERN = re.compile(rb"timeout=(\d{1,9})")

_rejection_log = RequestLog(log, time.monotonic)


class ConnectionListener(Protocol):
    """Receives the events of a connection."""

    def on_connected(self, conn: TargetConnection) -> None:
        """Handle the opened connection; requests can be sent from now on."""

    def on_response(self, conn: TargetConnection, response: Response) -> None:
        """Handle the complete response to the request in progress."""

    def on_request_failed(self, conn: TargetConnection, *, garbled: bool) -> None:
        """Handle a failure of the request in progress, which gets no complete response.

        Parameters
        ----------
        conn : TargetConnection
            The connection; it is closed.
        garbled : bool
            Whether the target sent an invalid response.
        """

    def on_closed(self, conn: TargetConnection) -> None:
        """Handle the closed connection; called once, after any call of `on_request_failed`."""


class TargetConnection(asyncio.BufferedProtocol):
    """A connection to a target.

    Data that arrives while no request is in progress is discarded, and the connection is closed.

    Parameters
    ----------
    listener : ConnectionListener
        Receives the events of the connection.
    receive_budget : ReceiveBudget
        Memory for unsent requests and incomplete responses, shared with other connections.
    """

    def __init__(
        self, listener: ConnectionListener, receive_budget: ReceiveBudget[TargetConnection]
    ) -> None:
        self.requests = 0
        self.closed = False
        self.idle_until: float | None = None
        self._listener = listener
        self._receive_budget = receive_budget
        self._meter = MessageMeter(MAX_FRAMING_BYTES)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._is_head_request = False
        self._unsent_bytes = 0  # of the request in progress, as far as the budget counts them
        self._reset()

    def _reset(self) -> None:
        self._headers: Headers = []
        self._fields: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._meter.restart()
        self._head_complete = False
        self._body_until_eof = False
        self._response_complete = False
        self._garbled = False
        self._broken = False  # no answer, whatever follows
        self._keep_alive = False

    @property
    def busy(self) -> bool:
        """Whether a request is in progress."""
        return self._parser is not None

    @property
    def connected(self) -> bool:
        """Whether the connection is open."""
        return self._transport is not None and not self.closed

    def send(self, data: bytes, *, head: bool = False) -> None:
        """Send a request; the connection must be connected and not busy."""
        self._reset()
        self._is_head_request = head
        self._parser = httptools.HttpResponseParser(self)
        self.requests += 1
        self._transport.write(data)
        self._unsent_bytes = self._transport.get_write_buffer_size()
        if self._unsent_bytes:
            self._hold_memory(self._unsent_bytes)

    def close(self) -> None:
        """Close at once; only `on_closed` of the listener is called."""
        self._clear_request()
        if self._transport is not None and not self.closed:
            self._transport.abort()

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the opened connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # reports when a request has left
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._listener.on_connected(self)

    def resume_writing(self) -> None:
        """Release the memory of a request that has left."""
        if self._unsent_bytes:
            self._receive_budget.release(self, self._unsent_bytes)
            self._unsent_bytes = 0

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer that received data is written to."""
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received data."""
        if self._parser is None:
            self._transport.abort()
            return
        self._meter.received += nbytes
        try:
            self._parser.feed_data(memoryview(_receive_buffer)[:nbytes])
        except httptools.HttpParserUpgrade:
            self._garbled = True
        except httptools.HttpParserError:
            # Data after a complete response closes the connection, but the response is valid.
            self._garbled = True
        if len(self._headers) > MAX_HEADERS:
            self._reject_response("a response has too many headers", MAX_HEADERS)
        elif self._response_complete:
            self._complete_response()
        elif self._garbled or self._broken:
            self._fail_request(garbled=True)
        elif self._meter.exceeded:
            self._reject_response("the head of a response is too large", MAX_FRAMING_BYTES)
        elif self._meter.body > MAX_RESPONSE_BYTES:
            self._reject_response("the body of a response is too large", MAX_RESPONSE_BYTES)
        else:
            self._hold_memory(nbytes)

    def _hold_memory(self, count: int) -> None:
        for conn in self._receive_budget.add(self, count):
            conn.abort_request()

    def eof_received(self) -> bool:
        """Complete a response whose body ends with the connection."""
        if self._parser is not None and self._body_until_eof and self._head_complete:
            self._garbled = True  # the connection cannot be reused
            self._complete_response()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the closed connection to the listener."""
        if self.closed:
            return
        self.closed = True
        if self._parser is not None:
            self._clear_request()
            self._listener.on_request_failed(self, garbled=False)
        self._listener.on_closed(self)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Detect a second response after the first one; it belongs to no request."""
        if self._response_complete:
            self._garbled = True

    def on_status(self, reason: bytes) -> None:
        """Check the reason, which may be empty."""
        self._broken |= not self._response_complete and bool(_CONTROL_PATTERN.search(reason))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if not self._response_complete and len(self._headers) <= MAX_HEADERS:
            self._headers.append((name, value or b""))

    def on_headers_complete(self) -> None:
        """Check the start of a response, and determine how the end of its body is marked."""
        if self._response_complete or self._broken:
            return
        status = self._parser.get_status_code()
        is_interim = 100 <= status < MIN_FINAL_STATUS and status != STATUS_SWITCHING_PROTOCOLS
        is_final = MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS
        if not (is_interim or is_final) or self._parser.get_http_version() not in VERSIONS:
            self._broken = True
            return
        if is_interim:
            return
        if not has_known_encoding(self._headers):
            self._broken = True
            return
        self._head_complete = True
        fields = self._fields = values_by_name(self._headers)
        if self._is_head_request:
            self._response_complete = self._garbled = True
            return
        sized = b"content-length" in fields or b"transfer-encoding" in fields
        bodiless = status in (204, 304)
        self._body_until_eof = not (sized or bodiless)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if not (self._response_complete or self._broken):
            self._body += body
            self._meter.body += len(body)

    def on_message_complete(self) -> None:
        """Complete the response; an interim one is ignored."""
        if self._response_complete or self._broken:
            return
        if self._head_complete:
            self._response_complete = True
            self._keep_alive = self._parser.should_keep_alive()
        else:
            self._headers = []

    # End of a response.

    def _complete_response(self) -> None:
        parser = self._clear_request()
        body, self._body = bytes(self._body), bytearray()
        response = Response(parser.get_status_code(), self._headers, body, self._fields)
        # If a part of the request is unsent, the next request would follow it on the connection.
        unsent = self._transport.get_write_buffer_size() > 0
        if self._garbled or unsent or not self._keep_alive:
            self._transport.abort()
            self.idle_until = self._loop.time()
        else:
            self.idle_until = self._idle_limit()
        self._listener.on_response(self, response)

    def _idle_limit(self) -> float | None:
        keep_alive = self._fields.get(b"keep-alive")
        match = _TIMEOUT_PATTERN.search(keep_alive) if keep_alive else None
        return self._loop.time() + IDLE_TIMEOUT_SHARE * int(match[1]) if match else None

    def abort_request(self) -> None:
        """Fail the request in progress soon, because the memory for messages is used up.

        Deferred, because the listener of another connection may be running.
        """
        self._loop.call_soon(self._abort_request, self.requests)

    def _abort_request(self, request: int) -> None:
        if self._parser is not None and self.requests == request:
            self._reject_response(
                "the memory for messages is used up", self._receive_budget.limit_bytes
            )

    def _reject_response(self, reason: str, bound: int) -> None:
        _rejection_log.record(
            reason,
            b"",
            time.monotonic(),
            failed=True,
            target=self._transport.get_extra_info("peername"),
            received_bytes=self._meter.received,
            body_bytes=self._meter.body,
            headers=len(self._headers),
            bound=bound,
        )
        self._fail_request(garbled=True)

    def _clear_request(self) -> httptools.HttpResponseParser | None:
        """Clear the request in progress and return its parser."""
        parser, self._parser = self._parser, None
        self._receive_budget.release(self)
        self._unsent_bytes = 0
        return parser

    def _fail_request(self, *, garbled: bool) -> None:
        self._clear_request()
        self._transport.abort()
        self._body = bytearray()
        self._listener.on_request_failed(self, garbled=garbled)
