"""Metrics, sent to statsd by UDP.

Sending never raises and never blocks: a packet that cannot be sent immediately is dropped.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Protocol

import statsd

from bramleycrank.settings import MetricsSettings

log = logging.getLogger(__name__)


class Metrics(Protocol):
    """Receiver of metrics; `bramleycrank.observability.metric_names` lists their names."""

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        ...

    def timing(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds; it is sent in milliseconds."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...

    def labelled(
        self, name: str, labels: tuple[str, ...], values: Mapping[tuple[str, ...], int]
    ) -> None:
        """Replace all values of a counter that has labels."""
        ...

    def labelled_gauge(
        self, name: str, labels: tuple[str, ...], values: Mapping[tuple[str, ...], float]
    ) -> None:
        """Replace all values of a gauge that has labels."""
        ...

    def close(self) -> None:
        """Release the socket."""
        ...


class NullMetrics:
    """Drops all metrics."""

    def incr(self, name: str, count: int = 1) -> None:
        """Do nothing."""

    def timing(self, name: str, duration_s: float) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""

    def labelled(
        self, name: str, labels: tuple[str, ...], values: Mapping[tuple[str, ...], int]
    ) -> None:
        """Do nothing."""

    def labelled_gauge(
        self, name: str, labels: tuple[str, ...], values: Mapping[tuple[str, ...], float]
    ) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class _NonBlockingClient(statsd.StatsClient):
    """A statsd client with a non-blocking socket; the library drops packets that cannot be sent."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__(host, port, prefix=prefix, ipv6=":" in host)
        self._sock.setblocking(False)


class StatsdMetrics:
    """Sends metrics to a statsd server.

    Parameters
    ----------
    client : statsd.StatsClient
        Client with a non-blocking socket.
    """

    def __init__(self, client: statsd.StatsClient) -> None:
        self._client = client

    @classmethod
    def from_config(cls, cfg: MetricsSettings) -> StatsdMetrics:
        """Create a client with an open socket; the server need not be reachable."""
        return cls(_NonBlockingClient(cfg.statsd.host, cfg.statsd.port, cfg.prefix))

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self._send(self._client.incr, name, count)

    def timing(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds; it is sent in milliseconds."""
        self._send(self._client.timing, name, duration_s * 1000)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._send(self._client.gauge, name, value)

    def labelled(
        self, name: str, labels: tuple[str, ...], values: Mapping[tuple[str, ...], int]
    ) -> None:
        """Do nothing, as statsd has no labels."""

    def labelled_gauge(
        self, name: str, labels: tuple[str, ...], values: Mapping[tuple[str, ...], float]
    ) -> None:
        """Do nothing, as statsd has no labels."""

    def close(self) -> None:
        """Close the socket; later metrics are dropped."""
        self._client.close()

    def _send(self, method, name: str, value: float) -> None:
        try:
            method(name, value)
        except Exception:
            # The library does not catch errors of a closed socket or of unencodable values.
            log.debug("metrics: %s was dropped", name, exc_info=True)


def create(cfg: MetricsSettings | None) -> Metrics:
    """Return the receiver for the section `[metrics]`; without a section it drops all metrics."""
    return NullMetrics() if cfg is None else StatsdMetrics.from_config(cfg)
