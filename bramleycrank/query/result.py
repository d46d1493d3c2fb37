"""Construction of the answer or error of a query."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from bramleycrank.exceptions import (
    BramleycrankError,
    DeadlineExceeded,
    IncompleteCoverage,
    NoTargets,
    Outcome,
    TargetFailed,
)
from bramleycrank.query.merge import merge_hits
from bramleycrank.query.subrequests import ShardState
from bramleycrank.query.types import (
    READ_KINDS,
    Answer,
    Attempts,
    Coverage,
    MissingReason,
    MissingShard,
    QueryRequest,
    Snapshot,
)

DEFAULT_RETRY_AFTER_MS = 1000
"""Retry-after where no target gave one; targets send a renewal every 2 s."""


def build_answer(
    req: QueryRequest,
    snapshot: Snapshot,
    shards: Sequence[ShardState],
    counts: tuple[int, int, int, int],
) -> Answer:
    """Return the merged answer.

    The `counts` are the numbers of first sub-requests, hedges, retries and restarts.
    """
    replies = [shard.reply for shard in shards if shard.reply is not None]
    missing = tuple(
        MissingShard(shard.index, shard.reason or MissingReason.FAILED)
        for shard in shards
        if shard.reply is None
    )
    first, hedges, retries, restarts = counts
    if req.kind in READ_KINDS:
        result = merge_hits(replies, req.limit)
    else:
        result = replies[0].payload.decode(errors="replace")
    return Answer(
        outcome="partial" if missing else "complete",
        result=result,
        snapshot=snapshot,
        coverage=Coverage(len(replies), len(shards), missing),
        attempts=Attempts(len(shards), first + hedges + retries, hedges, retries, restarts),
        request_key=req.request_key,
    )


def build_error(
    shards: Sequence[ShardState], deadline_passed: bool, outcome: Outcome, retry_after_ms: int
) -> BramleycrankError:
    """Return the error of a query that lacks the replies for an answer."""
    reasons = Counter(shard.reason for shard in shards if shard.reply is None and shard.reason)
    if outcome is Outcome.NOT_RUN:
        retry_after_ms = retry_after_ms or DEFAULT_RETRY_AFTER_MS
    if deadline_passed:
        return DeadlineExceeded(outcome=outcome, retry_after_ms=retry_after_ms)
    reason_counts = ", ".join(f"{count} {reason}" for reason, count in sorted(reasons.items()))
    if len(shards) == reasons.total() and MissingReason.SHED not in reasons:
        # Unreachable targets count as missing.
        if outcome is Outcome.NOT_RUN:
            return NoTargets(outcome=outcome, retry_after_ms=retry_after_ms)
        if set(reasons) != {MissingReason.NO_REPLICA}:
            return TargetFailed(f"No shard answered: {reason_counts}.", outcome=outcome)
    return IncompleteCoverage(
        f"Shards without an answer: {reason_counts}.",
        outcome=outcome,
        retry_after_ms=retry_after_ms,
    )
