"""Backends of several shards crash at once, while a route allows one backend for each shard."""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
from collections import Counter, defaultdict
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_3 import (
    EDGE_PORT,
    Backend,
    Fleet,
    Record,
    Request,
    manifest,
    request_ids,
    route,
    run_case,
    send,
    with_trouble,
)

SHARDS = [f"shard-{number}" for number in range(10)]
LONG_SHARD, LONG_WORK_S, WORK_S = SHARDS[0], 0.25, 0.01
"""The work of one shard takes longer, as its part of the index is larger."""

CRASHED_SHARDS = SHARDS[6:]
"""One of three backends of these shards crashes: 4 of 30, within 0.14 of `srv_crash` across."""

INTERVAL_S, PLAYED_S = 0.05, 12.0
MAX_ATTEMPTS, ALLOWED = 1, 3


class ShardBackend(Backend):
    """A backend that answers with a part of 10 records."""

    def answer(self, request: Request) -> bytes:
        """Return a part."""
        return self.encode(request, 200, os.urandom(160))


async def scenario(folder: Path, record: Record) -> bool:
    """Return whether at most three requests ran on more backends of a shard than allowed."""
    fleet = Fleet(folder)
    try:
        return await _play(fleet, record)
    finally:
        fleet.stop()


async def _play(fleet: Fleet, record: Record) -> bool:
    fleet.start()
    backends = []
    for shard, zone in itertools.product(SHARDS, fleet.zones):
        work_s = LONG_WORK_S if shard == LONG_SHARD else WORK_S
        backends.append(ShardBackend(fleet, record, shard, zone, work_s))
    for backend in backends:
        await backend.start()
    gather = {"Gather": SHARDS, "TopK": 10, "MinCoverage": 0.8, "MaxAttempts": MAX_ATTEMPTS}
    history = route("history", "/history/", TargetLatencyMs=400, **gather)
    await fleet.configure(manifest(1, [history], SHARDS))
    statuses: Counter[int] = Counter()

    async def search(request_id: str, ip: str) -> None:
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "2500"}
        answer = await send(ip, EDGE_PORT, "GET", "/history/1", headers=headers)
        statuses[answer.status if answer is not None else 0] += 1
        record.note("answered", id=request_id, status=answer.status if answer else 0)

    loop = asyncio.get_running_loop()
    crash_at = loop.time() + 7.0
    ends, tasks, crashed = crash_at + PLAYED_S, [], []
    for request_id, edge in zip(request_ids(), itertools.cycle(fleet.edges), strict=False):
        if loop.time() >= ends:
            break
        if with_trouble() and not crashed and loop.time() >= crash_at:
            crashed = [b for b in backends if b.service in CRASHED_SHARDS and b.zone == "catania"]
            for backend in crashed:
                record.note("crash", backend=backend.id)
                backend.crash()
        tasks.append(asyncio.create_task(search(request_id, edge.ip)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    ran: dict[tuple[str, str], list[str]] = defaultdict(list)
    for backend in backends:
        if backend not in crashed:  # those that ended meanwhile do not count
            for _, request_id in backend.runs:
                ran[request_id, backend.service].append(backend.id)
    over = {request_id: ids for (request_id, _), ids in ran.items() if len(ids) > MAX_ATTEMPTS}
    record.note("result", sent=len(tasks), statuses=dict(statuses))
    record.note("BUDGET: ran on more backends of a shard than allowed", count=len(over))
    for request_id, ids in itertools.islice(over.items(), 10):
        record.note("ran on", id=request_id, backends=ids)
    return len(over) <= ALLOWED


if __name__ == "__main__":
    run_case(scenario, __file__)
