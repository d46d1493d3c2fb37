"""Answers, failures and actions of a forwarded request."""

from __future__ import annotations

import enum
from typing import TypeAlias

import attrs

from bramleycrank.proto.target_pb2 import LoadReport


class FailureKind(enum.StrEnum):
    """Why a sub-request ended without a usable answer."""

    NOT_SENT = "not_sent"  # no byte left this VM; it did not run
    REFUSED = "refused"  # the target says that it did not run, for load or time
    WRONG_TARGET = "wrong_target"  # another incarnation is at the address; it did not run
    LOST = "lost"  # the connection ended before a whole answer; it may have run
    GARBLED = "garbled"  # bytes that are no answer to this request; it may have run
    ERROR = "error"  # the target answered with a failure of its own; it ran


NOT_RUN_KINDS = frozenset({FailureKind.NOT_SENT, FailureKind.REFUSED, FailureKind.WRONG_TARGET})
"""Failures that prove that the target did not run the request."""


@attrs.frozen(eq=False)
class TargetAnswer:
    """A whole answer of a target, as it came.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        All headers, those of the connection included.
    body : bytes
        Whole body.
    receipt : bytes
        Proof of the run that the target gave; empty if none.
    load : LoadReport or None
        What the target said of its load.
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
    """Why a sub-request failed, with the target's own answer if there is one."""

    kind: FailureKind
    answer: TargetAnswer | None = None


@attrs.frozen
class Part:
    """The answer of one shard."""

    service: str
    receipt: bytes
    body: bytes


@attrs.frozen
class Forward:
    """Send the request to a target; answer with `on_answer` or `on_failure`.

    Parameters
    ----------
    deadline : float
        When the caller stops waiting, in seconds.
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
        Whether another target answered first. The target may then finish, which keeps the
        connection; otherwise nobody waits any more and the connection is closed.
    """

    sub_id: int
    target_id: str
    superseded: bool


@attrs.frozen
class Answer:
    """Pass a target's answer on to the caller."""

    answer: TargetAnswer


@attrs.frozen
class Merged:
    """Give the caller the greatest records of the parts."""

    parts: tuple[Part, ...]
    missing: int
    top_records: int


@attrs.frozen
class Refusal:
    """Give the caller an error of this VM.

    Parameters
    ----------
    not_run : bool
        Whether the request is proved not to have run, and never will.
    reason : str
        Why, for the log.
    retry_after_s : float
        When to come back, in seconds; 0 if unknown.
    """

    not_run: bool
    reason: str
    retry_after_s: float = 0.0


Give: TypeAlias = Answer | Merged | Refusal
Action: TypeAlias = Forward | Cancel | Give
