"""Tests what a VM tells about targets that it cannot reach."""

from __future__ import annotations

import asyncio
import logging

from http_fakes import ok
from test_entry_controller import run, status


def test_log_tells_unreachable_targets_from_unknown_ones(caplog):
    """Guards against refusals whose log line does not show that this VM is cut off."""
    caplog.set_level(logging.INFO)

    async def scenario(vm):
        fake = vm.fakes["a1"]
        fake.stop()
        await asyncio.sleep(0)
        for _ in range(2):
            assert status(await vm.get("/order/x")) == 503
        assert vm.entry._targets.unreached == {"a"}
        vm.fakes = {}
        vm.entry._targets._refresh("a")
        assert status(await vm.get("/order/x")) == 503
        vm.fakes = {"a1": fake}

    run(scenario, a1=ok)
    reasons = [r.message for r in caplog.records if r.message.startswith("request: ")]
    assert reasons[1:] == ["request: no target can be reached", "request: no target is known"]
    line = next(r for r in caplog.records if r.message == "entry: service is out of reach")
    assert (line.service, line.unreached, line.services) == ("a", 1, 1)
    assert line.kept_connections == 0
