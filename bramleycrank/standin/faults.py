"""Faults of one stand-in target and the service times that follow from them."""

from __future__ import annotations

import enum
import math
from random import Random

import attrs

from bramleycrank.proto.standin_pb2 import FaultRequest
from bramleycrank.standin.settings import TimingSettings


class Disposition(enum.Enum):
    """What happens to a sub-request."""

    RUN = "run"
    SHED = "shed"
    FAIL = "fail"


@attrs.define
class Faults:
    """Faults in force; zero means none.

    Parameters
    ----------
    latency_ms : float
        Median service time in milliseconds that replaces the one of the settings.
    straggler_share, shed_share, fail_share : float
        Shares of the sub-requests.
    straggler_factor : float
        Factor on the service time of stragglers.
    frozen : bool
        Whether the target answers nothing.
    """

    latency_ms: float = 0.0
    straggler_share: float = 0.0
    straggler_factor: float = 20.0
    shed_share: float = 0.0
    fail_share: float = 0.0
    frozen: bool = False

    def updated(self, req: FaultRequest) -> Faults:
        """Return the faults after a request; fields of the request that are 0 change nothing."""
        base = Faults() if req.reset else self
        given = {
            name: getattr(req, name)
            for name in (field.name for field in attrs.fields(Faults))
            if getattr(req, name)
        }
        return attrs.evolve(base, **given)


class ServiceTimes:
    """Draws the disposition and the service time of sub-requests.

    Parameters
    ----------
    cfg : TimingSettings
        Distribution of the service times.
    rng : Random
        Seeded generator.
    started_at : float
        When the target started, in seconds of the loop's clock.
    """

    def __init__(self, cfg: TimingSettings, rng: Random, started_at: float) -> None:
        self.faults = Faults()
        self._cfg = cfg
        self._rng = rng
        self._started_at = started_at

    def disposition(self) -> Disposition:
        """Draw what happens to the next sub-request."""
        faults = self.faults
        if faults.shed_share and self._rng.random() < faults.shed_share:
            return Disposition.SHED
        if faults.fail_share and self._rng.random() < faults.fail_share:
            return Disposition.FAIL
        return Disposition.RUN

    def draw(self, now: float) -> float:
        """Draw a service time in seconds."""
        median_ms = self.median_ms
        if median_ms <= 0:
            return 0.0
        drawn_ms = self._rng.lognormvariate(math.log(median_ms), self._cfg.sigma)
        faults = self.faults
        if faults.straggler_share and self._rng.random() < faults.straggler_share:
            drawn_ms *= faults.straggler_factor
        return drawn_ms * self._cold_factor(now) / 1000

    @property
    def median_ms(self) -> float:
        """Median service time of a warm target in milliseconds."""
        return self.faults.latency_ms or self._cfg.latency_ms

    def _cold_factor(self, now: float) -> float:
        age = now - self._started_at
        if age >= self._cfg.cold_s:
            return 1.0
        return 1.0 + (self._cfg.cold_factor - 1.0) * (1.0 - age / self._cfg.cold_s)
