"""Carries commands to the leader of the replicated log from any VM."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

import attrs

from bramleycrank.exceptions import (
    BramleycrankError,
    NoQuorum,
    NotBootstrapped,
    NotLeader,
    Outcome,
    PeerUnreachable,
    ProposalOutcomeUnknown,
    RemoteError,
)
from bramleycrank.proto import log_pb2, peer_pb2
from bramleycrank.transport.peer_client import PeerClients

# One attempt may not use up the whole deadline: the leader may be frozen while another one stands.
ATTEMPT_S = 1.0

# Pause between attempts while no leader is known, in seconds; half of it is random.
RETRY_PAUSE_S = 0.06


class Local(Protocol):
    """Proposes on this VM."""

    def __call__(
        self, proposal_id: str, command: log_pb2.Command, timeout_s: float
    ) -> Awaitable[log_pb2.CommandResult]:
        """Return the result, or raise `NotLeader` if the command is in no log."""


@attrs.define
class RouterStats:
    """Counts of the router."""

    proposals: int = 0
    attempts: int = 0
    redirects: int = 0
    no_quorum: int = 0
    outcome_unknown: int = 0


@attrs.define
class _Round:
    """One proposal under way."""

    proposal_id: str
    command: log_pb2.Command
    deadline: float
    hint: str = ""
    hinted: set[str] = attrs.field(factory=set)
    may_be_logged: bool = False
    last_error: str = "no leader is known"


class ProposalRouter:
    """Sends a command to the leader and repeats it while the deadline allows.

    A repeated proposal has the same id, and its command the same change or attempt id, so the
    replicated state executes it once even if two copies are committed.

    Parameters
    ----------
    own_address : str
        ``host:port`` of this VM.
    local : Local
        Proposes on this VM.
    leader_address : callable
        Returns ``host:port`` of the leader as far as this VM knows, or an empty string.
    candidates : callable
        Returns addresses of VMs that may know the leader.
    clients : PeerClients
        Connections to other VMs.
    rng : random.Random
        Spreads retries and the choice among candidates.
    """

    def __init__(
        self,
        own_address: str,
        local: Local,
        leader_address: Callable[[], str],
        candidates: Callable[[], Sequence[str]],
        clients: PeerClients,
        rng: random.Random,
    ) -> None:
        self._own_address = own_address
        self._local = local
        self._leader_address = leader_address
        self._candidates = candidates
        self._clients = clients
        self._rng = rng
        self.stats = RouterStats()

    async def propose(self, command: log_pb2.Command, timeout_s: float) -> log_pb2.CommandResult:
        """Return the result of a committed command.

        Raises
        ------
        NoQuorum
            The command was never put into a log and never will be.
        ProposalOutcomeUnknown
            The command may still be committed.
        """
        loop = asyncio.get_running_loop()
        self.stats.proposals += 1
        turn = _Round(uuid.uuid4().hex, command, loop.time() + timeout_s)
        while (left := turn.deadline - loop.time()) > 0:
            result = await self._attempt(turn, min(left, ATTEMPT_S))
            if result is not None:
                return result
            # VMs that name each other while no leader stands must not be asked without end.
            if not turn.hint or turn.hint in turn.hinted:
                pause = RETRY_PAUSE_S * (0.5 + 0.5 * self._rng.random())
                await asyncio.sleep(min(pause, max(turn.deadline - loop.time(), 0)))
            turn.hinted.add(turn.hint)
        raise self._final_error(turn, timeout_s)

    async def _attempt(self, turn: _Round, timeout_s: float) -> log_pb2.CommandResult | None:
        address, turn.hint = turn.hint or self._next_address(), ""
        if not address:
            return None
        self.stats.attempts += 1
        try:
            return await self._send(turn, address, timeout_s)
        except NotLeader as exc:
            turn.last_error = str(exc)
            if exc.leader_address not in ("", address):
                self.stats.redirects += 1
                turn.hint = exc.leader_address
        except (NoQuorum, NotBootstrapped) as exc:
            turn.last_error = str(exc)
        except ProposalOutcomeUnknown as exc:
            turn.may_be_logged = True
            turn.last_error = str(exc)
        except (PeerUnreachable, RemoteError) as exc:
            turn.may_be_logged |= exc.outcome is Outcome.UNKNOWN
            turn.last_error = str(exc)
        return None

    async def _send(self, turn: _Round, address: str, timeout_s: float) -> log_pb2.CommandResult:
        if address == self._own_address:
            return await self._local(turn.proposal_id, turn.command, timeout_s)
        request = peer_pb2.ProposeRequest(
            proposal_id=turn.proposal_id,
            command=turn.command,
            timeout_ms=max(1, int(timeout_s * 1000)),
        )
        reply = await self._clients.stub(address).Propose(request, timeout=timeout_s)
        return reply.result

    def _next_address(self) -> str:
        known = self._leader_address()
        if known:
            return known
        candidates = self._candidates()
        return self._rng.choice(candidates) if candidates else ""

    def _final_error(self, turn: _Round, timeout_s: float) -> BramleycrankError:
        text = f"{turn.last_error}; gave up after {timeout_s:.1f} s"
        if turn.may_be_logged:
            self.stats.outcome_unknown += 1
            return ProposalOutcomeUnknown(text)
        self.stats.no_quorum += 1
        return NoQuorum(text, outcome=Outcome.NOT_RUN)
