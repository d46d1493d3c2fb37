"""A TCP relay that can refuse, freeze, reset or delay connections."""

from __future__ import annotations

import asyncio
import contextlib

from harness.processes import HOST

CHUNK_BYTES = 65536
"""Maximum size of one read."""


class Relay:
    """Forwards connections to the address of one server.

    Parameters
    ----------
    host, port
        Address of the server.
    """

    def __init__(self, host: str, port: int) -> None:
        self._server_address = (host, port)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._not_frozen = asyncio.Event()
        self._not_frozen.set()
        self._refusing = False
        self.delay_s = 0.0

    async def start(self) -> str:
        """Listen on a free port; return its address."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def refuse_connections(self) -> None:
        """Abort all connections, and new ones as soon as they are accepted."""
        self._refusing = True
        self.reset()

    def reset(self) -> None:
        """Abort all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def freeze(self) -> None:
        """Keep connections open and forward nothing, as a network that drops all packets."""
        self._not_frozen.clear()

    def heal(self) -> None:
        """Accept connections and forward data again."""
        self._refusing = False
        self._not_frozen.set()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        self.heal()
        self.refuse_connections()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=1.0)

    async def _accept(self, client_reader, client_writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self._refusing:
            client_writer.transport.abort()
            return
        self._writers.add(client_writer)
        try:
            server_reader, server_writer = await asyncio.open_connection(*self._server_address)
        except OSError:
            client_writer.transport.abort()
            return
        self._writers.add(server_writer)
        forward_tasks = [
            asyncio.ensure_future(self._forward(client_reader, server_writer, from_server=False)),
            asyncio.ensure_future(self._forward(server_reader, client_writer, from_server=True)),
        ]
        await asyncio.wait(forward_tasks)
        self._writers -= {client_writer, server_writer}

    def _drops(self, *, from_server: bool) -> bool:
        """Return whether data of this direction is dropped instead of forwarded."""
        return False

    async def _forward(self, reader, writer, *, from_server: bool) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._not_frozen.wait()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self._drops(from_server=from_server):
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()
