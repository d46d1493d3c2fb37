"""Bounds on the bytes that a voter holds for the replicated log and sends at once."""

from __future__ import annotations

import attrs

DEFAULT_LOG_BYTES = 16 * 1024 * 1024
"""Size at which the log is compacted if the limits of the VM are unknown, in bytes."""

MEMORY_SHARE = 1 / 16
"""Part of a VM's memory that the log may take before it is compacted."""

DISK_SHARE = 1 / 8
"""Part of a VM's disk that the log may take; a compaction writes the new log beside the old one."""

LARGE_BYTES = 64 * 1024
"""Size from which a message is large, in bytes: it is not sent again before it counts as lost."""

MIN_BYTES_PER_S = 2_000_000
"""Throughput of the slowest supported link, which extends the timeouts of large messages."""


@attrs.frozen
class LogBounds:
    """Bounds on the log of a voter; each one lets a single larger entry pass.

    Parameters
    ----------
    log_bytes : int
        Applied entries after the snapshot at which the log is compacted.
    uncommitted_bytes : int
        Uncommitted entries of a leader; further proposals are rejected.
    retained_bytes : int
        Entries that the snapshot covers and that stay in memory for members slightly behind.
    message_bytes : int
        Entries in one message, and in flight to one member.
    """

    log_bytes: int = DEFAULT_LOG_BYTES
    uncommitted_bytes: int = DEFAULT_LOG_BYTES // 2
    retained_bytes: int = DEFAULT_LOG_BYTES // 4
    message_bytes: int = DEFAULT_LOG_BYTES // 16

    @classmethod
    def from_limits(cls, memory_bytes: int, disk_bytes: int) -> LogBounds:
        """Derive the bounds from the limits of the VM.

        Parameters
        ----------
        memory_bytes, disk_bytes : int
            Memory and disk of the VM, in bytes; 0 if unknown.
        """
        log_bytes = min(
            int(memory_bytes * MEMORY_SHARE) or DEFAULT_LOG_BYTES,
            int(disk_bytes * DISK_SHARE) or DEFAULT_LOG_BYTES,
        )
        return cls(
            log_bytes=log_bytes,
            uncommitted_bytes=log_bytes // 2,
            retained_bytes=log_bytes // 4,
            message_bytes=max(log_bytes // 16, 2 * LARGE_BYTES),
        )
