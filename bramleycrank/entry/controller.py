"""Forwards the requests of callers to HTTP targets."""

from __future__ import annotations

import asyncio
import functools
import itertools
import logging
import math
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from bramleycrank.connections.http_types import CancelOutcome, PooledSubRequest
from bramleycrank.customers import Identity
from bramleycrank.entry.allowances import EntryAllowances
from bramleycrank.entry.answers import missing_services, render
from bramleycrank.entry.call import Call, CallListener
from bramleycrank.entry.customer_gate import CustomerGate
from bramleycrank.entry.delegation import EntryDelegation
from bramleycrank.entry.delegation_headers import Offer, Reply
from bramleycrank.entry.delegator import Delegator
from bramleycrank.entry.placement import Placement
from bramleycrank.entry.suspect_exchange import SuspectExchange
from bramleycrank.entry.targets import EntryTargets, Targets
from bramleycrank.entry.types import CallerMeta, EntryDialect, Routes, TargetMeta
from bramleycrank.entry.waiting import WaitingCalls
from bramleycrank.observability.metrics import Metrics
from bramleycrank.observability.request_log import RequestLog
from bramleycrank.observability.traffic import SEGMENT_BYTES, Traffic
from bramleycrank.proto.entry_pb2 import ListCustomersReply, PlaceRequest
from bramleycrank.routing import Limits, Route, RouteIndex
from bramleycrank.scatter import (
    Answer,
    Cancel,
    FailureKind,
    Forward,
    Merged,
    Refusal,
    RefusalCause,
    ReportLosses,
    ScatterExecution,
    SubFailure,
    TargetReply,
)
from bramleycrank.scatter.budget import RetryBudgetConfig
from bramleycrank.scatter.delivery import DeliveryEstimate
from bramleycrank.scatter.quarantine import Canary, Quarantine
from bramleycrank.scatter.retry_after import add_jitter, startup_retry_after
from bramleycrank.scatter.types import Action
from bramleycrank.scatter.warmup import WarmupBounds
from bramleycrank.transport.http1 import Exchange, ReceiveBudget, RequestTemplate, Response
from bramleycrank.transport.http1.messages import Request, headers_size

log = logging.getLogger(__name__)


CRASH_CHECKS_S = (0.12, 0.3, 0.8, 2.0)
"""Times after a loss at which its target is checked, in seconds; one that does not respond to a
connect is down by the third."""

MAX_ROUTES_WAITS = 14
"""How often a request waits until this VM and another one have the same route table; 0.4 s in all,
since a table reaches some VMs a third of a second after others while voters are replaced."""

MAX_LOGGED_FAILURES = 8
"""Most failed sub-requests listed in the log line of a request, which must stay a short line."""


class EntryController:
    """Runs a `ScatterExecution` for each caller's request and executes its actions.

    Parameters
    ----------
    vm_id, domain : str
        Id and failure domain of this VM.
    dialect : EntryDialect
        Reads and writes the protocol's headers.
    routes : Routes
        Source of the routes.
    targets : Targets
        Source of the targets.
    retry_budget : RetryBudgetConfig
        Limits of the retry budget.
    metrics : Metrics
        Receives the metrics.
    rng : random.Random
        Source of random choices.
    is_isolated : callable, optional
        Returns whether this VM's domain is isolated, so that callers should connect to another VM.
    link_bytes_per_s : float, optional
        Bandwidth of this VM's link in bytes per second; 0 if unknown.
    receive_budget : ReceiveBudget, optional
        Memory for messages, shared with the callers.
    traffic : Traffic, optional
        Counts the bytes and messages of sub-requests.
    warmup : WarmupBounds, optional
        Bound on the requests of all VMs to a cold target.
    regions : mapping of str to str, optional
        Region of each failure domain.
    suspects : SuspectExchange, optional
        Requests that are suspected to crash targets, shared with other VMs.
    delegator : Delegator, optional
        Offers requests to other VMs while this one cannot reach their targets.
    allowances : EntryAllowances, optional
        Admits the requests of customers with an allowance; without it all are admitted.
    weigh_load_by_age : bool, optional
        Whether what is known of targets that many VMs share loses weight with its age.
    """

    def __init__(
        self,
        vm_id: str,
        domain: str,
        dialect: EntryDialect,
        routes: Routes,
        targets: Targets,
        retry_budget: RetryBudgetConfig,
        metrics: Metrics,
        rng: random.Random,
        is_isolated: Callable[[], bool] = lambda: False,
        link_bytes_per_s: float = 0.0,
        receive_budget: ReceiveBudget[Any] | None = None,
        traffic: Traffic | None = None,
        warmup: WarmupBounds | None = None,
        regions: Mapping[str, str] | None = None,
        suspects: SuspectExchange | None = None,
        delegator: Delegator | None = None,
        allowances: EntryAllowances | None = None,
        *,
        weigh_load_by_age: bool = False,
    ) -> None:
        self._allowances = allowances
        self._is_isolated = is_isolated
        self._loop = asyncio.get_running_loop()
        self._clock = self._loop.time
        self._started_at = self._clock()
        self._rng = rng
        self._dialect = dialect
        self._routes = routes
        self._metrics = metrics
        self._requests = RequestLog(log, self._clock)
        self._index: RouteIndex | None = None
        self._targets = EntryTargets(
            vm_id,
            domain,
            targets,
            retry_budget,
            metrics,
            rng,
            self._resume_waiting,
            receive_budget,
            warmup,
            regions,
            weigh_load_by_age=weigh_load_by_age,
        )
        self._suspects = suspects or SuspectExchange(self._clock)
        self._quarantine = Quarantine(self._suspects.table, vm_id)
        self._targets.on_target_ended = self._quarantine.on_target_ended
        self._targets.on_cut = self._hand_over_requests
        self._calls: set[Call] = set()
        self._waiting = WaitingCalls(self._targets.policy, metrics)
        self._gate = CustomerGate(routes, allowances, self._refuse, self._clock, rng)
        self._sub_ids = itertools.count(1)
        self._delivery = DeliveryEstimate(link_bytes_per_s)
        self._placement = Placement(
            self._gate, self._targets, self._quarantine, self._waiting, self._delivery
        )
        self._delegation = EntryDelegation(self._targets, self._delivery, delegator, metrics)
        self._traffic = traffic or Traffic()

    async def start(self) -> None:
        """Subscribe to changes of the routes and the targets."""
        self._routes.subscribe(self._on_routes)
        self._on_routes()
        self._targets.start()
        if self._allowances is not None:
            self._allowances.start(self._waiting)

    async def stop(self) -> None:
        """Cancel all requests in progress."""
        self._targets.stop()
        self._delegation.stop()
        if self._allowances is not None:
            self._allowances.stop()
        for call in list(self._calls):
            self._execute(call, call.execution.on_caller_disconnected(self._clock()))

    def end_requests(self) -> None:
        """Answer all requests in progress, since this VM stops before their targets reply."""
        self._delegation.stop()
        for call in list(self._calls):
            self._execute(call, call.execution.stop(self._clock()))

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

    @property
    def unreached(self) -> int:
        """Number of services with known targets, none of which this VM can reach."""
        return self._delegation.unreached

    @property
    def is_stranded(self) -> bool:
        """Whether this VM reaches no target and knows no VM that does."""
        return self._targets.reach.is_cut and not self._delegation.is_possible

    def limits(self) -> Limits:
        """Return the limits on callers' requests and connections."""
        return self._index.limits if self._index is not None else Limits()

    def delegation_limits(self) -> Limits:
        """Return the limits on the requests of other VMs."""
        return self._delegation.limits(self.limits())

    def report_customers(self) -> None:
        """Set the metrics of customers."""
        self._gate.report(self._metrics)

    def dump(self) -> dict[str, Any]:
        """Return routes, requests, targets and connections in JSON form."""
        now = self._clock()
        return {
            "routes": self._index and self._index.dump(),
            "in_flight": len(self._calls),
            "requests": [call.execution.dump(now) for call in list(self._calls)[:100]],
            "targets": self._targets.dump(now),
            "waiting": self._waiting.dump(now),
            "delegation": self._delegation.dump(),
            "allowances": self._allowances and self._allowances.dump(),
        }

    def customer_uses(self, name: str) -> ListCustomersReply:
        """Return what the callers of one customer, or of all if `name` is empty, use here."""
        return self._gate.uses(name)

    def place(self, query: PlaceRequest) -> dict[str, Any]:
        """Return where a request would go now, and why; nothing is sent, spent or counted."""
        method, target, host = query.method.encode(), query.path.encode(), query.host.encode()
        request = Request(method, target, host, [], b"")
        return self._placement.explain(self._index, request, query.customer, self._clock())

    # Requests.

    def on_request(self, exchange: Exchange) -> None:
        """Forward a caller's request, or refuse it if no route matches or its key is unknown."""
        meta = self._dialect.caller_meta(exchange.request)
        route = self._find_route(exchange, meta)
        if route is None:
            return
        identity = self._gate.identify(exchange, meta, route)
        if identity is None:
            return
        place = functools.partial(self._place, exchange, meta, route, identity, MAX_ROUTES_WAITS)
        left_s = self._deadline(exchange, meta, route) - self._clock()
        self._gate.admit(exchange, meta, identity, left_s, place)

    def _find_route(self, exchange: Exchange, meta: CallerMeta) -> Route | None:
        """Return the route of a request; refuse the request if there is none."""
        if self._index is None:
            running_s = self._clock() - self._started_at
            retry_s = add_jitter(startup_retry_after(running_s), self._rng)
            self._refuse(exchange, meta, 503, retry_s, "no routes are known yet")
            return None
        request = exchange.request
        route = self._index.find(request.host.decode("latin-1"), request.path)
        if route is None:
            self._refuse(exchange, meta, 404, 0.0, "no route matches")
        return route

    def _place(
        self,
        exchange: Exchange,
        meta: CallerMeta,
        route: Route,
        identity: Identity,
        routes_waits: int,
    ) -> None:
        """Serve a request here, or offer it to another VM if this one reaches too few targets.

        Parameters
        ----------
        exchange : Exchange
            The request.
        meta : CallerMeta
            Its metadata.
        route : Route
            Its route.
        identity : Identity
            Who sends it.
        routes_waits : int
            How often it may wait for equal route tables of this VM and another one.
        """
        if not self._targets.serves(route, self._clock()):
            again = functools.partial(self._place_again, exchange, meta, routes_waits - 1)
            if self._delegation.offer(
                exchange,
                meta,
                route,
                identity,
                self._index.version,
                self._deadline(exchange, meta, route),
                functools.partial(self._serve, exchange, meta, route, identity, offered=True),
                on_other_routes=again if routes_waits else None,
            ):
                return
        self._serve(exchange, meta, route, identity)

    def _place_again(self, exchange: Exchange, meta: CallerMeta, routes_waits: int) -> None:
        """Place a request by the table in force now, which may have lost its route or key."""
        route = self._find_route(exchange, meta)
        identity = route and self._gate.identify(exchange, meta, route)
        if identity is not None:
            self._place(exchange, meta, route, identity, routes_waits)

    def on_delegated_request(self, exchange: Exchange) -> None:
        """Serve a request for another VM, or return it at once if that VM may do better."""
        meta = self._dialect.caller_meta(exchange.request)
        admitted = self._delegation.admit(exchange, meta, self._index)
        if admitted is not None:
            self._serve(exchange, meta, admitted.route, admitted.identity, admitted.offer)

    @staticmethod
    def _deadline(exchange: Exchange, meta: CallerMeta, route: Route) -> float:
        """Return the time at which a request ends on each path, in seconds.

        It is the earlier of the caller's deadline and the route's timeout.
        """
        wait_s = math.inf if meta.wait_s is None else meta.wait_s
        return exchange.arrived + min(route.timeout_s, wait_s)

    def _serve(
        self,
        exchange: Exchange,
        meta: CallerMeta,
        route: Route,
        identity: Identity,
        offer: Offer | None = None,
        *,
        offered: bool = False,
    ) -> None:
        """Send the sub-requests of a request from this VM.

        Parameters
        ----------
        exchange : Exchange
            The request.
        meta : CallerMeta
            Its metadata.
        route : Route
            Its route.
        identity : Identity
            Who sends it.
        offer : Offer or None
            Offer of the VM for which the request is served; None if it came from a caller.
        offered : bool
            Whether the request was offered to other VMs, none of which has started it.
        """
        now = self._clock()
        fingerprint = exchange.request.fingerprint
        network_s = self._delivery.network_time(route, exchange.round_trip_s)
        execution = ScatterExecution(
            route,
            self._targets.policy,
            self._sub_ids,
            exchange.arrived - self._delivery.elapsed_before_arrival(route, meta.wait_s, now),
            self._deadline(exchange, meta, route),
            network_s + (offer.network_s if offer is not None else 0.0),
            Canary(self._quarantine, fingerprint),
            offer.sends if offer is not None else (),
            identity.customer.rank if identity.customer is not None else None,
        )
        call = Call(exchange, meta, execution, identity, fingerprint, offer is not None, offered)
        self._calls.add(call)
        exchange.on_disconnected = lambda: self._on_caller_disconnected(call)
        self._execute(call, self._refuse_early(call, now) or execution.start(now))

    def _refuse_early(self, call: Call, now: float) -> list[Action]:
        """Refuse a request to which no target was offered, if it would get room too late."""
        refusal = self._waiting.find_refusal(call, now)
        if refusal is None:
            return []
        reason = f"no room in time for the {refusal.rule}"
        return call.execution.refuse(reason, refusal.return_s, now)

    def _hand_over_requests(self) -> None:
        """Offer the requests in progress to other VMs, since this one has lost its targets."""
        for call in [call for call in self._calls if not call.delegated]:
            if not self._delegation.is_possible:
                return
            sends = call.execution.sends
            actions = call.execution.hand_over(self._clock())
            if actions is not None:
                self._execute(call, actions)
                refusal = Refusal(not any(sends), "sub-request lost", cause=RefusalCause.UNREACHED)
                if not self._offer_call(call, refusal, sends):
                    self._respond(call, refusal)

    def _offer_unsent(self, call: Call, refusal: Refusal) -> bool:
        """Offer a request that this VM gave up before anything was sent; return whether it did."""
        unserved = refusal.not_run and not self._targets.serves(call.execution.route, self._clock())
        if call.delegated or call.offered or not unserved:
            return False
        call.offered = True
        return self._offer_call(call, refusal)

    def _offer_call(self, call: Call, refusal: Refusal, sends: tuple[int, ...] = ()) -> bool:
        """Offer a request that has ended here; it is refused if no VM starts it."""
        return self._delegation.offer(
            call.exchange,
            call.meta,
            call.execution.route,
            call.identity,
            self._index.version,
            call.execution.deadline,
            functools.partial(self._respond, call, refusal),
            sends=sends,
        )

    def _on_caller_disconnected(self, call: Call) -> None:
        now = self._clock()
        self._metrics.incr("entry.gone")
        self._gate.on_ended(call.customer, "gone")
        self._requests.record(
            "caller disconnected",
            call.meta.request_id,
            now,
            failed=True,
            route=call.execution.route.name,
            **call.identity.log_fields(),
        )
        self._execute(call, call.execution.on_caller_disconnected(now))

    def _refuse(
        self,
        exchange: Exchange,
        meta: CallerMeta,
        status: int,
        retry_s: float,
        reason: str,
        **fields: object,
    ) -> None:
        version = self._index.version if self._index is not None else 0
        self._metrics.incr(f"entry.answers.{status}")
        self._requests.record(
            reason,
            meta.request_id,
            self._clock(),
            failed=True,
            status=status,
            host=exchange.request.host.decode("latin-1"),
            path=exchange.request.path[:100],
            routes_version=version,
            **fields,
        )
        headers = (
            self._dialect.unauthorized_headers(meta)
            if status == 401
            else self._dialect.refusal_headers(meta, retry_s)
        )
        exchange.respond(status, headers, b"")

    def _execute(self, call: Call, actions: Iterable[object]) -> None:
        for action in actions:
            match action:
                case Forward():
                    self._forward(call, action)
                case Cancel():
                    sub = call.subs.pop(action.sub_id, None)
                    if sub is not None:
                        self._targets.pool.cancel(sub, superseded=action.superseded)
                case ReportLosses():
                    self._check_losses(call, action, 0)
                case Refusal() if self._offer_unsent(call, action):
                    pass
                case Answer() | Merged() | Refusal():
                    self._respond(call, action)
        if call.execution.ended:
            self._finish(call)
        else:
            self._schedule(call)

    def _schedule(self, call: Call) -> None:
        """Queue a request for free slots and set the timer for its next deadline."""
        self._waiting.add(call)
        due = min(call.execution.next_deadline(), self._waiting.next_check(call))
        if call.timer is None or due != call.timer_at:
            if call.timer is not None:
                call.timer.cancel()
            call.timer_at = due
            call.timer = self._loop.call_at(due, self._on_timer, call)

    def _on_timer(self, call: Call) -> None:
        call.timer = None
        # The event loop may run a timer up to one clock tick early.
        now = max(self._clock(), call.timer_at)
        refused = self._refuse_early(call, now) if now >= self._waiting.next_check(call) else []
        self._execute(call, refused or call.execution.tick(now))

    def _finish(self, call: Call) -> None:
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        self._calls.discard(call)
        self._waiting.discard(call)

    def _forward(self, call: Call, action: Forward) -> None:
        request = call.exchange.request
        if call.template is None:
            headers = self._dialect.forwarded_headers(request, call.identity)
            call.template = RequestTemplate(request, headers)

        def encode() -> bytes:
            left_s = action.deadline - self._clock()
            data = call.template.encode(self._dialect.target_headers(action.target_id, left_s))
            remote = self._targets.is_remote(action.target_id)
            self._traffic.record("sub_requests", remote, len(data) + SEGMENT_BYTES)
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
        self._waiting.on_sent(call, action.service, self._clock())
        self._metrics.incr("entry.sub_requests")
        self._targets.pool.send(sub)

    # Outcomes of sub-requests.

    def on_response(self, call: Call, sub: PooledSubRequest, response: Response) -> bool:
        """Process a response; return whether it belongs to the request."""
        call.subs.pop(sub.sub_id, None)
        remote = self._targets.is_remote(sub.target_id)
        self._traffic.record("sub_requests", remote, response.size, calls=0)
        meta = self._dialect.target_meta(response)
        execution, now = call.execution, self._clock()
        mismatched = bool(meta.request_id) and meta.request_id != call.meta.request_id
        if not mismatched:
            self._apply_target_state(sub, meta)
        if mismatched or (not meta.not_run and not self._is_valid(response, meta)):
            self._record_failure(call, sub, FailureKind.GARBLED)
            failure = SubFailure(FailureKind.GARBLED)
            self._execute(call, execution.on_failure(sub.sub_id, failure, now))
            return not mismatched
        if meta.not_run:
            kind = FailureKind.WRONG_TARGET if meta.wrong_target else FailureKind.REFUSED
            self._record_failure(call, sub, kind)
            self._execute(call, execution.on_failure(sub.sub_id, SubFailure(kind), now))
            return True
        self._suspects.clear(call.fingerprint)
        reply = TargetReply(
            response.status, response.headers, response.body, meta.receipt, meta.load
        )
        if not reply.ok:
            self._record_failure(call, sub, f"status {reply.status}")
        self._execute(call, execution.on_reply(sub.sub_id, reply, now))
        return True

    def on_late(self, call: Call, sub: PooledSubRequest, response: Response) -> None:
        """Read the target's state from the response to a cancelled sub-request."""
        meta = self._dialect.target_meta(response)
        if meta.request_id == call.meta.request_id:
            self._apply_target_state(sub, meta)

    def _apply_target_state(self, sub: PooledSubRequest, meta: TargetMeta) -> None:
        """Apply the leaving flag and the hold of a response before anything else is sent."""
        if meta.wrong_target or not meta.request_id:
            return
        if meta.leaving:
            self._targets.mark_leaving(sub.target_id, sub.incarnation)
        if meta.hold_s:
            self._targets.hold(sub.target_id, sub.incarnation, meta.hold_s)
        # A refusal may come before the target looks at its limit, so it only sets one.
        if meta.limit_per_s is not None or not meta.not_run:
            self._targets.limit_rate(sub.target_id, sub.incarnation, meta.limit_per_s)

    @staticmethod
    def _is_valid(response: Response, meta: TargetMeta) -> bool:
        """Return whether a response is valid; a success must carry the target's receipt."""
        return not 200 <= response.status < 300 or (bool(meta.receipt) and not meta.encoded)

    def on_lost(self, call: Call, sub: PooledSubRequest, *, sent: bool, garbled: bool) -> None:
        """Process the loss of a response."""
        call.subs.pop(sub.sub_id, None)
        kind = FailureKind.NOT_SENT
        if sent:
            kind = FailureKind.GARBLED if garbled else FailureKind.LOST
        self._record_failure(call, sub, kind)
        actions = call.execution.on_failure(sub.sub_id, SubFailure(kind), self._clock())
        self._execute(call, actions)

    def _check_losses(self, call: Call, action: ReportLosses, checks: int) -> None:
        """Report a crash if targets of lost sub-requests have ended and none has replied."""
        if call.execution.has_reply or self._targets.reach.is_probing:
            return  # targets that this VM cannot reach have not ended
        ended = next(
            (loss for loss in action.losses if self._targets.pool.has_ended(loss[1])), None
        )
        if checks and ended is not None and call.execution.looks_deadly:
            service, target_id = ended
            log.info(
                "entry: a target ended while it ran a request",
                extra={
                    "target": target_id,
                    "service": service,
                    "losses": len(action.losses),
                    "fingerprint": f"{call.fingerprint:016x}",
                    "path": call.exchange.request.path[:100],
                },
            )
            self._metrics.incr("entry.crashes")
            self._suspects.report(call.fingerprint, service, action.sent_at)
            return
        if checks < len(CRASH_CHECKS_S):
            elapsed_s = CRASH_CHECKS_S[checks - 1] if checks else 0.0
            self._loop.call_later(
                CRASH_CHECKS_S[checks] - elapsed_s, self._check_losses, call, action, checks + 1
            )

    def on_cancel_completed(self, sub: PooledSubRequest, outcome: CancelOutcome) -> None:
        """Record that a cancelled sub-request no longer occupies a slot of its target."""
        now = self._clock()
        latency_s = now - sub.started if outcome is CancelOutcome.ANSWERED else None
        silent = outcome is CancelOutcome.SILENT
        self._targets.policy.on_cancel_completed(sub.target_id, latency_s, now, silent=silent)

    def _record_failure(self, call: Call, sub: PooledSubRequest, reason: str) -> None:
        self._metrics.incr("entry.sub_failures")
        if len(call.failures) < MAX_LOGGED_FAILURES:
            call.failures.append(f"{sub.target_id}: {reason}")

    # Answers.

    def _respond(self, call: Call, action: Answer | Merged | Refusal) -> None:
        status, headers, body, outcome = render(self._dialect, call.meta, action)
        if call.delegated:
            headers = [*headers, *Reply(True).headers()]
        route = call.execution.route
        # On an open connection the caller's next request would reach this isolated VM again.
        close = isinstance(action, Refusal) and self._is_isolated()
        call.exchange.respond(status, headers, body, close=close)
        self._delivery.on_answer(route, len(body) + headers_size(headers))
        now = self._clock()
        latency_s = now - call.exchange.arrived
        self._metrics.incr(f"entry.answers.{status}")
        self._metrics.timing("entry.latency", latency_s)
        refused = isinstance(action, Refusal) and action.not_run
        fields = self._count_refusal(call, action, now) if refused else {}
        if not refused:
            self._gate.on_ended(call.customer, "served" if status < 500 else "failed")
        partial = isinstance(action, Merged) and action.missing > 0
        self._requests.record(
            outcome,
            call.meta.request_id,
            now,
            failed=partial or not 200 <= status < 300,
            status=status,
            fingerprint=f"{call.fingerprint:016x}",
            route=route.name,
            routes_version=self._index.version,
            latency_ms=round(latency_s * 1000, 1),
            sends=call.sends,
            most_sends=max(call.execution.sends, default=0),
            missing=missing_services(route, action),
            target_failures=call.failures,
            **call.identity.log_fields(),
            **fields,
        )

    def _count_refusal(self, call: Call, refusal: Refusal, now: float) -> dict[str, Any]:
        """Count a request that did not run under its rule; return the fields of its log line."""
        self._waiting.on_refused(call, refusal.retry_after_s, now)
        early = call.early_refusal
        rule = refusal.cause if early is None else early.rule
        self._gate.on_refused(call.customer, rule)
        return {
            "rule": str(rule),
            **self._gate.log_fields(call.customer),
            **self._waiting.describe_use(call, now),
            **self._waiting.explain(call, now),
        }

    # Changes of routes and of free slots at targets.

    def _on_routes(self) -> None:
        table = self._routes.routes()
        if table is None or (self._index is not None and self._index.version == table.version):
            return
        self._index = RouteIndex(table)
        log.info("entry: routes in force", extra={"routes_version": table.version})
        self._waiting.set_customers(self._index.customers, self._index.routes())
        self._gate.set_index(self._index)
        self._targets.apply_routes(self._index)
        self._delivery.retain({route.name for route in self._index.routes()})

    def _resume_waiting(self, service: str) -> None:
        """Resume requests that wait for a service, most urgent first, while slots are free."""
        now = self._clock()
        for call in self._waiting.in_order(service, now):
            self._execute(call, call.execution.on_capacity(service, now))
            if service in call.execution.waiting:
                break
