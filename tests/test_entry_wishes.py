"""Targets that leave or want no requests, as their answers say, over loopback."""

from __future__ import annotations

import asyncio

import pytest
from http_fakes import call, header, ok
from test_entry_controller import World, full, run, status

LEAVING = b"Server-Leaving: 1\r\n"


def with_header(response: bytes, line: bytes) -> bytes:
    return response.replace(b"\r\n", b"\r\n" + line, 1)


def leaves(request: bytes) -> bytes:
    return with_header(ok(request), LEAVING)


def sheds(hold: bytes):
    """Return a script that turns requests away for some time."""

    def script(request: bytes) -> bytes:
        identity = b"X-Request-Id: " + header(request, b"X-Request-Id") + b"\r\n"
        return with_header(full(request), b"Retry-After: " + hold + b"\r\n" + identity)

    return script


class LeavingWorld(World):
    """A world whose registry forgets targets that said that they leave."""

    def __init__(self, **scripts) -> None:
        super().__init__(**scripts)
        self.gone: list[tuple[str, int]] = []

    def targets(self, service):
        gone = {name for name, _ in self.gone}
        return [r for r in super().targets(service) if r.target_id not in gone]

    async def __aenter__(self):
        await super().__aenter__()
        entry_targets = self.entry._targets

        def mark_leaving(target_id: str, incarnation: int) -> None:
            self.gone.append((target_id, incarnation))
            entry_targets._refresh(target_id[0])

        entry_targets._source.mark_leaving = mark_leaving
        return self


def refusing(request: bytes) -> bytes:
    identity = b"X-Request-Id: " + header(request, b"X-Request-Id") + b"\r\n"
    return with_header(full(request), LEAVING + identity)


def failing(request: bytes) -> bytes:
    return leaves(request).replace(b" 200 OK", b" 500 Broken")


@pytest.mark.parametrize("answer", [leaves, refusing, failing])
def test_a_target_that_says_that_it_leaves_gets_nothing_more(answer):
    """Load pattern: a release, in which each target announces itself in answers of any status."""

    async def scenario(world):
        for _ in range(6):
            assert status(await world.get()) == 200
        assert world.gone in ([("a1", 1)], [])
        assert len(world.fakes["a1"].requests) <= 1
        assert world.gone == [("a1", 1)] * len(world.fakes["a1"].requests)

    run(scenario, LeavingWorld, a1=answer, a2=ok)


def test_a_late_answer_of_a_leaving_target_counts():
    async def scenario(world):
        world.fakes["a1"].delay_s = 0.4
        while not world.fakes["a1"].requests:
            await world.get()
        await asyncio.sleep(0.6)
        assert world.gone == [("a1", 1)]

    run(scenario, LeavingWorld, a1=leaves, a2=ok)


def stray(request: bytes) -> bytes:
    return leaves(request).replace(b"X-Request-Id: r1", b"X-Request-Id: other")


def misdirected(request: bytes) -> bytes:
    return leaves(request).replace(b" 200 OK", b" 421 Misdirected")


def nameless(request: bytes) -> bytes:
    return leaves(request).replace(b"X-Request-Id: r1\r\n", b"")


@pytest.mark.parametrize("wrong", [stray, misdirected, nameless])
def test_an_answer_of_somebody_else_marks_no_target(wrong):
    async def scenario(world):
        for _ in range(3):
            await world.get()
        assert world.gone == []

    run(scenario, LeavingWorld, a1=wrong, a2=wrong)


def test_all_copies_that_leave_end_the_service_with_a_truthful_refusal():
    async def scenario(world):
        assert status(await world.get()) == 200
        assert status(await world.get()) == 200
        refusal = await world.get()
        assert status(refusal) == 503 and float(header(refusal, b"Retry-After")) > 0
        assert sum(len(fake.requests) for fake in world.fakes.values()) == 2

    run(scenario, LeavingWorld, a1=leaves, a2=leaves)


def test_a_target_that_asks_for_a_pause_gets_nothing_until_its_end():
    """Load pattern: one copy sheds everything and says for how long; no request goes there."""

    async def scenario(world):
        for number in range(12):
            raw = f"GET /one/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q{number}\r\n\r\n"
            assert status(await call(world.port, raw.encode())) == 200
        assert len(world.fakes["a1"].requests) <= 1

    run(scenario, a1=sheds(b"30"), a2=ok)


def test_callers_are_refused_at_once_while_all_targets_are_held_back():
    async def scenario(world):
        first = await world.get("/order/x")
        assert status(first) == 503
        sent = sum(len(fake.requests) for fake in world.fakes.values())
        started = asyncio.get_running_loop().time()
        reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
        writer.write(b"GET /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert asyncio.get_running_loop().time() - started < 0.2
        assert status(head) == 503 and float(header(head, b"Retry-After")) >= 9.0
        assert sum(len(fake.requests) for fake in world.fakes.values()) == sent == 2

    run(scenario, a1=sheds(b"10"), a2=sheds(b"12.5"))


@pytest.mark.parametrize("value", [b"soon", b"-3", b"inf", b"nan"])
def test_a_hold_that_is_no_duration_holds_nothing_back(value):
    async def scenario(world):
        for _ in range(2):
            assert status(await world.get("/order/x")) == 503
        assert len(world.fakes["a1"].requests) == 2

    run(scenario, a1=sheds(value))


def test_a_gather_leaves_a_shard_out_that_is_held_back():
    async def scenario(world):
        await world.get("/all/q")
        answer = await world.get("/all/q")
        assert status(answer) == 200 and header(answer, b"X-Missing-Parts") == b"1"
        assert len(world.fakes["b1"].requests) == 1

    run(scenario, a1=ok, b1=sheds(b"20"))
