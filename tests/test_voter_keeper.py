"""Which change of the members a leader makes by itself."""

from __future__ import annotations

import asyncio
import itertools
import random
from types import SimpleNamespace

from bramleycrank.consensus import AddLearner, Promote, Remove
from bramleycrank.daemon.voter_keeper import (
    DEAD_AFTER_S,
    LOST_LEADER_S,
    VoterKeeper,
    VotingConfig,
    next_change,
)
from bramleycrank.exceptions import NotLeader
from bramleycrank.proto.log_pb2 import Member, Membership
from bramleycrank.proto.peer_pb2 import IdentityReply


def member(name: str, disk: int = 1, *, voter: bool = True, host: str = "") -> Member:
    return Member(
        node_id=f"{name}/{disk}", host=host or f"host-{name}", port=7, domain=name, voter=voter
    )


THREE = [member("a"), member("b"), member("c")]


def test_a_calm_cluster_is_left_alone():
    assert next_change(THREE, "a/1", {"b/1": 0.1, "c/1": 0.1}, []) is None


def test_a_vm_with_a_new_disk_loses_its_old_self_before_it_joins():
    newcomer = member("b", 2)
    change = next_change(THREE, "a/1", {}, [newcomer])
    assert change == Remove("b/1")
    left = [THREE[0], THREE[2]]
    assert next_change(left, "a/1", {}, [newcomer]) == AddLearner(newcomer)
    learner = member("b", 2, voter=False)
    assert next_change([*left, learner], "a/1", {"b/2": 0.1}, []) == Promote("b/2")


def test_a_vm_at_the_address_of_a_member_replaces_it():
    newcomer = member("d", host="host-c")
    assert next_change(THREE, "a/1", {}, [newcomer]) == Remove("c/1")


def test_a_fourth_vm_stays_a_learner_until_a_voter_is_dead():
    members = [*THREE, member("d", voter=False)]
    silent = {"b/1": 0.1, "c/1": 0.1, "d/1": 0.1}
    assert next_change(members, "a/1", silent, []) is None
    silent["c/1"] = DEAD_AFTER_S + 1
    assert next_change(members, "a/1", silent, []) == Remove("c/1")
    assert next_change([m for m in members if m.node_id != "c/1"], "a/1", silent, []) == Promote(
        "d/1"
    )


def test_without_a_successor_a_silent_voter_keeps_its_place():
    assert next_change(THREE, "a/1", {"b/1": 60.0, "c/1": 0.1}, []) is None


def test_a_learner_that_is_silent_itself_is_no_successor():
    members = [*THREE, member("d", voter=False)]
    assert next_change(members, "a/1", {"c/1": 60.0, "d/1": 60.0}, []) is None


def test_five_and_more_vms_give_an_odd_number_of_voters():
    for count in range(4, 9):
        members = [*THREE, *(member(f"m{n}", voter=False) for n in range(count - 3))]
        for _ in range(20):
            change = next_change(members, "a/1", {}, [])
            if change is None:
                break
            assert isinstance(change, Promote)
            for item in members:
                item.voter = item.voter or item.node_id == change.node_id
        voters = sum(item.voter for item in members)
        assert voters == min(7, count - 1 + count % 2)
        for item in THREE:
            item.voter = True


def test_any_series_of_losses_settles_with_every_vm_a_member_once():
    """VMs lose their disks in any order; each comes back under a new identity."""
    rng = random.Random(4)
    members, disks = [member("a"), member("b"), member("c")], dict.fromkeys("abc", 1)
    for _ in range(50):
        name = rng.choice("bc")
        disks[name] += 1
        newcomer = member(name, disks[name], voter=False)
        for step in itertools.count():
            assert step < 10
            change = next_change(members, "a/1", {}, [newcomer])
            match change:
                case None:
                    break
                case Remove(node_id=gone):
                    members = [m for m in members if m.node_id != gone]
                case AddLearner(member=added):
                    members.append(added)
                case Promote(node_id=promoted):
                    next(m for m in members if m.node_id == promoted).voter = True
        assert sorted(m.node_id for m in members) == sorted(f"{n}/{d}" for n, d in disks.items())
        assert all(m.voter for m in members)


class CutOffMember:
    """A VM whose log says that it is a member, and that hears no leader."""

    node_id = "c/1"
    is_leader = False
    identity = SimpleNamespace(address="10.0.0.3:7")
    membership = Membership(cluster_id="x", members=THREE)

    def __init__(self, silence_s: float) -> None:
        self.silence_s = silence_s

    def leader_silence_s(self) -> float:
        return self.silence_s

    def leader_address(self) -> str:
        return "10.0.0.9:7"

    def on_identity(self) -> IdentityReply:
        return IdentityReply(vm_id="c", node_id="c/1")


class RecordingClients:
    """Notes the calls; the first one names the leader."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def stub(self, address: str):
        async def join(request, *, timeout):
            self.calls.append(address)
            if address != "10.0.0.1:7":
                raise NotLeader(leader_address="10.0.0.1:7")

        return SimpleNamespace(Join=join)


def joins(silence_s: float) -> list[str]:
    async def body() -> list[str]:
        clients = RecordingClients()
        keeper = VoterKeeper(
            VotingConfig(),
            CutOffMember(silence_s),
            None,
            clients,
            SimpleNamespace(addresses=lambda: ["10.0.0.2:7"]),
            random.Random(1),
        )
        await keeper._look()
        return clients.calls

    return asyncio.run(body())


def test_a_member_that_was_removed_behind_a_cut_asks_to_join_again():
    assert joins(LOST_LEADER_S + 1)[-1] == "10.0.0.1:7"


def test_a_member_that_hears_its_leader_asks_nothing():
    assert joins(0.1) == []
