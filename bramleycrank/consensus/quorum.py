"""Rules for the membership: who counts, and which changes are allowed."""

from __future__ import annotations

from collections.abc import Iterable

from bramleycrank.consensus.types import (
    MAX_VOTERS,
    AddLearner,
    MembershipChange,
    Promote,
    Remove,
)
from bramleycrank.exceptions import InvalidMembershipChange, Outcome
from bramleycrank.proto.log_pb2 import Member, Membership


def voters(membership: Membership) -> list[str]:
    """Return the node ids that vote."""
    return [member.node_id for member in membership.members if member.voter]


def find(membership: Membership, node_id: str) -> Member | None:
    """Return the member with a node id."""
    return next((m for m in membership.members if m.node_id == node_id), None)


def is_voter(membership: Membership, node_id: str) -> bool:
    """Return whether a node votes."""
    member = find(membership, node_id)
    return member is not None and member.voter


def has_quorum(membership: Membership, nodes: Iterable[str]) -> bool:
    """Return whether the nodes contain a majority of the voters; no voters give no majority."""
    ids = voters(membership)
    return 2 * len(set(ids) & set(nodes)) > len(ids)


def quorum_value(values: list[float]) -> float:
    """Return the highest value that a majority has reached, given one value for each voter."""
    return sorted(values, reverse=True)[len(values) // 2]


def check_first_membership(membership: Membership, node_id: str) -> None:
    """Raise ``InvalidMembershipChange`` unless a new cluster may start with this membership."""
    ids = [member.node_id for member in membership.members]
    if not membership.cluster_id:
        raise _invalid("the membership has no cluster id")
    if len(set(ids)) != len(ids) or not all(ids):
        raise _invalid("the membership has an empty or repeated node id")
    if not all(member.voter for member in membership.members) or len(ids) > MAX_VOTERS:
        raise _invalid(f"a new cluster starts with 1 to {MAX_VOTERS} voters and no learners")
    if node_id not in ids:
        raise _invalid(f"{node_id} is not in the membership")


def changed(membership: Membership, change: MembershipChange) -> Membership:
    """Return the membership after a change; raises ``InvalidMembershipChange``."""
    result = Membership()
    result.CopyFrom(membership)
    match change:
        case AddLearner(member):
            _add_learner(result, member)
        case Promote(node_id):
            _promote(result, node_id)
        case Remove(node_id):
            _remove(result, node_id)
    return result


def _add_learner(membership: Membership, member: Member) -> None:
    if not member.node_id:
        raise _invalid("the new member has no node id")
    if find(membership, member.node_id) is not None:
        raise _invalid(f"{member.node_id} is already a member")
    added = membership.members.add()
    added.CopyFrom(member)
    added.voter = False


def _promote(membership: Membership, node_id: str) -> None:
    member = find(membership, node_id)
    if member is None or member.voter:
        raise _invalid(f"{node_id} is not a learner")
    if len(voters(membership)) >= MAX_VOTERS:
        raise _invalid(f"there are already {MAX_VOTERS} voters")
    member.voter = True


def _remove(membership: Membership, node_id: str) -> None:
    member = find(membership, node_id)
    if member is None:
        raise _invalid(f"{node_id} is not a member")
    if voters(membership) == [node_id]:
        raise _invalid("the last voter cannot be removed")
    membership.members.remove(member)


def _invalid(message: str) -> InvalidMembershipChange:
    return InvalidMembershipChange(message, outcome=Outcome.NOT_RUN)
