"""Differences between the contents of route tables, so that a small change needs few bytes."""

from __future__ import annotations

import hashlib

from backports import zstd

from bramleycrank.routing.packing import MAX_UNPACKED_BYTES

DIGEST_BYTES = 16
"""Size of the digest of a table's content, in bytes."""

_LEVEL = 3

_MIN_PREFIX_BYTES = 8  # shorter ones are refused by the library


class DifferenceError(ValueError):
    """A difference does not lead to the table that it is for; the whole table is needed."""


def content_digest(content: bytes) -> bytes:
    """Return the digest by which VMs compare the contents of tables."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


def make_patch(base: bytes, content: bytes) -> bytes:
    """Return a zstd frame of a content whose prefix is the base, as `zstd --patch-from` makes it.

    Parameters
    ----------
    base : bytes
        Content that the receiver has.
    content : bytes
        Content that it needs.
    """
    parameter = zstd.CompressionParameter
    low, high = parameter.window_log.bounds()
    options = {
        parameter.compression_level: _LEVEL,
        # Without these, only matches near the end of a large base are found.
        parameter.enable_long_distance_matching: 1,
        parameter.window_log: min(high, max(low, (len(base) + len(content)).bit_length())),
    }
    return zstd.compress(content, options=options, zstd_dict=_prefix(base))


def apply_patch(base: bytes, patch: bytes, digest: bytes) -> bytes:
    """Return the content that a patch makes from a base.

    Parameters
    ----------
    base : bytes
        Content from which the patch was made.
    patch : bytes
        Result of `make_patch`.
    digest : bytes
        Digest of the content.

    Raises
    ------
    DifferenceError
        If the patch is damaged, was made from another base, or its content is too large.
    """
    decoder = zstd.ZstdDecompressor(zstd_dict=_prefix(base))
    try:
        content = decoder.decompress(patch, MAX_UNPACKED_BYTES)
    except zstd.ZstdError as exc:
        raise DifferenceError(f"the difference is damaged: {exc}") from exc
    if not decoder.eof:
        raise DifferenceError("the difference is truncated or its content is too large")
    if content_digest(content) != digest:
        raise DifferenceError("the content has another digest")
    return content


def _prefix(base: bytes) -> tuple[zstd.ZstdDict, int]:
    return zstd.ZstdDict(base.ljust(_MIN_PREFIX_BYTES, b"\0"), is_raw=True).as_prefix
