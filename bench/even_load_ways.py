"""Ways of choosing among targets that many VMs share, compared by a replay."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable

import attrs

from bench.even_load import Call, Load, Replay, Target
from bramleycrank.proto.target_pb2 import LoadReport
from bramleycrank.query.replicas import ReplicaTable
from bramleycrank.query.targets import TargetState

_BUSY = Load(80, slow_factor=2.5, hedge_s=0.08)
_THREE_SPEEDS = attrs.evolve(_BUSY, domains=3, speeds=(0.8, 1.0, 1.3), work_s=0.014, use=0.06)
_FEW = Load(80, targets=5, slots=3, work_s=0.09, use=0.6, slow_factor=2.5, hedge_s=0.3)
_MOVING = Load(80, work_s=0.016, wave=0.5, hedge_s=0.1)

LOADS = {
    "equal": attrs.evolve(_BUSY, slow_factor=1.0),
    "busy": _BUSY,
    "busy, 3 domains": attrs.evolve(_BUSY, domains=3),
    "idle, 3 speeds": _THREE_SPEEDS,
    "long slow": attrs.evolve(_THREE_SPEEDS, use=0.1, slow_factor=8.0, slow_s=5.0, slow_every_s=15),
    "5 x 3 slots": _FEW,
    "moving demand, 3 domains": attrs.evolve(_MOVING, domains=3, speeds=(0.8, 1.0, 1.3)),
    "moving overload, 3 domains": attrs.evolve(_MOVING, domains=3, use=0.8),
    "moving demand, 5 x 3 slots": attrs.evolve(_FEW, domains=3, slow_factor=1.0, wave=0.5),
}
"""Load patterns by name; the number of VMs is replaced."""


class NoAge(ReplicaTable):
    """The least of two by smoothed latency, whatever its age: the way of small groups of VMs."""

    def __init__(self, domain: str, rng: random.Random, vms: int) -> None:
        super().__init__(domain, rng, warmup_s=0.0)
        self.vms = vms
        self.sends_since_report: dict[str, int] = {}

    def on_sent(self, target_id: str, now: float) -> None:
        """Count a send since the last report."""
        super().on_sent(target_id, now)
        self.sends_since_report[target_id] = self.sends_since_report.get(target_id, 0) + 1

    def on_load(self, target_id: str, report: LoadReport, now: float) -> None:
        """Record a report, which includes earlier sends."""
        super().on_load(target_id, report, now)
        self.sends_since_report[target_id] = 0


class AtRandom(NoAge):
    """Any target with free capacity."""

    def _choose_of_two(self, ready: list[TargetState], now: float) -> TargetState:
        return ready[int(self._random() * len(ready))]


class InTurn(AtRandom):
    """The target that this VM used least recently: a different order at each VM."""

    def _choose_of_two(self, ready: list[TargetState], now: float) -> TargetState:
        return min(ready, key=lambda t: (t.in_flight, t.sent_at, self._random()))


class LeastReported(NoAge):
    """The least reported load, whatever its age."""

    def _choose_of_two(self, ready: list[TargetState], now: float) -> TargetState:
        return min(ready, key=lambda t: (t.reported_load, self._random()))


class OwnSendsCounted(NoAge):
    """The least reported load, plus own sends since the report times the number of VMs."""

    def _choose_of_two(self, ready: list[TargetState], now: float) -> TargetState:
        def load(target: TargetState) -> float:
            sends = self.sends_since_report.get(target.target_id, 0)
            return target.reported_load + sends * self.vms / target.slots

        return min(ready, key=lambda t: (load(t), self._random()))


class Shared(Replay):
    """All VMs know the replies of all VMs, after `report_delay_s`, and use the fastest target."""

    def _reply(self, target: Target, call: Call, sent_at: float, report: LoadReport | None) -> None:
        if report is not None:
            self._at(self.load.report_delay_s, self._share, target.name, self.now - sent_at)
        super()._reply(target, call, sent_at, report)

    def _share(self, name: str, latency_s: float) -> None:
        for policy in self.policies:
            state = policy.table.state(name)
            state.latency_s += 0.3 * (latency_s - state.latency_s)
            state.replies = max(1, state.replies)
            state.base_latency_s = state.base_latency_s or latency_s


WAYS = {
    "no age": NoAge,
    "at random": AtRandom,
    "in turn": InTurn,
    "least reported": LeastReported,
    "own sends": OwnSendsCounted,
    "aged": None,
}
"""Table of each way; None for that of the product."""

FIGURES = ("spread", "overrun", "queued", "shed", "remote", "mean_ms", "p50_ms", "p99_ms")


def measure(load: Load, way: str, seeds: Iterable[int], seconds: float) -> dict[str, float]:
    """Return the mean figures of a way over some seeds."""
    table = WAYS.get(way)

    def make_table(domain: str, rng: random.Random) -> ReplicaTable:
        return (table or NoAge)(domain, rng, load.vms)

    replay = Shared if way == "shared" else Replay
    runs = [replay(load, s, None if way == "aged" else make_table).run(seconds) for s in seeds]
    return {key: sum(run[key] for run in runs) / len(runs) for key in FIGURES}


def table(vm_counts: Iterable[int], delays_s: Iterable[float], seconds: float = 30.0) -> str:
    """Return a Markdown table of all ways, load patterns, sizes and ages of reports."""
    lines = [
        "| load | VMs | age, s | way | " + " | ".join(FIGURES) + " |",
        "|" + "---|" * (4 + len(FIGURES)),
    ]
    for (name, load), vms, delay_s in itertools.product(LOADS.items(), vm_counts, delays_s):
        for way in (*WAYS, "shared"):
            played = attrs.evolve(load, vms=vms, report_delay_s=delay_s)
            figures = measure(played, way, (1, 2, 3), seconds)
            cells = [f"{figures[key]:.{1 if key.endswith('ms') else 3}f}" for key in FIGURES]
            lines.append(f"| {name} | {vms} | {delay_s:g} | {way} | {' | '.join(cells)} |")
    return "\n".join(lines)
