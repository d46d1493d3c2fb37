"""Loads a TOML file into attrs classes and reports all problems at once."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

import attrs

from bramleycrank.exceptions import InvalidSettings
from bramleycrank.settings.options import INVALID, Option

T = TypeVar("T")


@attrs.define
class Problems:
    """Collects the problems of one settings file.

    Parameters
    ----------
    source : str
        Name of the file for messages.
    """

    source: str
    lines: list[str] = attrs.field(factory=list)

    def add(self, key: str, found: object, allowed: str) -> None:
        """Add a problem of one key."""
        self.lines.append(f"{self.source}: {key}: found {_format_value(found)}; allowed: {allowed}")

    def add_unknown(self, key: str, known: list[str]) -> None:
        """Add a key that no class declares."""
        allowed = "one of " + ", ".join(known)
        self.lines.append(f"{self.source}: {key}: found an unknown key; allowed: {allowed}")

    def add_missing(self, key: str, allowed: str) -> None:
        """Add a required key that the file lacks."""
        self.lines.append(f"{self.source}: {key}: found nothing; allowed: {allowed}")


def _format_value(value: object) -> str:
    """Return a value as shown in messages, truncated to 80 characters."""
    text = {True: "true", False: "false"}.get(value) if isinstance(value, bool) else repr(value)
    return text if len(text) <= 80 else f"{text[:77]}..."


def read_toml(path: Path) -> dict[str, Any]:
    """Return the content of a TOML file.

    Raises
    ------
    InvalidSettings
        If the file cannot be read or is not TOML.
    """
    try:
        with path.open("rb") as file:
            return tomllib.load(file)
    except OSError as exc:
        raise InvalidSettings([f"{path}: cannot be read: {exc.strerror}"]) from exc
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise InvalidSettings([f"{path}: is not a TOML file: {exc}"]) from exc


def load(cls: type[T], data: Mapping[str, Any], source: str) -> T:
    """Return an instance of a settings class from nested mappings.

    Parameters
    ----------
    cls : type
        attrs class whose fields were declared with `section`; its method ``check(problems)``
        reports values that are invalid in combination.
    data : Mapping
        Content of the file.
    source : str
        Name of the file for messages.

    Raises
    ------
    InvalidSettings
        With one line for each problem.
    """
    problems = Problems(source)
    fields = {field.name: field for field in attrs.fields(cls)}
    _add_unknown_keys(data, fields, "", problems)
    values = {name: _load_section(field, data, problems) for name, field in fields.items()}
    valid_values = {name: value for name, value in values.items() if value is not INVALID}
    if not problems.lines:
        settings = cls(**valid_values)
        settings.check(problems)  # type: ignore[attr-defined]
        if not problems.lines:
            return settings
    raise InvalidSettings(problems.lines)


def _load_section(field: attrs.Attribute, data: Mapping[str, Any], problems: Problems) -> Any:
    """Return one section, None if it is optional and absent, or ``INVALID``."""
    if field.name not in data and field.metadata["optional"]:
        return None
    content = data.get(field.name, {})
    if not isinstance(content, dict):
        problems.add(field.name, content, f"a section [{field.name}]")
        return INVALID
    return load_options(field.metadata["section"], content, field.name, problems)


def load_options(cls: type, content: Mapping[str, Any], prefix: str, problems: Problems) -> Any:
    """Return an instance of a section class, or ``INVALID`` after adding the problems."""
    fields = {field.name: field for field in attrs.fields(cls)}
    problem_count = len(problems.lines)
    _add_unknown_keys(content, fields, f"{prefix}.", problems)
    values = {}
    for name, field in fields.items():
        option: Option = field.metadata["option"]
        if name in content:
            values[name] = option.kind.parse(content[name])
            if values[name] is INVALID:
                problems.add(f"{prefix}.{name}", content[name], _format_allowed(option))
        elif field.default is attrs.NOTHING:
            problems.add_missing(f"{prefix}.{name}", _format_allowed(option))
    return cls(**values) if len(problems.lines) == problem_count else INVALID


def _format_allowed(option: Option) -> str:
    return f"{option.kind.allowed} ({option.unit})" if option.unit else option.kind.allowed


def _add_unknown_keys(
    content: Mapping[str, Any], fields: Mapping[str, Any], prefix: str, problems: Problems
) -> None:
    """Add a problem for each key that no field declares."""
    for key in content:
        if key not in fields:
            problems.add_unknown(f"{prefix}{key}", sorted(fields))
