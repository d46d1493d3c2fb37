"""Route tables as they travel: compressed, since every VM gets each version of them."""

from __future__ import annotations

import zlib

from bramleycrank.proto.log_pb2 import RouteTable

MAX_UNPACKED_BYTES = 64 * 1024 * 1024
"""Largest table that is unpacked; operators may send 8 MiB, which decoding about doubles."""


def pack(table: RouteTable) -> RouteTable:
    """Return a table that has only its version and its compressed content."""
    content = table.SerializeToString(deterministic=True)
    return RouteTable(version=table.version, packed=zlib.compress(content))


def unpack(table: RouteTable) -> RouteTable:
    """Return the whole table; one that is not packed is returned as it is.

    Raises
    ------
    ValueError
        The content is damaged or too large.
    """
    if not table.packed:
        return table
    decoder = zlib.decompressobj()
    try:
        content = decoder.decompress(table.packed, MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise ValueError(f"route table {table.version}: {exc}") from exc
    if not decoder.eof:
        raise ValueError(f"route table {table.version} is cut off or too large")
    return RouteTable.FromString(content)


def same_content(one: RouteTable, other: RouteTable) -> bool:
    """Return whether two tables are the same; other versions of zlib compress differently."""
    if one.packed == other.packed and one.document == other.document:
        return True
    return unpack(one).document == unpack(other).document
