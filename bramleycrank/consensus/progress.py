"""Replication progress of one member as the leader knows it."""

from __future__ import annotations

import attrs


@attrs.define
class Progress:
    """Replication progress of one member.

    Parameters
    ----------
    next_index : int
        Index of the next entry to send.
    heard_at : float
        Time of the last reply in this term, in seconds; without one, the start of the tracking.
    match_index : int
        Index of the last entry known to be synced on the member.
    probing : bool
        Whether the last common entry of the logs is unknown; then one message is sent at a time.
    acked_round : int
        Highest heartbeat round that the member replied to.
    snapshot_due : float or None
        Time at which an unanswered snapshot is sent again; ``None`` if none is in flight.
    removed_at : int
        Index of the entry that removes the member; 0 if none does.
    """

    next_index: int
    heard_at: float
    match_index: int = 0
    probing: bool = True
    acked_round: int = 0
    snapshot_due: float | None = None
    removed_at: int = 0

    def on_match(self, index: int) -> None:
        """Record that the member's synced log equals the leader's up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False

    def on_conflict(self, index: int) -> bool:
        """Lower ``next_index`` to ``index``; repeated replies return false."""
        new_next_index = max(self.match_index + 1, index)
        if new_next_index >= self.next_index:
            return False
        self.next_index = new_next_index
        self.probing = True
        return True
