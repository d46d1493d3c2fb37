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

CATCH_UP_S, CATCH_UP_MARGIN_S = 4.0, 0.2
"""Time after the start of a new voter from which the one that it replaces no longer counts."""

MAX_REMOVAL_S = 2.0
"""Longest time between the start of a new voter and the end of the one that it replaces."""

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
    Besides, the links of one entry VM to all targets may be cut, and one service may have no
    target. Voters are replaced in series.

    Parameters
    ----------
    fleet : Fleet
        The VMs.
    targets : list of SoakTarget
        The targets.
    rng : random.Random
        Random numbers for faults of single VMs and targets.
    wide_rng : random.Random
        Random numbers for replacements of voters and outages of services. It is a second one, so
        that seeds of older runs still lead to the same faults of the first kind.
    leave_rng : random.Random, optional
        Random numbers for targets that leave; none leaves without it.
    """

    def __init__(
        self,
        fleet: Fleet,
        targets: list[SoakTarget],
        rng: random.Random,
        wide_rng: random.Random,
        leave_rng: random.Random | None = None,
    ) -> None:
        self.events: list[Event] = []
        self.problems: list[str] = []
        self._fleet = fleet
        self._targets = targets
        self._rng = rng
        self._wide_rng = wide_rng
        self._leave_rng = leave_rng
        self._busy: set[object] = set()
        self._service_down = ""
        self._faulty_entry: PlatformVm | None = None  # the one with the last fault
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Start faults for the given time, then wait until all of them have ended."""
        end = self._loop.time() + seconds
        wide_faults = asyncio.gather(self._run_wide_faults(end), self._run_leaves(end))
        while self._loop.time() < end:
            await asyncio.sleep(self._rng.uniform(0.2, 1.2))
            self._start_random_fault()
        await wide_faults
        await asyncio.gather(*self._tasks)

    async def _run_wide_faults(self, end: float) -> None:
        while self._loop.time() < end:
            await asyncio.sleep(self._wide_rng.uniform(0.5, 4.0))
            if self._wide_rng.random() < 0.5:
                services = sorted({target.service for target in self._targets})
                if "service" not in self._busy:
                    service = self._wide_rng.choice(services)
                    self._start_fault(service, self._inject_outage, "service")
            elif "voter" not in self._busy:
                voter = self._wide_rng.choice(self._fleet.voters)
                self._start_fault(voter, self._replace_voter, "voter")

    async def _run_leaves(self, end: float) -> None:
        while self._leave_rng is not None and self._loop.time() < end:
            await asyncio.sleep(self._leave_rng.uniform(0.5, 3.0))
            self._start_on_healthy_target(self._leave_rng, self._inject_leave)

    def _start_random_fault(self) -> None:
        kind = self._rng.choices(("target", "entry", "voter", "cut"), (5, 2, 2, 2))[0]
        if kind == "cut":
            self._start_cut()
        elif kind == "target":
            self._start_on_healthy_target(self._rng, self._inject_target_fault)
        elif kind not in self._busy:
            vms = self._fleet.entries if kind == "entry" else self._fleet.voters
            self._start_fault(self._rng.choice(vms), self._inject_vm_fault, kind)

    def _start_on_healthy_target(
        self, rng: random.Random, fault: Callable[[SoakTarget], Awaitable[None]]
    ) -> None:
        """Start a fault of a target, if two thirds of all targets have none."""
        healthy = [
            t for t in self._targets if t not in self._busy and t.service != self._service_down
        ]
        if len(healthy) * 3 > len(self._targets) * 2:
            self._start_fault(rng.choice(healthy), fault)

    def _start_fault(
        self,
        subject: SoakTarget | PlatformVm | str,
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

    async def _inject_outage(self, service: str) -> None:
        """Have all targets of a service refuse connections."""
        targets = [t for t in self._targets if t.service == service and t not in self._busy]
        self._service_down = service
        event = self._record_event("service down", service)
        for target in targets:
            target.proxy.set(Mode.REFUSE)
        await asyncio.sleep(self._wide_rng.uniform(0.5, 4.0))
        for target in targets:
            target.proxy.set(Mode.PASS)
        self._service_down = ""
        event.until = self._loop.time()

    async def _replace_voter(self, vm: PlatformVm) -> None:
        """Start a successor of a voter, and end the voter before the successor has caught up."""
        stop = self._wide_rng.random() < 0.5
        event = self._record_event("replace, stop" if stop else "replace, kill", vm.name)
        successor = self._fleet.add_voter(vm)
        started = self._loop.time()
        await asyncio.sleep(self._wide_rng.uniform(0.2, MAX_REMOVAL_S))
        if stop:
            await self._stop_vm(vm)
        else:
            vm.process.signal(signal.SIGKILL)
        self._fleet.remove_voter(vm, successor)
        # The voter that ended counts until its successor has had this time.
        await asyncio.sleep(started + CATCH_UP_S + CATCH_UP_MARGIN_S - self._loop.time())
        event.until = self._loop.time()

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

    async def _inject_leave(self, target: SoakTarget) -> None:
        """Have a target leave, its older reports arrive late, and its next incarnation start."""
        event = self._record_event("leave", target.target_id)
        await target.leave(self._fleet)
        await asyncio.sleep(self._leave_rng.uniform(0.5, 4.0))
        await target.send_late_reports(self._fleet)
        await asyncio.sleep(self._leave_rng.uniform(1.0, 4.0))
        target.start_new_incarnation()
        target.reporting = True
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
