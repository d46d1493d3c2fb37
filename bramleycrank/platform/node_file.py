"""Decodes the settings file of the platform into the settings of a VM."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from bramleycrank.customers.allowances import AllowanceBounds
from bramleycrank.daemon.http_node import HttpNodeConfig
from bramleycrank.daemon.voter_manager import VotingConfig
from bramleycrank.exceptions import InvalidSettings
from bramleycrank.membership import MembershipConfig
from bramleycrank.scatter.budget import RetryBudgetConfig
from bramleycrank.scatter.warmup import WarmupBounds
from bramleycrank.settings import Address, Settings

DOMAIN_PREFIX = "Zones."
"""Prefix of the entries that name the region of each failure domain."""

METRICS_PORT = 9464
"""Metrics port of every VM; must match `deploy/system.toml`."""

LEASE_HEARTBEATS = 4.5
"""Lease of a target in heartbeat intervals; a heartbeat may be seconds late."""

PROBE_PERIOD_S = 0.5
"""Interval between probes, in seconds; probes also carry gossip."""

DRAIN_LIMIT_SHARE = 0.85
"""Part of the grace period after SIGTERM that is available for draining."""

DRAIN_NOTICE_S = 2.3
"""Time for which a VM still accepts requests after SIGTERM, in seconds.

The platform checks readiness once a second, and stops sending requests after two failed checks.
"""


def read_lines(path: Path) -> dict[str, str]:
    """Return the entries of a file of lines ``a.b=value``.

    Raises
    ------
    InvalidSettings
        The file cannot be read, or a line has no "=".
    """
    try:
        lines = path.read_text().splitlines()
    except OSError as exc:
        raise InvalidSettings([f"{path}: {exc}"]) from exc
    entries = [line.partition("=") for line in lines if line.strip()]
    bad = [name for name, equals, _ in entries if not equals]
    if bad:
        raise InvalidSettings([f"{path}: {name!r} has no value" for name in bad])
    return {name.strip(): value.strip() for name, _, value in entries}


def load(path: Path) -> HttpNodeConfig:
    """Read the platform's settings file.

    Raises
    ------
    InvalidSettings
        The file cannot be read, or an entry is missing or malformed.
    """
    entries = read_lines(path)
    try:
        return decode(entries)
    except (KeyError, ValueError) as exc:
        raise InvalidSettings([f"{path}: {exc!r}"]) from exc


def decode(entries: dict[str, str]) -> HttpNodeConfig:
    """Return the configuration for the entries of a settings file."""
    ip = entries["Ip"]
    # All VMs have the same range of internal ports; the first one is used for gRPC, and the second
    # one for requests that other VMs cannot serve.
    first_port, _, last_port = entries["InternalPortRange"].partition(",")
    internal_port = int(first_port)
    has_second_port = int(last_port or first_port) > internal_port
    # The ports of the seeds are for operators and targets; only the hosts are used here.
    seed_hosts = [_host(seed) for seed in entries.get("Seeds", "").split(",") if seed]
    seeds = tuple(f"{host}:{internal_port}" for host in seed_hosts)
    heartbeat_s = int(entries.get("HeartbeatMs") or 1000) / 1000
    grace_s = float(entries.get("Bounds.GraceS") or 6)
    serves_callers = bool(entries.get("BindAddrs.EdgeAddr"))
    membership = MembershipConfig(
        lease_s=LEASE_HEARTBEATS * heartbeat_s,
        renew_s=heartbeat_s,
        probe_period_s=PROBE_PERIOD_S,
        sync_period_s=4.0,
        push_retries=8,
        push_retry_s=0.3,
    )
    base: dict[str, Any] = {
        "vm": {"id": entries["NodeName"], "domain": entries["Zone"], "region": entries["Region"]},
        "listen": {"grpc": f"{ip}:{internal_port}"},
        "peers": {"seeds": list(seeds)},
        "life_cycle": {
            "drain_notice_s": DRAIN_NOTICE_S if serves_callers else 0.0,
            "drain_limit_s": grace_s * DRAIN_LIMIT_SHARE
            - (DRAIN_NOTICE_S if serves_callers else 0.0),
        },
    }
    if entries.get("DataDir"):
        base["storage"] = {"data_dir": entries["DataDir"]}
    return HttpNodeConfig(
        base=Settings.from_dict(base, source="node file"),
        membership=membership,
        entry=_address(entries.get("BindAddrs.EdgeAddr")),
        delegation=Address(ip, internal_port + 1) if serves_callers and has_second_port else None,
        readiness=_address(entries.get("BindAddrs.ReadinessAddr")),
        control=_address(entries.get("BindAddrs.Control")),
        metrics=Address(ip, METRICS_PORT),
        extra=RetryBudgetConfig(
            ratio=float(entries.get("Bounds.RetryBudgetRatio") or 0.1),
            window_s=float(entries.get("Bounds.RetryWindowS") or 10),
            slack=float(entries.get("Bounds.RetrySlack") or 0),
        ),
        link_bytes_per_s=float(entries.get("Limits.LinkMbps") or 0) * 1e6 / 8,
        memory_bytes=int(entries.get("Limits.MemoryMb") or 0) * 1024 * 1024,
        disk_bytes=int(entries.get("Limits.DiskMb") or 0) * 1024 * 1024,
        max_fds=int(entries.get("Limits.MaxFds") or 0),
        warmup=WarmupBounds(
            overage=float(entries.get("Bounds.WarmupOverage") or 1),
            slack=float(entries.get("Bounds.WarmupSlack") or 0),
        ),
        allowances=AllowanceBounds(
            window_s=float(entries.get("Bounds.QuotaWindowS") or 5),
            overage=float(entries.get("Bounds.QuotaOverage") or 0.1),
            slack=float(entries.get("Bounds.QuotaSlack") or 20),
        ),
        regions={
            name.removeprefix(DOMAIN_PREFIX): region
            for name, region in entries.items()
            if name.startswith(DOMAIN_PREFIX)
        },
        order_resend_window_s=float(entries.get("Bounds.AckTimeoutMs") or 6000) / 1000,
        voting=VotingConfig(
            bootstrap=entries.get("Bootstrap") == "true",
            seeds=seeds,
            catch_up_s=float(entries.get("Bounds.CatchUpS") or 4),
        ),
    )


def _host(address: str) -> str:
    return address.strip().rpartition(":")[0]


def _address(value: str | None) -> Address | None:
    if not value:
        return None
    address = Address.parse(value)
    if address is None:
        raise ValueError(f"{value!r} is not a valid address")
    return address
