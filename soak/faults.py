"""Injects overlapping faults into processes and targets, chosen from a seed."""

from __future__ import annotations

import asyncio
import random
import shutil
import signal
from collections.abc import Awaitable, Callable

import attrs

from harness.platform_fleet import Fleet, PlatformVm
from soak.proxy import Mode
from soak.targets import Fault, SoakTarget

GRACE_S = 6.0
"""Time limit for the end of a process after SIGTERM; `Bounds.GraceS` of the fleet."""

CUT = "cut off from the targets"


@attrs.define
class Event:
    """An injected fault; `until` is 0 while it lasts."""

    what: str
    where: str
    since: float
    until: float = 0.0


class Injector:
    """Injects faults concurrently, at most one per target.

    At most one voter and one entry VM have a fault at a time, which the fleet has to tolerate.
    Besides, the links of one entry VM to all targets may be cut.

    Parameters
    ----------
    fleet : Fleet
        The VMs.
    targets : list of SoakTarget
        The targets.
    rng : random.Random
        Random numbers for all choices.
    """

    def __init__(self, fleet: Fleet, targets: list[SoakTarget], rng: random.Random) -> None:
        self.events: list[Event] = []
        self.problems: list[str] = []
        self._fleet = fleet
        self._targets = targets
        self._rng = rng
        self._busy: set[object] = set()
        self._faulty_entry: PlatformVm | None = None  # the one with the last fault
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Start faults for the given time, then wait until all of them have ended."""
        end = self._loop.time() + seconds
        while self._loop.time() < end:
            await asyncio.sleep(self._rng.uniform(0.2, 1.2))
            self._start_random_fault()
        await asyncio.gather(*self._tasks)

    def _start_random_fault(self) -> None:
        kind = self._rng.choices(("target", "entry", "voter", "cut"), (5, 2, 2, 2))[0]
        if kind == "cut":
            self._start_cut()
        elif kind == "target":
            healthy = [t for t in self._targets if t not in self._busy]
            if len(healthy) * 3 > len(self._targets) * 2:
                self._start_fault(self._rng.choice(healthy), self._inject_target_fault)
        elif kind not in self._busy:
            vms = self._fleet.entries if kind == "entry" else self._fleet.voters
            self._start_fault(self._rng.choice(vms), self._inject_vm_fault, kind)

    def _start_fault(
        self,
        subject: SoakTarget | PlatformVm,
        fault: Callable[..., Awaitable[None]],
        key: object = None,
    ) -> None:
        key = key or subject
        self._busy.add(key)

        async def run_fault() -> None:
            try:
                await fault(subject)
            finally:
                self._busy.discard(key)

        task = asyncio.ensure_future(run_fault())
        self._tasks.add(task)

    def _start_cut(self) -> None:
        """Cut one entry VM off from the targets, unless it may still be starting."""
        calm = [vm for vm in self._fleet.entries if vm is not self._faulty_entry]
        if CUT not in self._busy:
            self._start_fault(self._rng.choice(calm), self._inject_cut, CUT)

    async def _inject_cut(self, vm: PlatformVm) -> None:
        process = vm.process
        refuse = self._rng.random() < 0.4
        event = self._record_event(f"{CUT}, refused" if refuse else CUT, vm.name)
        vm.cut([target.address for target in self._targets], refuse=refuse)
        await self._sleep_random(1.0, 8.0)
        if vm.process is process:  # one that was started meanwhile is not cut
            vm.end_cut()
        event.until = self._loop.time()
        await self._sleep_random(0.2, 2.0)

    def _record_event(self, what: str, where: str) -> Event:
        event = Event(what, where, self._loop.time())
        self.events.append(event)
        return event

    def _sleep_random(self, min_s: float = 0.5, max_s: float = 4.0) -> Awaitable[None]:
        return asyncio.sleep(self._rng.uniform(min_s, max_s))

    async def _inject_target_fault(self, target: SoakTarget) -> None:
        kind = self._rng.choice(("fault", "proxy", "cut", "reports"))
        if kind == "fault":
            target.fault = self._rng.choice([f for f in Fault if f is not Fault.NONE])
            event = self._record_event(target.fault.value, target.target_id)
        elif kind == "proxy":
            mode = self._rng.choice([m for m in Mode if m is not Mode.PASS])
            target.proxy.set(mode, self._rng.uniform(0.02, 0.3))
            event = self._record_event(f"proxy {mode.value}", target.target_id)
        elif kind == "cut":
            target.proxy.reset()
            event = self._record_event("connections reset", target.target_id)
        else:
            target.reporting = False
            event = self._record_event("no reports", target.target_id)
        await (
            self._sleep_random(3.5, 5.0) if target.fault is Fault.LEAVES else self._sleep_random()
        )
        if target.fault is Fault.LEAVES:
            target.start_new_incarnation()
        target.fault, target.reporting = Fault.NONE, True
        target.proxy.set(Mode.PASS)
        event.until = self._loop.time()

    async def _inject_vm_fault(self, vm: PlatformVm) -> None:
        if not vm.voter:
            self._faulty_entry = vm
        kinds = ["stop", "kill", "freeze", "hup"]
        if vm.voter:
            kinds += ["kill and lose the disk", "kill and tear the log"]
        kind = self._rng.choice(kinds)
        event = self._record_event(kind, vm.name)
        if kind == "hup":
            vm.process.signal(signal.SIGHUP)
        elif kind == "freeze":
            vm.process.signal(signal.SIGSTOP)
            await self._sleep_random()
            vm.process.signal(signal.SIGCONT)
        elif kind == "stop":
            await self._stop_vm(vm)
            vm.start()
        else:
            vm.process.signal(signal.SIGKILL)
            await self._sleep_random(0.1, 2.0)
            if kind == "kill and lose the disk":
                shutil.rmtree(vm.data_dir)
            elif kind == "kill and tear the log":
                self._append_torn_write(vm)
            vm.start()
        event.until = self._loop.time()
        # The VM counts as faulty until it has caught up.
        await self._sleep_random(4.0, 5.0)

    async def _stop_vm(self, vm: PlatformVm) -> None:
        vm.process.signal(signal.SIGTERM)
        end = self._loop.time() + GRACE_S
        while vm.process.exit_code is None and self._loop.time() < end:
            await asyncio.sleep(0.02)
        if vm.process.exit_code != 0:
            self.problems.append(
                f"{vm.name} ended with {vm.process.exit_code} {GRACE_S} s after SIGTERM"
            )
            vm.process.signal(signal.SIGKILL)

    def _append_torn_write(self, vm: PlatformVm) -> None:
        """Append a torn write after the synced end of the log, as a power loss does."""
        newest = max(vm.data_dir.glob("log-*"), key=lambda path: path.name, default=None)
        if newest is not None:
            with newest.open("ab") as file:
                file.write(self._rng.randbytes(self._rng.randint(1, 40)))
