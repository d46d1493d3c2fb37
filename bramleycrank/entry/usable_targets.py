"""Targets that may receive new sub-requests: usable records outside of evacuated domains."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from bramleycrank.daemon.subscribers import notify
from bramleycrank.proto.peer_pb2 import VmRecord
from bramleycrank.proto.target_pb2 import TargetRecord

log = logging.getLogger(__name__)


class Registry(Protocol):
    """Source of the target records."""

    def targets(self, service: str) -> list[TargetRecord]:
        """Return the usable targets of a service."""

    def all_targets(self) -> Iterable[TargetRecord]:
        """Return all known targets."""

    def subscribe_targets(self, callback: Callable[[TargetRecord], None]) -> None:
        """Call back whenever a target's record or usability changes."""

    def warm_at(self, target_id: str) -> float:
        """Return the time at which a target is warm according to its record."""

    def mark_leaving(self, target_id: str, incarnation: int) -> None:
        """Record that a target announced that it leaves."""

    def vm_count(self, domain: str | None = None) -> int:
        """Return the number of VMs that share the budgets of targets."""

    def caller_vms(self) -> Iterable[VmRecord]:
        """Return the VMs that serve callers, dead ones included."""


class Evacuations(Protocol):
    """Source of the evacuated failure domains."""

    def evacuated_domains(self) -> Collection[str]:
        """Return the evacuated failure domains."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change of the configuration."""


class UsableTargets:
    """Leaves the targets of evacuated failure domains out of a registry.

    Parameters
    ----------
    registry : Registry
        Source of the target records.
    evacuations : Evacuations
        Source of the evacuated failure domains.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self, registry: Registry, evacuations: Evacuations, clock: Callable[[], float]
    ) -> None:
        self._registry = registry
        self._evacuations = evacuations
        self._clock = clock
        self._restored_at: dict[str, float] = {}
        self._evacuated: frozenset[str] = frozenset(evacuations.evacuated_domains())
        self._callbacks: list[Callable[[TargetRecord], None]] = []
        evacuations.subscribe(self._on_config)

    def targets(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that may receive new sub-requests."""
        records = self._registry.targets(service)
        if not self._evacuated:
            return records
        return [record for record in records if record.domain not in self._evacuated]

    def subscribe_targets(self, callback: Callable[[TargetRecord], None]) -> None:
        """Call back whenever a target's record or usability changes."""
        self._callbacks.append(callback)
        self._registry.subscribe_targets(callback)

    def warm_at(self, target_id: str) -> float:
        """Return the time at which a target is warm according to its record."""
        return self._registry.warm_at(target_id)

    def mark_leaving(self, target_id: str, incarnation: int) -> None:
        """Record that a target announced that it leaves."""
        self._registry.mark_leaving(target_id, incarnation)

    def vm_count(self, domain: str | None = None) -> int:
        """Return the number of VMs that share the budgets of targets."""
        return self._registry.vm_count(domain)

    def caller_vms(self) -> Iterable[VmRecord]:
        """Return the VMs that serve callers, dead ones included."""
        return self._registry.caller_vms()

    def restored_at(self, domain: str) -> float | None:
        """Return when the last evacuation of a failure domain ended, or None without one."""
        return self._restored_at.get(domain)

    def _on_config(self) -> None:
        previous, self._evacuated = (
            self._evacuated,
            frozenset(self._evacuations.evacuated_domains()),
        )
        changed = previous ^ self._evacuated
        for domain in sorted(changed):
            evacuated = domain in self._evacuated
            state = "evacuated" if evacuated else "restored"
            log.info("targets: domain is %s", state, extra={"domain": domain})
            if not evacuated:
                self._restored_at[domain] = self._clock()
        if changed:
            for record in list(self._registry.all_targets()):
                if record.domain in changed:
                    notify(self._callbacks, record)
