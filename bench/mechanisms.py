"""The mechanisms of the product and the constants that disable each of them."""

from __future__ import annotations

import re
from pathlib import Path

import attrs

NEVER_REACHED = "1e9"


@attrs.frozen
class Edit:
    """A change of one constant that disables a mechanism."""

    module: str
    constant: str
    value: str

    def apply(self, root: Path) -> None:
        """Replace the value of the constant in a checkout.

        Raises
        ------
        LookupError
            The module has no such constant.
        """
        path = root / "bramleycrank" / f"{self.module}.py"
        pattern = re.compile(rf"^( *{self.constant}(?:: [^=\n]+)?) = .+$", re.MULTILINE)
        text, count = pattern.subn(rf"\1 = {self.value}", path.read_text(), count=1)
        if not count:
            raise LookupError(f"{self.module} has no constant {self.constant}")
        path.write_text(text)


@attrs.frozen
class Mechanism:
    """A mechanism, the load in which it matters and the edits that disable it."""

    name: str
    load: str
    edits: tuple[Edit, ...] = ()


def _mechanism(name: str, load: str, *edits: tuple[str, str, str]) -> Mechanism:
    return Mechanism(name, load, tuple(Edit(*edit) for edit in edits))


POLICY, EXECUTION, TARGETS = "scatter/policy", "scatter/execution", "query/targets"

MECHANISMS = (
    Mechanism("all", "nothing disabled"),
    _mechanism(
        "hedging",
        "some targets slow or stalled",
        (POLICY, "LATEST_HEDGE_SHARE", NEVER_REACHED),
        (POLICY, "MIN_SAMPLES", "10**9"),
    ),
    _mechanism(
        "latest hedge time",
        "a fifth of the targets slow",
        (POLICY, "LATEST_HEDGE_SHARE", NEVER_REACHED),
    ),
    _mechanism("scarce quantile", "retry budget half used", (POLICY, "SCARCE_QUANTILE", "0.92")),
    _mechanism(
        "age of replies",
        "dozens of VMs share targets, some of them slow for a short time",
        ("query/aged_load", "MIN_VMS_PER_SLOT", NEVER_REACHED),
    ),
    _mechanism(
        "wait for a stream of answers",
        "many shards behind a low-bandwidth link",
        ("scatter/stream", "LATEST_STREAM_SHARE", "0.0"),
    ),
    _mechanism(
        "parts left out at the objective",
        "both replicas of a shard slow",
        (EXECUTION, "DELIVERY_SHARE", "-1e6"),
    ),
    _mechanism(
        "late answers wait for parts",
        "a latency objective missed",
        (EXECUTION, "LATE_FACTOR", "0.0"),
    ),
    _mechanism(
        "refusals are no attempts",
        "half of the targets shed",
        ("scatter/progress", "MAX_REFUSED", "0"),
    ),
    _mechanism("ejection", "a target that fails", (TARGETS, "FAILURES_TO_EJECT", "10**9")),
    _mechanism(
        "rarer trials of slow targets",
        "a fifth of the targets slow for seconds",
        (TARGETS, "MIN_REPROBE_DELAY_S, MAX_REPROBE_DELAY_S", "1.0, 1.0"),
    ),
    _mechanism(
        "share of failures",
        "a target fails some sub-requests",
        (TARGETS, "FAILURE_COST_FACTOR", "0.0"),
    ),
    _mechanism(
        "time lost by failures, near and far",
        "a target fails some sub-requests",
        (TARGETS, "FAILURE_DELAY_FACTOR", "0.0"),
    ),
    _mechanism(
        "refusals for load, near and far", "targets shed", (TARGETS, "SHED_DELAY_FACTOR", "0.0")
    ),
    _mechanism(
        "bounded rise of latency",
        "occasional stalls",
        (TARGETS, "MAX_LATENCY_RISE_FACTOR", NEVER_REACHED),
    ),
    _mechanism("limits follow refusals", "targets shed", (TARGETS, "_SHED_FACTOR", "1.0")),
    _mechanism("limits follow queues", "demand above capacity", (TARGETS, "_QUEUED_FACTOR", "1.0")),
    _mechanism(
        "own domain first",
        "replicas in several domains",
        ("query/replicas", "LOCAL_PREFERENCE_FACTOR", "1.0"),
    ),
    _mechanism(
        "slow local target passed over",
        "a replica slow",
        ("query/replicas", "LOCAL_PREFERENCE_FACTOR", NEVER_REACHED),
    ),
    _mechanism("overtaken requests finish", "hedges", ("connections/http_pool", "LINGER_S", "0.0")),
    _mechanism(
        "silent targets tried by a connection",
        "a domain partitioned",
        ("connections/http_pool", "TARGET_SILENCE_S", NEVER_REACHED),
    ),
    _mechanism("spread returns", "a fault ends", ("scatter/retry_after", "JITTER_SHARE", "0.0")),
    _mechanism(
        "elections soon after a restart",
        "all voters lose power",
        ("consensus/types", "restart_window_s", "0.0"),
    ),
    _mechanism(
        "reports wait for the join",
        "all VMs start together",
        ("daemon/target_calls", "JOIN_WAIT_S", "0.0"),
    ),
    _mechanism(
        "new targets pushed",
        "all targets report again",
        ("membership/target_registry", "NEW_TARGETS_FANOUT", "0"),
    ),
    _mechanism(
        "not ready while cut off",
        "a domain partitioned",
        ("daemon/domain_isolation", "ISOLATION_SILENCE_S", NEVER_REACHED),
    ),
)
"""All mechanisms; the first entry disables nothing and is the reference for the others."""
