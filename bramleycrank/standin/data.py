"""Deterministic content of the stand-in's shards.

A hit depends on service, snapshot, shard and query, so a test can compute the expected answer and
detect an answer that mixes snapshots.
"""

from __future__ import annotations

import functools
import json

import xxhash

from bramleycrank.proto.target_pb2 import Hit, Snapshot, SubRequest

READ_KINDS = frozenset({"search", "fetch", "quick_match"})
HITS_PER_SHARD = 20


def shard_of(key: str, shard_count: int) -> int:
    """Return the shard that holds a key."""
    return xxhash.xxh64_intdigest(key.encode()) % shard_count


def search(service: str, snapshot: Snapshot, shard: int, query: str, limit: int) -> tuple[Hit, ...]:
    """Return the best hits of one shard, best first, at most `HITS_PER_SHARD`."""
    shard_key = (service, snapshot.version, snapshot.shard_count, shard)
    return _search(*shard_key, query)[: max(limit, 1)]


def fetch(service: str, snapshot: Snapshot, shard: int, key: str) -> tuple[Hit, ...]:
    """Return the record with a key; the key must belong to the shard."""
    body = _body(snapshot.version, snapshot.shard_count, shard, service=service, key=key)
    return (Hit(id=key, score=1.0, body=body),)


def receipt(
    service: str, snapshot: Snapshot, shard: int, request: SubRequest, execution_count: int
) -> bytes:
    """Return the payload of an operator-defined kind, with the execution count."""
    request_fields = {
        "kind": request.kind,
        "request_key": request.request_key,
        "run": execution_count,
    }
    body = _body(snapshot.version, snapshot.shard_count, shard, service=service, key=request.key)
    return json.dumps({**json.loads(body), **request_fields}).encode()


@functools.lru_cache(maxsize=4096)
def _search(
    service: str, version: int, shard_count: int, shard: int, query: str
) -> tuple[Hit, ...]:
    seed = f"{service}/{version}/{shard_count}/{shard}/{query}"
    scores = sorted(
        (xxhash.xxh64_intdigest(f"{seed}/{n}".encode()) / 2**64 for n in range(HITS_PER_SHARD)),
        reverse=True,
    )
    return tuple(
        Hit(
            id=f"{service}-{shard}-{n}",
            score=score,
            body=_body(version, shard_count, shard, query=query),
        )
        for n, score in enumerate(scores)
    )


def _body(version: int, shard_count: int, shard: int, **extra_fields: str) -> str:
    return json.dumps(
        {"version": version, "shard_count": shard_count, "shard": shard, **extra_fields}
    )
