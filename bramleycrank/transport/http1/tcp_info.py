"""Reads figures of a connection from the kernel."""

from __future__ import annotations

import logging
import socket
import struct

log = logging.getLogger(__name__)

_RTT = struct.Struct("=I"), 68  # tcpi_rtt in struct tcp_info, in microseconds
_BYTES_ACKED = struct.Struct("=Q"), 120  # tcpi_bytes_acked


def round_trip_of(sock: socket.socket) -> float | None:
    """Return the round trip in seconds, or None if the kernel does not report it."""
    micros = _read(sock, *_RTT)
    return None if micros is None else micros / 1e6


def acked_bytes_of(sock: socket.socket) -> int | None:
    """Return the bytes whose receipt the peer confirmed, or None if the kernel does not report it.

    Once its buffer is full, a peer confirms bytes only as fast as they are read there.
    """
    return _read(sock, *_BYTES_ACKED)


def _read(sock: socket.socket, field: struct.Struct, offset: int) -> int | None:
    if not hasattr(socket, "TCP_INFO"):
        return None
    end = offset + field.size
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, end)
    except OSError as exc:
        log.debug("http: reading the figures of a connection failed: %s", exc)
        return None
    if len(info) < end:
        return None
    [value] = field.unpack_from(info, offset)
    return value
