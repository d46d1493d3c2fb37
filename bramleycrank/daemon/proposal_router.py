"""Sends commands from any VM to the leader of the replicated log."""

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

# Timeout of one attempt, in seconds. It leaves time for others before the deadline, because the
# known leader may be frozen while another one has been elected.
ATTEMPT_TIMEOUT_S = 1.0

# Longest delay between attempts while no leader is known, in seconds; half of it is random.
RETRY_DELAY_S = 0.06


class LocalProposer(Protocol):
    """Proposes a command to the consensus node of this VM."""

    def __call__(
        self, proposal_id: str, command: log_pb2.Command, timeout_s: float
    ) -> Awaitable[log_pb2.CommandResult]:
        """Return the result; raise `NotLeader` if the command was not appended to a log."""


@attrs.define
class RouterStats:
    """Counters of the router."""

    proposals: int = 0
    attempts: int = 0
    redirects: int = 0
    no_quorum: int = 0
    outcome_unknown: int = 0


@attrs.define
class _Proposal:
    """State of a proposal in progress."""

    proposal_id: str
    command: log_pb2.Command
    deadline: float
    leader_hint: str = ""
    tried_hints: set[str] = attrs.field(factory=set)
    may_be_appended: bool = False
    last_error: str = "no leader is known"


class ProposalRouter:
    """Sends a command to the leader and retries until the deadline.

    A retry has the same proposal id, and its command the same change or attempt id, so the
    replicated state applies it once even if two copies are committed.

    Parameters
    ----------
    own_address : str
        ``host:port`` of this VM.
    local : LocalProposer
        Proposes a command to the consensus node of this VM.
    leader_address : callable
        Returns ``host:port`` of the leader that this VM knows, or an empty string.
    candidates : callable
        Returns addresses of VMs that may know the leader.
    clients : PeerClients
        Connections to other VMs.
    rng : random.Random
        Source of the random delays and of the choice among candidates.
    """

    def __init__(
        self,
        own_address: str,
        local: LocalProposer,
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
            The command is in no log and will not be added to one.
        ProposalOutcomeUnknown
            The command may still be committed.
        """
        loop = asyncio.get_running_loop()
        self.stats.proposals += 1
        proposal = _Proposal(uuid.uuid4().hex, command, loop.time() + timeout_s)
        while (left_s := proposal.deadline - loop.time()) > 0:
            result = await self._attempt(proposal, min(left_s, ATTEMPT_TIMEOUT_S))
            if result is not None:
                return result
            # Without a leader, two VMs may each name the other one; the delay prevents a busy loop.
            if not proposal.leader_hint or proposal.leader_hint in proposal.tried_hints:
                delay_s = RETRY_DELAY_S * (0.5 + 0.5 * self._rng.random())
                await asyncio.sleep(min(delay_s, max(proposal.deadline - loop.time(), 0)))
            proposal.tried_hints.add(proposal.leader_hint)
        raise self._final_error(proposal, timeout_s)

    async def _attempt(self, proposal: _Proposal, timeout_s: float) -> log_pb2.CommandResult | None:
        address, proposal.leader_hint = proposal.leader_hint or self._next_address(), ""
        if not address:
            return None
        self.stats.attempts += 1
        try:
            return await self._send(proposal, address, timeout_s)
        except NotLeader as exc:
            proposal.last_error = str(exc)
            if exc.leader_address not in ("", address):
                self.stats.redirects += 1
                proposal.leader_hint = exc.leader_address
        except (NoQuorum, NotBootstrapped) as exc:
            proposal.last_error = str(exc)
        except ProposalOutcomeUnknown as exc:
            proposal.may_be_appended = True
            proposal.last_error = str(exc)
        except (PeerUnreachable, RemoteError) as exc:
            proposal.may_be_appended |= exc.outcome is Outcome.UNKNOWN
            proposal.last_error = str(exc)
        return None

    async def _send(
        self, proposal: _Proposal, address: str, timeout_s: float
    ) -> log_pb2.CommandResult:
        if address == self._own_address:
            return await self._local(proposal.proposal_id, proposal.command, timeout_s)
        request = peer_pb2.ProposeRequest(
            proposal_id=proposal.proposal_id,
            command=proposal.command,
            timeout_ms=max(1, int(timeout_s * 1000)),
        )
        reply = await self._clients.stub(address).Propose(request, timeout=timeout_s)
        return reply.result

    def _next_address(self) -> str:
        leader = self._leader_address()
        if leader:
            return leader
        candidates = self._candidates()
        return self._rng.choice(candidates) if candidates else ""

    def _final_error(self, proposal: _Proposal, timeout_s: float) -> BramleycrankError:
        text = f"{proposal.last_error}; timed out after {timeout_s:.1f} s"
        if proposal.may_be_appended:
            self.stats.outcome_unknown += 1
            return ProposalOutcomeUnknown(text)
        self.stats.no_quorum += 1
        return NoQuorum(text, outcome=Outcome.NOT_RUN)
