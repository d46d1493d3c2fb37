"""Tests of what the command line takes for an answer of a VM."""

from __future__ import annotations

import contextlib
import socketserver
import threading

import pytest
from test_http_status import BROKEN_FRAMING, BROKEN_START_LINES

from bramleycrank.cli.query import post_json
from bramleycrank.exceptions import PeerUnreachable

BODY = b'{"error":{"code":"bad","message":"m","outcome":"not_executed","retry_after_ms":0}}'
HEADERS = b"Content-Length: %d\r\nConnection: close\r\n\r\n" % len(BODY)
NOT_TOLD_BY_THE_LIBRARY = {"HTTP/0.9", "HTTP/1.2", "two spaces"}
"""Start lines that ``http.client`` reads as those of HTTP/1.0 or 1.1."""

RESPONSES = {
    name: line + b"\r\n" + HEADERS + BODY
    for name, line in BROKEN_START_LINES.items()
    if name not in NOT_TOLD_BY_THE_LIBRARY
} | {
    name: b"HTTP/1.1 200 OK\r\n" + rest.replace(b"wrong", b'{"a":') + b"1}"
    for name, rest in BROKEN_FRAMING.items()
}


@contextlib.contextmanager
def serving(data: bytes):
    """Serve one response to each connection and yield the URL."""

    class Handler(socketserver.BaseRequestHandler):
        def handle(self) -> None:
            self.request.recv(65536)
            self.request.sendall(data)

    with socketserver.TCPServer(("127.0.0.1", 0), Handler) as server:
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        try:
            yield f"http://127.0.0.1:{server.server_address[1]}/"
        finally:
            server.shutdown()
            thread.join()


@pytest.mark.parametrize("data", RESPONSES.values(), ids=RESPONSES)
def test_a_broken_response_is_no_answer_of_the_vm(data):
    """Guards against an error that no VM has sent, or a result that is cut."""
    with serving(data) as url, pytest.raises(PeerUnreachable):
        post_json(url, {}, 2.0)
