"""Rate-limited log lines about requests."""

from __future__ import annotations

import logging
from collections.abc import Callable

MAX_FAILED_LINES_PER_S = 20.0
"""Maximum lines per second for requests that failed or had a partial answer."""

MAX_SERVED_LINES_PER_S = 2.0
"""Maximum lines per second for complete answers, which serve for comparison."""

BURST_S = 2.0
"""Burst size, as the number of seconds of lines that may be written at once."""


class _LineBudget:
    """Token bucket that counts the lines it rejects."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = rate * BURST_S
        self._refilled_at = now
        self.omitted_lines = 0

    def try_acquire(self, now: float) -> bool:
        self._tokens = min(
            self._rate * BURST_S, self._tokens + (now - self._refilled_at) * self._rate
        )
        self._refilled_at = now
        if self._tokens < 1:
            self.omitted_lines += 1
            return False
        self._tokens -= 1
        return True


class RequestLog:
    """Writes a line for a request, or counts it in the next line that is written.

    Parameters
    ----------
    logger : logging.Logger
        Logger that receives the lines.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, logger: logging.Logger, clock: Callable[[], float]) -> None:
        now = clock()
        self._logger = logger
        self._served_budget = _LineBudget(MAX_SERVED_LINES_PER_S, now)
        self._failed_budget = _LineBudget(MAX_FAILED_LINES_PER_S, now)

    def record(
        self, event: str, request_id: bytes, now: float, *, failed: bool, **fields: object
    ) -> None:
        """Write a line, or omit it if the rate limit is reached.

        Parameters
        ----------
        event : str
            Event that the line describes.
        request_id : bytes
            Identifier of the request.
        now : float
            Current time in seconds.
        failed : bool
            Whether the request failed or had a partial answer.
        **fields : object
            Further keys of the line, such as the inputs of a decision.
        """
        budget = self._failed_budget if failed else self._served_budget
        if not budget.try_acquire(now):
            return
        omitted_lines, budget.omitted_lines = budget.omitted_lines, 0
        self._logger.info(
            "request: %s",
            event,
            extra={
                "request_id": request_id.decode("latin-1"),
                "lines_left_out": omitted_lines,
                **fields,
            },
        )
