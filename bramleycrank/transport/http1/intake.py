"""Bounds for bytes of peers: for the framing of one message, and for all messages together."""

from __future__ import annotations

from typing import Generic, TypeVar

import attrs

CHUNK_FRAMING = 8
"""Bytes of framing for each byte of a body; a chunk of one byte has five, and some room."""

DEFAULT_INTAKE_BYTES = 32 * 1024 * 1024
"""Bytes of unfinished messages that a VM holds if its memory limit is unknown."""

MEMORY_SHARE = 1 / 8
"""Part of a VM's memory for unfinished messages; joining and passing on copy them up to twice."""


@attrs.define
class MessageMeter:
    """Counts the bytes of one message as they come, before they are parsed.

    Whatever is not body counts as framing: the start line, headers, trailers, interim responses,
    sizes and extensions of chunks. A peer can send each of them without end.

    Parameters
    ----------
    framing_bytes : int
        Bound for the framing of a message without a body.
    """

    framing_bytes: int
    received: int = 0
    body: int = 0

    def restart(self) -> None:
        """Count a new message."""
        self.received = self.body = 0

    @property
    def framing(self) -> int:
        """Bytes of the message that are no body."""
        return self.received - self.body

    @property
    def exceeded(self) -> bool:
        """Whether the framing is larger than the body explains."""
        return self.framing > self.framing_bytes + CHUNK_FRAMING * self.body


Holder = TypeVar("Holder")


class IntakeBudget(Generic[Holder]):
    """Shares the memory for unfinished messages among the connections that receive them.

    Load pattern: some peers send without end while others send sound messages. The connection that
    holds most is given up first, so one within an equal share of the bound is never refused.

    Parameters
    ----------
    limit_bytes : int
        Bound for what all connections hold together.
    """

    def __init__(self, limit_bytes: int = DEFAULT_INTAKE_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._held: dict[Holder, int] = {}

    @classmethod
    def from_memory(cls, memory_bytes: int) -> IntakeBudget[Holder]:
        """Return the budget of a VM with a memory limit; 0 if the limit is unknown."""
        return cls(int(memory_bytes * MEMORY_SHARE) or DEFAULT_INTAKE_BYTES)

    def take(self, holder: Holder, count: int) -> list[Holder]:
        """Add received bytes; return the holders that have to be given up, each one released."""
        self._held[holder] = self._held.get(holder, 0) + count
        self.held_bytes += count
        given_up = []
        while self.held_bytes > self.limit_bytes:
            largest = max(self._held, key=self._held.__getitem__)
            self.release(largest)
            given_up.append(largest)
        return given_up

    def release(self, holder: Holder, count: int | None = None) -> None:
        """Take back some of a holder's bytes, or all; one that was given up holds none."""
        held = self._held.pop(holder, 0)
        left = 0 if count is None else max(0, held - count)
        self.held_bytes -= held - left
        if left:
            self._held[holder] = left
