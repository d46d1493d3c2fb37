"""Compression of route tables, since each version is sent to every VM."""

from __future__ import annotations

import zlib

from bramleycrank.proto.log_pb2 import RouteTable

MAX_UNPACKED_BYTES = 64 * 1024 * 1024
"""Maximum size of an uncompressed table; operators may send 8 MiB, which decoding about doubles."""


def pack(table: RouteTable) -> RouteTable:
    """Return a table that consists of the version and the compressed content."""
    content = table.SerializeToString(deterministic=True)
    return RouteTable(version=table.version, packed=zlib.compress(content))


def unpack(table: RouteTable) -> RouteTable:
    """Return the uncompressed table; a table that is not packed is returned unchanged.

    Raises
    ------
    ValueError
        If the content is damaged or too large.
    """
    if not table.packed:
        return table
    decoder = zlib.decompressobj()
    try:
        content = decoder.decompress(table.packed, MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise ValueError(f"route table {table.version}: {exc}") from exc
    if not decoder.eof:
        raise ValueError(f"route table {table.version} is truncated or too large")
    return RouteTable.FromString(content)


def same_content(first: RouteTable, second: RouteTable) -> bool:
    """Return whether two tables have the same content, however they are compressed.

    Versions of zlib differ in their output, so equal tables may be packed differently.
    """
    if first.packed == second.packed and first.document == second.document:
        return True
    return unpack(first).document == unpack(second).document
