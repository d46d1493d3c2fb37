"""Hands requests over many shards to another VM of the domain, which gathers the replies."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs

from bramleycrank.connections.http_pool import HttpPool
from bramleycrank.connections.http_types import CancelOutcome, PooledSubRequest
from bramleycrank.daemon.entry_types import CallerMeta, EntryDialect
from bramleycrank.observability.metrics import Metrics
from bramleycrank.observability.request_log import RequestLog
from bramleycrank.observability.traffic import SEGMENT_BYTES, Traffic
from bramleycrank.proto.peer_pb2 import VM_STATE_ALIVE, VmRecord
from bramleycrank.proto.target_pb2 import TARGET_STATE_SERVING, TargetRecord
from bramleycrank.query.replicas import ReplicaTable
from bramleycrank.routing import Route
from bramleycrank.scatter.level import GatherLevel
from bramleycrank.scatter.policy import SINGLE_SHARD, SINGLE_SHARD_REPLICAS
from bramleycrank.transport.http1 import (
    Exchange,
    ReceiveBudget,
    Request,
    RequestTemplate,
    Response,
    TargetConnection,
)
from bramleycrank.transport.http1.messages import end_to_end_headers

log = logging.getLogger(__name__)

GATHERERS = "gatherers"
"""Name under which the gatherers are kept in the replica table."""

SLOTS = 32
"""Requests that this VM has in progress at one gatherer."""

MAX_ATTEMPTS = 2
"""Gatherers that a request is handed to before this VM gathers itself."""

ROUTES_VERSION = b"Bramleycrank-Routes-Version"
NETWORK_MS = b"Bramleycrank-Network-Ms"
_OWN_HEADERS = frozenset({ROUTES_VERSION.lower(), NETWORK_MS.lower()})

STATUS_NOT_STARTED = 421
"""Status of a gatherer that has another route table, or no targets, and has sent nothing."""


@attrs.frozen
class Handover:
    """What a VM tells a gatherer about a request.

    Parameters
    ----------
    routes_version : int
        Version of the route table by which the request was accepted.
    network_s : float
        Time that the answer needs from that VM to the caller, in seconds.
    """

    routes_version: int
    network_s: float

    @classmethod
    def from_request(cls, request: Request) -> Handover | None:
        """Return what a request of another VM tells; None if it is not such a request."""
        fields = {name.lower(): value for name, value in request.headers}
        version = fields.get(ROUTES_VERSION.lower(), b"")
        network_ms = fields.get(NETWORK_MS.lower(), b"")
        if not (version.isdigit() and network_ms.isdigit()):
            return None
        return cls(int(version), int(network_ms) / 1000)

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that carry it."""
        return [
            (ROUTES_VERSION, b"%d" % self.routes_version),
            (NETWORK_MS, b"%d" % round(self.network_s * 1000)),
        ]


def without_handover(request: Request) -> Request:
    """Return a request as the caller sent it."""
    headers = [item for item in request.headers if item[0].lower() not in _OWN_HEADERS]
    return attrs.evolve(request, headers=headers)


class Vms(Protocol):
    """Source of the VMs."""

    def vms(self) -> Iterable[VmRecord]:
        """Return the VMs that may be alive."""


@attrs.define(eq=False)
class _Forwarded:
    """A request that was handed to a gatherer; listens to its sub-request."""

    forwarder: GatherForwarder
    exchange: Exchange
    meta: CallerMeta
    route: Route
    handover: Handover
    deadline: float
    serve: Callable[[], None]
    tried: list[str] = attrs.field(factory=list)
    sub: PooledSubRequest | None = None
    timer: asyncio.TimerHandle | None = None

    def on_response(self, sub: PooledSubRequest, response: Response) -> bool:
        return self.forwarder.on_response(self, sub, response)

    def on_lost(self, sub: PooledSubRequest, *, sent: bool, garbled: bool) -> None:
        self.forwarder.on_lost(self, sub, sent=sent, garbled=garbled)

    def on_late(self, sub: PooledSubRequest, response: Response) -> None:
        """Ignore a response; requests that are handed over are never superseded."""

    def on_cancel_completed(self, sub: PooledSubRequest, outcome: CancelOutcome) -> None:
        self.forwarder.on_cancelled(sub)


class GatherForwarder:
    """Hands requests to the gatherers of the domain, which know its targets better.

    A request that may have reached a gatherer is not repeated, since attempts at a target are
    counted by the VM that gathers.

    Parameters
    ----------
    level : GatherLevel
        Chooses the gatherers.
    dialect : EntryDialect
        Reads and writes the protocol's headers.
    vms : Vms
        Source of the VMs.
    metrics : Metrics
        Receives the metrics.
    rng : random.Random
        Source of random choices.
    traffic : Traffic
        Counts the bytes and messages.
    memory_bytes : int
        Memory limit of this VM in bytes, a part of which may hold responses; 0 if unknown.
    """

    def __init__(
        self,
        level: GatherLevel,
        dialect: EntryDialect,
        vms: Vms,
        metrics: Metrics,
        rng: random.Random,
        traffic: Traffic,
        memory_bytes: int = 0,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = self._loop.time
        self._level = level
        self._dialect = dialect
        self._vms = vms
        self._metrics = metrics
        self._traffic = traffic
        self._requests = RequestLog(log, self._clock)
        self._intake: ReceiveBudget[TargetConnection] = ReceiveBudget.from_memory(memory_bytes)
        self._table = ReplicaTable("", rng, warmup_s=0.0)
        self._pool = HttpPool(
            self._connect, lambda limit: limit, lambda vm_id: None, self._on_down, self._clock
        )
        self._known: set[str] = set()
        self._forwarded: set[_Forwarded] = set()
        self._open_tasks: set[asyncio.Task[Any]] = set()

    @property
    def busy(self) -> bool:
        """Whether requests are at gatherers."""
        return bool(self._forwarded)

    def update_vms(self) -> None:
        """Choose the gatherers again."""
        candidates = {
            record.vm_id: record
            for record in self._vms.vms()
            if record.gather_port and record.state == VM_STATE_ALIVE
        }
        self._level.set_vms((vm_id, record.domain) for vm_id, record in candidates.items())
        gatherers = [candidates[vm_id] for vm_id in self._level.gatherers]
        for vm_id in self._known - set(self._level.gatherers):
            self._pool.remove(vm_id)
        self._known = {record.vm_id for record in gatherers}
        for record in gatherers:
            self._pool.update(record.vm_id, record.host, record.gather_port, SLOTS)
        self._table.update(GATHERERS, map(_as_target, gatherers), self._clock())

    def tick(self) -> None:
        """Apply the time limits of connections."""
        self._pool.tick()

    def stop(self) -> None:
        """Cancel all requests at gatherers."""
        for item in list(self._forwarded):
            self._cancel(item)

    def dump(self) -> dict[str, Any]:
        """Return the gatherers and the connections to them."""
        return {
            **self._level.dump(),
            "in_flight": len(self._forwarded),
            "observed": self._table.dump(self._clock()).get(GATHERERS, {}),
            "connections": self._pool.dump(),
        }

    def try_forward(
        self,
        exchange: Exchange,
        meta: CallerMeta,
        route: Route,
        handover: Handover,
        deadline: float,
        serve: Callable[[], None],
    ) -> bool:
        """Hand a request to a gatherer; return False if this VM should gather itself.

        Parameters
        ----------
        exchange : Exchange
            The caller's request.
        meta : CallerMeta
            Its metadata.
        route : Route
            Its route.
        handover : Handover
            What to tell the gatherer.
        deadline : float
            Time at which the caller stops waiting, in seconds.
        serve : callable
            Gathers on this VM; called if no gatherer has started the request.
        """
        if not self._level.gatherers or self._level.is_gatherer:
            return False
        item = _Forwarded(self, exchange, meta, route, handover, deadline, serve)
        if not self._send(item):
            return False
        self._forwarded.add(item)
        exchange.on_disconnected = lambda: self._on_caller_disconnected(item)
        item.timer = self._loop.call_at(deadline, self._on_deadline, item)
        return True

    def _send(self, item: _Forwarded) -> bool:
        """Send a request to a gatherer that was not tried; return False if there is none."""
        now = self._clock()
        if len(item.tried) >= MAX_ATTEMPTS:
            return False
        vm_id = self._table.choose(GATHERERS, SINGLE_SHARD, 0, item.tried, now)
        if vm_id is None or not self._pool.has_capacity(vm_id):
            return False
        item.tried.append(vm_id)
        request = item.exchange.request
        template = RequestTemplate(
            request, self._dialect.forwarded_headers(without_handover(request))
        )

        def encode() -> bytes:
            headers = self._dialect.target_headers(vm_id, item.deadline - self._clock())
            data = template.encode([*headers, *item.handover.headers()])
            self._traffic.record("gathers", False, len(data) + SEGMENT_BYTES)
            return data

        item.sub = PooledSubRequest(0, vm_id, encode, request.method == b"HEAD", item, now)
        self._table.on_sent(vm_id, now)
        self._metrics.incr("entry.handovers")
        self._pool.send(item.sub)
        return True

    def on_response(self, item: _Forwarded, sub: PooledSubRequest, response: Response) -> bool:
        """Forward the answer of a gatherer; return whether it belongs to the request."""
        now = self._clock()
        self._traffic.record("gathers", False, response.size, calls=0)
        if self._dialect.target_meta(response).request_id != item.meta.request_id:
            self._table.on_failure(sub.target_id, now)
            self._end(item, 502, [], b"", "the answer of the gatherer is garbled")
            return False
        if response.status == STATUS_NOT_STARTED:
            self._table.on_cancelled(sub.target_id, now)
            self._retry(item)
            return True
        self._table.on_reply(sub.target_id, now - sub.started, now)
        headers = end_to_end_headers(response.headers)
        self._end(item, response.status, headers, response.body, "gathered by another VM")
        return True

    def on_lost(
        self, item: _Forwarded, sub: PooledSubRequest, *, sent: bool, garbled: bool
    ) -> None:
        """Try another gatherer if the request was not sent; otherwise it may have run."""
        self._table.on_failure(sub.target_id, self._clock())
        if sent:
            reason = "garbled" if garbled else "lost"
            self._end(item, 502, [], b"", f"the answer of the gatherer is {reason}")
        else:
            self._retry(item)

    def on_cancelled(self, sub: PooledSubRequest) -> None:
        """Count the end of a cancelled request."""
        self._table.on_cancelled(sub.target_id, self._clock())

    def _retry(self, item: _Forwarded) -> None:
        item.sub = None
        if item.exchange.disconnected or self._send(item):
            return
        self._forget(item)
        item.serve()

    def _on_deadline(self, item: _Forwarded) -> None:
        self._cancel(item)
        self._end(item, 504, [], b"", "timeout")

    def _on_caller_disconnected(self, item: _Forwarded) -> None:
        self._metrics.incr("entry.gone")
        self._cancel(item)

    def _cancel(self, item: _Forwarded) -> None:
        self._forget(item)
        if item.sub is not None:
            self._pool.cancel(item.sub, superseded=False)

    def _forget(self, item: _Forwarded) -> None:
        self._forwarded.discard(item)
        if item.timer is not None:
            item.timer.cancel()

    def _end(
        self,
        item: _Forwarded,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        outcome: str,
    ) -> None:
        self._forget(item)
        headers = headers or self._dialect.refusal_headers(item.meta, 0.0)
        item.exchange.respond(status, headers, body)
        now = self._clock()
        latency_s = now - item.exchange.arrived
        self._metrics.incr(f"entry.answers.{status}")
        self._metrics.timing("entry.latency", latency_s)
        self._requests.record(
            outcome,
            item.meta.request_id,
            now,
            failed=not 200 <= status < 300,
            status=status,
            route=item.route.name,
            routes_version=item.handover.routes_version,
            latency_ms=round(latency_s * 1000, 1),
            gatherers=item.tried,
        )

    def _connect(self, host: str, port: int, pool: HttpPool) -> TargetConnection:
        conn = TargetConnection(pool, self._intake)
        task = self._loop.create_task(self._open(conn, host, port))
        self._open_tasks.add(task)
        task.add_done_callback(self._open_tasks.discard)
        return conn

    async def _open(self, conn: TargetConnection, host: str, port: int) -> None:
        try:
            await self._loop.create_connection(lambda: conn, host, port)
        except OSError as exc:
            log.debug("entry: connecting to gatherer %s:%d failed: %s", host, port, exc)
            self._pool.on_closed(conn)

    def _on_down(self, vm_id: str, down: bool) -> None:
        log.info("entry: gatherer is %s", "down" if down else "up", extra={"peer": vm_id})
        self._table.set_down(vm_id, down, self._clock())


def _as_target(record: VmRecord) -> TargetRecord:
    return TargetRecord(
        target_id=record.vm_id,
        incarnation=record.incarnation,
        state=TARGET_STATE_SERVING,
        service=GATHERERS,
        host=record.host,
        port=record.gather_port,
        slots=SLOTS,
        replicas=SINGLE_SHARD_REPLICAS,
    )
