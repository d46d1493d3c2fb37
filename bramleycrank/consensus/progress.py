"""Replication progress of one member as the leader knows it."""

from __future__ import annotations

import attrs

# A member that answers heartbeats but no large messages is sent one every 8 pauses.
MAX_BACKOFF = 8


@attrs.frozen
class LargeSend:
    """Large messages that a member has not answered, with the small ones after them.

    Parameters
    ----------
    index : int
        Index of the last entry that it covers.
    due : float
        Time after which it counts as lost unless the member makes progress, in seconds.
    snapshot_bytes : int
        Size of the snapshot in bytes; 0 for entries.
    """

    index: int
    due: float
    snapshot_bytes: int = 0


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
    large_send : LargeSend or None
        Large messages or a snapshot in flight; ``None`` if all have been answered.
    refused : bool
        Whether the member refused a message beside a large one, which may have overtaken it.
    lost_sends : int
        Large sends that were lost since the last progress.
    large_from : float
        Time from which a large message may be sent, in seconds.
    removed_at : int
        Index of the entry that removes the member; 0 if none does.
    """

    next_index: int
    heard_at: float
    match_index: int = 0
    probing: bool = True
    acked_round: int = 0
    large_send: LargeSend | None = None
    refused: bool = False
    lost_sends: int = 0
    large_from: float = 0.0
    removed_at: int = 0

    def on_match(self, index: int) -> None:
        """Record that the member's synced log equals the leader's up to ``index``."""
        if index > self.match_index:
            self.match_index, self.lost_sends = index, 0
            if self.refused:
                # What followed has been refused too.
                self.next_index, self.large_send, self.refused = index + 1, None, False
        if self.large_send is not None and index >= self.large_send.index:
            self.large_send = None
        self.next_index = max(self.next_index, self.match_index + 1)
        self.probing = False

    def on_large_lost(self, now: float, pause_s: float) -> None:
        """Record that large messages were lost; the log is compared again before the next one.

        Parameters
        ----------
        now : float
            Current time in seconds.
        pause_s : float
            Time without large messages in seconds; each further loss in a row doubles it.
        """
        self.large_send, self.refused = None, False
        self.large_from = now + pause_s * min(2**self.lost_sends, MAX_BACKOFF)
        self.lost_sends += 1
        self.next_index, self.probing = self.match_index + 1, True

    def on_conflict(self, index: int) -> bool:
        """Lower ``next_index`` to ``index``; repeated replies return false."""
        new_next_index = max(self.match_index + 1, index)
        if new_next_index >= self.next_index:
            return False
        self.next_index = new_next_index
        self.probing = True
        return True
