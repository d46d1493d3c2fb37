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
    _counter(
        "query.requests.RESULT",
        "requests",
        "Requests that ended: `complete`, `partial`, `cancelled`, `unexpected` or an error name.",
    ),
    _timing("query.latency", "Time from the receipt of a request to its answer or error."),
    _counter("query.refused.ERROR", "requests", "Requests refused by admission, by error name."),
    _gauge("query.in_flight", "requests", "Requests that hold a place in the concurrency limit."),
    _gauge("query.queued", "requests", "Requests that wait in the queues of all classes."),
    _gauge("query.concurrency_limit", "requests", "Current value of the adaptive limit."),
    _counter(
        "query.sub_requests.EVENT",
        "sub-requests",
        "`first`: first attempts sent; `hedges` and `retries`: further attempts sent; `restarts`: "
        "queries that restarted on a newer snapshot; `shed`: replies that refused for load; "
        "`unmatched_replies`: replies and failures that no open sub-request waited for.",
    ),
    _counter("query.late_replies", "sub-requests", "Replies that came after the answer was given."),
    _counter(
        "connections.opened",
        "connections",
        "Connections to targets that opened and were answered on.",
    ),
    _counter(
        "connections.silent",
        "connections",
        "Connections closed as silent: a ping on them had no answer in time.",
    ),
    _counter(
        "connections.target_down",
        "changes",
        "Times that a target was found down, because it answered on no connection.",
    ),
    _counter(
        "entry.answers.STATUS",
        "requests",
        "Forwarded requests that were answered, by HTTP status.",
    ),
    _timing("entry.latency", "Time from the receipt of a forwarded request to its answer."),
    _counter("entry.gone", "requests", "Requests whose caller left before the answer."),
    _counter("entry.sub_requests", "sub-requests", "Sub-requests handed to connections."),
    _counter("entry.holds", "holds", "Times that a target wanted no requests for a while."),
    _counter(
        "entry.sub_failures",
        "sub-requests",
        "Sub-requests that ended without a usable answer.",
    ),
    _counter(
        "entry.connections_opened",
        "connections",
        "Attempts to open a connection to an HTTP target.",
    ),
    _counter(
        "traffic.calls.PURPOSE",
        "calls",
        "Calls to other VMs and sub-requests to targets that this VM started, by purpose, and by "
        "whether the other side is in another failure domain: `probes.near`, `pushes.far` and so "
        "on. `connect` counts new connections to VMs.",
    ),
    _counter(
        "traffic.bytes.PURPOSE",
        "bytes",
        "Bytes of these calls both ways, with an estimate for framing and TCP segments.",
    ),
    _gauge("config.revision", "revision", "Configuration revision in force."),
    _gauge("config.stale", "ms", "Age of the last confirmation by the leader; 0 while current."),
    _gauge("membership.vms", "VMs", "VMs known as alive."),
    _gauge("membership.targets", "targets", "Targets known as usable."),
    _counter("consensus.role_changes", "changes", "Changes of the VM's role in the log."),
    _timing("consensus.propose", "Time from a proposal to its result."),
    _timing("storage.sync", "Time to write and sync records of the log."),
)


def render() -> str:
    """Return the table for ``docs/metrics.md`` in Markdown."""
    rows = (f"| `{m.name}` | {m.kind} | {m.unit} | {m.meaning} |" for m in METRICS)
    return "\n".join(["| name | kind | unit | meaning |", "|---|---|---|---|", *rows])
