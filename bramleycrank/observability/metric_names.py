"""Every metric with its kind, unit and meaning; ``docs/metrics.md`` is generated from this list.

A test checks that each name that the code sends is listed here.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class MetricInfo:
    """One metric.

    Parameters
    ----------
    name : str
        Name without the prefix of the settings; a part in capitals varies.
    kind : str
        ``counter``, ``timing`` or ``gauge``.
    unit : str
        Unit of the value.
    meaning : str
        One sentence.
    """

    name: str
    kind: str
    unit: str
    meaning: str


def _counter(name: str, unit: str, meaning: str) -> MetricInfo:
    return MetricInfo(name, "counter", unit, meaning)


def _timing(name: str, meaning: str) -> MetricInfo:
    return MetricInfo(name, "timing", "ms", meaning)


def _gauge(name: str, unit: str, meaning: str) -> MetricInfo:
    return MetricInfo(name, "gauge", unit, meaning)


METRICS: tuple[MetricInfo, ...] = (
    _counter("query.requests", "requests", "Requests received."),
    _counter("query.answers.complete", "answers", "Answers that cover all shards."),
    _counter("query.answers.partial", "answers", "Answers that lack shards."),
    _counter("query.errors.CODE", "answers", "Error answers, by error code."),
    _timing("query.latency", "Time from the receipt of a request to its answer."),
    _gauge("query.in_flight", "requests", "Requests that hold a place in the concurrency limit."),
    _gauge("query.queued", "requests", "Requests that wait in the queues of all classes."),
    _gauge("query.concurrency_limit", "requests", "Current value of the adaptive limit."),
    _counter("query.sub_requests.needed", "sub-requests", "Sub-requests that answers needed."),
    _counter("query.sub_requests.sent", "sub-requests", "Sub-requests sent to targets."),
    _counter("query.sub_requests.hedges", "sub-requests", "Hedges sent."),
    _counter("query.sub_requests.retries", "sub-requests", "Retries sent."),
    _counter("query.restarts", "requests", "Queries that restarted on a newer snapshot."),
    _gauge("config.revision", "revision", "Configuration revision in force."),
    _gauge("config.stale", "ms", "Age of the last confirmation by the leader; 0 while current."),
    _gauge("membership.vms", "VMs", "VMs known as alive."),
    _gauge("membership.targets", "targets", "Targets known as usable."),
    _counter("consensus.role_changes", "changes", "Changes of the VM's role in the log."),
    _timing("consensus.propose", "Time from a proposal to its result."),
    _timing("storage.sync", "Time to write and sync records of the log."),
    _counter("connections.opened", "connections", "Connections opened to targets."),
    _counter("connections.silent", "connections", "Connections closed because they went silent."),
    _counter("connections.target_down", "targets", "Times that a target was found down."),
)


def render() -> str:
    """Return the table for ``docs/metrics.md`` in Markdown."""
    rows = (f"| `{m.name}` | {m.kind} | {m.unit} | {m.meaning} |" for m in METRICS)
    return "\n".join(["| name | kind | unit | meaning |", "|---|---|---|---|", *rows])
