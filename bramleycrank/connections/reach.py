"""Decides whether this VM has lost its links to all targets."""

from __future__ import annotations

import enum
import random
from collections.abc import Collection, Mapping

MIN_SILENT_TARGETS = 3
"""Targets that must owe a reply at the same time before their silence says anything of the VM."""

MIN_SILENCE_S = 0.1
"""Least time without a sign of any target that raises a suspicion, in seconds."""

OVERDUE_FACTOR = 3.0
"""Multiple of a target's usual latency after which it owes a reply."""

CONFIRM_S = 0.1
"""Time for which targets of all failure domains may take to accept a connection, in seconds; the
kernel accepts it, however busy the target is."""

RECHECK_S = 1.0
"""Least time between two suspicions, in seconds."""

PROBE_PERIOD_S = 0.5
"""Interval between the attempts of a cut VM to reach a target of each domain, in seconds."""

PROBE_JITTER = 0.3
"""Random part of that interval, so that cut VMs do not return at the same moment."""

RETURN_S = 2.0
"""Time in which a VM takes its work back after a cut, in seconds."""

STALL_S = 0.3
"""Time without a check after which the silence may be this VM's own, in seconds."""


class Reach(enum.StrEnum):
    """What a VM believes of its links to the targets."""

    CONNECTED = "connected"
    SUSPECT = "suspect"  # nothing was heard; new connections will show why
    CUT = "cut"
    RETURNING = "returning"  # a target was reached again


class ReachMonitor:
    """Tells a cut of this VM's links from targets that are slow, silent or down.

    Links that hang report no error. If several targets owe a reply and none gives any sign, a
    connection is opened to one target of each failure domain; the VM counts as cut off if none of
    these opens. One that opens ends the suspicion or the cut.

    Parameters
    ----------
    rng : random.Random
        Source of random choices.
    now : float
        Current time in seconds.
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        self._rng = rng
        self.state = Reach.CONNECTED
        self._since = now
        self._heard_at = now
        self._checked_at = now
        self._suspected_at = now - RECHECK_S
        self._probe_at = now

    @property
    def is_cut(self) -> bool:
        """Whether this VM reaches no target."""
        return self.state is Reach.CUT

    def cut_for(self, now: float) -> float | None:
        """Return for how long this VM has been cut off, in seconds; None if it is not."""
        return now - self._since if self.is_cut else None

    def is_probe_due(self, now: float) -> bool:
        """Return whether `targets_to_probe` names targets now."""
        return self.is_probing and now >= self._probe_at

    @property
    def is_probing(self) -> bool:
        """Whether a few targets are connected to find out whether any can be reached."""
        return self.state in (Reach.SUSPECT, Reach.CUT)

    def serves_locally(self, now: float) -> bool:
        """Return whether this VM should do the work of one more request itself.

        Load pattern: a cut ends, and the VMs that did the work of others hand it back.
        """
        if self.state is Reach.RETURNING:
            return self._rng.random() * RETURN_S < now - self._since
        return not self.is_cut

    def on_heard(self, now: float) -> bool:
        """Record a sign of a target; return whether it changed the state."""
        self._heard_at = now
        if self.state is Reach.SUSPECT:
            return self._enter(Reach.CONNECTED, now)
        return self.is_cut and self._enter(Reach.RETURNING, now)

    def on_target_down(self, now: float) -> None:
        """Raise a suspicion if a target is down and no other one has given a sign."""
        self._suspect_after_silence(now)

    def check(self, overdue_targets: int, now: float) -> bool:
        """Check the state; must be called every few dozen milliseconds.

        Parameters
        ----------
        overdue_targets : int
            Targets that have owed a reply for longer than is usual for them.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the state has changed.
        """
        if now - self._checked_at > STALL_S:
            self._heard_at = now
            if self.state is Reach.SUSPECT:
                self._enter(Reach.CONNECTED, now)
        self._checked_at = now
        before = self.state
        if before is Reach.SUSPECT and now - self._since >= CONFIRM_S:
            self._enter(Reach.CUT, now)
        elif before is Reach.RETURNING and now - self._since >= RETURN_S:
            self._enter(Reach.CONNECTED, now)
        elif overdue_targets >= MIN_SILENT_TARGETS:
            self._suspect_after_silence(now)
        return self.state is not before

    def _suspect_after_silence(self, now: float) -> None:
        silent = now - self._heard_at >= MIN_SILENCE_S
        if (
            silent
            and self.state in (Reach.CONNECTED, Reach.RETURNING)
            and now - self._suspected_at >= RECHECK_S
        ):
            self._suspected_at = now
            self._enter(Reach.SUSPECT, now)

    def _enter(self, state: Reach, now: float) -> bool:
        self.state, self._since = state, now
        self._probe_at = now
        return True

    @staticmethod
    def patience(latency_s: float) -> float:
        """Return the time after which a target of the given latency owes a reply, in seconds."""
        return max(MIN_SILENCE_S, OVERDUE_FACTOR * latency_s)

    def targets_to_probe(self, domains: Mapping[str, Collection[str]], now: float) -> list[str]:
        """Return the targets to connect to now: one of each domain, and two of a single one.

        Parameters
        ----------
        domains : mapping of str to collection of str
            Targets of each failure domain.
        now : float
            Current time in seconds.
        """
        if not self.is_probe_due(now):
            return []
        jitter = 1 + PROBE_JITTER * (2 * self._rng.random() - 1)
        self._probe_at = now + PROBE_PERIOD_S * jitter
        count = 1 if len(domains) > 1 else 2
        return [
            target_id
            for target_ids in domains.values()
            for target_id in self._rng.sample(sorted(target_ids), min(count, len(target_ids)))
        ]

    def dump(self, now: float) -> dict[str, object]:
        """Return the state and for how long it has lasted, in seconds."""
        return {"state": self.state, "since_s": round(now - self._since, 2)}
