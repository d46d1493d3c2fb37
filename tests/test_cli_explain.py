"""Tests of the command `explain` and of the log output that it reads."""

from __future__ import annotations

import json
import logging
import os
import time

import pytest

from bramleycrank.cli.main import run
from bramleycrank.observability.logs import NonBlockingHandler
from bramleycrank.observability.request_log import MAX_FAILED_LINES_PER_S, RequestLog


def write_lines(path, *lines):
    path.write_text("\n".join(x if isinstance(x, str) else json.dumps(x) for x in lines) + "\n")
    return str(path)


def log_line(second: int, vm: str, message: str, **fields: object) -> dict:
    return {"time": f"2026-12-04T00:00:{second:02}", "vm": vm, "message": message, **fields}


def test_lines_of_a_request_are_printed_in_order_of_time(tmp_path, capsys):
    first_file = write_lines(
        tmp_path / "one",
        log_line(9, "vm1", "request: merged", request_id="r7", missing=1),
        "no JSON r7",
    )
    second_file = write_lines(
        tmp_path / "two",
        log_line(8, "vm2", "request: sub-request lost", request_id="r7", status=502),
        log_line(8, "vm2", "request: merged", request_id="r8"),
    )
    assert run(["explain", "r7", f"{first_file},{second_file}"]) == 0
    first, second = capsys.readouterr().out.strip().splitlines()
    assert "vm2 request: sub-request lost status=502" in first
    assert "vm1 request: merged missing=1" in second


def test_an_unknown_request_and_a_missing_file_are_errors(tmp_path, capsys):
    first_file = write_lines(
        tmp_path / "one", log_line(1, "vm1", "request: merged", request_id="r7")
    )
    assert run(["explain", "r9", first_file]) == 7
    assert run(["explain", "r7", str(tmp_path / "absent")]) == 2
    assert "NotFound" in capsys.readouterr().err


def test_a_stalled_log_reader_does_not_block_the_process():
    """Guards against a process that blocks on the reader of its standard output."""
    read_fd, write_fd = os.pipe()
    handler = NonBlockingHandler(write_fd)
    record = logging.LogRecord("part", logging.INFO, "", 0, "x" * 200, (), None)
    started = time.monotonic()
    for _ in range(5000):
        handler.emit(record)
    assert time.monotonic() - started < 2.0
    assert handler.dropped > 0
    received = os.read(read_fd, 1 << 20)  # empties the pipe
    handler.emit(record)
    received += os.read(read_fd, 1 << 20)
    assert b"lines were dropped" in received
    assert all(len(item) in (0, 200) or b"dropped" in item for item in received.split(b"\n"))
    os.close(read_fd)
    os.close(write_fd)


@pytest.mark.parametrize("failed", [True, False])
def test_request_lines_are_rate_limited_and_omitted_lines_are_counted(failed):
    """Load pattern: 200 requests/s for 10 s, twice the usual load, all failed or all served."""
    written = []

    class FakeLogger:
        def info(self, message, event, extra):
            written.append(extra)

    clock = [0.0]
    log = RequestLog(FakeLogger(), lambda: clock[0])
    for number in range(2000):
        clock[0] = number / 200
        log.record("timeout", b"r", clock[0], failed=failed)
    assert len(written) <= MAX_FAILED_LINES_PER_S * 12
    assert sum(item["lines_left_out"] for item in written) + len(written) > 1800
