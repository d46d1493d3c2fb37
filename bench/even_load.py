"""Replay of many VMs that choose among the equal targets of one shard, on the decision core.

``python -m bench even_load`` compares ways of choosing by it. Time is simulated, and the network is
two constant delays.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable

import attrs

from bramleycrank.proto.target_pb2 import TARGET_STATE_SERVING, LoadReport, TargetRecord
from bramleycrank.query.replicas import ReplicaTable
from bramleycrank.scatter.budget import RetryBudgetConfig
from bramleycrank.scatter.policy import SINGLE_SHARD_REPLICAS, TargetPolicy
from bramleycrank.scatter.types import FailureKind, SubFailure, TargetReply

SERVICE = "s"
LINK_S = 0.001
"""One-way delay between a VM and a target."""

WINDOW_S = 0.1
"""Length of the windows in which the work in progress at the targets is compared."""

WARMUP_S = 3.0
"""Simulated time that is left out of the figures, until the VMs have observed the targets."""


@attrs.frozen
class Load:
    """One load pattern.

    Parameters
    ----------
    vms, targets, slots, queue : int
        Size of the group and of each target.
    domains : int
        Failure domains, over which VMs and targets are distributed evenly.
    use : float
        Share of all slots that the requests use on average.
    work_s : float
        Mean time in a slot, in seconds.
    report_delay_s : float
        Additional age of load reports, in seconds.
    slow_factor, slow_s, slow_every_s : float
        Each target is slower by this factor for `slow_s` in each `slow_every_s`, at its own phase.
    hedge_s : float
        Time without a reply after which a request is sent to a second target; 0 for never.
    speeds : tuple of float
        Factors of the time in a slot, by target in turn.
    wave : float
        Share by which the demand of each domain swings around its mean; the domains are shifted, so
        that their sum is constant.
    wave_s : float
        Period of that swing, in seconds.
    gather : bool
        Whether each request stands for one shard of many that a caller's request asks.
    """

    vms: int
    targets: int = 3
    slots: int = 4
    queue: int = 24
    domains: int = 1
    use: float = 0.6
    work_s: float = 0.02
    report_delay_s: float = 0.0
    slow_factor: float = 1.0
    slow_s: float = 0.6
    slow_every_s: float = 4.0
    hedge_s: float = 0.0
    speeds: tuple[float, ...] = (1.0,)
    wave: float = 0.0
    wave_s: float = 15.0
    gather: bool = False


@attrs.define(eq=False)
class Target:
    """A target with slots and a bounded queue."""

    name: str
    phase_s: float
    speed: float
    running: int = 0
    waiting: deque = attrs.field(factory=deque)
    work: dict[int, float] = attrs.field(factory=dict)  # work in progress times seconds, by window
    changed_at: float = 0.0

    def integrate(self, now: float) -> None:
        """Add the work in progress since the last change to its windows."""
        count, at = self.running + len(self.waiting), self.changed_at
        while at < now:
            window = int(at / WINDOW_S + 1e-9)
            until = min(now, (window + 1) * WINDOW_S)
            self.work[window] = self.work.get(window, 0.0) + count * (until - at)
            at = until
        self.changed_at = now


@attrs.define(eq=False)
class Call:
    """A request of a caller; `tried` are the targets that it was sent to."""

    vm: int
    started: float
    tried: set[str] = attrs.field(factory=set)
    ended: bool = False


class Replay:
    """Runs one load pattern.

    Parameters
    ----------
    load : Load
        The load pattern.
    seed : int
        Seed of all random choices.
    make_table : callable
        Returns the table of a VM for its failure domain and random generator.
    """

    def __init__(
        self,
        load: Load,
        seed: int,
        make_table: Callable[[str, random.Random], ReplicaTable] | None = None,
    ) -> None:
        self.load, self.rng = load, random.Random(seed)
        self.now = 0.0
        self.targets = {
            f"t{n}": Target(
                f"t{n}",
                self.rng.random() * load.slow_every_s,
                load.speeds[n % len(load.speeds)],
            )
            for n in range(load.targets)
        }
        self.latencies: list[float] = []
        self.sent = self.queued = self.shed = self.remote = 0
        self._events: list[tuple] = []
        self._order = itertools.count()
        records = [
            TargetRecord(
                target_id=name,
                incarnation=1,
                sequence=1,
                state=TARGET_STATE_SERVING,
                service=SERVICE,
                domain=f"d{n % load.domains}",
                slots=load.slots,
                replicas=SINGLE_SHARD_REPLICAS,
            )
            for n, name in enumerate(self.targets)
        ]
        self.domains = {record.target_id: record.domain for record in records}
        self.policies, self.waiting = [], [deque() for _ in range(load.vms)]
        for vm in range(load.vms):
            rng, domain = random.Random(self.rng.random()), f"d{vm % load.domains}"
            policy = TargetPolicy(
                domain,
                RetryBudgetConfig(),
                lambda _: True,
                lambda: load.vms,
                rng,
                weigh_load_by_age=True,
            )
            if make_table is not None:
                policy.table = make_table(domain, rng)
            policy.update(SERVICE, records, 0.0)
            self.policies.append(policy)

    def _at(self, delay_s: float, handler: Callable, *args: object) -> None:
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), handler, args))

    def run(self, seconds: float) -> dict[str, float]:
        """Run for a simulated time after the warm-up and return the figures."""
        end = seconds + WARMUP_S
        self._at(0.0, self._arrive)
        while self._events and self._events[0][0] < end:
            self.now, _, handler, args = heapq.heappop(self._events)
            handler(*args)
        for target in self.targets.values():
            target.integrate(end)
        return self._figures(end)

    def _figures(self, end: float) -> dict[str, float]:
        load, ordered = self.load, sorted(self.latencies)
        windows = range(round(WARMUP_S / WINDOW_S), round(end / WINDOW_S))
        work = [
            [t.work.get(window, 0.0) / WINDOW_S / load.slots for t in self.targets.values()]
            for window in windows
        ]
        return {
            "spread": sum(max(row) - min(row) for row in work) / len(work),
            "overrun": sum(max(row) > 1.0 and min(row) < 0.5 for row in work) / len(work),
            "queued": self.queued / max(1, self.sent),
            "shed": self.shed / max(1, self.sent),
            "remote": self.remote / max(1, self.sent),
            "mean_ms": sum(ordered) / len(ordered) * 1e3,
            "p50_ms": ordered[len(ordered) // 2] * 1e3,
            "p99_ms": ordered[int(len(ordered) * 0.99)] * 1e3,
        }

    def _arrive(self) -> None:
        load = self.load
        self._at(
            self.rng.expovariate(load.use * load.targets * load.slots / load.work_s), self._arrive
        )
        call = Call(self._draw_vm(), self.now)
        self.policies[call.vm].on_request(SERVICE, self.now)
        self._send(call)
        if load.hedge_s:
            self._at(load.hedge_s, self._hedge, call)

    def _draw_vm(self) -> int:
        """Return the VM that takes the next request."""
        load = self.load
        vm = self.rng.randrange(load.vms)
        while load.wave:
            turn = self.now / load.wave_s + vm % load.domains / load.domains
            demand = 1.0 + load.wave * math.sin(2 * math.pi * turn)
            if self.rng.random() * (1.0 + load.wave) < demand:
                break
            vm = self.rng.randrange(load.vms)
        return vm

    def _hedge(self, call: Call) -> None:
        policy = self.policies[call.vm]
        if not call.ended and len(call.tried) == 1 and policy.spend_retry_budget(SERVICE, self.now):
            self._send(call, wait=False)

    def _send(self, call: Call, wait: bool = True) -> None:
        policy = self.policies[call.vm]
        name = policy.choose(SERVICE, call.tried, self.now, gather=self.load.gather)
        if name is None:
            if wait:
                self.waiting[call.vm].append(call)
            return
        call.tried.add(name)
        policy.on_sent(name, self.now)
        self._at(LINK_S, self._receive, self.targets[name], call, self.now)

    def _receive(self, target: Target, call: Call, sent_at: float) -> None:
        target.integrate(self.now)
        counts = self.now >= WARMUP_S
        self.sent += counts
        self.remote += counts and self.domains[target.name] != f"d{call.vm % self.load.domains}"
        if target.running < self.load.slots:
            self._start(target, call, sent_at)
        elif len(target.waiting) < self.load.queue:
            self.queued += counts
            target.waiting.append((call, sent_at))
        else:
            self.shed += counts
            self._at(LINK_S, self._reply, target, call, sent_at, None)

    def _start(self, target: Target, call: Call, sent_at: float) -> None:
        target.running += 1
        load = self.load
        slow = (self.now + target.phase_s) % load.slow_every_s < load.slow_s
        work_s = load.work_s * target.speed * self.rng.lognormvariate(-0.06, 0.35)
        self._at(work_s * (load.slow_factor if slow else 1.0), self._end, target, call, sent_at)

    def _end(self, target: Target, call: Call, sent_at: float) -> None:
        target.integrate(self.now)
        target.running -= 1
        if target.waiting:
            self._start(target, *target.waiting.popleft())
        report = LoadReport(
            in_flight=target.running, queued=len(target.waiting), slots=self.load.slots
        )
        self._at(LINK_S, self._reply, target, call, sent_at, report)

    def _reply(self, target: Target, call: Call, sent_at: float, report: LoadReport | None) -> None:
        policy = self.policies[call.vm]
        if report is None:
            policy.on_failure(target.name, SubFailure(FailureKind.REFUSED), self.now)
            if not call.ended and policy.spend_retry_budget(SERVICE, self.now):
                self._send(call)
        else:
            reply = TargetReply(200, [], b"", b"r")
            policy.on_reply("r", target.name, reply, self.now - sent_at, self.now)
            self._at(self.load.report_delay_s, self._report, policy, target.name, report)
            if not call.ended and call.started >= WARMUP_S:
                self.latencies.append(self.now - call.started)
            call.ended = True
        if self.waiting[call.vm]:
            self._send(self.waiting[call.vm].popleft())

    def _report(self, policy: TargetPolicy, name: str, report: LoadReport) -> None:
        policy.table.on_load(name, report, self.now)
        if report.queued:
            policy.table.on_queued(name, self.now)
