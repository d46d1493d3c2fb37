"""Tells other VMs which requests are suspected to crash the targets that run them."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from bramleycrank.membership.suspects import SuspectTable
from bramleycrank.proto.peer_pb2 import Gossip, SuspectRequest

log = logging.getLogger(__name__)


class SuspectExchange:
    """The suspicions of this VM and of the others.

    Changes are sent at once to a few VMs, which do the same, and are attached to all messages of
    the membership for some seconds. An anti-entropy exchange has them all, so that a VM that joins
    or was cut off receives them.

    Parameters
    ----------
    spread : callable, optional
        Sends the fresh suspicions to a few other VMs.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self, clock: Callable[[], float], spread: Callable[[], None] | None = None
    ) -> None:
        self._clock = clock
        self._spread = spread or (lambda: None)
        self.table = SuspectTable()

    def report(self, fingerprint: int, service: str, sent_at: float | None = None) -> None:
        """Report that targets of a service ended while they ran a request.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of the request.
        service : str
            Service of a target that ended.
        sent_at : float, optional
            Time at which the request was sent to the first of them, in seconds; now by default.
        """
        now = self._clock()
        crash_id = self.table.crash_id(fingerprint, now if sent_at is None else sent_at)
        if not self.table.knows_crash(fingerprint, crash_id):
            self._on_change([self.table.report(fingerprint, crash_id, service, now)])

    def clear(self, fingerprint: int) -> None:
        """Report that a target has answered a request that was suspected."""
        record = self.table.clear(fingerprint, self._clock())
        if record is not None:
            self._on_change([record])

    def attach(self, gossip: Gossip, *, complete: bool) -> None:
        """Add the suspicions to a message: all of them, or those that changed recently."""
        del gossip.suspects[:]
        gossip.suspects.extend(self.table.outgoing(self._clock(), fresh_only=not complete))

    def merge(self, gossip: Gossip) -> None:
        """Take over the suspicions of another VM, and send on what is new."""
        changed = self.table.merge(gossip.suspects, self._clock()) if gossip.suspects else []
        if changed:
            self._on_change(changed)

    def _on_change(self, records: Iterable[SuspectRequest]) -> None:
        for record in records:
            fingerprint = record.fingerprint
            log.info(
                "suspects: %s",
                "request in quarantine"
                if self.table.in_quarantine(fingerprint)
                else "request is suspected to crash targets"
                if self.table.crashes(fingerprint)
                else "suspicion cleared",
                extra={
                    "fingerprint": f"{fingerprint:016x}",
                    "crashes": self.table.crashes(fingerprint),
                    "service": record.service,
                },
            )
        self._spread()
