"""Limits on the bytes of messages: on the framing of one, and on all that a VM holds."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

CHUNK_FRAMING_FACTOR = 8
"""Most framing bytes for each byte of a body; a chunk of one byte has five of them."""

DEFAULT_LIMIT_BYTES = 32 * 1024 * 1024
"""Memory for incomplete messages of a VM whose memory limit is unknown."""

MEMORY_SHARE = 1 / 8
"""Part of a VM's memory for messages; a message is copied while it is passed on."""

RESERVE_SHARE = 1 / 8
"""Part of the memory that is added for small messages once large ones in progress use all of it."""

SMALL_SHARE = 1 / 1024
"""Largest size of a small message, as a part of the memory."""


@attrs.define
class MessageMeter:
    """Counts the bytes of one message as they arrive, before they are parsed.

    Everything except the body counts as framing: the start line, headers, trailers, interim
    responses, chunk sizes and chunk extensions. A peer can make each of them endless.

    Parameters
    ----------
    framing_bytes : int
        Limit for the framing of a message without a body.
    """

    framing_bytes: int
    received: int = 0
    body: int = 0

    def restart(self) -> None:
        """Reset the counts for a new message."""
        self.received = self.body = 0

    @property
    def framing(self) -> int:
        """Bytes of the message outside its body."""
        return self.received - self.body

    @property
    def exceeded(self) -> bool:
        """Whether the framing exceeds its limit, which grows with the body."""
        return self.framing > self.framing_bytes + CHUNK_FRAMING_FACTOR * self.body


Holder = TypeVar("Holder")


class ReceiveBudget(Generic[Holder]):
    """Shares the memory for messages among all connections of a VM.

    Requests count from their first byte until they are answered, responses of targets while they
    arrive, and answers until their last byte has left.

    Load pattern: some peers send endless messages, stop before the end or do not read, while others
    send valid ones. Of the connections above an equal share of the limit, the one that has held
    most bytes for longest is evicted first. One within an equal share never is.

    Load pattern: targets hang, so that large requests are in progress for seconds. A complete
    message cannot be evicted; a further one is refused, unless it is small.

    Parameters
    ----------
    limit_bytes : int
        Limit for the bytes of all connections together.
    clock : callable, optional
        Monotonic time in seconds.

    Attributes
    ----------
    held_bytes : int
        Bytes of incomplete messages and of answers that are being sent.
    kept_bytes : int
        Bytes of complete messages that are in progress.
    """

    def __init__(
        self,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.kept_bytes = 0
        self._clock = clock
        self._held: dict[Holder, int] = {}
        self._held_since: dict[Holder, float] = {}

    @classmethod
    def from_memory(cls, memory_bytes: int) -> ReceiveBudget[Holder]:
        """Return the budget for a memory limit of the VM in bytes; 0 means unknown."""
        return cls(int(memory_bytes * MEMORY_SHARE) or DEFAULT_LIMIT_BYTES)

    @property
    def used_bytes(self) -> int:
        """Bytes of all messages."""
        return self.held_bytes + self.kept_bytes

    def dump(self) -> dict[str, int]:
        """Return the use of the budget in bytes."""
        return {"limit": self.limit_bytes, "held": self.held_bytes, "kept": self.kept_bytes}

    def add(self, holder: Holder, count: int) -> list[Holder]:
        """Add to a holder's bytes; return the evicted holders, whose bytes are released."""
        return self.hold(holder, self._held.get(holder, 0) + count)

    def hold(self, holder: Holder, count: int) -> list[Holder]:
        """Set a holder's bytes; return the evicted holders, whose bytes are already released."""
        previous = self._held.get(holder, 0)
        if count == previous:
            return []
        if not count:
            self.release(holder)
            return []
        self._held[holder] = count
        self.held_bytes += count - previous
        if not previous:
            self._held_since[holder] = self._clock()
        if count < previous:
            return []
        evicted = []
        free_bytes = max(self.limit_bytes - self.kept_bytes, RESERVE_SHARE * self.limit_bytes)
        while self.held_bytes > free_bytes:
            victim = self._choose_victim(free_bytes / len(self._held))
            self.release(victim)
            evicted.append(victim)
        return evicted

    def _choose_victim(self, share_bytes: float) -> Holder:
        """Return the holder above an equal share that occupied most bytes for most seconds."""
        now = self._clock()
        # The size decides among holders that began at the same time.
        return max(
            (holder for holder, count in self._held.items() if count > share_bytes),
            key=lambda holder: (
                self._held[holder] * (now - self._held_since[holder]),
                self._held[holder],
            ),
        )

    def release(self, holder: Holder, count: int | None = None) -> None:
        """Release some of a holder's bytes, or all by default; an evicted holder has none."""
        held = self._held.pop(holder, 0)
        remaining = 0 if count is None else max(0, held - count)
        self.held_bytes -= held - remaining
        if remaining:
            self._held[holder] = remaining
        else:
            self._held_since.pop(holder, None)

    def admits(self, count: int) -> bool:
        """Return whether a message of this many bytes may be in progress beside the others."""
        limit = self.limit_bytes
        if count <= SMALL_SHARE * limit:
            limit *= 1 + RESERVE_SHARE
        return self.kept_bytes + count <= limit

    def keep(self, holder: Holder, count: int) -> bool:
        """Move a complete message out of reach of evictions; return whether it was admitted."""
        self.release(holder, count)
        admitted = self.admits(count)
        if admitted:
            self.kept_bytes += count
        return admitted

    def release_kept(self, count: int) -> None:
        """Release the bytes of messages that are no longer in progress."""
        self.kept_bytes -= count
