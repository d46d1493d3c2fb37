"""Merge of the records that shards answer."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from itertools import chain

RECORD_BYTES = 16
"""Size of a record; a shorter rest at the end of a part is no record."""


def merge_records(parts: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of all parts, greatest first.

    Parameters
    ----------
    parts : iterable of bytes
        Records of each shard, in any order.
    count : int
        Most records to return; equal ones all count.
    """
    records = chain.from_iterable(
        (part[start : start + RECORD_BYTES] for start in range(0, _whole(part), RECORD_BYTES))
        for part in parts
    )
    return b"".join(heapq.nlargest(count, records))


def trim_records(part: bytes, count: int) -> bytes:
    """Return what of a part can be among the `count` greatest records of all parts."""
    return part if len(part) <= count * RECORD_BYTES else merge_records([part], count)


def _whole(part: bytes) -> int:
    return len(part) - len(part) % RECORD_BYTES
