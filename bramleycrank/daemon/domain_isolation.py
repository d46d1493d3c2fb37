"""Detects that this VM's failure domain is isolated from all other domains."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from bramleycrank.daemon.identity import format_address
from bramleycrank.proto import peer_pb2

ISOLATION_SILENCE_S = 1.5
"""Silence of all other domains after which the own domain counts as isolated, in seconds.

Each VM probes a VM of another domain at least once a second and is probed as often, so a silence of
this length is rarely a coincidence.
"""


class Vms(Protocol):
    """Source of the known VM records."""

    def vms(self) -> Iterable[peer_pb2.VmRecord]:
        """Return the VMs that may be alive."""


class DomainIsolation:
    """Tracks when the last message of a VM in another failure domain arrived.

    Parameters
    ----------
    domain : str
        Failure domain of this VM.
    vms : Vms
        Source of the known VM records.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, domain: str, vms: Vms, clock: Callable[[], float]) -> None:
        self._domain = domain
        self._vms = vms
        self._clock = clock
        self._last_message_at: float | None = None  # None: no message of another domain yet

    def on_gossip(self, address: str, status: peer_pb2.ConfigStatus) -> None:
        """Record the arrival of a message from the VM at an address."""
        others = (r for r in self._vms.vms() if r.domain != self._domain)
        if any(format_address(r.host, r.port) == address for r in others):
            self._last_message_at = self._clock()

    @property
    def is_isolated(self) -> bool:
        """Whether all other domains are silent although one of them sent a message before."""
        return (
            self._last_message_at is not None
            and self._clock() - self._last_message_at > ISOLATION_SILENCE_S
        )
