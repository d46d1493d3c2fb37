"""Relays between all VMs of a fleet, one for each ordered pair of VMs."""

from __future__ import annotations

import asyncio
import itertools
import json

from processes import HOST, Fleet, Vm

from harness.relay import Relay


class Links:
    """Controls the links between all VMs of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._relays: dict[tuple[str, str], Relay] = {}

    async def start(self) -> None:
        """Start all relays and pass their addresses to the VMs, which must not run yet."""
        relay_addresses: dict[str, dict[str, str]] = {vm.vm_id: {} for vm in self._fleet.vms}
        for source, target in itertools.permutations(self._fleet.vms, 2):
            relay = Relay(HOST, target.grpc)
            self._relays[source.vm_id, target.vm_id] = relay
            relay_addresses[source.vm_id][target.address] = await relay.start()
        for vm in self._fleet.vms:
            vm.env["BRAMLEYCRANK_RELAYS"] = json.dumps(relay_addresses[vm.vm_id])

    def between(self, *vms: Vm) -> list[Relay]:
        """Return the relays between the given VMs and all others."""
        vm_ids = {vm.vm_id for vm in vms}
        return [
            relay
            for (source, target), relay in self._relays.items()
            if (source in vm_ids) != (target in vm_ids)
        ]

    def delay(self, delay_s: float) -> None:
        """Delay all data on all links; data that arrives during a delay is forwarded together."""
        for relay in self._relays.values():
            relay.delay_s = delay_s

    async def close(self) -> None:
        """Close all relays."""
        await asyncio.gather(*(relay.close() for relay in self._relays.values()))
