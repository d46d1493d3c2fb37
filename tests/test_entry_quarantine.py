"""Tests how the HTTP entry treats a request that crashes the targets that run it."""

from __future__ import annotations

import asyncio

import pytest
from http_fakes import FakeTarget, call, header, ok
from test_entry_controller import EntryVm, run, status

CONFIRMED_S = 0.25
"""Time after an attempt in which the VM has found out that its targets crashed, in seconds."""


class CrashingTarget(FakeTarget):
    """A target that ends with all its connections when it begins to run the deadly request."""

    def __init__(self, script) -> None:
        super().__init__(script)
        self.deadly = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        await super()._serve(reader, writer)

    def crash(self) -> None:
        """Close the listener and all connections."""
        self.deadly += 1
        self.stop()
        for writer in self._writers:
            writer.close()


class CrashEntryVm(EntryVm):
    """An entry VM whose targets crash under requests with `dead` in their path."""

    def __init__(self, **scripts) -> None:
        super().__init__(**scripts)
        self.fakes = {name: CrashingTarget(self._script(name)) for name in scripts}

    def _script(self, name: str):
        def script(request: bytes) -> bytes | None:
            if b"dead" not in request.partition(b"\r\n")[0]:
                return ok(request)
            self.fakes[name].crash()
            return None

        return script

    @property
    def deadly_sends(self) -> int:
        """Targets that began to run the deadly request."""
        return sum(fake.deadly for fake in self.fakes.values())

    async def attempt(self, path: str, number: int, method: str = "GET") -> bytes:
        raw = f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: q{number}\r\n"
        raw += "Content-Length: 0\r\n\r\n" if method == "POST" else "\r\n"
        return await call(self.port, raw.encode())


NAMES = {f"{service}{number}": ok for service in "ab" for number in range(8)}


@pytest.mark.parametrize(
    ("path", "method"), [("/one/dead", "GET"), ("/order/dead", "POST"), ("/all/dead", "GET")]
)
def test_request_that_crashed_three_targets_reaches_no_further_one(path, method):
    """Guards against BUDGET: one request ended 133 targets and was sent again (1cee4a06)."""

    async def scenario(vm):
        statuses, crashes = [], []
        for number in range(8):
            response = await vm.attempt(path, number, method)
            statuses.append(status(response))
            await asyncio.sleep(CONFIRMED_S)
            crashes.append(vm.deadly_sends)
        third = next(number for number, count in enumerate(crashes) if count >= 3)
        assert crashes[-1] <= crashes[third] + 3, crashes
        assert crashes[-1] <= 6 and statuses[-1] == 503, (crashes, statuses)
        assert float(header(response, b"Retry-After")) > 1.0
        for number in range(3):
            assert status(await vm.attempt(path.replace("dead", "sound"), 20 + number)) == 200

    run(scenario, CrashEntryVm, **NAMES)
