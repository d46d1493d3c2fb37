"""Shared timer for all deadlines of the query path."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import logging
from collections.abc import Callable
from typing import Protocol

log = logging.getLogger(__name__)


class Timed(Protocol):
    """An object with a next deadline at which it must run."""

    def next_deadline(self) -> float | None:
        """Return the time of the next run; None if no run is needed."""

    def on_deadline(self, now: float) -> None:
        """Handle the deadline."""


class SharedTimer:
    """Runs many `Timed` objects with a single timer of the event loop.

    An object whose deadline moved later stays in the heap at the old time and is rescheduled when
    that time has come, so that replies don't need to update the timer.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Timed]] = []
        self._sequence = itertools.count()
        self._scheduled: dict[Timed, float] = {}
        self._handle: asyncio.TimerHandle | None = None
        self._timer_due = 0.0

    def update(self, item: Timed) -> None:
        """Schedule the item if its next deadline is earlier than scheduled."""
        due = item.next_deadline()
        if due is None or due >= self._scheduled.get(item, float("inf")):
            return
        self._scheduled[item] = due
        heapq.heappush(self._heap, (due, next(self._sequence), item))
        self._set_timer()

    def _set_timer(self) -> None:
        if not self._heap:
            return
        due = self._heap[0][0]
        if self._handle is not None:
            if self._timer_due <= due:
                return
            self._handle.cancel()
        self._timer_due = due
        delay = max(0.0, due - self._clock())
        self._handle = asyncio.get_running_loop().call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._handle = None
        now = self._clock()
        due_items = []
        while self._heap and self._heap[0][0] <= now:
            due, _, item = heapq.heappop(self._heap)
            if self._scheduled.get(item) == due:
                del self._scheduled[item]
                due_items.append(item)
        for item in due_items:
            self._run(item, now)
        self._set_timer()

    def _run(self, item: Timed, now: float) -> None:
        due = item.next_deadline()
        if due is not None and due <= now:
            try:
                item.on_deadline(now)
            except Exception:
                log.exception("query: a timer callback failed")
                due = item.next_deadline()
                if due is not None and due <= now:
                    return  # a failing item that stays due would be run in an endless loop
        self.update(item)

    def close(self) -> None:
        """Stop the timer and remove all items."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        self._heap.clear()
        self._scheduled.clear()
