"""Starts three daemons and the stand-in targets of one service, runs a search and stops them.

The last line of the output is one JSON object with the result, the snapshot and the coverage.
Progress goes to standard error. Each process is signalled by its process id.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
BIN = Path(sys.executable).parent
DOMAINS = ("catania", "palermo", "siracusa")
SERVICE, SHARDS, REPLICAS = "archivio", 10, 3

# Long enough for a heavily loaded machine.
STEP_LIMIT_S = 30.0
STOP_LIMIT_S = 15.0

DAEMON_SETTINGS = """\
[vm]
id = "vm-{domain}"
domain = "{domain}"
[listen]
http = "{http}"
grpc = "{grpc}"
[peers]
seeds = [{seeds}]
[storage]
data_dir = "{folder}/vm-{domain}"
[life_cycle]
drain_notice_s = 0.2
drain_limit_s = 5.0
"""

STANDIN_SETTINGS = """\
[fleet]
services = ["{service}"]
shards = {shards}
replicas = {replicas}
domains = [{domains}]
only_domain = "{domain}"
[registry]
vms = [{vms}]
[capacity]
slots = 3
connections = 30
[timing]
connection_ms = 6
"""


class StepFailed(Exception):
    """A step failed or timed out."""


class Fleet:
    """The daemons and stand-in targets of one run.

    Parameters
    ----------
    folder : Path
        Temporary folder for settings, data and logs.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        ports = free_ports(2 * len(DOMAINS))
        self.http = {d: f"{HOST}:{next(ports)}" for d in DOMAINS}
        self.grpc = {d: f"{HOST}:{next(ports)}" for d in DOMAINS}
        self._processes: dict[str, subprocess.Popen] = {}

    def start(self) -> None:
        """Start the daemons, then the targets."""
        for domain in DOMAINS:
            self._spawn(f"vm-{domain}", "bramleycrankd", self._daemon_settings(domain))
        for domain in DOMAINS:
            self._spawn(f"targets-{domain}", "bramleycrank-target", self._standin_settings(domain))

    def stop(self) -> None:
        """Stop all processes with SIGTERM, and after a time limit with SIGKILL."""
        for name in reversed(self._processes):
            self._signal(name, signal.SIGTERM)
        deadline = time.monotonic() + STOP_LIMIT_S
        for name, process in self._processes.items():
            try:
                code = process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                self._signal(name, signal.SIGKILL)
                code = process.wait()
            if code != 0:
                print_progress(f"{name} ended with exit code {code}")

    def check_alive(self) -> None:
        """Raise `StepFailed` if a process has ended."""
        for name, process in self._processes.items():
            if process.poll() is not None:
                raise StepFailed(f"{name} ended with exit code {process.returncode}")

    def logs(self, lines: int = 12) -> str:
        """Return the last lines of all logs."""
        parts = []
        for path in sorted(self.folder.glob("*.log")):
            tail = path.read_text(errors="replace").splitlines()[-lines:]
            parts.append("\n".join([f"--- {path.name}", *tail]))
        return "\n".join(parts)

    def _spawn(self, name: str, program: str, settings: str) -> None:
        path = self.folder / f"{name}.toml"
        path.write_text(settings)
        with (self.folder / f"{name}.log").open("wb") as log:
            self._processes[name] = subprocess.Popen(
                [BIN / program, f"--settings={path}"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def _signal(self, name: str, number: signal.Signals) -> None:
        process = self._processes[name]
        if process.poll() is None:
            os.kill(process.pid, number)

    def _daemon_settings(self, domain: str) -> str:
        return DAEMON_SETTINGS.format(
            domain=domain,
            http=self.http[domain],
            grpc=self.grpc[domain],
            seeds=toml_items(self.grpc.values()),
            folder=self.folder,
        )

    def _standin_settings(self, domain: str) -> str:
        own_domain_first = sorted(self.grpc, key=lambda other: other != domain)
        return STANDIN_SETTINGS.format(
            service=SERVICE,
            shards=SHARDS,
            replicas=REPLICAS,
            domains=toml_items(DOMAINS),
            domain=domain,
            vms=toml_items(self.grpc[d] for d in own_domain_first),
        )


def toml_items(values) -> str:
    """Return strings as the items of a TOML array, without the brackets."""
    return ", ".join(f'"{value}"' for value in values)


def free_ports(count: int) -> Iterator[int]:
    """Yield distinct free ports below the range of the kernel's ephemeral ports."""
    chosen: set[int] = set()
    while len(chosen) < count:
        port = random.SystemRandom().randrange(10_000, 30_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            if port not in chosen:
                chosen.add(port)
                yield port


def print_progress(text: str) -> None:
    """Print a progress message to standard error."""
    print(f"quickstart: {text}", file=sys.stderr, flush=True)


def run_cli(server: str, *args: str) -> dict[str, Any]:
    """Run the command-line tool and return its JSON result."""
    command = [BIN / "bramleycrank", "--server", server, "--json", *args]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=STEP_LIMIT_S)
    if completed.returncode != 0:
        raise StepFailed(f"bramleycrank {' '.join(args)}: {completed.stderr.strip()}")
    return json.loads(completed.stdout)


def http_call(address: str, method: str, path: str, body: dict | None = None) -> tuple[int, Any]:
    """Return status and content of one HTTP request; status 0 if the connection failed."""
    conn = http.client.HTTPConnection(address, timeout=5)
    try:
        conn.request(method, path, body and json.dumps(body))
        rsp = conn.getresponse()
        text = rsp.read()
        return rsp.status, json.loads(text) if rsp.status == 200 and body else text.decode()
    except (OSError, http.client.HTTPException) as exc:
        return 0, repr(exc)
    finally:
        conn.close()


def wait_for(description: str, fleet: Fleet, condition: Callable[[], Any]) -> Any:
    """Poll a condition and return its first true value."""
    started = time.monotonic()
    while time.monotonic() - started < STEP_LIMIT_S:
        fleet.check_alive()
        value = condition()
        if value:
            print_progress(f"{description} ({time.monotonic() - started:.1f} s)")
            return value
        time.sleep(0.1)
    raise StepFailed(f"timed out after {STEP_LIMIT_S:g} s: {description}")


def is_listening(address: str) -> bool:
    """Return whether a port accepts connections."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=1).close()
    except OSError:
        return False
    return True


def target_count(server: str) -> int:
    """Return the number of serving targets in the membership of a VM."""
    listed = run_cli(server, "target", "list", f"--service={SERVICE}")["targets"]
    return sum(target["state"] == "TARGET_STATE_SERVING" for target in listed)


def search(address: str) -> dict[str, Any] | None:
    """Return the answer of a search over all shards, or None if it is not complete yet."""
    body = {"service": SERVICE, "kind": "search", "query": "cracked clapper", "limit": 5}
    status, answer = http_call(address, "POST", "/v1/query", body)
    return answer if status == 200 and answer["outcome"] == "complete" else None


def run(fleet: Fleet) -> dict[str, Any]:
    """Run all steps and return the answer of the search."""
    fleet.start()
    first_server = fleet.grpc[DOMAINS[0]]
    wait_for(
        "daemons accept calls", fleet, lambda: all(is_listening(a) for a in fleet.grpc.values())
    )
    run_cli(first_server, "vm", "bootstrap", ",".join(fleet.grpc.values()))
    print_progress("voters bootstrapped")
    created = run_cli(first_server, "service", "create", SERVICE, "--kinds=work_order")
    run_cli(first_server, "config", "wait", str(created["revision"]))
    print_progress(f"service {SERVICE} created, revision {created['revision']} in force")
    wait_for(
        "daemons are ready",
        fleet,
        lambda: all(http_call(a, "GET", "/readyz")[0] == 200 for a in fleet.http.values()),
    )
    expected_targets = SHARDS * REPLICAS
    for domain in DOMAINS:
        wait_for(
            f"vm-{domain} knows {expected_targets} targets",
            fleet,
            lambda domain=domain: target_count(fleet.grpc[domain]) == expected_targets,
        )
    return wait_for(
        f"search covers {SHARDS} shards", fleet, lambda: search(fleet.http[DOMAINS[-1]])
    )


def main() -> int:
    """Run the quick start and always stop the fleet."""
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda number, _: sys.exit(128 + number))
    with tempfile.TemporaryDirectory(prefix="bramleycrank-") as folder:
        fleet = Fleet(Path(folder))
        try:
            answer = run(fleet)
        except (StepFailed, subprocess.TimeoutExpired) as exc:
            print_progress(f"failed: {exc}\n{fleet.logs()}")
            return 1
        finally:
            fleet.stop()
    print(json.dumps({key: answer[key] for key in ("result", "snapshot", "coverage")}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
