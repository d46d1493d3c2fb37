"""Merge of the replies of one snapshot."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable

from bramleycrank.proto.target_pb2 import Hit as HitMessage
from bramleycrank.proto.target_pb2 import SubReply
from bramleycrank.query.types import Hit


def merge_hits(replies: Iterable[SubReply], limit: int) -> tuple[Hit, ...]:
    """Return the best `limit` hits of all replies, best first.

    Hits with equal scores are in the order of their id and shard, so the result does not depend
    on the order of the replies. A score that is not a number is worse than every number.
    """
    ranked = [(_rank(hit), hit.id, reply.shard, hit) for reply in replies for hit in reply.hits]
    best = heapq.nsmallest(limit, ranked, key=_without_hit)
    return tuple(Hit(hit_id, _finite(-rank), hit.body) for rank, hit_id, _, hit in best)


def _rank(hit: HitMessage) -> float:
    score = hit.score
    return math.inf if math.isnan(score) else -score


def _without_hit(item: tuple[float, str, int, HitMessage]) -> tuple[float, str, int]:
    return item[:3]


def _finite(score: float) -> float:
    """Return `score` bounded to what JSON can express."""
    return max(-1.7976931348623157e308, min(1.7976931348623157e308, score))
