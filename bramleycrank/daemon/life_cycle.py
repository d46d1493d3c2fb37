"""Life cycle of the daemon: start, join, serve, drain and stop without cutting a request."""

from __future__ import annotations

import asyncio
import gc
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs
from automat import TypeMachineBuilder

log = logging.getLogger(__name__)

# Parts that tell others about the stop may not hold it up for longer, in seconds.
FAREWELL_LIMIT_S = 5.0


class Steps(Protocol):
    """What the life cycle asks of the node, in this order."""

    async def start_parts(self) -> None:
        """Open the data folder and start all controllers and listeners."""

    async def join(self) -> None:
        """Wait until a configuration is in force."""

    def set_draining(self, draining: bool) -> None:
        """Tell the other VMs whether this VM is draining."""

    async def stop_listening(self) -> None:
        """Accept no new requests of callers."""

    async def finish_requests(self, limit_s: float) -> None:
        """Wait until no request is in flight."""

    async def transfer_leadership(self) -> None:
        """Hand the leadership over, if this VM leads."""

    async def leave(self) -> None:
        """Tell the other VMs that this VM has left."""

    async def close(self) -> None:
        """Close sessions, listeners and the data folder."""


class Inputs(Protocol):
    """Events that move the life cycle."""

    def started(self) -> None:
        """Take note that all parts run."""

    def joined(self) -> None:
        """Take note that a configuration is in force."""

    def drain(self) -> None:
        """Drain the VM for an operator."""

    def resume(self) -> None:
        """End the drain of an operator."""

    def stop(self) -> None:
        """Stop after SIGTERM or a failure to start."""

    def drained(self) -> None:
        """Take note that no request is in flight."""

    def closed(self) -> None:
        """Take note that all parts are closed."""


@attrs.define
class _Core:
    """State shared by the transitions."""

    life_cycle: LifeCycle
    state: str = "starting"
    operator_drain: bool = False


def _build() -> Callable[[_Core], Inputs]:
    """Return the factory of the state machine."""
    builder = TypeMachineBuilder(Inputs, _Core)
    states = {
        name: builder.state(name)
        for name in ("starting", "joining", "serving", "drained", "draining", "stopping", "stopped")
    }

    def move(source: str, event: Callable, target: str, output: Callable | None = None) -> None:
        def run(inputs: Inputs, core: _Core) -> None:
            core.state = target
            log.info("life cycle: %s -> %s", source, target)
            if output is not None:
                output(core.life_cycle)

        run.__name__ = f"{source}_{event.__name__}"
        states[source].upon(event).to(states[target])(run)

    def remember(source: str, event: Callable, drain: bool) -> None:
        def run(inputs: Inputs, core: _Core) -> None:
            core.operator_drain = drain

        run.__name__ = f"{source}_{event.__name__}"
        states[source].upon(event).loop()(run)

    move("starting", Inputs.started, "joining", LifeCycle._begin_join)
    move("joining", Inputs.joined, "serving", LifeCycle._begin_serving)
    move("serving", Inputs.drain, "drained", LifeCycle._begin_operator_drain)
    move("drained", Inputs.resume, "serving", LifeCycle._end_operator_drain)
    move("serving", Inputs.stop, "draining", LifeCycle._begin_stop)
    move("drained", Inputs.stop, "draining", LifeCycle._begin_stop)
    move("joining", Inputs.stop, "draining", LifeCycle._begin_stop_unannounced)
    move("starting", Inputs.stop, "stopping", LifeCycle._begin_close)
    move("draining", Inputs.drained, "stopping", LifeCycle._begin_close)
    move("stopping", Inputs.closed, "stopped")
    for name in ("starting", "joining"):
        remember(name, Inputs.drain, True)
        remember(name, Inputs.resume, False)
    _ignore_the_rest(states)
    return builder.build()


def _ignore_the_rest(states: dict) -> None:
    """Let every event that means nothing in a state pass without effect.

    A second SIGTERM, an operator's drain during a stop, or a configuration that arrives while
    the VM stops are no errors.
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
    """Runs the steps of the node in the order of the life cycle.

    ``drained`` is the state of a VM that an operator drains: it refuses readiness and gives up
    leadership, goes on serving what reaches it, and returns to ``serving`` when the operator
    ends the drain. ``draining`` is the first part of a stop.

    Parameters
    ----------
    steps : Steps
        The node.
    drain_notice_s : float
        How long the VM goes on accepting after readiness fails, in seconds.
    drain_limit_s : float
        Longest wait for requests in flight, in seconds.
    """

    def __init__(self, steps: Steps, drain_notice_s: float, drain_limit_s: float) -> None:
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
        """Name of the state."""
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
        """Begin to start all parts."""
        self._spawn(self._start())

    def stop(self) -> None:
        """Begin a graceful stop."""
        self._machine.stop()

    def set_operator_drain(self, drained: bool) -> None:
        """Take over what the configuration says about this VM."""
        if drained:
            self._machine.drain()
        else:
            self._machine.resume()

    def _spawn(self, coro: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(self) -> None:
        _freeze_long_lived()
        try:
            await self._steps.start_parts()
        except Exception as exc:
            if self.state != "starting":
                return  # The stop that came first closes what had started.
            log.error("life cycle: start failed: %s", exc)
            self.failure = exc
            self._machine.stop()
        else:
            self._machine.started()

    def _begin_join(self) -> None:
        self._spawn(self._join())

    async def _join(self) -> None:
        await self._steps.join()
        _freeze_long_lived()
        self._machine.joined()

    def _begin_serving(self) -> None:
        if self._core.operator_drain:
            self._machine.drain()

    def _begin_operator_drain(self) -> None:
        self._steps.set_draining(True)
        self._spawn(self._guard("leadership transfer", self._steps.transfer_leadership()))

    def _end_operator_drain(self) -> None:
        self._core.operator_drain = False
        self._steps.set_draining(False)

    def _begin_stop(self) -> None:
        self._spawn(self._drain(self._drain_notice_s))

    def _begin_stop_unannounced(self) -> None:
        """Stop a VM that was never ready: the load balancer needs no notice."""
        self._spawn(self._drain(0.0))

    async def _drain(self, notice_s: float) -> None:
        self._steps.set_draining(True)
        await asyncio.sleep(notice_s)
        await self._guard("stop of listening", self._steps.stop_listening())
        await self._guard(
            "wait for requests", self._steps.finish_requests(self._drain_limit_s), None
        )
        self._machine.drained()

    def _begin_close(self) -> None:
        self._spawn(self._close())

    async def _close(self) -> None:
        await self._guard("leadership transfer", self._steps.transfer_leadership())
        await self._guard("leave", self._steps.leave())
        await self._guard("close", self._steps.close())
        gc.unfreeze()
        self._machine.closed()
        self.finished.set()

    async def _guard(
        self, what: str, step: Awaitable[None], limit_s: float | None = FAREWELL_LIMIT_S
    ) -> None:
        """Run a step of the stop; its failure is logged and does not end the stop."""
        try:
            await asyncio.wait_for(step, limit_s)
        except TimeoutError:
            log.warning("life cycle: %s took longer than %s s", what, limit_s)
        except Exception:
            log.exception("life cycle: %s failed", what)


def _freeze_long_lived() -> None:
    """Keep the garbage collector away from what lives as long as the process.

    Modules, routes and connections are some 50,000 objects. A full collection over them stops the
    process for longer than a latency objective, at a moment when requests come.
    """
    gc.freeze()


_MACHINE = _build()
