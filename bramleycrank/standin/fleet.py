"""The targets of one stand-in process and their servers."""

from __future__ import annotations

import asyncio
import itertools
import logging
import socket
import time
from collections.abc import Iterator
from random import Random

import attrs
from grpclib.server import Server

from bramleycrank.proto import target_pb2 as pb
from bramleycrank.standin.announcer import Announcer, VmChannels
from bramleycrank.standin.control import StandInService
from bramleycrank.standin.session import TargetService
from bramleycrank.standin.settings import StandInSettings
from bramleycrank.standin.target import StandInTarget

log = logging.getLogger(__name__)


@attrs.frozen
class TargetSpec:
    """Service, shard, replica and domain of a target; `index` counts over all domains."""

    index: int
    service: str
    shard: int
    replica: int
    domain: str

    @property
    def target_id(self) -> str:
        """Id of the target."""
        return f"{self.service}-{self.shard}-{self.replica}"


def target_specs(cfg: StandInSettings) -> Iterator[TargetSpec]:
    """Yield the specifications of the targets that the process hosts."""
    fleet = cfg.fleet
    combinations = itertools.product(fleet.services, range(fleet.shards), range(fleet.replicas))
    for index, (service, shard, replica) in enumerate(combinations):
        domain = fleet.domains[replica % len(fleet.domains)]
        if fleet.only_domain in ("", domain):
            yield TargetSpec(index, service, shard, replica, domain)


class Fleet:
    """Runs the targets of one process.

    Parameters
    ----------
    cfg : StandInSettings
        Settings of the process.
    """

    def __init__(self, cfg: StandInSettings) -> None:
        self.targets: dict[str, StandInTarget] = {}
        self.control_address = ""
        self._cfg = cfg
        self._channels = VmChannels()
        self._servers: list[Server] = []
        self._announcers: list[Announcer] = []
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Open all listeners and start to announce the targets."""
        incarnation = time.time_ns() // 1_000_000
        for spec in target_specs(self._cfg):
            await self._start_target(spec, incarnation)
        control = StandInService(self.targets)
        port = await self._serve(control, self._cfg.listen.control_port)
        self.control_address = f"{self._cfg.listen.host}:{port}"

    async def stop(self, timeout_s: float = 5.0) -> None:
        """Deregister the targets, finish open sub-requests, then close everything.

        Parameters
        ----------
        timeout_s : float, optional
            Longest wait in seconds for each of the two steps.
        """
        for target in self.targets.values():
            target.set_state(pb.TARGET_STATE_LEAVING)
        await asyncio.gather(*(a.wait_leave_confirmed(timeout_s) for a in self._announcers))
        deadline = asyncio.get_running_loop().time() + timeout_s
        while asyncio.get_running_loop().time() < deadline:
            if all(target.idle for target in self.targets.values()):
                break
            await asyncio.sleep(0.01)
        await self.close()

    async def close(self) -> None:
        """Close everything at once, without leave messages, as in a crash."""
        for task in self._tasks:
            task.cancel()
        # A call on a closed channel raises an error that replaces the cancellation.
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self._servers:
            server.close()
        self._channels.close()

    async def _start_target(self, spec: TargetSpec, incarnation: int) -> None:
        cfg = self._cfg
        target = StandInTarget(
            self._new_record(spec, incarnation),
            cfg.capacity,
            cfg.timing,
            Random(f"{cfg.timing.seed}/{spec.target_id}"),
        )
        first = cfg.listen.first_port
        service = TargetService(target)
        target.record.port = await self._serve(service, first + spec.index if first else 0)
        vms = cfg.registry.vms
        vm_offset = spec.index % len(vms) if vms else 0
        announcer = Announcer(
            target, (*vms[vm_offset:], *vms[:vm_offset]), self._channels, cfg.registry.timeout_s
        )
        self._announcers.append(announcer)
        self._tasks.append(asyncio.ensure_future(announcer.run()))
        self._tasks.append(asyncio.ensure_future(self._warm_up(target)))
        self.targets[spec.target_id] = target

    def _new_record(self, spec: TargetSpec, incarnation: int) -> pb.TargetRecord:
        cfg = self._cfg
        snapshot = pb.Snapshot(version=cfg.fleet.version, shard_count=cfg.fleet.shards)
        return pb.TargetRecord(
            target_id=spec.target_id,
            incarnation=incarnation,
            sequence=1,
            state=pb.TARGET_STATE_WARMING,
            service=spec.service,
            host=cfg.listen.host,
            domain=spec.domain,
            replicas=[pb.Replica(snapshot=snapshot, shard=spec.shard)],
            slots=cfg.capacity.slots,
            connections=cfg.capacity.connections,
        )

    async def _warm_up(self, target: StandInTarget) -> None:
        await asyncio.sleep(self._cfg.timing.warming_s)
        target.set_state(pb.TARGET_STATE_SERVING)

    async def _serve(self, service, port: int) -> int:
        """Serve a gRPC service and return its port."""
        sock = _listener(self._cfg.listen.host, port)
        server = Server([service])
        await server.start(sock=sock, backlog=1024)
        self._servers.append(server)
        return sock.getsockname()[1]


def _listener(host: str, port: int) -> socket.socket:
    """Return a bound socket.

    The protocol number is given because asyncio sets TCP_NODELAY only on sockets that name TCP;
    without it, replies are delayed until the remote side's delayed acknowledgement.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return sock
