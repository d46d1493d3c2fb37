"""Asks VMs that hold requests of this one whether they respond."""

from __future__ import annotations

import logging
from collections.abc import Callable

from bramleycrank.connections.http_pool import HttpPool
from bramleycrank.connections.http_types import CancelOutcome, PooledSubRequest
from bramleycrank.entry.delegation_headers import Reply
from bramleycrank.observability.traffic import SEGMENT_BYTES
from bramleycrank.scatter.delegation import PeerChoice
from bramleycrank.transport.http1 import Response

log = logging.getLogger(__name__)

CHECK_REQUEST = b"GET / HTTP/1.1\r\nHost: bramleycrank\r\n\r\n"
"""Request that has no offer; any build returns it unstarted at once and tells what it reaches."""


class PeerChecks:
    """Sends checks to VMs and records what is heard from them.

    Parameters
    ----------
    choice : PeerChoice
        Decides which VMs are checked, and chooses among those that respond.
    pool : HttpPool
        Connections to other VMs.
    clock : callable
        Monotonic time in seconds.
    record_traffic : callable
        Called with the VM's id, and the size and the number of calls.
    """

    def __init__(
        self,
        choice: PeerChoice,
        pool: HttpPool,
        clock: Callable[[], float],
        record_traffic: Callable[[str, int, int], None],
    ) -> None:
        self._choice = choice
        self._pool = pool
        self._clock = clock
        self._record_traffic = record_traffic
        self._unanswered: dict[str, PooledSubRequest] = {}

    def tick(self) -> list[str]:
        """Send the checks that are due; return the VMs that have become silent."""
        now = self._clock()
        silent = self._choice.watch.newly_silent(now)
        for vm_id in self._choice.watch.due(now):
            self.check(vm_id)
        return silent

    def check(self, vm_id: str) -> None:
        """Ask a VM whether it responds."""
        previous = self._unanswered.pop(vm_id, None)
        if previous is not None:
            self._pool.cancel(previous, superseded=False)
        now = self._clock()
        self._choice.watch.on_checked(vm_id, now)
        sub = PooledSubRequest(0, vm_id, lambda: CHECK_REQUEST, False, self, now)
        self._unanswered[vm_id] = sub
        self._record_traffic(vm_id, len(CHECK_REQUEST) + SEGMENT_BYTES, 1)
        self._pool.send(sub)

    def on_heard(self, vm_id: str) -> None:
        """Record that a VM has sent something."""
        if self._choice.watch.on_heard(vm_id, self._clock()):
            log.info("entry: VM responds again", extra={"peer": vm_id})

    # Outcomes of checks.

    def on_response(self, sub: PooledSubRequest, response: Response) -> bool:
        """Record that the VM responds, and how many services it reaches."""
        self._record_traffic(sub.target_id, response.size, 0)
        self._unanswered.pop(sub.target_id, None)
        reply = Reply.from_response(response)
        if reply is not None and not reply.started:
            self._choice.on_report(sub.target_id, reply.unreached, self._clock())
        self.on_heard(sub.target_id)
        return True

    def on_lost(self, sub: PooledSubRequest, *, sent: bool, garbled: bool) -> None:
        """Wait until the check times out, as for a VM that does not answer."""

    def on_late(self, sub: PooledSubRequest, response: Response) -> None:
        """Ignore a response; checks are never superseded."""

    def on_cancel_completed(self, sub: PooledSubRequest, outcome: CancelOutcome) -> None:
        """Ignore the end of a check that was replaced by a newer one."""
