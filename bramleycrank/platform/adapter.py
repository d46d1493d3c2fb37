"""Translates the calls of the platform into calls of the project."""

from __future__ import annotations

import json
import logging
import time
from urllib.parse import unquote

from bramleycrank.daemon.control_service import ControlService
from bramleycrank.daemon.domain_orders import DomainOrder
from bramleycrank.exceptions import BramleycrankError, InvalidRequest, MalformedBody, NotFound
from bramleycrank.observability.request_log import RequestLog
from bramleycrank.platform import documents
from bramleycrank.platform.fields import Fields, is_token, malformed
from bramleycrank.platform.headers import RETRY_AFTER, PlatformHeaders
from bramleycrank.proto.log_pb2 import RouteTable
from bramleycrank.transport.http1 import Exchange

log = logging.getLogger(__name__)

READY_PATH = "/-/ready"
CONFIG_PATH = "/-/config"
INSTANCES_PATH = "/-/instances/"
EVACUATIONS_PATH = "/-/evacuate/"

JSON_TYPE = (b"Content-Type", b"application/json")


class PlatformAdapter:
    """Handles the calls of the platform; implements `HttpAdapter`.

    Parameters
    ----------
    control_address : str
        ``host:port`` at which this VM receives reports; empty if it receives none.
    room_bytes : int, optional
        Memory for one decoded document, in bytes; larger ones are refused. None for any amount.
    """

    def __init__(self, control_address: str, room_bytes: int | None = None) -> None:
        self._room_bytes = room_bytes
        self.dialect = PlatformHeaders()
        self._refusals = RequestLog(log, time.monotonic)
        self._report_response = json.dumps({"HeartbeatAddr": control_address}).encode()

    def decode_routes(self, document: bytes) -> RouteTable:
        """Decode an operator's document again, which may have fields that an older build ignored.

        It was accepted by another VM, so this one takes it whatever its size.

        Raises
        ------
        MalformedBody
            The document cannot be read in full.
        """
        return documents.decode_routes(document)

    def has_customers(self, document: bytes) -> bool:
        """Return whether an operator's document has customers; True if that cannot be told."""
        return documents.has_customers(document)

    def readiness(self, exchange: Exchange, reason: str) -> None:
        """Respond to a readiness check of the load balancer."""
        if exchange.request.path != READY_PATH:
            exchange.respond(404, [], b"")
            return
        exchange.respond(503 if reason else 200, [], reason.encode())

    async def control(self, exchange: Exchange, service: ControlService) -> None:
        """Respond to a call of an operator or a target."""
        try:
            body = await self._call(exchange, service)
        except BramleycrankError as exc:
            self._respond_error(exchange, exc)
        except Exception:
            log.exception("control: a call failed")
            exchange.respond(500, [], b"")
        else:
            exchange.respond(200, [JSON_TYPE], body)

    def _respond_error(self, exchange: Exchange, exc: BramleycrankError) -> None:
        status = 400 if isinstance(exc, MalformedBody) else exc.http_status
        self._refusals.record(
            "control call refused",
            b"",
            time.monotonic(),
            failed=True,
            method=exchange.request.method.decode("latin-1"),
            path=exchange.request.path[:100],
            status=status,
            error=exc.name,
            reason=exc.message[:300],
        )
        headers = [JSON_TYPE]
        if exc.retry_after_ms:
            headers.append((RETRY_AFTER, b"%.3f" % (exc.retry_after_ms / 1000)))
        exchange.respond(status, headers, json.dumps({"Error": exc.as_dict()}).encode())

    async def _call(self, exchange: Exchange, service: ControlService) -> bytes:
        request = exchange.request
        match request.method, request.path:
            case b"PUT", path if path == CONFIG_PATH:
                await service.put_routes(documents.decode_routes(request.body, self._room_bytes))
                return b"{}"
            case b"GET", path if path == CONFIG_PATH:
                return (await service.routes()).document
            case b"PUT", path if path.startswith(INSTANCES_PATH):
                return await self._report(_target_id(path), request.body, service)
            case b"DELETE", path if path.startswith(INSTANCES_PATH):
                await service.leave(_target_id(path), _incarnation(request.body, self._room_bytes))
                return b"{}"
            case (b"POST" | b"DELETE") as method, path if path.startswith(EVACUATIONS_PATH):
                domain = _last_segment(path, EVACUATIONS_PATH, "domain")
                order = DomainOrder(domain, evacuate=method == b"POST")
                await service.order(order, lambda: exchange.disconnected)
                return b"{}"
        raise NotFound(f"{request.method.decode('latin-1')} {request.path[:100]}")

    async def _report(self, target_id: str, body: bytes, service: ControlService) -> bytes:
        record = documents.decode_report(target_id, body, self._room_bytes)
        try:
            await service.announce(record)
        except InvalidRequest as exc:
            # A late report is not an error: after one, the target would report to another VM.
            log.info(
                "control: ignored an outdated report",
                extra={"target": target_id, "reason": str(exc)},
            )
        return self._report_response


def _target_id(path: str) -> str:
    """Return the id of a target, which becomes a header of each request to it."""
    target_id = _last_segment(path, INSTANCES_PATH, "instance id")
    if not is_token(target_id):
        raise malformed("the instance id is too long or has characters that no header bears")
    return target_id


def _last_segment(path: str, prefix: str, meaning: str) -> str:
    """Return the only segment of a path after its prefix."""
    segment = unquote(path.removeprefix(prefix))
    if not segment or "/" in segment:
        raise NotFound(f"the path has no valid {meaning}")
    return segment


def _incarnation(body: bytes, room_bytes: int | None) -> int | None:
    if not body.strip():
        return None
    fields = Fields.from_json(body, "leave", room_bytes)
    return documents.decode_incarnation(fields) if fields.has("born") else None
