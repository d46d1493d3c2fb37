"""One edge machine freezes while all back ends of a service are lost."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from standins import ZONES, Backend, Broken, Fleet, Reply, main, manifest

TIMEOUT_S = 1.0
SLACK_S = 0.5
DEADLINE_MS = 4_000
RECORD = {
    "Name": "cast-record",
    "PathPrefix": "/record/",
    "Type": "idempotent",
    "Service": "fonderia",
    "TimeoutMs": int(TIMEOUT_S * 1000),
    "TargetLatencyMs": 600,
    "Priority": 2,
    "MaxAttempts": 2,
}
FREEZE_S = 5.0


async def scenario(folder: Path, trouble: bool) -> None:
    """Ask the edge machines that run, and measure how long their consumers wait."""
    fleet = Fleet(folder, 3)
    try:
        fleet.backends = [Backend(fleet, "fonderia", zone) for zone in ZONES]
        await fleet.start(manifest(1, [RECORD], ["fonderia"]))
        frozen, *running = fleet.edges
        waits: list[tuple[str, float, Reply]] = []

        async def consume(number: int) -> None:
            started = time.monotonic()
            request_id = f"r-{number}"
            reply = await fleet.ask(
                running[number % len(running)],
                request_id,
                f"/record/{number}",
                deadline_ms=DEADLINE_MS,
            )
            waits.append((request_id, time.monotonic() - started, reply))

        tasks = [asyncio.create_task(consume(number)) for number in range(10)]
        await asyncio.sleep(1.0)
        if trouble:
            frozen.signal(signal.SIGSTOP)
            for backend in fleet.backends:
                backend.crash()
        for number in range(10, 110):
            tasks.append(asyncio.create_task(consume(number)))
            await asyncio.sleep(0.04)
        if trouble:
            await asyncio.sleep(FREEZE_S - 4.0)
            frozen.signal(signal.SIGCONT)
        await asyncio.gather(*tasks)
        unanswered = [w for _, w, reply in waits if w > TIMEOUT_S]
        late = [w for w in unanswered if w > TIMEOUT_S + SLACK_S]
        statuses = {s: sum(r.status == s for *_, r in waits) for s in {r.status for *_, r in waits}}
        fleet.record.line(
            "waits", unanswered=len(unanswered), late=len(late), longest=max(w for _, w, _ in waits)
        )
        fleet.record.line("statuses", **{str(key): count for key, count in statuses.items()})
        if len(late) >= 8 and len(late) > len(unanswered) / 2:
            raise Broken(
                f"CONFIG: {len(late)} of {len(unanswered)} requests unanswered at TimeoutMs had no "
                f"answer {SLACK_S} s later; the longest waited {max(late):.1f} s"
            )
    finally:
        fleet.close()


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, scenario)
