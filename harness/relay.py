"""A TCP relay that can cut, freeze or delay what it passes on."""

from __future__ import annotations

import asyncio
import contextlib

from harness.processes import HOST

CHUNK_BYTES = 65536
"""Most bytes passed on at once."""


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
        self.reset()

    def reset(self) -> None:
        """End all connections."""
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
            asyncio.ensure_future(self._pump(reader, far_writer, answers=False)),
            asyncio.ensure_future(self._pump(far_reader, writer, answers=True)),
        ]
        await asyncio.wait(pumps)
        self._writers -= {writer, far_writer}

    def _drops(self, *, answers: bool) -> bool:
        """Whether bytes of the near side, or of the far one that answers, are lost."""
        return False

    async def _pump(self, reader, writer, *, answers: bool) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._flowing.wait()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self._drops(answers=answers):
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()
