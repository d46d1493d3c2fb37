"""Offers requests that this VM cannot serve to VMs that can, and passes their answers on."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs

from bramleycrank.connections.http_pool import HttpPool
from bramleycrank.connections.http_types import CancelOutcome, PooledSubRequest
from bramleycrank.customers import Identity
from bramleycrank.entry.delegation_headers import Offer, Reply
from bramleycrank.entry.peer_checks import PeerChecks
from bramleycrank.entry.types import CallerMeta, EntryDialect
from bramleycrank.observability.metrics import Metrics
from bramleycrank.observability.request_log import RequestLog
from bramleycrank.observability.traffic import SEGMENT_BYTES, Traffic
from bramleycrank.proto.peer_pb2 import VM_STATE_ALIVE, VmRecord
from bramleycrank.routing import Route
from bramleycrank.scatter.delegation import Peer, PeerChoice
from bramleycrank.transport.http1 import (
    Connector,
    Exchange,
    ReceiveBudget,
    RequestTemplate,
    Response,
)

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 64
"""Most requests that this VM has in progress at one other VM."""

CONNECT_TIMEOUT_S = 0.15
"""Timeout for opening a connection to another VM, in seconds; the request then goes to a third."""

PAUSE_S = 0.15
"""Time between two ticks from which this VM counts as paused, in seconds; three ticks."""

PEERS_MAX_AGE_S = 0.5
"""Age at which the list of VMs is read again, in seconds."""

ROUTES_WAIT_S = 0.03
"""Time after which a request is offered again that met another route table, in seconds."""

NOT_STARTED_STATUSES = frozenset({408, 413, 421, 431, 503})
"""Statuses with which a VM's server rejects a request before anything is done for it."""


class Vms(Protocol):
    """Source of the VMs."""

    def vms(self) -> Iterable[VmRecord]:
        """Return the VMs that may be alive."""


@attrs.frozen(eq=False)
class Delegation:
    """A request that another VM shall serve.

    Parameters
    ----------
    exchange : Exchange
        The caller's request.
    meta : CallerMeta
        Its metadata.
    route : Route
        Its route.
    identity : Identity
        Who sends it.
    offer : Offer
        What the other VM has to know.
    deadline : float
        Time at which the request ends, in seconds.
    on_unserved : callable
        Called if no VM has started the request.
    on_other_routes : callable or None
        Called instead, after a short time, if a VM had another route table.
    """

    exchange: Exchange
    meta: CallerMeta
    route: Route
    identity: Identity
    offer: Offer
    deadline: float
    on_unserved: Callable[[], None]
    on_other_routes: Callable[[], None] | None = None


@attrs.define(eq=False)
class _Offered:
    """A delegation in progress; listens to the outcome of its request."""

    delegator: Delegator
    request: Delegation
    tried: list[str] = attrs.field(factory=list)
    sub: PooledSubRequest | None = None
    timer: asyncio.TimerHandle | None = None

    def on_response(self, sub: PooledSubRequest, response: Response) -> bool:
        return self.delegator.on_response(self, sub, response)

    def on_lost(self, sub: PooledSubRequest, *, sent: bool, garbled: bool) -> None:
        self.delegator.on_lost(self, sub, sent=sent)

    def on_late(self, sub: PooledSubRequest, response: Response) -> None:
        """Ignore a response; delegated requests are never superseded."""

    def on_cancel_completed(self, sub: PooledSubRequest, outcome: CancelOutcome) -> None:
        """Ignore the end of a cancelled request; it was counted when it was cancelled."""


class Delegator:
    """Delegates requests to other VMs by HTTP, over one hop.

    A request that may have been started by another VM is offered to no further one, since that VM
    counts the attempts at the targets.

    Parameters
    ----------
    vm_id, domain : str
        Id and failure domain of this VM.
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
    receive_budget : ReceiveBudget, optional
        Memory for messages, shared with the callers.
    """

    def __init__(
        self,
        vm_id: str,
        domain: str,
        dialect: EntryDialect,
        vms: Vms,
        metrics: Metrics,
        rng: random.Random,
        traffic: Traffic,
        receive_budget: ReceiveBudget[Any] | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = self._loop.time
        self._domain = domain
        self._dialect = dialect
        self._vms = vms
        self._metrics = metrics
        self._traffic = traffic
        self._requests = RequestLog(log, self._clock)
        self._connector = Connector(receive_budget or ReceiveBudget())
        self.choice = PeerChoice(vm_id, rng)
        self._remote: set[str] = set()
        self._pool = HttpPool(
            self._connector.connect,
            lambda limit: limit,
            lambda vm_id: None,
            self._on_down,
            self._clock,
            rng,
            CONNECT_TIMEOUT_S,
        )
        self._peers_read_at = float("-inf")
        self._ticked_at = self._clock()
        self._offered: set[_Offered] = set()
        self._checks = PeerChecks(self.choice, self._pool, self._clock, self._record_traffic)

    @property
    def in_flight(self) -> int:
        """Number of requests in progress at other VMs."""
        return len(self._offered)

    def tick(self) -> None:
        """Apply the time limits of connections and of checks."""
        now = self._clock()
        late_s, self._ticked_at = now - self._ticked_at, now
        paused_s = late_s if late_s > PAUSE_S else 0.0
        self.choice.watch.on_own_pause(paused_s)
        self._pool.tick(paused_s)
        for vm_id in self._checks.tick():
            self._on_silent(vm_id)

    def on_report(self, vm_id: str, unreached: int) -> None:
        """Record how many services another VM cannot reach, as it has just told."""
        self.choice.on_report(vm_id, unreached, self._clock())
        if vm_id in self.choice.peers:
            self._checks.on_heard(vm_id)

    def can_delegate(self, own_unreached: int) -> bool:
        """Return whether a VM is known that reaches more services than this one."""
        return self._choose(own_unreached, ()) is not None

    def offer(self, request: Delegation) -> bool:
        """Offer a request to another VM; return False if there is none."""
        item = _Offered(self, request)
        if not self._send(item):
            return False
        self._offered.add(item)
        request.exchange.on_disconnected = lambda: self._on_caller_disconnected(item)
        item.timer = self._loop.call_at(request.deadline, self._on_deadline, item)
        return True

    def stop(self) -> None:
        """Answer all requests that are at other VMs, since this VM stops."""
        for item in list(self._offered):
            self._cancel(item)
            self._respond(item, 502, "the VM stops")
        self._connector.close()

    def dump(self) -> dict[str, Any]:
        """Return the requests at other VMs, and what is known of these VMs."""
        return {
            "in_flight": len(self._offered),
            "peers": self.choice.dump(self._clock()),
            "connections": self._pool.dump(),
        }

    # Offers.

    def _choose(self, own_unreached: int, tried: Iterable[str]) -> Peer | None:
        now = self._clock()
        if now - self._peers_read_at >= PEERS_MAX_AGE_S:
            self._peers_read_at = now
            self._read_peers()
        full = (vm_id for vm_id in self.choice.peers if not self._pool.has_capacity(vm_id))
        return self.choice.choose(own_unreached, list(tried), now, unusable=frozenset(full))

    def _read_peers(self) -> None:
        records = [
            record
            for record in self._vms.vms()
            if record.delegation_port and record.state == VM_STATE_ALIVE
        ]
        known = set(self.choice.peers)
        self.choice.set_peers(
            Peer(record.vm_id, record.host, record.delegation_port) for record in records
        )
        self._remote = {record.vm_id for record in records if record.domain != self._domain}
        for vm_id in known - set(self.choice.peers):
            self._pool.remove(vm_id)
        for peer in self.choice.peers.values():
            self._pool.update(peer.vm_id, peer.host, peer.port, MAX_CONNECTIONS)

    def _send(self, item: _Offered) -> bool:
        """Offer a request to a VM that was not tried; return False if there is none."""
        request = item.request
        peer = self._choose(request.offer.unreached, item.tried)
        if peer is None or self._clock() >= request.deadline:
            return False
        item.tried.append(peer.vm_id)
        caller_request = request.exchange.request
        headers = self._dialect.forwarded_headers(Offer.strip(caller_request), request.identity)
        template = RequestTemplate(caller_request, headers)

        def encode() -> bytes:
            left_s = request.deadline - request.offer.network_s - self._clock()
            data = template.encode([*self._dialect.wait_headers(left_s), *request.offer.headers()])
            self._record_traffic(peer.vm_id, len(data) + SEGMENT_BYTES, calls=1)
            return data

        item.sub = PooledSubRequest(
            0, peer.vm_id, encode, caller_request.method == b"HEAD", item, self._clock()
        )
        unheard = self.choice.on_sent(peer.vm_id, self._clock())
        self._count("sent")
        self._pool.send(item.sub)
        if unheard:
            self._checks.check(peer.vm_id)
        return True

    def _count(self, event: str) -> None:
        self._metrics.incr(f"entry.delegations.{event}")

    def _record_traffic(self, vm_id: str, size: int, calls: int) -> None:
        self._traffic.record("delegations", vm_id in self._remote, size, calls=calls)

    # VMs that do not respond.

    def _on_silent(self, vm_id: str) -> None:
        """Give up the requests at a VM that does not respond, if their callers may repeat them."""
        held = [item for item in self._offered if item.sub and item.sub.target_id == vm_id]
        log.info("entry: VM does not respond", extra={"peer": vm_id, "requests": len(held)})
        self._count("silent")
        for item in held:
            self._withdraw(item, item.sub)

    def _withdraw(self, item: _Offered, sub: PooledSubRequest) -> None:
        """Give up a request at a VM that does not respond, if its caller may repeat it.

        The silent VM may have sent it as often as the route allows, or do so when it runs again, so
        it is offered to no other VM. A request that may not run twice stays where it is until its
        deadline: the answer may still come, and its caller cannot repeat it.
        """
        if sub.sent and not item.request.route.idempotent:
            return
        self._count("withdrawn")
        self._pool.cancel(sub, superseded=False)
        if sub.sent:
            self.choice.on_ended(sub.target_id)
            self._respond(item, 502, "another VM does not respond")
        else:
            self._on_not_started(item, sub)

    # Outcomes.

    def on_response(self, item: _Offered, sub: PooledSubRequest, response: Response) -> bool:
        """Pass an answer on, or offer the request to another VM if this one has not started it."""
        self._checks.on_heard(sub.target_id)
        self._record_traffic(sub.target_id, response.size, calls=0)
        reply = Reply.from_response(response)
        if reply is None or not reply.started:
            if reply is None and response.status not in NOT_STARTED_STATUSES:
                self.on_lost(item, sub, sent=True)
                return False
            if reply is not None:
                self.choice.on_report(sub.target_id, reply.unreached, self._clock())
                if reply.routes_version != item.request.offer.routes_version:
                    self._on_other_routes(item, sub)
                    return True
            self._on_not_started(item, sub)
            return True
        self.choice.on_ended(sub.target_id)
        self._count("answered")
        self._respond(
            item, response.status, "delegated", Reply.strip(response.headers), response.body
        )
        return True

    def on_lost(self, item: _Offered, sub: PooledSubRequest, *, sent: bool) -> None:
        """Offer an unsent request to another VM; one that was sent may have run."""
        if not sent:
            self._on_not_started(item, sub)
            return
        self.choice.on_ended(sub.target_id)
        self.choice.on_returned(sub.target_id, self._clock())
        self._count("lost")
        self._respond(item, 502, "the answer of another VM is lost")

    def _on_other_routes(self, item: _Offered, sub: PooledSubRequest) -> None:
        """Wait until the route table has reached both VMs, which takes a moment.

        The other VM is not avoided: it can serve as soon as both have the same table.
        """
        request = item.request
        if request.on_other_routes is None:
            self._on_not_started(item, sub, avoid=False)
            return
        self.choice.on_ended(sub.target_id)
        self._count("returned")
        item.sub = None
        item.timer.cancel()
        item.timer = self._loop.call_later(ROUTES_WAIT_S, self._on_waited, item)

    def _on_waited(self, item: _Offered) -> None:
        self._forget(item)
        item.request.on_other_routes()

    def _on_not_started(self, item: _Offered, sub: PooledSubRequest, *, avoid: bool = True) -> None:
        self.choice.on_ended(sub.target_id)
        if avoid:
            self.choice.on_returned(sub.target_id, self._clock())
        self._count("returned")
        item.sub = None
        if item.request.exchange.disconnected or self._send(item):
            return
        self._forget(item)
        item.request.on_unserved()

    def _on_deadline(self, item: _Offered) -> None:
        self._cancel(item)
        self._respond(item, 504, "timeout")

    def _on_caller_disconnected(self, item: _Offered) -> None:
        self._metrics.incr("entry.gone")
        self._cancel(item)

    def _cancel(self, item: _Offered) -> None:
        self._forget(item)
        if item.sub is not None:
            self.choice.on_ended(item.sub.target_id)
            self._pool.cancel(item.sub, superseded=False)

    def _forget(self, item: _Offered) -> None:
        self._offered.discard(item)
        if item.timer is not None:
            item.timer.cancel()

    def _respond(
        self,
        item: _Offered,
        status: int,
        outcome: str,
        headers: list[tuple[bytes, bytes]] | None = None,
        body: bytes = b"",
    ) -> None:
        self._forget(item)
        request = item.request
        if headers is None:
            headers = self._dialect.refusal_headers(request.meta, 0.0)
        request.exchange.respond(status, headers, body)
        now = self._clock()
        latency_s = now - request.exchange.arrived
        self._metrics.incr(f"entry.answers.{status}")
        self._metrics.timing("entry.latency", latency_s)
        self._requests.record(
            outcome,
            request.meta.request_id,
            now,
            failed=not 200 <= status < 300,
            status=status,
            route=request.route.name,
            routes_version=request.offer.routes_version,
            latency_ms=round(latency_s * 1000, 1),
            vms=item.tried,
            unreached=request.offer.unreached,
            **request.identity.log_fields(),
        )

    def _on_down(self, vm_id: str, down: bool) -> None:
        log.info("entry: VM is %s for requests", "down" if down else "up", extra={"peer": vm_id})
