"""HTTP interface for callers and the load balancer."""

from __future__ import annotations

import asyncio
import json
import logging
import math
from collections.abc import Callable, Coroutine
from typing import Any, Protocol
from urllib.parse import unquote_to_bytes

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.iweb import IRequest
from twisted.web.server import Request, Site
from werkzeug.exceptions import HTTPException

from bramleycrank.exceptions import (
    BodyTooLarge,
    BramleycrankError,
    InternalError,
    InvalidRequest,
    NotFound,
    Outcome,
)
from bramleycrank.filters.parse import parse_request
from bramleycrank.query.types import Answer, QueryRequest

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
"""Largest body in bytes."""

MAX_DISCARDED_BYTES = 1024 * 1024
"""Bytes of an oversized body that are read, so that the caller receives the response.

Closing a connection with unread data resets it, and the response may be lost.
"""

IDLE_TIMEOUT_S = 70.0
"""Time after which an idle connection is closed; longer than the longest deadline."""


class Executor(Protocol):
    """Executes requests; implemented by the query controller."""

    async def execute(self, req: QueryRequest) -> Answer:
        """Return the answer, or raise a `BramleycrankError`."""


class LimitedRequest(Request):
    """A request whose body is limited in size while it is read."""

    _received = 0
    _refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802 - Twisted's name
        """Prepare for the body; reject one that is far above the limit at once."""
        # Otherwise Twisted parses forms, and responds to malformed ones without a typed error.
        self.requestHeaders.removeHeader(b"content-type")
        super().gotLength(min(length, MAX_BODY_BYTES) if length is not None else None)
        if length is not None and length > MAX_DISCARDED_BYTES:
            self._refuse(_body_too_large())

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Store the body up to its limit; reject it at `MAX_DISCARDED_BYTES`."""
        self._received += len(data)
        if self._received <= MAX_BODY_BYTES:
            super().handleContentChunk(data)
        elif self._received > MAX_DISCARDED_BYTES:
            self._refuse(_body_too_large())

    def requestReceived(  # noqa: N802 - Twisted's name
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Process a request whose body and path are valid."""
        if self._received > MAX_BODY_BYTES:
            self._refuse(_body_too_large())
        elif not _is_utf8(path):
            problem = InvalidRequest("The path is not valid text.", outcome=Outcome.NOT_RUN)
            self._refuse(problem)
        if not self._refused:
            super().requestReceived(command, path, version)

    def _refuse(self, error: BramleycrankError) -> None:
        """Write an error response and close the connection; further data is ignored."""
        if self._refused or self.channel is None:
            return
        self._refused = True
        body = _error_body(error)
        head = (
            f"HTTP/1.1 {error.http_status} {error.name}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.channel.transport.write(head.encode() + body)
        self.channel.loseConnection()


def _body_too_large() -> BramleycrankError:
    return BodyTooLarge(f"The body is larger than {MAX_BODY_BYTES} bytes.")


def _is_utf8(path: bytes) -> bool:
    try:
        unquote_to_bytes(path).decode()
    except UnicodeDecodeError:
        return False
    return True


def _error_body(error: BramleycrankError) -> bytes:
    return json.dumps({"error": error.as_dict()}).encode()


def _write_json(request: IRequest, data: Any, status: int = 200) -> bytes:
    body = json.dumps(data).encode()
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", str(len(body)).encode())
    return body


def _write_error(request: IRequest, error: BramleycrankError) -> bytes:
    if error.retry_after_ms > 0:
        seconds = math.ceil(error.retry_after_ms / 1e3)
        request.setHeader(b"retry-after", str(seconds).encode())
    return _write_json(request, {"error": error.as_dict()}, error.http_status)


def _close_after_response(request: IRequest) -> None:
    """Close the connection after this response, so that its caller moves to another VM."""
    request.setHeader(b"connection", b"close")
    channel = getattr(request, "channel", None)
    if channel is not None:
        channel.persistent = False


def _deferred(coro: Coroutine[Any, Any, Any]) -> Deferred[Any]:
    return Deferred.fromFuture(asyncio.ensure_future(coro))


class ApiChannel(HTTPChannel):
    """A connection that is registered with its site while it is open."""

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Add the connection to the site."""
        super().connectionMade()
        self.site.channels.add(self)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 - Twisted's name
        """Remove the connection from the site."""
        self.site.channels.discard(self)
        super().connectionLost(reason)


class ApiSite(Site):
    """Creates the connections and keeps track of the open ones."""

    protocol = ApiChannel
    displayTracebacks = False  # noqa: N815 - Twisted's name

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.channels: set[ApiChannel] = set()

    @property
    def flushing(self) -> int:
        """Number of closing connections that still have unsent response data."""
        return sum(bool(channel.transport.disconnecting) for channel in self.channels)


class HttpApi:
    """Klein application that serves queries, health checks and dumps.

    Parameters
    ----------
    executor : Executor
        Executes requests.
    readyz : callable
        Returns an empty string while the VM is ready, otherwise the reason why it is not.
    dump : callable
        Returns the JSON-ready state of the VM.
    """

    app = Klein()

    def __init__(
        self, executor: Executor, readyz: Callable[[], str], dump: Callable[[], dict[str, Any]]
    ) -> None:
        self._executor = executor
        self._not_ready_reason = readyz
        self._dump = dump

    def site(self, reactor: Any = None) -> ApiSite:
        """Return the protocol factory, which limits bodies while they are read."""
        return ApiSite(
            self.app.resource(),
            requestFactory=LimitedRequest,
            timeout=IDLE_TIMEOUT_S,
            reactor=reactor,
        )

    @app.route("/v1/query", methods=["POST"])
    def query(self, request: IRequest) -> Deferred[bytes]:
        """Execute a request; it is cancelled when the caller disconnects."""
        # klein cancels the Deferred, and with it the task, when the connection is lost.
        return _deferred(self._query(request))

    async def _query(self, request: IRequest) -> bytes | None:
        try:
            req = parse_request(request.content.read())
            answer = await self._executor.execute(req)
            return _write_json(request, answer.as_dict())
        except BramleycrankError as exc:
            return _write_error(request, exc)
        except asyncio.CancelledError:
            return None  # the caller disconnected
        except Exception:
            log.exception("http: a request failed unexpectedly")
            return _write_error(request, InternalError())
        finally:
            if self._not_ready_reason():
                _close_after_response(request)

    @app.route("/healthz", methods=["GET"])
    def health(self, request: IRequest) -> bytes:
        """Report that the process serves HTTP."""
        return _write_json(request, {"status": "ok"})

    @app.route("/readyz", methods=["GET"])
    def ready(self, request: IRequest) -> bytes:
        """Report to the load balancer whether this VM accepts requests."""
        reason = self._not_ready_reason()
        if reason:
            return _write_json(request, {"status": "not ready", "reason": reason}, 503)
        return _write_json(request, {"status": "ready"})

    @app.route("/v1/dump", methods=["GET"])
    def dump(self, request: IRequest) -> bytes:
        """Return the state of the VM."""
        return _write_json(request, self._dump())

    @app.handle_errors(HTTPException)
    def routing_error(self, request: IRequest, failure: Failure) -> bytes:
        """Respond to an unknown path or method."""
        status = failure.value.code or 404
        if status == 404:
            return _write_error(request, NotFound("No such path.", outcome=Outcome.NOT_RUN))
        error = InvalidRequest(failure.value.name, outcome=Outcome.NOT_RUN)
        body = _write_error(request, error)
        request.setResponseCode(status)
        return body

    @app.handle_errors(Exception)
    def unexpected(self, request: IRequest, failure: Failure) -> bytes:
        """Respond to an unexpected exception in a handler."""
        log.error("http: a request failed unexpectedly: %s", failure.getTraceback())
        return _write_error(request, InternalError())
