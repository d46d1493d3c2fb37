"""Reads the round trip of a connection from the kernel."""

from __future__ import annotations

import logging
import socket
import struct

log = logging.getLogger(__name__)

_RTT_FORMAT = struct.Struct("=I")
_RTT_OFFSET = 68  # tcpi_rtt in struct tcp_info, in microseconds
_TCP_INFO_BYTES = _RTT_OFFSET + _RTT_FORMAT.size


def round_trip_of(sock: socket.socket) -> float | None:
    """Return the round trip in seconds, or None if the kernel does not report it."""
    if not hasattr(socket, "TCP_INFO"):
        return None
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError as exc:
        log.debug("http: reading the round trip of a connection failed: %s", exc)
        return None
    if len(info) < _TCP_INFO_BYTES:
        return None
    [micros] = _RTT_FORMAT.unpack_from(info, _RTT_OFFSET)
    return micros / 1e6
