"""Tests the changes of the members that a leader makes without an operator."""

from __future__ import annotations

import asyncio
import itertools
import random
from types import SimpleNamespace

from bramleycrank.consensus import AddLearner, Demote, Promote, Remove
from bramleycrank.daemon.voter_choice import (
    DEAD_AFTER_S,
    GONE_AFTER_S,
    REPLACED_AFTER_S,
    MemberSignals,
    RecentMembers,
)
from bramleycrank.daemon.voter_choice import next_membership_change as next_change
from bramleycrank.daemon.voter_manager import LEADER_SILENCE_S, VoterManager, VotingConfig
from bramleycrank.exceptions import NotLeader
from bramleycrank.proto.log_pb2 import Member, Membership
from bramleycrank.proto.peer_pb2 import IdentityReply


def member(name: str, disk: int = 1, *, voter: bool = True, host: str = "") -> Member:
    return Member(
        node_id=f"{name}/{disk}", host=host or f"host-{name}", port=7, domain=name, voter=voter
    )


THREE = [member("a"), member("b"), member("c")]


def next_membership_change(members, own_id, silent_s, newcomers, **signals):
    return next_change(members, own_id, MemberSignals(silent_s, **signals), newcomers)


def apply(members: list[Member], change: object) -> list[Member]:
    """Return the members after a change, as copies."""
    copies = [Member.FromString(m.SerializeToString()) for m in members]
    match change:
        case Remove(node_id=removed):
            return [m for m in copies if m.node_id != removed]
        case AddLearner(member=added):
            return [*copies, added]
        case Promote(node_id=changed) | Demote(node_id=changed):
            next(m for m in copies if m.node_id == changed).voter = isinstance(change, Promote)
    return copies


def test_healthy_cluster_is_not_changed():
    assert next_membership_change(THREE, "a/1", {"b/1": 0.1, "c/1": 0.1}, []) is None


def test_old_node_of_a_vm_with_a_new_disk_is_removed_before_the_new_one_joins():
    newcomer = member("b", 2)
    change = next_membership_change(THREE, "a/1", {}, [newcomer])
    assert change == Remove("b/1")
    remaining = [THREE[0], THREE[2]]
    assert next_membership_change(remaining, "a/1", {}, [newcomer]) == AddLearner(newcomer)
    learner = member("b", 2, voter=False)
    assert next_membership_change([*remaining, learner], "a/1", {"b/2": 0.1}, []) == Promote("b/2")


def test_vm_at_the_address_of_a_member_replaces_it():
    newcomer = member("d", host="host-c")
    assert next_membership_change(THREE, "a/1", {}, [newcomer]) == Remove("c/1")


def test_fourth_vm_stays_a_learner_until_a_voter_is_dead():
    """The learner is promoted first: until the dead voter may have returned, four can agree."""
    members = [*THREE, member("d", voter=False)]
    silent = {"b/1": 0.1, "c/1": DEAD_AFTER_S - 0.1, "d/1": 0.1}
    assert next_membership_change(members, "a/1", silent, []) is None
    silent["c/1"] = DEAD_AFTER_S + 1
    change = next_membership_change(members, "a/1", silent, [])
    assert change == Promote("d/1")
    members = apply(members, change)
    change = next_membership_change(members, "a/1", silent, [])
    assert change == Remove("c/1")
    assert next_membership_change(apply(members, change), "a/1", silent, []) is None


def test_restarted_voter_keeps_its_vote_while_a_spare_learner_waits():
    """Guards against a rolling restart that exchanges voters and uses up the learners."""
    members = [*THREE, member("d", voter=False)]
    for silence_s in (0.5, 1.5, DEAD_AFTER_S - 0.1):
        signals = {"departed": {"c"}}
        assert next_membership_change(members, "a/1", {"c/1": silence_s}, [], **signals) is None


def test_planned_replacement_exchanges_the_voter_of_the_domain_before_it_ends():
    """Guards against a removed VM in the quorum when the next one may lose its disk."""
    successor = Member(node_id="s/1", host="host-s", port=7, domain="c")
    members, changes = [*THREE, successor], []
    while change := next_membership_change(members, "a/1", {}, [], recent={"s/1"}):
        members = apply(members, change)
        changes.append(change)
    assert changes == [Promote("s/1"), Demote("c/1")]
    assert next_membership_change(members, "a/1", {}, []) is None
    gone = {"c/1": GONE_AFTER_S + 1}
    assert next_membership_change(members, "a/1", gone, []) == Remove("c/1")


def test_leader_hands_over_before_its_successor_is_promoted():
    """Guards against an even number of voters under a leader of a build without exchanges."""
    members = [*THREE, Member(node_id="s/1", host="host-s", port=7, domain="c")]
    signals = {"recent": {"s/1"}}
    assert next_membership_change(members, "c/1", {}, [], **signals) == Demote("c/1")
    assert next_membership_change(members, "a/1", {}, [], **signals) == Promote("s/1")


def test_learner_that_has_no_log_yet_takes_no_place():
    successor = Member(node_id="s/1", host="host-s", port=7, domain="c")
    signals = {"recent": {"s/1"}, "unsynced": {"s/1"}}
    assert next_membership_change([*THREE, successor], "a/1", {}, [], **signals) is None


def test_voter_that_ends_after_a_new_vm_has_joined_is_replaced_at_once():
    """The new VM took the place of another voter, and the one that ends is in another domain."""
    members = [member("a"), member("b"), member("c", voter=False), member("s")]
    members[3].domain = "c"
    signals = {"recent": {"s/1"}}
    silent = {"b/1": REPLACED_AFTER_S - 0.1}
    assert next_membership_change(members, "a/1", silent, [], **signals) is None
    departed = {**signals, "departed": {"b"}}
    assert next_membership_change(members, "a/1", silent, [], **departed) == Promote("c/1")
    short = {**signals, "catch_up_s": 2.0}
    assert next_membership_change(members, "a/1", silent, [], **short) == Promote("c/1")
    silent["b/1"] = REPLACED_AFTER_S + 0.1
    assert next_membership_change(members, "a/1", silent, [], **signals) == Promote("c/1")


def test_voter_that_returns_during_its_exchange_stays():
    members = [*THREE, member("d")]
    assert next_membership_change(members, "a/1", {}, []) == Demote("d/1")


def test_learner_moves_into_a_domain_without_voters():
    """Guards against the loss of one domain that holds most of the voters."""
    members = [member("a"), member("b"), member("b2"), member("c", voter=False)]
    members[2].domain = "b"
    change = next_membership_change(members, "a/1", {}, [])
    assert change == Promote("c/1")
    members = apply(members, change)
    assert next_membership_change(members, "a/1", {}, []) == Demote("b/1")


def test_two_new_vms_of_one_domain_in_a_row_end_with_the_newest_as_voter():
    members = [*THREE]
    for name in ("s", "t"):
        members.append(Member(node_id=f"{name}/1", host=f"host-{name}", port=7, domain="c"))
        while change := next_membership_change(members, "a/1", {}, [], recent={"s/1", "t/1"}):
            members = apply(members, change)
    assert [m.node_id for m in members if m.voter] == ["a/1", "b/1", "t/1"]


def test_two_dead_voters_of_five_are_removed_without_learners():
    """Guards against two replacements side by side that leave a quorum which bears no loss."""
    members = [member(name) for name in "abcde"]
    silent = {"d/1": DEAD_AFTER_S + 1}
    assert next_membership_change(members, "a/1", silent, []) is None
    silent["e/1"] = DEAD_AFTER_S + 2
    while change := next_membership_change(members, "a/1", silent, []):
        members = apply(members, change)
    assert [m.node_id for m in members] == ["a/1", "b/1", "c/1"]


def test_members_that_form_the_cluster_or_return_are_not_recent():
    recent = RecentMembers(forms_cluster=True)
    recent.update(THREE[:2], 10.0)
    recent.update(THREE, 11.0)
    assert not recent.ids()
    recent.update([*THREE, member("d")], 20.0)
    assert recent.ids() == {"d/1"}
    recent.update([*THREE[:2], member("c", 2), member("d")], 21.0)
    assert recent.ids() == {"d/1"}
    recent.update(THREE, 60.0)
    assert not recent.ids()


def test_a_successor_that_leads_knows_that_it_is_new():
    """Guards against a successor that takes the lead and waits as if no VM was replaced."""
    recent = RecentMembers(forms_cluster=False, own_vm="d")
    recent.update([*THREE, member("d")], 10.0)
    assert recent.ids() == {"d/1"}
    returned = RecentMembers(forms_cluster=False)
    returned.update([*THREE, member("d")], 10.0)
    assert not returned.ids()


def test_silent_voter_stays_a_member_while_no_learner_can_replace_it():
    assert next_membership_change(THREE, "a/1", {"b/1": 60.0, "c/1": 0.1}, []) is None


def test_silent_learner_does_not_replace_a_voter():
    members = [*THREE, member("d", voter=False)]
    assert next_membership_change(members, "a/1", {"c/1": 60.0, "d/1": 60.0}, []) is None


def test_number_of_voters_is_odd_and_at_most_seven():
    for count in range(4, 9):
        members = [*THREE, *(member(f"m{n}", voter=False) for n in range(count - 3))]
        for _ in range(20):
            change = next_membership_change(members, "a/1", {}, [])
            if change is None:
                break
            assert isinstance(change, Promote)
            for item in members:
                item.voter = item.voter or item.node_id == change.node_id
        voters = sum(item.voter for item in members)
        assert voters == min(7, count - 1 + count % 2)
        for item in THREE:
            item.voter = True


def test_members_converge_to_one_voter_per_vm_after_repeated_disk_losses():
    """VMs lose their disks in random order; each returns with a new node id."""
    rng = random.Random(4)
    members, disks = [member("a"), member("b"), member("c")], dict.fromkeys("abc", 1)
    for _ in range(50):
        name = rng.choice("bc")
        disks[name] += 1
        newcomer = member(name, disks[name], voter=False)
        for step in itertools.count():
            assert step < 10
            change = next_membership_change(members, "a/1", {}, [newcomer])
            if change is None:
                break
            members = apply(members, change)
        assert sorted(m.node_id for m in members) == sorted(f"{n}/{d}" for n, d in disks.items())
        assert all(m.voter for m in members)


class PartitionedMember:
    """A VM that receives no messages of a leader and is still a member in its own log."""

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
    """Records the addresses called; VMs other than the leader redirect to it."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def stub(self, address: str):
        async def join(request, *, timeout):
            self.calls.append(address)
            if address != "10.0.0.1:7":
                raise NotLeader(leader_address="10.0.0.1:7")

        return SimpleNamespace(Join=join)


def join_calls(silence_s: float) -> list[str]:
    async def body() -> list[str]:
        clients = RecordingClients()
        manager = VoterManager(
            VotingConfig(),
            PartitionedMember(silence_s),
            None,
            clients,
            SimpleNamespace(addresses=lambda: ["10.0.0.2:7"]),
            random.Random(1),
        )
        await manager._check_members()
        return clients.calls

    return asyncio.run(body())


def test_member_that_was_removed_during_a_partition_requests_to_join_again():
    assert join_calls(LEADER_SILENCE_S + 1)[-1] == "10.0.0.1:7"


def test_member_with_a_reachable_leader_sends_no_join_request():
    assert join_calls(0.1) == []
