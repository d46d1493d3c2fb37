"""Opens connections to HTTP servers for a pool."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Protocol

from bramleycrank.transport.http1.client import ConnectionListener, TargetConnection
from bramleycrank.transport.http1.receive_budget import ReceiveBudget

log = logging.getLogger(__name__)


class Pool(ConnectionListener, Protocol):
    """Owner of connections, which also learns why one did not open."""

    def on_closed(self, conn: TargetConnection, *, refused: bool = False) -> None:
        """Handle the closed connection; `refused` tells that the host refused it."""


class Connector:
    """Opens connections in the background and reports failures to their pool.

    Parameters
    ----------
    receive_budget : ReceiveBudget
        Memory for unsent requests and incomplete responses, shared with other connections.
    on_attempt : callable, optional
        Called before each attempt.
    """

    def __init__(
        self,
        receive_budget: ReceiveBudget[TargetConnection],
        on_attempt: Callable[[], None] = lambda: None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.receive_budget = receive_budget
        self._on_attempt = on_attempt
        self._tasks: set[asyncio.Task[Any]] = set()
        self._closed = False

    def connect(self, host: str, port: int, pool: Pool) -> TargetConnection:
        """Return a connection that is being opened, or that never opens after `close`."""
        conn = TargetConnection(pool, self.receive_budget)
        if self._closed:
            return conn
        task = self._loop.create_task(self._open(conn, host, port, pool))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return conn

    async def _open(self, conn: TargetConnection, host: str, port: int, pool: Pool) -> None:
        self._on_attempt()
        try:
            await self._loop.create_connection(lambda: conn, host, port)
        except (OSError, ValueError, OverflowError) as exc:  # the latter two: no valid address
            log.debug("http: connecting to %s:%d failed: %s", host, port, exc)
            pool.on_closed(conn, refused=isinstance(exc, ConnectionError))

    def close(self) -> None:
        """Cancel all attempts and begin no others."""
        self._closed = True
        for task in self._tasks:
            task.cancel()
