"""Execution of one forwarded request: which targets are asked, when, and what the caller gets."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any

from bramleycrank.routing import Route
from bramleycrank.scatter.delivery import ROUND_TRIP_S
from bramleycrank.scatter.merge import trim_records
from bramleycrank.scatter.policy import ScatterPolicy
from bramleycrank.scatter.progress import Shard, Sub
from bramleycrank.scatter.stream import LATEST_STREAM_SHARE, AnswerStream
from bramleycrank.scatter.types import (
    NOT_RUN_KINDS,
    Action,
    Answer,
    Cancel,
    FailureKind,
    Forward,
    Give,
    Merged,
    Part,
    Refusal,
    SubFailure,
    TargetAnswer,
)

DELIVERY_SHARE = 0.08
"""Part of the latency objective that is kept besides the way, for the work on the answer."""

LATE_FACTOR = 2.0
"""Multiple of the objective up to which an answer that is late already waits for missing parts."""

RECHECK_S = 0.01
"""Least time until a hedge that was not sent is considered again, in seconds."""

RECHECK_SHARE = 0.25
"""The same as a part of the time since the request came; many shards may wait for long."""

MAX_REFUSED = 2
"""Refusals for a shard that cost no attempt; more would keep full targets busy refusing."""


class ScatterExecution:
    """State of one forwarded request.

    Each method that takes an event returns the actions to execute in order. The last action of a
    request is what the caller gets; events after it change nothing.

    Parameters
    ----------
    route : Route
        The route of the request.
    policy : ScatterPolicy
        Chooses targets and keeps the budgets.
    sub_ids : iterator of int
        Identifiers of sub-requests.
    arrived : float
        When the caller sent the request as far as it is known, in seconds.
    deadline : float
        Time at which the caller stops waiting, in seconds.
    way_s : float, optional
        Time that the request and its answer travel, in seconds.
    """

    def __init__(
        self,
        route: Route,
        policy: ScatterPolicy,
        sub_ids: Iterator[int],
        arrived: float,
        deadline: float,
        way_s: float = ROUND_TRIP_S,
    ) -> None:
        self.route = route
        self.ended = False
        self.waiting: set[str] = set()  # services whose sub-request waits for a target with room
        self._policy = policy
        self._sub_ids = sub_ids
        self._arrived = arrived
        self._deadline = min(deadline, arrived + route.timeout_s)
        services = route.services if route.gather else (route.choose_service(),)
        self._shards = [Shard(service) for service in services]
        self._subs: dict[int, tuple[Shard, Sub]] = {}
        latest_stream = arrived + LATEST_STREAM_SHARE * route.objective_s
        self._stream = AnswerStream(len(self._shards), latest_stream)
        self._lost = 0
        # No hedge is due before; a later time of a single shard shows at the next tick.
        self._next_hedge_at = math.inf
        self._ran = False
        self._needed = route.needed
        objective_s = route.objective_s
        margin_s = way_s + DELIVERY_SHARE * objective_s
        # An answer that misses the objective by the way to the caller is as late as a later one.
        self._give_at = arrived + max(objective_s - margin_s, objective_s / 2)
        if not objective_s:
            self._give_at = math.inf

    def wait_order(self, now: float) -> tuple[bool, int, float]:
        """Return the place among requests that wait for the same service; the lowest goes first.

        Load pattern: demand above capacity for some time. Those that can still be on time go before
        those that are late already, urgent ones before others, and the newest first: with the
        oldest first all of them would be served, but late.
        """
        return now >= self._give_at, self.route.rank, -self._arrived

    def start(self, now: float) -> list[Action]:
        """Send the first sub-request of every service.

        Nothing is sent if the answer cannot be had, so that the refusal can say "not run".
        """
        if now >= self._deadline:
            return self._refuse("the deadline had passed on arrival", now)
        for shard in self._shards:
            if not self._policy.has_targets(shard.service, (), now):
                self._lose(shard)
        if len(self._shards) - self._lost < self._needed:
            return self._give_up(now)
        out: list[Action] = []
        for shard in self._shards:
            self._policy.on_request(shard.service, now)
            if not shard.ended:
                self._send_first(shard, now, out)
        return out if self.ended else [*out, *self._settle(now)]

    def on_room(self, service: str, now: float) -> list[Action]:
        """Send a sub-request that waits, because a target of its service may have room."""
        out: list[Action] = []
        for shard in self._shards:
            if shard.service == service and service in self.waiting:
                self.waiting.discard(service)
                self._send_first(shard, now, out)
        return out if self.ended else [*out, *self._settle(now)]

    def on_answer(self, sub_id: int, answer: TargetAnswer, now: float) -> list[Action]:
        """Take a whole answer of a target."""
        found = self._subs.get(sub_id)
        if found is None:
            return []
        shard, sub = found
        if not answer.ok and (self.route.gather or answer.status >= 500):
            return self.on_failure(sub_id, SubFailure(FailureKind.ERROR, answer), now)
        self._close(shard, sub)
        self._ran = True
        self._policy.on_answer(self.route.name, sub.target_id, answer, now - sub.sent_at, now)
        if not self.route.gather:
            return self._give(Answer(answer), now)
        # No more of a part can be in the answer, and parts wait in memory for the other shards.
        body = trim_records(answer.body, self.route.top_records)
        shard.part = Part(shard.service, answer.receipt, body)
        out = self._cancel(shard, True, now)
        self._end(shard)
        self._stream.on_answer(now)
        return [*out, *self._settle(now)]

    def on_failure(self, sub_id: int, failure: SubFailure, now: float) -> list[Action]:
        """Take the failure of a sub-request."""
        found = self._subs.get(sub_id)
        if found is None:
            return []
        shard, sub = found
        self._close(shard, sub)
        shard.failure = failure
        self._ran |= failure.kind not in NOT_RUN_KINDS
        self._policy.on_failure(sub.target_id, failure, now)
        if shard.open:
            return []
        out: list[Action] = []
        if not self._retry(shard, failure, now, out):
            self._lose(shard)
        return [*out, *self._settle(now)]

    def on_caller_gone(self, now: float) -> list[Action]:
        """Cancel everything, because nobody waits for the answer any more."""
        if self.ended:
            return []
        self.ended = True
        return self._cancel_all(now)

    def tick(self, now: float) -> list[Action]:
        """Send due hedges, and give what there is when its time has come."""
        if self.ended:
            return []
        if now >= self._deadline:
            return self._on_deadline(now)
        out: list[Action] = []
        if now >= self._next_hedge_at:
            self._send_hedges(now, out)
        return [*out, *self._settle(now)]

    def next_deadline(self) -> float:
        """Return when `tick` has something to do."""
        give_at = self._give_at if self._stream.count >= self._needed else math.inf
        return min(self._deadline, self._next_hedge_at, give_at)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the progress of the request."""
        return {
            "route": self.route.name,
            "left_ms": round((self._deadline - now) * 1e3),
            "answered": self._stream.count,
            "lost": self._lost,
            "needed": self._needed,
            "waiting": sorted(self.waiting),
            "open": [sub.target_id for _, sub in self._subs.values()],
        }

    # Sub-requests.

    def _send_first(self, shard: Shard, now: float, out: list[Action]) -> None:
        """Send, wait for a target with room, or give the shard up.

        A shard that waited behind a refusal has sent before, so its next one is an extra one.
        """
        target_id = self._policy.choose(shard.service, shard.tried, now)
        if target_id is None and self._policy.has_targets(shard.service, shard.tried, now):
            self.waiting.add(shard.service)
        elif target_id is None or not self._may_send(shard, now):
            self._lose(shard)
        else:
            self._send(shard, target_id, now, out)

    def _may_send(self, shard: Shard, now: float) -> bool:
        """Take budget, unless it is the first sub-request of the shard that reaches a target."""
        first = not shard.sends and not shard.refused
        return first or self._policy.take_extra(shard.service, now)

    def _send(self, shard: Shard, target_id: str, now: float, out: list[Action]) -> None:
        sub = Sub(next(self._sub_ids), target_id, now)
        shard.open.append(sub)
        shard.tried.append(target_id)
        shard.sends += 1
        self._subs[sub.sub_id] = (shard, sub)
        self._policy.on_sent(target_id, now)
        if self._may_hedge(shard):
            route = self.route
            scarce = not route.gather and self._policy.is_scarce(shard.service, now)
            delay_s = self._policy.hedge_delay(route.name, route.objective_s, scarce=scarce)
            shard.hedge_at = now + delay_s
            self._next_hedge_at = min(self._next_hedge_at, shard.hedge_at)
        else:
            shard.hedge_at = math.inf
        out.append(Forward(sub.sub_id, target_id, shard.service, self._deadline))

    def _may_hedge(self, shard: Shard) -> bool:
        return self.route.idempotent and shard.sends < self.route.max_targets

    def _send_hedges(self, now: float, out: list[Action]) -> None:
        """Ask second targets for the shards that are due, as far as it is worth them."""
        stream_until = self._stream.until(self._lost)
        unaided = sum(not s.ended and len(s.open) < 2 for s in self._shards)
        for shard in self._shards:
            if shard.ended or now < shard.hedge_at:
                continue
            if now < stream_until:
                shard.hedge_at = stream_until
            elif self._hedge(shard, unaided, now, out):
                unaided -= 1
            else:
                shard.hedge_at = now + max(RECHECK_S, RECHECK_SHARE * (now - self._arrived))
        self._next_hedge_at = min(
            (s.hedge_at for s in self._shards if not s.ended), default=math.inf
        )

    def _hedge(self, shard: Shard, unaided: int, now: float, out: list[Action]) -> bool:
        """Ask a second target, if the budget and the targets allow it; return whether it was sent.

        Load pattern: many targets are slow, and their services' budgets run low. What is left goes
        to the shards without which there is no answer; the others may be left out of it.
        """
        spare = len(self._shards) - self._lost - self._needed
        scarce = self.route.gather and self._policy.is_scarce(shard.service, now)
        if scarce and unaided <= spare:
            return False
        target_id = self._policy.choose(shard.service, shard.tried, now)
        if target_id is None or not self._policy.take_extra(shard.service, now):
            return False
        self._send(shard, target_id, now, out)
        return True

    def _retry(self, shard: Shard, failure: SubFailure, now: float, out: list[Action]) -> bool:
        """Send to another target after a failure, if that is allowed and possible.

        A sub-request that did not reach the target costs neither an attempt nor budget. One that
        the target refused costs budget, but no attempt: those bound how often a request runs.
        """
        unsent = failure.kind is FailureKind.NOT_SENT
        proved = failure.kind in NOT_RUN_KINDS
        if unsent:
            shard.sends -= 1
        elif proved and shard.refused < MAX_REFUSED:
            shard.refused += 1
            shard.sends -= 1
        if shard.sends >= self.route.max_targets or not (self.route.idempotent or proved):
            return False
        target_id = self._policy.choose(shard.service, shard.tried, now)
        if target_id is None:
            if proved and self._policy.has_targets(shard.service, shard.tried, now):
                self.waiting.add(shard.service)
                return True
            return False
        if not unsent and not self._policy.take_extra(shard.service, now):
            return False
        self._send(shard, target_id, now, out)
        return True

    def _close(self, shard: Shard, sub: Sub) -> None:
        del self._subs[sub.sub_id]
        shard.open.remove(sub)

    def _end(self, shard: Shard) -> None:
        shard.ended, shard.hedge_at = True, math.inf
        self.waiting.discard(shard.service)

    def _lose(self, shard: Shard) -> None:
        self._end(shard)
        self._lost += 1

    def _cancel(self, shard: Shard, superseded: bool, now: float) -> list[Action]:
        out: list[Action] = []
        for sub in list(shard.open):
            self._close(shard, sub)
            if superseded:
                self._policy.on_overtaken(self.route.name, now - sub.sent_at)
            out.append(Cancel(sub.sub_id, sub.target_id, superseded))
        return out

    def _cancel_all(self, now: float, *, superseded: bool = False) -> list[Action]:
        return [a for shard in self._shards for a in self._cancel(shard, superseded, now)]

    # The end.

    def _settle(self, now: float) -> list[Action]:
        """End the request if nothing can or need be waited for."""
        if self.ended:
            return []
        total = len(self._shards)
        if total - self._lost < self._needed:
            return self._give_up(now)
        if self._stream.count + self._lost == total:
            return self._merge(now)
        if self._stream.count < self._needed or now < self._give_at:
            return []
        late = now > self._arrived + self.route.objective_s
        if late and now < self._arrived + LATE_FACTOR * self.route.objective_s:
            return []
        return self._merge(now)

    def _merge(self, now: float) -> list[Action]:
        parts = tuple(shard.part for shard in self._shards if shard.part is not None)
        missing = len(self._shards) - len(parts)
        return self._give(Merged(parts, missing, self.route.top_records), now)

    def _give_up(self, now: float) -> list[Action]:
        failure = next((s.failure for s in self._shards if s.failure is not None), None)
        answer = failure.answer if failure is not None else None
        if not self.route.gather and answer is not None:
            return self._give(Answer(answer), now)
        reason = f"sub-request {failure.kind}" if failure else "no target is known"
        return self._refuse(reason, now)

    def _on_deadline(self, now: float) -> list[Action]:
        if self.route.gather and self._stream.count >= self._needed:
            return self._merge(now)
        return self._refuse("timeout", now)

    def _refuse(self, reason: str, now: float) -> list[Action]:
        if self._ran or self._subs:
            return self._give(Refusal(False, reason), now)
        absent = [s.service for s in self._shards if s.part is None and (s.ended or not s.open)]
        wanted = self._needed - (len(self._shards) - len(absent))
        return_s = self._policy.return_after(absent, wanted, now)
        return self._give(Refusal(True, reason, return_s), now)

    def _give(self, action: Give, now: float) -> list[Action]:
        self.ended = True
        # Targets that work on an answer that nobody needs any more are let finish if the request
        # ended well, which keeps their connections.
        superseded = not isinstance(action, Refusal)
        return [*self._cancel_all(now, superseded=superseded), action]
