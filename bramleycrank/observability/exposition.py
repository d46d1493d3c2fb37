"""Metrics kept in memory and exposed in the Prometheus text format."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

_Family = CounterMetricFamily | GaugeMetricFamily

LATENCY_BUCKETS_S = (
    *(0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15),
    *(0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0),
)
"""Upper bounds of the histogram buckets in seconds, dense around the latency objectives in use."""

_INVALID_NAME_CHARS = re.compile(r"[^a-zA-Z0-9_]")


class ExposedMetrics:
    """Counters, gauges and latency histograms in a separate registry.

    Parameters
    ----------
    prefix : str
        First part of the metric names.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._registry = CollectorRegistry(auto_describe=False)
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, Histogram] = {}
        self._gauges: dict[str, Gauge] = {}
        self._labelled: dict[str, _Family] = {}
        self._registry.register(self)

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(self._name(name), name, registry=self._registry)
            self._counters[name] = counter
        counter.inc(count)

    def timing(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                f"{self._name(name)}_seconds",
                name,
                registry=self._registry,
                buckets=LATENCY_BUCKETS_S,
            )
            self._histograms[name] = histogram
        histogram.observe(duration_s)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(self._name(name), name, registry=self._registry)
            self._gauges[name] = gauge
        gauge.set(value)

    def labelled(
        self, name: str, labels: tuple[str, ...], values: Mapping[tuple[str, ...], int]
    ) -> None:
        """Replace all values of a counter that has labels."""
        self._replace(CounterMetricFamily(self._name(name), name, labels=labels), name, values)

    def labelled_gauge(
        self, name: str, labels: tuple[str, ...], values: Mapping[tuple[str, ...], float]
    ) -> None:
        """Replace all values of a gauge that has labels."""
        self._replace(GaugeMetricFamily(self._name(name), name, labels=labels), name, values)

    def _replace(self, family: _Family, name: str, values: Mapping[tuple[str, ...], float]) -> None:
        for key, value in values.items():
            family.add_metric(key, value)
        self._labelled[name] = family

    def collect(self) -> Iterator[_Family]:
        """Yield the metrics that have labels, for the registry."""
        yield from self._labelled.values()

    def close(self) -> None:
        """Do nothing, as there is no socket to close."""

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _name(self, name: str) -> str:
        return f"{self._prefix}_{_INVALID_NAME_CHARS.sub('_', name)}"
