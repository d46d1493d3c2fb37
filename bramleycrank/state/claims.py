"""Claims of non-idempotent requests: at most one attempt of a request is executed."""

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

# Claims are grouped by the minute of their issue, so that raising the floor visits only the claims
# that it drops; scanning 200,000 claims would block the event loop.
_BUCKET_MS = 60_000

# The floor is raised by at least this much, which limits it to one log entry a minute.
_FLOOR_STEP_MS = 60_000

# Abandoned attempts remembered for each claim. A delayed ClaimOpen of an abandoned attempt that is
# not remembered could still win the claim, which would then stay unused.
_MAX_ABANDONED_ATTEMPTS = 8

# Share of a limit that is kept when claims are dropped to free memory.
_KEPT_SHARE = 0.9


class ClaimTable:
    """Stores the claims whose ``issued_at_ms`` is not below the floor."""

    def __init__(self) -> None:
        self.floor_ms = 0
        self.answer_bytes = 0
        # Ids and claims are kept serialized: as message objects, 200,000 claims took 375 MiB, and
        # building their image blocked the event loop for 0.5 s.
        self._claims: dict[bytes, bytes] = {}
        self._buckets: dict[int, list[bytes]] = {}

    @classmethod
    def from_claims(cls, claims: Iterable[Claim], floor_ms: int) -> ClaimTable:
        """Build the table from the claims and the floor of an image."""
        table = cls()
        table.floor_ms = floor_ms
        for claim in claims:
            table._add_to_bucket(claim.id)
            table._store(claim)
            table.answer_bytes += len(claim.answer)
        return table

    def __len__(self) -> int:
        return len(self._claims)

    def serialized(self) -> Iterable[bytes]:
        """Return all claims, serialized, in the order of their creation."""
        return self._claims.values()

    def find(self, claim_id: ClaimId) -> Claim | None:
        """Return a copy of the claim with the given id, or None."""
        data = self._claims.get(_key(claim_id))
        return Claim.FromString(data) if data is not None else None

    def open(self, command: ClaimOpen) -> CommandResult:
        """Assign the claim to the attempt if no other attempt holds it."""
        if problem := claim_problem(command.id, command.attempt_id, command.vm_id):
            return _result(ResultCode.RESULT_CODE_INVALID, problem)
        if command.id.issued_at_ms < self.floor_ms:
            return _expired_result()
        claim = self.find(command.id)
        if claim is None:
            claim = self._add_to_bucket(command.id)
        elif not claim.abandoned or command.attempt_id in claim.abandoned_attempts:
            return _existing_claim_result(claim, command.attempt_id)
        claim.attempt_id, claim.vm_id, claim.abandoned = command.attempt_id, command.vm_id, False
        self._store(claim)
        return _result(ResultCode.RESULT_CODE_CLAIM_WON)

    def complete(self, command: ClaimComplete) -> CommandResult:
        """Store the answer of the attempt that holds the claim; only the first answer is kept."""
        if problem := claim_problem(command.id, command.attempt_id):
            return _result(ResultCode.RESULT_CODE_INVALID, problem)
        claim = self.find(command.id)
        if claim is None:
            is_below_floor = command.id.issued_at_ms < self.floor_ms
            return (
                _expired_result() if is_below_floor else _result(ResultCode.RESULT_CODE_NOT_FOUND)
            )
        if claim.attempt_id != command.attempt_id:
            return _result(ResultCode.RESULT_CODE_CLAIM_HELD)
        if not claim.completed:
            # A completion after an abandonment means that the attempt was executed, so no other
            # attempt may get the claim.
            claim.completed, claim.abandoned = True, False
            if len(command.answer) <= MAX_ANSWER_BYTES:
                claim.answer = command.answer
                self.answer_bytes += len(command.answer)
            self._store(claim)
        return _result(ResultCode.RESULT_CODE_OK)

    def abandon(self, command: ClaimAbandon) -> CommandResult:
        """Record that the attempt was abandoned, and release the claim if the attempt holds it.

        An abandonment that is applied before the ``ClaimOpen`` of its attempt is recorded too:
        a late ``ClaimOpen`` would otherwise win the claim for an attempt that no VM executes.
        """
        if problem := claim_problem(command.id, command.attempt_id):
            return _result(ResultCode.RESULT_CODE_INVALID, problem)
        if command.id.issued_at_ms < self.floor_ms:
            return _expired_result()
        claim = self.find(command.id)
        if claim is None:
            claim = self._add_to_bucket(command.id)
            claim.abandoned = True
        if command.attempt_id not in claim.abandoned_attempts:
            claim.abandoned_attempts.append(command.attempt_id)
            del claim.abandoned_attempts[:-_MAX_ABANDONED_ATTEMPTS]
        is_holder = claim.attempt_id == command.attempt_id
        is_free = not claim.completed and (is_holder or claim.abandoned)
        claim.abandoned = is_free
        self._store(claim)
        if not is_free:
            return _existing_claim_result(claim, command.attempt_id)
        return _result(ResultCode.RESULT_CODE_OK)

    def raise_floor(self, floor_ms: int) -> None:
        """Raise the floor and drop the claims below it; a lower floor changes nothing."""
        if floor_ms <= self.floor_ms:
            return
        self.floor_ms = floor_ms
        last_bucket = floor_ms // _BUCKET_MS
        for bucket in [bucket for bucket in self._buckets if bucket <= last_bucket]:
            kept_keys = []
            for key in self._buckets.pop(bucket):
                if bucket == last_bucket and _issued_at_ms(key) >= floor_ms:
                    kept_keys.append(key)
                else:
                    self.answer_bytes -= self._answer_size_bytes(key)
                    del self._claims[key]
            if kept_keys:
                self._buckets[bucket] = kept_keys

    def next_floor_ms(self, now_ms: int) -> int | None:
        """Return the floor that retention and memory limits require; ``None`` if unchanged.

        Retention never raises the floor to less than one retention time before the newest claim: a
        leader whose clock is far ahead would otherwise expire all requests of VMs with correct
        clocks.
        """
        if not self._claims:
            return None
        newest_ms = max(self._buckets) * _BUCKET_MS
        memory_floor_ms = self._memory_floor_ms()
        if memory_floor_ms > self.floor_ms:
            return memory_floor_ms
        floor = min(now_ms, newest_ms) - CLAIM_RETENTION_MS
        raise_ms = floor - max(self.floor_ms, min(self._buckets) * _BUCKET_MS)
        return floor if raise_ms >= _FLOOR_STEP_MS else None

    def _memory_floor_ms(self) -> int:
        """Return the floor that brings count and answer size below their limits; 0 if they are."""
        excess_claims = excess_bytes = 0
        if len(self._claims) > MAX_CLAIMS:
            excess_claims = len(self._claims) - int(MAX_CLAIMS * _KEPT_SHARE)
        if self.answer_bytes > MAX_STORED_ANSWER_BYTES:
            excess_bytes = self.answer_bytes - int(MAX_STORED_ANSWER_BYTES * _KEPT_SHARE)
        floor = 0
        for key in self._oldest_first():
            if excess_claims <= 0 and excess_bytes <= 0:
                break
            excess_claims -= 1
            excess_bytes -= self._answer_size_bytes(key)
            floor = _issued_at_ms(key) + 1
        return floor

    def _oldest_first(self) -> Iterable[bytes]:
        buckets = list(self._buckets)
        heapq.heapify(buckets)
        while buckets:
            yield from sorted(self._buckets[heapq.heappop(buckets)], key=_issued_at_ms)

    def _answer_size_bytes(self, key: bytes) -> int:
        return len(Claim.FromString(self._claims[key]).answer)

    def _add_to_bucket(self, claim_id: ClaimId) -> Claim:
        """Index a new claim by its time of issue and return it; the caller stores it."""
        bucket = claim_id.issued_at_ms // _BUCKET_MS
        self._buckets.setdefault(bucket, []).append(_key(claim_id))
        return Claim(id=claim_id)

    def _store(self, claim: Claim) -> None:
        self._claims[_key(claim.id)] = claim.SerializeToString(deterministic=True)


def _key(claim_id: ClaimId) -> bytes:
    # The copy leaves out fields of later versions, which are not part of the identity.
    known = ClaimId(
        service=claim_id.service,
        request_key=claim_id.request_key,
        issued_at_ms=claim_id.issued_at_ms,
    )
    return known.SerializeToString(deterministic=True)


def _issued_at_ms(key: bytes) -> int:
    return ClaimId.FromString(key).issued_at_ms


def _existing_claim_result(claim: Claim, attempt_id: str) -> CommandResult:
    """Return the result for an attempt that cannot change an existing claim."""
    if claim.completed:
        message = "" if claim.answer else "the answer was not stored"
        code = ResultCode.RESULT_CODE_CLAIM_ANSWERED
        return CommandResult(code=code, answer=claim.answer, message=message)
    if claim.attempt_id == attempt_id and not claim.abandoned:
        return _result(ResultCode.RESULT_CODE_CLAIM_WON)
    return _result(ResultCode.RESULT_CODE_CLAIM_HELD)


def _expired_result() -> CommandResult:
    return _result(ResultCode.RESULT_CODE_KEY_EXPIRED, "the request key is below the floor")


def _result(code: ResultCode, message: str = "") -> CommandResult:
    return CommandResult(code=code, message=message)
