"""Execution of one query, from planning to the merged answer."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from bramleycrank.exceptions import Cancelled, Outcome
from bramleycrank.proto.target_pb2 import (
    SUB_STATUS_DEADLINE,
    SUB_STATUS_LEAVING,
    SUB_STATUS_OK,
    SUB_STATUS_SHED,
    SUB_STATUS_SNAPSHOT_GONE,
    SubReply,
    SubRequest,
)
from bramleycrank.query.catalog import SnapshotCatalog
from bramleycrank.query.result import build_answer, build_error
from bramleycrank.query.subrequests import (
    OpenSubRequest,
    ShardState,
    choose_retry,
    dump_progress,
    shards_for,
    template,
)
from bramleycrank.query.types import (
    Action,
    CancelSub,
    Dispatch,
    Fail,
    FailureReason,
    Finish,
    MissingReason,
    NextSubId,
    QueryPolicy,
    QueryRequest,
    Snapshot,
)

MAX_RETRIES = 2
"""Retries of one shard; more would use up the retry budget of other queries."""

_HEDGE_RECHECK_SHARE = 0.25
"""Share of the hedge delay after which a hedge that got no budget is tried again."""


class QueryExecution:
    """State machine of one query: handles replies, failures and time, and returns actions.

    Parameters
    ----------
    req : QueryRequest
        The request.
    snapshot : Snapshot
        The snapshot on which the query runs.
    policy : QueryPolicy
        Chooses targets and limits extra sub-requests.
    catalog : SnapshotCatalog
        Chooses the snapshot of a restart.
    next_sub_id : callable
        Returns unique sub-request ids.
    deadline : float
        Time in seconds at which the query ends with the replies received so far.
    idempotent : bool
        Whether a sub-request may be retried although it may have run.
    hedging : bool
        Whether idempotent sub-requests may be hedged.
    pinned_version : int
        Snapshot version that the operator pinned, used for a restart; 0 for none.
    """

    def __init__(
        self,
        req: QueryRequest,
        *,
        snapshot: Snapshot,
        policy: QueryPolicy,
        catalog: SnapshotCatalog,
        next_sub_id: NextSubId,
        deadline: float,
        idempotent: bool,
        hedging: bool = True,
        pinned_version: int = 0,
    ) -> None:
        self.req = req
        self.snapshot = snapshot
        self.deadline = deadline
        self.ended = False
        self.late = 0
        self.shed = 0
        self._policy = policy
        self._catalog = catalog
        self._next_sub_id = next_sub_id
        self._idempotent = idempotent
        self._hedging = hedging and idempotent
        self._pinned_version = pinned_version
        self._open: dict[int, OpenSubRequest] = {}
        self._shards: list[ShardState] = []
        self._template = b""
        self._shards_left = 0
        self._hit_count = 0
        self._possibly_run = 0
        self._retry_after_ms = 0
        self._first_subs = self._hedges = self._retries = self._restarts = 0
        self.started_at = 0.0
        self._hedge_delay_s: float | None = None
        self._hedge_at: float | None = None

    @property
    def not_run(self) -> bool:
        """Whether it is certain that no sub-request has run."""
        return self._possibly_run == 0

    @property
    def dispatched(self) -> bool:
        """Whether any sub-request was dispatched."""
        return self._first_subs > 0

    @property
    def counts(self) -> tuple[int, int, int, int]:
        """Numbers of first sub-requests, hedges, retries and restarts."""
        return self._first_subs, self._hedges, self._retries, self._restarts

    def start(self, now: float) -> list[Action]:
        """Dispatch the first sub-requests."""
        self.started_at = now
        if now >= self.deadline:
            return self._end(now, MissingReason.TIMEOUT)
        return self._send_first_subs(now)

    def _send_first_subs(self, now: float) -> list[Action]:
        """Send the first sub-request of every shard of the current snapshot."""
        req, snapshot = self.req, self.snapshot
        service, choose, out = req.service, self._policy.choose, []
        self._shards = [ShardState(index) for index in shards_for(req, snapshot)]
        self._shards_left, self._hit_count = len(self._shards), 0
        # All targets are chosen before anything is sent: a query that does not allow a partial
        # answer and lacks a replica fails without having run.
        choices = [(s, choose(service, snapshot, s.index, (), now)) for s in self._shards]
        if not self._can_start(sum(target_id is None for _, target_id in choices)):
            for shard in self._shards:
                shard.reason = MissingReason.NO_REPLICA
            return self._end(now)
        fields = template(req, snapshot)
        fields.timeout_ms = self._timeout_ms(now)
        self._template = fields.SerializeToString()
        for shard, target_id in choices:
            if target_id is None:
                self._mark_missing(shard, MissingReason.NO_REPLICA)
            else:
                self._send(shard, target_id, True, now, out)
        self._schedule_hedges(now)
        return out

    def _can_start(self, missing: int) -> bool:
        if missing == len(self._shards):
            return False
        return not missing or self.req.allow_partial

    def _timeout_ms(self, now: float) -> int:
        return max(1, int((self.deadline - now) * 1000))

    def _send(
        self, shard: ShardState, target_id: str, first: bool, now: float, out: list[Action]
    ) -> None:
        sub_id = self._next_sub_id()
        request = SubRequest.FromString(self._template)  # faster than copying the message
        request.sub_id = sub_id
        request.shard = shard.index
        sub = OpenSubRequest(sub_id, shard, target_id, now, first)
        self._open[sub_id] = sub
        shard.open.append(sub)
        shard.tried.append(target_id)
        self._possibly_run += 1
        if first:
            self._first_subs += 1
        else:
            request.timeout_ms = self._timeout_ms(now)
        self._policy.on_sent(self.req.service, target_id, first, now)
        out.append(Dispatch(target_id, request))

    def on_reply(self, reply: SubReply, now: float) -> list[Action]:
        """Handle a reply; a reply to an unknown or ended sub-request is only counted."""
        sub = self._open.get(reply.sub_id)
        if sub is None:
            self.late += 1
            return []
        status = reply.status
        if status != SUB_STATUS_OK:
            return self._on_refusal(sub, reply, now)
        computed = reply.snapshot
        if (
            computed.version != self.snapshot.version
            or computed.shard_count != self.snapshot.shard_count
            or reply.shard != sub.shard.index
        ):
            self._remove_open(sub)
            self._policy.on_failure(self.req.service, sub.target_id, now)
            return self._retry(sub, MissingReason.SNAPSHOT_MISMATCH, False, now)
        return self._accept(sub, reply, now)

    def _remove_open(self, sub: OpenSubRequest) -> None:
        del self._open[sub.sub_id]
        sub.shard.open.remove(sub)

    def _accept(self, sub: OpenSubRequest, reply: SubReply, now: float) -> list[Action]:
        shard, out = sub.shard, []
        self._remove_open(sub)
        self._policy.on_reply(self.req.service, sub.target_id, now - sub.sent_at, sub.first, now)
        shard.reply, shard.ended, shard.reason = reply, True, None
        self._shards_left -= 1
        if shard.open:
            self._cancel(list(shard.open), True, now, out)
        if self._shards_left == 0:
            return out + self._end(now)
        if self.req.kind == "quick_match" and self.req.allow_partial:
            self._hit_count += len(reply.hits)
            if self._hit_count >= self.req.limit:
                return out + self._end(now, MissingReason.EARLY_END)
        return out

    def _cancel(
        self, subs: Collection[OpenSubRequest], superseded: bool, now: float, out: list[Action]
    ) -> None:
        for sub in subs:
            self._remove_open(sub)
            elapsed = now - sub.sent_at if superseded else 0.0
            self._policy.on_cancelled(self.req.service, sub.target_id, elapsed, sub.first, now)
            out.append(CancelSub(sub.sub_id, sub.target_id))

    def _on_refusal(self, sub: OpenSubRequest, reply: SubReply, now: float) -> list[Action]:
        self._remove_open(sub)
        service, target_id, status = self.req.service, sub.target_id, reply.status
        if status == SUB_STATUS_SHED:
            self._possibly_run -= 1
            self.shed += 1
            self._retry_after_ms = max(self._retry_after_ms, reply.retry_after_ms)
            self._policy.on_shed(service, target_id, now)
            return self._retry(sub, MissingReason.SHED, True, now)
        if status in (SUB_STATUS_SNAPSHOT_GONE, SUB_STATUS_LEAVING):
            self._possibly_run -= 1
            missing_from = self.snapshot if status == SUB_STATUS_SNAPSHOT_GONE else None
            self._policy.on_replica_gone(service, target_id, missing_from, sub.shard.index, now)
            self._catalog.remove_replica(service, target_id, missing_from, sub.shard.index, now)
            return self._retry(sub, MissingReason.NO_REPLICA, True, now, free=True)
        self._policy.on_failure(service, target_id, now)
        timed_out = status == SUB_STATUS_DEADLINE
        reason = MissingReason.TIMEOUT if timed_out else MissingReason.FAILED
        return self._retry(sub, reason, False, now)

    def on_failure(self, sub_id: int, reason: str, now: float) -> list[Action]:
        """Handle a sub-request that ended without a reply."""
        sub = self._open.get(sub_id)
        if sub is None:
            self.late += 1
            return []
        self._remove_open(sub)
        proved_not_run = reason == FailureReason.NOT_SENT
        self._possibly_run -= proved_not_run
        self._policy.on_failure(self.req.service, sub.target_id, now)
        if reason == FailureReason.CONNECTION_LOST and not sub.shard.retries:
            sub.shard.lost.append(sub.target_id)
        return self._retry(sub, MissingReason.FAILED, proved_not_run, now, free=proved_not_run)

    def _retry(
        self,
        sub: OpenSubRequest,
        reason: MissingReason,
        proved_not_run: bool,
        now: float,
        free: bool = False,
    ) -> list[Action]:
        """Retry the shard, restart the query, or mark the shard as missing.

        A retry is `free` of the retry budget if the failed sub-request caused no work at a target,
        since the budget bounds the load on targets. Without this exception the simultaneous loss of
        many replicas used up the budget, and shards were missing although other replicas were
        idle.
        """
        shard, out = sub.shard, []
        shard.reason = reason
        if shard.open:
            return out
        service, choose = self.req.service, self._policy.choose
        if (
            (self._idempotent or proved_not_run)
            and shard.retries < MAX_RETRIES
            and now < self.deadline
        ):
            target_id = choose_retry(
                shard, lambda tried: choose(service, self.snapshot, shard.index, tried, now)
            )
            if target_id is not None and (free or self._policy.acquire_retry(service)):
                shard.retries += 1
                self._retries += 1
                self._send(shard, target_id, False, now, out)
                if self._hedge_delay_s is not None:
                    due = now + self._hedge_delay_s
                    self._hedge_at = due if self._hedge_at is None else min(self._hedge_at, due)
                return out
        no_replica = choose(service, self.snapshot, shard.index, (), now) is None
        if no_replica and self._can_restart(now):
            return self._restart(now)
        self._mark_missing(shard, reason)
        if not self.req.allow_partial or self._shards_left == 0:
            return out + self._end(now)
        return out

    def _mark_missing(self, shard: ShardState, reason: MissingReason) -> None:
        shard.ended, shard.reason = True, reason
        self._shards_left -= 1

    def _can_restart(self, now: float) -> bool:
        """Return whether a newer snapshot exists and half of the original time is left."""
        if self._restarts or not (self._idempotent or self.not_run):
            return False
        if (self.deadline - now) * 2 < self.deadline - self.started_at:
            return False
        newer = self._catalog.choose(self.req.service, self._pinned_version, now)
        return newer is not None and newer > self.snapshot

    def _restart(self, now: float) -> list[Action]:
        """Discard all replies and start again on the newest snapshot."""
        out: list[Action] = []
        self._cancel(list(self._open.values()), False, now, out)
        newer = self._catalog.choose(self.req.service, self._pinned_version, now)
        assert newer is not None
        self.snapshot = newer
        self._restarts += 1
        return out + self._send_first_subs(now)

    def _schedule_hedges(self, now: float) -> None:
        self._hedge_at = None
        if self._hedging:
            self._hedge_delay_s = self._policy.hedge_delay(self.req.service)
            if self._hedge_delay_s is not None:
                self._hedge_at = now + self._hedge_delay_s

    def tick(self, now: float) -> list[Action]:
        """Send due hedges and end the query at its deadline."""
        if self.ended:
            return []
        if now >= self.deadline:
            return self._end(now, MissingReason.TIMEOUT)
        out: list[Action] = []
        if self._hedge_at is not None and now >= self._hedge_at:
            self._send_due_hedges(now, out)
        return out

    def _send_due_hedges(self, now: float, out: list[Action]) -> None:
        """Hedge each sub-request that is open for the hedge delay, oldest first."""
        delay = self._hedge_delay_s or 0.0
        next_due: float | None = None
        allowed = True
        for sub in list(self._open.values()):
            shard = sub.shard
            if shard.hedged or len(shard.open) > 1:
                continue
            due = sub.sent_at + delay
            if due <= now:
                allowed = allowed and self._try_hedge(shard, now, out)
                if allowed:
                    continue
                due = now + max(delay * _HEDGE_RECHECK_SHARE, 1e-3)
            next_due = due if next_due is None else min(next_due, due)
        self._hedge_at = next_due

    def _try_hedge(self, shard: ShardState, now: float, out: list[Action]) -> bool:
        """Send a hedge if an untried replica is left; return False if the budget is used up."""
        service = self.req.service
        target_id = self._policy.choose(service, self.snapshot, shard.index, shard.tried, now)
        if target_id is not None:
            if not self._policy.acquire_hedge(service):
                return False
            self._hedges += 1
            self._send(shard, target_id, False, now, out)
        shard.hedged = True
        return True

    def cancel(self, now: float) -> list[Action]:
        """End the query because the caller disconnected."""
        if self.ended:
            return []
        outcome = Outcome.NOT_RUN if self.not_run else Outcome.UNKNOWN
        return [*self._cancel_all(now, False), Fail(Cancelled(outcome=outcome))]

    def _end(self, now: float, open_reason: MissingReason | None = None) -> list[Action]:
        """End the query with the replies so far; `open_reason` is why open shards are missing."""
        for shard in self._shards:
            if not shard.ended and open_reason is not None:
                shard.reason = open_reason
        out = self._cancel_all(now, open_reason == MissingReason.TIMEOUT)
        replies = [shard.reply for shard in self._shards if shard.reply is not None]
        if replies and (self.req.allow_partial or len(replies) == len(self._shards)):
            return [*out, Finish(build_answer(self.req, self.snapshot, self._shards, self.counts))]
        outcome = Outcome.NOT_RUN if self.not_run else Outcome.UNKNOWN
        late = open_reason == MissingReason.TIMEOUT
        return [*out, Fail(build_error(self._shards, late, outcome, self._retry_after_ms))]

    def _cancel_all(self, now: float, superseded: bool) -> list[Action]:
        self.ended = True
        out: list[Action] = []
        self._cancel(list(self._open.values()), superseded, now, out)
        return out

    def next_deadline(self) -> float | None:
        """Return when `tick` is due next; None once the query has ended."""
        if self.ended:
            return None
        hedge_at = self._hedge_at
        return self.deadline if hedge_at is None else min(hedge_at, self.deadline)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the progress of the query."""
        left_ms = round((self.deadline - now) * 1e3)
        return {**dump_progress(self.req, self.snapshot, self._shards), "left_ms": left_ms}
