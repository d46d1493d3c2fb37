"""Execution of one forwarded request: sub-requests, their timing, and the final action."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterator, Sequence
from typing import Any

from bramleycrank.routing import Route
from bramleycrank.scatter.delivery import ROUND_TRIP_S
from bramleycrank.scatter.merge import trim_records
from bramleycrank.scatter.policy import ScatterPolicy
from bramleycrank.scatter.progress import Attempts, OpenSubRequest, Shard
from bramleycrank.scatter.quarantine import Canary, Verdict
from bramleycrank.scatter.stream import LATEST_STREAM_SHARE, ReplyStream
from bramleycrank.scatter.types import (
    NOT_RUN_KINDS,
    Action,
    Answer,
    Cancel,
    FailureKind,
    FinalAction,
    Forward,
    Merged,
    Part,
    Refusal,
    RefusalCause,
    ReportLosses,
    SubFailure,
    TargetReply,
)

DELIVERY_SHARE = 0.08
"""Share of the latency objective reserved for building the answer, in addition to network time."""

REFUSAL_SHARE = 0.25
"""Share of the latency objective within which a refusal leaves the caller time for another attempt.
"""

LATE_FACTOR = 2.0
"""Multiple of the objective up to which an answer that already misses it waits for more parts."""

MIN_HEDGE_RECHECK_DELAY_S = 0.01
"""Minimum delay before a hedge that could not be sent is considered again, in seconds."""

HEDGE_RECHECK_AGE_SHARE = 0.25
"""The same delay as a share of the request's age; bounds the checks when many shards are slow."""

_FAILURE_CAUSES = {
    FailureKind.REFUSED: RefusalCause.TARGETS,
    FailureKind.NOT_SENT: RefusalCause.UNSENT,
    FailureKind.WRONG_TARGET: RefusalCause.UNSENT,
}


class ScatterExecution:
    """State of one forwarded request.

    Each method that handles an event returns the actions to execute in order. The last action of
    a request determines the response to the caller; later events have no effect.

    Parameters
    ----------
    route : Route
        The route of the request.
    policy : ScatterPolicy
        Chooses targets and keeps the retry budgets.
    sub_ids : iterator of int
        Identifiers of sub-requests.
    arrived : float
        Estimated time at which the caller sent the request, in seconds.
    deadline : float
        Time at which the caller stops waiting, in seconds.
    network_s : float, optional
        Network time of the request and its answer, in seconds.
    canary : Canary, optional
        Decides whether the sub-requests may be sent together.
    sends : sequence of int, optional
        Sub-requests that another VM has sent to each service of the route; empty if none.
    rank : int, optional
        Priority rank of the customer, which goes before that of the route; 0 is the most urgent.
    """

    def __init__(
        self,
        route: Route,
        policy: ScatterPolicy,
        sub_ids: Iterator[int],
        arrived: float,
        deadline: float,
        network_s: float = ROUND_TRIP_S,
        canary: Canary | None = None,
        sends: Sequence[int] = (),
        rank: int | None = None,
    ) -> None:
        self.route = route
        self.rank = route.rank if rank is None else rank
        self.ended = False
        self.waiting: set[str] = set()  # services that wait for a target with free capacity
        self._policy = policy
        self._canary = canary or Canary(None, 0)
        self._sub_ids = sub_ids
        self._arrived = arrived
        self._deadline = min(deadline, arrived + route.timeout_s)
        services = route.services if route.gather else (route.choose_service(),)
        self._shards = [
            Shard(service, Attempts.from_route(route, count))
            for service, count in itertools.zip_longest(
                services, sends[: len(services)], fillvalue=0
            )
        ]
        self._open_subs: dict[int, tuple[Shard, OpenSubRequest]] = {}
        stream_deadline = arrived + LATEST_STREAM_SHARE * route.objective_s
        self._stream = ReplyStream(len(self._shards), stream_deadline)
        self._lost = 0
        # Lower bound of the shards' hedge times; recomputed when it has passed.
        self._next_hedge_at = math.inf
        self._may_have_run = any(sends)
        self._needed = route.needed
        objective_s = route.objective_s
        margin_s = network_s + DELIVERY_SHARE * objective_s
        # An answer that misses the objective only by its network time is still late.
        self._answer_at = arrived + max(objective_s - margin_s, objective_s / 2)
        self.refuse_by = arrived + REFUSAL_SHARE * objective_s - network_s
        if not objective_s:
            self._answer_at = math.inf

    def wait_order(self, now: float) -> tuple[bool, int, float]:
        """Return the sort key among requests that wait for the same service; the lowest goes first.

        Load pattern: sustained overload. Requests that can still meet the objective precede late
        ones, then the more urgent class precedes, then the newest: oldest first would make every
        request late.
        """
        return now >= self._answer_at, self.rank, -self._arrived

    def start(self, now: float) -> list[Action]:
        """Send the first sub-request of every service.

        Nothing is sent if too few services have targets, so that the refusal can state that the
        request has not run.
        """
        if now >= self._deadline:
            reason = "the deadline had passed on arrival"
            return self._refuse(reason, RefusalCause.EXPIRED, now)
        self._canary.begin([shard.service for shard in self._shards], now)
        if self._canary.verdict is Verdict.REFUSE:
            refusal = Refusal(
                True,
                "the request crashes targets",
                self._canary.retry_after_s,
                cause=RefusalCause.CRASHES,
            )
            return self._end_with(refusal, now)
        for shard in self._shards:
            excluded = self._excluded(shard)
            if not shard.attempts.left or not self._policy.has_targets(
                shard.service, excluded, now
            ):
                self._mark_lost(shard)
        if len(self._shards) - self._lost < self._needed:
            return self._end_without_answer(now)
        actions: list[Action] = []
        self._canary.on_start(now)
        for shard in self._shards:
            self._policy.on_request(shard.service, now)
        unsent = [shard for shard in self._shards if not shard.ended]
        if self._canary.needs_canary:
            self._canary.defer(unsent)
            self._send_canary(now, actions)
        else:
            for shard in unsent:
                self._send_or_wait(shard, now, actions)
        return actions if self.ended else [*actions, *self._end_if_settled(now)]

    def on_capacity(self, service: str, now: float) -> list[Action]:
        """Send the waiting sub-request of a service whose targets may have free capacity."""
        if self.ended:
            return []
        actions: list[Action] = []
        for shard in self._shards:
            if shard.service == service and service in self.waiting:
                self.waiting.discard(service)
                self._send_or_wait(shard, now, actions)
        self._resume_deferred(now, actions)
        return actions if self.ended else [*actions, *self._end_if_settled(now)]

    def on_reply(self, sub_id: int, reply: TargetReply, now: float) -> list[Action]:
        """Handle a complete reply of a target."""
        open_sub = self._open_subs.get(sub_id)
        if open_sub is None:
            return []
        shard, sub = open_sub
        if not reply.ok and (self.route.gather or reply.status >= 500):
            return self.on_failure(sub_id, SubFailure(FailureKind.ERROR, reply), now)
        self._remove_sub(shard, sub)
        self._may_have_run = True
        self._policy.on_reply(self.route.name, sub.target_id, reply, now - sub.sent_at, now)
        if not self.route.gather:
            self._canary.on_ran()
            return self._end_with(Answer(reply), now)
        # Other records cannot be in the answer; trimming saves memory until all shards replied.
        body = trim_records(reply.body, self.route.top_records)
        shard.part = Part(shard.service, reply.receipt, body)
        actions = self._cancel(shard, True, now)
        self._end_shard(shard)
        self._stream.on_reply(now)
        self._send_deferred(now, actions)
        return [*actions, *self._end_if_settled(now)]

    def on_failure(self, sub_id: int, failure: SubFailure, now: float) -> list[Action]:
        """Handle the failure of a sub-request."""
        open_sub = self._open_subs.get(sub_id)
        if open_sub is None:
            return []
        shard, sub = open_sub
        self._remove_sub(shard, sub)
        shard.failure = failure
        if failure.kind in NOT_RUN_KINDS:
            shard.attempts.give_back(failure.kind)
        else:
            self._may_have_run = True
        self._policy.on_failure(sub.target_id, failure, now)
        actions: list[Action] = []
        lost = failure.kind is FailureKind.LOST
        if lost and not self._canary.has_reply:
            self._canary.on_lost(shard, sub.target_id, sub.sent_at)
        elif not lost and failure.kind not in NOT_RUN_KINDS:
            self._send_deferred(now, actions)
        if not shard.open and shard not in self._canary.deferred:
            self._retry_or_mark_lost(shard, failure, now, actions)
        self._resume_deferred(now, actions)
        return [*actions, *self._end_if_settled(now)]

    def on_caller_disconnected(self, now: float) -> list[Action]:
        """Cancel all sub-requests because the caller disconnected."""
        if self.ended:
            return []
        self.ended = True
        self.waiting.clear()
        return [*self._cancel_all(now), *self._report_losses()]

    def stop(self, now: float) -> list[Action]:
        """End the request because this VM stops."""
        return [] if self.ended else self._refuse("the VM stops", RefusalCause.STOPPING, now)

    @property
    def sends(self) -> tuple[int, ...]:
        """Sub-requests that may have run at each service of the route."""
        return tuple(shard.attempts.used for shard in self._shards)

    @property
    def deadline(self) -> float:
        """Time at which the request times out, in seconds."""
        return self._deadline

    @property
    def arrived(self) -> float:
        """Estimated time at which the caller sent the request, in seconds."""
        return self._arrived

    @property
    def answer_at(self) -> float:
        """Time at which the answer must be ready for the objective, in seconds; or infinite."""
        return self._answer_at

    @property
    def needed(self) -> int:
        """Number of services whose replies the answer needs."""
        return self._needed

    @property
    def open_services(self) -> list[str]:
        """Services whose reply is missing and not given up."""
        return [shard.service for shard in self._shards if not shard.ended]

    @property
    def is_unsent(self) -> bool:
        """Whether no target works on the request or may have done so."""
        return not (self.ended or self._may_have_run or self._open_subs)

    def refuse(self, reason: str, retry_after_s: float, now: float) -> list[Action]:
        """Refuse a request that is not sent, since it would get room too late."""
        refusal = Refusal(True, reason, retry_after_s, cause=RefusalCause.ROOM)
        return self._end_with(refusal, now) if self.is_unsent else []

    def hand_over(self, now: float) -> list[Action] | None:
        """End the request at this VM, so that another one serves it with the attempts left.

        Returns
        -------
        list of Action or None
            The actions to execute; None if the request may run only here.
        """
        attempts_left = any(shard.attempts.left for shard in self._shards)
        # The other VM takes every sub-request that is counted here for one that may have run.
        repeatable = self.route.idempotent or not any(self.sends)
        if self.ended or not (repeatable and attempts_left):
            return None
        self.ended = True
        self.waiting.clear()
        return self._cancel_all(now)

    def tick(self, now: float) -> list[Action]:
        """Send hedges that are due, and end the request when its time is up."""
        if self.ended:
            return []
        if now >= self._deadline:
            return self._on_deadline(now)
        actions: list[Action] = []
        if now >= self._next_hedge_at:
            self._send_hedges(now, actions)
        return [*actions, *self._end_if_settled(now)]

    def next_deadline(self) -> float:
        """Return the time at which `tick` must be called next."""
        answer_at = self._answer_at if self._stream.count >= self._needed else math.inf
        return min(self._deadline, self._next_hedge_at, answer_at)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the progress of the request."""
        return {
            "route": self.route.name,
            "left_ms": round((self._deadline - now) * 1e3),
            "answered": self._stream.count,
            "lost": self._lost,
            "needed": self._needed,
            "waiting": sorted(self.waiting),
            "open": [sub.target_id for _, sub in self._open_subs.values()],
        }

    # Sub-requests.

    def _choose(self, shard: Shard, now: float) -> str | None:
        excluded = self._excluded(shard)
        return self._policy.choose(shard.service, excluded, now, gather=bool(self.route.gather))

    def _excluded(self, shard: Shard) -> list[str]:
        """Return the targets that must not get the next sub-request of a shard."""
        if not self.route.regions:
            return shard.tried
        return [*shard.tried, *self._policy.outside(shard.service, self.route.regions)]

    def _send_or_wait(self, shard: Shard, now: float, actions: list[Action]) -> None:
        """Send a sub-request, wait for a target with free capacity, or mark the shard as lost.

        If the shard waited after a refusal, its next sub-request is an extra one.
        """
        if not shard.attempts.left:
            self._mark_lost(shard)
            return
        target_id = self._choose(shard, now)
        if target_id is None and self._policy.has_targets(
            shard.service, self._excluded(shard), now
        ):
            self.waiting.add(shard.service)
        elif (
            target_id is None
            or not self._spend_unless_first(shard, now)
            or not self._send(shard, target_id, now, actions)
        ):
            self._mark_lost(shard)

    def _spend_unless_first(self, shard: Shard, now: float) -> bool:
        """Spend retry budget unless it is the shard's first sub-request to reach a target."""
        return shard.attempts.is_first or self._policy.spend_retry_budget(shard.service, now)

    def _send(self, shard: Shard, target_id: str, now: float, actions: list[Action]) -> bool:
        """Send a sub-request if the shard has an attempt left; return whether it was sent.

        Each path to a target ends here, so none can send to more than the route allows.
        """
        if not shard.attempts.take():
            return False
        self.waiting.discard(shard.service)
        sub = OpenSubRequest(next(self._sub_ids), target_id, now)
        shard.open.append(sub)
        shard.tried.append(target_id)
        self._open_subs[sub.sub_id] = (shard, sub)
        self._policy.on_sent(target_id, now)
        may_hedge = self._may_hedge(shard)
        shard.hedge_at = math.inf
        if may_hedge or self._canary.awaits_reply:
            route = self.route
            scarce = not route.gather and self._policy.is_budget_scarce(shard.service, now)
            delay_s = self._policy.hedge_delay(route.name, route.objective_s, scarce=scarce)
            # A slow canary is followed by a deferred shard at the time at which it would be hedged.
            self._next_hedge_at = min(self._next_hedge_at, now + delay_s)
            if may_hedge:
                shard.hedge_at = now + delay_s
        actions.append(Forward(sub.sub_id, target_id, shard.service, self._deadline))
        return True

    def _may_hedge(self, shard: Shard) -> bool:
        return self.route.idempotent and shard.attempts.left

    # Sub-requests that are sent one at a time.

    @property
    def has_reply(self) -> bool:
        """Whether a target has run the request and replied."""
        return self._canary.has_reply

    @property
    def looks_deadly(self) -> bool:
        """Whether losses without any reply are all that became of the request, more than once."""
        return not self.has_reply and (self.ended or self._canary.lost_rounds > 1)

    def _send_canary(self, now: float, actions: list[Action]) -> None:
        """Send one deferred shard, or let it wait for a target with free capacity."""
        while self._canary.deferred:
            shard = self._canary.next_deferred(self._policy.usable_targets)
            if shard.failure is None:
                self._send_or_wait(shard, now, actions)
            else:
                self._retry_or_mark_lost(shard, shard.failure, now, actions)
            if not shard.ended:
                return

    def _resume_deferred(self, now: float, actions: list[Action]) -> None:
        """Send one deferred shard if nothing is in flight, or give up after too many losses."""
        if not self._canary.deferred or self._open_subs or self.waiting:
            return
        losses = self._report_losses()
        actions += losses
        if losses and self._canary.is_exhausted():
            for shard in self._canary.take_deferred():
                self._mark_lost(shard)
        else:
            self._send_canary(now, actions)

    def _send_deferred(self, now: float, actions: list[Action]) -> None:
        """Send all deferred shards, since a target has run the request and replied."""
        if not self._canary.has_reply:
            self._next_hedge_at = now
        for shard in self._canary.on_ran():
            if shard.open or shard.ended:
                continue
            if shard.failure is None:
                self._send_or_wait(shard, now, actions)
            else:
                self._retry_or_mark_lost(shard, shard.failure, now, actions)

    def _report_losses(self) -> list[Action]:
        losses = tuple(self._canary.lost_targets)
        self._canary.lost_targets.clear()
        return [ReportLosses(losses, self._canary.first_sent_at)] if losses else []

    def _send_hedges(self, now: float, actions: list[Action]) -> None:
        """Send the hedges that are due, unless replies are still streaming in."""
        if not self._canary.has_reply:
            self._send_first_hedge(now, actions)
            return
        no_hedge_before = self._stream.next_reply_due(self._lost)
        unhedged_shards = sum(not s.ended and len(s.open) < 2 for s in self._shards)
        for shard in self._shards:
            if shard.ended or now < shard.hedge_at:
                continue
            if now < no_hedge_before:
                shard.hedge_at = no_hedge_before
            elif self._try_hedge(shard, unhedged_shards, now, actions):
                unhedged_shards -= 1
            else:
                shard.hedge_at = now + max(
                    MIN_HEDGE_RECHECK_DELAY_S, HEDGE_RECHECK_AGE_SHARE * (now - self._arrived)
                )
        self._next_hedge_at = min(
            (s.hedge_at for s in self._shards if not s.ended), default=math.inf
        )

    def _send_first_hedge(self, now: float, actions: list[Action]) -> None:
        """Send one more sub-request if no target has replied yet.

        Load pattern: all targets of the first sub-requests are silent. One hedge shows whether the
        request or the targets are the cause, before each shard sends one.
        """
        if self._canary.may_hedge():
            due = [s for s in self._shards if not s.ended and s.open and now >= s.hedge_at]
            if self._canary.deferred:
                self._send_canary(now, actions)
            elif due:
                self._try_hedge(due[0], len(due), now, actions)
        delay_s = max(MIN_HEDGE_RECHECK_DELAY_S, HEDGE_RECHECK_AGE_SHARE * (now - self._arrived))
        self._next_hedge_at = now + delay_s

    def _try_hedge(
        self, shard: Shard, unhedged_shards: int, now: float, actions: list[Action]
    ) -> bool:
        """Send a hedge if the budget and the targets allow it; return whether it was sent.

        Load pattern: many targets are slow and the retry budgets run low. The remaining budget is
        reserved for the shards that the minimum coverage still needs.
        """
        dispensable_shards = len(self._shards) - self._lost - self._needed
        scarce = self.route.gather and self._policy.is_budget_scarce(shard.service, now)
        if scarce and unhedged_shards <= dispensable_shards:
            return False
        if not self._may_hedge(shard):
            return False
        target_id = self._choose(shard, now)
        if target_id is None or not self._policy.spend_retry_budget(shard.service, now):
            return False
        return self._send(shard, target_id, now, actions)

    def _retry_or_mark_lost(
        self, shard: Shard, failure: SubFailure, now: float, actions: list[Action]
    ) -> None:
        if not self._retry(shard, failure, now, actions):
            self._mark_lost(shard)

    def _retry(self, shard: Shard, failure: SubFailure, now: float, actions: list[Action]) -> bool:
        """Retry at another target after a failure; return whether it was sent or waits.

        The retry of a sub-request that did not reach its target costs no budget.
        """
        if not shard.attempts.left:
            return False
        target_id = self._choose(shard, now)
        if target_id is None:
            not_run = failure.kind in NOT_RUN_KINDS
            if not_run and self._policy.has_targets(shard.service, self._excluded(shard), now):
                self.waiting.add(shard.service)
                return True
            return False
        free = failure.kind is FailureKind.NOT_SENT
        if not free and not self._policy.spend_retry_budget(shard.service, now):
            return False
        return self._send(shard, target_id, now, actions)

    def _remove_sub(self, shard: Shard, sub: OpenSubRequest) -> None:
        del self._open_subs[sub.sub_id]
        shard.open.remove(sub)

    def _end_shard(self, shard: Shard) -> None:
        shard.ended, shard.hedge_at = True, math.inf
        self.waiting.discard(shard.service)

    def _mark_lost(self, shard: Shard) -> None:
        self._end_shard(shard)
        self._lost += 1

    def _cancel(self, shard: Shard, superseded: bool, now: float) -> list[Action]:
        actions: list[Action] = []
        for sub in list(shard.open):
            self._remove_sub(shard, sub)
            if superseded:
                self._policy.on_superseded(self.route.name, now - sub.sent_at)
            actions.append(Cancel(sub.sub_id, sub.target_id, superseded))
        return actions

    def _cancel_all(self, now: float, *, superseded: bool = False) -> list[Action]:
        return [a for shard in self._shards for a in self._cancel(shard, superseded, now)]

    # End of the request.

    def _end_if_settled(self, now: float) -> list[Action]:
        """End the request if waiting longer is useless or not necessary."""
        if self.ended:
            return []
        total = len(self._shards)
        if total - self._lost < self._needed:
            return self._end_without_answer(now)
        if self._stream.count + self._lost == total:
            return self._end_merged(now)
        if self._stream.count < self._needed or now < self._answer_at:
            return []
        late = now > self._arrived + self.route.objective_s
        if late and now < self._arrived + LATE_FACTOR * self.route.objective_s:
            return []
        return self._end_merged(now)

    def _end_merged(self, now: float) -> list[Action]:
        parts = tuple(shard.part for shard in self._shards if shard.part is not None)
        missing = len(self._shards) - len(parts)
        return self._end_with(Merged(parts, missing, self.route.top_records), now)

    def _end_without_answer(self, now: float) -> list[Action]:
        failure = next((s.failure for s in self._shards if s.failure is not None), None)
        reply = failure.answer if failure is not None else None
        if not self.route.gather and reply is not None:
            return self._end_with(Answer(reply), now)
        return self._refuse(*self._reason(failure), now)

    def _reason(self, failure: SubFailure | None) -> tuple[str, RefusalCause]:
        """Return why there is no answer, for the log and for counts."""
        if failure is not None:
            cause = _FAILURE_CAUSES.get(failure.kind, RefusalCause.FAILED)
            return f"sub-request {failure.kind}", cause
        lost = [shard.service for shard in self._shards if shard.ended and shard.part is None]
        known = any(self._policy.knows(service) for service in lost)
        reached = any(self._policy.usable_targets(service) for service in lost)
        if known and not reached:
            return "no target can be reached", RefusalCause.UNREACHED
        if reached:
            return "no target is free", RefusalCause.ROOM
        return "no target is known", RefusalCause.NO_TARGET

    def _on_deadline(self, now: float) -> list[Action]:
        if self.route.gather and self._stream.count >= self._needed:
            return self._end_merged(now)
        return self._refuse("timeout", RefusalCause.TIMEOUT, now)

    def _refuse(self, reason: str, cause: RefusalCause, now: float) -> list[Action]:
        if self._may_have_run or self._open_subs:
            return self._end_with(Refusal(False, reason, cause=cause), now)
        missing_services = [
            s.service for s in self._shards if s.part is None and (s.ended or not s.open)
        ]
        needed_of_missing = self._needed - (len(self._shards) - len(missing_services))
        retry_after_s = self._policy.estimate_retry_after(missing_services, needed_of_missing, now)
        return self._end_with(Refusal(True, reason, retry_after_s, cause=cause), now)

    def _end_with(self, action: FinalAction, now: float) -> list[Action]:
        self.ended = True
        self.waiting.clear()
        # After a success, targets may finish the replies that are no longer needed, which keeps
        # their connections open.
        superseded = not isinstance(action, Refusal)
        return [*self._cancel_all(now, superseded=superseded), *self._report_losses(), action]
