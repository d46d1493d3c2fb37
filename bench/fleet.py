"""A fleet of real daemons and stand-in targets for one benchmark run."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import urllib.error
import urllib.request
import uuid
from pathlib import Path

from grpclib.client import Channel

from bench.shapes import ServiceShape, Shape
from bramleycrank.proto import log_pb2, operator_pb2, standin_pb2
from bramleycrank.proto.standin_grpc import StandInStub
from bramleycrank.transport.peer_client import PeerClients
from harness.processes import HOST, Process, free_port, wait_until

VOTER_COUNT = 3
START_TIMEOUT_S = 40.0

SETTINGS = """
[vm]
id = "{vm_id}"
domain = "{domain}"
[listen]
http = "127.0.0.1:{http}"
grpc = "127.0.0.1:{grpc}"
[peers]
seeds = [{seeds}]
[query]
policy = "{policy}"
[logging]
level = "warning"
{storage}
"""


class Vm:
    """The daemon of one VM."""

    def __init__(self, fleet: BenchFleet, number: int, domain: str) -> None:
        self.vm_id = f"vm{number}"
        self.domain = domain
        self.http, self.grpc = free_port(), free_port()
        self.is_voter = number <= VOTER_COUNT
        self.process: Process | None = None
        self._fleet = fleet

    @property
    def address(self) -> str:
        """Address of the gRPC server for VMs, targets and operators."""
        return f"{HOST}:{self.grpc}"

    @property
    def url(self) -> str:
        """Base URL of the HTTP endpoints for callers."""
        return f"http://{HOST}:{self.http}"

    def start(self) -> None:
        """Write the settings file and start the daemon."""
        fleet = self._fleet
        data = fleet.folder / f"{self.vm_id}-data"
        path = fleet.folder / f"{self.vm_id}.toml"
        text = SETTINGS.format(
            vm_id=self.vm_id,
            domain=self.domain,
            http=self.http,
            grpc=self.grpc,
            seeds=", ".join(f'"{vm.address}"' for vm in fleet.vms),
            policy=fleet.policy,
            storage=f'[storage]\ndata_dir = "{data}"' if self.is_voter else "",
        )
        path.write_text(text)
        self.process = fleet.spawn(
            ["bramleycrank.daemon.main", f"--settings={path}"], self.vm_id, self.domain
        )

    async def is_ready(self) -> bool:
        """Return whether ``/readyz`` responds with status 200."""
        return await asyncio.to_thread(self._is_ready)

    def _is_ready(self) -> bool:
        try:
            with urllib.request.urlopen(f"{self.url}/readyz", timeout=2) as rsp:
                return rsp.status == 200
        except urllib.error.HTTPError:
            return False

    async def revision(self) -> int:
        """Return the configuration revision in force on this VM."""
        stub = self._fleet.clients.operator_stub(self.address)
        status = await stub.Status(operator_pb2.StatusRequest(local=True), timeout=2.0)
        return status.vms[0].revision

    async def is_responsive(self) -> bool:
        """Return true if the operator API responds, and raise an error otherwise."""
        await self.revision()
        return True

    async def stop_gracefully(self) -> None:
        """Send SIGTERM and wait until the daemon exits."""
        self.process.signal(signal.SIGTERM)
        process = self.process
        await wait_until(lambda: process.exit_code is not None, f"{self.vm_id} exits", 90)


class TargetGroup:
    """The targets of one service in one domain, run by one stand-in process."""

    def __init__(self, fleet: BenchFleet, shape: ServiceShape, domain: str) -> None:
        self.shape = shape
        self.domain = domain
        self.cold_s = 0.0
        self.stub_channel: Channel | None = None
        self._fleet = fleet

    async def start(self) -> None:
        """Start the process and wait until its targets listen."""
        fleet, shape = self._fleet, self.shape
        local_vms = [vm.address for vm in fleet.vms if vm.domain == self.domain]
        options = {
            "vms": ",".join(local_vms),
            "services": shape.name,
            "shards": shape.shards,
            "replicas": shape.replicas,
            "domains": ",".join(fleet.shape.domains),
            "only_domain": self.domain,
            "slots": shape.slots,
            "connections": shape.connections,
            "connection_ms": shape.connection_ms,
            "latency_ms": shape.latency_ms,
            "cold_s": self.cold_s,
            "seed": fleet.seed,
        }
        arguments = [f"--{name}={value}" for name, value in options.items()]
        name = f"{shape.name}-{self.domain}"
        self.process = fleet.spawn(["bramleycrank.standin.main", *arguments], name, self.domain)
        line = await asyncio.to_thread(self.process.read_line)
        addresses = json.loads(line)
        host, _, port = addresses["control"].rpartition(":")
        self.targets: dict[str, str] = addresses["targets"]
        self.stub_channel = Channel(host, int(port))
        self.stub = StandInStub(self.stub_channel)

    async def fault(self, **fields: float) -> None:
        """Apply a fault to all targets of the process."""
        await self.stub.SetFault(standin_pb2.FaultRequest(**fields))

    async def stats(self) -> list[standin_pb2.TargetStats]:
        """Return the counters of all targets of the process."""
        return list((await self.stub.Stats(standin_pb2.StatsRequest())).targets)


class BenchFleet:
    """All processes of one benchmark run.

    Parameters
    ----------
    shape : Shape
        VMs and services of the deployment.
    policy : str
        Policy of the VMs: ``adaptive`` or ``plain``.
    folder : Path
        Folder for settings, data and logs.
    seed : int
        Seed of the targets' service times.
    """

    def __init__(self, shape: Shape, policy: str, folder: Path, seed: int) -> None:
        self.shape, self.policy, self.folder, self.seed = shape, policy, folder, seed
        self.clients = PeerClients()
        self._processes: list[Process] = []
        domains = shape.domains
        self.vms: list[Vm] = []
        for number in range(1, shape.vms + 1):
            self.vms.append(Vm(self, number, domains[(number - 1) % len(domains)]))
        self.target_groups = [
            TargetGroup(self, service, domain)
            for service in (shape.search, shape.records)
            for domain in domains
        ]

    def spawn(self, arguments: list[str], name: str, domain: str) -> Process:
        """Start a module of the project as a process whose domain can be partitioned by signals."""
        command = [sys.executable, "-m", "harness.partitioned", *arguments]
        env = {"BRAMLEYCRANK_CUT": str(self.folder / f"cut-{domain}")}
        process = Process(command, self.folder / f"{name}.log", env)
        self._processes.append(process)
        return process

    async def start(self) -> None:
        """Start all processes and wait until searches through every VM have full coverage."""
        for vm in self.vms:
            vm.start()
        await asyncio.gather(*(group.start() for group in self.target_groups))
        for vm in self.vms:
            await wait_until(
                lambda vm=vm: vm.is_responsive(),
                f"{vm.vm_id} responds to operators",
                START_TIMEOUT_S,
            )
        await self._configure()
        for vm in self.vms:
            await wait_until(vm.is_ready, f"{vm.vm_id} is ready", START_TIMEOUT_S)
        for vm in self.vms:
            await wait_until(
                lambda vm=vm: self.has_full_coverage(vm),
                f"{vm.vm_id} covers all shards",
                START_TIMEOUT_S,
            )

    async def _configure(self) -> None:
        addresses = [vm.address for vm in self.vms[:VOTER_COUNT]]
        stub = self.clients.operator_stub(self.vms[0].address)
        await stub.Bootstrap(operator_pb2.BootstrapRequest(addresses=addresses))
        for service in (self.shape.search, self.shape.records):
            await wait_until(lambda s=service: self.put_service(s.name, 0), "a service is created")

    async def put_service(
        self, name: str, expected: int, via: Vm | None = None, **fields: int
    ) -> int:
        """Create or change a service through a VM (default: the last) and return its version."""
        kinds = [log_pb2.KindConfig(name=self.shape.order_kind, idempotent=False)]
        service = log_pb2.ServiceConfig(name=name, kinds=kinds, **fields)
        change = log_pb2.Change(
            change_id=uuid.uuid4().hex, expected_version=expected, put_service=service
        )
        stub = self.clients.operator_stub((via or self.vms[-1]).address)
        reply = await stub.ApplyChange(operator_pb2.ChangeRequest(change=change), timeout=6.0)
        return reply.version

    async def has_full_coverage(self, vm: Vm) -> bool:
        """Return whether a search through a VM covers all shards."""
        return await asyncio.to_thread(self._has_full_coverage, vm)

    def _has_full_coverage(self, vm: Vm) -> bool:
        body = {
            "service": self.shape.search.name,
            "kind": "search",
            "query": "ready",
            "deadline_ms": 2000,
        }
        headers = {"Content-Type": "application/json"}
        request = urllib.request.Request(
            f"{vm.url}/v1/query", json.dumps(body).encode(), headers=headers
        )
        try:
            with urllib.request.urlopen(request, timeout=4) as rsp:
                coverage = json.loads(rsp.read())["coverage"]
        except urllib.error.HTTPError:
            return False
        return coverage["answered"] == self.shape.search.shards

    def search_target_groups(self) -> list[TargetGroup]:
        """Return the target groups of the search service."""
        return [group for group in self.target_groups if group.shape is self.shape.search]

    def partition(self, domain: str) -> None:
        """Partition a domain from all others by dropping messages without closing connections."""
        inside = self._addresses(lambda other: other == domain)
        outside = self._addresses(lambda other: other != domain)
        for name in self.shape.domains:
            unreachable = outside if name == domain else inside
            (self.folder / f"cut-{name}").write_text("\n".join(unreachable))
        self._signal_all(signal.SIGUSR1)

    def heal(self) -> None:
        """Heal the partition."""
        self._signal_all(signal.SIGUSR2)

    def _signal_all(self, signum: signal.Signals) -> None:
        for process in self._processes:
            process.signal(signum)

    def _addresses(self, is_included) -> list[str]:
        vms = [vm.address for vm in self.vms if is_included(vm.domain)]
        return vms + [
            address
            for group in self.target_groups
            if is_included(group.domain)
            for address in group.targets.values()
        ]

    def processor_s(self) -> dict[str, float]:
        """Return the processor time used so far by all VMs, in seconds."""
        return {vm.vm_id: _processor_s(vm.process.pid) for vm in self.vms}

    def close(self) -> None:
        """Close all channels and end all processes."""
        self.clients.close()
        for group in self.target_groups:
            if group.stub_channel is not None:
                group.stub_channel.close()
        for process in self._processes:
            process.signal(signal.SIGCONT)
            process.reap()


def _processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * 4096 / 1e6
