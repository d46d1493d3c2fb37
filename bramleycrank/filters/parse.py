"""Strict parsing of JSON request bodies."""

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


def _check_text(value: Any) -> str | None:
    if not isinstance(value, str):
        return "must be a string"
    try:
        value.encode()
    except UnicodeEncodeError:
        return "must be valid Unicode text"
    return None


def _check_name(value: Any) -> str | None:
    return _check_text(value) or (None if value else "must not be empty")


def _check_request_key(value: Any) -> str | None:
    if problem := _check_text(value):
        return problem
    if not 1 <= len(value) <= MAX_KEY_CHARACTERS:
        return f"must have 1 to {MAX_KEY_CHARACTERS} characters"
    return None


def _check_priority(value: Any) -> str | None:
    return None if value in CLASSES else f"must be one of {', '.join(CLASSES)}"


def _check_flag(value: Any) -> str | None:
    return None if isinstance(value, bool) else "must be true or false"


def _integer_check(low: int, high: int) -> Callable[[Any], str | None]:
    def check(value: Any) -> str | None:
        valid = isinstance(value, int) and not isinstance(value, bool) and low <= value <= high
        return None if valid else f"must be an integer from {low} to {high}"

    return check


_FIELD_CHECKS: dict[str, Callable[[Any], str | None]] = {
    "service": _check_name,
    "kind": _check_name,
    "class": _check_priority,
    "deadline_ms": _integer_check(1, MAX_DEADLINE_MS),
    "allow_partial": _check_flag,
    "request_key": _check_request_key,
    "issued_at_ms": _integer_check(1, _MAX_TIME_MS),
    "query": _check_text,
    "key": _check_text,
    "limit": _integer_check(1, MAX_LIMIT),
    "payload": _check_text,
}

_ATTRIBUTE_NAMES = {"class": "priority"}


def parse_request(body: bytes) -> QueryRequest:
    """Parse a JSON request body.

    Raises
    ------
    MalformedBody
        If `body` is not a JSON object.
    InvalidRequest
        If fields are missing, unknown or malformed; the message lists all problems.
    """
    members = _decode(body)
    data = dict(members)
    problems = list(_find_problems(members, data))
    if problems:
        raise InvalidRequest("; ".join(problems), outcome=_refusal_outcome(data.get("kind")))
    return QueryRequest(**{_ATTRIBUTE_NAMES.get(name, name): value for name, value in data.items()})


def _refusal_outcome(kind: Any) -> Outcome:
    """Return the outcome for a refused request.

    Another attempt of a non-idempotent request may have run.
    """
    is_read = isinstance(kind, str) and kind in READ_KINDS
    return Outcome.NOT_RUN if is_read else Outcome.UNKNOWN


class _ObjectMembers(list):
    """The members of a JSON object, including duplicate names."""


def _decode(body: bytes) -> list[tuple[str, Any]]:
    try:
        data = json.loads(body, object_pairs_hook=_ObjectMembers)
    except (ValueError, RecursionError):
        raise MalformedBody("The body is not valid JSON.") from None
    if not isinstance(data, _ObjectMembers):
        raise MalformedBody
    return data


def _find_problems(members: list[tuple[str, Any]], data: dict[str, Any]) -> Iterable[str]:
    names = [name for name, _ in members]
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield f"{_printable_name(name)}: appears more than once"
    for name, value in data.items():
        check = _FIELD_CHECKS.get(name)
        if check is None:
            yield f"{_printable_name(name)}: unknown field"
        elif problem := check(value):
            yield f"{name}: {problem}"
    for name in ("service", "kind"):
        if name not in data:
            yield f"{name}: is required"
    kind = data.get("kind")
    if isinstance(kind, str) and kind:
        required_field = "query" if kind in SCATTER_KINDS else "key"
        if required_field not in data:
            yield f"{required_field}: is required for this kind"


def _printable_name(name: str) -> str:
    """Return a field name in ASCII, shortened for an error message."""
    return ascii(name[:64])[1:-1]
