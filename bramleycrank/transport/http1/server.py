"""Server side: listens on one address and applies timeouts to its connections."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

from bramleycrank.observability.request_log import RequestLog
from bramleycrank.routing import Limits
from bramleycrank.transport.http1.receive_budget import ReceiveBudget
from bramleycrank.transport.http1.server_connection import Handler, ServerConnection

log = logging.getLogger(__name__)

TIMEOUT_CHECK_S = 0.25
"""Interval between two timeout checks of all connections, in seconds."""


class Http1Server:
    """Listens on one address and passes requests to a handler.

    Parameters
    ----------
    handler : Handler
        Handles the requests.
    limits : callable
        Returns the limits in force.
    receive_budget : ReceiveBudget, optional
        Memory for the requests of all connections.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], Limits] = Limits,
        receive_budget: ReceiveBudget[ServerConnection] | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.receive_budget = receive_budget or ReceiveBudget()
        self.draining = False
        self.connections: set[ServerConnection] = set()
        self.refusals = RequestLog(log, time.monotonic)
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int, backlog: int = 1024) -> None:
        """Listen; raises ``OSError`` if the address cannot be used."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=backlog
        )
        self._timer = loop.call_later(TIMEOUT_CHECK_S, self._check_timeouts)

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
