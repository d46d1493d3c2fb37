"""How much memory a decoded document of an operator or a target may take."""

from __future__ import annotations

DECODING_SHARE = 1 / 4
"""Part of a VM's memory for one decoded document; documents are decoded one after the other."""

DEFAULT_ROOM_BYTES = 256 * 1024 * 1024
"""Memory for one decoded document on a VM whose memory limit is unknown, in bytes."""


def document_room(memory_bytes: int) -> int:
    """Return the memory for one decoded document, in bytes.

    Parameters
    ----------
    memory_bytes : int
        Memory limit of the process, in bytes; 0 if unknown.
    """
    return int(memory_bytes * DECODING_SHARE) or DEFAULT_ROOM_BYTES
