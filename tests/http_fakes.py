"""Scripted HTTP target and raw HTTP caller on loopback, for tests of the HTTP entry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable


class FakeTarget:
    """Responds to each request with the result of a script.

    The script returns raw bytes, an iterable of chunks that may be endless, or None to close the
    connection.
    """

    def __init__(self, script: Callable[[bytes], bytes | Iterable[bytes] | None]) -> None:
        self.script = script
        self.sent = 0
        self.requests: list[bytes] = []
        self.connections = 0
        self.closed = 0
        self.delay_s = 0.0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                lower = head.lower()
                _, _, length = lower.partition(b"content-length: ")
                body = (
                    await reader.readexactly(int(length.split(b"\r\n")[0] or 0)) if length else b""
                )
                self.requests.append(head + body)
                reply = self.script(head + body)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if reply is None:
                    return
                for piece in [reply] if isinstance(reply, bytes) else reply:
                    writer.write(piece)
                    await writer.drain()
                    self.sent += len(piece)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed += 1
            writer.close()


def header(request: bytes, name: bytes) -> bytes:
    """Return the value of a header of a raw request."""
    for line in request.split(b"\r\n"):
        key, _, value = line.partition(b": ")
        if key.lower() == name.lower():
            return value
    return b""


def ok(request: bytes, body: bytes = b"hello", **extra: bytes) -> bytes:
    """Return a valid response to a request."""
    lines = [
        b"HTTP/1.1 200 OK",
        b"X-Request-Id: " + header(request, b"X-Request-Id"),
        b"X-Server-Stamp: stamp",
        b"Content-Length: %d" % len(body),
        *(name.replace("_", "-").encode() + b": " + value for name, value in extra.items()),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def call(port: int, raw: bytes) -> bytes:
    """Send raw bytes and return all data until the connection closes or is idle for 0.6 s."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(raw)
    received = b""
    try:
        while chunk := await asyncio.wait_for(reader.read(65536), 0.6):
            received += chunk
    except TimeoutError:
        pass
    writer.close()
    return received
