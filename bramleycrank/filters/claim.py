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

MAX_STORED_ANSWER_BYTES = 4096
"""Maximum size of an answer that is stored in the log, in bytes."""

PROPOSE_TIMEOUT_S = 1.0
"""Time limit of one proposal; then the same attempt is proposed again, possibly to a new leader."""

BACKGROUND_COMMIT_LIMIT_S = 30.0
"""Time limit for committing a completion or an abandonment; elections take 3 s at most."""

HELD_CLAIM_RETRY_AFTER_MS = 1000
"""Retry-after for a claim that its holder may still complete, in milliseconds."""

_MIN_BACKOFF_S, _MAX_BACKOFF_S = 0.05, 2.0

Spawn = Callable[[Coroutine[Any, Any, None]], object]


class ClaimFilter:
    """Claims a non-idempotent request before its dispatch and completes the claim afterwards.

    Parameters
    ----------
    spawn : callable
        Runs a coroutine in the background; a graceful shutdown waits for it.
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
        """Run the request if its claim is won, otherwise return the stored answer."""
        if ctx.idempotent:
            return await next(ctx)
        attempt_id, claim_id = self._new_attempt_id(), _claim_id(ctx)
        try:
            result = await self._open_claim(ctx, claim_id, attempt_id)
            if result.code != RESULT_CODE_CLAIM_WON:
                return _stored_answer(result)
            ctx.claim_won = True
            if self._clock() >= ctx.deadline:
                raise DeadlineExceeded
            answer = await next(ctx)
        except BaseException as exc:
            if _may_abandon(ctx, exc):
                self._abandon_claim(claim_id, attempt_id)
            raise
        self._complete_claim(claim_id, attempt_id, answer)
        return answer

    async def _open_claim(
        self, ctx: RequestContext, claim_id: ClaimId, attempt_id: str
    ) -> CommandResult:
        """Propose the claim until its outcome is known or the deadline passes."""
        command = Command(
            claim_open=ClaimOpen(id=claim_id, attempt_id=attempt_id, vm_id=self._vm_id)
        )
        while True:
            remaining_s = ctx.deadline - self._clock()
            if remaining_s <= 0.0:
                raise DeadlineExceeded
            try:
                return await self._proposer.propose(command, min(remaining_s, PROPOSE_TIMEOUT_S))
            except ProposalOutcomeUnknown:
                # The attempt id makes the new proposal equivalent to the first one.
                await self._sleep(min(_MIN_BACKOFF_S, max(0.0, ctx.deadline - self._clock())))

    def _complete_claim(self, claim_id: ClaimId, attempt_id: str, answer: Answer) -> None:
        stored = json.dumps(answer.as_dict(), separators=(",", ":")).encode()
        if len(stored) > MAX_STORED_ANSWER_BYTES:
            stored = b""
        complete = ClaimComplete(id=claim_id, attempt_id=attempt_id, answer=stored)
        self._spawn(self._commit_with_retries(Command(claim_complete=complete), "completion"))

    def _abandon_claim(self, claim_id: ClaimId, attempt_id: str) -> None:
        abandon = ClaimAbandon(id=claim_id, attempt_id=attempt_id)
        self._spawn(self._commit_with_retries(Command(claim_abandon=abandon), "abandonment"))

    async def _commit_with_retries(self, command: Command, command_name: str) -> None:
        """Propose `command` until it is committed or `BACKGROUND_COMMIT_LIMIT_S` has passed."""
        retry_until, backoff_s = self._clock() + BACKGROUND_COMMIT_LIMIT_S, _MIN_BACKOFF_S
        while True:
            try:
                await self._proposer.propose(command, PROPOSE_TIMEOUT_S)
                return
            except Exception as exc:
                # Unexpected errors are retried too; otherwise a resend could never get the answer.
                if not isinstance(exc, BramleycrankError):
                    log.exception("query: a proposal failed unexpectedly")
                if self._clock() + backoff_s >= retry_until:
                    name = type(exc).__name__
                    log.warning(
                        "query: the %s of a claim was not committed: %s", command_name, name
                    )
                    return
            await self._sleep(backoff_s)
            backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)


def _claim_id(ctx: RequestContext) -> ClaimId:
    req = ctx.req
    return ClaimId(service=req.service, request_key=req.request_key, issued_at_ms=req.issued_at_ms)


def _may_abandon(ctx: RequestContext, exc: BaseException) -> bool:
    """Return whether this attempt may hold the claim and the request is known not to have run."""
    if isinstance(exc, OutcomeUnknown | InvalidRequest) and not ctx.claim_won:
        return False
    return ctx.execution is None or ctx.execution.not_run


def _stored_answer(result: CommandResult) -> Answer:
    """Return the stored answer of a claim that another attempt opened.

    Raises
    ------
    BramleycrankError
        If the claim has no stored answer that can be returned again.
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
        raise OutcomeUnknown(retry_after_ms=HELD_CLAIM_RETRY_AFTER_MS)
    if code == RESULT_CODE_KEY_EXPIRED:
        raise KeyExpired
    if code == RESULT_CODE_INVALID:
        raise InvalidRequest(result.message or "The claim was refused as invalid.")
    raise InternalError("The claim had an unexpected result.")
