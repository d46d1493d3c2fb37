"""Estimates of network delays between callers and this VM."""

from __future__ import annotations

from collections.abc import Collection

import attrs

from bramleycrank.routing import Route

ROUND_TRIP_S = 0.006
"""Round trip to a caller if its connection has no measurement, in seconds."""

TIMEOUT_PERIOD_S = 30.0
"""Length of a period, in seconds; the longest timeout of this and the previous period counts."""

DEFAULT_ANSWER_BYTES = 2000
"""Assumed answer size of a route without any answer so far, in bytes."""

ANSWER_SIZE_WEIGHT = 0.2
"""Weight of a new answer in the moving average of a route's answer sizes."""


@attrs.define
class _LongestTimeout:
    """Longest caller timeout of the current and of the previous period."""

    since: float
    current_s: float = 0.0
    previous_s: float = 0.0

    def add(self, timeout_s: float, now: float) -> float:
        if now - self.since > TIMEOUT_PERIOD_S:
            consecutive = now - self.since <= 2 * TIMEOUT_PERIOD_S
            self.previous_s = self.current_s if consecutive else 0.0
            self.since, self.current_s = now, 0.0
        self.current_s = max(self.current_s, timeout_s)
        return max(self.current_s, self.previous_s)


class DeliveryEstimate:
    """Estimates the time that requests and answers of each route spend on the network.

    Load pattern: objectives of some tens of milliseconds, new connections and links of low
    bandwidth. An answer sent just before the objective by this VM's clock reaches the caller too
    late.

    Parameters
    ----------
    link_bytes_per_s : float
        Bandwidth of this VM's link; 0 if unknown.
    """

    def __init__(self, link_bytes_per_s: float = 0.0) -> None:
        self._link_bytes_per_s = link_bytes_per_s
        self._timeouts: dict[str, _LongestTimeout] = {}
        self._average_bytes: dict[str, float] = {}

    def retain(self, names: Collection[str]) -> None:
        """Remove the state of all routes except the named ones."""
        for by_route in (self._timeouts, self._average_bytes):
            for name in by_route.keys() - set(names):
                del by_route[name]

    def elapsed_before_arrival(self, route: Route, timeout_s: float | None, now: float) -> float:
        """Return how long the caller had waited before it sent the request, in seconds.

        Callers of a route are assumed to have the same timeout. A request with less time left than
        others was preceded by the opening of a connection or by an earlier attempt. Differences
        that exceed the objective are ignored, because such a caller may have a shorter timeout.

        Parameters
        ----------
        route : Route
            The route of the request.
        timeout_s : float or None
            Time that the caller will still wait, in seconds; None if it stated none.
        now : float
            Current time in seconds.
        """
        if timeout_s is None:
            return 0.0
        longest = self._timeouts.setdefault(route.name, _LongestTimeout(now)).add(timeout_s, now)
        elapsed_s = longest - timeout_s
        return elapsed_s if elapsed_s < route.objective_s else 0.0

    def network_time(self, route: Route, round_trip_s: float | None) -> float:
        """Return the network time of a request and its answer, in seconds."""
        network_s = ROUND_TRIP_S if round_trip_s is None else round_trip_s
        if self._link_bytes_per_s:
            network_s += (
                self._average_bytes.get(route.name, DEFAULT_ANSWER_BYTES) / self._link_bytes_per_s
            )
        return network_s

    def on_answer(self, route: Route, size_bytes: int) -> None:
        """Record the size of an answer, in bytes."""
        average = self._average_bytes.get(route.name, size_bytes)
        self._average_bytes[route.name] = average + (size_bytes - average) * ANSWER_SIZE_WEIGHT
