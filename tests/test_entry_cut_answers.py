"""Answers of targets that end in the middle of their head, and stops of a VM with requests."""

from __future__ import annotations

import asyncio

from http_fakes import FakeTarget, header, ok
from test_entry_controller import EntryVm, run, status


class CuttingTarget(FakeTarget):
    """A target that closes the connection after the number of bytes that the path names."""

    def __init__(self, script) -> None:
        super().__init__(lambda request: None)
        self._answer = script

    async def _serve(self, reader, writer) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests.append(head)
            length = int(head.split(b" ")[1].rpartition(b"/")[2])
            writer.write(self._answer(head)[:length])
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class CutEntryVm(EntryVm):
    """An entry VM whose targets cut their answers."""

    def __init__(self, **scripts) -> None:
        super().__init__(**scripts)
        self.fakes = {name: CuttingTarget(script) for name, script in scripts.items()}


async def answer(vm: EntryVm, path: str, number: int, method: str = "GET") -> bytes:
    raw = f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: q{number:03}\r\n"
    reader, writer = await asyncio.open_connection("127.0.0.1", vm.port)
    writer.write((raw + "Connection: close\r\n\r\n").encode())
    try:
        return await reader.read()
    finally:
        writer.close()


def test_an_answer_cut_anywhere_in_its_head_is_no_success():
    """Guards against a 200 with an empty body for a target that stopped in its answer's head."""
    complete = ok(b"GET / HTTP/1.1\r\nX-Request-Id: q000\r\n\r\n")

    async def scenario(vm):
        for prefix in ("/one", "/order", "/all"):
            replies = await asyncio.gather(
                *(answer(vm, f"{prefix}/{length}", length) for length in range(len(complete)))
            )
            assert {status(reply) for reply in replies} <= {502, 503, 504}, prefix
        assert status(await answer(vm, f"/one/{len(complete)}", 0)) == 200

    run(scenario, CutEntryVm, a1=ok, a2=ok, b1=ok)


def unlimited(request: bytes) -> bytes:
    """Return an answer without a length, which ends with its connection."""
    return ok(request).replace(b"Content-Length: 5\r\n", b"")


def test_an_answer_without_a_length_is_complete_only_after_its_head():
    complete = unlimited(b"GET / HTTP/1.1\r\nX-Request-Id: q000\r\n\r\n")
    head = len(complete) - len(b"hello")

    async def scenario(vm):
        replies = await asyncio.gather(
            *(answer(vm, f"/one/{length}", length) for length in range(head))
        )
        assert {status(reply) for reply in replies} <= {502, 503, 504}
        assert (await answer(vm, f"/one/{len(complete)}", 0)).endswith(b"\r\n\r\nhello")

    run(scenario, CutEntryVm, a1=unlimited, a2=unlimited)


def test_a_request_that_is_complete_only_after_the_notice_of_a_stop_is_refused():
    """Guards against requests that are passed on late in the grace time and cut at its end."""

    async def scenario(vm):
        reader, writer = await asyncio.open_connection("127.0.0.1", vm.port)
        writer.write(b"POST /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n")
        await asyncio.sleep(0.05)
        vm.server.stop_listening()
        writer.write(b"Content-Length: 0\r\n\r\n")
        reply = await asyncio.wait_for(reader.read(), 2.0)
        writer.close()
        assert status(reply) == 503 and float(header(reply, b"Retry-After")) > 0
        assert b"connection: close" in reply.lower()
        assert not any(fake.requests for fake in vm.fakes.values())

    run(scenario, a1=ok)


def test_requests_in_flight_are_answered_at_the_end_of_the_grace_time():
    """Guards against requests that may not be repeated and end without any answer."""

    async def scenario(vm):
        vm.fakes["a1"].delay_s = 3.0
        paths = ("/order/x", "/one/x")  # the limit of the target lets the second one wait
        waiting = [asyncio.create_task(vm.get(path)) for path in paths]
        await asyncio.sleep(0.2)
        vm.server.stop_listening()
        vm.entry.end_requests()
        assert [status(reply) for reply in await asyncio.gather(*waiting)] == [502, 503]
        assert len(vm.fakes["a1"].requests) == 1

    run(scenario, a1=ok)
