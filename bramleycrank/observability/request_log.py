"""One log line for each request, within a bounded rate."""

from __future__ import annotations

import logging
from collections.abc import Callable

FAILED_PER_S = 20.0
"""Lines a second for requests that failed or were answered in part."""

SERVED_PER_S = 2.0
"""Lines a second for requests that were answered as usual; they serve for comparison."""

BURST_S = 2.0
"""Lines of so many seconds may be written at once."""


class _Allowance:
    """Token bucket that counts what it leaves out."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = rate * BURST_S
        self._at = now
        self.left_out = 0

    def take(self, now: float) -> bool:
        self._tokens = min(self._rate * BURST_S, self._tokens + (now - self._at) * self._rate)
        self._at = now
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True


class RequestLog:
    """Writes a line for a request, or counts it with the next line that is written.

    Parameters
    ----------
    logger : logging.Logger
        Where the lines go.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, logger: logging.Logger, clock: Callable[[], float]) -> None:
        now = clock()
        self._logger = logger
        self._served = _Allowance(SERVED_PER_S, now)
        self._failed = _Allowance(FAILED_PER_S, now)

    def note(
        self, what: str, request_id: bytes, now: float, *, failed: bool, **fields: object
    ) -> None:
        """Write a line, or leave it out.

        Parameters
        ----------
        what : str
            What happened.
        request_id : bytes
            Identifier of the request.
        now : float
            Current time in seconds.
        failed : bool
            Whether the line explains a failure.
        **fields : object
            The inputs of the decision.
        """
        allowance = self._failed if failed else self._served
        if not allowance.take(now):
            return
        left_out, allowance.left_out = allowance.left_out, 0
        self._logger.info(
            "request: %s",
            what,
            extra={
                "request_id": request_id.decode("latin-1"),
                "lines_left_out": left_out,
                **fields,
            },
        )
