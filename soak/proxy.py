"""A loopback proxy before a target, which delays, resets, cuts and silences connections."""

from __future__ import annotations

import enum

from harness.processes import HOST
from harness.relay import Relay


class Mode(enum.StrEnum):
    """What the proxy does with what it should pass on."""

    PASS = "pass"
    DELAY = "delay"  # every chunk comes later
    REFUSE = "refuse"  # new connections are reset, open ones are cut
    DEAF = "deaf"  # the target hears nothing, one way only
    MUTE = "mute"  # the caller hears nothing, one way only
    SILENT = "silent"  # nothing passes either way, and nothing is reset


class Proxy(Relay):
    """Passes connections on to a port of this machine.

    Parameters
    ----------
    port : int
        Port of the target.
    """

    def __init__(self, port: int) -> None:
        super().__init__(HOST, port)
        self._mode = Mode.PASS

    def set(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Change the mode; open connections are cut where new ones are reset."""
        self._mode = mode
        self.delay_s = delay_s if mode is Mode.DELAY else 0.0
        if mode is Mode.REFUSE:
            self.cut()
        else:
            self.heal()

    def _drops(self, *, answers: bool) -> bool:
        return self._mode in (Mode.SILENT, Mode.MUTE if answers else Mode.DEAF)
