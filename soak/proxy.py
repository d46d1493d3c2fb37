"""A loopback proxy before a target, which delays, resets, cuts and silences connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum

CHUNK_BYTES = 64 * 1024
"""Most bytes passed on at once."""


class Mode(enum.StrEnum):
    """What the proxy does with what it should pass on."""

    PASS = "pass"
    DELAY = "delay"  # every chunk comes later
    REFUSE = "refuse"  # new connections are reset, open ones are cut
    DEAF = "deaf"  # the target hears nothing, one way only
    MUTE = "mute"  # the caller hears nothing, one way only
    SILENT = "silent"  # nothing passes either way, and nothing is reset


class Proxy:
    """Passes connections on to a port of this machine.

    Parameters
    ----------
    port : int
        Port of the target.
    """

    def __init__(self, port: int) -> None:
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.port = 0
        self._target = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and cut what is open."""
        self._server.close()
        self.cut()

    def set(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Change the mode; open connections are cut where new ones are reset."""
        self.mode, self.delay_s = mode, delay_s
        if mode is Mode.REFUSE:
            self.cut()

    def cut(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode is Mode.REFUSE:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        # Cancelled at the end of the run; asyncio would log it as an error of the server.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._pass(reader, far_writer, Mode.DEAF), self._pass(far_reader, writer, Mode.MUTE)
            )
        self._writers -= {writer, far_writer}
        writer.close()
        far_writer.close()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut: Mode
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self.delay_s)
                if self.mode in (cut, Mode.SILENT):
                    continue  # lost, as behind a cut; the connection stays
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(ConnectionError, OSError):
            writer.close()
