"""Durable file operations and the frame format of all files in the data folder.

A frame is the payload length and an xxh32 checksum, both little-endian 32-bit integers, followed
by the payload. The checksum also covers the length, so a damaged length is detected. Its seed is
specific to the data folder, so bytes that a caller stored inside a payload do not pass for a frame.
"""

from __future__ import annotations

import contextlib
import os
import struct
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import BinaryIO

import xxhash

_HEADER = struct.Struct("<II")
_LENGTH = struct.Struct("<I")


def encode_frame(payload: bytes, seed: int = 0) -> bytes:
    """Return a frame that contains the payload."""
    return _HEADER.pack(len(payload), _checksum(payload, seed)) + payload


def decode_frames(file: BinaryIO, seed: int = 0) -> Iterator[tuple[int, bytes]]:
    """Yield the end offset and payload of each intact frame, up to the first damaged one.

    The file is read frame by frame, as it may be large beside the memory of the VM.
    """
    size = os.fstat(file.fileno()).st_size
    end = 0
    while len(header := file.read(_HEADER.size)) == _HEADER.size:
        length, checksum = _HEADER.unpack(header)
        end += _HEADER.size + length
        if end > size or _checksum(payload := file.read(length), seed) != checksum:
            return
        yield end, payload


def has_frame_after(data: bytes, offset: int, seed: int = 0) -> bool:
    """Return whether an intact frame starts anywhere after ``offset``.

    A crash during an append can damage only the last frame, so an intact frame after a damaged
    one means that already synced data is corrupt.
    """
    starts = range(offset + 1, len(data) - _HEADER.size)
    return any(_frame_end(data, start, seed) is not None for start in starts)


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that file creations and renames survive a crash."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def write_synced(path: Path, data: bytes) -> None:
    """Replace a file atomically and durably: sync a temporary file, rename it, sync the folder."""
    write_parts_synced(path, [data])


def write_parts_synced(path: Path, parts: Iterable[bytes]) -> None:
    """Replace a file like `write_synced`, by parts that need not be in memory together."""
    temporary = path.with_name(path.name + ".tmp")
    with open(temporary, "wb") as file:
        file.writelines(parts)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)


def read_single_frame(path: Path, seed: int = 0) -> bytes | None:
    """Return the payload of a file that is one frame; ``None`` if missing or damaged."""
    with contextlib.suppress(FileNotFoundError), open(path, "rb") as file:
        for end, payload in decode_frames(file, seed):
            return payload if end == os.fstat(file.fileno()).st_size else None
    return None


def _checksum(payload: bytes, seed: int) -> int:
    digest = xxhash.xxh32(_LENGTH.pack(len(payload)), seed=seed)
    digest.update(payload)
    return digest.intdigest()


def _frame_end(data: bytes, offset: int, seed: int) -> int | None:
    if offset + _HEADER.size > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    end = offset + _HEADER.size + length
    if end > len(data) or _checksum(data[offset + _HEADER.size : end], seed) != checksum:
        return None
    return end
