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
        Name without the configured prefix; a part in capitals is a placeholder.
    kind : str
        ``counter``, ``timing`` or ``gauge``.
    unit : str
        Unit of the value.
    meaning : str
        One-sentence description.
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
    _gauge("query.in_flight", "requests", "Requests that count towards the concurrency limit."),
    _gauge("query.queued", "requests", "Requests in the queues of all priority classes."),
    _gauge(
        "query.concurrency_limit", "requests", "Current value of the adaptive concurrency limit."
    ),
    _counter(
        "query.sub_requests.EVENT",
        "sub-requests",
        "`first`: first attempts sent; `hedges` and `retries`: further attempts sent; `restarts`: "
        "queries that restarted on a newer snapshot; `shed`: sub-requests that targets shed; "
        "`unmatched_replies`: replies and failures without an open sub-request.",
    ),
    _counter(
        "query.late_replies", "sub-requests", "Replies that arrived after the answer was sent."
    ),
    _counter(
        "connections.opened",
        "connections",
        "Connections to targets that opened and received a first message.",
    ),
    _counter(
        "connections.silent",
        "connections",
        "Connections closed as silent because a ping was not answered in time.",
    ),
    _counter(
        "connections.target_down",
        "changes",
        "Times that a target was marked down because it responded on no connection.",
    ),
    _counter(
        "entry.answers.STATUS",
        "requests",
        "Forwarded requests that were answered, by HTTP status.",
    ),
    _counter(
        "entry.refused_early.RULE",
        "requests",
        "Requests refused while they waited for room, or instead of waiting: `deadline` or "
        "`objective` could not be met.",
    ),
    _counter(
        "entry.customers",
        "requests",
        "Requests of customers that ended at this VM, by the labels `customer` and `result`: "
        "`served`, `failed` (an error, or no usable reply), `gone` (the caller disconnected) or "
        "the rule by which it was refused, see `operator/customers.md`. The 20 customers with the "
        "most requests, refused ones included, are named; `(others)` has the sum over the rest.",
    ),
    _timing("entry.latency", "Time from the receipt of a forwarded request to its answer."),
    _counter("entry.gone", "requests", "Requests whose caller disconnected before the answer."),
    _counter("entry.sub_requests", "sub-requests", "Sub-requests passed to the connection pool."),
    _gauge(
        "entry.services_unreached",
        "services",
        "Services with known targets, none of which this VM can reach.",
    ),
    _gauge("http.memory", "bytes", "Memory of all HTTP messages of a VM, see `design/memory.md`."),
    _gauge("entry.cut_off", "1", "1 while this VM reaches no target, otherwise 0."),
    _counter(
        "entry.delegations.EVENT",
        "requests",
        "Requests that one VM serves for another. Of this VM's callers: `sent` to another VM, "
        "`answered` by it, `returned` before it started them, `lost` there, `withdrawn` from a VM "
        "that did not respond (`silent` counts these VMs). Of other VMs: `served` and `refused` "
        "before the start.",
    ),
    _counter(
        "entry.allowances.EVENT",
        "requests",
        "Requests of customers with an allowance: `waited` for a grant, `refused` beyond the "
        "allowance, `no_issuer`: refused because no issuer was reached, none replied in time, or a "
        "new one does not grant the whole allowance yet. "
        "`without_issuer`: calls that a leader of an older build did not know.",
    ),
    _counter("entry.holds", "holds", "Times that a target was held back at its own request."),
    _counter(
        "entry.crashes", "crashes", "Times that targets ended while they ran an unanswered request."
    ),
    _counter(
        "entry.rate_limits", "changes", "Changes of the rates that targets tolerate from all VMs."
    ),
    _counter(
        "entry.sub_failures",
        "sub-requests",
        "Sub-requests that ended without a usable reply.",
    ),
    _counter(
        "entry.connections_opened",
        "connections",
        "Attempts to open a connection to an HTTP target.",
    ),
    _counter(
        "traffic.calls.PURPOSE",
        "calls",
        "Calls to other VMs and sub-requests to targets that this VM sent, by purpose and by "
        "whether the other side is in another failure domain, such as `probes.near` and "
        "`pushes.far`. `connect` counts new connections to VMs.",
    ),
    _counter(
        "traffic.bytes.PURPOSE",
        "bytes",
        "Bytes of these calls in both directions, with an estimate for framing and TCP segments.",
    ),
    _gauge("config.revision", "revision", "Configuration revision in force."),
    _gauge("config.stale", "ms", "Age of the last confirmation by the leader; 0 while current."),
    _gauge("membership.vms", "VMs", "VMs in the state alive."),
    _gauge("membership.targets", "targets", "Known targets that are usable."),
    _counter(
        "targets.first_reports",
        "reports",
        "Reports of targets of which this VM knew nothing, as after its start.",
    ),
    _counter(
        "targets.outdated_reports",
        "reports",
        "Reports of an old incarnation of a target, or of one that has left.",
    ),
    _counter("targets.leaves", "leaves", "Leaves that targets reported to this VM."),
    _counter("targets.leaves_committed", "leaves", "Those that this VM committed for a target."),
    _counter("targets.leaves_repeated", "leaves", "Those that had been committed before."),
    _counter(
        "targets.leaves_uncommitted",
        "leaves",
        "Those that were not committed in time, so that they were not acknowledged.",
    ),
    _counter("consensus.role_changes", "changes", "Changes of the VM's role in the log."),
    _gauge("consensus.voters", "voters", "Voters of the log, on the leader."),
    _gauge("consensus.voters_silent", "voters", "Voters that do not respond to the leader."),
    _gauge("consensus.log_memory", "bytes", "Log entries in the memory of a voter."),
    _gauge(
        "consensus.queued",
        "bytes",
        "Messages of the log that wait to be sent, by the label `member`.",
    ),
    _gauge(
        "consensus.in_flight",
        "bytes",
        "Messages of the log whose calls are in progress, by the label `member`.",
    ),
    _counter("consensus.snapshots_sent", "snapshots", "Snapshots sent to members of the log."),
    _gauge("storage.log", "bytes", "Size of the log file."),
    _timing("consensus.propose", "Time from a proposal to its result."),
    _timing("storage.sync", "Time to write and sync records of the log."),
)


def render() -> str:
    """Return the table for ``docs/metrics.md`` in Markdown."""
    rows = (f"| `{m.name}` | {m.kind} | {m.unit} | {m.meaning} |" for m in METRICS)
    return "\n".join(["| name | kind | unit | meaning |", "|---|---|---|---|", *rows])
