"""Types and interfaces of the HTTP entry: request metadata, headers and routes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from bramleycrank.customers import Identity
from bramleycrank.proto.log_pb2 import RouteTable
from bramleycrank.proto.target_pb2 import LoadReport
from bramleycrank.transport.http1.messages import Headers, Request, Response


@attrs.frozen
class CallerMeta:
    """Metadata of a caller's request.

    Parameters
    ----------
    request_id : bytes
        Identifier of this attempt by the caller; empty if there is none.
    wait_s : float or None
        Time that the caller waits for an answer, in seconds, or None if not given.
    key : bytes or None
        Key that the caller presents; None without exactly one.
    named_customer : str
        Customer that the request names; empty if none. Trusted only in offers of other VMs.
    """

    request_id: bytes
    wait_s: float | None
    key: bytes | None = attrs.field(default=None, repr=False)
    named_customer: str = ""


@attrs.frozen
class TargetMeta:
    """Metadata of a target's response.

    Parameters
    ----------
    request_id : bytes
        Identifier of the request that it answers; empty if not given.
    receipt : bytes
        Proof that the target executed the request; empty if there is none.
    not_run : bool
        Whether the target states that it did not execute the request.
    wrong_target : bool
        Whether the request was addressed to another target or incarnation.
    encoded : bool
        Whether the body has a content encoding, which the caller did not request.
    load : LoadReport or None
        Load that the target reports, or None.
    leaving : bool
        Whether the target announces that it leaves.
    hold_s : float
        Duration of the hold that the target requests of this VM, in seconds; 0 for none.
    limit_per_s : float or None
        Requests per second that the target tolerates from all VMs together; None if unlimited.
    """

    request_id: bytes
    receipt: bytes
    not_run: bool
    wrong_target: bool
    encoded: bool
    load: LoadReport | None
    leaving: bool = False
    hold_s: float = 0.0
    limit_per_s: float | None = None


class EntryDialect(Protocol):
    """Reads and writes the headers of forwarded requests."""

    def caller_meta(self, request: Request) -> CallerMeta:
        """Return the metadata of a caller's request."""

    def forwarded_headers(self, request: Request, identity: Identity) -> Headers:
        """Return the headers that all sub-requests of a request share.

        If keys are in use, they have the customer and no key.
        """

    def wait_headers(self, timeout_s: float) -> Headers:
        """Return the headers that tell another VM how long the caller waits."""

    def target_headers(self, target_id: str, timeout_s: float) -> Headers:
        """Return the headers that are specific to one sub-request."""

    def target_meta(self, response: Response) -> TargetMeta:
        """Return the metadata of a target's response."""

    def merged_headers(self, meta: CallerMeta, receipts: Sequence[bytes], missing: int) -> Headers:
        """Return the headers of a merged answer."""

    def refusal_headers(self, meta: CallerMeta, retry_after_s: float) -> Headers:
        """Return the headers of an error response of this VM."""

    def unauthorized_headers(self, meta: CallerMeta) -> Headers:
        """Return the headers of the response to a request whose key is unknown."""


class Routes(Protocol):
    """Source of the routes in force."""

    def routes(self) -> RouteTable | None:
        """Return the table in force, or None while there is none."""

    def is_newest(self) -> bool:
        """Return whether no newer table can be in force elsewhere, as far as this VM can know."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change."""
