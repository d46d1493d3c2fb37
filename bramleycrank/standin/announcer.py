"""Announces one target to one of several VMs and moves on when that VM fails."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Sequence

import grpclib
from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError

from bramleycrank.proto import target_pb2 as pb
from bramleycrank.proto.target_grpc import RegistryStub
from bramleycrank.settings import Address
from bramleycrank.standin.target import StandInTarget

log = logging.getLogger(__name__)

CALL_ERRORS = (grpclib.GRPCError, StreamTerminatedError, OSError, TimeoutError)
# Pause after all VMs failed in turn; short against the lease of 6 s.
RETRY_PAUSE_S = 0.5


class VmChannels:
    """One gRPC channel for each VM, shared by all targets of the process."""

    def __init__(self) -> None:
        self._channels: dict[Address, Channel] = {}

    def registry(self, address: Address) -> RegistryStub:
        """Return the registry stub of a VM."""
        if address not in self._channels:
            self._channels[address] = Channel(address.host, address.port)
        return RegistryStub(self._channels[address])

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()


class Announcer:
    """Keeps the lease of one target.

    Parameters
    ----------
    target : StandInTarget
        Target to announce.
    vms : Sequence of Address
        VMs, the preferred one first.
    channels : VmChannels
        Shared channels.
    timeout_s : float
        Longest wait for a VM's answer.
    """

    def __init__(
        self,
        target: StandInTarget,
        vms: Sequence[Address],
        channels: VmChannels,
        timeout_s: float,
    ) -> None:
        self._target = target
        self._vms = itertools.cycle(vms) if vms else None
        self._vm_count = len(vms)
        self._channels = channels
        self._timeout_s = timeout_s
        self._home: Address | None = None
        self._left = asyncio.Event()

    async def run(self) -> None:
        """Renew the lease until the target has left."""
        if self._vms is None:
            return
        self._home = next(self._vms)
        while not self._target.leaving:
            self._target.changed.clear()
            pause_s = await self._announce()
            await self._wait_for_change(pause_s)
        await self._leave()

    async def wait_left(self, timeout_s: float) -> bool:
        """Wait until a VM has confirmed that the target leaves."""
        if self._vms is None:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._left.wait()
        except TimeoutError:
            return False
        return True

    async def _wait_for_change(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._target.changed.wait()
        except TimeoutError:
            await self._target.resumed.wait()

    async def _announce(self) -> float:
        """Announce once, moving on through the VMs; return the pause before the next call."""
        for _ in range(self._vm_count):
            request = pb.AnnounceRequest(record=self._target.record, load=self._target.load())
            try:
                stub = self._channels.registry(self._home)
                reply = await stub.Announce(request, timeout=self._timeout_s)
            except CALL_ERRORS as exc:
                self._move_on(exc)
                continue
            return reply.renew_ms / 1000 if reply.renew_ms else 2.0
        return RETRY_PAUSE_S

    def _move_on(self, exc: Exception) -> None:
        """Choose the next VM.

        The sequence grows, so that the record wins where the lease has run out meanwhile.
        """
        log.info("standin: %s: %s failed: %r", self._target.record.target_id, self._home, exc)
        self._home = next(self._vms)
        self._target.record.sequence += 1

    async def _leave(self) -> None:
        """Tell VMs that the target leaves until one of them confirms it."""
        record = self._target.record
        request = pb.LeaveRequest(target_id=record.target_id, incarnation=record.incarnation)
        for attempt in itertools.count(1):
            try:
                stub = self._channels.registry(self._home)
                await stub.Leave(request, timeout=self._timeout_s)
            except CALL_ERRORS as exc:
                self._move_on(exc)
                if attempt % self._vm_count == 0:
                    await asyncio.sleep(RETRY_PAUSE_S)
            else:
                self._left.set()
                return
