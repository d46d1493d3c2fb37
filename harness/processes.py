"""Child processes, free ports and bounded waits."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import subprocess
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from bramleycrank.exceptions import BramleycrankError

HOST = "127.0.0.1"

# Longest wait for a condition on a busy machine, in seconds.
WAIT_LIMIT_S = 15.0


_given_ports: set[int] = set()


def free_port() -> int:
    """Return a free port below the range that the kernel hands out for connections.

    A port is given only once: it stays free until its daemon listens, and with 36 daemons the
    same number was drawn twice in one of 30 fleets.
    """
    while True:
        port = random.SystemRandom().randrange(10_000, 30_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            if port not in _given_ports:
                _given_ports.add(port)
                return port


async def until(
    condition: Callable[[], Any], what: str, timeout_s: float = WAIT_LIMIT_S, pause_s: float = 0.03
) -> Any:
    """Return the first true value of a condition, which may be a coroutine function.

    A `BramleycrankError` or `OSError` counts as not yet true and appears in the failure.
    """
    deadline = time.monotonic() + timeout_s
    last: object = None
    while time.monotonic() < deadline:
        try:
            value = condition()
            last = await value if isinstance(value, Awaitable) else value
            if last:
                return last
        except (BramleycrankError, OSError) as exc:
            last = exc
        await asyncio.sleep(pause_s)
    raise AssertionError(f"not within {timeout_s} s: {what}; last: {last!r}")


class Process:
    """A child process with its output in a file."""

    def __init__(
        self,
        command: list[str],
        log: Path,
        env: dict[str, str] | None = None,
        output: Path | None = None,
    ) -> None:
        self._log = log
        with contextlib.ExitStack() as files:
            stdout = files.enter_context(output.open("ab")) if output else subprocess.PIPE
            self._popen = subprocess.Popen(
                command,
                stdout=stdout,
                stderr=files.enter_context(log.open("ab")),
                env={**os.environ, **(env or {})},
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    def read_line(self) -> bytes:
        """Return one line of standard output."""
        return self._popen.stdout.readline()

    @property
    def exit_code(self) -> int | None:
        """Exit code, or None while the process runs."""
        return self._popen.poll()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self._popen.poll() is None:
            os.kill(self._popen.pid, number)

    def reap(self) -> None:
        """End the process at once and collect it."""
        self.signal(signal.SIGKILL)
        self._popen.wait(10)
        if self._popen.stdout is not None:
            self._popen.stdout.close()

    def log_tail(self, lines: int = 15) -> str:
        """Return the end of the log."""
        return "\n".join(self._log.read_text(errors="replace").splitlines()[-lines:])
