"""Whether this VM hears from other failure domains."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from bramleycrank.daemon.identity import format_address
from bramleycrank.proto import peer_pb2

CUT_SILENCE_S = 1.5
"""Silence of all other domains after which this one counts as cut off, in seconds.

Each VM probes a VM of another domain at least once a second and is probed as often, so a silence of
this length by chance is rare where there are other domains at all.
"""


class Vms(Protocol):
    """Source of the known VMs."""

    def vms(self) -> Iterable[peer_pb2.VmRecord]:
        """Return the VMs that may be alive."""


class FarContact:
    """Notes when a VM of another failure domain was last heard of.

    Parameters
    ----------
    domain : str
        Failure domain of this VM.
    vms : Vms
        Source of the known VMs.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, domain: str, vms: Vms, clock: Callable[[], float]) -> None:
        self._domain = domain
        self._vms = vms
        self._clock = clock
        self._heard_at: float | None = None  # None: no VM of another domain was ever heard

    def on_gossip(self, address: str, status: peer_pb2.ConfigStatus) -> None:
        """Take note of a message of a VM."""
        far = (r for r in self._vms.vms() if r.domain != self._domain)
        if any(format_address(r.host, r.port) == address for r in far):
            self._heard_at = self._clock()

    @property
    def cut_off(self) -> bool:
        """Whether other domains were heard once and are silent now."""
        return self._heard_at is not None and self._clock() - self._heard_at > CUT_SILENCE_S
