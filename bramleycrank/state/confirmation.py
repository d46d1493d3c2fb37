"""Age arithmetic for "a leader confirmed revision R, N ms ago".

A confirmation ``(revision, at)`` says: everything that was committed before the own time ``at``
has at most this revision. ``at`` may be too early but never too late, so ages are never
understated:

- A reply was made after its request was sent, so an age in a reply counts from the sending of the
  request. The whole round trip is added to the age. An age in a message that was not asked for
  cannot be used, because nothing bounds its time in flight.
- An age is rounded up to whole milliseconds and lengthened by the clock allowance each time it is
  passed on, because clocks of different VMs do not run equally fast.
"""

from __future__ import annotations

import math

import attrs

from bramleycrank.proto.peer_pb2 import ConfigStatus

# Quartz clocks, steered by NTP at up to 500 parts per million each, differ by less than this.
CLOCK_ALLOWANCE = 0.001

MAX_AGE_MS = 2**32 - 1


@attrs.frozen
class Confirmation:
    """A leader's confirmation in own time.

    Parameters
    ----------
    revision : int
        No commit before ``at`` has a higher revision.
    at : float
        Own time in seconds.
    """

    revision: int
    at: float

    @classmethod
    def from_reply(cls, status: ConfigStatus, sent_at: float) -> Confirmation | None:
        """Return what a reply to a request sent at ``sent_at`` proves; ``None`` if nothing."""
        if not status.confirmed or status.leader_age_ms >= MAX_AGE_MS:
            return None
        return cls(status.leader_revision, sent_at - status.leader_age_ms / 1000)

    def merged(self, other: Confirmation | None) -> Confirmation:
        """Return a confirmation that is true if both are: the later time, the higher revision."""
        if other is None:
            return self
        return Confirmation(max(self.revision, other.revision), max(self.at, other.at))

    def age_ms(self, now: float) -> int:
        """Return the age to pass on, in milliseconds."""
        age_ms = max(0.0, now - self.at) * 1000 * (1 + CLOCK_ALLOWANCE)
        return min(math.ceil(age_ms), MAX_AGE_MS)
