"""Checks of configuration changes before they are proposed."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message
from google.protobuf.unknown_fields import UnknownFieldSet

from bramleycrank.exceptions import BodyTooLarge, InvalidChange
from bramleycrank.proto import log_pb2
from bramleycrank.query.types import CLASSES, READ_KINDS

# The same limit as for the bodies of callers; valid changes are far smaller.
MAX_CHANGE_BYTES = 64 * 1024

MAX_NAME_CHARS = 128
MAX_DEADLINE_MS = 60_000
MAX_HITS = 1_000


def check_change(change: log_pb2.Change) -> None:
    """Check one change.

    Raises
    ------
    InvalidChange
        A field is missing, unknown or out of range.
    BodyTooLarge
        The change is larger than `MAX_CHANGE_BYTES`.
    """
    if change.ByteSize() > MAX_CHANGE_BYTES:
        raise BodyTooLarge(
            f"a change may have at most {MAX_CHANGE_BYTES} bytes, not {change.ByteSize()}"
        )
    check_known_fields(change, "change")
    check_name(change.change_id, "change_id")
    match change.WhichOneof("body"):
        case "put_service":
            _check_service(change.put_service)
        case "delete_service":
            check_name(change.delete_service, "delete_service")
        case "put_vm":
            check_name(change.put_vm.vm_id, "put_vm.vm_id")
        case "put_domain":
            check_name(change.put_domain.domain, "put_domain.domain")
        case _:
            raise InvalidChange("change: no body is set")


def check_known_fields(message: Message, path: str) -> None:
    """Reject a change with a field that this version does not know, at any depth.

    Such a field would be dropped silently, and the operator would assume that its setting is in
    force.

    Raises
    ------
    InvalidChange
        A field is unknown.
    """
    unknown = UnknownFieldSet(message)
    if len(unknown):
        raise InvalidChange(f"{path}: field {unknown[0].field_number} is unknown to this version")
    for field, value in message.ListFields():
        if field.type == FieldDescriptor.TYPE_MESSAGE:
            for item in [value] if isinstance(value, Message) else value:
                check_known_fields(item, f"{path}.{field.name}")


def check_name(name: str, field_path: str) -> None:
    """Reject a name that is empty, too long or not printable with `InvalidChange`."""
    if not name:
        raise InvalidChange(f"{field_path}: must not be empty")
    if len(name) > MAX_NAME_CHARS:
        raise InvalidChange(
            f"{field_path}: {len(name)} characters; at most {MAX_NAME_CHARS} are allowed"
        )
    if not name.isprintable() or name != name.strip():
        raise InvalidChange(
            f"{field_path}: {name!r} has unprintable characters or surrounding whitespace"
        )


def _check_service(service: log_pb2.ServiceConfig) -> None:
    check_name(service.name, "put_service.name")
    kinds = [kind.name for kind in service.kinds]
    for kind in service.kinds:
        check_name(kind.name, "put_service.kinds.name")
        if kind.name in READ_KINDS and not kind.idempotent:
            raise InvalidChange(f"put_service.kinds: {kind.name} is always idempotent")
    _check_unique(kinds, "put_service.kinds")
    _check_unique(service.classes, "put_service.classes")
    unknown = set(service.classes).difference(CLASSES)
    if unknown:
        raise InvalidChange(f"put_service.classes: {min(unknown)!r} is not one of {CLASSES}")
    _check_limit(service.default_deadline_ms, MAX_DEADLINE_MS, "put_service.default_deadline_ms")
    _check_limit(service.hits_limit, MAX_HITS, "put_service.hits_limit")


def _check_unique(names: Sequence[str] | Iterable[str], field_path: str) -> None:
    names = list(names)
    if len(set(names)) != len(names):
        raise InvalidChange(f"{field_path}: a name is listed twice")


def _check_limit(value: int, limit: int, field_path: str) -> None:
    if value > limit:
        raise InvalidChange(f"{field_path}: {value} exceeds the limit of {limit}")
