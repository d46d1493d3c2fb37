"""Fakes and builders for the tests of the query path."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine, Sequence

from bramleycrank.exceptions import NoQuorum, ProposalOutcomeUnknown, UnknownService
from bramleycrank.proto.log_pb2 import (
    RESULT_CODE_CLAIM_ANSWERED,
    RESULT_CODE_CLAIM_HELD,
    RESULT_CODE_CLAIM_WON,
    RESULT_CODE_KEY_EXPIRED,
    RESULT_CODE_OK,
    Command,
    CommandResult,
    KindConfig,
    ServiceConfig,
)
from bramleycrank.proto.target_pb2 import (
    SUB_STATUS_OK,
    TARGET_STATE_SERVING,
    Hit,
    Replica,
    SubReply,
    SubRequest,
    TargetRecord,
)
from bramleycrank.proto.target_pb2 import Snapshot as SnapshotMessage
from bramleycrank.query.types import Snapshot

SERVICE = "archivio"


def record(
    target_id: str,
    replicas: Sequence[tuple[Snapshot, int]],
    *,
    domain: str = "a",
    sequence: int = 1,
    incarnation: int = 1,
    slots: int = 4,
) -> TargetRecord:
    """Return the record of a target that holds `replicas`."""
    return TargetRecord(
        target_id=target_id,
        incarnation=incarnation,
        sequence=sequence,
        state=TARGET_STATE_SERVING,
        service=SERVICE,
        domain=domain,
        slots=slots,
        replicas=[
            Replica(
                snapshot=SnapshotMessage(version=snap.version, shard_count=snap.shard_count),
                shard=shard,
            )
            for snap, shard in replicas
        ],
    )


def grid(
    snapshot: Snapshot, copies: int, domains: str = "abc", sequence: int = 1
) -> list[TargetRecord]:
    """Return the records of `copies` targets for each shard, spread over the domains."""
    return [
        record(
            f"t{shard}{domains[copy % len(domains)]}{copy // len(domains) or ''}",
            [(snapshot, shard)],
            domain=domains[copy % len(domains)],
            sequence=sequence,
        )
        for shard in range(snapshot.shard_count)
        for copy in range(copies)
    ]


def reply_to(request: SubRequest, status: int = SUB_STATUS_OK, hits: int = 1) -> SubReply:
    """Return the reply of a correct target; the ids of its hits contain snapshot and shard."""
    reply = SubReply(sub_id=request.sub_id, status=status, shard=request.shard)
    reply.snapshot.CopyFrom(request.snapshot)
    if status == SUB_STATUS_OK:
        name = f"{request.snapshot.version}/{request.snapshot.shard_count}/{request.shard}"
        reply.hits.extend(
            Hit(id=f"{name}/{rank}", score=100.0 - rank - request.shard / 100)
            for rank in range(hits)
        )
        reply.payload = b"done " + request.request_key.encode()
    return reply


class FakeConfiguration:
    """A configuration with one service."""

    def __init__(self) -> None:
        self.revision = 7
        self.config = ServiceConfig(
            name=SERVICE,
            kinds=[
                KindConfig(name="work_order", idempotent=False),
                KindConfig(name="lookup", idempotent=True),
            ],
        )

    def service(self, name: str) -> ServiceConfig:
        if name != SERVICE:
            raise UnknownService
        return self.config

    def stale_ms(self) -> int:
        return 0


class FakeTargets:
    """A list of target records that tests can replace."""

    def __init__(self, records: Sequence[TargetRecord]) -> None:
        self.records = list(records)
        self._callbacks: list[Callable[[TargetRecord], None]] = []

    def targets(self, service: str) -> Sequence[TargetRecord]:
        return self.records if service == SERVICE else []

    def vm_count(self, domain: str | None = None) -> int:
        return 1

    def subscribe_targets(self, callback: Callable[[TargetRecord], None]) -> None:
        self._callbacks.append(callback)

    def replace(self, records: Sequence[TargetRecord]) -> None:
        self.records = list(records)
        for callback in self._callbacks:
            for item in records:
                callback(item)


class FakeSessions:
    """Records sent sub-requests; tests reply to them, or set `on_send`."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, SubRequest]] = []
        self.cancelled: list[int] = []
        self.listeners: dict[int, object] = {}
        self.on_send: Callable[[str, SubRequest, object], None] | None = None
        self._last_id = 0

    def next_sub_id(self) -> int:
        self._last_id += 1
        return self._last_id

    def send(self, target_id: str, request: SubRequest, listener: object) -> None:
        self.sent.append((target_id, request))
        self.listeners[request.sub_id] = listener
        if self.on_send is not None:
            self.on_send(target_id, request, listener)

    def cancel(self, sub_id: int, target_id: str) -> None:
        self.cancelled.append(sub_id)


class FakeLog:
    """The claim table of the replicated log, with injected faults.

    Each proposal consumes one item of `faults`: ``no_quorum`` fails without effect,
    ``lost`` fails as unknown without effect, ``unknown`` fails as unknown after taking effect,
    ``slow`` takes effect late, ``broken`` fails with an untyped error.
    """

    def __init__(self) -> None:
        self.claims: dict[tuple[str, str, int], dict] = {}
        self.faults: list[str] = []
        self.floor_ms = 0
        self.commands: list[Command] = []

    async def propose(self, command: Command, timeout_s: float) -> CommandResult:
        await asyncio.sleep(0)
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "slow":
            await asyncio.sleep(0.15)
        if fault == "no_quorum":
            raise NoQuorum
        if fault == "lost":
            raise ProposalOutcomeUnknown
        if fault == "broken":
            raise ValueError("broken")
        result = self.apply(command)
        if fault == "unknown":
            raise ProposalOutcomeUnknown
        return result

    def apply(self, command: Command) -> CommandResult:
        self.commands.append(command)
        name = command.WhichOneof("body")
        body = getattr(command, name)
        key = (body.id.service, body.id.request_key, body.id.issued_at_ms)
        claim = self.claims.get(key)
        if name == "claim_open":
            return self._open(key, claim, body.attempt_id)
        if claim is not None and claim["attempt_id"] == body.attempt_id:
            if name == "claim_complete":
                claim.update(completed=True, answer=body.answer)
            elif not claim["completed"]:
                claim["abandoned"] = True
        return CommandResult(code=RESULT_CODE_OK)

    def _open(self, key: tuple, claim: dict | None, attempt_id: str) -> CommandResult:
        if key[2] < self.floor_ms:
            return CommandResult(code=RESULT_CODE_KEY_EXPIRED)
        if claim is not None and claim["completed"]:
            return CommandResult(code=RESULT_CODE_CLAIM_ANSWERED, answer=claim["answer"])
        if claim is None or claim["abandoned"] or claim["attempt_id"] == attempt_id:
            fresh = {"attempt_id": attempt_id, "completed": False, "abandoned": False}
            self.claims[key] = fresh
            return CommandResult(code=RESULT_CODE_CLAIM_WON)
        return CommandResult(code=RESULT_CODE_CLAIM_HELD)


class _VirtualSelector(selectors.DefaultSelector):
    """A selector that advances virtual time instead of waiting."""

    now = 1000.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise AssertionError("the event loop waits without a timeout, so nothing can wake it")
        self.now += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that runs in virtual time."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.now


def run_virtual(coro: Coroutine) -> object:
    """Run `coro` to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coro)
