"""Strict parsing of a request's JSON body."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any

from bramleycrank.exceptions import InvalidRequest, MalformedBody, Outcome
from bramleycrank.query.types import CLASSES, READ_KINDS, SCATTER_KINDS, QueryRequest

MAX_DEADLINE_MS = 60_000
MAX_LIMIT = 1_000
MAX_KEY_CHARACTERS = 128
_MAX_TIME_MS = 2**53


def _text(value: Any) -> str | None:
    if not isinstance(value, str):
        return "must be a string"
    try:
        value.encode()
    except UnicodeEncodeError:
        return "must be valid Unicode text"
    return None


def _name(value: Any) -> str | None:
    return _text(value) or (None if value else "must not be empty")


def _request_key(value: Any) -> str | None:
    if problem := _text(value):
        return problem
    if not 1 <= len(value) <= MAX_KEY_CHARACTERS:
        return f"must have 1 to {MAX_KEY_CHARACTERS} characters"
    return None


def _priority(value: Any) -> str | None:
    return None if value in CLASSES else f"must be one of {', '.join(CLASSES)}"


def _flag(value: Any) -> str | None:
    return None if isinstance(value, bool) else "must be true or false"


def _integer(low: int, high: int) -> Callable[[Any], str | None]:
    def check(value: Any) -> str | None:
        valid = isinstance(value, int) and not isinstance(value, bool) and low <= value <= high
        return None if valid else f"must be an integer from {low} to {high}"

    return check


_CHECKS: dict[str, Callable[[Any], str | None]] = {
    "service": _name,
    "kind": _name,
    "class": _priority,
    "deadline_ms": _integer(1, MAX_DEADLINE_MS),
    "allow_partial": _flag,
    "request_key": _request_key,
    "issued_at_ms": _integer(1, _MAX_TIME_MS),
    "query": _text,
    "key": _text,
    "limit": _integer(1, MAX_LIMIT),
    "payload": _text,
}

_ATTRIBUTES = {"class": "priority"}


def parse_request(body: bytes) -> QueryRequest:
    """Return the request with the JSON form `body`.

    Raises
    ------
    MalformedBody
        If `body` is not a JSON object.
    InvalidRequest
        If fields are missing, unknown or malformed; the message has all problems.
    """
    pairs = _decode(body)
    data = dict(pairs)
    problems = list(_problems(pairs, data))
    if problems:
        raise InvalidRequest("; ".join(problems), outcome=_outcome(data.get("kind")))
    return QueryRequest(**{_ATTRIBUTES.get(name, name): value for name, value in data.items()})


def _outcome(kind: Any) -> Outcome:
    """Return what a refusal may say: another attempt of a non-idempotent request may have run."""
    known_read = isinstance(kind, str) and kind in READ_KINDS
    return Outcome.NOT_RUN if known_read else Outcome.UNKNOWN


class _Pairs(list):
    """The members of a JSON object, duplicates included."""


def _decode(body: bytes) -> list[tuple[str, Any]]:
    try:
        data = json.loads(body, object_pairs_hook=_Pairs)
    except (ValueError, RecursionError):
        raise MalformedBody("The body is not valid JSON.") from None
    if not isinstance(data, _Pairs):
        raise MalformedBody
    return data


def _problems(pairs: list[tuple[str, Any]], data: dict[str, Any]) -> Iterable[str]:
    names = [name for name, _ in pairs]
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield f"{_shown(name)}: appears more than once"
    for name, value in data.items():
        check = _CHECKS.get(name)
        if check is None:
            yield f"{_shown(name)}: unknown field"
        elif problem := check(value):
            yield f"{name}: {problem}"
    for name in ("service", "kind"):
        if name not in data:
            yield f"{name}: is required"
    kind = data.get("kind")
    if isinstance(kind, str) and kind:
        needed = "query" if kind in SCATTER_KINDS else "key"
        if needed not in data:
            yield f"{needed}: is required for this kind"


def _shown(name: str) -> str:
    """Return a field name that is safe and short enough for a message."""
    return ascii(name[:64])[1:-1]
