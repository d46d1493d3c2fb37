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
from bramleycrank.transport.http1.intake import IntakeBudget, MessageMeter
from bramleycrank.transport.http1.messages import Headers, Response, fields_of

log = logging.getLogger(__name__)

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Largest body that is taken from a target."""

MAX_FRAMING_BYTES = 64 * 1024
"""Largest head, trailers and interim responses of one response; heads of servers stay below it."""

MAX_HEADERS = 256
"""Headers of one response; a short one takes many times its bytes in memory."""

IDLE_SHARE = 0.8
"""Part of the target's stated idle time after which a connection is not used again."""

RECEIVE_BYTES = 64 * 1024
"""Most bytes taken from a connection at once; an answer of a shard has a few hundred."""

_received = bytearray(RECEIVE_BYTES)
"""Where all connections receive: what arrives is parsed before the next one is read."""

_TIMEOUT = re.compile(rb"timeout=(\d+)")

_refusals = RequestLog(log, time.monotonic)


class ConnectionListener(Protocol):
    """Hears what happens on a connection."""

    def on_connected(self, conn: TargetConnection) -> None:
        """Take note that requests can be sent."""

    def on_response(self, conn: TargetConnection, response: Response) -> None:
        """Take the whole response to the request in progress."""

    def on_broken(self, conn: TargetConnection, *, garbled: bool) -> None:
        """Take note that the request in progress gets no whole response.

        Parameters
        ----------
        conn : TargetConnection
            The connection; it is closed.
        garbled : bool
            Whether the target sent bytes that are no response.
        """

    def on_closed(self, conn: TargetConnection) -> None:
        """Take note that the connection is closed; comes once, after `on_broken` if that comes."""


class TargetConnection(asyncio.BufferedProtocol):
    """A connection to a target.

    Bytes that arrive while no request is in progress belong to no request: the connection is closed
    and they are dropped.

    Parameters
    ----------
    listener : ConnectionListener
        Hears of responses and of the end.
    intake : IntakeBudget
        Memory for unfinished responses, shared with other connections.
    """

    def __init__(
        self, listener: ConnectionListener, intake: IntakeBudget[TargetConnection]
    ) -> None:
        self.requests = 0
        self.closed = False
        self.idle_until: float | None = None
        self._listener = listener
        self._intake = intake
        self._meter = MessageMeter(MAX_FRAMING_BYTES)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._head = False
        self._reset()

    def _reset(self) -> None:
        self._headers: Headers = []
        self._fields: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._meter.restart()
        self._head_done = False
        self._until_eof = False
        self._done = False
        self._garbled = False
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
        self._head = head
        self._parser = httptools.HttpResponseParser(self)
        self.requests += 1
        self._transport.write(data)

    def close(self) -> None:
        """Close at once; the listener hears only `on_closed`."""
        self._end_request()
        if self._transport is not None and not self.closed:
            self._transport.abort()

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._listener.on_connected(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return where to put bytes of the target."""
        return _received

    def buffer_updated(self, nbytes: int) -> None:
        """Parse bytes of the target."""
        if self._parser is None:
            self._transport.abort()
            return
        self._meter.received += nbytes
        try:
            self._parser.feed_data(memoryview(_received)[:nbytes])
        except httptools.HttpParserUpgrade:
            self._garbled = True
        except httptools.HttpParserError:
            # Bytes behind a whole response end the connection, but the response stands.
            self._garbled = True
        if len(self._headers) > MAX_HEADERS:
            self._refuse("a response has too many headers", MAX_HEADERS)
        elif self._done:
            self._finish()
        elif self._garbled:
            self._break(garbled=True)
        elif self._meter.exceeded:
            self._refuse("the head of a response is too large", MAX_FRAMING_BYTES)
        elif self._meter.body > MAX_RESPONSE_BYTES:
            self._refuse("the body of a response is too large", MAX_RESPONSE_BYTES)
        else:
            for conn in self._intake.take(self, nbytes):
                conn.give_up()

    def eof_received(self) -> bool:
        """End a response without a length."""
        if self._parser is not None and self._until_eof and self._head_done:
            self._garbled = True  # the connection cannot be used again
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end."""
        if self.closed:
            return
        self.closed = True
        if self._parser is not None:
            self._end_request()
            self._listener.on_broken(self, garbled=False)
        self._listener.on_closed(self)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Note a second response behind the first, which belongs to no request."""
        if self._done:
            self._garbled = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        if not self._done and len(self._headers) <= MAX_HEADERS:
            self._headers.append((name, value or b""))

    def on_headers_complete(self) -> None:
        """Find out where the body ends."""
        if self._done:
            return
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._head_done = True
        fields = self._fields = fields_of(self._headers)
        if self._head:
            self._done = self._garbled = True
            return
        sized = b"content-length" in fields or b"transfer-encoding" in fields
        bodiless = status in (204, 304)
        self._until_eof = not (sized or bodiless)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if not self._done:
            self._body += body
            self._meter.body += len(body)

    def on_message_complete(self) -> None:
        """End the response; an interim one is passed over."""
        if self._done:
            return
        if self._head_done:
            self._done = True
            self._keep_alive = self._parser.should_keep_alive()
        else:
            self._headers = []

    # The end of a response.

    def _finish(self) -> None:
        parser = self._end_request()
        body, self._body = bytes(self._body), bytearray()
        response = Response(parser.get_status_code(), self._headers, body, self._fields)
        # A request of which a part is still unsent would be followed by the next one's bytes.
        unsent = self._transport.get_write_buffer_size() > 0
        if self._garbled or unsent or not self._keep_alive:
            self._transport.abort()
            self.idle_until = self._loop.time()
        else:
            self.idle_until = self._idle_limit()
        self._listener.on_response(self, response)

    def _idle_limit(self) -> float | None:
        stated = self._fields.get(b"keep-alive")
        match = _TIMEOUT.search(stated) if stated else None
        return self._loop.time() + IDLE_SHARE * int(match[1]) if match else None

    def give_up(self) -> None:
        """End the request in progress, because the memory for responses is used up."""
        self._refuse("the memory for responses is used up", self._intake.limit_bytes)

    def _refuse(self, reason: str, bound: int) -> None:
        _refusals.record(
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
        self._break(garbled=True)

    def _end_request(self) -> httptools.HttpResponseParser | None:
        """Forget the request in progress; return its parser."""
        parser, self._parser = self._parser, None
        self._intake.release(self)
        return parser

    def _break(self, *, garbled: bool) -> None:
        self._end_request()
        self._transport.abort()
        self._body = bytearray()
        self._listener.on_broken(self, garbled=garbled)
