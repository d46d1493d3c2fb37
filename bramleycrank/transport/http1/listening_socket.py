"""A listening socket that asks before it accepts a connection."""

from __future__ import annotations

import socket
from typing import Any, Protocol


class Admission(Protocol):
    """Decides which connections are accepted."""

    def may_accept(self) -> bool:
        """Return whether a connection may be accepted now; otherwise it stays in the queue."""

    def on_accepted(self) -> bool:
        """Return whether the connection that was just accepted may stay open."""


class ListeningSocket(socket.socket):
    """A listening socket for an event loop, which accepts many connections in a row.

    A limit on the connections that only their handlers check would be exceeded by a whole row.
    """

    admission: Admission

    @classmethod
    def bound_to(cls, host: str, port: int, admission: Admission) -> ListeningSocket:
        """Return a socket that is bound to an address; raises ``OSError`` if that fails."""
        sock = cls(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if sock.family == socket.AF_INET6:
                sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
            sock.setblocking(False)
            sock.bind((host, port))
        except BaseException:
            sock.close()
            raise
        sock.admission = admission
        return sock

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection, or refuse it by closing it.

        Raises
        ------
        BlockingIOError
            There is no connection, or none may be accepted now.
        ConnectionAbortedError
            The connection was refused.
        """
        if not self.admission.may_accept():
            raise BlockingIOError
        conn, address = super().accept()
        if not self.admission.on_accepted():
            conn.close()
            raise ConnectionAbortedError
        return conn, address
