"""Merging the replies of one snapshot."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable

from bramleycrank.proto.target_pb2 import Hit as HitMessage
from bramleycrank.proto.target_pb2 import SubReply
from bramleycrank.query.types import Hit


def merge_hits(replies: Iterable[SubReply], limit: int) -> tuple[Hit, ...]:
    """Return the best `limit` hits of all replies, best first.

    Hits with equal scores are ordered by id and shard, so the result does not depend
    on the order of the replies. A score that is not a number is worse than every number.
    """
    ranked = [
        (_negated_score(hit), hit.id, reply.shard, hit) for reply in replies for hit in reply.hits
    ]
    best = heapq.nsmallest(limit, ranked, key=_sort_key)
    return tuple(Hit(hit_id, _clamp_to_finite(-rank), hit.body) for rank, hit_id, _, hit in best)


def _negated_score(hit: HitMessage) -> float:
    score = hit.score
    return math.inf if math.isnan(score) else -score


def _sort_key(item: tuple[float, str, int, HitMessage]) -> tuple[float, str, int]:
    return item[:3]


def _clamp_to_finite(score: float) -> float:
    """Return `score` clamped to the finite numbers, since JSON has no infinity."""
    return max(-1.7976931348623157e308, min(1.7976931348623157e308, score))
