"""Entry point of ``bramleycrank-target``."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
import sys
from pathlib import Path
from typing import Any

import fire

from bramleycrank.exceptions import BramleycrankError
from bramleycrank.observability import logs
from bramleycrank.settings import LoggingSettings, loader
from bramleycrank.standin.fleet import Fleet
from bramleycrank.standin.settings import StandInSettings

log = logging.getLogger(__name__)

# Settings section of each command-line option.
OPTION_SECTIONS = {
    "services": "fleet",
    "shards": "fleet",
    "replicas": "fleet",
    "domains": "fleet",
    "only_domain": "fleet",
    "version": "fleet",
    "host": "listen",
    "first_port": "listen",
    "control_port": "listen",
    "vms": "registry",
    "slots": "capacity",
    "queue_limit": "capacity",
    "connections": "capacity",
    "latency_ms": "timing",
    "sigma": "timing",
    "connection_ms": "timing",
    "warming_s": "timing",
    "cold_s": "timing",
    "seed": "timing",
}
LIST_OPTIONS = frozenset({"services", "domains", "vms"})


def run(
    settings: str = "",
    services: str | None = None,
    shards: int | None = None,
    replicas: int | None = None,
    domains: str | None = None,
    only_domain: str | None = None,
    version: int | None = None,
    host: str | None = None,
    first_port: int | None = None,
    control_port: int | None = None,
    vms: str | None = None,
    slots: int | None = None,
    queue_limit: int | None = None,
    connections: int | None = None,
    latency_ms: float | None = None,
    sigma: float | None = None,
    connection_ms: float | None = None,
    warming_s: float | None = None,
    cold_s: float | None = None,
    seed: int | None = None,
) -> None:
    """Run stand-in targets until SIGTERM or SIGINT, then deregister them and exit.

    Prints one JSON line with the addresses once all listeners are open. Options override the
    settings file; docs/settings.md describes them all.

    Parameters
    ----------
    settings : str
        TOML file.
    services : str
        Names, separated by commas.
    shards : int
        Shards of each service.
    replicas : int
        Replicas of each shard; replica i is in domain i modulo the number of domains.
    domains : str
        Failure domains, separated by commas.
    only_domain : str
        Host the targets of this domain only.
    version : int
        Initial index version.
    host : str
        IP address of all listeners.
    first_port : int
        Port of the first target; 0: free ports.
    control_port : int
        Port of the control service; 0: a free port.
    vms : str
        VM addresses host:port, separated by commas.
    slots : int
        Sub-requests that a target runs concurrently.
    queue_limit : int
        Sub-requests that may wait for a slot.
    connections : int
        Connections that a target accepts.
    latency_ms : float
        Median service time in ms.
    sigma : float
        Standard deviation of the service time's logarithm.
    connection_ms : float
        Time to set up a connection in ms.
    warming_s : float
        Time in s that a new target is in the state WARMING.
    cold_s : float
        Time in s that a new target has longer service times.
    seed : int
        Seed of all random numbers.
    """
    overrides = {name: value for name, value in locals().items() if name != "settings"}
    logs.configure(LoggingSettings(), "standin")
    asyncio.run(_serve(read_settings(str(settings), overrides)))


def read_settings(path: str, overrides: dict[str, Any]) -> StandInSettings:
    """Return the settings of a file, overridden by command-line options.

    Parameters
    ----------
    path : str
        TOML file; empty: none.
    overrides : dict
        Command-line options by name; None where an option is absent.

    Raises
    ------
    InvalidSettings
        With one line for each problem.
    """
    data = loader.read_toml(Path(path)) if path else {}
    for name, value in overrides.items():
        if value is not None:
            data.setdefault(OPTION_SECTIONS[name], {})[name] = (
                _list_items(value) if name in LIST_OPTIONS else value
            )
    return StandInSettings.from_dict(data, source=path or "options")


def _list_items(value: object) -> list[str]:
    """Return the items of a list option; fire parses text with commas as a tuple."""
    parts = value.split(",") if isinstance(value, str) else value
    items = parts if isinstance(parts, list | tuple) else [parts]
    return [str(item) for item in items]


async def _serve(cfg: StandInSettings) -> None:
    stop_requested = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signum, stop_requested.set)
    fleet = Fleet(cfg)
    await fleet.start()
    addresses = {
        name: f"{target.record.host}:{target.record.port}" for name, target in fleet.targets.items()
    }
    print(json.dumps({"control": fleet.control_address, "targets": addresses}), flush=True)
    await stop_requested.wait()
    await fleet.stop()


def main() -> None:
    """Run the program; an error sets the exit code of its type."""
    try:
        fire.Fire(run)
    except BramleycrankError as exc:
        print(f"error {exc.code} {exc.name}: {exc.message}", file=sys.stderr)
        sys.exit(exc.exit_code)
