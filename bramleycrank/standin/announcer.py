"""Announces one target to one of several VMs and switches to the next when a call fails."""

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
# Delay after all VMs failed; short compared with the default lease of 6 s.
RETRY_DELAY_S = 0.5


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
    """Registers one target with a VM and renews its lease.

    Parameters
    ----------
    target : StandInTarget
        Target whose lease is renewed.
    vms : Sequence of Address
        VMs, the preferred one first.
    channels : VmChannels
        Shared channels.
    timeout_s : float
        Timeout of a call to a VM, in seconds.
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
        self._home_vm: Address | None = None
        self._leave_confirmed = asyncio.Event()

    async def run(self) -> None:
        """Renew the lease until the target leaves, then deregister it."""
        if self._vms is None:
            return
        self._home_vm = next(self._vms)
        while not self._target.leaving:
            self._target.changed.clear()
            delay_s = await self._announce()
            await self._wait_for_change(delay_s)
        await self._leave()

    async def wait_leave_confirmed(self, timeout_s: float) -> bool:
        """Return whether a VM confirmed within the timeout that the target leaves."""
        if self._vms is None:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._leave_confirmed.wait()
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
        """Announce to the first VM that replies; return the delay until the next call, in s."""
        for _ in range(self._vm_count):
            request = pb.AnnounceRequest(record=self._target.record, load=self._target.load())
            try:
                stub = self._channels.registry(self._home_vm)
                reply = await stub.Announce(request, timeout=self._timeout_s)
            except CALL_ERRORS as exc:
                self._switch_vm(exc)
                continue
            return reply.renew_ms / 1000 if reply.renew_ms else 2.0
        return RETRY_DELAY_S

    def _switch_vm(self, exc: Exception) -> None:
        """Select the next VM.

        The higher sequence lets the record replace one that was marked as expired meanwhile.
        """
        log.info("standin: %s: %s failed: %r", self._target.record.target_id, self._home_vm, exc)
        self._home_vm = next(self._vms)
        self._target.record.sequence += 1

    async def _leave(self) -> None:
        """Send the leave message to the VMs in turn until one confirms it."""
        record = self._target.record
        request = pb.LeaveRequest(target_id=record.target_id, incarnation=record.incarnation)
        for attempt in itertools.count(1):
            try:
                stub = self._channels.registry(self._home_vm)
                await stub.Leave(request, timeout=self._timeout_s)
            except CALL_ERRORS as exc:
                self._switch_vm(exc)
                if attempt % self._vm_count == 0:
                    await asyncio.sleep(RETRY_DELAY_S)
            else:
                self._leave_confirmed.set()
                return
