"""Membership rules: voters, majorities and allowed changes."""

from __future__ import annotations

from collections.abc import Iterable

from bramleycrank.consensus.types import (
    MAX_VOTERS,
    AddLearner,
    Demote,
    MembershipChange,
    Promote,
    Remove,
)
from bramleycrank.exceptions import InvalidMembershipChange, Outcome
from bramleycrank.proto.log_pb2 import Member, Membership


def voter_ids(membership: Membership) -> list[str]:
    """Return the node ids of the voters."""
    return [member.node_id for member in membership.members if member.voter]


def find_member(membership: Membership, node_id: str) -> Member | None:
    """Return the member with this node id; ``None`` if there is none."""
    return next((m for m in membership.members if m.node_id == node_id), None)


def is_voter(membership: Membership, node_id: str) -> bool:
    """Return whether a node is a voter."""
    member = find_member(membership, node_id)
    return member is not None and member.voter


def has_quorum(membership: Membership, nodes: Iterable[str]) -> bool:
    """Return whether the nodes include a majority of the voters; false if there are no voters."""
    ids = voter_ids(membership)
    return 2 * len(set(ids) & set(nodes)) > len(ids)


def quorum_value(values: list[float]) -> float:
    """Return the highest value that a majority has reached, given one value per voter."""
    return sorted(values, reverse=True)[len(values) // 2]


def check_initial_membership(membership: Membership, node_id: str) -> None:
    """Raise ``InvalidMembershipChange`` if a new cluster cannot start with this membership."""
    ids = [member.node_id for member in membership.members]
    if not membership.cluster_id:
        raise _invalid_change("the membership has no cluster id")
    if len(set(ids)) != len(ids) or not all(ids):
        raise _invalid_change("the membership has an empty or duplicate node id")
    if not all(member.voter for member in membership.members) or len(ids) > MAX_VOTERS:
        raise _invalid_change(f"a new cluster starts with 1 to {MAX_VOTERS} voters and no learners")
    if node_id not in ids:
        raise _invalid_change(f"{node_id} is not in the membership")


def membership_after(membership: Membership, change: MembershipChange) -> Membership:
    """Return the membership after a change; raises ``InvalidMembershipChange`` if not allowed."""
    result = Membership()
    result.CopyFrom(membership)
    match change:
        case AddLearner(member):
            _add_learner(result, member)
        case Promote(node_id):
            _promote(result, node_id)
        case Demote(node_id):
            _demote(result, node_id)
        case Remove(node_id):
            _remove(result, node_id)
    return result


def _add_learner(membership: Membership, member: Member) -> None:
    if not member.node_id:
        raise _invalid_change("the new member has no node id")
    if find_member(membership, member.node_id) is not None:
        raise _invalid_change(f"{member.node_id} is already a member")
    added = membership.members.add()
    added.CopyFrom(member)
    added.voter = False


def _promote(membership: Membership, node_id: str) -> None:
    member = find_member(membership, node_id)
    if member is None or member.voter:
        raise _invalid_change(f"{node_id} is not a learner")
    if len(voter_ids(membership)) >= MAX_VOTERS:
        raise _invalid_change(f"there are already {MAX_VOTERS} voters")
    member.voter = True


def _demote(membership: Membership, node_id: str) -> None:
    member = find_member(membership, node_id)
    if member is None or not member.voter:
        raise _invalid_change(f"{node_id} is not a voter")
    if voter_ids(membership) == [node_id]:
        raise _invalid_change("the last voter cannot be demoted")
    member.voter = False


def _remove(membership: Membership, node_id: str) -> None:
    member = find_member(membership, node_id)
    if member is None:
        raise _invalid_change(f"{node_id} is not a member")
    if voter_ids(membership) == [node_id]:
        raise _invalid_change("the last voter cannot be removed")
    membership.members.remove(member)


def _invalid_change(message: str) -> InvalidMembershipChange:
    return InvalidMembershipChange(message, outcome=Outcome.NOT_RUN)
