"""Callers of the soak: a steady load over persistent and new connections."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

import attrs

from harness.platform_fleet import ENTRY_PORT, PlatformVm

DEADLINE_S = 2.5
"""Deadline of a request; a caller waits no longer for the answer."""

MEAN_THINK_TIME_S = 0.05
"""Mean time between an answer and the next request of a caller."""

IDLE_S = 0.05
"""Time after which a caller that sends nothing looks again."""

FORGED_NAME, FORGED_SHARE = "forged", 0.1
"""Name of a customer that callers claim to be, and the share of requests in which they do."""


@attrs.define
class Outcome:
    """The result of one request, as its caller observed it.

    Parameters
    ----------
    status : int
        HTTP status; 0 if there was no connection, -1 if the connection ended without an answer,
        -2 if the deadline passed.
    key : str, optional
        Key of a customer that the request carried.
    """

    request_id: str
    path: str
    entry: str
    sent: float
    ended: float
    status: int
    headers: dict[str, str]
    body: bytes
    key: str = ""


class Caller:
    """Sends requests to one entry VM, one at a time.

    Parameters
    ----------
    name : str
        Prefix of the request ids.
    entry : PlatformVm
        The entry VM to which the caller connects.
    outcomes : list of Outcome
        List to which the result of each request is appended.
    rng : random.Random
        Random numbers for paths and times.
    choose_key : callable, optional
        Returns the key of the next request, empty for none, or None while nothing is sent.
    think_time_s : float, optional
        Mean time between an answer and the next request, in seconds.
    """

    def __init__(
        self,
        name: str,
        entry: PlatformVm,
        outcomes: list[Outcome],
        rng: random.Random,
        choose_key: Callable[[], str | None] | None = None,
        think_time_s: float = MEAN_THINK_TIME_S,
    ) -> None:
        self._name = name
        self._entry = entry
        self._outcomes = outcomes
        self._rng = rng
        self._choose_key = choose_key
        self._think_time_s = think_time_s
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        number = 0
        try:
            while True:
                key = self._choose_key() if self._choose_key is not None else ""
                if key is None:
                    await asyncio.sleep(IDLE_S)
                    continue
                number += 1
                path = self._rng.choices(("/all/q", "/one/q", "/order/q"), (6, 2, 2))[0]
                self._outcomes.append(await self._request(f"{self._name}-{number}", path, key))
                await asyncio.sleep(self._rng.expovariate(1 / self._think_time_s))
        finally:
            self._close()

    async def _request(self, request_id: str, path: str, key: str) -> Outcome:
        loop = asyncio.get_running_loop()
        outcome = Outcome(request_id, path, self._entry.name, loop.time(), 0.0, 0, {}, b"", key)
        method = "POST" if path.startswith("/order") else "GET"
        request = f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request_id}\r\n"
        if key:
            request += f"Authorization: Token {key}\r\n"
        if self._choose_key is not None and self._rng.random() < FORGED_SHARE:
            request += f"X-Tenant: {FORGED_NAME}\r\n"
        request += f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\nContent-Length: 0\r\n\r\n"
        try:
            async with asyncio.timeout(DEADLINE_S):
                if self._writer is None:
                    address = self._entry.ip, ENTRY_PORT
                    self._reader, self._writer = await asyncio.open_connection(*address)
                outcome.status = -1
                self._writer.write(request.encode())
                await self._read_response(outcome)
        except TimeoutError:
            outcome.status = -2
            self._close()
        except (OSError, asyncio.IncompleteReadError):
            self._close()
        outcome.ended = loop.time()
        if outcome.headers.get("connection") == "close" or self._rng.random() < 0.1:
            self._close()
        return outcome

    async def _read_response(self, outcome: Outcome) -> None:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = (line.partition(": ") for line in head[1:] if line)
        outcome.headers = {name.lower(): value for name, _, value in fields}
        length = int(outcome.headers.get("content-length", "0"))
        outcome.body = await self._reader.readexactly(length)
        outcome.status = int(head[0].split()[1])

    def _close(self) -> None:
        if self._writer is not None:
            with contextlib.suppress(OSError):
                self._writer.close()
        self._reader = self._writer = None
