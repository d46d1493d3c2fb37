"""Tests of what the command line takes for an answer of a VM."""

from __future__ import annotations

import contextlib
import socketserver
import threading

import pytest
from test_http_status import BROKEN_FRAMING, BROKEN_START_LINES, VALID_START_LINES

from bramleycrank.cli.query import post_json
from bramleycrank.exceptions import PeerUnreachable

BODY = b'{"error":{"code":"bad","message":"m","outcome":"not_executed","retry_after_ms":0}}'
HEADERS = b"Content-Length: %d\r\nConnection: close\r\n\r\n" % len(BODY)

RESPONSES = {name: line + b"\r\n" + HEADERS + BODY for name, line in BROKEN_START_LINES.items()} | {
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


@pytest.mark.parametrize(
    "line", [line for line in VALID_START_LINES.values() if b"\r\n" not in line]
)
def test_a_response_with_a_valid_start_line_is_an_answer(line):
    """Guards against checks that refuse the start lines of other servers."""
    with serving(line + b"\r\n" + HEADERS + BODY) as url:
        assert post_json(url, {}, 2.0)["error"]["code"] == "bad"
