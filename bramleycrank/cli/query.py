"""Commands that send requests over HTTP, as a caller does."""

from __future__ import annotations

import asyncio
import email.message
import http.client
import json
import re
import time
import urllib.error
import urllib.request
import uuid
from typing import Any

from bramleycrank.cli.arguments import command
from bramleycrank.cli.context import Context, DeferredCommand, parse_address
from bramleycrank.cli.output import table
from bramleycrank.exceptions import (
    BramleycrankError,
    Outcome,
    PeerUnreachable,
    RemoteError,
    error_types,
)

DEFAULT_DEADLINE_MS = 1_000
# The daemon answers by the deadline; the margin covers the round trip.
TIMEOUT_MARGIN_S = 2.0

_START_LINE = re.compile(
    rb"(HTTP/1\.[01]) (100|[2-5][0-9]{2})(?: ([^\x00-\x08\x0a-\x1f\x7f]*))?\r?\n"
)
_MAX_START_LINE_BYTES = 8192


class _Response(http.client.HTTPResponse):
    """A response whose start line is valid for HTTP/1.0 or 1.1; of interim ones only 100 is."""

    def _read_status(self) -> tuple[str, int, str]:
        # The library takes any HTTP/1.x and HTTP/0.9 for these versions, and any spaces.
        line = self.fp.readline(_MAX_START_LINE_BYTES)
        if not line:
            raise http.client.RemoteDisconnected("the connection was closed without a response")
        match = _START_LINE.fullmatch(line)
        if match is None:
            raise http.client.BadStatusLine(repr(line[:100]))
        version, status, reason = match.groups(b"")
        return version.decode(), int(status), reason.decode("latin-1")


class _Connection(http.client.HTTPConnection):
    response_class = _Response


class _Handler(urllib.request.HTTPHandler):
    def http_open(self, req: urllib.request.Request) -> http.client.HTTPResponse:
        return self.do_open(_Connection, req)


class QueryCommands:
    """Sends requests to the HTTP address of a VM (`--http` or BRAMLEYCRANK_HTTP)."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @command
    def search(
        self,
        service: str,
        query: str,
        limit: int = 10,
        deadline_ms: int = 0,
        priority: str = "normal",
        allow_partial: bool = True,
    ) -> DeferredCommand:
        """Search all shards of a service.

        Parameters
        ----------
        service : str
            Service name.
        query : str
            Search text.
        limit : int
            Maximum number of hits.
        deadline_ms : int
            Deadline of the answer in ms; 0: the default of the service.
        priority : str
            Priority class: urgent, normal or bulk.
        allow_partial : bool
            Accept an answer that lacks shards.
        """
        fields = {"kind": "search", "query": query, "limit": limit}
        return self._send_read(service, fields, deadline_ms, priority, allow_partial)

    @command
    def quick_match(
        self,
        service: str,
        query: str,
        limit: int = 10,
        deadline_ms: int = 0,
        priority: str = "normal",
        allow_partial: bool = True,
    ) -> DeferredCommand:
        """Search for a few good hits; `search --help` describes the options.

        Parameters
        ----------
        service : str
            Service name.
        query : str
            Search text.
        limit, deadline_ms, priority, allow_partial :
            See `search`; deadline_ms is in ms.
        """
        fields = {"kind": "quick_match", "query": query, "limit": limit}
        return self._send_read(service, fields, deadline_ms, priority, allow_partial)

    @command
    def fetch(
        self, service: str, key: str, deadline_ms: int = 0, priority: str = "normal"
    ) -> DeferredCommand:
        """Fetch one record.

        Parameters
        ----------
        service : str
            Service name.
        key : str
            Record key.
        deadline_ms : int
            Deadline of the answer in ms; 0: the default of the service.
        priority : str
            Priority class: urgent, normal or bulk.
        """
        return self._send_read(service, {"kind": "fetch", "key": key}, deadline_ms, priority, True)

    @command
    def execute(
        self,
        service: str,
        kind: str,
        key: str,
        payload: str = "",
        request_key: str = "",
        issued_at_ms: int = 0,
        deadline_ms: int = 0,
        priority: str = "normal",
    ) -> DeferredCommand:
        """Run a request of an operator-defined kind, at most once.

        The request key and the time of issue are shown in the result or error; give both to
        resend the same request.

        Parameters
        ----------
        service : str
            Service name.
        kind : str
            Kind that the service defines.
        key : str
            Record key; selects the shard.
        payload : str
            Payload for the target.
        request_key : str
            Key of an earlier attempt, to resend it; empty: a new one.
        issued_at_ms : int
            Unix time in ms of an earlier attempt, to resend it; 0: now.
        deadline_ms : int
            Deadline of the answer in ms; 0: the default of the service.
        priority : str
            Priority class: urgent, normal or bulk.
        """
        body = {
            "kind": kind,
            "key": key,
            "payload": payload,
            "request_key": request_key or uuid.uuid4().hex,
            "issued_at_ms": issued_at_ms or time.time_ns() // 1_000_000,
        }
        return self._send(service, body, deadline_ms, priority)

    def _send_read(
        self,
        service: str,
        fields: dict[str, Any],
        deadline_ms: int,
        priority: str,
        allow_partial: bool,
    ) -> DeferredCommand:
        return self._send(
            service, {**fields, "allow_partial": allow_partial}, deadline_ms, priority
        )

    def _send(
        self, service: str, fields: dict[str, Any], deadline_ms: int, priority: str
    ) -> DeferredCommand:
        body = {"service": service, "class": priority, **fields}
        if deadline_ms:
            body["deadline_ms"] = deadline_ms

        async def run() -> None:
            address = parse_address(self._context.http, "--http")
            timeout_s = (deadline_ms or 60_000) / 1000 + TIMEOUT_MARGIN_S
            url = f"http://{address}/v1/query"
            try:
                answer = await asyncio.to_thread(post_json, url, body, timeout_s)
            except BramleycrankError as exc:
                if "request_key" in body:
                    exc.message += (
                        f" (resend with --request-key {body['request_key']}"
                        f" --issued-at-ms {body['issued_at_ms']})"
                    )
                raise
            self._context.show(answer, _format_answer(answer))

        return DeferredCommand(run)


def post_json(url: str, body: dict[str, Any], timeout_s: float) -> dict[str, Any]:
    """Send a JSON object and return the JSON object of the response.

    Raises
    ------
    BramleycrankError
        The error in the response, or `PeerUnreachable`.
    """
    request = urllib.request.Request(
        url, json.dumps(body).encode(), {"Content-Type": "application/json"}
    )
    # Proxy settings of the environment do not apply to VMs.
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}), _Handler)
    try:
        with opener.open(request, timeout=timeout_s) as reply:
            _check_framing(reply.headers)
            return json.load(reply)
    except urllib.error.HTTPError as exc:
        content = exc.read()
        try:
            _check_framing(exc.headers)
        except http.client.HTTPException as broken:
            raise PeerUnreachable(f"{url}: {broken!r}") from exc
        raise _parse_error(exc.code, content) from exc
    except urllib.error.URLError as exc:
        raise PeerUnreachable(f"{url}: {exc.reason}") from exc
    except (OSError, http.client.HTTPException, ValueError) as exc:
        raise PeerUnreachable(f"{url}: {exc!r}") from exc


def _check_framing(headers: email.message.Message) -> None:
    """Raise ``HTTPException`` if the library accepts headers that do not mark one end."""
    lengths = headers.get_all("Content-Length", [])
    encodings = [value.strip().lower() for value in headers.get_all("Transfer-Encoding", [])]
    if len(lengths) + len(encodings) > 1 or headers.defects:
        raise http.client.HTTPException("the length of the body is ambiguous")
    if not all(value.isascii() and value.isdigit() and len(value) < 19 for value in lengths):
        raise http.client.HTTPException("the length of the body is no number")
    if encodings not in ([], ["chunked"]):
        raise http.client.HTTPException("the transfer encoding is not supported")


def _parse_error(status: int, content: bytes) -> BramleycrankError:
    """Return the typed error of a response."""
    try:
        data = json.loads(content)["error"]
        cls = error_types().get(data["code"], RemoteError)
        error = cls.__new__(cls)
        BramleycrankError.__init__(
            error,
            data["message"],
            outcome=Outcome(data["outcome"]),
            retry_after_ms=data["retry_after_ms"],
        )
        return error
    except (ValueError, KeyError, TypeError):
        return RemoteError(f"HTTP status {status} without a readable error")


def _format_answer(answer: dict[str, Any]) -> str:
    """Return an answer as readable text."""
    snapshot, coverage = answer["snapshot"], answer["coverage"]
    lines = [
        f"{answer['outcome']}: {coverage['answered']} of {coverage['total']} shards, "
        f"version {snapshot['version']} with {snapshot['shard_count']} shards"
    ]
    lines += [f"missing shard {m['shard']}: {m['reason']}" for m in coverage["missing"]]
    if answer.get("request_key"):
        lines.append(f"request key: {answer['request_key']}")
    result = answer["result"]
    if isinstance(result, list):
        rows = [(hit["id"], f"{hit['score']:.4f}", hit["body"]) for hit in result]
        lines.append(table(("ID", "SCORE", "BODY"), rows))
    else:
        lines.append(str(result))
    return "\n".join(lines)
