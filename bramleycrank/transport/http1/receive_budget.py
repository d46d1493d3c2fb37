"""Limits on received bytes: on the framing of one message, and on all messages together."""

from __future__ import annotations

from typing import Generic, TypeVar

import attrs

CHUNK_FRAMING_FACTOR = 8
"""Most framing bytes for each byte of a body; a chunk of one byte has five of them."""

DEFAULT_LIMIT_BYTES = 32 * 1024 * 1024
"""Memory for incomplete messages of a VM whose memory limit is unknown."""

MEMORY_SHARE = 1 / 8
"""Part of a VM's memory for messages; parsing and forwarding copy them up to twice."""

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
    """Shares the memory for messages among the connections that receive them.

    Load pattern: some peers send endless messages while others send valid ones. The connection that
    uses the most memory is evicted first, so one within an equal share of the limit never is.

    Load pattern: targets hang, so that large requests are in progress for seconds. A complete
    message cannot be evicted; a further one is refused, unless it is small.

    Parameters
    ----------
    limit_bytes : int
        Limit for the bytes of all connections together.

    Attributes
    ----------
    held_bytes : int
        Bytes of incomplete messages.
    kept_bytes : int
        Bytes of complete messages that are in progress.
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.kept_bytes = 0
        self._held: dict[Holder, int] = {}

    @classmethod
    def from_memory(cls, memory_bytes: int) -> ReceiveBudget[Holder]:
        """Return the budget for a memory limit of the VM in bytes; 0 means unknown."""
        return cls(int(memory_bytes * MEMORY_SHARE) or DEFAULT_LIMIT_BYTES)

    def add(self, holder: Holder, count: int) -> list[Holder]:
        """Add received bytes; return the evicted holders, whose bytes are already released."""
        self._held[holder] = self._held.get(holder, 0) + count
        self.held_bytes += count
        evicted = []
        free_bytes = max(self.limit_bytes - self.kept_bytes, RESERVE_SHARE * self.limit_bytes)
        while self.held_bytes > free_bytes:
            largest = max(self._held, key=self._held.__getitem__)
            self.release(largest)
            evicted.append(largest)
        return evicted

    def release(self, holder: Holder, count: int | None = None) -> None:
        """Release some of a holder's bytes, or all by default; an evicted holder has none."""
        held = self._held.pop(holder, 0)
        remaining = 0 if count is None else max(0, held - count)
        self.held_bytes -= held - remaining
        if remaining:
            self._held[holder] = remaining

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
