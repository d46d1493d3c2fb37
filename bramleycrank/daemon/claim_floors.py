"""Moves the floor of claims, so that old ones can be dropped."""

from __future__ import annotations

import asyncio
import logging
import time
import uuid
from typing import Protocol

from bramleycrank.exceptions import BramleycrankError
from bramleycrank.proto import log_pb2
from bramleycrank.state import ReplicatedState

log = logging.getLogger(__name__)

# How often the leader checks whether claims can be dropped, in seconds.
FLOOR_PERIOD_S = 10.0


class Consensus(Protocol):
    """The part of this VM in the log."""

    @property
    def state(self) -> ReplicatedState | None:
        """Replicated state as applied here."""

    @property
    def is_leader(self) -> bool:
        """Whether this VM believes that it leads."""

    async def propose_local(
        self, proposal_id: str, command: log_pb2.Command, timeout_s: float
    ) -> log_pb2.CommandResult:
        """Commit a command as the leader."""


class ClaimFloors:
    """Proposes to drop old claims while this VM leads.

    Parameters
    ----------
    consensus : Consensus
        This VM's part in the log.
    """

    def __init__(self, consensus: Consensus) -> None:
        self._consensus = consensus
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to propose."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(FLOOR_PERIOD_S)
            try:
                await self._propose()
            except BramleycrankError as exc:
                log.info("consensus: floor of claims not moved: %s", exc)
            except Exception:
                log.exception("consensus: floor of claims not moved")

    async def _propose(self) -> None:
        state = self._consensus.state
        command = state.floor_proposal(int(time.time() * 1000)) if state else None
        if command is not None and self._consensus.is_leader:
            await self._consensus.propose_local(uuid.uuid4().hex, command, FLOOR_PERIOD_S)
