"""Types of the filter chain, and interfaces to other parts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

import attrs

from bramleycrank.proto.log_pb2 import Command, CommandResult, ServiceConfig
from bramleycrank.proto.target_pb2 import SubReply, SubRequest, TargetRecord
from bramleycrank.query.execution import QueryExecution
from bramleycrank.query.types import Answer, Fail, Finish, QueryRequest, Snapshot, Ticket


class Proposer(Protocol):
    """Commits commands in the replicated log."""

    async def propose(self, command: Command, timeout_s: float) -> CommandResult:
        """Return the result of the committed command.

        Raises
        ------
        NoQuorum
            If no quorum can be reached.
        ProposalOutcomeUnknown
            If the command may or may not be committed later.
        """


class Configuration(Protocol):
    """The configuration in force on this VM."""

    @property
    def revision(self) -> int:
        """Revision in force."""

    def service(self, name: str) -> ServiceConfig:
        """Return the configuration of a service; raises `UnknownService`."""

    def stale_ms(self) -> int:
        """Return the age of the configuration in milliseconds; 0 while it is current."""


class Targets(Protocol):
    """The targets known to this VM."""

    def targets(self, service: str) -> Sequence[TargetRecord]:
        """Return the usable targets of a service."""

    def vm_count(self, domain: str | None = None) -> int:
        """Return the number of VMs in `domain`, or in all domains."""

    def subscribe_targets(self, callback: Callable[[TargetRecord], None]) -> object:
        """Call `callback` with each changed record."""


class Listener(Protocol):
    """Receives the reply or the failure of a sub-request."""

    def on_reply(self, reply: SubReply) -> None:
        """Handle the reply."""

    def on_failure(self, sub_id: int, reason: str) -> None:
        """Handle the failure of a sub-request; `reason` is a `FailureReason` value."""


class Sessions(Protocol):
    """Sends sub-requests to targets."""

    def send(self, target_id: str, request: SubRequest, listener: Listener) -> None:
        """Send `request`; `listener` is called with its end, possibly before this call returns."""

    def cancel(self, sub_id: int, target_id: str) -> None:
        """Cancel a sub-request at its target."""

    def next_sub_id(self) -> int:
        """Return an id that this process has not used yet."""


class Metrics(Protocol):
    """Receives counters, durations and gauges."""

    def incr(self, name: str, count: int = 1) -> None:
        """Increase a counter."""

    def timing(self, name: str, ms: float) -> None:
        """Record a duration in milliseconds."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class NoMetrics:
    """Discards all metrics."""

    def incr(self, name: str, count: int = 1) -> None:
        """Do nothing."""

    def timing(self, name: str, ms: float) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""


@attrs.define(eq=False)
class RequestContext:
    """State of one request in the filter chain.

    Parameters
    ----------
    received_at : float
        Time at which the request was received, in seconds.
    deadline : float
        Time at which the answer becomes useless, in seconds; set by `ClassifyFilter`.
    claim_won : bool
        Whether this VM holds the winning claim of a non-idempotent request.
    dispatched : bool
        Whether the first sub-request was handed to the session layer.
    """

    req: QueryRequest
    received_at: float
    service: ServiceConfig | None = None
    idempotent: bool = False
    deadline: float = 0.0
    ticket: Ticket | None = None
    claim_won: bool = False
    snapshot: Snapshot | None = None
    execution: QueryExecution | None = None
    first_actions: list[Any] = attrs.field(factory=list)
    dispatched: bool = False
    outcome: Finish | Fail | None = None
    answer: Answer | None = None


Next = Callable[[RequestContext], Awaitable[Answer]]


class Filter(Protocol):
    """One step of the chain."""

    async def __call__(self, ctx: RequestContext, next: Next) -> Answer:
        """Handle `ctx` and return the answer, usually that of `next(ctx)`."""
