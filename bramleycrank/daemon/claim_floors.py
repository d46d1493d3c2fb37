"""Advances the claim floor, below which the replicated state drops claims."""

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

FLOOR_PERIOD_S = 10.0
"""Interval at which the leader checks whether claims can be dropped, in seconds."""


class Consensus(Protocol):
    """The consensus node of this VM."""

    @property
    def state(self) -> ReplicatedState | None:
        """Replicated state as applied on this VM; None if there is none."""

    @property
    def is_leader(self) -> bool:
        """Whether this VM considers itself the leader."""

    async def propose_local(
        self, proposal_id: str, command: log_pb2.Command, timeout_s: float
    ) -> log_pb2.CommandResult:
        """Commit a command as the leader."""


class ClaimFloorProposer:
    """Proposes periodically to drop old claims while this VM is the leader.

    Parameters
    ----------
    consensus : Consensus
        The consensus node of this VM.
    """

    def __init__(self, consensus: Consensus) -> None:
        self._consensus = consensus
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the periodic proposals."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop the periodic proposals."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(FLOOR_PERIOD_S)
            try:
                await self._propose()
            except BramleycrankError as exc:
                log.info("consensus: claim floor was not advanced: %s", exc)
            except Exception:
                log.exception("consensus: claim floor was not advanced")

    async def _propose(self) -> None:
        state = self._consensus.state
        command = state.floor_proposal(int(time.time() * 1000)) if state else None
        if command is not None and self._consensus.is_leader:
            await self._consensus.propose_local(uuid.uuid4().hex, command, FLOOR_PERIOD_S)
