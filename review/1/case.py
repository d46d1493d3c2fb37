"""A core machine is replaced as planned; then another one loses its disk."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import time
from pathlib import Path

from standins import (
    CONTROL_PORT,
    ZONES,
    Backend,
    Broken,
    Fleet,
    Machine,
    call,
    main,
    manifest,
)

RECORD = {
    "Name": "cast-record",
    "PathPrefix": "/record/",
    "Type": "idempotent",
    "Service": "fonderia",
    "TimeoutMs": 10_000,
    "TargetLatencyMs": 600,
    "Priority": 2,
    "MaxAttempts": 2,
}
REMOVED_AFTER_S = 2.0
CATCH_UP_S = 4.0
MARGIN_S = 0.3
DOWN_S = 1.0
READ_S = 30.0
CHANGE_S = 15.0


async def is_accepted(fleet: Fleet, change: dict[str, object]) -> bool:
    """Return whether a change is acknowledged within `CHANGE_S`."""
    try:
        await fleet.put_manifest(change, CHANGE_S)
    except TimeoutError:
        return False
    return True


async def scenario(folder: Path, trouble: bool) -> None:
    """Replace one core machine, wipe another right after an acknowledgement, and read it back."""
    fleet = Fleet(folder)
    try:
        fleet.backends = [Backend(fleet, "fonderia", zone) for zone in ZONES]
        await fleet.start(manifest(1, [RECORD], ["fonderia"]))
        await asyncio.sleep(4.0)
        _, wiped, removed = fleet.cores
        successor = Machine(fleet, "core-siracusa-2", fleet.ip(14), "siracusa", core=True)
        fleet.cores.append(successor)
        successor.start()
        started_at = time.monotonic()
        await asyncio.sleep(REMOVED_AFTER_S)
        removed.signal(signal.SIGTERM)
        await asyncio.get_running_loop().run_in_executor(None, removed.popen.wait, 10)
        fleet.cores.remove(removed)
        fleet.record.line("removed", machine=removed.name)
        await asyncio.sleep(started_at + CATCH_UP_S + MARGIN_S - time.monotonic())
        await fleet.put_manifest(manifest(2, [RECORD], ["fonderia"]), 10.0)
        if trouble:
            wiped.signal(signal.SIGKILL)
            wiped.reap()
            shutil.rmtree(wiped.data_dir)
            await asyncio.sleep(DOWN_S)
            wiped.start()
        end = time.monotonic() + READ_S
        version = 0
        while version < 2 and time.monotonic() < end:
            for machine in fleet.cores:
                reply = await call(machine.ip, CONTROL_PORT, "GET", "/-/config")
                found = json.loads(reply.body)["Version"] if reply.status == 200 else 0
                fleet.record.line("read", machine=machine.name, status=reply.status, version=found)
                version = max(version, found)
            await asyncio.sleep(0.3)
        if version < 2:
            changed = await is_accepted(fleet, manifest(3, [RECORD], ["fonderia"]))
            fleet.record.line("change", accepted=changed)
            raise Broken(f"LOST: the acknowledged manifest 2 can't be read for {READ_S:.0f} s")
    finally:
        removed.reap()
        fleet.close()


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, scenario)
