"""Tables for people and JSON for scripts."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from google.protobuf.json_format import MessageToDict
from google.protobuf.message import Message


def table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return aligned columns with a header line."""
    lines = [list(headers), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(headers))]
    padded = ("  ".join(c.ljust(w) for c, w in zip(line, widths, strict=True)) for line in lines)
    return "\n".join(line.rstrip() for line in padded)


def message_to_dict(message: Message) -> dict[str, Any]:
    """Return a protobuf message as a dict with the field names of the protocol.

    The JSON form of protobuf turns 64-bit integers into strings; here they stay integers.
    """
    data = MessageToDict(
        message, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
    )
    return _restore_int64(message, data)


def _restore_int64(message: Message, data: dict[str, Any]) -> dict[str, Any]:
    for field in message.DESCRIPTOR.fields:
        if field.name not in data or _is_map(field):
            continue
        value, json_value = getattr(message, field.name), data[field.name]
        if field.message_type is None:
            if field.cpp_type in (field.CPPTYPE_INT64, field.CPPTYPE_UINT64):
                data[field.name] = list(value) if isinstance(json_value, list) else value
        elif isinstance(json_value, list):
            data[field.name] = [
                _restore_int64(m, d) for m, d in zip(value, json_value, strict=True)
            ]
        else:
            data[field.name] = _restore_int64(value, json_value)
    return data


def _is_map(field: Any) -> bool:
    return field.message_type is not None and field.message_type.GetOptions().map_entry


def print_result(data: Mapping[str, Any], text: str, *, as_json: bool) -> None:
    """Print a result as JSON or as text."""
    print(json.dumps(data, indent=2, sort_keys=True) if as_json else text, flush=True)
