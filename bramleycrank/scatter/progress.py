"""Progress of the shards of one forwarded request."""

from __future__ import annotations

import math

import attrs

from bramleycrank.routing import Route
from bramleycrank.scatter.types import FailureKind, Part, SubFailure

MAX_REFUSED = 2
"""Refusals per shard that don't count as attempts; more would burden targets that are full."""


@attrs.define(eq=False)
class OpenSubRequest:
    """A sub-request that has not ended."""

    sub_id: int
    target_id: str
    sent_at: float


@attrs.define(eq=False)
class Attempts:
    """Bound on the sub-requests of one shard; each one is taken from it before it is sent.

    Parameters
    ----------
    limit : int
        Targets to which the shard may be sent.
    repeatable : bool
        Whether it may run more than once.
    used : int
        Sub-requests that count against the limit: those that may have run, and refusals beyond
        `MAX_REFUSED`.
    unproved : int
        Those that may have run, or may run later.
    refused : int
        Refusals that don't count against the limit.
    """

    limit: int
    repeatable: bool
    used: int = 0
    unproved: int = 0
    refused: int = 0

    @classmethod
    def from_route(cls, route: Route, sent_before: int) -> Attempts:
        """Return the attempts of a route of which another VM has used some."""
        limit = max(1, route.max_targets)
        return cls(limit, route.idempotent, used=sent_before, unproved=sent_before)

    @property
    def left(self) -> bool:
        """Whether one more sub-request may be sent."""
        return self.used < self.limit and (self.repeatable or not self.unproved)

    @property
    def is_first(self) -> bool:
        """Whether no sub-request has reached a target."""
        return not self.used and not self.refused

    def take(self) -> bool:
        """Count one more sub-request; return False if none may be sent."""
        if not self.left:
            return False
        self.used += 1
        self.unproved += 1
        return True

    def give_back(self, kind: FailureKind) -> None:
        """Return the attempt of a sub-request that is proved not to have run, once for each.

        One that did not reach the target counts as no attempt. A refused one burdened the target,
        so only `MAX_REFUSED` of them are given back.
        """
        self.unproved -= 1
        if kind is FailureKind.NOT_SENT:
            self.used -= 1
        elif self.refused < MAX_REFUSED:
            self.refused += 1
            self.used -= 1


@attrs.define(eq=False)
class Shard:
    """Progress of the request at one service."""

    service: str
    attempts: Attempts
    open: list[OpenSubRequest] = attrs.field(factory=list)
    tried: list[str] = attrs.field(factory=list)
    hedge_at: float = math.inf
    part: Part | None = None
    failure: SubFailure | None = None
    ended: bool = False
