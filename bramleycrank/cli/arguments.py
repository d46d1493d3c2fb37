"""Conversion of command-line arguments by the annotations of a command."""

from __future__ import annotations

import functools
import inspect
import math
import types
import typing
from collections.abc import Callable, Sequence
from typing import Any

from bramleycrank.exceptions import InvalidRequest, Outcome


def command(method: Callable[..., Any]) -> Callable[..., Any]:
    """Decorate a command so that its arguments are converted by their annotations.

    Numbers must not be negative.
    """
    hints = typing.get_type_hints(method)
    signature = inspect.signature(method)

    @functools.wraps(method)
    def wrapper(*args: Any, **kwargs: Any) -> Any:
        bound = signature.bind(*args, **kwargs)
        for name, value in bound.arguments.items():
            if name != "self":
                bound.arguments[name] = _convert(name, value, _plain(hints[name]))
        return method(*bound.args, **bound.kwargs)

    return wrapper


def quoted(argv: Sequence[str], root: object) -> list[str]:
    """Return the arguments with all values of the command as Python string literals.

    `fire` reads values as Python literals, which would turn a key such as ``1e3`` into ``1000.0``.
    The words that name the command, flags and what follows ``--`` stay as they are.

    Parameters
    ----------
    argv : sequence of str
        Arguments.
    root : object
        Object whose members are the groups and commands.
    """
    result, place, plain = [], root, False
    for word in argv:
        plain = plain or word == "--"
        member = getattr(place, word.replace("-", "_"), None) if not callable(place) else None
        if plain:
            result.append(word)
        elif member is not None:
            place = member
            result.append(word)
        elif word.startswith("-"):
            flag, equals, value = word.partition("=")
            result.append(f"{flag}={value!r}" if equals else flag)
        else:
            result.append(repr(word))
    return result


def _plain(hint: Any) -> type:
    """Return the type of an annotation without None."""
    if isinstance(hint, types.UnionType):
        return next(part for part in typing.get_args(hint) if part is not type(None))
    return hint


def _convert(name: str, value: Any, wanted: type) -> Any:
    option = name.replace("_", "-")
    if value is True and wanted is not bool:
        raise invalid(f"{option}: needs a value")
    if not isinstance(value, str) or wanted is str:
        return value
    if wanted is bool:
        if value.lower() not in ("true", "false"):
            raise invalid(f"{option}: found {value!r}; allowed: true or false")
        return value.lower() == "true"
    try:
        number = wanted(value)
    except ValueError:
        number = -1
    if not 0 <= number < 2**63 or math.isnan(number):
        noun = "a whole number" if wanted is int else "a number"
        raise invalid(f"{option}: found {value!r}; allowed: {noun}, not negative")
    return number


def words(value: str | None) -> list[str]:
    """Return the parts of a comma-separated option."""
    return [part.strip() for part in (value or "").split(",") if part.strip()]


def invalid(message: str) -> InvalidRequest:
    """Return the error for an argument that cannot be used."""
    return InvalidRequest(message, outcome=Outcome.NOT_RUN)
