"""All error types of the project, with their codes.

The code is stable and appears in HTTP responses, in the ``bramleycrank-code`` trailer of remote
procedure calls and in logs. Codes are grouped by hundreds: 1xx invalid input, 2xx refused for load
or time, 3xx coverage and targets, 4xx at-most-once execution, 5xx configuration and consensus,
6xx storage, 7xx transport, 9xx internal.
"""

from __future__ import annotations

import enum
from typing import ClassVar


class Outcome(enum.StrEnum):
    """Whether a request that failed was executed."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class BramleycrankError(Exception):
    """Base class of all errors.

    Parameters
    ----------
    message : str
        One short sentence for logs and users.
    outcome : Outcome, optional
        Whether the request is known not to have run; ``UNKNOWN`` is the safe default.
    retry_after_ms : int, optional
        Time after which the caller may retry, in milliseconds; 0 if a retry is useless.
    """

    code: ClassVar[int] = 900
    http_status: ClassVar[int] = 500
    exit_code: ClassVar[int] = 1

    def __init__(
        self, message: str = "", *, outcome: Outcome = Outcome.UNKNOWN, retry_after_ms: int = 0
    ) -> None:
        self.message = message or (self.__doc__ or "").split("\n")[0]
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms
        super().__init__(self.message)

    @property
    def name(self) -> str:
        """Name of the error type."""
        return type(self).__name__

    def as_dict(self) -> dict[str, object]:
        """Return the JSON form that is sent to callers."""
        return {
            "code": self.code,
            "name": self.name,
            "message": self.message,
            "outcome": str(self.outcome),
            "retry_after_ms": self.retry_after_ms,
        }


class InternalError(BramleycrankError):
    """An unexpected failure inside the system."""


class InvalidRequest(BramleycrankError):
    """A request has a missing, malformed or unknown field."""

    code = 100
    http_status = 400
    exit_code = 2


class MalformedBody(InvalidRequest):
    """The body is not a JSON object."""

    code = 101


class BodyTooLarge(InvalidRequest):
    """The body is larger than the limit."""

    code = 102
    http_status = 413


class UnknownService(InvalidRequest):
    """No service has this name."""

    code = 103
    http_status = 404


class UnknownKind(InvalidRequest):
    """The service does not define this request kind."""

    code = 104


class ClassNotAllowed(InvalidRequest):
    """The service does not allow this priority class."""

    code = 105


class InvalidSettings(BramleycrankError):
    """The settings file has problems.

    Parameters
    ----------
    problems : list of str
        One line for each problem: file, key, what was found and what is allowed.
    """

    code = 110
    exit_code = 2

    def __init__(self, problems: list[str]) -> None:
        self.problems = problems
        super().__init__("\n".join(problems))


class Refused(BramleycrankError):
    """The request was refused before it was dispatched."""

    code = 200
    http_status = 503
    exit_code = 3


class QueueFull(Refused):
    """The queue of the request's class is full."""

    code = 201


class DeadlineUnreachable(Refused):
    """The request cannot be answered before its deadline."""

    code = 202


class Draining(Refused):
    """The VM is shutting down and accepts no new requests."""

    code = 203


class DeadlineExceeded(BramleycrankError):
    """The deadline passed before the answer was complete."""

    code = 204
    http_status = 504
    exit_code = 3


class Cancelled(BramleycrankError):
    """The caller disconnected before the answer was complete."""

    code = 205
    http_status = 499
    exit_code = 3


class NoTargets(Refused):
    """No usable target holds a shard of the service."""

    code = 300


class IncompleteCoverage(BramleycrankError):
    """Some shards did not answer and the caller does not accept a partial answer."""

    code = 301
    http_status = 503
    exit_code = 4


class TargetFailed(BramleycrankError):
    """The target reported a failure."""

    code = 302
    http_status = 502
    exit_code = 4


class OutcomeUnknown(BramleycrankError):
    """It is unknown whether the request ran."""

    code = 400
    http_status = 409
    exit_code = 5


class KeyExpired(OutcomeUnknown):
    """The request key is older than the retention of claims."""

    code = 401


class AnswerTooLargeToRepeat(OutcomeUnknown):
    """The request ran, but its answer was too large to be stored."""

    code = 402


class NoQuorum(BramleycrankError):
    """No quorum of the voting VMs can be reached."""

    code = 500
    http_status = 503
    exit_code = 6


class NotLeader(BramleycrankError):
    """The called VM does not lead the replicated log.

    Parameters
    ----------
    leader_address : str
        ``host:port`` of the leader, empty if unknown.
    """

    code = 501
    http_status = 503
    exit_code = 6

    def __init__(self, message: str = "", *, leader_address: str = "") -> None:
        self.leader_address = leader_address
        super().__init__(message, outcome=Outcome.NOT_RUN)


class ProposalOutcomeUnknown(BramleycrankError):
    """A proposal may or may not be committed later."""

    code = 502
    http_status = 504
    exit_code = 6


class VersionConflict(BramleycrankError):
    """The object has another version than the change expects.

    Parameters
    ----------
    current_version : int
        Version of the object; 0 if it does not exist.
    """

    code = 503
    http_status = 409
    exit_code = 7

    def __init__(self, message: str = "", *, current_version: int = 0) -> None:
        self.current_version = current_version
        super().__init__(message, outcome=Outcome.NOT_RUN)


class NotFound(BramleycrankError):
    """The object does not exist."""

    code = 504
    http_status = 404
    exit_code = 7


class InvalidChange(BramleycrankError):
    """A configuration change has a missing or invalid field."""

    code = 505
    http_status = 400
    exit_code = 2


class MembershipChangeInProgress(BramleycrankError):
    """Another change of the voting VMs is not committed yet."""

    code = 506
    exit_code = 7


class LearnerNotCaughtUp(BramleycrankError):
    """The learner's log has not reached the leader's commit index."""

    code = 507
    exit_code = 7


class InvalidMembershipChange(BramleycrankError):
    """The change would break the rules for voting VMs."""

    code = 508
    exit_code = 7


class AlreadyBootstrapped(BramleycrankError):
    """The VM already belongs to a cluster."""

    code = 509
    exit_code = 7


class NotBootstrapped(BramleycrankError):
    """The VM does not belong to a cluster yet."""

    code = 510
    exit_code = 6


class ConfigurationUnavailable(BramleycrankError):
    """The VM has no configuration yet."""

    code = 511
    http_status = 503
    exit_code = 6


class StorageError(BramleycrankError):
    """The data folder cannot be used."""

    code = 600
    exit_code = 8


class CorruptLog(StorageError):
    """A record inside the log has a wrong checksum or order."""

    code = 601


class FolderInUse(StorageError):
    """Another process uses the data folder."""

    code = 602


class PeerUnreachable(BramleycrankError):
    """A VM cannot be reached."""

    code = 700
    http_status = 503
    exit_code = 9


class RemoteError(BramleycrankError):
    """A remote call failed with a code that this version does not know."""

    code = 701
    http_status = 502
    exit_code = 9


def error_types() -> dict[int, type[BramleycrankError]]:
    """Return every error type by its code."""

    def with_subclasses(cls: type[BramleycrankError]) -> list[type[BramleycrankError]]:
        return [cls, *(sub for child in cls.__subclasses__() for sub in with_subclasses(child))]

    return {cls.code: cls for cls in with_subclasses(BramleycrankError) if "code" in vars(cls)}
