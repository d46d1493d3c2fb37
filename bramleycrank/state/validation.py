"""Validation of configuration changes and claims; deterministic and equal on every node."""

from __future__ import annotations

import re
from collections.abc import Iterable

from bramleycrank.proto.log_pb2 import Change, ClaimId, ServiceConfig

CLASSES = frozenset({"urgent", "normal", "bulk"})
READ_KINDS = frozenset({"search", "fetch", "quick_match"})
MAX_SERVICES = 1024
MAX_VMS = 16_384
MAX_DOMAINS = 1024
MAX_KINDS = 64
MAX_DEADLINE_MS = 60_000
MAX_CONCURRENCY = 100_000
MAX_QUEUE = 100_000
MAX_HITS = 1000
MAX_KEY_LENGTH = 128
MAX_ID_LENGTH = 128

_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}")


def is_name(name: str) -> bool:
    """Return whether a name is valid for a service, VM or kind."""
    return _NAME.fullmatch(name) is not None


def change_problem(change: Change) -> str:
    """Return the reason why a change is invalid; empty if it is valid."""
    match change.WhichOneof("body"):
        case "put_service":
            return _first_service_problem(change.put_service)
        case "delete_service":
            return _name_problem("service", change.delete_service)
        case "put_vm":
            return _name_problem("VM", change.put_vm.vm_id)
        case "put_domain":
            return _name_problem("domain", change.put_domain.domain)
        case "put_routes":
            return "" if change.put_routes.version else "the route table has no version"
        case _:
            return "the change says nothing"


def has_change_id(change: Change) -> bool:
    """Return whether the change has a valid id, under which its result is stored."""
    return 1 <= len(change.change_id) <= MAX_ID_LENGTH


def claim_problem(claim_id: ClaimId, attempt_id: str, vm_id: str | None = None) -> str:
    """Return the reason why the ids of a claim command are invalid; empty if they are valid."""
    if not is_name(claim_id.service):
        return "the service name is invalid"
    if not 1 <= len(claim_id.request_key) <= MAX_KEY_LENGTH:
        return f"the request key must have 1 to {MAX_KEY_LENGTH} characters"
    if not 1 <= len(attempt_id) <= MAX_ID_LENGTH:
        return f"the attempt id must have 1 to {MAX_ID_LENGTH} characters"
    if vm_id is not None and not is_name(vm_id):
        return "the VM id is invalid"
    return ""


def _first_service_problem(service: ServiceConfig) -> str:
    return next(filter(None, _service_problems(service)), "")


def _service_problems(service: ServiceConfig) -> Iterable[str]:
    yield _name_problem("service", service.name)
    kinds = [kind.name for kind in service.kinds]
    yield from (_name_problem("kind", name) for name in kinds)
    yield _limit_problem("number of kinds", len(kinds), MAX_KINDS)
    if len(set(kinds)) != len(kinds):
        yield "a kind is listed twice"
    yield from (
        f"{kind.name} is always idempotent"
        for kind in service.kinds
        if kind.name in READ_KINDS and not kind.idempotent
    )
    yield from (f"class {name!r} is unknown" for name in service.classes if name not in CLASSES)
    if len(set(service.classes)) != len(service.classes):
        yield "a class is listed twice"
    yield _limit_problem("default_deadline_ms", service.default_deadline_ms, MAX_DEADLINE_MS)
    yield _limit_problem("max_concurrency", service.max_concurrency, MAX_CONCURRENCY)
    yield _limit_problem("queue_limit", service.queue_limit, MAX_QUEUE)
    yield _limit_problem("hits_limit", service.hits_limit, MAX_HITS)


def _name_problem(what: str, name: str) -> str:
    if is_name(name):
        return ""
    return f"the {what} name must have 1 to 64 letters, digits, '-', '_' or '.'"


def _limit_problem(what: str, value: int, limit: int) -> str:
    return f"{what} is {value}, above {limit}" if value > limit else ""
