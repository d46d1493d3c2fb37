"""Server side: listens on one address and applies timeouts to its connections."""

from __future__ import annotations

import asyncio
import itertools
import logging
import time
from collections.abc import Callable
from typing import Any

from bramleycrank.observability.request_log import RequestLog
from bramleycrank.routing import Limits
from bramleycrank.transport.http1.listening_socket import ListeningSocket
from bramleycrank.transport.http1.receive_budget import ReceiveBudget
from bramleycrank.transport.http1.server_connection import Handler, ServerConnection

log = logging.getLogger(__name__)

TIMEOUT_CHECK_S = 0.25
"""Interval between two timeout checks of all connections, in seconds."""

MAX_CLOSING = 16
"""Connections above the limit that may be open while others are being closed for them."""

MAX_SEARCHED = 256
"""Most connections that are searched for one that may be closed."""


class Http1Server:
    """Listens on one address and passes requests to a handler.

    Parameters
    ----------
    handler : Handler
        Handles the requests.
    limits : callable
        Returns the limits in force.
    receive_budget : ReceiveBudget, optional
        Memory for the messages of all connections.
    max_connections : int, optional
        Most open connections; 0 for any number. For another one, those without a complete request
        are closed that have gone longest without an answer.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits] = Limits,
        receive_budget: ReceiveBudget[ServerConnection] | None = None,
        max_connections: int = 0,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.receive_budget = receive_budget or ReceiveBudget()
        self.draining = False
        self.connections: dict[ServerConnection, None] = {}
        self.max_connections = max_connections
        self._accepted = 0  # connections that have no `ServerConnection` yet
        self.refusals = RequestLog(log, time.monotonic)
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int, backlog: int = 1024) -> None:
        """Listen; raises ``OSError`` if the address cannot be used."""
        loop = asyncio.get_running_loop()
        sock = ListeningSocket.bound_to(host, port, self)
        try:
            self._server = await loop.create_server(
                self._create_connection, sock=sock, backlog=backlog
            )
        except BaseException:
            sock.close()
            raise
        self._timer = loop.call_later(TIMEOUT_CHECK_S, self._check_timeouts)

    def _create_connection(self) -> ServerConnection:
        self._accepted -= 1
        return ServerConnection(self)

    def may_accept(self) -> bool:
        """Return whether another connection may be accepted before those being closed are."""
        open_count = len(self.connections) + self._accepted
        return not self.max_connections or open_count < self.max_connections + MAX_CLOSING

    def on_accepted(self) -> bool:
        """Make room for an accepted connection; return whether it may stay open."""
        if self.max_connections and len(self.connections) + self._accepted >= self.max_connections:
            oldest = itertools.islice(self.connections, MAX_SEARCHED)
            idle = next(
                (c for c in oldest if not (c.serving or c.closing or c.has_unread_data)), None
            )
            self.refusals.record(
                "there are too many connections",
                b"",
                time.monotonic(),
                failed=True,
                connections=len(self.connections),
                closed_another=idle is not None,
            )
            if idle is None:
                return False
            idle.abort()
        self._accepted += 1
        return True

    def stop_listening(self) -> None:
        """Stop accepting connections, and close those without a request."""
        self.draining = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()

    @property
    def busy(self) -> bool:
        """Whether any connection has a request or unsent response data."""
        return any(connection.busy for connection in self.connections)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self.stop_listening()
        if self._timer is not None:
            self._timer.cancel()
        for connection in list(self.connections):
            connection.abort()

    def dump(self) -> dict[str, Any]:
        """Return the number of connections and how many are busy."""
        busy = sum(connection.busy for connection in self.connections)
        return {"connections": len(self.connections), "busy": busy, "draining": self.draining}

    def _check_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        self._timer = loop.call_later(TIMEOUT_CHECK_S, self._check_timeouts)
