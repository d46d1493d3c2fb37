"""A loopback proxy in front of a target that delays, refuses or drops its traffic."""

from __future__ import annotations

import enum

from harness.processes import HOST
from harness.relay import Relay


class Mode(enum.StrEnum):
    """How the proxy treats connections and their data."""

    PASS = "pass"
    DELAY = "delay"  # each chunk is forwarded after a delay
    REFUSE = "refuse"  # open and new connections are reset
    DEAF = "deaf"  # requests to the target are dropped
    MUTE = "mute"  # responses of the target are dropped
    SILENT = "silent"  # both directions are dropped; connections stay open


class Proxy(Relay):
    """Forwards connections to a port of this host.

    Parameters
    ----------
    port : int
        Port of the target.
    """

    def __init__(self, port: int) -> None:
        super().__init__(HOST, port)
        self._mode = Mode.PASS

    def set(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Change the mode; `Mode.REFUSE` also resets the open connections."""
        self._mode = mode
        self.delay_s = delay_s if mode is Mode.DELAY else 0.0
        if mode is Mode.REFUSE:
            self.refuse_connections()
        else:
            self.heal()

    def _drops(self, *, from_server: bool) -> bool:
        return self._mode in (Mode.SILENT, Mode.MUTE if from_server else Mode.DEAF)
