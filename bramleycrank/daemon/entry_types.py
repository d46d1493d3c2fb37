"""What the HTTP entry needs to know of the routes and of the protocol around it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from bramleycrank.proto.log_pb2 import RouteTable
from bramleycrank.proto.target_pb2 import LoadReport
from bramleycrank.transport.http1.messages import Headers, Request, Response


@attrs.frozen
class CallerMeta:
    """What a caller says about its request.

    Parameters
    ----------
    request_id : bytes
        Identifier of this attempt of the caller; empty if there is none.
    wait_s : float or None
        How long the caller waits, in seconds, or None if it does not say.
    """

    request_id: bytes
    wait_s: float | None


@attrs.frozen
class TargetMeta:
    """What a target says about its response.

    Parameters
    ----------
    request_id : bytes
        Identifier of the request that it answers; empty if the target does not say.
    receipt : bytes
        Proof of the run; empty if there is none.
    not_run : bool
        Whether the target says that it did not run the request.
    wrong_target : bool
        Whether another target or incarnation was meant.
    encoded : bool
        Whether the body is not what the caller asked for.
    load : LoadReport or None
        Load of the target.
    leaving : bool
        Whether the target says that it leaves.
    hold_s : float
        How long the target wants no requests of this VM, in seconds; 0 if it does not say.
    """

    request_id: bytes
    receipt: bytes
    not_run: bool
    wrong_target: bool
    encoded: bool
    load: LoadReport | None
    leaving: bool = False
    hold_s: float = 0.0


class EntryDialect(Protocol):
    """Reads and writes the headers of forwarded requests."""

    def caller_meta(self, request: Request) -> CallerMeta:
        """Return what a caller says about its request."""

    def forwarded_headers(self, request: Request) -> Headers:
        """Return the headers that all sub-requests have."""

    def target_headers(self, target_id: str, timeout_s: float) -> Headers:
        """Return the headers that each sub-request has of its own."""

    def target_meta(self, response: Response) -> TargetMeta:
        """Return what a target says about its response."""

    def merged_headers(self, meta: CallerMeta, receipts: Sequence[bytes], missing: int) -> Headers:
        """Return the headers of a merged answer."""

    def refusal_headers(self, meta: CallerMeta, retry_after_s: float) -> Headers:
        """Return the headers of an error of this VM."""


class Routes(Protocol):
    """Source of the routes in force."""

    def routes(self) -> RouteTable | None:
        """Return the table in force, or None while there is none."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change."""
