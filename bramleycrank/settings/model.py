"""The settings of the daemon, one attrs class for each section."""

# `option` and `section` return attrs fields, which the linter cannot see.
# ruff: noqa: RUF009

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs

from bramleycrank.settings import loader
from bramleycrank.settings.address import Address
from bramleycrank.settings.options import (
    Choice,
    Flag,
    Folder,
    HostPort,
    Integer,
    ListOf,
    Name,
    Number,
    option,
    section,
)


@attrs.frozen(kw_only=True)
class VmSettings:
    """Identity and location of the VM."""

    id: str = option(Name(), meaning="Name of the VM, unique in the system.")
    domain: str = option(Name(), meaning="Failure domain of the VM.")
    region: str = option(Name(empty_allowed=True), default="", meaning="Region of the VM.")


@attrs.frozen(kw_only=True)
class ListenSettings:
    """Addresses that the daemon listens on."""

    http: Address = option(
        HostPort(),
        default=Address("127.0.0.1", 8080),
        meaning="Address for callers and the load balancer.",
    )
    grpc: Address = option(
        HostPort(),
        default=Address("127.0.0.1", 7070),
        meaning="Address for other VMs, targets and operators; it is sent to other VMs unchanged.",
    )


@attrs.frozen(kw_only=True)
class PeersSettings:
    """VMs that a starting VM contacts first."""

    seeds: tuple[Address, ...] = option(
        ListOf(HostPort(), maximum=1000),
        default=(),
        meaning="gRPC addresses of other VMs; the VM's own address is ignored.",
    )


@attrs.frozen(kw_only=True)
class StorageSettings:
    """Data folder; a VM without this section keeps nothing on disk."""

    data_dir: Path = option(Folder(), meaning="Folder for the log, snapshots and configuration.")
    vote: bool = option(
        Flag(),
        default=True,
        meaning="Whether the VM may vote on the replicated log; otherwise the folder only keeps "
        "the configuration in force.",
    )


@attrs.frozen(kw_only=True)
class QuerySettings:
    """Admission, replica choice, hedging and retries."""

    policy: str = option(
        Choice(("adaptive", "plain")),
        default="adaptive",
        meaning="`plain` is the baseline for measurements: random replica, no hedging, no limits.",
    )
    queue_limit: int = option(
        Integer(1, 100_000),
        default=256,
        unit="requests",
        meaning="Longest queue of each priority class.",
    )
    initial_concurrency: int = option(
        Integer(1, 100_000),
        default=32,
        unit="requests",
        meaning="Initial value of the adaptive limit on requests in flight.",
    )
    max_concurrency: int = option(
        Integer(1, 100_000),
        default=1024,
        unit="requests",
        meaning="Maximum of the adaptive limit.",
    )
    hedge_quantile: float = option(
        Number(0.5, 0.999),
        default=0.96,
        unit="share",
        meaning="Quantile of the sub-request latency after which a sub-request is hedged.",
    )
    hedge_budget: float = option(
        Number(0, 1),
        default=0.04,
        unit="share",
        meaning="Hedges allowed per sub-request; 0 turns hedging off.",
    )
    retry_budget: float = option(
        Number(0, 1),
        default=0.1,
        unit="share",
        meaning="Retries allowed per sub-request; 0 turns retries off.",
    )
    warmup_s: float = option(
        Number(0, 3600),
        default=10.0,
        unit="s",
        meaning="Time in which the load share of a new target grows to its full size.",
    )


@attrs.frozen(kw_only=True)
class MembershipSettings:
    """Gossip between VMs and leases of targets."""

    probe_period_s: float = option(
        Number(0.05, 60), default=1.0, unit="s", meaning="Time between two probes of a VM."
    )
    lease_s: float = option(
        Number(0.2, 600),
        default=6.0,
        unit="s",
        meaning="Time without a renewal after which a target is marked as expired.",
    )
    renew_s: float = option(
        Number(0.1, 300), default=2.0, unit="s", meaning="Time between two renewals of a target."
    )
    sync_period_s: float = option(
        Number(0.1, 600),
        default=10.0,
        unit="s",
        meaning="Time between two full anti-entropy exchanges with a random VM.",
    )


@attrs.frozen(kw_only=True)
class ConfigSettings:
    """Freshness of the replicated configuration."""

    lease_s: float = option(
        Number(0.5, 600),
        default=6.0,
        unit="s",
        meaning="Time after the leader's last confirmation in which the VM counts as current.",
    )
    start_wait_s: float = option(
        Number(0, 600),
        default=10.0,
        unit="s",
        meaning="Longest wait of a starting VM for a revision confirmed by a leader.",
    )


@attrs.frozen(kw_only=True)
class ConnectionsSettings:
    """Detection of silent connections, and reconnects."""

    silence_min_s: float = option(
        Number(0.01, 60),
        default=0.25,
        unit="s",
        meaning="Shortest silence with requests in flight after which a connection is checked.",
    )
    idle_ping_s: float = option(
        Number(0.1, 600), default=5.0, unit="s", meaning="Time between pings of an idle connection."
    )
    reconnects_per_s: float = option(
        Number(0.1, 10_000),
        default=10.0,
        unit="connections/s",
        meaning="Maximum rate at which the VM reopens connections.",
    )
    reconnect_burst: int = option(
        Integer(1, 100_000),
        default=20,
        unit="connections",
        meaning="Connections that the VM may reopen at once.",
    )


@attrs.frozen(kw_only=True)
class LifeCycleSettings:
    """Graceful shutdown."""

    drain_notice_s: float = option(
        Number(0, 600),
        default=2.0,
        unit="s",
        meaning="Time that a draining VM still accepts requests while `readyz` fails.",
    )
    drain_limit_s: float = option(
        Number(0, 3600),
        default=60.0,
        unit="s",
        meaning="Longest wait for requests in flight during a graceful shutdown.",
    )


@attrs.frozen(kw_only=True)
class MetricsSettings:
    """Export of metrics; without this section none are sent."""

    statsd: Address = option(HostPort(), meaning="UDP address of the statsd server.")
    prefix: str = option(Name(), default="bramleycrank", meaning="First part of metric names.")


@attrs.frozen(kw_only=True)
class LoggingSettings:
    """Logs on standard error, one JSON object per line."""

    level: str = option(
        Choice(("debug", "info", "warning", "error")),
        default="info",
        meaning="Lowest level that is written.",
    )


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of a VM."""

    vm: VmSettings = section(VmSettings, required=True, meaning="Identity and location of the VM.")
    listen: ListenSettings = section(ListenSettings, meaning="Addresses to listen on.")
    peers: PeersSettings = section(PeersSettings, meaning="VMs that a starting VM contacts first.")
    storage: StorageSettings | None = section(
        StorageSettings, optional=True, meaning="Data folder, for VMs that keep state on disk."
    )
    query: QuerySettings = section(QuerySettings, meaning="Admission, hedging and retries.")
    membership: MembershipSettings = section(
        MembershipSettings, meaning="Gossip between VMs and leases of targets."
    )
    config: ConfigSettings = section(ConfigSettings, meaning="Freshness of the configuration.")
    connections: ConnectionsSettings = section(
        ConnectionsSettings, meaning="Silent connections and reconnects."
    )
    life_cycle: LifeCycleSettings = section(LifeCycleSettings, meaning="Graceful shutdown.")
    metrics: MetricsSettings | None = section(
        MetricsSettings, optional=True, meaning="Export of metrics to statsd."
    )
    logging: LoggingSettings = section(LoggingSettings, meaning="Logs.")

    @classmethod
    def load(cls, path: str | Path) -> Settings:
        """Read and check a TOML file without opening anything else.

        Raises
        ------
        InvalidSettings
            With one line for each problem.
        """
        return cls.from_dict(loader.read_toml(Path(path)), source=str(path))

    @classmethod
    def from_dict(cls, data: Mapping[str, Any], *, source: str = "settings") -> Settings:
        """Check nested mappings of the same form as the TOML file.

        Raises
        ------
        InvalidSettings
            With one line for each problem.
        """
        settings = loader.load(cls, data, source)
        other_seeds = tuple(seed for seed in settings.peers.seeds if seed != settings.listen.grpc)
        return attrs.evolve(settings, peers=PeersSettings(seeds=other_seeds))

    def check(self, problems: loader.Problems) -> None:
        """Report values that are invalid in combination."""
        if self.listen.http == self.listen.grpc:
            problems.add(
                "listen.http", str(self.listen.http), "an address other than that of listen.grpc"
            )
        if self.listen.grpc.is_unspecified:
            problems.add(
                "listen.grpc", str(self.listen.grpc), "an address that other VMs can connect to"
            )
        if self.query.initial_concurrency > self.query.max_concurrency:
            problems.add(
                "query.initial_concurrency",
                self.query.initial_concurrency,
                f"at most query.max_concurrency ({self.query.max_concurrency})",
            )
        if self.membership.renew_s * 2 > self.membership.lease_s:
            # The lease must survive one lost renewal.
            problems.add(
                "membership.renew_s",
                self.membership.renew_s,
                f"at most half of membership.lease_s ({self.membership.lease_s:g} s)",
            )
