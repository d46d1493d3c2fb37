"""One query from plan to merged answer."""

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
    ShardState,
    Sub,
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
"""Retries of one shard; more would only eat the budget of other queries."""

_HEDGE_RECHECK = 0.25
"""Part of the hedge delay after which a hedge without budget is tried again."""


class QueryExecution:
    """One query; takes replies, failures and time, and returns actions.

    Parameters
    ----------
    req : QueryRequest
        The request.
    snapshot : Snapshot
        Snapshot to run on.
    idempotent, hedging : bool
        Whether sub-requests may be repeated without proof, and hedged.
    pinned_version : int
        The operator's pin, for a restart; 0 for none.
    deadline : float
        Time at which the query ends with what it has.
    next_sub_id : callable
        Returns ids that were never used before.
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
        self._open: dict[int, Sub] = {}
        self._shards: list[ShardState] = []
        self._template = b""
        self._left = 0
        self._hits = 0
        self._unproven = 0
        self._retry_after_ms = 0
        self._first = self._hedges = self._retries = self._restarts = 0
        self.started_at = 0.0
        self._hedge_delay: float | None = None
        self._hedge_at: float | None = None

    @property
    def not_run(self) -> bool:
        """Whether every sub-request is proved not to have run."""
        return self._unproven == 0

    @property
    def dispatched(self) -> bool:
        """Whether any sub-request was handed out for sending."""
        return self._first > 0

    @property
    def counts(self) -> tuple[int, int, int, int]:
        """First sub-requests, hedges, retries and restarts."""
        return self._first, self._hedges, self._retries, self._restarts

    def start(self, now: float) -> list[Action]:
        """Plan and dispatch the query."""
        self.started_at = now
        if now >= self.deadline:
            return self._end(now, MissingReason.TIMEOUT)
        return self._begin(now)

    def _begin(self, now: float) -> list[Action]:
        """Send the first sub-request of every shard of the current snapshot."""
        req, snapshot = self.req, self.snapshot
        service, choose, out = req.service, self._policy.choose, []
        self._shards = [ShardState(index) for index in shards_for(req, snapshot)]
        self._left, self._hits = len(self._shards), 0
        # Nothing is sent before all shards are planned: a query that cannot be complete and must
        # be is refused without having run.
        planned = [(s, choose(service, snapshot, s.index, (), now)) for s in self._shards]
        if not self._can_begin(sum(target_id is None for _, target_id in planned)):
            for shard in self._shards:
                shard.reason = MissingReason.NO_REPLICA
            return self._end(now)
        fields = template(req, snapshot)
        fields.timeout_ms = self._timeout_ms(now)
        self._template = fields.SerializeToString()
        for shard, target_id in planned:
            if target_id is None:
                self._miss(shard, MissingReason.NO_REPLICA)
            else:
                self._send(shard, target_id, True, now, out)
        self._arm_hedges(now)
        return out

    def _can_begin(self, unplanned: int) -> bool:
        if unplanned == len(self._shards):
            return False
        return not unplanned or self.req.allow_partial

    def _timeout_ms(self, now: float) -> int:
        return max(1, int((self.deadline - now) * 1000))

    def _send(
        self, shard: ShardState, target_id: str, first: bool, now: float, out: list[Action]
    ) -> None:
        sub_id = self._next_sub_id()
        request = SubRequest.FromString(self._template)  # cheaper than a copy of the message
        request.sub_id = sub_id
        request.shard = shard.index
        sub = Sub(sub_id, shard, target_id, now, first)
        self._open[sub_id] = sub
        shard.open.append(sub)
        shard.tried.append(target_id)
        self._unproven += 1
        if first:
            self._first += 1
        else:
            request.timeout_ms = self._timeout_ms(now)
        self._policy.on_sent(self.req.service, target_id, first, now)
        out.append(Dispatch(target_id, request))

    def on_reply(self, reply: SubReply, now: float) -> list[Action]:
        """Handle a reply; one to an unknown or ended sub-request is only counted."""
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
            self._close(sub)
            self._policy.on_failure(self.req.service, sub.target_id, now)
            return self._retry(sub, MissingReason.SNAPSHOT_MISMATCH, False, now)
        return self._accept(sub, reply, now)

    def _close(self, sub: Sub) -> None:
        del self._open[sub.sub_id]
        sub.shard.open.remove(sub)

    def _accept(self, sub: Sub, reply: SubReply, now: float) -> list[Action]:
        shard, out = sub.shard, []
        self._close(sub)
        self._policy.on_reply(self.req.service, sub.target_id, now - sub.sent_at, sub.first, now)
        shard.reply, shard.ended, shard.reason = reply, True, None
        self._left -= 1
        if shard.open:
            self._cancel(list(shard.open), True, now, out)
        if self._left == 0:
            return out + self._end(now)
        if self.req.kind == "quick_match" and self.req.allow_partial:
            self._hits += len(reply.hits)
            if self._hits >= self.req.limit:
                return out + self._end(now, MissingReason.EARLY_END)
        return out

    def _cancel(
        self, subs: Collection[Sub], superseded: bool, now: float, out: list[Action]
    ) -> None:
        for sub in subs:
            self._close(sub)
            elapsed = now - sub.sent_at if superseded else 0.0
            self._policy.on_cancelled(self.req.service, sub.target_id, elapsed, sub.first, now)
            out.append(CancelSub(sub.sub_id, sub.target_id))

    def _on_refusal(self, sub: Sub, reply: SubReply, now: float) -> list[Action]:
        self._close(sub)
        service, target_id, status = self.req.service, sub.target_id, reply.status
        if status == SUB_STATUS_SHED:
            self._unproven -= 1
            self.shed += 1
            self._retry_after_ms = max(self._retry_after_ms, reply.retry_after_ms)
            self._policy.on_shed(service, target_id, now)
            return self._retry(sub, MissingReason.SHED, True, now)
        if status in (SUB_STATUS_SNAPSHOT_GONE, SUB_STATUS_LEAVING):
            self._unproven -= 1
            gone = self.snapshot if status == SUB_STATUS_SNAPSHOT_GONE else None
            self._policy.on_gone(service, target_id, gone, sub.shard.index, now)
            self._catalog.mark_gone(service, target_id, gone, sub.shard.index, now)
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
        self._close(sub)
        proved = reason == FailureReason.NOT_SENT
        self._unproven -= proved
        self._policy.on_failure(self.req.service, sub.target_id, now)
        if reason == FailureReason.CONNECTION_LOST and not sub.shard.retries:
            sub.shard.lost.append(sub.target_id)
        return self._retry(sub, MissingReason.FAILED, proved, now, free=proved)

    def _retry(
        self, sub: Sub, reason: MissingReason, proved: bool, now: float, free: bool = False
    ) -> list[Action]:
        """Send the shard's sub-request again, restart the query, or give the shard up.

        A retry is `free` where the first attempt cost no target any work. The budget bounds the
        load on targets; without this exception the loss of many replicas at once used it up, and
        shards were given up although other replicas were idle.
        """
        shard, out = sub.shard, []
        shard.reason = reason
        if shard.open:
            return out
        service, choose = self.req.service, self._policy.choose
        if (self._idempotent or proved) and shard.retries < MAX_RETRIES and now < self.deadline:
            target_id = choose_retry(
                shard, lambda tried: choose(service, self.snapshot, shard.index, tried, now)
            )
            if target_id is not None and (free or self._policy.take_retry(service)):
                shard.retries += 1
                self._retries += 1
                self._send(shard, target_id, False, now, out)
                if self._hedge_delay is not None:
                    due = now + self._hedge_delay
                    self._hedge_at = due if self._hedge_at is None else min(self._hedge_at, due)
                return out
        vanished = choose(service, self.snapshot, shard.index, (), now) is None
        if vanished and self._can_restart(now):
            return self._restart(now)
        self._miss(shard, reason)
        if not self.req.allow_partial or self._left == 0:
            return out + self._end(now)
        return out

    def _miss(self, shard: ShardState, reason: MissingReason) -> None:
        shard.ended, shard.reason = True, reason
        self._left -= 1

    def _can_restart(self, now: float) -> bool:
        """Whether a newer snapshot exists and half of the original deadline is left."""
        if self._restarts or not (self._idempotent or self.not_run):
            return False
        if (self.deadline - now) * 2 < self.deadline - self.started_at:
            return False
        newer = self._catalog.choose(self.req.service, self._pinned_version, now)
        return newer is not None and newer > self.snapshot

    def _restart(self, now: float) -> list[Action]:
        """Drop all replies and begin again on the newest snapshot."""
        out: list[Action] = []
        self._cancel(list(self._open.values()), False, now, out)
        newer = self._catalog.choose(self.req.service, self._pinned_version, now)
        assert newer is not None
        self.snapshot = newer
        self._restarts += 1
        return out + self._begin(now)

    def _arm_hedges(self, now: float) -> None:
        self._hedge_at = None
        if self._hedging:
            self._hedge_delay = self._policy.hedge_delay(self.req.service)
            if self._hedge_delay is not None:
                self._hedge_at = now + self._hedge_delay

    def tick(self, now: float) -> list[Action]:
        """Send due hedges and end the query at its deadline."""
        if self.ended:
            return []
        if now >= self.deadline:
            return self._end(now, MissingReason.TIMEOUT)
        out: list[Action] = []
        if self._hedge_at is not None and now >= self._hedge_at:
            self._hedge(now, out)
        return out

    def _hedge(self, now: float, out: list[Action]) -> None:
        """Hedge every sub-request that has waited long enough, oldest first."""
        delay = self._hedge_delay or 0.0
        due_next: float | None = None
        allowed = True
        for sub in list(self._open.values()):
            shard = sub.shard
            if shard.hedged or len(shard.open) > 1:
                continue
            due = sub.sent_at + delay
            if due <= now:
                allowed = allowed and self._hedge_one(shard, now, out)
                if allowed:
                    continue
                due = now + max(delay * _HEDGE_RECHECK, 1e-3)
            due_next = due if due_next is None else min(due_next, due)
        self._hedge_at = due_next

    def _hedge_one(self, shard: ShardState, now: float, out: list[Action]) -> bool:
        """Send a hedge if another replica is left; False if the budget is used up."""
        service = self.req.service
        target_id = self._policy.choose(service, self.snapshot, shard.index, shard.tried, now)
        if target_id is not None:
            if not self._policy.take_hedge(service):
                return False
            self._hedges += 1
            self._send(shard, target_id, False, now, out)
        shard.hedged = True
        return True

    def cancel(self, now: float) -> list[Action]:
        """End the query because the caller went away."""
        if self.ended:
            return []
        outcome = Outcome.NOT_RUN if self.not_run else Outcome.UNKNOWN
        return [*self._stop(now, False), Fail(Cancelled(outcome=outcome))]

    def _end(self, now: float, open_reason: MissingReason | None = None) -> list[Action]:
        """End the query with what it has; open shards are missing for `open_reason`."""
        for shard in self._shards:
            if not shard.ended and open_reason is not None:
                shard.reason = open_reason
        out = self._stop(now, open_reason == MissingReason.TIMEOUT)
        replies = [shard.reply for shard in self._shards if shard.reply is not None]
        if replies and (self.req.allow_partial or len(replies) == len(self._shards)):
            return [*out, Finish(build_answer(self.req, self.snapshot, self._shards, self.counts))]
        outcome = Outcome.NOT_RUN if self.not_run else Outcome.UNKNOWN
        late = open_reason == MissingReason.TIMEOUT
        return [*out, Fail(build_error(self._shards, late, outcome, self._retry_after_ms))]

    def _stop(self, now: float, superseded: bool) -> list[Action]:
        self.ended = True
        out: list[Action] = []
        self._cancel(list(self._open.values()), superseded, now, out)
        return out

    def next_deadline(self) -> float | None:
        """Return the time of the next tick; None once the query has ended."""
        if self.ended:
            return None
        hedge_at = self._hedge_at
        return self.deadline if hedge_at is None else min(hedge_at, self.deadline)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the progress of the query."""
        left_ms = round((self.deadline - now) * 1e3)
        return {**dump_progress(self.req, self.snapshot, self._shards), "left_ms": left_ms}
