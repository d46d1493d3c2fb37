"""Requests that are suspected to crash the targets that run them, as all VMs report them."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

import attrs
import xxhash

from bramleycrank.proto.peer_pb2 import SuspectRequest

CRASHES_TO_QUARANTINE = 3
"""Times that targets must have ended under a request before no target gets it any more."""

QUARANTINE_S = 600.0
"""Time since the last crash or attempt for which a request stays in quarantine, in seconds."""

SUSPICION_S = 60.0
"""The same for a request with fewer crashes."""

MAX_FRESH = 16
"""Maximum number of suspicions attached to a message; the ones that changed last are."""

FRESH_S = 5.0
"""Time after a change for which a suspicion is attached to each message, in seconds. Later it
travels with anti-entropy exchanges only."""

MAX_SUSPECTS = 256
"""Maximum number of suspicions; the oldest ones are forgotten first."""

MAX_CRASH_IDS = 64
"""Maximum number of crashes kept for one request, cleared ones included."""


@attrs.define
class _Suspect:
    """What is known of one request; `seen_at` is the time of its last crash or attempt."""

    service: str
    seen_at: float
    changed_at: float
    crash_ids: dict[int, float] = attrs.field(factory=dict)  # with the time at which each was known
    cleared_ids: set[int] = attrs.field(factory=set)

    @property
    def crashes(self) -> int:
        """Times that targets ended under the request since one answered it."""
        return len(self.crash_ids.keys() - self.cleared_ids)

    @property
    def in_quarantine(self) -> bool:
        return self.crashes >= CRASHES_TO_QUARANTINE


def _lifetime_s(record: SuspectRequest) -> float:
    """Return the time since its last crash for which a suspicion is kept, in seconds."""
    crashes = len(set(record.crash_ids).difference(record.cleared_ids))
    return QUARANTINE_S if crashes >= CRASHES_TO_QUARANTINE else SUSPICION_S


class SuspectTable:
    """Merges the suspicions of all VMs.

    A suspicion is a set of crashes with ids, and the set of those that an answer has cleared. Both
    only grow, so VMs agree after they exchanged them in any order. The id of a crash depends on the
    crashes that were known when the request was sent.

    Load pattern: all targets of a service crash while equal requests are in flight at several VMs.
    These losses have one cause and one id. Only a request that was sent after a crash was known,
    and ends a target as well, is further evidence against it.
    """

    def __init__(self) -> None:
        self._suspects: dict[int, _Suspect] = {}

    def __contains__(self, fingerprint: int) -> bool:
        return fingerprint in self._suspects

    def crashes(self, fingerprint: int) -> int:
        """Return how often targets ended under a request since one answered it."""
        suspect = self._suspects.get(fingerprint)
        return suspect.crashes if suspect is not None else 0

    def in_quarantine(self, fingerprint: int) -> bool:
        """Return whether no target may get a request, other than for a trial."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.in_quarantine

    def renew(self, fingerprint: int, now: float) -> None:
        """Begin the time of a quarantine anew, since the request came again."""
        self._suspects[fingerprint].seen_at = now

    def crashes_in_quarantine(self, fingerprint: int) -> int:
        """Return how many crashes came after those that put a request in quarantine."""
        return max(0, self.crashes(fingerprint) - CRASHES_TO_QUARANTINE)

    def changed_at(self, fingerprint: int) -> float:
        """Return when a crash or an answer of a request last became known."""
        suspect = self._suspects.get(fingerprint)
        return suspect.changed_at if suspect is not None else -math.inf

    def crash_id(self, fingerprint: int, sent_at: float) -> int:
        """Return the id of a crash under a request that was sent at a time in seconds.

        It is the same at all VMs that knew the same crashes when they sent the request.
        """
        suspect = self._suspects.get(fingerprint)
        known = suspect.crash_ids.items() if suspect is not None else ()
        ids = sorted(crash_id for crash_id, known_at in known if known_at <= sent_at)
        return xxhash.xxh64_intdigest(b"%d %b" % (fingerprint, repr(ids).encode()))

    def knows_crash(self, fingerprint: int, crash_id: int) -> bool:
        """Return whether a crash of a request is known, cleared or not."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and crash_id in suspect.crash_ids

    def last_crash_at(self, services: Iterable[str]) -> float:
        """Return when the last uncleared crash of a target of some services became known."""
        wanted = set(services)
        return max(
            (s.changed_at for s in self._suspects.values() if s.crashes and s.service in wanted),
            default=-math.inf,
        )

    def report(self, fingerprint: int, crash_id: int, service: str, now: float) -> SuspectRequest:
        """Add a crash that this VM observed and return the suspicion for other VMs."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._add(fingerprint, service, now)
        if len(suspect.crash_ids) < MAX_CRASH_IDS:
            suspect.crash_ids.setdefault(crash_id, now)
        suspect.seen_at = suspect.changed_at = now
        return self._outgoing(fingerprint, suspect, now)

    def clear(self, fingerprint: int, now: float) -> SuspectRequest | None:
        """Clear all crashes of a request that a target has answered; None if there are none."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return None
        suspect.cleared_ids.update(suspect.crash_ids)
        suspect.changed_at = now
        return self._outgoing(fingerprint, suspect, now)

    def merge(self, records: Iterable[SuspectRequest], now: float) -> list[SuspectRequest]:
        """Add the suspicions of another VM; return those that changed here."""
        changed = []
        for record in records:
            suspect = self._suspects.get(record.fingerprint)
            if suspect is None:
                if record.age_s >= _lifetime_s(record):
                    continue  # it was forgotten here; taking it back would spread it again
                suspect = self._add(record.fingerprint, record.service, now - record.age_s)
            elif suspect.crash_ids.keys() >= set(
                record.crash_ids
            ) and suspect.cleared_ids.issuperset(record.cleared_ids):
                continue
            suspect.crash_ids = dict.fromkeys(record.crash_ids, now) | suspect.crash_ids
            suspect.cleared_ids.update(record.cleared_ids)
            suspect.seen_at = max(suspect.seen_at, now - record.age_s)
            suspect.changed_at = now
            changed.append(self._outgoing(record.fingerprint, suspect, now))
        return changed

    def outgoing(self, now: float, *, fresh_only: bool) -> list[SuspectRequest]:
        """Return the suspicions for a message to another VM."""
        self._forget_old(now)
        selected = self._suspects.items()
        if fresh_only:
            fresh = [item for item in selected if now - item[1].changed_at < FRESH_S]
            selected = sorted(fresh, key=lambda item: -item[1].changed_at)[:MAX_FRESH]
        return [self._outgoing(fingerprint, suspect, now) for fingerprint, suspect in selected]

    def _add(self, fingerprint: int, service: str, now: float) -> _Suspect:
        while len(self._suspects) >= MAX_SUSPECTS:
            oldest = min(self._suspects, key=lambda known: self._suspects[known].seen_at)
            del self._suspects[oldest]
        suspect = self._suspects[fingerprint] = _Suspect(service, now, now)
        return suspect

    def _forget_old(self, now: float) -> None:
        for fingerprint, suspect in list(self._suspects.items()):
            lifetime_s = QUARANTINE_S if suspect.in_quarantine else SUSPICION_S
            if now - suspect.seen_at > lifetime_s:
                del self._suspects[fingerprint]

    @staticmethod
    def _outgoing(fingerprint: int, suspect: _Suspect, now: float) -> SuspectRequest:
        return SuspectRequest(
            fingerprint=fingerprint,
            crash_ids=sorted(suspect.crash_ids),
            cleared_ids=sorted(suspect.cleared_ids),
            age_s=math.ceil(max(0.0, now - suspect.seen_at)),
            service=suspect.service,
        )

    def dump(self, now: float) -> dict[str, Any]:
        """Return the suspicions by fingerprint."""
        return {
            f"{fingerprint:016x}": {
                "crashes": suspect.crashes,
                "cleared": len(suspect.cleared_ids),
                "in_quarantine": suspect.in_quarantine,
                "service": suspect.service,
                "seen_before_s": round(now - suspect.seen_at, 1),
            }
            for fingerprint, suspect in self._suspects.items()
        }
