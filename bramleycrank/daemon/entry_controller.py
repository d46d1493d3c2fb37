"""Forwards the requests of callers to HTTP targets."""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any

from bramleycrank.connections.http_types import CancelOutcome, PooledSubRequest
from bramleycrank.daemon.entry_answers import missing_services, render
from bramleycrank.daemon.entry_call import Call, CallListener
from bramleycrank.daemon.entry_targets import EntryTargets, Targets
from bramleycrank.daemon.entry_types import CallerMeta, EntryDialect, Routes, TargetMeta
from bramleycrank.observability.metrics import Metrics
from bramleycrank.observability.request_log import RequestLog
from bramleycrank.observability.traffic import SEGMENT_BYTES, Traffic
from bramleycrank.routing import Limits, RouteIndex
from bramleycrank.scatter import (
    Answer,
    Cancel,
    FailureKind,
    Forward,
    Merged,
    Refusal,
    ScatterExecution,
    SubFailure,
    TargetAnswer,
)
from bramleycrank.scatter.budget import ExtraConfig
from bramleycrank.scatter.delivery import DeliveryEstimate
from bramleycrank.scatter.returns import spread, until_started
from bramleycrank.transport.http1 import Exchange, RequestTemplate, Response
from bramleycrank.transport.http1.messages import headers_size

log = logging.getLogger(__name__)


LOGGED_FAILURES = 8
"""Failed sub-requests that the log line of a request names; it has to stay one short line."""


class EntryController:
    """Runs a `ScatterExecution` for each request and executes its actions.

    Parameters
    ----------
    domain : str
        Failure domain of this VM.
    dialect : EntryDialect
        Reads and writes headers.
    routes : Routes
        Source of the routes.
    targets : Targets
        Source of the targets.
    extra : ExtraConfig
        Bound for extra sub-requests.
    metrics : Metrics
        Receiver of metrics.
    rng : random.Random
        Source of random choices.
    is_cut_off : callable, optional
        Returns whether callers should connect to another VM.
    link_bytes_per_s : float, optional
        Bandwidth of this VM's link; 0 if unknown.
    memory_bytes : int, optional
        Memory limit of this VM; 0 if unknown.
    traffic : Traffic, optional
        Counts the sub-requests.
    """

    def __init__(
        self,
        domain: str,
        dialect: EntryDialect,
        routes: Routes,
        targets: Targets,
        extra: ExtraConfig,
        metrics: Metrics,
        rng: random.Random,
        is_cut_off: Callable[[], bool] = lambda: False,
        link_bytes_per_s: float = 0.0,
        memory_bytes: int = 0,
        traffic: Traffic | None = None,
    ) -> None:
        self._is_cut_off = is_cut_off
        self._loop = asyncio.get_running_loop()
        self._clock = self._loop.time
        self._started = self._clock()
        self._rng = rng
        self._dialect = dialect
        self._routes = routes
        self._metrics = metrics
        self._requests = RequestLog(log, self._clock)
        self._index: RouteIndex | None = None
        self._targets = EntryTargets(domain, targets, extra, metrics, rng, self._wake, memory_bytes)
        self._calls: set[Call] = set()
        self._waiting: dict[str, list[Call]] = defaultdict(list)
        self._sub_ids = itertools.count(1)
        self._delivery = DeliveryEstimate(link_bytes_per_s)
        self._traffic = traffic or Traffic()

    async def start(self) -> None:
        """Follow the routes and the targets."""
        self._routes.subscribe(self._on_routes)
        self._on_routes()
        self._targets.start()

    async def stop(self) -> None:
        """Cancel what is in progress."""
        self._targets.stop()
        for call in list(self._calls):
            self._execute(call, call.execution.on_caller_gone(self._clock()))

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return len(self._calls)

    @property
    def has_routes(self) -> bool:
        """Whether a route table is in force."""
        return self._index is not None

    @property
    def covers_routes(self) -> bool:
        """Whether a target is known for each service of the routes."""
        return self._index is not None and self._targets.covers(self._index)

    @property
    def can_serve(self) -> bool:
        """Whether each route reaches enough of its services for a success."""
        return self._index is not None and self._targets.can_serve(self._index)

    def limits(self) -> Limits:
        """Return the limits for callers."""
        return self._index.limits if self._index is not None else Limits()

    def dump(self) -> dict[str, Any]:
        """Return routes, requests, targets and connections."""
        now = self._clock()
        return {
            "routes": self._index and self._index.dump(),
            "in_flight": len(self._calls),
            "requests": [call.execution.dump(now) for call in list(self._calls)[:100]],
            "targets": self._targets.dump(now),
        }

    # Requests.

    def on_request(self, exchange: Exchange) -> None:
        """Forward a request."""
        now = self._clock()
        request = exchange.request
        meta = self._dialect.caller_meta(request)
        if self._index is None:
            retry_s = spread(until_started(now - self._started), self._rng)
            self._refuse(exchange, meta, 503, retry_s, "no routes are known yet")
            return
        route = self._index.find(request.host.decode("latin-1"), request.path)
        if route is None:
            self._refuse(exchange, meta, 404, 0.0, "no route matches")
            return
        wait_s = route.timeout_s if meta.wait_s is None else meta.wait_s
        execution = ScatterExecution(
            route,
            self._targets.policy,
            self._sub_ids,
            exchange.arrived - self._delivery.passed(route, meta.wait_s, now),
            exchange.arrived + wait_s,
            self._delivery.way(route, exchange.round_trip_s),
        )
        call = Call(exchange, meta, execution)
        self._calls.add(call)
        exchange.on_disconnected = lambda: self._on_gone(call)
        self._execute(call, execution.start(now))

    def _on_gone(self, call: Call) -> None:
        now = self._clock()
        self._metrics.incr("entry.gone")
        self._requests.note(
            "caller gone", call.meta.request_id, now, failed=True, route=call.execution.route.name
        )
        self._execute(call, call.execution.on_caller_gone(now))

    def _refuse(
        self, exchange: Exchange, meta: CallerMeta, status: int, retry_s: float, reason: str
    ) -> None:
        version = self._index.version if self._index is not None else 0
        self._metrics.incr(f"entry.answers.{status}")
        self._requests.note(
            reason,
            meta.request_id,
            self._clock(),
            failed=True,
            status=status,
            host=exchange.request.host.decode("latin-1"),
            path=exchange.request.path[:100],
            routes_version=version,
        )
        exchange.respond(status, self._dialect.refusal_headers(meta, retry_s), b"")

    def _execute(self, call: Call, actions: Iterable[object]) -> None:
        for action in actions:
            match action:
                case Forward():
                    self._forward(call, action)
                case Cancel():
                    sub = call.subs.pop(action.sub_id, None)
                    if sub is not None:
                        self._targets.pool.cancel(sub, superseded=action.superseded)
                case Answer() | Merged() | Refusal():
                    self._give(call, action)
        if call.execution.ended:
            self._forget(call)
        else:
            self._await(call)

    def _await(self, call: Call) -> None:
        """Wait for room and for the next time limit."""
        for service in call.execution.waiting:
            if call not in self._waiting[service]:
                self._waiting[service].append(call)
        due = call.execution.next_deadline()
        if call.timer is None or due != call.timer_at:
            if call.timer is not None:
                call.timer.cancel()
            call.timer_at = due
            call.timer = self._loop.call_at(due, self._on_timer, call)

    def _on_timer(self, call: Call) -> None:
        call.timer = None
        # Timers fire up to a clock tick early.
        now = max(self._clock(), call.timer_at)
        self._execute(call, call.execution.tick(now))

    def _forget(self, call: Call) -> None:
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        self._calls.discard(call)

    def _forward(self, call: Call, action: Forward) -> None:
        request = call.exchange.request
        if call.template is None:
            call.template = RequestTemplate(request, self._dialect.forwarded_headers(request))

        def encode() -> bytes:
            left_s = action.deadline - self._clock()
            data = call.template.encode(self._dialect.target_headers(action.target_id, left_s))
            far = self._targets.is_far(action.target_id)
            self._traffic.note("sub_requests", far, len(data) + SEGMENT_BYTES)
            return data

        sub = PooledSubRequest(
            action.sub_id,
            action.target_id,
            encode,
            request.method == b"HEAD",
            CallListener(self, call),
            self._clock(),
            self._targets.incarnation(action.target_id),
        )
        call.subs[action.sub_id] = sub
        call.sends += 1
        self._metrics.incr("entry.sub_requests")
        self._targets.pool.send(sub)

    # Ends of sub-requests.

    def on_response(self, call: Call, sub: PooledSubRequest, response: Response) -> bool:
        """Take a response; return whether it belongs to the request."""
        call.subs.pop(sub.sub_id, None)
        far = self._targets.is_far(sub.target_id)
        self._traffic.note("sub_requests", far, response.size, calls=0)
        meta = self._dialect.target_meta(response)
        execution, now = call.execution, self._clock()
        stray = bool(meta.request_id) and meta.request_id != call.meta.request_id
        if not stray:
            self._note_wishes(sub, meta)
        if stray or (not meta.not_run and not self._is_sound(response, meta)):
            self._note_failure(call, sub, FailureKind.GARBLED)
            failure = SubFailure(FailureKind.GARBLED)
            self._execute(call, execution.on_failure(sub.sub_id, failure, now))
            return not stray
        if meta.not_run:
            kind = FailureKind.WRONG_TARGET if meta.wrong_target else FailureKind.REFUSED
            self._note_failure(call, sub, kind)
            self._execute(call, execution.on_failure(sub.sub_id, SubFailure(kind), now))
            return True
        answer = TargetAnswer(
            response.status, response.headers, response.body, meta.receipt, meta.load
        )
        if not answer.ok:
            self._note_failure(call, sub, f"status {answer.status}")
        self._execute(call, execution.on_answer(sub.sub_id, answer, now))
        return True

    def on_late(self, call: Call, sub: PooledSubRequest, response: Response) -> None:
        """Take what the response to a cancelled sub-request says about its target."""
        meta = self._dialect.target_meta(response)
        if meta.request_id == call.meta.request_id:
            self._note_wishes(sub, meta)

    def _note_wishes(self, sub: PooledSubRequest, meta: TargetMeta) -> None:
        """Follow a target that leaves or wants no requests, before anything else is sent."""
        if meta.wrong_target or not meta.request_id:
            return
        if meta.leaving:
            self._targets.note_leaving(sub.target_id, sub.incarnation)
        if meta.hold_s:
            self._targets.hold(sub.target_id, sub.incarnation, meta.hold_s)

    @staticmethod
    def _is_sound(response: Response, meta: TargetMeta) -> bool:
        """Return whether a response can be the target's own: a success needs its receipt."""
        return not 200 <= response.status < 300 or (bool(meta.receipt) and not meta.encoded)

    def on_lost(self, call: Call, sub: PooledSubRequest, *, sent: bool, garbled: bool) -> None:
        """Take the loss of a response."""
        call.subs.pop(sub.sub_id, None)
        kind = FailureKind.NOT_SENT
        if sent:
            kind = FailureKind.GARBLED if garbled else FailureKind.LOST
        self._note_failure(call, sub, kind)
        actions = call.execution.on_failure(sub.sub_id, SubFailure(kind), self._clock())
        self._execute(call, actions)

    def on_cancel_completed(self, sub: PooledSubRequest, ending: CancelOutcome) -> None:
        """Take note that a cancelled sub-request occupies its target no more."""
        now = self._clock()
        latency_s = now - sub.started if ending is CancelOutcome.ANSWERED else None
        silent = ending is CancelOutcome.SILENT
        self._targets.policy.on_cancel_completed(sub.target_id, latency_s, now, silent=silent)

    def _note_failure(self, call: Call, sub: PooledSubRequest, reason: str) -> None:
        self._metrics.incr("entry.sub_failures")
        if len(call.failures) < LOGGED_FAILURES:
            call.failures.append(f"{sub.target_id}: {reason}")

    # Answers.

    def _give(self, call: Call, action: Answer | Merged | Refusal) -> None:
        status, headers, body, note = render(self._dialect, call.meta, action)
        route = call.execution.route
        # An open connection would bring the caller's next request here again.
        close = isinstance(action, Refusal) and self._is_cut_off()
        call.exchange.respond(status, headers, body, close=close)
        self._delivery.on_answer(route, len(body) + headers_size(headers))
        now = self._clock()
        latency_s = now - call.exchange.arrived
        self._metrics.incr(f"entry.answers.{status}")
        self._metrics.timing("entry.latency", latency_s)
        partial = isinstance(action, Merged) and action.missing > 0
        self._requests.note(
            note,
            call.meta.request_id,
            now,
            failed=partial or not 200 <= status < 300,
            status=status,
            route=route.name,
            routes_version=self._index.version,
            latency_ms=round(latency_s * 1000, 1),
            sends=call.sends,
            missing=missing_services(route, action),
            target_failures=call.failures,
        )

    # Routes, and room at targets.

    def _on_routes(self) -> None:
        table = self._routes.routes()
        if table is None or (self._index is not None and self._index.version == table.version):
            return
        self._index = RouteIndex(table)
        log.info("entry: routes in force", extra={"routes_version": table.version})
        self._targets.use(self._index)
        self._delivery.retain({route.name for route in self._index.routes()})

    def _wake(self, service: str) -> None:
        """Let the most urgent request that waits for a service try again."""
        waiting = self._waiting.get(service)
        if not waiting:
            return
        waiting[:] = [c for c in waiting if service in c.execution.waiting]
        now = self._clock()
        waiting.sort(key=lambda c: c.execution.wait_order(now))
        while waiting:
            call = waiting.pop(0)
            self._execute(call, call.execution.on_room(service, now))
            if service in call.execution.waiting:
                break
