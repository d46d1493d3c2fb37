"""At-most-once execution of non-idempotent requests through claims in the replicated log."""

from __future__ import annotations

import asyncio
import json
import logging
import uuid
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from bramleycrank.exceptions import (
    AnswerTooLargeToRepeat,
    BramleycrankError,
    DeadlineExceeded,
    InternalError,
    InvalidRequest,
    KeyExpired,
    OutcomeUnknown,
    ProposalOutcomeUnknown,
)
from bramleycrank.filters.types import Next, Proposer, RequestContext
from bramleycrank.proto.log_pb2 import (
    RESULT_CODE_CLAIM_ANSWERED,
    RESULT_CODE_CLAIM_HELD,
    RESULT_CODE_CLAIM_WON,
    RESULT_CODE_INVALID,
    RESULT_CODE_KEY_EXPIRED,
    ClaimAbandon,
    ClaimComplete,
    ClaimId,
    ClaimOpen,
    Command,
    CommandResult,
)
from bramleycrank.query.types import Answer

log = logging.getLogger(__name__)

MAX_STORED_ANSWER = 4096
"""Bytes of an answer that the log keeps."""

PROPOSE_TIMEOUT_S = 1.0
"""Time for one proposal; after it the same attempt is proposed again, to a new leader if any."""

BACKGROUND_LIMIT_S = 30.0
"""Time for which a completion or an abandonment is tried again; elections take 3 s at most."""

HELD_RETRY_MS = 1000
"""When to ask again for a claim whose holder may still complete it."""

_PAUSE_S, _LONGEST_PAUSE_S = 0.05, 2.0

Spawn = Callable[[Coroutine[Any, Any, None]], object]


class ClaimFilter:
    """Claims a non-idempotent request before it is dispatched, and completes the claim after.

    Parameters
    ----------
    spawn : callable
        Runs a coroutine in the background; a graceful stop waits for it.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        proposer: Proposer,
        vm_id: str,
        spawn: Spawn,
        clock: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        new_attempt_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self._proposer = proposer
        self._vm_id = vm_id
        self._spawn = spawn
        self._clock = clock
        self._sleep = sleep
        self._new_attempt_id = new_attempt_id

    async def __call__(self, ctx: RequestContext, next: Next) -> Answer:
        """Run the request if its claim is won, otherwise return what the claim says."""
        if ctx.idempotent:
            return await next(ctx)
        attempt_id, claim_id = self._new_attempt_id(), _claim_id(ctx)
        try:
            result = await self._open(ctx, claim_id, attempt_id)
            if result.code != RESULT_CODE_CLAIM_WON:
                return _answer_of(result)
            ctx.claim_won = True
            if self._clock() >= ctx.deadline:
                raise DeadlineExceeded
            answer = await next(ctx)
        except BaseException as exc:
            if _may_abandon(ctx, exc):
                self._abandon(claim_id, attempt_id)
            raise
        self._complete(claim_id, attempt_id, answer)
        return answer

    async def _open(self, ctx: RequestContext, claim_id: ClaimId, attempt_id: str) -> CommandResult:
        """Propose the claim until its outcome is known or the deadline passes."""
        command = Command(
            claim_open=ClaimOpen(id=claim_id, attempt_id=attempt_id, vm_id=self._vm_id)
        )
        while True:
            left = ctx.deadline - self._clock()
            if left <= 0.0:
                raise DeadlineExceeded
            try:
                return await self._proposer.propose(command, min(left, PROPOSE_TIMEOUT_S))
            except ProposalOutcomeUnknown:
                # The attempt id makes the repetition the same claim.
                await self._sleep(min(_PAUSE_S, max(0.0, ctx.deadline - self._clock())))

    def _complete(self, claim_id: ClaimId, attempt_id: str, answer: Answer) -> None:
        stored = json.dumps(answer.as_dict(), separators=(",", ":")).encode()
        if len(stored) > MAX_STORED_ANSWER:
            stored = b""
        complete = ClaimComplete(id=claim_id, attempt_id=attempt_id, answer=stored)
        self._spawn(self._commit(Command(claim_complete=complete), "completion"))

    def _abandon(self, claim_id: ClaimId, attempt_id: str) -> None:
        abandon = ClaimAbandon(id=claim_id, attempt_id=attempt_id)
        self._spawn(self._commit(Command(claim_abandon=abandon), "abandonment"))

    async def _commit(self, command: Command, what: str) -> None:
        """Propose `command` until it is committed, for a bounded time."""
        until, pause = self._clock() + BACKGROUND_LIMIT_S, _PAUSE_S
        while True:
            try:
                await self._proposer.propose(command, PROPOSE_TIMEOUT_S)
                return
            except Exception as exc:
                # A resend would never get its answer if an untyped error ended the attempts.
                if not isinstance(exc, BramleycrankError):
                    log.exception("query: a proposal failed unexpectedly")
                if self._clock() + pause >= until:
                    name = type(exc).__name__
                    log.warning("query: the %s of a claim was not committed: %s", what, name)
                    return
            await self._sleep(pause)
            pause = min(2 * pause, _LONGEST_PAUSE_S)


def _claim_id(ctx: RequestContext) -> ClaimId:
    req = ctx.req
    return ClaimId(service=req.service, request_key=req.request_key, issued_at_ms=req.issued_at_ms)


def _may_abandon(ctx: RequestContext, exc: BaseException) -> bool:
    """Whether the claim may be ours and the request is known not to have run under it."""
    if isinstance(exc, OutcomeUnknown | InvalidRequest) and not ctx.claim_won:
        return False
    return ctx.execution is None or ctx.execution.not_run


def _answer_of(result: CommandResult) -> Answer:
    """Return the stored answer of a claim that another attempt holds.

    Raises
    ------
    BramleycrankError
        If the claim has no answer that can be repeated; the outcome is unknown.
    """
    code = result.code
    if code == RESULT_CODE_CLAIM_ANSWERED:
        if not result.answer:
            raise AnswerTooLargeToRepeat
        try:
            return Answer.from_dict(json.loads(result.answer))
        except (KeyError, TypeError, ValueError):
            log.error("query: a stored answer cannot be read")
            raise OutcomeUnknown("The stored answer cannot be read.") from None
    if code == RESULT_CODE_CLAIM_HELD:
        raise OutcomeUnknown(retry_after_ms=HELD_RETRY_MS)
    if code == RESULT_CODE_KEY_EXPIRED:
        raise KeyExpired
    if code == RESULT_CODE_INVALID:
        raise InvalidRequest(result.message or "The claim was refused as invalid.")
    raise InternalError("The claim had an unexpected result.")
