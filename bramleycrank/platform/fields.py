"""Typed reading of JSON objects."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Iterator
from typing import Any

from bramleycrank.exceptions import MalformedBody, Outcome

MAX_TOKEN_CHARS = 255
"""Longest id of a target and longest name of a service or zone."""

VALUE_BYTES = 80
"""Memory of a decoded number or the head of a string, with its place in a list."""

CONTAINER_BYTES = 128
"""Memory of a decoded list or object, without its values."""

MEMBER_BYTES = 180
"""Memory of the key of an object with its place in the tables, when no two keys are equal."""

WIDE_CHAR_BYTES = 4
"""Memory of each character of a text that has one outside ASCII."""

_TOKEN = re.compile(r"[!-~]+")


class Fields:
    """Typed access to a JSON object; a missing field or one of another type is an error.

    Parameters
    ----------
    data : object
        What the JSON parser returned.
    where : str
        Path of the object, for error messages.
    """

    def __init__(self, data: object, where: str) -> None:
        if not isinstance(data, dict):
            raise malformed(f"{where} is not an object")
        self._data: dict[str, Any] = data
        self._where = where

    @classmethod
    def from_json(cls, body: bytes, where: str, room_bytes: int | None = None) -> Fields:
        """Parse a body.

        Parameters
        ----------
        body : bytes
            The JSON text.
        where : str
            Name of the document, for error messages.
        room_bytes : int, optional
            Memory for the decoded document; None for any amount.

        Raises
        ------
        MalformedBody
            The body is not a JSON object, an object has a duplicate key, or there is no room for
            the decoded document.
        """
        if room_bytes is not None and (needed_bytes := decoded_bytes(body)) > room_bytes:
            raise malformed(
                f"{where} has {len(body)} bytes and may take {needed_bytes} bytes of memory, "
                f"but {room_bytes} are free for it; send fewer values"
            )
        try:
            return cls(json.loads(body, object_pairs_hook=_reject_duplicate_keys), where)
        except (ValueError, RecursionError) as exc:
            raise malformed(f"{where}: {exc}") from exc

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string that can be encoded."""
        return self._checked(name, self._get(name, str, default))

    def token(self, name: str, default: str | None = None) -> str:
        """Return a short string of printable ASCII characters without spaces."""
        value = self._get(name, str, default)
        if value and not is_token(value):
            raise malformed(f"{self._where}.{name} is too long or has characters that are no token")
        return value

    def count(self, name: str, default: int | None = None, limit: int = 2**63) -> int:
        """Return a non-negative integer below a limit."""
        value = self._get(name, int, default)
        if not 0 <= value < limit:
            raise malformed(f"{self._where}.{name} is out of range")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a finite number."""
        try:
            value = float(self._get(name, (int, float), default))
        except OverflowError as exc:
            raise malformed(f"{self._where}.{name} is out of range") from exc
        if not math.isfinite(value):
            raise malformed(f"{self._where}.{name} must be finite")
        return value

    def flag(self, name: str) -> bool:
        """Return a truth value; False if it is missing."""
        return self._get(name, bool, False)

    def has(self, name: str) -> bool:
        """Return whether a field is present and not null."""
        return self._data.get(name) is not None

    def texts(self, name: str) -> list[str]:
        """Return a list of strings."""
        values = self._get(name, list, [])
        if not all(isinstance(value, str) for value in values):
            raise malformed(f"{self._where}.{name} must contain only strings")
        return [self._checked(name, value) for value in values]

    def objects(self, name: str) -> Iterator[Fields]:
        """Yield the objects of a list."""
        for position, value in enumerate(self._get(name, list, [])):
            yield Fields(value, f"{self._where}.{name}[{position}]")

    def object(self, name: str) -> Fields:
        """Return an object, or an empty one if it is missing."""
        return Fields(self._get(name, dict, {}), f"{self._where}.{name}")

    def _get(self, name: str, kind: Any, default: Any) -> Any:
        value = self._data.get(name)
        if value is None:
            if default is None:
                raise malformed(f"{self._where}.{name} is missing")
            return default
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise malformed(f"{self._where}.{name} has the wrong type")
        return value

    def _checked(self, name: str, value: str) -> str:
        """Return a string unless it has half of a character, which a JSON escape can state."""
        if any("\ud800" <= char <= "\udfff" for char in value):
            raise malformed(f"{self._where}.{name} has an invalid character")
        return value

    def canonical(self) -> bytes:
        """Return the object as JSON with sorted keys and without spaces.

        Raises
        ------
        MalformedBody
            The object is nested too deeply.
        """
        try:
            return json.dumps(self._data, sort_keys=True, separators=(",", ":")).encode()
        except RecursionError as exc:
            raise malformed(f"{self._where} is nested too deeply") from exc


def decoded_bytes(body: bytes) -> int:
    """Return an upper bound on the memory of a decoded JSON text, in bytes.

    Load pattern: some orders consist of millions of empty lists or one-letter keys, which take up
    to 45 times their size once decoded, so the bound is computed before the text is parsed. A
    character inside a string counts like one outside.
    """
    text_bytes = len(body) * (1 if body.isascii() else WIDE_CHAR_BYTES)
    # The pieces of a string with escapes are joined, and an escape can state a wide character.
    strings_bytes = len(body) * 2 * WIDE_CHAR_BYTES if b"\\" in body else text_bytes
    containers = body.count(b"{") + body.count(b"[")
    # The first value of a list follows no comma.
    values = body.count(b",") + containers
    members = body.count(b":")
    return (
        text_bytes
        + strings_bytes
        + VALUE_BYTES * values
        + CONTAINER_BYTES * containers
        + MEMBER_BYTES * members
    )


def is_token(value: str) -> bool:
    """Return whether a string may name a target or service in a header: short, no spaces."""
    return bool(value) and len(value) <= MAX_TOKEN_CHARS and bool(_TOKEN.fullmatch(value))


def malformed(message: str) -> MalformedBody:
    """Return the error for an invalid document; its outcome is ``not_run``."""
    return MalformedBody(message[:300], outcome=Outcome.NOT_RUN)


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    data = dict(pairs)
    if len(data) != len(pairs):
        raise ValueError("an object has a duplicate key")
    return data
