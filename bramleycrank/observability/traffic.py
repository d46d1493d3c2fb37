"""Calls and bytes by purpose, and by whether they cross a domain boundary."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from bramleycrank.observability.metrics import Metrics, NullMetrics

CALL_BYTES = 230
"""Overhead of a call between VMs in bytes: HTTP/2 frames, headers, four TCP segments."""

CONNECT_BYTES = 600
"""Bytes of a new connection between VMs: TCP handshake, HTTP/2 settings, full headers."""

SEGMENT_BYTES = 4 * 40
"""Bytes of IP and TCP headers for a request and its response."""


class Traffic:
    """Counts the calls that this VM makes to other VMs and targets.

    Parameters
    ----------
    metrics : Metrics
        Receiver of the counters.
    """

    def __init__(self, metrics: Metrics | None = None) -> None:
        self.is_remote: Callable[[str], bool] = lambda address: False
        self._metrics = metrics or NullMetrics()
        self._calls: Counter[str] = Counter()
        self._bytes: Counter[str] = Counter()

    def record_call(self, purpose: str, address: str, size: int) -> None:
        """Count a call to another VM with the size of request and response in bytes."""
        self.record(purpose, self.is_remote(address), size + CALL_BYTES)

    def record(self, purpose: str, remote: bool, size: int, *, calls: int = 1) -> None:
        """Count calls and their bytes on the wire.

        Parameters
        ----------
        purpose : str
            Purpose of the call.
        remote : bool
            Whether the other side is in another failure domain.
        size : int
            Bytes in both directions.
        calls : int, optional
            Number of calls; 0 adds bytes to a call that was counted before.
        """
        name = f"{purpose}.{'far' if remote else 'near'}"
        self._calls[name] += calls
        self._bytes[name] += size
        self._metrics.incr(f"traffic.calls.{name}", calls)
        self._metrics.incr(f"traffic.bytes.{name}", size)

    def dump(self) -> dict[str, list[int]]:
        """Return calls and bytes for each purpose, by whether they cross a domain boundary."""
        return {name: [self._calls[name], self._bytes[name]] for name in sorted(self._bytes)}
