"""Writes answers at the speed at which the caller reads them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

PIECE_BYTES = 64 * 1024
"""Most bytes that are passed to the transport before the caller has read the earlier ones."""

WRITE_TIMEOUT_S = 10.0
"""Longest time after which a caller that reads nothing of its answer is disconnected, in seconds.

A shorter idle timeout of the routes applies instead.
"""

MIN_READ_BYTES_PER_S = 64 * 1024
"""Mean speed below which a caller that reads its answer slowly is disconnected."""


class AnswerWriter:
    """Holds the unsent part of the answer of one connection.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._rest = memoryview(b"")
        self._paused = False
        self._progress_at = 0.0
        self._deadline = 0.0
        self._acked_bytes: int | None = None

    def start(self, transport: asyncio.Transport) -> None:
        """Write to a transport, which reports whenever it holds unsent data."""
        self._transport = transport
        transport.set_write_buffer_limits(high=0)

    def write(self, head: bytes, body: bytes) -> None:
        """Send an answer; the earlier ones are complete."""
        self._progress_at = self._clock()
        self._acked_bytes = None
        size = len(head) + len(body)
        self._deadline = self._progress_at + WRITE_TIMEOUT_S + size / MIN_READ_BYTES_PER_S
        if size <= PIECE_BYTES:
            self._transport.write(head + body)
            return
        self._rest = memoryview(body)
        self._transport.write(head)
        self._send_rest()

    def pause(self) -> None:
        """Wait until the caller has read what was written."""
        self._paused = True

    def resume(self) -> None:
        """Send the next part."""
        self._paused = False
        self._progress_at = self._clock()
        self._send_rest()

    def note_acked(self, acked_bytes: int | None) -> None:
        """Take what the caller has confirmed so far as progress; None if it is unknown.

        The kernel asks for more only once a third of its buffer is free, which takes a caller at
        100 KiB/s longer than the timeouts.
        """
        before, self._acked_bytes = self._acked_bytes, acked_bytes
        if before is not None and acked_bytes is not None and acked_bytes > before:
            self._progress_at = self._clock()

    def _send_rest(self) -> None:
        while self._rest and not self._paused:
            piece, self._rest = self._rest[:PIECE_BYTES], self._rest[PIECE_BYTES:]
            self._transport.write(piece)

    def clear(self) -> None:
        """Drop the rest of an answer."""
        self._rest = memoryview(b"")

    @property
    def is_pending(self) -> bool:
        """Whether a part of an answer has not been passed to the kernel."""
        return self._paused or bool(self._rest)

    @property
    def held_bytes(self) -> int:
        """Memory of the answer, which is freed as a whole, and of its part in the transport."""
        unsent = self._transport.get_write_buffer_size() if self._transport is not None else 0
        return unsent + (len(self._rest.obj) if self._rest else 0)

    def is_overdue(self, now: float, idle_timeout_s: float) -> bool:
        """Return whether the caller reads nothing for too long, or reads too slowly."""
        if not self.is_pending:
            return False
        limit_s = min(WRITE_TIMEOUT_S, idle_timeout_s)
        return now - self._progress_at > limit_s or now > self._deadline
