"""Tests of logs and metrics."""

import ast
import io
import json
import logging
import re
import socket
from pathlib import Path

import pytest

import bramleycrank
from bramleycrank.observability import logs, metrics
from bramleycrank.observability.metric_names import METRICS
from bramleycrank.settings import Address, LoggingSettings, MetricsSettings

METHOD_KINDS = {
    "incr": "counter",
    "labelled": "counter",
    "labelled_gauge": "gauge",
    "timing": "timing",
    "gauge": "gauge",
}
SOURCES = sorted(Path(bramleycrank.__file__).parent.rglob("*.py"))


@pytest.fixture
def server():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(5)
        yield sock


def create_client(server):
    host, port = server.getsockname()
    return metrics.create(MetricsSettings(statsd=Address(host, port), prefix="p"))


def test_values_are_sent_in_the_units_of_statsd(server):
    """Guards against seconds where statsd expects milliseconds."""
    client = create_client(server)
    client.incr("a", 3)
    client.timing("b", 0.25)
    client.gauge("c", 7)
    assert [server.recv(100) for _ in range(3)] == [b"p.a:3|c", b"p.b:250.000000|ms", b"p.c:7|g"]


def test_sending_never_raises(server):
    """Guards against a query that fails because a metric cannot be sent."""
    client = create_client(server)
    client.incr("name\udcff")
    client.close()
    client.incr("a")
    metrics.create(None).gauge("a", 1)
    metrics.create(MetricsSettings(statsd=Address("127.0.0.1", 9))).timing("a", 1)


def test_the_socket_does_not_block(server):
    """Guards against an event loop that blocks on a full send buffer of the metrics socket."""
    client = create_client(server)
    assert client._client._sock.getblocking() is False


def sent_names():
    """Yield method and metric name of each call in the code; placeholders become VARIES."""
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            owner = ast.unparse(node.func.value)
            if node.func.attr not in METHOD_KINDS or "metrics" not in owner:
                continue
            name = node.args[0]
            if isinstance(name, ast.Constant):
                yield node.func.attr, name.value
            elif isinstance(name, ast.JoinedStr):
                parts = (p.value if isinstance(p, ast.Constant) else "VARIES" for p in name.values)
                yield node.func.attr, "".join(parts)
            else:
                raise AssertionError(f"{path}: {ast.unparse(node)}: the name must be a literal")


def test_sent_metrics_are_those_listed():
    """Guards against an undocumented metric, and a documented one that is never sent."""
    sent = {(METHOD_KINDS[method], name) for method, name in sent_names()}
    listed = {(m.kind, re.sub(r"[A-Z]{2,}", "VARIES", m.name)) for m in METRICS}
    assert sent == listed


def test_log_lines_are_json_with_the_name_of_the_vm(monkeypatch):
    """Guards against lines that a log collector cannot parse."""
    root = logging.getLogger()
    monkeypatch.setattr(root, "handlers", [])
    previous_level = root.level
    stream = io.StringIO()
    try:
        logs.configure(LoggingSettings(level="warning"), "vm7", stream)
        logging.getLogger("part").info("part: not written")
        logging.getLogger("part").warning("part: %d lost", 3)
        assert logging.getLogger("hpack").level == logging.WARNING
    finally:
        root.setLevel(previous_level)
    record = json.loads(stream.getvalue())
    assert record.pop("time").endswith("+00:00")
    assert record == {
        "level": "WARNING",
        "logger": "part",
        "message": "part: 3 lost",
        "vm": "vm7",
    }
