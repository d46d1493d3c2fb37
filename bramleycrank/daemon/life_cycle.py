"""Life cycle of the daemon: start, join, serve, drain, and stop after all requests have ended."""

from __future__ import annotations

import asyncio
import gc
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs
from automat import TypeMachineBuilder

log = logging.getLogger(__name__)

# Timeout of each step of the stop that contacts other VMs, in seconds.
STOP_STEP_TIMEOUT_S = 5.0


class LifeCycleSteps(Protocol):
    """Steps of the life cycle that the node implements, in the order of their execution."""

    async def start_parts(self) -> None:
        """Open the data folder and start all controllers and listeners."""

    async def join(self) -> None:
        """Wait until a configuration is in force."""

    def set_draining(self, draining: bool) -> None:
        """Announce to the other VMs whether this VM is draining."""

    async def stop_listening(self) -> None:
        """Stop accepting requests of callers."""

    async def finish_requests(self, limit_s: float) -> None:
        """Wait until no request is in flight."""

    async def transfer_leadership(self) -> None:
        """Transfer the leadership to another voter if this VM is the leader."""

    async def leave(self) -> None:
        """Announce to the other VMs that this VM has left."""

    async def close(self) -> None:
        """Close sessions, listeners and the data folder."""


class Inputs(Protocol):
    """Events of the state machine."""

    def started(self) -> None:
        """Handle the start of all parts."""

    def joined(self) -> None:
        """Handle the first configuration in force."""

    def drain(self) -> None:
        """Handle an operator's drain of the VM."""

    def resume(self) -> None:
        """Handle the end of an operator's drain."""

    def stop(self) -> None:
        """Handle SIGTERM or a failed start."""

    def drained(self) -> None:
        """Handle the end of the last request in flight."""

    def closed(self) -> None:
        """Handle the close of all parts."""


@attrs.define
class _Core:
    """State that all transitions share."""

    life_cycle: LifeCycle
    state: str = "starting"
    operator_drain: bool = False


def _build() -> Callable[[_Core], Inputs]:
    """Build the state machine and return its factory."""
    builder = TypeMachineBuilder(Inputs, _Core)
    states = {
        name: builder.state(name)
        for name in ("starting", "joining", "serving", "drained", "draining", "stopping", "stopped")
    }

    def add_transition(
        source: str, event: Callable, target: str, output: Callable | None = None
    ) -> None:
        def run(inputs: Inputs, core: _Core) -> None:
            core.state = target
            log.info("life cycle: %s -> %s", source, target)
            if output is not None:
                output(core.life_cycle)

        run.__name__ = f"{source}_{event.__name__}"
        states[source].upon(event).to(states[target])(run)

    def record_drain(source: str, event: Callable, drain: bool) -> None:
        def run(inputs: Inputs, core: _Core) -> None:
            core.operator_drain = drain

        run.__name__ = f"{source}_{event.__name__}"
        states[source].upon(event).loop()(run)

    add_transition("starting", Inputs.started, "joining", LifeCycle._begin_join)
    add_transition("joining", Inputs.joined, "serving", LifeCycle._begin_serving)
    add_transition("serving", Inputs.drain, "drained", LifeCycle._begin_operator_drain)
    add_transition("drained", Inputs.resume, "serving", LifeCycle._end_operator_drain)
    add_transition("serving", Inputs.stop, "draining", LifeCycle._begin_stop)
    add_transition("drained", Inputs.stop, "draining", LifeCycle._begin_stop)
    add_transition("joining", Inputs.stop, "draining", LifeCycle._begin_stop_without_notice)
    add_transition("starting", Inputs.stop, "stopping", LifeCycle._begin_close)
    add_transition("draining", Inputs.drained, "stopping", LifeCycle._begin_close)
    add_transition("stopping", Inputs.closed, "stopped")
    for name in ("starting", "joining"):
        record_drain(name, Inputs.drain, True)
        record_drain(name, Inputs.resume, False)
    _ignore_other_events(states)
    return builder.build()


def _ignore_other_events(states: dict) -> None:
    """Make each state ignore the events that have no transition in it.

    A second SIGTERM, an operator's drain during a stop, and a configuration that arrives during a
    stop are not errors.
    """
    ignored = {
        "starting": (Inputs.joined, Inputs.drained, Inputs.closed),
        "joining": (Inputs.started, Inputs.drained, Inputs.closed),
        "serving": (Inputs.started, Inputs.joined, Inputs.resume, Inputs.drained, Inputs.closed),
        "drained": (Inputs.started, Inputs.joined, Inputs.drain, Inputs.drained, Inputs.closed),
        "draining": (
            *(Inputs.started, Inputs.joined, Inputs.drain, Inputs.resume),
            *(Inputs.stop, Inputs.closed),
        ),
        "stopping": (
            *(Inputs.started, Inputs.joined, Inputs.drain, Inputs.resume),
            *(Inputs.stop, Inputs.drained),
        ),
        "stopped": (
            *(Inputs.started, Inputs.joined, Inputs.drain, Inputs.resume),
            *(Inputs.stop, Inputs.drained, Inputs.closed),
        ),
    }
    for name, events in ignored.items():
        for event in events:
            states[name].upon(event).loop().returns(None)


class LifeCycle:
    """Executes the steps of the node in the order of the life cycle.

    A VM that an operator drains is in state ``drained``: it reports that it is not ready, transfers
    its leadership, still serves the requests that arrive, and returns to ``serving`` when the
    operator ends the drain. ``draining`` is the first phase of a stop.

    Parameters
    ----------
    steps : LifeCycleSteps
        Implementation of the steps.
    drain_notice_s : float
        Time for which the VM still accepts requests after it has reported that it is not ready, in
        seconds.
    drain_limit_s : float
        Longest time to wait for requests in flight, in seconds.
    """

    def __init__(self, steps: LifeCycleSteps, drain_notice_s: float, drain_limit_s: float) -> None:
        self._steps = steps
        self._drain_notice_s = drain_notice_s
        self._drain_limit_s = drain_limit_s
        self._core = _Core(self)
        self._machine = _MACHINE(self._core)
        self._tasks: set[asyncio.Task] = set()
        self.finished = asyncio.Event()
        self.failure: BaseException | None = None

    @property
    def state(self) -> str:
        """Name of the current state."""
        return self._core.state

    def ready(self) -> bool:
        """Return whether the load balancer may send requests."""
        return self.state == "serving"

    def dump(self) -> dict[str, object]:
        """Return the state in JSON form."""
        return {
            "state": self.state,
            "ready": self.ready(),
            "operator_drain": self._core.operator_drain or self.state == "drained",
            "failure": repr(self.failure) if self.failure else None,
        }

    def start(self) -> None:
        """Start all parts in the background."""
        self._spawn(self._start())

    def stop(self) -> None:
        """Begin a graceful stop."""
        self._machine.stop()

    def set_operator_drain(self, drained: bool) -> None:
        """Apply the operator's drain flag of this VM from the configuration."""
        if drained:
            self._machine.drain()
        else:
            self._machine.resume()

    def _spawn(self, coro: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(self) -> None:
        _exclude_from_collection()
        try:
            await self._steps.start_parts()
        except Exception as exc:
            if self.state != "starting":
                return  # A stop began during the start; it closes the parts that had started.
            log.error("life cycle: start failed: %s", exc)
            self.failure = exc
            self._machine.stop()
        else:
            self._machine.started()

    def _begin_join(self) -> None:
        self._spawn(self._join())

    async def _join(self) -> None:
        await self._steps.join()
        _exclude_from_collection()
        self._machine.joined()

    def _begin_serving(self) -> None:
        if self._core.operator_drain:
            self._machine.drain()

    def _begin_operator_drain(self) -> None:
        self._steps.set_draining(True)
        self._spawn(self._run_step("leadership transfer", self._steps.transfer_leadership()))

    def _end_operator_drain(self) -> None:
        self._core.operator_drain = False
        self._steps.set_draining(False)

    def _begin_stop(self) -> None:
        self._spawn(self._drain(self._drain_notice_s))

    def _begin_stop_without_notice(self) -> None:
        """Stop a VM that was never ready, without the notice period for the load balancer."""
        self._spawn(self._drain(0.0))

    async def _drain(self, notice_s: float) -> None:
        self._steps.set_draining(True)
        await asyncio.sleep(notice_s)
        await self._run_step("stop of listening", self._steps.stop_listening())
        await self._run_step(
            "wait for requests", self._steps.finish_requests(self._drain_limit_s), None
        )
        self._machine.drained()

    def _begin_close(self) -> None:
        self._spawn(self._close())

    async def _close(self) -> None:
        await self._run_step("leadership transfer", self._steps.transfer_leadership())
        await self._run_step("leave", self._steps.leave())
        await self._run_step("close", self._steps.close())
        gc.unfreeze()
        self._machine.closed()
        self.finished.set()

    async def _run_step(
        self, name: str, step: Awaitable[None], limit_s: float | None = STOP_STEP_TIMEOUT_S
    ) -> None:
        """Run a step of the stop; a timeout or failure is logged and the stop continues."""
        try:
            await asyncio.wait_for(step, limit_s)
        except TimeoutError:
            log.warning("life cycle: %s took longer than %s s", name, limit_s)
        except Exception:
            log.exception("life cycle: %s failed", name)


def _exclude_from_collection() -> None:
    """Exclude all current objects from garbage collection.

    Modules, routes and connections are some 50,000 objects, most of which live as long as the
    process. A full collection that visits them blocks the process for longer than a latency
    objective while requests arrive.
    """
    gc.freeze()


_MACHINE = _build()
