"""Converts command-line arguments by the annotations of a command."""

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
                bound.arguments[name] = _convert(name, value, _strip_none(hints[name]))
        return method(*bound.args, **bound.kwargs)

    return wrapper


def quote_values(argv: Sequence[str], root: object) -> list[str]:
    """Return the arguments with all values as Python string literals.

    `fire` reads values as Python literals, which would turn a key such as ``1e3`` into ``1000.0``.
    Command names, flags and everything after ``--`` stay unchanged.

    Parameters
    ----------
    argv : sequence of str
        Command-line arguments.
    root : object
        Object whose members are the command groups and commands.
    """
    quoted, group, after_separator = [], root, False
    for arg in argv:
        after_separator = after_separator or arg == "--"
        member = getattr(group, arg.replace("-", "_"), None) if not callable(group) else None
        if after_separator:
            quoted.append(arg)
        elif member is not None:
            group = member
            quoted.append(arg)
        elif arg.startswith("-"):
            flag, equals, value = arg.partition("=")
            quoted.append(f"{flag}={value!r}" if equals else flag)
        else:
            quoted.append(repr(arg))
    return quoted


def _strip_none(hint: Any) -> type:
    """Return the type of an optional annotation."""
    if isinstance(hint, types.UnionType):
        return next(part for part in typing.get_args(hint) if part is not type(None))
    return hint


def _convert(name: str, value: Any, expected_type: type) -> Any:
    option = name.replace("_", "-")
    if value is True and expected_type is not bool:
        raise invalid_argument(f"{option}: needs a value")
    if not isinstance(value, str) or expected_type is str:
        return value
    if expected_type is bool:
        if value.lower() not in ("true", "false"):
            raise invalid_argument(f"{option}: found {value!r}; allowed: true or false")
        return value.lower() == "true"
    try:
        number = expected_type(value)
    except ValueError:
        number = -1
    if not 0 <= number < 2**63 or math.isnan(number):
        allowed = "a whole number" if expected_type is int else "a number"
        raise invalid_argument(f"{option}: found {value!r}; allowed: {allowed}, not negative")
    return number


def split_commas(value: str | None) -> list[str]:
    """Return the non-empty items of a comma-separated option."""
    return [part.strip() for part in (value or "").split(",") if part.strip()]


def invalid_argument(message: str) -> InvalidRequest:
    """Return the error for an invalid argument."""
    return InvalidRequest(message, outcome=Outcome.NOT_RUN)
