"""Tests the HTTP entry while domains are evacuated, and routes that are bound to regions."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from http_fakes import header, ok
from test_entry_controller import TABLE, EntryVm, run, status

from bramleycrank.entry.usable_targets import UsableTargets
from bramleycrank.proto.log_pb2 import RouteTable

DOMAINS = {"a1": "north", "a2": "south", "b1": "north", "b2": "south"}
REGIONS = {"north": "r1", "south": "r2"}


class DomainEntryVm(EntryVm):
    """An entry VM whose targets are in two domains that can be evacuated."""

    def __init__(self, **scripts) -> None:
        super().__init__(**scripts)
        self.evacuated: list[str] = []
        self.target_callbacks: list = []
        self.config_callbacks: list = []

    def targets(self, service):
        records = super().targets(service)
        for record in records:
            record.domain = DOMAINS[record.target_id]
        return records

    async def __aenter__(self):
        await super().__aenter__()
        registry = SimpleNamespace(
            targets=self.targets,
            all_targets=lambda: [*self.targets("a"), *self.targets("b")],
            subscribe_targets=self.target_callbacks.append,
            warm_at=lambda target_id: 0.0,
            vm_count=lambda domain=None: 1,
            caller_vms=list,
        )
        config = SimpleNamespace(
            evacuated_domains=lambda: self.evacuated, subscribe=self.config_callbacks.append
        )
        entry_targets = self.entry._targets
        entry_targets._source = UsableTargets(registry, config, asyncio.get_running_loop().time)
        entry_targets._source.subscribe_targets(entry_targets._on_target)
        entry_targets.policy._regions = REGIONS
        return self

    def set_evacuated(self, *domains: str) -> None:
        self.evacuated = list(domains)
        for callback in self.config_callbacks:
            callback()

    def requests(self, *names: str) -> int:
        return sum(len(self.fakes[name].requests) for name in names)


class UnopenedConnection:
    """A connection that never opens."""

    connected = closed = False
    idle_until = None

    def close(self) -> None:
        pass


def test_targets_of_an_evacuated_domain_receive_nothing_new():
    async def scenario(vm):
        for _ in range(4):
            assert status(await vm.get()) == 200
        vm.set_evacuated("north")
        before = vm.requests("a1", "b1")
        for _ in range(4):
            assert status(await vm.get()) == 200
            assert status(await vm.get("/all/q")) == 200
        assert vm.requests("a1", "b1") == before
        vm.set_evacuated()
        # The returned target is cold at first, so a warm one is preferred.
        assert status(await vm.get()) == 200
        assert vm.requests("a1", "b1") == before
        vm.set_evacuated("south")
        assert status(await vm.get()) == 200
        assert vm.requests("a1") > before - vm.requests("b1")

    run(scenario, DomainEntryVm, a1=ok, a2=ok, b1=ok, b2=ok)


def test_hedges_and_retries_do_not_reach_an_evacuated_domain():
    """Guards against an extra sub-request that finds its target by another way."""

    async def scenario(vm):
        vm.set_evacuated("north")
        vm.fakes["a2"].delay_s = 0.3
        for _ in range(2):
            assert status(await vm.get()) == 200
        vm.fakes["a2"].script = lambda request: None
        assert status(await vm.get()) == 502
        assert vm.requests("a1") == 0

    run(scenario, DomainEntryVm, a1=ok, a2=ok)


def test_callers_are_refused_at_once_while_all_domains_are_evacuated():
    async def scenario(vm):
        vm.set_evacuated("north", "south")
        loop = asyncio.get_running_loop()
        reader, writer = await asyncio.open_connection("127.0.0.1", vm.port)
        started = loop.time()
        writer.write(b"GET /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert loop.time() - started < 0.2
        assert status(head) == 503 and float(header(head, b"Retry-After")) > 0
        assert vm.requests("a1", "a2") == 0
        vm.set_evacuated("north")
        assert status(await vm.get()) == 200

    run(scenario, DomainEntryVm, a1=ok, a2=ok)


def test_a_route_with_regions_reaches_only_their_targets():
    """Guards against a request that leaves its regions by a hedge or for lack of targets."""

    async def scenario(vm):
        table = RouteTable()
        table.CopyFrom(TABLE)
        table.version = 2
        for route in table.routes:
            route.regions.append("r2")
        vm.table = table
        for callback in vm.callbacks:
            callback()
        vm.fakes["a2"].delay_s = 0.3
        assert status(await vm.get()) == 200
        assert status(await vm.get("/all/q")) == 200
        vm.set_evacuated("south")
        assert status(await vm.get()) == 503
        assert status(await vm.get("/all/q")) == 503
        assert vm.requests("a1", "b1") == 0

    run(scenario, DomainEntryVm, a1=ok, a2=ok, b1=ok, b2=ok)


def test_a_request_that_waits_for_a_connection_goes_to_another_domain_after_an_evacuation():
    """Guards against a request that reaches the domain once its connection opens."""

    async def scenario(vm):
        pool = vm.entry._targets.pool
        opened = []

        def never_open(host, port, owner):
            conn = UnopenedConnection()
            opened.append(conn)
            return conn

        open_connection, pool._open_connection = pool._open_connection, never_open
        # A route without hedges: nothing else sends the request elsewhere.
        request = asyncio.ensure_future(vm.get("/order/x"))
        while not opened:
            await asyncio.sleep(0.01)
        waiting_for = next(iter(pool._sub_by_conn.values())).target_id
        pool._open_connection = open_connection
        vm.set_evacuated(DOMAINS[waiting_for])
        assert status(await request) == 200
        assert vm.requests(waiting_for) == 0

    run(scenario, DomainEntryVm, a1=ok, a2=ok)


def test_a_target_that_is_reachable_again_counts_as_cold_at_a_service_with_a_rate():
    async def scenario(vm):
        table = RouteTable()
        table.CopyFrom(TABLE)
        table.version = 2
        for service in table.services:
            service.warmup_ms, service.warmup_per_s = 3000, 12.0
        vm.table = table
        for callback in vm.callbacks:
            callback()
        entry_targets = vm.entry._targets
        entry_targets._on_reachability_change("a1", True)
        entry_targets._on_reachability_change("a1", False)
        before = vm.requests("a1")
        for _ in range(4):
            assert status(await vm.get()) == 200
        assert vm.requests("a1") == before

    run(scenario, DomainEntryVm, a1=ok, a2=ok)
