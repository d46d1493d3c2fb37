"""Whether the answers of a gathered request are still coming in, one after the other."""

from __future__ import annotations

import attrs

STRAGGLER_SHARE = 0.25
"""Part of the shards up to which those without an answer are stragglers, not a stream."""

STREAM_GAP = 4.0
"""Time without an answer after which a stream of them has stopped, in times of their spacing."""

LATEST_STREAM_SHARE = 0.5
"""Part of the latency objective after which a stream is not waited for; hedges need the rest."""


@attrs.define
class AnswerStream:
    """Answers of one request as they arrive.

    Load pattern: many shards behind a thin link or a slow processor. The parts that have not come
    yet are on their way; second ones would queue behind them and make all of them later.

    Parameters
    ----------
    shards : int
        Number of answers to expect.
    latest : float
        Time until which a stream is waited for, in seconds.
    """

    shards: int
    latest: float
    count: int = 0
    first_at: float = 0.0
    last_at: float = 0.0

    def on_answer(self, now: float) -> None:
        """Count an answer."""
        if not self.count:
            self.first_at = now
        self.count += 1
        self.last_at = now

    def until(self, lost: int) -> float:
        """Return the time until which the next answer is expected to come by itself.

        Parameters
        ----------
        lost : int
            Shards that will not answer.
        """
        missing = self.shards - self.count - lost
        if self.count < 2 or missing <= STRAGGLER_SHARE * self.shards:
            return 0.0
        spacing_s = (self.last_at - self.first_at) / (self.count - 1)
        return min(self.last_at + STREAM_GAP * spacing_s, self.latest)
