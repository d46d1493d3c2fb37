"""Tests requests that one entry VM hands to another one, over loopback with scripted targets."""

from __future__ import annotations

import asyncio

from http_fakes import header, ok
from test_entry_controller import TABLE, EntryVm, refusing, run, status

from bramleycrank.proto.log_pb2 import RouteTable
from bramleycrank.proto.peer_pb2 import VM_STATE_ALIVE, VmRecord
from bramleycrank.transport.http1 import Http1Server


class FixedLevel:
    """A gather level with one gatherer."""

    share_factor = 1.0

    def __init__(self, vm_id: str, *gatherers: str) -> None:
        self.gatherers = gatherers
        self.is_gatherer = vm_id in gatherers

    def set_vms(self, vms) -> None:
        pass

    def dump(self) -> dict:
        return {}


class GatheringEntryVm(EntryVm):
    """An entry VM that hands requests over shards to a second one with the same targets."""

    def __init__(self, **scripts) -> None:
        super().__init__(**scripts)
        self.gatherer = EntryVm()
        self.gatherer.fakes = self.fakes
        self.gatherer.level = FixedLevel("g", "g")
        self.level = FixedLevel("vm1", "g")

    async def __aenter__(self):
        await super().__aenter__()
        self.gatherer.entry = await self._start_gatherer()
        handler = type("Handler", (), {})()
        handler.on_request = self.gatherer.entry.on_forwarded_request
        self.gather_server = Http1Server(handler)
        await self.gather_server.start("127.0.0.1", 0)
        port = self.gather_server._server.sockets[0].getsockname()[1]
        self.vms = [
            VmRecord(
                vm_id="g",
                incarnation=1,
                state=VM_STATE_ALIVE,
                domain="d",
                host="127.0.0.1",
                port=1,
                gather_port=port,
            )
        ]
        self.entry._gathering.update_vms()
        return self

    async def _start_gatherer(self):
        for fake in self.fakes.values():
            fake.start = _nothing  # they are started already
        await self.gatherer.__aenter__()
        return self.gatherer.entry

    async def __aexit__(self, *exc: object) -> None:
        self.gather_server.close()
        self.gatherer.fakes = {}
        await self.gatherer.__aexit__(*exc)
        await super().__aexit__(*exc)

    @property
    def handovers(self) -> int:
        return len(self.entry._gathering.dump()["connections"]["g"]) and self._replies()

    def _replies(self) -> int:
        return self.entry._gathering.dump()["observed"]["g"]["replies"]


async def _nothing() -> None:
    pass


def test_the_gatherer_asks_the_targets_and_its_answer_reaches_the_caller():
    async def scenario(vm):
        for _ in range(3):
            response = await vm.get("/all/q", "X-Deadline-Ms: 900\r\n")
            assert status(response) == 200 and header(response, b"X-Request-Id") == b"r1"
            assert header(response, b"X-Part-Stamps") == b"stamp, stamp"
            assert response.endswith(b"b" * 16 + b"a" * 16)
        assert vm.handovers == 3
        for fake in vm.fakes.values():
            assert len(fake.requests) == 3
            assert all(b"bramleycrank" not in request.lower() for request in fake.requests)
            assert all(int(header(r, b"X-Deadline-Ms")) <= 900 for r in fake.requests)
        assert status(await vm.get("/one/x")) == 200 and vm.handovers == 3, "a single target"

    parts = {name: lambda r, n=name: ok(r, n[0].encode() * 16) for name in ("a1", "b1")}
    run(scenario, GatheringEntryVm, **parts)


def test_a_gatherer_with_other_routes_does_not_start_the_request():
    """Guards against an answer by routes that the caller's VM has replaced."""

    async def scenario(vm):
        newer = RouteTable()
        newer.CopyFrom(TABLE)
        newer.version = 2
        vm.table = newer
        for callback in vm.callbacks:
            callback()
        assert status(await vm.get("/all/q")) == 200
        assert vm.handovers == 0
        assert all(len(fake.requests) == 1 for fake in vm.fakes.values())

    run(scenario, GatheringEntryVm, a1=ok, b1=ok)


def test_a_gatherer_that_knows_no_targets_returns_the_request():
    """Load pattern: a gatherer has just started and knows the routes, but no targets yet."""

    async def scenario(vm):
        vm.gatherer.fakes = {}
        for service in "ab":
            vm.gatherer.entry._targets._refresh(service)
        assert status(await vm.get("/all/q")) == 200
        assert all(len(fake.requests) == 1 for fake in vm.fakes.values())

    run(scenario, GatheringEntryVm, a1=ok, b1=ok)


def test_the_vm_gathers_itself_while_no_gatherer_can_be_reached():
    async def scenario(vm):
        vm.gather_server.close()
        for _ in range(3):
            assert status(await vm.get("/all/q")) == 200
        assert all(len(fake.requests) == 3 for fake in vm.fakes.values())

    run(scenario, GatheringEntryVm, a1=ok, b1=ok)


def test_a_request_that_reached_a_lost_gatherer_is_not_repeated():
    """Guards against more attempts at a target than the route allows."""

    async def scenario(vm):
        for fake in vm.fakes.values():
            fake.delay_s = 0.3
        response = asyncio.ensure_future(vm.get("/all/q"))
        await asyncio.sleep(0.1)
        for conn in list(vm.gather_server.connections):
            conn._transport.abort()
        assert status(await response) == 502
        assert all(len(fake.requests) <= 2 for fake in vm.fakes.values())

    run(scenario, GatheringEntryVm, a1=ok, b1=ok)


def test_refusals_of_the_gatherer_keep_their_time_of_return():
    async def scenario(vm):
        response = await vm.get("/all/q")
        assert status(response) == 503 and float(header(response, b"Retry-After")) > 0

    run(scenario, GatheringEntryVm, a1=refusing, b1=refusing)


def test_targets_stop_when_the_caller_of_the_other_vm_disconnects():
    async def scenario(vm):
        for fake in vm.fakes.values():
            fake.delay_s = 0.8
        _, writer = await asyncio.open_connection("127.0.0.1", vm.port)
        writer.write(b"GET /all/q HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n")
        await asyncio.sleep(0.2)
        writer.close()
        await asyncio.sleep(0.2)
        assert vm.entry._gathering.busy is False and vm.gatherer.entry.in_flight == 0

    run(scenario, GatheringEntryVm, a1=ok, b1=ok)
