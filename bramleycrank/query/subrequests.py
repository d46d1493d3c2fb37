"""Messages and state of the sub-requests of one query."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any

import attrs
import xxhash

from bramleycrank.proto.target_pb2 import Snapshot as SnapshotMessage
from bramleycrank.proto.target_pb2 import SubReply, SubRequest
from bramleycrank.query.types import SCATTER_KINDS, MissingReason, QueryRequest, Snapshot


@attrs.define(eq=False)
class OpenSubRequest:
    """A sub-request in flight."""

    sub_id: int
    shard: ShardState
    target_id: str
    sent_at: float
    first: bool


@attrs.define(eq=False)
class ShardState:
    """Progress of one shard of a query."""

    index: int
    open: list[OpenSubRequest] = attrs.field(factory=list)
    tried: list[str] = attrs.field(factory=list)
    lost: list[str] = attrs.field(factory=list)  # tried targets whose connection was lost
    reply: SubReply | None = None
    reason: MissingReason | None = None
    ended: bool = False
    hedged: bool = False
    retries: int = 0


def choose_retry(shard: ShardState, choose: Callable[[Sequence[str]], str | None]) -> str | None:
    """Return the target for a retry.

    A target whose connection was lost may be healthy and is tried again, but only after all others.
    A network partition breaks the connections to all targets on its other side at the same time.

    Parameters
    ----------
    shard : ShardState
        The shard whose sub-request failed.
    choose : callable
        Returns a target that is not among the given ones; None if there is none.
    """
    target_id = choose(shard.tried)
    if target_id is None and shard.lost:
        target_id = choose([tried for tried in shard.tried if tried not in shard.lost])
    return target_id


def shard_of(key: str, shard_count: int) -> int:
    """Return the shard that holds `key`."""
    return xxhash.xxh64_intdigest(key.encode()) % shard_count


def shards_for(req: QueryRequest, snapshot: Snapshot) -> list[int]:
    """Return the indices of the shards that a request needs."""
    if req.kind in SCATTER_KINDS:
        return list(range(snapshot.shard_count))
    return [shard_of(req.key, snapshot.shard_count)]


def template(req: QueryRequest, snapshot: Snapshot) -> SubRequest:
    """Return a sub-request with the fields that are common to a query on one snapshot."""
    return SubRequest(
        service=req.service,
        kind=req.kind,
        snapshot=SnapshotMessage(version=snapshot.version, shard_count=snapshot.shard_count),
        query=req.query,
        key=req.key,
        limit=req.limit,
        payload=req.payload.encode(),
        request_key=req.request_key,
    )


def dump_progress(
    req: QueryRequest, snapshot: Snapshot, shards: Iterable[ShardState]
) -> dict[str, Any]:
    """Return the snapshot of a query and the shards whose replies are pending."""
    return {
        "service": req.service,
        "kind": req.kind,
        "snapshot": attrs.asdict(snapshot),
        "waiting_for": [
            {"shard": shard.index, "targets": [sub.target_id for sub in shard.open]}
            for shard in shards
            if not shard.ended
        ],
    }
