"""Tests refused and repeated bootstraps and voter changes against a fake consensus node."""

import asyncio

import pytest

from bramleycrank.consensus import AddLearner, Promote, Remove
from bramleycrank.daemon.identity import Identity
from bramleycrank.daemon.voter_changes import VoterChanges, cluster_id_of
from bramleycrank.exceptions import (
    AlreadyBootstrapped,
    InvalidMembershipChange,
    LearnerNotCaughtUp,
    NotFound,
    NotLeader,
    Outcome,
    PeerUnreachable,
)
from bramleycrank.proto import log_pb2, peer_pb2


def address(number):
    return f"127.0.0.1:{7000 + number}"


class Cluster:
    """VMs 1 to 9, of which VM 1 is called; also acts as the clients of VM 1."""

    def __init__(self, voters=()):
        self.identity = Identity(vm_id="vm1", domain="a", host="127.0.0.1", port=7001)
        self.identities = {
            address(n): peer_pb2.IdentityReply(
                vm_id=f"vm{n}", node_id=f"vm{n}/disk", host="127.0.0.1", port=7000 + n
            )
            for n in range(1, 10)
        }
        members = [log_pb2.Member(node_id=f"vm{n}/disk", voter=True) for n in voters]
        self.membership = log_pb2.Membership(cluster_id="c", members=members)
        self.node_id = "vm1/disk"
        self.changes = []
        self.errors = []
        self.bootstrapped = {}
        self.unreachable = set()

    def stub(self, peer_address):
        self.asked = peer_address
        return self

    async def Identity(self, request, *, timeout):  # noqa: N802
        return self.identities[self.asked]

    async def Bootstrap(self, request, *, timeout):  # noqa: N802
        if self.asked in self.unreachable:
            raise PeerUnreachable("reset")
        self.bootstrapped[self.asked] = request.membership
        self.identities[self.asked].cluster_id = request.membership.cluster_id

    def on_identity(self):
        return self.identities[address(1)]

    def on_bootstrap(self, membership):
        self.bootstrapped[address(1)] = membership
        self.identities[address(1)].cluster_id = membership.cluster_id

    def require_leader(self):
        pass

    def leader_address(self):
        return address(2)

    async def confirm_read(self, timeout_s):
        return 1

    async def transfer_leadership(self):
        self.changes.append("transfer")

    async def change_membership(self, change, timeout_s):
        if self.errors:
            raise self.errors.pop(0)
        self.changes.append(change)
        members = {m.node_id: m for m in self.membership.members}
        match change:
            case AddLearner(member):
                members[member.node_id] = member
            case Promote(node_id):
                members[node_id].voter = True
            case Remove(node_id):
                del members[node_id]
        self.membership = log_pb2.Membership(cluster_id="c", members=members.values())
        return self.membership

    def run(self, method, *args):
        return asyncio.run(getattr(VoterChanges(self, self), method)(*args))


@pytest.mark.parametrize(
    "numbers, text",
    [
        ([], "no address"),
        ([1, 1], "twice"),
        (range(1, 9), "at most 7"),
        ([2, 3], "lack"),
    ],
)
def test_bootstrap_refuses_invalid_voters(numbers, text):
    cluster = Cluster()
    with pytest.raises(InvalidMembershipChange, match=text):
        cluster.run("bootstrap", [address(n) for n in numbers])
    assert cluster.bootstrapped == {}


def test_bootstrap_refuses_vms_that_may_not_vote_or_belong_to_another_cluster():
    cluster = Cluster()
    cluster.identities[address(2)].node_id = ""
    with pytest.raises(InvalidMembershipChange, match="may not vote"):
        cluster.run("bootstrap", [address(1), address(2)])
    cluster.identities[address(3)].cluster_id = "another"
    with pytest.raises(AlreadyBootstrapped):
        cluster.run("bootstrap", [address(1), address(3)])
    assert cluster.bootstrapped == {}


def test_bootstrap_that_reached_some_vms_continues_when_sent_again():
    cluster = Cluster()
    cluster.unreachable = {address(3)}
    addresses = [address(n) for n in (1, 2, 3)]
    with pytest.raises(PeerUnreachable):
        cluster.run("bootstrap", addresses)
    cluster.unreachable = set()
    membership = cluster.run("bootstrap", addresses[::-1])
    ids = {m.cluster_id for m in cluster.bootstrapped.values()}
    assert len(cluster.bootstrapped) == 3 and ids == {membership.cluster_id}
    assert membership.cluster_id == cluster_id_of([f"vm{n}/disk" for n in (3, 1, 2)])


def test_promotion_is_retried_until_the_learner_has_caught_up():
    cluster = Cluster(voters=(1, 2, 3))
    cluster.run("add", address(5), 5.0)
    cluster.errors = [LearnerNotCaughtUp()]
    cluster.run("add", address(4), 5.0)
    assert [type(c) for c in cluster.changes] == [AddLearner, Promote] * 2


def test_replace_fails_and_keeps_the_members_if_the_learner_never_catches_up():
    cluster = Cluster(voters=(1, 2, 3))
    membership = cluster.membership
    cluster.errors = [LearnerNotCaughtUp() for _ in range(100)]
    with pytest.raises(LearnerNotCaughtUp):
        cluster.run("replace", address(4), "vm3/disk", 0.3)
    assert cluster.membership == membership


def test_replace_removes_the_old_voter_only_after_the_promotion():
    cluster = Cluster(voters=(1, 2, 3))
    cluster.run("replace", address(4), "vm3/disk", 5.0)
    assert [type(c) for c in cluster.changes] == [AddLearner, Promote, Remove]
    again = cluster.run("replace", address(4), "vm3/disk", 5.0)
    assert again == cluster.membership and len(cluster.changes) == 3


@pytest.mark.parametrize("committed_steps", [1, 2])
def test_partly_committed_change_has_unknown_outcome(committed_steps):
    # The last step is refused after the new VM became a learner, or a voter beside the old one.
    class RefusesLastStep(Cluster):
        async def change_membership(self, change, timeout_s):
            if len(self.changes) == committed_steps:
                raise InvalidMembershipChange(outcome=Outcome.NOT_RUN)
            return await super().change_membership(change, timeout_s)

    cluster = RefusesLastStep(voters=(1, 2, 3))
    with pytest.raises(InvalidMembershipChange) as caught:
        cluster.run("replace", address(4), "vm3/disk", 5.0)
    assert caught.value.outcome is Outcome.UNKNOWN and len(cluster.changes) == committed_steps


@pytest.mark.parametrize(
    "voters, call, error",
    [
        ((1,), ("remove", "vm1/disk", 1.0), InvalidMembershipChange),
        ((1, 2), ("remove", "typo", 1.0), NotFound),
        ((1, 2), ("replace", address(3), "typo", 1.0), NotFound),
        ((1, 2), ("remove", "vm1/disk", 1.0), NotLeader),
        (range(1, 8), ("add", address(8), 1.0), InvalidMembershipChange),
        ((1, 2), ("add", "name:1", 1.0), InvalidMembershipChange),
    ],
)
def test_refused_changes_leave_the_members_unchanged(voters, call, error):
    cluster = Cluster(voters)
    with pytest.raises(error):
        cluster.run(*call)
    assert cluster.changes in ([], ["transfer"])


def test_vm_with_a_new_disk_is_not_added_while_its_old_node_is_a_member():
    cluster = Cluster(voters=(1, 2, 3))
    cluster.identities[address(3)].node_id = "vm3/new"
    with pytest.raises(InvalidMembershipChange, match="replace"):
        cluster.run("add", address(3), 1.0)
