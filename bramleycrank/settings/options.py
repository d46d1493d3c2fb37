"""Declaration of typed options: a type with its allowed range, a unit and a meaning."""

from __future__ import annotations

import enum
import ipaddress
import math
import re
from pathlib import Path
from typing import Any, Protocol

import attrs

from bramleycrank.settings.address import Address


class Invalid(enum.Enum):
    """Marker for a value that an option does not allow."""

    INVALID = "invalid"


INVALID = Invalid.INVALID


class Kind(Protocol):
    """Type and allowed range of an option's values."""

    @property
    def allowed(self) -> str:
        """Describe the allowed values for an error message."""
        ...

    def parse(self, value: object) -> Any:
        """Return the typed value, or ``INVALID``."""
        ...


@attrs.frozen
class Integer:
    """A whole number within a range, both ends included."""

    minimum: int
    maximum: int

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return f"a whole number from {self.minimum} to {self.maximum}"

    def parse(self, value: object) -> Any:
        """Return the number, or ``INVALID``."""
        if isinstance(value, bool) or not isinstance(value, int):
            return INVALID
        return value if self.minimum <= value <= self.maximum else INVALID


@attrs.frozen
class Number:
    """A number within a range, both ends included."""

    minimum: float
    maximum: float

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return f"a number from {self.minimum:g} to {self.maximum:g}"

    def parse(self, value: object) -> Any:
        """Return the number as a float, or ``INVALID``."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            return INVALID
        if not self.minimum <= value <= self.maximum or math.isnan(value):
            return INVALID
        return float(value)


@attrs.frozen
class Flag:
    """True or false."""

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return "true or false"

    def parse(self, value: object) -> Any:
        """Return the flag, or ``INVALID``."""
        return value if isinstance(value, bool) else INVALID


@attrs.frozen
class Choice:
    """One of a fixed set of words."""

    choices: tuple[str, ...]

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return "one of " + ", ".join(self.choices)

    def parse(self, value: object) -> Any:
        """Return the word, or ``INVALID``."""
        return value if isinstance(value, str) and value in self.choices else INVALID


@attrs.frozen
class Name:
    """A short identifier that is safe in paths, metric names and node ids."""

    empty_allowed: bool = False

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        text = "1 to 64 letters, digits, dots, hyphens or underscores, first a letter or digit"
        return f"{text}; or empty" if self.empty_allowed else text

    def parse(self, value: object) -> Any:
        """Return the identifier, or ``INVALID``."""
        if value == "" and self.empty_allowed:
            return value
        pattern = r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}"
        return value if isinstance(value, str) and re.fullmatch(pattern, value) else INVALID


@attrs.frozen
class Folder:
    """A folder path; relative paths start at the working directory."""

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return "the path of a folder"

    def parse(self, value: object) -> Any:
        """Return the path, or ``INVALID``."""
        return Path(value) if isinstance(value, str) and value and "\0" not in value else INVALID


@attrs.frozen
class IpAddress:
    """An IPv4 or IPv6 address."""

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return 'an IP address, such as "127.0.0.1"'

    def parse(self, value: object) -> Any:
        """Return the address as text, or ``INVALID``."""
        try:
            return str(ipaddress.ip_address(value)) if isinstance(value, str) else INVALID
        except ValueError:
            return INVALID


@attrs.frozen
class HostPort:
    """An address of the form ``host:port``."""

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return 'an IP address and a port from 1 to 65535, such as "127.0.0.1:7070"'

    def parse(self, value: object) -> Any:
        """Return the `Address`, or ``INVALID``."""
        address = Address.parse(value) if isinstance(value, str) else None
        return INVALID if address is None else address


@attrs.frozen
class ListOf:
    """A list of distinct values of one type."""

    kind: Kind
    minimum: int = 0
    maximum: int = 10_000

    @property
    def allowed(self) -> str:
        """Describe the allowed values."""
        return (
            f"a list of {self.minimum} to {self.maximum} distinct values, each {self.kind.allowed}"
        )

    def parse(self, value: object) -> Any:
        """Return the values as a tuple, or ``INVALID``."""
        if not isinstance(value, list) or not self.minimum <= len(value) <= self.maximum:
            return INVALID
        parsed = tuple(self.kind.parse(item) for item in value)
        return parsed if INVALID not in parsed and len(set(parsed)) == len(parsed) else INVALID


@attrs.frozen
class Option:
    """One option of a settings section.

    Parameters
    ----------
    kind : Kind
        Type and allowed values.
    unit : str
        Unit of the value, empty if it has none.
    meaning : str
        One sentence for the settings page.
    """

    kind: Kind
    unit: str
    meaning: str


def option(kind: Kind, *, meaning: str, unit: str = "", default: Any = attrs.NOTHING) -> Any:
    """Declare an option as an attrs field; without a default the option is required."""
    return attrs.field(default=default, metadata={"option": Option(kind, unit, meaning)})


def section(cls: type, *, meaning: str, required: bool = False, optional: bool = False) -> Any:
    """Declare a section as an attrs field.

    Parameters
    ----------
    cls : type
        attrs class of the section.
    meaning : str
        One sentence for the settings page.
    required : bool, optional
        Whether the class has options without a default.
    optional : bool, optional
        Whether the field is None where the file lacks the section.
    """
    metadata = {"section": cls, "optional": optional, "meaning": meaning}
    if required:
        return attrs.field(metadata=metadata)
    return attrs.field(factory=(lambda: None) if optional else cls, metadata=metadata)
