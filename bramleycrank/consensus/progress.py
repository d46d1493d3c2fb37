"""What a leader knows of one other member."""

from __future__ import annotations

import attrs


@attrs.define
class Progress:
    """Replication to one member.

    Parameters
    ----------
    next_index : int
        First entry that has not been sent.
    heard_at : float
        Time of the last reply in this term, in seconds; before it the start of the tracking.
    match_index : int
        Last entry known to be synced on the member.
    probing : bool
        Whether the common point of the logs is unknown; then one message at a time is sent.
    acked_round : int
        Highest heartbeat round that the member answered.
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
        """Record that the member's log equals the leader's up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False

    def on_conflict(self, index: int) -> bool:
        """Move back to ``index``; returns whether that is news, so repeated replies do nothing."""
        target = max(self.match_index + 1, index)
        if target >= self.next_index:
            return False
        self.next_index = target
        self.probing = True
        return True
