"""Targets of the soak: they record the requests that they run, and report to the voters."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import hashlib
import itertools
import random
from collections import defaultdict

from harness.platform_fleet import CONTROL_PORT, Fleet
from soak.proxy import Proxy

RECORD_BYTES, RECORDS = 16, 5
ENDLESS_START = b"HTTP/1.1 200 OK\r\n"
ENDLESS_CHUNKS = [b"x" * 65536, b"x: y\r\n" * 10000, b"\r\n" + b"x" * 65536]
REPORT_INTERVAL_S = 0.4
"""Time between two liveness reports of a target; `HeartbeatMs` of the fleet."""


def records(service: str, request_id: str) -> bytes:
    """Return the reply of a service to a request, which depends on nothing else."""
    digests = (
        hashlib.blake2b(f"{service}/{request_id}/{n}".encode(), digest_size=RECORD_BYTES).digest()
        for n in range(RECORDS)
    )
    return b"".join(digests)


class Fault(enum.StrEnum):
    """A fault of a target; its liveness reports continue."""

    NONE = "none"
    SLOW = "slow"
    HANG = "hang"
    SHED = "shed"
    ERRORS = "errors"
    LOSES = "loses"  # it runs the request and closes the connection without a response
    GARBLES = "garbles"
    ENDLESS = "endless"  # it sends headers or a body until the connection is closed
    HOLDS = "holds"  # it refuses with a Retry-After
    LEAVES = "leaves"  # it announces in each response that it leaves, then restarts


MAX_LEAVE_CALLS = 12
"""Calls by which a target says that it leaves, before it gives up."""

HOLD_S = 2.0
"""Retry-After of a target with `Fault.HOLDS`."""


class TargetObservations:
    """Requests and signals of all targets; times are seconds of the event loop's clock."""

    def __init__(self) -> None:
        self.runs: dict[str, list[str]] = defaultdict(list)
        self.customers: dict[str, list[tuple[float, str, bool]]] = defaultdict(list)
        """Time, customer and whether the key was there, of each run of a request."""
        self.receipts: dict[str, tuple[str, str]] = {}
        self.service_requests: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.target_requests: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.holds: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.leaves: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.acknowledged_leaves: dict[str, list[float]] = defaultdict(list)
        self.restarts: dict[str, list[float]] = defaultdict(list)


class SoakTarget:
    """One target behind a proxy.

    Parameters
    ----------
    service, target_id, zone : str
        Identity and zone of the target.
    observations : TargetObservations
        Shared by all targets.
    rng : random.Random
        Random numbers for service times and failures.
    """

    def __init__(
        self,
        service: str,
        target_id: str,
        zone: str,
        observations: TargetObservations,
        rng: random.Random,
    ) -> None:
        self.service, self.target_id, self.zone = service, target_id, zone
        self.fault = Fault.NONE
        self.reporting = True
        self.incarnation = 1
        self.proxy: Proxy | None = None
        self.address = ""
        self._observations = observations
        self._rng = rng
        self._count = itertools.count(1)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start the target and the proxy in front of it."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.proxy = Proxy(self._server.sockets[0].getsockname()[1])
        self.address = await self.proxy.start()

    async def stop(self) -> None:
        """Stop the proxy and the target."""
        await self.proxy.close()
        self._server.close()

    async def report(self, fleet: Fleet) -> None:
        """Send liveness reports to the voters in turn, until cancelled."""
        for sequence in itertools.count(1):
            if self.reporting:
                await fleet.report(
                    self.service,
                    self.target_id,
                    self.address,
                    sequence,
                    self.zone,
                    self.incarnation,
                )
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def leave(self, fleet: Fleet) -> None:
        """Tell the voters in turn that it leaves, until one acknowledges it; report no more."""
        self.reporting = False
        body = {"born": self.incarnation}
        for voter in itertools.islice(itertools.cycle(fleet.voters), MAX_LEAVE_CALLS):
            path = f"/-/instances/{self.target_id}"
            reply = await fleet.send("DELETE", path, body, voter.ip, CONTROL_PORT)
            if b" 200 " in reply[:20]:
                now = asyncio.get_running_loop().time()
                self._observations.acknowledged_leaves[self.target_id].append(now)
                return
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def send_late_reports(self, fleet: Fleet) -> None:
        """Have reports from before the leave arrive at one voter after another."""
        for number in range(len(fleet.voters)):
            await fleet.report(
                self.service, self.target_id, self.address, number, self.zone, self.incarnation
            )

    def start_new_incarnation(self) -> None:
        """Continue as a new incarnation at the same address."""
        self.incarnation += 1
        self._observations.restarts[self.target_id].append(asyncio.get_running_loop().time())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The run cancels this task at its end; asyncio would log that as an error.
        expected_errors = asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        with contextlib.suppress(*expected_errors):
            while await self._respond(await reader.readuntil(b"\r\n\r\n"), reader, writer):
                await writer.drain()
        writer.close()

    async def _respond(
        self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Respond to one request; return whether the connection stays open."""
        lines = (line.partition(b": ") for line in head.split(b"\r\n")[1:])
        fields = {name.lower(): value.decode() for name, _, value in lines}
        await reader.readexactly(int(fields.get(b"content-length", "0")))
        request_id = fields[b"x-request-id"]
        loop = asyncio.get_running_loop()
        arrival = (loop.time(), request_id)
        self._observations.service_requests[self.service].append(arrival)
        fault = self.fault
        not_executed = [b"X-Not-Executed: 1"]
        if fields.get(b"x-expect-instance") != self.target_id:
            writer.write(_response(421, request_id, not_executed, b""))
            return True
        self._observations.target_requests[self.target_id].append(arrival)
        if fault is Fault.HOLDS:
            self._observations.holds[self.target_id].append(arrival)
            hold = [*not_executed, b"Retry-After: %.1f" % HOLD_S]
            writer.write(_response(503, request_id, hold, b""))
            return True
        if fault is Fault.SHED and self._rng.random() < 0.5:
            writer.write(_response(503, request_id, not_executed, b""))
            return True
        self._observations.runs[request_id].append(self.target_id)
        customer = fields.get(b"x-tenant", ""), b"authorization" in fields
        self._observations.customers[request_id].append((loop.time(), *customer))
        await asyncio.sleep(self._rng.uniform(0.002, 0.012) * (10 if fault is Fault.SLOW else 1))
        if fault is Fault.HANG:
            await asyncio.sleep(30)
        if fault is Fault.ERRORS and self._rng.random() < 0.5:
            writer.write(_response(500, request_id, [], b""))
            return True
        if fault is Fault.LOSES and self._rng.random() < 0.3:
            return False
        if fault is Fault.GARBLES and self._rng.random() < 0.3:
            writer.write(self._rng.randbytes(40))
            return False
        if fault is Fault.ENDLESS and self._rng.random() < 0.3:
            writer.write(ENDLESS_START)
            chunk = self._rng.choice(ENDLESS_CHUNKS)
            while True:
                writer.write(chunk)
                await writer.drain()
        receipt = f"{self.target_id}.{next(self._count)}"
        self._observations.receipts[receipt] = (self.service, request_id)
        headers = [b"X-Server-Stamp: " + receipt.encode()]
        if fault is Fault.LEAVES:
            self._observations.leaves[self.target_id].append((loop.time(), request_id))
            headers.append(b"Server-Leaving: 1")
        writer.write(_response(200, request_id, headers, records(self.service, request_id)))
        return True


def _response(status: int, request_id: str, headers: list[bytes], body: bytes) -> bytes:
    lines = [
        b"HTTP/1.1 %d Any" % status,
        b"X-Request-Id: " + request_id.encode(),
        b"Content-Length: %d" % len(body),
        *headers,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
