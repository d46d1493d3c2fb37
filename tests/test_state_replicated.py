"""Tests of the replicated state machine against simple models."""

import pytest
from consensus_cluster import hypothesis_settings
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bramleycrank.proto import log_pb2 as pb
from bramleycrank.state import ConfigState, ReplicatedState
from bramleycrank.state import claims as claims_module
from bramleycrank.state import replicated as replicated_module
from bramleycrank.state.claims import ClaimTable
from bramleycrank.state.types import CLAIM_RETENTION_MS, MAX_ANSWER_BYTES

OK = pb.RESULT_CODE_OK
WON = pb.RESULT_CODE_CLAIM_WON
ANSWERED = pb.RESULT_CODE_CLAIM_ANSWERED


class Replicas(RuleBasedStateMachine):
    """Guards against repeated execution, lost changes, and replicas that differ.

    Attempts follow the protocol of the VMs, and any of their commands may be applied again later.
    """

    def __init__(self) -> None:
        super().__init__()
        self.first, self.second = ReplicatedState(), ReplicatedState()
        self.follower = ConfigState()
        self.log: list[pb.Command] = []
        self.versions: dict[str, int] = {}
        self.answers: dict[str, pb.CommandResult] = {}
        self.revision = 0
        self.runs: dict[bytes, list[str]] = {}
        self.abandoned: set[str] = set()
        self.completed: dict[bytes, bytes] = {}

    def apply(self, command: pb.Command) -> pb.CommandResult:
        self.log.append(command)
        entry = pb.Entry(index=len(self.log), command=command.SerializeToString())
        result = self.first.apply(entry)
        assert result == self.second.apply(entry)
        assert result.revision == self.first.config.revision or command.HasField("change")
        return result

    def change(self, change: pb.Change) -> None:
        result = self.apply(pb.Command(change=change))
        if change.change_id in self.answers:
            assert result == self.answers[change.change_id]
            return
        self.answers[change.change_id] = result
        body = change.WhichOneof("body")
        name = body[-3:] + (
            change.delete_service
            or change.put_service.name
            or change.put_vm.vm_id
            or change.put_domain.domain
        )
        name = name.replace("delete", "")
        version = self.versions.get(name, 0)
        if body == "delete_service" and not version:
            assert result.code == pb.RESULT_CODE_NOT_FOUND
        elif version != change.expected_version:
            assert (result.code, result.version) == (pb.RESULT_CODE_VERSION_CONFLICT, version)
        else:
            self.revision += 1
            assert (result.code, result.version) == (OK, self.revision)
            self.versions[name] = 0 if body == "delete_service" else self.revision
        assert result.revision == self.revision

    @rule(
        kind=st.sampled_from(["put_service", "delete_service", "put_vm", "put_domain"]),
        name=st.sampled_from(["a", "b"]),
        offset=st.sampled_from([0, 0, 0, 1]),
    )
    def new_change(self, kind: str, name: str, offset: int) -> None:
        key = {"put_vm": "_vm", "put_domain": "ain"}.get(kind, "ice") + name
        expected = self.versions.get(key, 0) + offset
        change = pb.Change(change_id=f"c{len(self.log)}", expected_version=expected)
        if kind == "put_service":
            change.put_service.name = name
        elif kind == "delete_service":
            change.delete_service = name
        else:
            if kind == "put_vm":
                change.put_vm.vm_id = name
            else:
                change.put_domain.domain = name
        self.change(change)

    @rule(data=st.data(), key=st.sampled_from("kl"), issued=st.integers(1, 6))
    def open_claim(self, data: st.DataObject, key: str, issued: int) -> None:
        claim_id = pb.ClaimId(service="s", request_key=key, issued_at_ms=issued)
        attempt = f"a{len(self.log)}"
        opening = pb.ClaimOpen(id=claim_id, attempt_id=attempt, vm_id="vm")
        outcome = data.draw(st.sampled_from(["silent", "abandons", "runs", "answers"]))
        if outcome == "abandons" and data.draw(st.booleans()):
            self.abandoned.add(attempt)
            abandon = pb.ClaimAbandon(id=claim_id, attempt_id=attempt)
            self.apply(pb.Command(claim_abandon=abandon))
        result = self.apply(pb.Command(claim_open=opening))
        run_key = claim_id.SerializeToString()
        if issued < self.first.claims.floor_ms:
            assert result.code == pb.RESULT_CODE_KEY_EXPIRED
        elif run_key in self.completed:
            assert (result.code, result.answer) == (ANSWERED, self.completed[run_key])
        if result.code != WON or outcome == "silent" or attempt in self.abandoned:
            assert not (result.code == WON and attempt in self.abandoned)
            return
        if outcome == "abandons":
            self.abandoned.add(attempt)
            abandon = pb.ClaimAbandon(id=claim_id, attempt_id=attempt)
            assert self.apply(pb.Command(claim_abandon=abandon)).code == OK
            return
        self.runs.setdefault(run_key, []).append(attempt)
        if outcome == "answers":
            answer = data.draw(st.sampled_from([b"x", b"y" * (MAX_ANSWER_BYTES + 1)]))
            done = pb.ClaimComplete(id=claim_id, attempt_id=attempt, answer=answer)
            assert self.apply(pb.Command(claim_complete=done)).code == OK
            late = pb.ClaimComplete(id=claim_id, attempt_id=attempt, answer=b"other")
            self.apply(pb.Command(claim_complete=late))
            self.completed[run_key] = answer if len(answer) <= MAX_ANSWER_BYTES else b""

    @rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        """Apply an earlier command again, as a late duplicate."""
        if not self.log:
            return
        command = self.log[data.draw(st.integers(0, len(self.log) - 1))]
        if command.HasField("change"):
            self.change(command.change)
        else:
            self.apply(command)

    @rule(floor=st.integers(0, 8))
    def move_floor(self, floor: int) -> None:
        before = self.first.claims.floor_ms
        self.apply(pb.Command(claim_floor=pb.ClaimFloor(floor_ms=floor)))
        assert self.first.claims.floor_ms == max(floor, before)

    @rule()
    def restore(self) -> None:
        self.second = ReplicatedState.from_image(self.first.image())

    @rule()
    def follow(self) -> None:
        deltas = self.first.config.deltas_since(self.follower.revision)
        self.follower.advance(reversed(deltas), None)
        assert self.follower.image() == self.first.config.image()

    @invariant()
    def replicas_agree_and_no_request_ran_twice(self) -> None:
        assert self.first.image() == self.second.image()
        assert all(len(attempts) == 1 for attempts in self.runs.values())
        assert all(
            claim.id.issued_at_ms >= self.first.claims.floor_ms
            for claim in pb.StateImage.FromString(self.first.image()).claims
        )


Replicas.TestCase.settings = hypothesis_settings(100, 30)
TestReplicas = Replicas.TestCase


@given(data=st.binary(max_size=40))
def test_any_command_bytes_return_a_result(data):
    """Guards against a command that crashes every node that applies it."""
    state = ReplicatedState()
    assert state.apply(pb.Entry(index=1, command=data)).code != pb.RESULT_CODE_UNSPECIFIED


def service(**fields) -> pb.Change:
    return pb.Change(put_service=pb.ServiceConfig(**{"name": "archivio", **fields}))


@pytest.mark.parametrize(
    "change",
    [
        pb.Change(),
        service(name=""),
        service(name="a" * 65),
        service(name="a/b"),
        service(name="chiesa\n"),
        service(name="é"),
        service(classes=["urgent", "gold"]),
        service(classes=["urgent", "urgent"]),
        service(kinds=[pb.KindConfig(name="fetch")]),
        service(kinds=[pb.KindConfig(name="k"), pb.KindConfig(name="k", idempotent=True)]),
        service(kinds=[pb.KindConfig(name=f"k{i}") for i in range(65)]),
        service(kinds=[pb.KindConfig(name="a b")]),
        service(default_deadline_ms=60_001),
        service(hits_limit=1001),
        service(queue_limit=100_001),
        service(max_concurrency=100_001),
        pb.Change(delete_service=""),
        pb.Change(put_vm=pb.VmConfig(vm_id="a b")),
    ],
)
def test_invalid_changes_are_refused_and_change_nothing(change):
    """Guards against objects that VMs or targets cannot handle."""
    state = ReplicatedState()
    before = state.config.image()
    change.change_id = "c"
    entry = pb.Entry(command=pb.Command(change=change).SerializeToString())
    result = state.apply(entry)
    assert (result.code, bool(result.message)) == (pb.RESULT_CODE_INVALID, True)
    assert state.config.image() == before
    change.change_id = ""
    entry = pb.Entry(command=pb.Command(change=service()).SerializeToString())
    assert state.apply(entry).code == pb.RESULT_CODE_INVALID


def test_memory_is_bounded(monkeypatch):
    """Guards against growth with the number of changes, claims and stored answers."""
    monkeypatch.setattr(replicated_module, "REMEMBERED_CHANGES", 50)
    monkeypatch.setattr(claims_module, "MAX_CLAIMS", 100)
    monkeypatch.setattr(claims_module, "MAX_STORED_ANSWER_BYTES", 1000)
    state = ReplicatedState()
    now_ms = 10 * CLAIM_RETENTION_MS
    for i in range(1500):
        change = pb.Change(change_id=f"c{i}", expected_version=i, put_vm=pb.VmConfig(vm_id="v"))
        claim_id = pb.ClaimId(service="s", request_key=f"k{i}", issued_at_ms=now_ms + i)
        opening = pb.ClaimOpen(id=claim_id, attempt_id="a", vm_id="v")
        answer = pb.ClaimComplete(id=claim_id, attempt_id="a", answer=b"x" * (i % 7) * 10)
        commands = [
            pb.Command(change=change),
            pb.Command(claim_open=opening),
            pb.Command(claim_complete=answer),
        ]
        for command in commands:
            state.apply(pb.Entry(command=command.SerializeToString()))
        if (floor := state.floor_proposal(now_ms + i)) is not None:
            state.apply(pb.Entry(command=floor.SerializeToString()))
        assert len(state.claims) <= 100 and state.claims.answer_bytes <= 1000
    image = pb.StateImage.FromString(state.image())
    assert (len(image.changes), len(image.deltas)) == (50, 1024)
    assert state.config.deltas_since(1500 - 1025) is None
    assert len(state.config.deltas_since(1500 - 1024)) == 1024
    assert state.claims.answer_bytes == sum(len(claim.answer) for claim in image.claims)


def test_the_floor_follows_the_retention_time_and_ignores_a_wrong_clock():
    """Guards against claims that are kept forever, and a wrong clock that expires all requests."""
    table = ClaimTable()
    for issued in (1, CLAIM_RETENTION_MS, 2 * CLAIM_RETENTION_MS):
        claim_id = pb.ClaimId(service="s", request_key="k", issued_at_ms=issued)
        table.open(pb.ClaimOpen(id=claim_id, attempt_id="a", vm_id="v"))
    assert table.next_floor_ms(CLAIM_RETENTION_MS) is None
    assert table.next_floor_ms(2 * CLAIM_RETENTION_MS) == CLAIM_RETENTION_MS
    assert table.next_floor_ms(50 * CLAIM_RETENTION_MS) == CLAIM_RETENTION_MS
    table.raise_floor(CLAIM_RETENTION_MS)
    assert len(table) == 2
    assert table.next_floor_ms(2 * CLAIM_RETENTION_MS) is None
