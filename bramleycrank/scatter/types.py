"""Replies, failures and actions of a forwarded request."""

from __future__ import annotations

import enum
from typing import TypeAlias

import attrs

from bramleycrank.proto.target_pb2 import LoadReport


class FailureKind(enum.StrEnum):
    """Why a sub-request ended without a usable reply."""

    NOT_SENT = "not_sent"  # no byte left this VM; it did not run
    REFUSED = "refused"  # the target refused it for load or deadline; it did not run
    WRONG_TARGET = "wrong_target"  # another incarnation is at the address; it did not run
    LOST = "lost"  # the connection ended before a complete reply; it may have run
    GARBLED = "garbled"  # the response is not a valid reply to this request; it may have run
    ERROR = "error"  # the target replied with an error of its own; it ran


NOT_RUN_KINDS = frozenset({FailureKind.NOT_SENT, FailureKind.REFUSED, FailureKind.WRONG_TARGET})
"""Failures that prove that the target did not run the request."""


@attrs.frozen(eq=False)
class TargetReply:
    """A complete reply of a target, unchanged.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        All headers, hop-by-hop headers included.
    body : bytes
        Complete body.
    receipt : bytes
        The target's proof that it ran the request; empty if none.
    load : LoadReport or None
        Load that the target reported with the reply.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    receipt: bytes = b""
    load: LoadReport | None = None

    @property
    def ok(self) -> bool:
        """Whether the target succeeded."""
        return 200 <= self.status < 300


@attrs.frozen
class SubFailure:
    """Why a sub-request failed, with the target's reply if there is one."""

    kind: FailureKind
    answer: TargetReply | None = None


@attrs.frozen
class Part:
    """The reply of one shard."""

    service: str
    receipt: bytes
    body: bytes


@attrs.frozen
class Forward:
    """Send the request to a target; its end is reported to `on_reply` or `on_failure`.

    Parameters
    ----------
    deadline : float
        Time at which the caller stops waiting, in seconds.
    """

    sub_id: int
    target_id: str
    service: str
    deadline: float


@attrs.frozen
class Cancel:
    """Stop waiting for a sub-request.

    Parameters
    ----------
    superseded : bool
        Whether another target replied first. The target may then finish, which keeps the
        connection open; otherwise the connection is closed.
    """

    sub_id: int
    target_id: str
    superseded: bool


@attrs.frozen
class ReportLosses:
    """Find out whether targets have ended under the request, of which none has replied.

    Parameters
    ----------
    losses : tuple of (str, str)
        Service and target of each lost sub-request.
    sent_at : float
        Time at which the first of them was sent, in seconds.
    """

    losses: tuple[tuple[str, str], ...]
    sent_at: float


@attrs.frozen
class Answer:
    """Answer the caller with a target's reply."""

    answer: TargetReply


@attrs.frozen
class Merged:
    """Answer the caller with the greatest records of all parts."""

    parts: tuple[Part, ...]
    missing: int
    top_records: int


class RefusalCause(enum.StrEnum):
    """Why this VM answers a request with an error of its own."""

    EXPIRED = "expired"  # its deadline had passed on arrival
    TIMEOUT = "timeout"  # its deadline passed while it waited
    ROOM = "room"  # targets are reached, but none is free for it in time
    NO_TARGET = "no_target"  # no target is known
    UNREACHED = "unreached"  # targets are known, but this VM reaches none
    TARGETS = "targets"  # targets refused it
    UNSENT = "unsent"  # it could not be sent to targets, or others were at their addresses
    FAILED = "failed"  # it was sent, and no usable reply came
    CRASHES = "crashes"  # it is suspected to crash targets
    STOPPING = "stopping"  # the VM stops


@attrs.frozen
class Refusal:
    """Answer the caller with an error of this VM.

    Parameters
    ----------
    not_run : bool
        Whether the request is known not to have run and will not run later.
    reason : str
        Reason for the log.
    retry_after_s : float
        Time after which the caller may retry, in seconds; 0 if unknown.
    cause : RefusalCause
        The same reason, for counts.
    """

    not_run: bool
    reason: str
    retry_after_s: float = 0.0
    cause: RefusalCause = attrs.field(kw_only=True)


FinalAction: TypeAlias = Answer | Merged | Refusal
Action: TypeAlias = Forward | Cancel | ReportLosses | FinalAction
