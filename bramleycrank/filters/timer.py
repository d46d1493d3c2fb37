"""One timer for everything that has a deadline in the query path."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import logging
from collections.abc import Callable
from typing import Protocol

log = logging.getLogger(__name__)


class Timed(Protocol):
    """Something that wants to run at a time of its own."""

    def next_deadline(self) -> float | None:
        """Return the time of the next run; None for none."""

    def on_time(self, now: float) -> None:
        """Run what is due."""


class SharedTimer:
    """Runs many `Timed` objects with one timer of the loop.

    An object whose deadline moved later stays in the heap at the old time and is put back when
    that time comes, so replies never touch the timer.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Timed]] = []
        self._order = itertools.count()
        self._scheduled: dict[Timed, float] = {}
        self._handle: asyncio.TimerHandle | None = None
        self._armed_for = 0.0

    def update(self, item: Timed) -> None:
        """Take the item's next deadline into account."""
        due = item.next_deadline()
        if due is None or due >= self._scheduled.get(item, float("inf")):
            return
        self._scheduled[item] = due
        heapq.heappush(self._heap, (due, next(self._order), item))
        self._arm()

    def _arm(self) -> None:
        if not self._heap:
            return
        due = self._heap[0][0]
        if self._handle is not None:
            if self._armed_for <= due:
                return
            self._handle.cancel()
        self._armed_for = due
        delay = max(0.0, due - self._clock())
        self._handle = asyncio.get_running_loop().call_later(delay, self._fire)

    def _fire(self) -> None:
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
        self._arm()

    def _run(self, item: Timed, now: float) -> None:
        due = item.next_deadline()
        if due is not None and due <= now:
            try:
                item.on_time(now)
            except Exception:
                log.exception("query: a timed item failed")
                due = item.next_deadline()
                if due is not None and due <= now:
                    return  # it would fail again at once, for ever
        self.update(item)

    def close(self) -> None:
        """Stop the timer and forget all items."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        self._heap.clear()
        self._scheduled.clear()
