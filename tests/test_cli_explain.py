"""The story of a request from log files."""

from __future__ import annotations

import json
import logging
import os
import time

import pytest

from bramleycrank.cli.main import run
from bramleycrank.observability.logs import NonBlockingHandler
from bramleycrank.observability.request_log import FAILED_PER_S, RequestLog


def write(path, *lines):
    path.write_text("\n".join(x if isinstance(x, str) else json.dumps(x) for x in lines) + "\n")
    return str(path)


def line(second: int, vm: str, message: str, **fields: object) -> dict:
    return {"time": f"2026-12-04T00:00:{second:02}", "vm": vm, "message": message, **fields}


def test_the_lines_of_a_request_are_told_in_order_of_time(tmp_path, capsys):
    one = write(
        tmp_path / "one",
        line(9, "vm1", "request: merged", request_id="r7", missing=1),
        "no JSON r7",
    )
    two = write(
        tmp_path / "two",
        line(8, "vm2", "request: sub-request lost", request_id="r7", status=502),
        line(8, "vm2", "request: merged", request_id="r8"),
    )
    assert run(["explain", "r7", f"{one},{two}"]) == 0
    first, second = capsys.readouterr().out.strip().splitlines()
    assert "vm2 request: sub-request lost status=502" in first
    assert "vm1 request: merged missing=1" in second


def test_an_unknown_request_and_a_missing_file_are_errors(tmp_path, capsys):
    one = write(tmp_path / "one", line(1, "vm1", "request: merged", request_id="r7"))
    assert run(["explain", "r9", one]) == 7
    assert run(["explain", "r7", str(tmp_path / "absent")]) == 2
    assert "NotFound" in capsys.readouterr().err


def test_a_reader_that_does_not_read_holds_nothing_up():
    """Guards against a process that waits for the reader of its standard output."""
    reading, writing = os.pipe()
    handler = NonBlockingHandler(writing)
    record = logging.LogRecord("part", logging.INFO, "", 0, "x" * 200, (), None)
    started = time.monotonic()
    for _ in range(5000):
        handler.emit(record)
    assert time.monotonic() - started < 2.0
    assert handler.dropped > 0
    received = os.read(reading, 1 << 20)  # all that the pipe holds
    handler.emit(record)
    received += os.read(reading, 1 << 20)
    assert b"lines were dropped" in received
    assert all(len(item) in (0, 200) or b"dropped" in item for item in received.split(b"\n"))
    os.close(reading)
    os.close(writing)


@pytest.mark.parametrize("failed", [True, False])
def test_lines_of_requests_are_bounded_and_those_left_out_are_counted(failed):
    """Load pattern: twice the usual load, all of it failing."""
    written = []

    class Logger:
        def info(self, message, what, extra):
            written.append(extra)

    clock = [0.0]
    log = RequestLog(Logger(), lambda: clock[0])
    for number in range(2000):
        clock[0] = number / 200
        log.note("timeout", b"r", clock[0], failed=failed)
    assert len(written) <= FAILED_PER_S * 12
    assert sum(item["lines_left_out"] for item in written) + len(written) > 1800
