"""Relays between all VMs of a fleet, one for each direction of connecting."""

from __future__ import annotations

import asyncio
import itertools
import json

from processes import HOST, Fleet, Vm

from harness.relay import Relay


class Links:
    """The relays between all VMs of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._relays: dict[tuple[str, str], Relay] = {}

    async def start(self) -> None:
        """Open all relays and give their addresses to the VMs, which must not run yet."""
        routes: dict[str, dict[str, str]] = {vm.vm_id: {} for vm in self._fleet.vms}
        for source, target in itertools.permutations(self._fleet.vms, 2):
            relay = Relay(HOST, target.grpc)
            self._relays[source.vm_id, target.vm_id] = relay
            routes[source.vm_id][target.address] = await relay.start()
        for vm in self._fleet.vms:
            vm.env["BRAMLEYCRANK_RELAYS"] = json.dumps(routes[vm.vm_id])

    def between(self, *side: Vm) -> list[Relay]:
        """Return the relays between some VMs and all others."""
        names = {vm.vm_id for vm in side}
        return [r for (a, b), r in self._relays.items() if (a in names) != (b in names)]

    def delay(self, delay_s: float) -> None:
        """Delay what passes any link; data that arrives meanwhile goes on together."""
        for relay in self._relays.values():
            relay.delay_s = delay_s

    async def close(self) -> None:
        """Close all relays."""
        await asyncio.gather(*(relay.close() for relay in self._relays.values()))
