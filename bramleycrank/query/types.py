"""Types of the query path: requests, answers, admission tickets and actions."""

from __future__ import annotations

import enum
from collections.abc import Callable, Collection, Mapping
from typing import Any, Protocol

import attrs

from bramleycrank.exceptions import BramleycrankError
from bramleycrank.proto.target_pb2 import SubRequest

READ_KINDS = frozenset({"search", "fetch", "quick_match"})
"""Built-in request kinds, which are always idempotent."""

SCATTER_KINDS = frozenset({"search", "quick_match"})
"""Request kinds that go to every shard; all others go to the shard of their key."""

CLASSES = ("urgent", "normal", "bulk")
"""Priority classes, most urgent first."""


class MissingReason(enum.StrEnum):
    """Why a shard is missing from an answer."""

    NO_REPLICA = "no_replica"
    TIMEOUT = "timeout"
    SHED = "shed"
    FAILED = "failed"
    SNAPSHOT_MISMATCH = "snapshot_mismatch"
    EARLY_END = "early_end"


class FailureReason(enum.StrEnum):
    """Why a sub-request ended without a reply, as reported by the session layer."""

    NOT_SENT = "not_sent"  # no byte of it was written, so it did not run
    CONNECTION_LOST = "connection_lost"  # it may have run
    TARGET_DOWN = "target_down"  # the target went down after sending; it may have run


@attrs.frozen(order=True, cache_hash=True)
class Snapshot:
    """An index version and the number of shards in its shard map."""

    version: int
    shard_count: int


@attrs.frozen
class QueryRequest:
    """One request of a caller.

    Parameters
    ----------
    service, kind : str
        Names of the service and of the request kind.
    priority : str
        ``urgent``, ``normal`` or ``bulk``; the field ``class`` of the JSON form.
    deadline_ms : int
        Time for the whole answer in milliseconds; 0 for the default of the service.
    request_key : str
        With `issued_at_ms`, identifies a non-idempotent request; the same on every resend.
    issued_at_ms : int
        When the caller issued the request, in milliseconds.
    """

    service: str
    kind: str
    priority: str = "normal"
    deadline_ms: int = 0
    allow_partial: bool = True
    request_key: str = ""
    issued_at_ms: int = 0
    query: str = ""
    key: str = ""
    limit: int = 10
    payload: str = ""


@attrs.frozen
class Hit:
    """One record of a result."""

    id: str
    score: float
    body: str

    def as_dict(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {"id": self.id, "score": self.score, "body": self.body}


@attrs.frozen
class MissingShard:
    """A shard without an accepted reply, with the reason of its last failure."""

    shard: int
    reason: MissingReason

    def as_dict(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {"shard": self.shard, "reason": str(self.reason)}


@attrs.frozen
class Coverage:
    """Number of shards that an answer covers, and the missing ones."""

    answered: int
    total: int
    missing: tuple[MissingShard, ...] = ()

    def as_dict(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "answered": self.answered,
            "total": self.total,
            "missing": [item.as_dict() for item in self.missing],
        }


@attrs.frozen
class Attempts:
    """Counts of sub-requests, and of restarts on a newer snapshot.

    ``sent`` is the sum of first sub-requests (including those of restarts), hedges and retries.
    """

    needed: int
    sent: int
    hedges: int = 0
    retries: int = 0
    restarts: int = 0


@attrs.frozen
class Answer:
    """The answer to one request.

    Parameters
    ----------
    result : tuple of Hit, or str
        Hits, best first; for operator-defined kinds the payload of the target.
    revision, stale_ms : int
        Configuration revision in force and its age in milliseconds; 0 while the VM is current.
    """

    outcome: str
    result: tuple[Hit, ...] | str
    snapshot: Snapshot
    coverage: Coverage
    attempts: Attempts
    revision: int = 0
    stale_ms: int = 0
    request_key: str = ""

    def as_dict(self) -> dict[str, Any]:
        """Return the JSON form that callers receive."""
        result = self.result
        return {
            "outcome": self.outcome,
            "result": result if isinstance(result, str) else [hit.as_dict() for hit in result],
            "snapshot": attrs.asdict(self.snapshot),
            "coverage": self.coverage.as_dict(),
            "attempts": attrs.asdict(self.attempts),
            "config": {"revision": self.revision, "stale_ms": self.stale_ms},
            "request_key": self.request_key,
        }

    @classmethod
    def from_dict(cls, data: Mapping[str, Any]) -> Answer:
        """Parse an answer from its JSON form.

        Raises
        ------
        KeyError, TypeError, ValueError
            If `data` is not the JSON form of an answer.
        """
        result, coverage = data["result"], data["coverage"]
        return cls(
            outcome=data["outcome"],
            result=result if isinstance(result, str) else tuple(Hit(**hit) for hit in result),
            snapshot=Snapshot(**data["snapshot"]),
            coverage=Coverage(
                coverage["answered"],
                coverage["total"],
                tuple(
                    MissingShard(item["shard"], MissingReason(item["reason"]))
                    for item in coverage["missing"]
                ),
            ),
            attempts=Attempts(**data["attempts"]),
            revision=data["config"]["revision"],
            stale_ms=data["config"]["stale_ms"],
            request_key=data["request_key"],
        )


@attrs.frozen
class QueryConfig:
    """Options of the query path, named as in the settings section ``[query]``.

    Parameters
    ----------
    policy : str
        ``adaptive``, or ``plain`` for the measurement baseline.
    queue_limit : int
        Queued requests per class.
    initial_concurrency, max_concurrency : int
        Initial value and upper bound of the adaptive limit on requests in flight.
    hedge_quantile : float
        Quantile of the sub-request latency at which a sub-request is hedged.
    hedge_budget, retry_budget : float
        Hedges and retries as shares of the first sub-requests.
    warmup_s : float
        Time in seconds over which the load share of a new target grows to its full size.
    """

    policy: str = "adaptive"
    queue_limit: int = 256
    initial_concurrency: int = 32
    max_concurrency: int = 1024
    hedge_quantile: float = 0.96
    hedge_budget: float = 0.04
    retry_budget: float = 0.10
    warmup_s: float = 10.0

    @classmethod
    def from_settings(cls, section: object) -> QueryConfig:
        """Return the options that `section` has as attributes, and defaults for the others."""
        names = [field.name for field in attrs.fields(cls)]
        return cls(**{name: getattr(section, name) for name in names if hasattr(section, name)})


@attrs.define(eq=False)
class Ticket:
    """A request in admission control.

    Parameters
    ----------
    deadline : float
        Latest time for the answer, in seconds.
    max_concurrency, queue_limit : int
        Limits of the service; 0 for none.
    """

    ticket_id: int
    service: str
    priority: str
    deadline: float
    max_concurrency: int = 0
    queue_limit: int = 0
    offered_at: float = 0.0
    state: str = "new"


@attrs.frozen
class Admit:
    """Action: the request may run now."""

    ticket: Ticket


@attrs.frozen
class Refuse:
    """Action: the request is refused with `error`."""

    ticket: Ticket
    error: BramleycrankError


@attrs.define(eq=False)
class Dispatch:
    """Action: send `request` to a target. Not frozen, since frozen classes are slower to create."""

    target_id: str
    request: SubRequest


@attrs.define(eq=False)
class CancelSub:
    """Action: cancel a sub-request at its target."""

    sub_id: int
    target_id: str


@attrs.frozen
class Finish:
    """Action: the query ended with an answer."""

    answer: Answer


@attrs.frozen
class Fail:
    """Action: the query ended with an error."""

    error: BramleycrankError


Action = Dispatch | CancelSub | Finish | Fail


class QueryPolicy(Protocol):
    """Chooses the targets of sub-requests and decides on extra sub-requests."""

    def choose(
        self, service: str, snapshot: Snapshot, shard: int, exclude: Collection[str], now: float
    ) -> str | None:
        """Return the target for a sub-request; None if no replica is left."""

    def hedge_delay(self, service: str) -> float | None:
        """Return the time in seconds after which a sub-request is hedged; None for no hedging."""

    def acquire_hedge(self, service: str) -> bool:
        """Take one hedge token from the budget; return False if there is none."""

    def acquire_retry(self, service: str) -> bool:
        """Take one retry token from the budget; return False if there is none."""

    def on_sent(self, service: str, target_id: str, first: bool, now: float) -> None:
        """Count a sub-request; `first` is False for hedges and retries."""

    def on_reply(
        self, service: str, target_id: str, latency_s: float, first: bool, now: float
    ) -> None:
        """Count an accepted reply."""

    def on_shed(self, service: str, target_id: str, now: float) -> None:
        """Count a shed reply."""

    def on_failure(self, service: str, target_id: str, now: float) -> None:
        """Count a failure or a timeout."""

    def on_cancelled(
        self, service: str, target_id: str, elapsed_s: float, first: bool, now: float
    ) -> None:
        """Count a cancelled sub-request; `elapsed_s` is 0 unless another reply superseded it."""

    def on_replica_gone(
        self, service: str, target_id: str, snapshot: Snapshot | None, shard: int, now: float
    ) -> None:
        """Handle a target that lacks the shard, or that is leaving if `snapshot` is None."""

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state and the reason for it."""


NextSubId = Callable[[], int]
