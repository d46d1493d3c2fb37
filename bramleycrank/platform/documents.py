"""Decodes the documents of the platform into the messages of the project."""

from __future__ import annotations

import json

from bramleycrank.platform.fields import Fields, malformed
from bramleycrank.proto import log_pb2, target_pb2
from bramleycrank.routing import ROUTES_FORMAT
from bramleycrank.scatter.policy import SINGLE_SHARD_REPLICAS
from bramleycrank.settings import Address

IDEMPOTENT, NON_IDEMPOTENT = "idempotent", "non_idempotent"
READY, DRAINING = "ready", "draining"

UINT32 = 2**32
"""Limit of the numbers that a message carries in 32 bits."""


def decode_routes(body: bytes, room_bytes: int | None = None) -> log_pb2.RouteTable:
    """Return the route table of a configuration document.

    Parameters
    ----------
    body : bytes
        The document.
    room_bytes : int, optional
        Memory for the decoded document; None for a document that was accepted before.

    Raises
    ------
    MalformedBody
        The document cannot be read in full, or there is no room for it.
    """
    fields = Fields.from_json(body, "config", room_bytes)
    limits = fields.object("Limits")
    table = log_pb2.RouteTable(
        version=fields.count("Version"),
        services=[
            log_pb2.HttpService(
                # Applies to all callers of one target together.
                name=item.text("Name"),
                connections=item.count("MaxConnections", 0, UINT32),
                warmup_ms=_rounded_ms(item, "WarmupS", 0, unit_ms=1000),
                warmup_per_s=item.number("WarmupPerS", 0.0),
            )
            for item in fields.objects("Services")
        ],
        limits=log_pb2.CallerLimits(
            header_bytes=limits.count("MaxHeaderBytes", 0, UINT32),
            body_bytes=limits.count("MaxBodyBytes", 0, UINT32),
            header_timeout_ms=limits.count("HeaderTimeoutMs", 0, UINT32),
            idle_timeout_ms=limits.count("IdleTimeoutMs", 0, UINT32),
        ),
        document=fields.canonical(),
        customers=[_customer(item) for item in fields.objects("Tenants")],
        format=ROUTES_FORMAT,
    )
    for item in fields.objects("Routes"):
        _add_route(table, item)
    return table


def has_customers(body: bytes) -> bool:
    """Return whether a configuration document has customers; True if that cannot be told."""
    try:
        data = json.loads(body)
    except (ValueError, RecursionError):
        return True
    return not isinstance(data, dict) or bool(data.get("Tenants"))


def _customer(fields: Fields) -> log_pb2.Customer:
    return log_pb2.Customer(
        name=fields.text("Name"),
        keys=fields.texts("ApiKeys"),
        rank=fields.count("Priority", limit=UINT32) if fields.has("Priority") else None,
        per_s=fields.number("RatePerS", 0.0),
        burst=fields.number("Burst", 0.0),
    )


def _add_route(table: log_pb2.RouteTable, fields: Fields) -> None:
    """Add a route in place; each message of its own takes at least a kilobyte."""
    kind = fields.text("Type", IDEMPOTENT)
    if kind not in (IDEMPOTENT, NON_IDEMPOTENT):
        raise malformed(f"route type {kind!r} is unknown")
    split = [
        log_pb2.WeightedService(name=part.text("Service"), weight=part.number("Weight"))
        for part in fields.objects("Split")
    ]
    if fields.has("Service"):
        split.append(log_pb2.WeightedService(name=fields.text("Service"), weight=1.0))
    table.routes.add(
        name=fields.text("Name", ""),
        host=fields.text("Host"),
        path_prefix=fields.text("PathPrefix"),
        idempotent=kind == IDEMPOTENT,
        timeout_ms=_rounded_ms(fields, "TimeoutMs"),
        objective_ms=_rounded_ms(fields, "TargetLatencyMs", 0),
        rank=fields.count("Priority", 0, UINT32),
        # Includes the first target.
        max_targets=fields.count("MaxAttempts", 1, UINT32),
        split=split,
        shards=fields.texts("Gather"),
        top_records=fields.count("TopK", 0, UINT32),
        min_coverage=fields.number("MinCoverage", 0.0),
        regions=fields.texts("AllowedRegions"),
        public=fields.flag("Public"),
    )


def _rounded_ms(fields: Fields, name: str, default: int | None = None, *, unit_ms: int = 1) -> int:
    value = fields.number(name, default) * unit_ms
    return round(min(value, UINT32 - 1))


def decode_report(
    target_id: str, body: bytes, room_bytes: int | None = None
) -> target_pb2.TargetRecord:
    """Return the target record of a report.

    Parameters
    ----------
    target_id : str
        Id of the target.
    body : bytes
        The report.
    room_bytes : int, optional
        Memory for the decoded report; None for any amount.

    Raises
    ------
    MalformedBody
        A field is missing, has another type or an unknown value, or there is no room for it.
    """
    fields = Fields.from_json(body, "report", room_bytes)
    address = Address.parse(fields.text("Address"))
    if address is None:
        raise malformed("report.Address is not an IP address with a port")
    state = fields.text("State")
    if state not in (READY, DRAINING):
        raise malformed(f"report.State {state!r} is unknown")
    leaving = state == DRAINING
    return target_pb2.TargetRecord(
        target_id=target_id,
        incarnation=decode_incarnation(fields),
        sequence=fields.count("Sequence"),
        state=target_pb2.TARGET_STATE_LEAVING if leaving else target_pb2.TARGET_STATE_SERVING,
        service=fields.token("Service"),
        host=address.host,
        port=address.port,
        domain=fields.token("Zone"),
        slots=min(fields.count("Slots", 1), 2**31),
        replicas=SINGLE_SHARD_REPLICAS,
        warmup_left_ms=min(fields.count("WarmupLeftMs", 0), 2**31),
    )


def decode_incarnation(fields: Fields) -> int:
    """Return the incarnation of a target: its start time in Unix milliseconds."""
    return fields.count("born", 0)
