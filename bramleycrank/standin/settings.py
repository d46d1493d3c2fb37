"""Settings of the stand-in target process."""

# `option` and `section` return attrs fields, which the linter cannot see.
# ruff: noqa: RUF009

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs

from bramleycrank.settings import Address, loader
from bramleycrank.settings.options import (
    HostPort,
    Integer,
    IpAddress,
    ListOf,
    Name,
    Number,
    option,
    section,
)


@attrs.frozen(kw_only=True)
class FleetSettings:
    """Targets that the process hosts."""

    services: tuple[str, ...] = option(
        ListOf(Name(), minimum=1, maximum=100),
        default=("demo",),
        meaning="Services, all with the same shards, replicas and domains.",
    )
    shards: int = option(
        Integer(1, 10_000), default=1, unit="shards", meaning="Shards of each service."
    )
    replicas: int = option(
        Integer(1, 1_000), default=1, unit="replicas", meaning="Replicas of each shard."
    )
    domains: tuple[str, ...] = option(
        ListOf(Name(), minimum=1, maximum=100),
        default=("local",),
        meaning="Failure domains; replica `i` of a shard is in domain `i` modulo their number.",
    )
    only_domain: str = option(
        Name(empty_allowed=True),
        default="",
        meaning="Host the targets of this domain only; empty: all.",
    )
    version: int = option(
        Integer(1, 2**53), default=1, unit="index version", meaning="Initial index version."
    )


@attrs.frozen(kw_only=True)
class ListenSettings:
    """Addresses of the targets and the control service."""

    host: str = option(IpAddress(), default="127.0.0.1", meaning="IP address of all listeners.")
    first_port: int = option(
        Integer(0, 65_535),
        default=0,
        meaning="Port of the first target, the others follow; 0: any free ports.",
    )
    control_port: int = option(
        Integer(0, 65_535), default=0, meaning="Port of the control service; 0: any free port."
    )


@attrs.frozen(kw_only=True)
class RegistrySettings:
    """VMs that the targets announce themselves to."""

    vms: tuple[Address, ...] = option(
        ListOf(HostPort(), maximum=1000),
        default=(),
        meaning="gRPC addresses of VMs; a target switches to the next one when a call fails.",
    )
    timeout_s: float = option(
        Number(0.05, 60), default=1.0, unit="s", meaning="Timeout of a call to a VM."
    )


@attrs.frozen(kw_only=True)
class CapacitySettings:
    """Capacity of each target."""

    slots: int = option(
        Integer(1, 10_000),
        default=4,
        unit="sub-requests",
        meaning="Sub-requests that run concurrently.",
    )
    queue_limit: int = option(
        Integer(0, 100_000),
        default=64,
        unit="sub-requests",
        meaning="Sub-requests that may wait for a slot; more are shed.",
    )
    connections: int = option(
        Integer(1, 100_000),
        default=30,
        unit="connections",
        meaning="Maximum number of connections.",
    )


@attrs.frozen(kw_only=True)
class TimingSettings:
    """Service times, drawn from a seeded log-normal distribution."""

    latency_ms: float = option(
        Number(0, 60_000), default=5.0, unit="ms", meaning="Median service time."
    )
    sigma: float = option(
        Number(0, 5), default=0.3, meaning="Standard deviation of the service time's logarithm."
    )
    connection_ms: float = option(
        Number(0, 60_000), default=0.0, unit="ms", meaning="Time to set up a new connection."
    )
    warming_s: float = option(
        Number(0, 3600),
        default=0.0,
        unit="s",
        meaning="Time that a new target is in the state WARMING.",
    )
    cold_s: float = option(
        Number(0, 3600),
        default=0.0,
        unit="s",
        meaning="Time that a new target is slower; the factor falls linearly to 1.",
    )
    cold_factor: float = option(
        Number(1, 1000), default=5.0, meaning="Factor on the service time of a cold target."
    )
    seed: int = option(Integer(0, 2**53), default=1, meaning="Seed of all random numbers.")


@attrs.frozen(kw_only=True)
class StandInSettings:
    """All settings of a stand-in process."""

    fleet: FleetSettings = section(FleetSettings, meaning="Targets that the process hosts.")
    listen: ListenSettings = section(ListenSettings, meaning="Addresses to listen on.")
    registry: RegistrySettings = section(
        RegistrySettings, meaning="VMs that the targets announce themselves to."
    )
    capacity: CapacitySettings = section(CapacitySettings, meaning="Capacity of each target.")
    timing: TimingSettings = section(TimingSettings, meaning="Service times.")

    @classmethod
    def load(cls, path: str | Path) -> StandInSettings:
        """Read and check a TOML file.

        Raises
        ------
        InvalidSettings
            With one line for each problem.
        """
        return cls.from_dict(loader.read_toml(Path(path)), source=str(path))

    @classmethod
    def from_dict(cls, data: Mapping[str, Any], *, source: str = "settings") -> StandInSettings:
        """Check nested mappings of the same form as the TOML file.

        Raises
        ------
        InvalidSettings
            With one line for each problem.
        """
        return loader.load(cls, data, source)

    def check(self, problems: loader.Problems) -> None:
        """Report values that are invalid in combination."""
        fleet, first = self.fleet, self.listen.first_port
        if fleet.only_domain and fleet.only_domain not in fleet.domains:
            allowed = "one of fleet.domains (" + ", ".join(fleet.domains) + ")"
            problems.add("fleet.only_domain", fleet.only_domain, allowed)
        count = len(fleet.services) * fleet.shards * fleet.replicas
        if first and first + count - 1 > 65_535:
            problems.add(
                "listen.first_port", first, f"at most {65_536 - count} for {count} targets"
            )
        if first and first <= self.listen.control_port < first + count:
            problems.add(
                "listen.control_port",
                self.listen.control_port,
                f"a port outside those of the targets ({first} to {first + count - 1})",
            )
