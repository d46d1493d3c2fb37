"""Injected faults of one stand-in target and the service times that result."""

from __future__ import annotations

import enum
import math
from random import Random

import attrs

from bramleycrank.proto.standin_pb2 import FaultRequest
from bramleycrank.standin.settings import TimingSettings


class Disposition(enum.Enum):
    """How a target handles a sub-request."""

    RUN = "run"
    SHED = "shed"
    FAIL = "fail"


@attrs.define
class Faults:
    """Injected faults; zero means no fault.

    Parameters
    ----------
    latency_ms : float
        Median service time in milliseconds; overrides the setting.
    straggler_share, shed_share, fail_share : float
        Shares of sub-requests that are stragglers, shed or failed, 0 to 1.
    straggler_factor : float
        Factor on the service time of stragglers.
    frozen : bool
        Whether the target sends nothing and stops renewing its lease.
    """

    latency_ms: float = 0.0
    straggler_share: float = 0.0
    straggler_factor: float = 20.0
    shed_share: float = 0.0
    fail_share: float = 0.0
    frozen: bool = False

    def updated(self, req: FaultRequest) -> Faults:
        """Return the faults with a request applied; fields that are 0 keep their value."""
        base = Faults() if req.reset else self
        overrides = {
            name: getattr(req, name)
            for name in (field.name for field in attrs.fields(Faults))
            if getattr(req, name)
        }
        return attrs.evolve(base, **overrides)


class ServiceTimes:
    """Draws the outcome and the service time of sub-requests.

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

    def draw_disposition(self) -> Disposition:
        """Draw how the next sub-request is handled."""
        faults = self.faults
        if faults.shed_share and self._rng.random() < faults.shed_share:
            return Disposition.SHED
        if faults.fail_share and self._rng.random() < faults.fail_share:
            return Disposition.FAIL
        return Disposition.RUN

    def draw_service_time_s(self, now: float) -> float:
        """Draw a service time in seconds."""
        median_ms = self.median_ms
        if median_ms <= 0:
            return 0.0
        service_time_ms = self._rng.lognormvariate(math.log(median_ms), self._cfg.sigma)
        faults = self.faults
        if faults.straggler_share and self._rng.random() < faults.straggler_share:
            service_time_ms *= faults.straggler_factor
        return service_time_ms * self._current_cold_factor(now) / 1000

    @property
    def median_ms(self) -> float:
        """Median service time of a warm target in milliseconds."""
        return self.faults.latency_ms or self._cfg.latency_ms

    def _current_cold_factor(self, now: float) -> float:
        age_s = now - self._started_at
        if age_s >= self._cfg.cold_s:
            return 1.0
        return 1.0 + (self._cfg.cold_factor - 1.0) * (1.0 - age_s / self._cfg.cold_s)
