"""Detection of replies that still arrive in a steady stream."""

from __future__ import annotations

import attrs

STRAGGLER_SHARE = 0.25
"""Maximum share of missing shards that are treated as stragglers rather than part of a stream."""

STREAM_GAP_FACTOR = 4.0
"""Time without a reply after which a stream has stopped, as a multiple of the mean spacing."""

LATEST_STREAM_SHARE = 0.5
"""Share of the latency objective for which hedges may wait for a stream; they need the rest."""


@attrs.define
class ReplyStream:
    """Arrival times of the replies to one request.

    Load pattern: many shards behind a link of low bandwidth or a slow processor. The missing
    replies are in transit; hedges would queue behind them and delay all of them.

    Parameters
    ----------
    shards : int
        Number of replies to expect.
    latest : float
        Time until which hedges wait for the stream, in seconds.
    """

    shards: int
    latest: float
    count: int = 0
    first_at: float = 0.0
    last_at: float = 0.0

    def on_reply(self, now: float) -> None:
        """Count a reply."""
        if not self.count:
            self.first_at = now
        self.count += 1
        self.last_at = now

    def next_reply_due(self, lost: int) -> float:
        """Return when the next reply should have come without a hedge; 0 if there is no stream.

        Parameters
        ----------
        lost : int
            Number of shards that will not reply.
        """
        missing = self.shards - self.count - lost
        if self.count < 2 or missing <= STRAGGLER_SHARE * self.shards:
            return 0.0
        spacing_s = (self.last_at - self.first_at) / (self.count - 1)
        return min(self.last_at + STREAM_GAP_FACTOR * spacing_s, self.latest)
