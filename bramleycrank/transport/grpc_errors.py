"""Typed errors across remote procedure calls.

A server sends the code, the outcome and the retry-after of a `BramleycrankError` as trailers along
with the gRPC status, and the client raises the same error type. Service methods use `unary` or
`typed_errors`; clients use `call` or `decode_error`.
"""

from __future__ import annotations

import functools
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import h2.exceptions
from grpclib.client import Stream as ClientStream
from grpclib.client import UnaryUnaryMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.metadata import decode_metadata
from grpclib.server import Stream as ServerStream

from bramleycrank.exceptions import (
    BramleycrankError,
    InternalError,
    InvalidSettings,
    NotLeader,
    Outcome,
    PeerUnreachable,
    RemoteError,
    VersionConflict,
    error_types,
)

log = logging.getLogger(__name__)

CODE_TRAILER = "bramleycrank-code"
OUTCOME_TRAILER = "bramleycrank-outcome"
RETRY_AFTER_TRAILER = "bramleycrank-retry-after-ms"
DETAIL_TRAILER = "bramleycrank-detail"

# Trailers share HTTP/2's 64 KiB limit for a header list; percent encoding can triple the length.
MAX_MESSAGE_CHARS = 2000

_CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    StreamTerminatedError,
    h2.exceptions.ProtocolError,
    AssertionError,  # grpclib raises it if a stream ends within a message
    AttributeError,  # grpclib raises it if a closed connection is used
)

_STATUS_BY_HTTP = {
    400: Status.INVALID_ARGUMENT,
    404: Status.NOT_FOUND,
    409: Status.ABORTED,
    413: Status.RESOURCE_EXHAUSTED,
    499: Status.CANCELLED,
    502: Status.INTERNAL,
    503: Status.UNAVAILABLE,
    504: Status.DEADLINE_EXCEEDED,
}


def status_of(exc: BramleycrankError) -> Status:
    """Return the gRPC status that corresponds to the error's HTTP status."""
    return _STATUS_BY_HTTP.get(exc.http_status, Status.INTERNAL)


def encode_error(exc: BramleycrankError) -> dict[str, str]:
    """Return the trailers that carry an error.

    Parameters
    ----------
    exc : BramleycrankError
        The error to send.

    Returns
    -------
    dict of str to str
        Trailer names and values.
    """
    trailers = {
        CODE_TRAILER: str(exc.code),
        OUTCOME_TRAILER: str(exc.outcome),
        RETRY_AFTER_TRAILER: str(exc.retry_after_ms),
    }
    if isinstance(exc, NotLeader) and exc.leader_address:
        trailers[DETAIL_TRAILER] = exc.leader_address
    if isinstance(exc, VersionConflict):
        trailers[DETAIL_TRAILER] = str(exc.current_version)
    return trailers


def decode_error(exc: GRPCError, trailers: Any = None) -> BramleycrankError:
    """Return the typed error for a failed call.

    Parameters
    ----------
    exc : GRPCError
        The error that grpclib raised.
    trailers : mapping of str to str, optional
        Trailing metadata of the call.

    Returns
    -------
    BramleycrankError
        The error that the server raised, `PeerUnreachable` if no server responded, or
        `RemoteError` if the code is missing or unknown.
    """
    trailers = trailers or {}
    message = exc.message or ""
    cls = error_types().get(_parse_int(trailers.get(CODE_TRAILER), -1))
    outcome = _parse_outcome(trailers.get(OUTCOME_TRAILER))
    retry_after_ms = _parse_int(trailers.get(RETRY_AFTER_TRAILER), 0)
    if cls is None:
        return _untyped_error(exc, outcome, retry_after_ms)
    if cls is BramleycrankError:
        cls = InternalError  # has the same code as the base class
    # Subclasses have their own constructors, so the base constructor sets the common fields.
    error = cls.__new__(cls)
    BramleycrankError.__init__(error, message, outcome=outcome, retry_after_ms=retry_after_ms)
    detail = trailers.get(DETAIL_TRAILER, "")
    if isinstance(error, NotLeader):
        error.leader_address = detail
    if isinstance(error, VersionConflict):
        error.current_version = _parse_int(detail, 0)
    if isinstance(error, InvalidSettings):
        error.problems = message.splitlines()
    return error


def _untyped_error(exc: GRPCError, outcome: Outcome, retry_after_ms: int) -> BramleycrankError:
    if exc.status in (Status.UNAVAILABLE, Status.DEADLINE_EXCEEDED):
        return PeerUnreachable(exc.message or exc.status.name, outcome=outcome)
    if exc.status is Status.UNIMPLEMENTED:
        outcome = Outcome.NOT_RUN
    text = f"{exc.status.name}: {exc.message or 'no message'}"
    return RemoteError(text, outcome=outcome, retry_after_ms=retry_after_ms)


def is_unimplemented(exc: BramleycrankError) -> bool:
    """Return whether a call failed because the server's build does not know the method."""
    cause = exc.__cause__
    return isinstance(cause, GRPCError) and cause.status is Status.UNIMPLEMENTED


def _parse_int(value: str | None, default: int) -> int:
    try:
        return int(value) if value is not None else default
    except ValueError:
        return default


def _parse_outcome(value: str | None) -> Outcome:
    return Outcome.NOT_RUN if value == str(Outcome.NOT_RUN) else Outcome.UNKNOWN


async def send_error(stream: ServerStream, exc: BramleycrankError) -> None:
    """End a call with a typed error; does nothing if the caller disconnected.

    Parameters
    ----------
    stream : grpclib.server.Stream
        The call to end.
    exc : BramleycrankError
        The error to send.
    """
    try:
        await stream.send_trailing_metadata(
            status=status_of(exc),
            status_message=exc.message[:MAX_MESSAGE_CHARS],
            metadata=encode_error(exc),
        )
    except (h2.exceptions.ProtocolError, StreamTerminatedError, ConnectionError):
        log.debug("transport: the caller disconnected before its error was sent")


def typed_errors(
    method: Callable[[Any, ServerStream], Awaitable[None]],
) -> Callable[[Any, ServerStream], Awaitable[None]]:
    """Decorate a service method so that its errors reach the caller with their type.

    Parameters
    ----------
    method : coroutine function
        Service method that takes the stream.

    Returns
    -------
    coroutine function
        The method; unknown exceptions are logged and sent as `InternalError`.
    """

    @functools.wraps(method)
    async def wrapper(self: Any, stream: ServerStream) -> None:
        try:
            await method(self, stream)
        except BramleycrankError as exc:
            await send_error(stream, exc)
        except (GRPCError, StreamTerminatedError):
            raise
        except Exception as exc:
            log.exception("transport: %s failed", method.__qualname__)
            await send_error(stream, InternalError(f"{type(exc).__name__} in {method.__name__}"))

    return wrapper


def unary(
    method: Callable[[Any, Any], Awaitable[Any]],
) -> Callable[[Any, ServerStream], Awaitable[None]]:
    """Decorate a service method that takes the request message and returns the reply message.

    Parameters
    ----------
    method : coroutine function
        ``async def Method(self, request) -> reply``.

    Returns
    -------
    coroutine function
        A service method for grpclib with typed errors.
    """

    @functools.wraps(method)
    async def wrapper(self: Any, stream: ServerStream) -> None:
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "the request has no message")
        await stream.send_message(await method(self, request))

    return typed_errors(wrapper)


async def call(method: UnaryUnaryMethod, request: Any, *, timeout_s: float) -> Any:
    """Make a unary call and raise the errors of the server with their type.

    Parameters
    ----------
    method : grpclib.client.UnaryUnaryMethod
        Method of a generated stub.
    request : protobuf message
        The request.
    timeout_s : float
        Limit for the whole call, including connecting, in seconds.

    Returns
    -------
    protobuf message
        The reply.

    Raises
    ------
    BramleycrankError
        The error of the server, or `PeerUnreachable` if there was no reply; its outcome is
        ``not_run`` if the request was never written to a connection.
    """
    stream = method.open(timeout=max(timeout_s, 0.001))
    written = False
    try:
        async with stream:
            await stream.send_request()
            written = True
            await stream.send_message(request, end=True)
            reply = await stream.recv_message()
    except GRPCError as exc:
        raise decode_error(exc, trailers_of(stream)) from exc
    except _CONNECTION_ERRORS as exc:
        outcome = Outcome.UNKNOWN if written else Outcome.NOT_RUN
        text = f"{method.name}: {type(exc).__name__} {exc}".rstrip()
        raise PeerUnreachable(text, outcome=outcome) from exc
    if reply is None:
        raise PeerUnreachable(f"{method.name}: connection ended without a reply")
    return reply


def trailers_of(stream: ClientStream) -> Any:
    """Return the trailing metadata of a failed call, or an empty mapping.

    grpclib does not set `trailing_metadata` when a reset follows the trailers in one packet, so the
    raw trailers are used in that case.
    """
    if stream.trailing_metadata:
        return stream.trailing_metadata
    raw = getattr(stream, "_stream", None)
    headers = raw and (raw.trailers or raw.headers)
    return decode_metadata(headers) if headers else {}
