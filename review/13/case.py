"""One of the three seeds loses power at the first start, and stays down."""

from __future__ import annotations

import asyncio
import sys
import time
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

DOWN_AFTER_S = 0.1
PLAYED_S = 70.0


async def scenario(folder: Path, record: Record) -> bool:
    """Return whether any request was served."""
    fleet = Fleet(folder)
    try:
        return await _play(fleet, record)
    finally:
        fleet.stop()


async def _play(fleet: Fleet, record: Record) -> bool:
    fleet.start()
    began = time.monotonic()
    backends = [Backend(fleet, record, "records", zone) for zone in fleet.zones]
    for backend in backends:
        await backend.start()
    if with_trouble():
        await asyncio.sleep(DOWN_AFTER_S)
        lost = fleet.cores[1]
        lost.kill()
        record.note("lost power", machine=lost.name)
    fetch = route("fetch", "/fetch/", Service="records")
    document = manifest(1, [fetch], ["records"])
    acknowledged, served, sent = False, 0, 0
    for request_id in request_ids():
        elapsed_s = time.monotonic() - began
        if elapsed_s > PLAYED_S or served > 20:
            break
        if not acknowledged:
            answer = await fleet.control("PUT", "/-/config", document)
            status = answer.status if answer is not None else 0
            record.note("manifest", status=status)
            acknowledged = status == 200
        edge = fleet.edges[sent % len(fleet.edges)]
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "2000"}
        answer = await send(edge.ip, EDGE_PORT, "GET", "/fetch/1", headers=headers, timeout_s=2.0)
        status = answer.status if answer is not None else 0
        record.note("answered", id=request_id, by=edge.name, status=status)
        sent += 1
        served += status == 200
        await asyncio.sleep(0.3)
    record.note("result", sent=sent, served=served, acknowledged=acknowledged)
    return served > 0


if __name__ == "__main__":
    run_case(scenario, __file__)
