"""Merging of the records that shards reply with."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from itertools import chain

RECORD_BYTES = 16
"""Size of a record; fewer trailing bytes of a part are ignored."""


def merge_records(parts: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of all parts, greatest first.

    Parameters
    ----------
    parts : iterable of bytes
        Records of each shard, in any order.
    count : int
        Maximum number of records to return; duplicates count separately.
    """
    records = chain.from_iterable(
        (
            part[start : start + RECORD_BYTES]
            for start in range(0, _whole_records_bytes(part), RECORD_BYTES)
        )
        for part in parts
    )
    return b"".join(heapq.nlargest(count, records))


def trim_records(part: bytes, count: int) -> bytes:
    """Return the records of a part that can be among the `count` greatest of all parts."""
    return part if len(part) <= count * RECORD_BYTES else merge_records([part], count)


def _whole_records_bytes(part: bytes) -> int:
    return len(part) - len(part) % RECORD_BYTES
