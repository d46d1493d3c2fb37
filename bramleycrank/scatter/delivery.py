"""How long a caller has waited when its request arrives, and how long its answer travels."""

from __future__ import annotations

from collections.abc import Collection

import attrs

from bramleycrank.routing import Route

ROUND_TRIP_S = 0.006
"""Round trip to a caller whose connection does not tell it, in seconds."""

FULL_WAIT_MEMORY_S = 30.0
"""Length of a period, in seconds; the longest wait told in this one and the last one counts."""

FIRST_ANSWER_BYTES = 2000
"""Size of the answer of a route that has not been answered yet, in bytes."""

SIZE_WEIGHT = 0.2
"""Weight of one answer in the usual size of a route's answers."""


@attrs.define
class _Longest:
    """Longest wait told in the current and in the previous period."""

    since: float
    current_s: float = 0.0
    previous_s: float = 0.0

    def add(self, wait_s: float, now: float) -> float:
        if now - self.since > FULL_WAIT_MEMORY_S:
            fresh = now - self.since <= 2 * FULL_WAIT_MEMORY_S
            self.previous_s = self.current_s if fresh else 0.0
            self.since, self.current_s = now, 0.0
        self.current_s = max(self.current_s, wait_s)
        return max(self.current_s, self.previous_s)


class DeliveryEstimate:
    """What the answers of each route take on their way besides the work on them.

    Load pattern: objectives of some tens of milliseconds, new connections and thin links. What is
    given at the last moment by this VM's clock reaches the caller too late.

    Parameters
    ----------
    link_bytes_per_s : float
        Bandwidth of this VM's link; 0 if unknown.
    """

    def __init__(self, link_bytes_per_s: float = 0.0) -> None:
        self._link_bytes_per_s = link_bytes_per_s
        self._waits: dict[str, _Longest] = {}
        self._sizes: dict[str, float] = {}

    def retain(self, names: Collection[str]) -> None:
        """Forget the routes that are not among these."""
        for known in (self._waits, self._sizes):
            for name in known.keys() - set(names):
                del known[name]

    def passed(self, route: Route, wait_s: float | None, now: float) -> float:
        """Return the time that had passed for the caller when it sent the request, in seconds.

        The callers of a route wait equally long in all, so that one who waits less than the others
        has opened a connection or tried before. Beyond the objective nothing is concluded from it:
        such a caller may as well be one that waits less.
        """
        if wait_s is None:
            return 0.0
        longest = self._waits.setdefault(route.name, _Longest(now)).add(wait_s, now)
        passed_s = longest - wait_s
        return passed_s if passed_s < route.objective_s else 0.0

    def way(self, route: Route, round_trip_s: float | None) -> float:
        """Return the time that a request and its answer travel, in seconds."""
        way_s = ROUND_TRIP_S if round_trip_s is None else round_trip_s
        if self._link_bytes_per_s:
            way_s += self._sizes.get(route.name, FIRST_ANSWER_BYTES) / self._link_bytes_per_s
        return way_s

    def on_answer(self, route: Route, size: int) -> None:
        """Note the size of an answer, in bytes."""
        known = self._sizes.get(route.name, size)
        self._sizes[route.name] = known + (size - known) * SIZE_WEIGHT
