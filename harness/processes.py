"""Provides child processes, free ports and waits with a time limit."""

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

# Long enough for a heavily loaded machine.
WAIT_LIMIT_S = 15.0


_issued_ports: set[int] = set()


def free_port() -> int:
    """Return a free port below the range of the kernel's ephemeral ports.

    No port is returned twice: it stays free until its daemon listens, and fleets of 36 daemons
    had a duplicate port in one of 30 runs.
    """
    while True:
        port = random.SystemRandom().randrange(10_000, 30_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            if port not in _issued_ports:
                _issued_ports.add(port)
                return port


async def wait_until(
    condition: Callable[[], Any],
    description: str,
    timeout_s: float = WAIT_LIMIT_S,
    poll_interval_s: float = 0.03,
) -> Any:
    """Poll a condition, which may be a coroutine function, and return its first true value.

    A `BramleycrankError` or `OSError` counts as not yet true and appears in the failure message.

    Raises
    ------
    AssertionError
        The condition did not become true within the time limit.
    """
    deadline = time.monotonic() + timeout_s
    last_result: object = None
    while time.monotonic() < deadline:
        try:
            value = condition()
            last_result = await value if isinstance(value, Awaitable) else value
            if last_result:
                return last_result
        except (BramleycrankError, OSError) as exc:
            last_result = exc
        await asyncio.sleep(poll_interval_s)
    raise AssertionError(
        f"timed out after {timeout_s} s: {description}; last result: {last_result!r}"
    )


class Process:
    """A child process whose standard error, and optionally output, goes to a file."""

    def __init__(
        self,
        command: list[str],
        log: Path,
        env: dict[str, str] | None = None,
        output: Path | None = None,
        folder: Path | None = None,
    ) -> None:
        self._log = log
        with contextlib.ExitStack() as files:
            stdout = files.enter_context(output.open("ab")) if output else subprocess.PIPE
            self._popen = subprocess.Popen(
                command,
                stdout=stdout,
                stderr=files.enter_context(log.open("ab")),
                env={**os.environ, **(env or {})},
                cwd=folder,
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    def read_line(self) -> bytes:
        """Read one line of standard output; this blocks."""
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
        """Kill the process, wait for its end and close its output."""
        self.signal(signal.SIGKILL)
        self._popen.wait(10)
        if self._popen.stdout is not None:
            self._popen.stdout.close()

    def log_tail(self, lines: int = 15) -> str:
        """Return the last lines of standard error."""
        return "\n".join(self._log.read_text(errors="replace").splitlines()[-lines:])
