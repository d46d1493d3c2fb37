"""Age arithmetic for the statement "a leader confirmed revision R, N ms ago".

A confirmation ``(revision, at)`` states that everything committed before ``at``, on the clock of
this VM, has at most this revision. ``at`` may be too early but never too late, so ages are never
understated:

- A reply is created after its request was sent, so an age in a reply counts from the sending of the
  request. This adds the whole round trip to the age. An age in an unsolicited message cannot be
  used, because its network delay has no known bound.
- An age is rounded up to whole milliseconds and increased by ``CLOCK_DRIFT_SHARE`` each time it is
  passed on, because the clocks of different VMs run at different rates.
"""

from __future__ import annotations

import math

import attrs

from bramleycrank.proto.peer_pb2 import ConfigStatus

# NTP corrects a clock by at most 500 parts per million, so two clocks drift apart by at most this.
CLOCK_DRIFT_SHARE = 0.001

MAX_AGE_MS = 2**32 - 1


@attrs.frozen
class Confirmation:
    """A leader's confirmation, in the time of this VM's clock.

    Parameters
    ----------
    revision : int
        Upper bound of the revisions that were committed before ``at``.
    at : float
        Time of this VM's clock in seconds.
    """

    revision: int
    at: float

    @classmethod
    def from_reply(cls, status: ConfigStatus, sent_at: float) -> Confirmation | None:
        """Return the confirmation in a reply to a request sent at ``sent_at``, or ``None``."""
        if not status.confirmed or status.leader_age_ms >= MAX_AGE_MS:
            return None
        return cls(status.leader_revision, sent_at - status.leader_age_ms / 1000)

    def merged(self, other: Confirmation | None) -> Confirmation:
        """Return the confirmation that follows from both: the later time, the higher revision."""
        if other is None:
            return self
        return Confirmation(max(self.revision, other.revision), max(self.at, other.at))

    def age_ms(self, now: float) -> int:
        """Return the age to pass on, in milliseconds."""
        age_ms = max(0.0, now - self.at) * 1000 * (1 + CLOCK_DRIFT_SHARE)
        return min(math.ceil(age_ms), MAX_AGE_MS)
