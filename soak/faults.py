"""Faults from outside the processes, in overlapping series drawn from a seed."""

from __future__ import annotations

import asyncio
import random
import shutil
import signal
from collections.abc import Awaitable, Callable

import attrs

from harness.platform_fleet import Fleet, Machine
from soak.proxy import Mode
from soak.targets import Fault, SoakTarget

GRACE_S = 6.0
"""Time in which a process that is told to stop has to end; `Bounds.GraceS` of the fleet."""


@attrs.define
class Event:
    """A fault as it was played; `until` is 0 while it lasts."""

    what: str
    where: str
    since: float
    until: float = 0.0


class Injector:
    """Plays faults one beside the other, at most one on each machine and target.

    No more than one voter and one machine for callers is disturbed at a time, which is what the
    fleet has to bear.

    Parameters
    ----------
    fleet : Fleet
        The processes.
    targets : list of SoakTarget
        The targets.
    rng : random.Random
        Source of all choices.
    """

    def __init__(self, fleet: Fleet, targets: list[SoakTarget], rng: random.Random) -> None:
        self.events: list[Event] = []
        self.problems: list[str] = []
        self._fleet = fleet
        self._targets = targets
        self._rng = rng
        self._busy: set[object] = set()
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Start faults for some seconds, then wait until all of them have ended."""
        end = self._loop.time() + seconds
        while self._loop.time() < end:
            await asyncio.sleep(self._rng.uniform(0.2, 1.2))
            self._begin()
        await asyncio.gather(*self._tasks)

    def _begin(self) -> None:
        kind = self._rng.choices(("target", "entry", "voter"), (5, 2, 2))[0]
        if kind == "target":
            free = [t for t in self._targets if t not in self._busy]
            if len(free) * 3 > len(self._targets) * 2:
                self._play(self._rng.choice(free), self._target_fault)
        elif kind not in self._busy:
            machines = self._fleet.entries if kind == "entry" else self._fleet.voters
            self._play(self._rng.choice(machines), self._machine_fault, kind)

    def _play(
        self, on: SoakTarget | Machine, fault: Callable[..., Awaitable[None]], key: object = None
    ) -> None:
        key = key or on
        self._busy.add(key)

        async def play() -> None:
            try:
                await fault(on)
            finally:
                self._busy.discard(key)

        task = asyncio.ensure_future(play())
        self._tasks.add(task)

    def _note(self, what: str, where: str) -> Event:
        event = Event(what, where, self._loop.time())
        self.events.append(event)
        return event

    def _pause(self, least: float = 0.5, most: float = 4.0) -> Awaitable[None]:
        return asyncio.sleep(self._rng.uniform(least, most))

    async def _target_fault(self, target: SoakTarget) -> None:
        kind = self._rng.choice(("fault", "proxy", "cut", "reports"))
        if kind == "fault":
            target.fault = self._rng.choice([f for f in Fault if f is not Fault.NONE])
            event = self._note(target.fault.value, target.target_id)
        elif kind == "proxy":
            mode = self._rng.choice([m for m in Mode if m is not Mode.PASS])
            target.proxy.set(mode, self._rng.uniform(0.02, 0.3))
            event = self._note(f"proxy {mode.value}", target.target_id)
        elif kind == "cut":
            target.proxy.reset()
            event = self._note("connections reset", target.target_id)
        else:
            target.reporting = False
            event = self._note("no reports", target.target_id)
        await (self._pause(3.5, 5.0) if target.fault is Fault.LEAVES else self._pause())
        if target.fault is Fault.LEAVES:
            target.return_anew()
        target.fault, target.reporting = Fault.NONE, True
        target.proxy.set(Mode.PASS)
        event.until = self._loop.time()

    async def _machine_fault(self, machine: Machine) -> None:
        kinds = ["stop", "kill", "freeze", "hup"]
        if machine.voter:
            kinds += ["kill and lose the disk", "kill and tear the log"]
        kind = self._rng.choice(kinds)
        event = self._note(kind, machine.name)
        if kind == "hup":
            machine.process.signal(signal.SIGHUP)
        elif kind == "freeze":
            machine.process.signal(signal.SIGSTOP)
            await self._pause()
            machine.process.signal(signal.SIGCONT)
        elif kind == "stop":
            await self._stop(machine)
            machine.start()
        else:
            machine.process.signal(signal.SIGKILL)
            await self._pause(0.1, 2.0)
            if kind == "kill and lose the disk":
                shutil.rmtree(machine.data)
            elif kind == "kill and tear the log":
                self._tear(machine)
            machine.start()
        event.until = self._loop.time()
        # What was disturbed counts as lost until it has caught up.
        await self._pause(4.0, 5.0)

    async def _stop(self, machine: Machine) -> None:
        machine.process.signal(signal.SIGTERM)
        end = self._loop.time() + GRACE_S
        while machine.process.exit_code is None and self._loop.time() < end:
            await asyncio.sleep(0.02)
        if machine.process.exit_code != 0:
            self.problems.append(
                f"{machine.name} ended with {machine.process.exit_code} {GRACE_S} s after SIGTERM"
            )
            machine.process.signal(signal.SIGKILL)

    def _tear(self, machine: Machine) -> None:
        """Leave a part of a write behind the synced end of the log, as a loss of power does."""
        newest = max(machine.data.glob("log-*"), key=lambda path: path.name, default=None)
        if newest is not None:
            with newest.open("ab") as file:
                file.write(self._rng.randbytes(self._rng.randint(1, 40)))
