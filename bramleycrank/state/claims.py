"""Claims of non-idempotent requests: at most one attempt wins an id, and it is never replaced."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from bramleycrank.proto.log_pb2 import (
    Claim,
    ClaimAbandon,
    ClaimComplete,
    ClaimId,
    ClaimOpen,
    CommandResult,
    ResultCode,
)
from bramleycrank.state.types import (
    CLAIM_RETENTION_MS,
    MAX_ANSWER_BYTES,
    MAX_CLAIMS,
    MAX_STORED_ANSWER_BYTES,
)
from bramleycrank.state.validation import claim_problem

# Claims are grouped by the minute of their issue, so that a move of the floor touches only what
# it drops; scanning 200,000 claims would hold up the loop.
_BUCKET_MS = 60_000

# The floor is moved only by whole steps of this size, so that it costs one log entry a minute.
_FLOOR_STEP_MS = 60_000

# Attempts of one claim that are known to have given up. Only a command that is delayed past this
# many further attempts of the same request could win late, and then it holds a claim unused.
_REMEMBERED_ATTEMPTS = 8

# Share of a full table that is kept when claims must be dropped for memory.
_KEPT_SHARE = 0.9


class ClaimTable:
    """Claims whose ``issued_at_ms`` is not below the floor."""

    def __init__(self) -> None:
        self.floor_ms = 0
        self.answer_bytes = 0
        # Serialized ids and claims: as message objects 200,000 claims took 375 MiB, and their
        # image 0.5 s of the loop.
        self._claims: dict[bytes, bytes] = {}
        self._buckets: dict[int, list[bytes]] = {}

    @classmethod
    def from_claims(cls, claims: Iterable[Claim], floor_ms: int) -> ClaimTable:
        """Build the table from an image."""
        table = cls()
        table.floor_ms = floor_ms
        for claim in claims:
            table._add(claim.id)
            table._store(claim)
            table.answer_bytes += len(claim.answer)
        return table

    def __len__(self) -> int:
        return len(self._claims)

    def serialized(self) -> Iterable[bytes]:
        """Return all claims, serialized, in the order in which they were made."""
        return self._claims.values()

    def find(self, claim_id: ClaimId) -> Claim | None:
        """Return a copy of the claim of an id."""
        data = self._claims.get(_key(claim_id))
        return Claim.FromString(data) if data is not None else None

    def open(self, command: ClaimOpen) -> CommandResult:
        """Give the claim to the attempt if no other attempt holds it."""
        if problem := claim_problem(command.id, command.attempt_id, command.vm_id):
            return _result(ResultCode.RESULT_CODE_INVALID, problem)
        if command.id.issued_at_ms < self.floor_ms:
            return _expired()
        claim = self.find(command.id)
        if claim is None:
            claim = self._add(command.id)
        elif not claim.abandoned or command.attempt_id in claim.abandoned_attempts:
            return _standing(claim, command.attempt_id)
        claim.attempt_id, claim.vm_id, claim.abandoned = command.attempt_id, command.vm_id, False
        self._store(claim)
        return _result(ResultCode.RESULT_CODE_CLAIM_WON)

    def complete(self, command: ClaimComplete) -> CommandResult:
        """Store the answer of the attempt that holds the claim; the first answer stays."""
        if problem := claim_problem(command.id, command.attempt_id):
            return _result(ResultCode.RESULT_CODE_INVALID, problem)
        claim = self.find(command.id)
        if claim is None:
            below = command.id.issued_at_ms < self.floor_ms
            return _expired() if below else _result(ResultCode.RESULT_CODE_NOT_FOUND)
        if claim.attempt_id != command.attempt_id:
            return _result(ResultCode.RESULT_CODE_CLAIM_HELD)
        if not claim.completed:
            # A completion after an abandonment says that the attempt ran after all, so the claim
            # must not be given away again.
            claim.completed, claim.abandoned = True, False
            if len(command.answer) <= MAX_ANSWER_BYTES:
                claim.answer = command.answer
                self.answer_bytes += len(command.answer)
            self._store(claim)
        return _result(ResultCode.RESULT_CODE_OK)

    def abandon(self, command: ClaimAbandon) -> CommandResult:
        """Record that the attempt gave up, and give the claim free if the attempt holds it.

        An abandonment that comes before its claim counts too, so that the claim does not win when
        it arrives late and nobody is left to run it.
        """
        if problem := claim_problem(command.id, command.attempt_id):
            return _result(ResultCode.RESULT_CODE_INVALID, problem)
        if command.id.issued_at_ms < self.floor_ms:
            return _expired()
        claim = self.find(command.id)
        if claim is None:
            claim = self._add(command.id)
            claim.abandoned = True
        if command.attempt_id not in claim.abandoned_attempts:
            claim.abandoned_attempts.append(command.attempt_id)
            del claim.abandoned_attempts[:-_REMEMBERED_ATTEMPTS]
        holds = claim.attempt_id == command.attempt_id
        free = not claim.completed and (holds or claim.abandoned)
        claim.abandoned = free
        self._store(claim)
        if not free:
            return _standing(claim, command.attempt_id)
        return _result(ResultCode.RESULT_CODE_OK)

    def raise_floor(self, floor_ms: int) -> None:
        """Move the floor up and drop the claims below it; a lower floor changes nothing."""
        if floor_ms <= self.floor_ms:
            return
        self.floor_ms = floor_ms
        last = floor_ms // _BUCKET_MS
        for number in [number for number in self._buckets if number <= last]:
            kept = []
            for key in self._buckets.pop(number):
                if number == last and _issued(key) >= floor_ms:
                    kept.append(key)
                else:
                    self.answer_bytes -= self._answer_length(key)
                    del self._claims[key]
            if kept:
                self._buckets[number] = kept

    def wanted_floor(self, now_ms: int) -> int | None:
        """Return the floor that retention and memory ask for; ``None`` if it should stay.

        The floor also stays one retention time behind the newest claim: a leader whose clock is
        far ahead would otherwise expire all requests of the VMs whose clocks are right.
        """
        if not self._claims:
            return None
        newest = max(self._buckets) * _BUCKET_MS
        for_memory = self._memory_floor()
        if for_memory > self.floor_ms:
            return for_memory
        floor = min(now_ms, newest) - CLAIM_RETENTION_MS
        step = floor - max(self.floor_ms, min(self._buckets) * _BUCKET_MS)
        return floor if step >= _FLOOR_STEP_MS else None

    def _memory_floor(self) -> int:
        """Return the floor that brings count and answers back below their bounds; 0 if they are."""
        excess = bytes_excess = 0
        if len(self._claims) > MAX_CLAIMS:
            excess = len(self._claims) - int(MAX_CLAIMS * _KEPT_SHARE)
        if self.answer_bytes > MAX_STORED_ANSWER_BYTES:
            bytes_excess = self.answer_bytes - int(MAX_STORED_ANSWER_BYTES * _KEPT_SHARE)
        floor = 0
        for key in self._oldest_first():
            if excess <= 0 and bytes_excess <= 0:
                break
            excess -= 1
            bytes_excess -= self._answer_length(key)
            floor = _issued(key) + 1
        return floor

    def _oldest_first(self) -> Iterable[bytes]:
        numbers = list(self._buckets)
        heapq.heapify(numbers)
        while numbers:
            yield from sorted(self._buckets[heapq.heappop(numbers)], key=_issued)

    def _answer_length(self, key: bytes) -> int:
        return len(Claim.FromString(self._claims[key]).answer)

    def _add(self, claim_id: ClaimId) -> Claim:
        """Return a new claim, which the caller stores."""
        number = claim_id.issued_at_ms // _BUCKET_MS
        self._buckets.setdefault(number, []).append(_key(claim_id))
        return Claim(id=claim_id)

    def _store(self, claim: Claim) -> None:
        self._claims[_key(claim.id)] = claim.SerializeToString(deterministic=True)


def _key(claim_id: ClaimId) -> bytes:
    # A copy without the fields of later versions, which do not belong to the identity.
    known = ClaimId(
        service=claim_id.service,
        request_key=claim_id.request_key,
        issued_at_ms=claim_id.issued_at_ms,
    )
    return known.SerializeToString(deterministic=True)


def _issued(key: bytes) -> int:
    return ClaimId.FromString(key).issued_at_ms


def _standing(claim: Claim, attempt_id: str) -> CommandResult:
    """Return what an attempt is told about a claim that stands."""
    if claim.completed:
        message = "" if claim.answer else "the answer was not stored"
        code = ResultCode.RESULT_CODE_CLAIM_ANSWERED
        return CommandResult(code=code, answer=claim.answer, message=message)
    if claim.attempt_id == attempt_id and not claim.abandoned:
        return _result(ResultCode.RESULT_CODE_CLAIM_WON)
    return _result(ResultCode.RESULT_CODE_CLAIM_HELD)


def _expired() -> CommandResult:
    return _result(ResultCode.RESULT_CODE_KEY_EXPIRED, "the request key is below the floor")


def _result(code: ResultCode, message: str = "") -> CommandResult:
    return CommandResult(code=code, message=message)
