"""Bound on the targets that may run a request, on each path to a target."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict

from hypothesis import example, given
from hypothesis import strategies as st
from scatter_fakes import FakePolicy, gather_route, single_route, target_reply

from bramleycrank.membership.suspects import SuspectTable
from bramleycrank.scatter import Answer, FailureKind, Forward, Merged, Refusal, SubFailure
from bramleycrank.scatter import ScatterExecution as Execution
from bramleycrank.scatter.progress import MAX_REFUSED
from bramleycrank.scatter.quarantine import Canary, Quarantine
from bramleycrank.scatter.types import NOT_RUN_KINDS, RefusalCause

DEADLINE_S = 2.0
OWN_LIMITS = (RefusalCause.TIMEOUT, RefusalCause.EXPIRED, RefusalCause.CRASHES)


def canary_after_a_crash(services: tuple[str, ...]) -> Canary:
    """Return a canary for a request to services of which targets have just ended."""
    quarantine = Quarantine(SuspectTable())
    for service in services:
        quarantine.on_target_ended(service, -0.1)
    return Canary(quarantine, 8)


def test_a_slow_canary_is_not_hedged_beyond_the_attempts_of_its_route():
    """Guards against a second run of a shard that serves as the canary and takes its time."""
    route = gather_route(max_targets=1)
    canary = canary_after_a_crash(route.services)
    execution = Execution(route, FakePolicy(), itertools.count(1), 0.0, 2.0, canary=canary)
    [first] = execution.start(0.0)
    assert execution.next_deadline() == 0.05, "a deferred shard follows a canary that is slow"
    [second] = execution.tick(0.05)
    assert second.service != first.service
    rest = execution.on_reply(second.sub_id, target_reply(), 0.06)
    assert sorted(action.service for action in rest) == ["s2", "s3"]
    sent = [execution.tick(now / 100) for now in range(7, 40)]
    assert not any(isinstance(action, Forward) for actions in sent for action in actions)


def test_a_hedge_that_was_not_sent_leaves_its_attempt_to_a_retry():
    """Guards against an attempt that is lost because another sub-request was in flight."""
    execution = Execution(single_route(), FakePolicy(), itertools.count(1), 0.0, 2.0)
    [first] = execution.start(0.0)
    [hedge] = execution.tick(0.05)
    assert execution.on_failure(hedge.sub_id, SubFailure(FailureKind.NOT_SENT), 0.06) == []
    [retry] = execution.on_failure(first.sub_id, SubFailure(FailureKind.LOST), 0.07)
    assert isinstance(retry, Forward)


class Request:
    """A request at one VM or two, with what its targets may have run."""

    def __init__(self, route, *, crashed: bool) -> None:
        self.route, self.crashed = route, crashed
        self.sub_ids = itertools.count(1)
        self.now = 0.0
        self.final = None
        self.open: dict[int, Forward] = {}
        self.may_have_run: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.start(())

    def start(self, sends: tuple[int, ...]) -> None:
        self.policy = FakePolicy(targets=4)
        self.tried: dict[str, set[str]] = defaultdict(set)
        self.parts: set[str] = set()
        self.given_up: set[str] = set()
        canary = canary_after_a_crash(self.route.services) if self.crashed else None
        self.execution = Execution(
            self.route,
            self.policy,
            self.sub_ids,
            0.0,
            DEADLINE_S,
            canary=canary,
            sends=sends,
        )
        self.apply(self.execution.start(self.now))

    def apply(self, actions) -> None:
        for action in actions:
            if isinstance(action, Forward):
                self.open[action.sub_id] = action
                self.may_have_run[action.service] += 1
                self.tried[action.service].add(action.target_id)
            elif isinstance(action, Answer | Merged | Refusal):
                self.final = action
        self.check()

    def can_go_on(self, service: str) -> bool:
        """Return whether a shard has an attempt left and a free target."""
        extra = max(0, self.refused[service] - MAX_REFUSED)
        repeatable = self.route.idempotent or not self.may_have_run[service]
        attempts_left = self.may_have_run[service] + extra < self.route.max_targets
        free = self.policy.choose(service, self.tried[service], self.now)
        return repeatable and attempts_left and free is not None

    def check(self) -> None:
        limit = self.route.max_targets if self.route.idempotent else 1
        assert all(count <= limit for count in self.may_have_run.values()), self.may_have_run
        busy = {sub.service for sub in self.open.values()} | self.execution.waiting | self.parts
        self.given_up |= {
            service
            for service in self.route.services
            if service not in busy and not self.can_go_on(service)
        }
        if (
            isinstance(self.final, Refusal)
            and self.final.cause not in OWN_LIMITS
            and not self.crashed
        ):
            assert len(self.given_up) > len(self.route.services) - self.execution.needed

    def end_sub(self, number: int, kind: FailureKind | None) -> None:
        """End one of the open sub-requests, by a reply if `kind` is None."""
        if not self.open:
            return
        sub = self.open.pop(sorted(self.open)[number % len(self.open)])
        if kind is None:
            self.parts.add(sub.service)
            self.apply(self.execution.on_reply(sub.sub_id, target_reply(), self.now))
            return
        if kind in NOT_RUN_KINDS:
            self.may_have_run[sub.service] -= 1
            self.refused[sub.service] += kind is not FailureKind.NOT_SENT
        self.apply(self.execution.on_failure(sub.sub_id, SubFailure(kind), self.now))

    def play(self, event: str, number: int) -> None:
        if event == "wait":
            self.now = min(self.now + number / 100, DEADLINE_S)
            self.apply(self.execution.tick(self.now))
        elif event == "busy":
            targets = [t for s in self.route.services for t in self.policy.target_ids(s)]
            self.policy.busy ^= {targets[number % len(targets)]}
            for service in sorted(self.execution.waiting):
                self.apply(self.execution.on_capacity(service, self.now))
        elif event == "hand over":
            sends = self.execution.sends
            if self.execution.hand_over(self.now) is not None:
                self.open.clear()
                self.start(sends)
        else:
            self.end_sub(number, FailureKind(event) if event != "reply" else None)


EVENTS = ("reply", "wait", "wait", "busy", "hand over", *map(str, FailureKind))
STEPS = st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(1, 20)), max_size=30)


@given(
    shards=st.integers(0, 4),
    max_targets=st.integers(1, 3),
    idempotent=st.booleans(),
    crashed=st.booleans(),
    steps=STEPS,
)
@example(4, 1, True, True, [("wait", 10), ("reply", 2), ("wait", 10), ("wait", 10)])
@example(0, 2, True, False, [("wait", 10), ("not_sent", 2), ("lost", 1)])
def test_no_path_sends_a_request_to_more_targets_than_its_route_allows(
    shards, max_targets, idempotent, crashed, steps
):
    """Guards against a path to a target that forgets the bound, or a bound that counts too much."""
    fields = {"max_targets": max_targets}
    if shards:
        route = gather_route(shards, min_coverage=0.5, **fields)
    else:
        route = single_route(idempotent=idempotent, **fields)
    request = Request(route, crashed=crashed)
    for event, number in steps:
        if request.final is not None:
            break
        request.play(event, number)
