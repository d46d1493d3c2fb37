"""Runs daemons and stand-in targets as child processes, for the process tests.

Every wait polls a condition with a time limit; each process is signalled by its process id.
"""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import json
import signal
import sys
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from grpclib.client import Channel

from bramleycrank.exceptions import BramleycrankError
from bramleycrank.proto import log_pb2, operator_pb2, standin_pb2
from bramleycrank.proto.standin_grpc import StandInStub
from bramleycrank.transport.peer_client import PeerClients
from harness.processes import HOST, WAIT_LIMIT_S, Process, free_port, wait_until

TESTS = Path(__file__).parent

SETTINGS = """
[vm]
id = "{vm_id}"
domain = "{domain}"
[listen]
http = "127.0.0.1:{http}"
grpc = "127.0.0.1:{grpc}"
[peers]
seeds = [{seeds}]
[membership]
probe_period_s = 0.25
sync_period_s = 1.0
[config]
lease_s = 2.0
start_wait_s = 3.0
[life_cycle]
drain_notice_s = 0.5
drain_limit_s = 10.0
[logging]
level = "info"
{storage}
"""


class Vm:
    """A daemon that can be killed, frozen, stopped and restarted."""

    def __init__(self, fleet: Fleet, number: int, domain: str, storage: bool) -> None:
        self.fleet = fleet
        self.vm_id = f"vm{number}"
        self.domain = domain
        self.storage = storage
        self.http, self.grpc = free_port(), free_port()
        self.process: Process | None = None
        self.env: dict[str, str] = {}

    @property
    def address(self) -> str:
        """Address for VMs, targets and operators."""
        return f"{HOST}:{self.grpc}"

    @property
    def data_dir(self) -> Path:
        """Folder of the persistent data."""
        return self.fleet.folder / f"{self.vm_id}-data"

    @property
    def operator(self) -> Any:
        """Typed stub of the `Operator` service."""
        return self.fleet.clients.operator_stub(self.address)

    def start(self) -> None:
        """Start the daemon."""
        seeds = ", ".join(f'"{vm.address}"' for vm in self.fleet.vms)
        storage = f'[storage]\ndata_dir = "{self.data_dir}"' if self.storage else ""
        path = self.fleet.folder / f"{self.vm_id}.toml"
        path.write_text(
            SETTINGS.format(
                vm_id=self.vm_id,
                domain=self.domain,
                http=self.http,
                grpc=self.grpc,
                seeds=seeds,
                storage=storage,
            )
        )
        command = [sys.executable, str(TESTS / "relayed_daemon.py"), f"--settings={path}"]
        log = self.fleet.folder / f"{self.vm_id}.log"
        self.process = self.fleet.spawn(command, log, self.env)

    def kill(self) -> None:
        """Kill the daemon with SIGKILL."""
        self.process.reap()

    async def stop(self, timeout_s: float = 30.0) -> None:
        """Stop the daemon gracefully and check its exit code."""
        self.process.signal(signal.SIGTERM)
        await wait_until(
            lambda: self.process.exit_code is not None, f"{self.vm_id} exits", timeout_s
        )
        assert self.process.exit_code == 0, self.process.log_tail()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.process.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self.process.signal(signal.SIGCONT)

    async def request(
        self, method: str, path: str, body: dict | None = None, timeout_s: float = 10.0
    ) -> tuple[int, Any]:
        """Return status and JSON content, or else text, of one HTTP request.

        Raises
        ------
        OSError
            The connection failed.
        """
        return await asyncio.to_thread(self._request, method, path, body, timeout_s)

    def _request(self, method: str, path: str, body: dict | None, timeout_s: float) -> tuple:
        conn = http.client.HTTPConnection(HOST, self.http, timeout=timeout_s)
        try:
            data = None if body is None else json.dumps(body)
            conn.request(method, path, data, {"Content-Type": "application/json"})
            response = conn.getresponse()
            content = response.read()
            try:
                return response.status, json.loads(content)
            except ValueError:
                return response.status, content.decode(errors="replace")
        except http.client.HTTPException as exc:
            raise ConnectionError(f"{type(exc).__name__}: {exc}") from exc
        finally:
            conn.close()

    async def ready(self) -> bool:
        """Return whether /readyz responds with status 200."""
        return (await self.request("GET", "/readyz", timeout_s=2.0))[0] == 200

    async def query(self, **fields: Any) -> tuple[int, Any]:
        """Return status and JSON of one query; fields change the default search."""
        body = {"service": "demo", "kind": "search", "query": "bell", "deadline_ms": 3000, **fields}
        return await self.request("POST", "/v1/query", body)

    async def status(self, **fields: Any) -> operator_pb2.StatusReply:
        """Return the status of all VMs, as this VM reports it."""
        return await self.operator.Status(operator_pb2.StatusRequest(**fields), timeout=5.0)

    async def revision(self) -> int:
        """Return the revision in force on this VM."""
        return (await self.status(local=True)).vms[0].revision

    async def role(self) -> str:
        """Return the consensus role that this VM reports for itself."""
        return (await self.status(local=True)).vms[0].role

    async def dump(self) -> dict[str, Any]:
        """Return the dump of this VM."""
        return json.loads((await self.operator.Dump(operator_pb2.DumpRequest())).json)

    async def put_service(
        self,
        name: str,
        expected_version: int = 0,
        change_id: str = "",
        timeout_s: float = 5.0,
        **fields,
    ) -> operator_pb2.ChangeReply:
        """Create or change a service through this VM."""
        change = log_pb2.Change(
            change_id=change_id or uuid.uuid4().hex,
            expected_version=expected_version,
            put_service=log_pb2.ServiceConfig(name=name, **fields),
        )
        request = operator_pb2.ChangeRequest(change=change, timeout_ms=int(timeout_s * 1000))
        return await self.operator.ApplyChange(request, timeout=timeout_s + 1.0)


class StandIn:
    """A process with stand-in targets of the service `demo`."""

    def __init__(self, fleet: Fleet, options: dict[str, object]) -> None:
        vms = ",".join(vm.address for vm in fleet.vms)
        args = {"vms": vms, "services": "demo", "latency_ms": 3, **options}
        code = "from bramleycrank.standin.main import main; main()"
        command = [sys.executable, "-c", code, *(f"--{k}={v}" for k, v in args.items())]
        self.process = fleet.spawn(command, fleet.folder / "standin.log")
        line = self.process.read_line()
        assert line, self.process.log_tail()
        host, _, port = json.loads(line)["control"].rpartition(":")
        self._channel = Channel(host, int(port))
        self.stub = StandInStub(self._channel)

    async def effects(self) -> dict[str, int]:
        """Return the number of runs of each request key, summed over all targets."""
        counts: dict[str, int] = {}
        for target in (await self.stub.Stats(standin_pb2.StatsRequest())).targets:
            for key, count in target.effects.items():
                counts[key] = counts.get(key, 0) + count
        return counts

    def close(self) -> None:
        """Close the control channel."""
        self._channel.close()


class Fleet:
    """All VMs and stand-in processes of one test."""

    def __init__(
        self, folder: Path, domains: tuple[str, ...], voters: int, vms_with_disk: int | None = None
    ) -> None:
        self.folder = folder
        self.clients = PeerClients()
        self._processes: list[Process] = []
        self._standins: list[StandIn] = []
        self.vms: list[Vm] = []
        for number, domain in enumerate(domains, 1):
            self.vms.append(Vm(self, number, domain, storage=number <= (vms_with_disk or voters)))
        self.voters = self.vms[:voters]

    def spawn(self, command: list[str], log: Path, env: dict[str, str] | None = None) -> Process:
        """Start a process that is killed when the fleet closes."""
        process = Process(command, log, env)
        self._processes.append(process)
        return process

    def standin(self, **options: object) -> StandIn:
        """Start stand-in targets of the service `demo`."""
        standin = StandIn(self, options)
        self._standins.append(standin)
        return standin

    async def start(self, bootstrap: bool = True) -> None:
        """Start all VMs, form the cluster and wait until all are ready."""
        for vm in self.vms:
            vm.start()
        if bootstrap:
            await self.bootstrap()
            for vm in self.vms:
                await wait_until(vm.ready, f"{vm.vm_id} is ready")

    async def bootstrap(self) -> None:
        """Wait until all VMs respond to operators, then bootstrap the voters."""
        for vm in self.vms:
            await wait_until(
                lambda vm=vm: vm.status(local=True), f"{vm.vm_id} responds to operators"
            )
        request = operator_pb2.BootstrapRequest(addresses=[vm.address for vm in self.voters])
        await self.voters[0].operator.Bootstrap(request)

    async def leader(self, vms: list[Vm] | None = None, timeout_s: float = WAIT_LIMIT_S) -> Vm:
        """Wait for a VM that reports itself as the leader and return it."""
        candidates = self.vms if vms is None else vms

        async def find() -> Vm | None:
            for vm in candidates:
                with contextlib.suppress(BramleycrankError):
                    if await vm.role() == "leader":
                        return vm
            return None

        return await wait_until(find, "a VM is the leader", timeout_s)

    def others(self, *excluded: Vm) -> list[Vm]:
        """Return all VMs except the given ones."""
        return [vm for vm in self.vms if vm not in excluded]

    async def wait_in_force(
        self, revision: int, vms: list[Vm] | None = None, timeout_s=10.0
    ) -> None:
        """Wait until a revision or a later one is in force on the given VMs, or on all."""

        async def is_in_force_everywhere() -> bool:
            revisions = await asyncio.gather(*(vm.revision() for vm in vms or self.vms))
            return min(revisions) >= revision

        await wait_until(is_in_force_everywhere, f"revision {revision} is in force", timeout_s)

    def close(self) -> None:
        """Close all channels and kill every process."""
        for standin in self._standins:
            standin.close()
        self.clients.close()
        for process in self._processes:
            process.signal(signal.SIGCONT)
            process.reap()


def run_fleet(
    folder: Path,
    scenario: Callable[[Fleet], Awaitable[None]],
    *,
    domains: tuple[str, ...] = ("a", "b", "c"),
    voters: int = 3,
    vms_with_disk: int | None = None,
    start: bool = True,
    timeout_s: float = 60.0,
) -> None:
    """Run a scenario with a new fleet; print the logs of the VMs if it fails."""

    async def run() -> None:
        fleet = Fleet(folder, domains, voters, vms_with_disk)
        try:
            async with asyncio.timeout(timeout_s):
                if start:
                    await fleet.start()
                await scenario(fleet)
        except BaseException:
            for vm in fleet.vms:
                if vm.process is not None:
                    print(f"--- {vm.vm_id}, exit code {vm.process.exit_code}")
                    print(vm.process.log_tail())
            raise
        finally:
            fleet.close()

    asyncio.run(run())
