"""Decides which VMs that hold requests of this one are checked, and which count as silent."""

from __future__ import annotations

from collections.abc import Collection

import attrs

UNHEARD_S = 1.0
"""Age of the last message of a VM at which the next offer comes with a check, in seconds."""

CHECK_AFTER_S = 0.15
"""Time for which a VM may owe an answer and send nothing before it is checked, in seconds."""

DOUBT_AFTER_S = 0.1
"""Time without an answer to a check after which a VM is offered nothing more, in seconds."""

CHECK_TIMEOUT_S = 0.35
"""Time without an answer to a check after which a VM counts as silent, in seconds."""

RECHECK_S = 0.5
"""Interval between checks of a silent VM while requests need one, in seconds."""


@attrs.define
class _Watched:
    """What is known of a VM; times are in seconds."""

    heard_at: float = float("-inf")
    owes_since: float | None = None
    checked_at: float | None = None  # of a check without an answer
    silent: bool = False


class PeerWatch:
    """Tells VMs that work on requests from VMs that do not run.

    A VM that serves a request says nothing until the final answer, so one that owes an answer and
    sends nothing else is checked with a request that any build returns unstarted at once. One
    request is enough to notice a frozen VM.
    """

    def __init__(self) -> None:
        self._vms: dict[str, _Watched] = {}
        self._wanted_at = float("-inf")

    def retain(self, vm_ids: Collection[str]) -> None:
        """Forget all other VMs but those that hold requests."""
        self._vms = {
            vm_id: vm
            for vm_id, vm in self._vms.items()
            if vm_id in vm_ids or vm.owes_since is not None
        }

    def on_wanted(self, now: float) -> None:
        """Record that a request needs another VM."""
        self._wanted_at = now

    def on_heard(self, vm_id: str, now: float) -> bool:
        """Record a message of a VM; return whether it was silent before."""
        vm = self._vms.setdefault(vm_id, _Watched())
        was_silent, vm.silent = vm.silent, False
        vm.heard_at, vm.checked_at = now, None
        return was_silent

    def on_offered(self, vm_id: str, now: float) -> bool:
        """Record an offer to a VM; return whether it has to be checked at once."""
        vm = self._vms.setdefault(vm_id, _Watched())
        if vm.owes_since is None:
            vm.owes_since = now
        return vm.checked_at is None and now - vm.heard_at > UNHEARD_S

    def on_settled(self, vm_id: str) -> None:
        """Record that a VM holds no more requests of this one."""
        if vm_id in self._vms:
            self._vms[vm_id].owes_since = None

    def on_checked(self, vm_id: str, now: float) -> None:
        """Record that a check was sent to a VM."""
        self._vms.setdefault(vm_id, _Watched()).checked_at = now

    def on_own_pause(self, paused_s: float) -> None:
        """Do not count a time for which this VM did not run, in seconds, as silence of others."""
        for vm in self._vms.values():
            vm.heard_at += paused_s
            if vm.owes_since is not None:
                vm.owes_since += paused_s
            if vm.checked_at is not None:
                vm.checked_at += paused_s

    def is_usable(self, vm_id: str, now: float) -> bool:
        """Return whether a VM may be offered requests."""
        vm = self._vms.get(vm_id)
        if vm is None:
            return True
        in_doubt = vm.checked_at is not None and now - vm.checked_at >= DOUBT_AFTER_S
        return not (vm.silent or in_doubt)

    def is_being_checked(self, vm_id: str) -> bool:
        """Return whether a check of a VM has no answer yet."""
        vm = self._vms.get(vm_id)
        return vm is not None and vm.checked_at is not None

    def due(self, now: float) -> list[str]:
        """Return the VMs to check now."""
        return [vm_id for vm_id, vm in self._vms.items() if self._is_due(vm, now)]

    def _is_due(self, vm: _Watched, now: float) -> bool:
        if vm.silent:
            wanted = now - self._wanted_at < RECHECK_S
            return wanted and (vm.checked_at is None or now - vm.checked_at >= RECHECK_S)
        if vm.owes_since is None or vm.checked_at is not None:
            return False
        return now - max(vm.heard_at, vm.owes_since) >= CHECK_AFTER_S

    def newly_silent(self, now: float) -> list[str]:
        """Return the VMs that have just left a check without an answer for too long."""
        found = [
            vm_id
            for vm_id, vm in self._vms.items()
            if not vm.silent
            and vm.checked_at is not None
            and now - vm.checked_at >= CHECK_TIMEOUT_S
        ]
        for vm_id in found:
            self._vms[vm_id].silent = True
        return found
