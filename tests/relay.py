"""A TCP relay for one direction of connecting between two VMs, which can cut, freeze or delay."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json

from processes import HOST, Fleet, Vm


class Relay:
    """Forwards connections to one address.

    Parameters
    ----------
    host, port
        Where to forward to.
    """

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._cut = False
        self.delay_s = 0.0

    async def start(self) -> str:
        """Listen on a free port; return its address."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """End all connections and refuse new ones."""
        self._cut = True
        for writer in self._writers:
            writer.transport.abort()

    def freeze(self) -> None:
        """Keep connections open and forward nothing, as after a silent loss of the network."""
        self._flowing.clear()

    def heal(self) -> None:
        """Forward again."""
        self._cut = False
        self._flowing.set()

    async def close(self) -> None:
        """End the relay and its connections."""
        self._server.close()
        self.heal()
        self.cut()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=1.0)

    async def _accept(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self._cut:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(far_writer)
        pumps = [
            asyncio.ensure_future(self._pump(reader, far_writer)),
            asyncio.ensure_future(self._pump(far_reader, writer)),
        ]
        await asyncio.wait(pumps)
        self._writers -= {writer, far_writer}

    async def _pump(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._flowing.wait()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
        writer.close()


class Links:
    """The relays between all VMs of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._relays: dict[tuple[str, str], Relay] = {}

    async def start(self) -> None:
        """Open all relays and give their addresses to the VMs, which must not run yet."""
        routes: dict[str, dict[str, str]] = {vm.vm_id: {} for vm in self._fleet.vms}
        for source, target in itertools.permutations(self._fleet.vms, 2):
            relay = Relay(HOST, target.grpc)
            self._relays[source.vm_id, target.vm_id] = relay
            routes[source.vm_id][target.address] = await relay.start()
        for vm in self._fleet.vms:
            vm.env["BRAMLEYCRANK_RELAYS"] = json.dumps(routes[vm.vm_id])

    def between(self, *side: Vm) -> list[Relay]:
        """Return the relays between some VMs and all others."""
        names = {vm.vm_id for vm in side}
        return [r for (a, b), r in self._relays.items() if (a in names) != (b in names)]

    def delay(self, delay_s: float) -> None:
        """Delay what passes any link; data that arrives meanwhile goes on together."""
        for relay in self._relays.values():
            relay.delay_s = delay_s

    async def close(self) -> None:
        """Close all relays."""
        await asyncio.gather(*(relay.close() for relay in self._relays.values()))
