"""Tests how the HTTP entry treats targets whose responses announce leaving or request a hold."""

from __future__ import annotations

import asyncio

import pytest
from http_fakes import call, header, ok
from test_entry_controller import EntryVm, refusing, run, status

LEAVING_HEADER = b"Server-Leaving: 1\r\n"


def with_header(response: bytes, line: bytes) -> bytes:
    return response.replace(b"\r\n", b"\r\n" + line, 1)


def leaves(request: bytes) -> bytes:
    return with_header(ok(request), LEAVING_HEADER)


def sheds(hold: bytes):
    """Return a script that refuses requests and requests a hold."""

    def script(request: bytes) -> bytes:
        identity = b"X-Request-Id: " + header(request, b"X-Request-Id") + b"\r\n"
        return with_header(refusing(request), b"Retry-After: " + hold + b"\r\n" + identity)

    return script


class LeavingEntryVm(EntryVm):
    """An entry VM whose registry removes targets that announced that they leave."""

    def __init__(self, **scripts) -> None:
        super().__init__(**scripts)
        self.left: list[tuple[str, int]] = []

    def targets(self, service):
        left = {name for name, _ in self.left}
        return [r for r in super().targets(service) if r.target_id not in left]

    async def __aenter__(self):
        await super().__aenter__()
        entry_targets = self.entry._targets

        def mark_leaving(target_id: str, incarnation: int) -> None:
            self.left.append((target_id, incarnation))
            entry_targets._refresh(target_id[0])

        entry_targets._source.mark_leaving = mark_leaving
        return self


def refuses_and_leaves(request: bytes) -> bytes:
    identity = b"X-Request-Id: " + header(request, b"X-Request-Id") + b"\r\n"
    return with_header(refusing(request), LEAVING_HEADER + identity)


def fails_and_leaves(request: bytes) -> bytes:
    return leaves(request).replace(b" 200 OK", b" 500 Broken")


@pytest.mark.parametrize("answer", [leaves, refuses_and_leaves, fails_and_leaves])
def test_leaving_target_receives_no_further_requests(answer):
    """Load pattern: a rolling restart, announced in responses of any status."""

    async def scenario(vm):
        for _ in range(6):
            assert status(await vm.get()) == 200
        assert vm.left in ([("a1", 1)], [])
        assert len(vm.fakes["a1"].requests) <= 1
        assert vm.left == [("a1", 1)] * len(vm.fakes["a1"].requests)

    run(scenario, LeavingEntryVm, a1=answer, a2=ok)


def test_late_response_marks_its_target_as_leaving():
    async def scenario(vm):
        vm.fakes["a1"].delay_s = 0.4
        while not vm.fakes["a1"].requests:
            await vm.get()
        await asyncio.sleep(0.6)
        assert vm.left == [("a1", 1)]

    run(scenario, LeavingEntryVm, a1=leaves, a2=ok)


def mismatched(request: bytes) -> bytes:
    return leaves(request).replace(b"X-Request-Id: r1", b"X-Request-Id: other")


def misdirected(request: bytes) -> bytes:
    return leaves(request).replace(b" 200 OK", b" 421 Misdirected")


def without_request_id(request: bytes) -> bytes:
    return leaves(request).replace(b"X-Request-Id: r1\r\n", b"")


@pytest.mark.parametrize("script", [mismatched, misdirected, without_request_id])
def test_response_to_another_request_or_target_marks_no_target_as_leaving(script):
    async def scenario(vm):
        for _ in range(3):
            await vm.get()
        assert vm.left == []

    run(scenario, LeavingEntryVm, a1=script, a2=script)


def test_target_whose_address_another_one_has_receives_no_further_requests():
    """Load pattern: a part of the targets ends, and targets of other services get the addresses."""

    async def scenario(vm):
        # On connections that are kept open, 12 requests would take longer than the target counts as
        # absent.
        close = "Connection: close\r\n"
        for _ in range(12):
            assert status(await vm.get(extra=close)) == 200
        assert len(vm.fakes["a1"].requests) <= 1
        vm.fakes["a2"].script = misdirected
        assert status(await vm.get(extra=close)) == 503
        refusal = await vm.get(extra=close)
        assert status(refusal) == 503 and 0 < float(header(refusal, b"Retry-After")) < 1.0

    run(scenario, a1=misdirected, a2=ok)


def test_requests_get_503_with_retry_after_once_all_targets_have_left():
    async def scenario(vm):
        assert status(await vm.get()) == 200
        assert status(await vm.get()) == 200
        refusal = await vm.get()
        assert status(refusal) == 503 and float(header(refusal, b"Retry-After")) > 0
        assert sum(len(fake.requests) for fake in vm.fakes.values()) == 2

    run(scenario, LeavingEntryVm, a1=leaves, a2=leaves)


def test_target_that_requests_a_hold_receives_no_requests_until_it_ends():
    """Load pattern: one replica sheds all requests and requests a hold."""

    async def scenario(vm):
        for number in range(12):
            raw = f"GET /one/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q{number}\r\n\r\n"
            assert status(await call(vm.port, raw.encode())) == 200
        assert len(vm.fakes["a1"].requests) <= 1

    run(scenario, a1=sheds(b"30"), a2=ok)


def test_callers_are_refused_immediately_while_all_targets_are_held_back():
    async def scenario(vm):
        first = await vm.get("/order/x")
        assert status(first) == 503
        sent = sum(len(fake.requests) for fake in vm.fakes.values())
        started = asyncio.get_running_loop().time()
        reader, writer = await asyncio.open_connection("127.0.0.1", vm.port)
        writer.write(b"GET /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert asyncio.get_running_loop().time() - started < 0.2
        assert status(head) == 503 and float(header(head, b"Retry-After")) >= 9.0
        assert sum(len(fake.requests) for fake in vm.fakes.values()) == sent == 2

    run(scenario, a1=sheds(b"10"), a2=sheds(b"12.5"))


@pytest.mark.parametrize("value", [b"soon", b"-3", b"inf", b"nan"])
def test_invalid_hold_durations_are_ignored(value):
    async def scenario(vm):
        for _ in range(2):
            assert status(await vm.get("/order/x")) == 503
        assert len(vm.fakes["a1"].requests) == 2

    run(scenario, a1=sheds(value))


def test_merged_answer_omits_a_shard_whose_targets_are_held_back():
    async def scenario(vm):
        await vm.get("/all/q")
        response = await vm.get("/all/q")
        assert status(response) == 200 and header(response, b"X-Missing-Parts") == b"1"
        assert len(vm.fakes["b1"].requests) == 1

    run(scenario, a1=ok, b1=sheds(b"20"))


def limits(per_s: bytes):
    """Return a script that answers and names a rate limit."""

    def script(request: bytes) -> bytes:
        return with_header(ok(request), b"Server-Limit: " + per_s + b"\r\n")

    return script


def test_the_dump_shows_the_limit_of_a_target_and_what_was_sent():
    async def scenario(vm):
        assert status(await vm.get()) == 200
        assert status(await vm.get()) == 200
        shown = vm.entry.dump()["targets"]["policy"]["rate_limits"]
        assert shown["a1"] == {"per_s": 12.5, "sent_in_4_s": 1}

    run(scenario, a1=limits(b"12.5"))


@pytest.mark.parametrize("per_s", [b"many", b"-1", b"nan", b"inf", b""])
def test_a_limit_that_is_not_a_rate_changes_nothing(per_s):
    async def scenario(vm):
        for _ in range(3):
            assert status(await vm.get()) == 200
        assert vm.entry.dump()["targets"]["policy"]["rate_limits"] == {}

    run(scenario, a1=limits(per_s))


def test_a_reply_without_a_limit_ends_it_and_a_refusal_does_not():
    async def scenario(vm):
        rates = vm.entry._targets.policy.rate_limits
        assert status(await vm.get()) == 200
        vm.fakes["a1"].script = sheds(b"0")
        await vm.get()
        assert rates.dump(0.0)["a1"]["per_s"] == 50.0
        vm.fakes["a1"].script = ok
        assert status(await vm.get()) == 200
        assert rates.dump(0.0) == {}

    run(scenario, a1=limits(b"50"))
