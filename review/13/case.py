"""All processes are killed at once just after a backend's leave was acknowledged."""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_3 import (
    EDGE_PORT,
    Backend,
    Fleet,
    Record,
    manifest,
    request_ids,
    route,
    run_case,
    send,
    with_trouble,
)

KILL_AFTER_S, BACK_AFTER_S = 0.3, 0.5
LATE_S = 6.0
"""Time for which the last `ready` report of the leaving backend is under way, in seconds."""

SERVES_ON_S, DRAIN_TIMEOUT_S, CONTACT_S = 14.0, 3.0, 4.0


async def scenario(folder: Path, record: Record) -> bool:
    """Return whether the backend that left got no more requests."""
    fleet = Fleet(folder)
    try:
        return await _play(fleet, record)
    finally:
        fleet.stop()


async def _play(fleet: Fleet, record: Record) -> bool:
    fleet.start()
    zones = list(fleet.zones)
    backends = [Backend(fleet, record, "records", zones[n % 3]) for n in range(6)]
    for backend in backends:
        await backend.start()
    fetch = route("fetch", "/fetch/", Service="records")
    await fleet.configure(manifest(1, [fetch], ["records"]))
    await asyncio.sleep(CONTACT_S + 1.0)  # all machines are in touch
    ids = request_ids()

    async def usual() -> None:
        for edge in itertools.cycle(fleet.edges):
            request_id = next(ids)
            headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "2000"}
            answer = await send(edge.ip, EDGE_PORT, "GET", "/fetch/1", headers=headers, timeout_s=2)
            status = answer.status if answer is not None else 0
            record.note("answered", id=request_id, by=edge.name, status=status)
            await asyncio.sleep(0.02)

    load = asyncio.create_task(usual())
    loop = asyncio.get_running_loop()
    leaving = backends[0]
    late_report = leaving.report()
    late_at = loop.time() + LATE_S
    leaving.stop_reports()
    answer = None
    while answer is None or answer.status != 200:
        answer = await fleet.control("DELETE", f"/-/instances/{leaving.id}", {"born": leaving.born})
    acknowledged_at = loop.time()
    record.note("leave acknowledged", backend=leaving.id)
    back_at = acknowledged_at
    if with_trouble():
        await asyncio.sleep(KILL_AFTER_S)
        machines = [*fleet.cores, *fleet.edges]
        for vm in machines:
            vm.kill()
        record.note("all processes killed")
        await asyncio.sleep(BACK_AFTER_S)
        for vm in machines:
            vm.start()
        back_at = loop.time()
        record.note("all processes started")
    await asyncio.sleep(late_at - loop.time())
    while (answer := await fleet.control("PUT", f"/-/instances/{leaving.id}", late_report)) is None:
        await asyncio.sleep(0.1)
    record.note("late report arrives", backend=leaving.id, status=answer.status)
    await asyncio.sleep(acknowledged_at + SERVES_ON_S - loop.time())
    load.cancel()
    since = max(acknowledged_at + DRAIN_TIMEOUT_S, back_at + CONTACT_S)
    late = [request_id for at, request_id in leaving.runs if at > since]
    record.note("DRAIN: requests after the leave", count=len(late), ids=late[:10])
    return not late


if __name__ == "__main__":
    run_case(scenario, __file__)
