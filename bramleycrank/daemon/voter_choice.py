"""Decides which change of the log's members the leader makes next."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence

import attrs

from bramleycrank.consensus import MAX_VOTERS, AddLearner, Demote, MembershipChange, Promote, Remove
from bramleycrank.proto.log_pb2 import Member

READY_SILENCE_S = 1.0
"""Longest silence of a learner that may become a voter, in seconds; several heartbeats."""

DEAD_AFTER_S = 3.0
"""Silence after which a voter is replaced while no replacement is planned, in seconds.

A restart or a long election after a partition has ended by then, so that a rolling restart does not
exchange voters. A voter that returns later joins again as a learner and keeps its log.
"""

REPLACED_AFTER_S = 1.0
"""Longest silence after which a voter is replaced while a replacement is planned, in seconds."""

REPLACED_AFTER_SHARE = 0.25
"""Part of a new VM's time to catch up after which a silent voter is replaced."""

DEPARTED_AFTER_S = 0.3
"""Silence after which a voter that announced its stop is replaced, in seconds; two heartbeats."""

GONE_AFTER_S = 60.0
"""Silence after which a learner is removed, in seconds."""

MIN_SHRINKING_VOTERS = 4
"""Number of voters above which lost ones are removed without replacement."""

RECENT_S = 30.0
"""Time after which a new member is no longer taken for the successor of another, in seconds."""

FORMATION_S = 2.5
"""Time in which the first members join a new cluster, in seconds."""


@attrs.frozen
class MemberSignals:
    """What the leader knows of the members beside the log.

    Parameters
    ----------
    silent_s : mapping
        Time since the last message of each other member, in seconds, by node id.
    recent : collection of str
        Members whose VM joined with an empty log within the last `RECENT_S`.
    unsynced : collection of str
        Members that have not acknowledged any entry to this leader.
    departed : collection of str
        Ids of VMs that announced that they have left.
    catch_up_s : float
        Time that a new VM has until the one it succeeds may no longer be counted, in seconds.
    """

    silent_s: Mapping[str, float] = attrs.field(factory=dict)
    recent: Collection[str] = frozenset()
    unsynced: Collection[str] = frozenset()
    departed: Collection[str] = frozenset()
    catch_up_s: float = 4.0


class RecentMembers:
    """Remembers which members joined with an empty log a short time ago.

    A VM that was a member before returns with its log; it is no successor of another VM. Nor are
    the members that form the cluster.

    Parameters
    ----------
    forms_cluster : bool
        Whether this VM takes part in the first start of the system.
    own_vm : str, optional
        Id of this VM if it started with an empty log; it is then a new member itself, and all
        others are known when it learns of itself.
    """

    def __init__(self, forms_cluster: bool, own_vm: str = "") -> None:
        self._forms_cluster = forms_cluster
        self._own_vm = "" if forms_cluster else own_vm
        self._initial_until: float | None = None
        self._known_vms: set[str] = set()
        self._joined_at: dict[str, float] = {}

    def update(self, members: Sequence[Member], now: float) -> None:
        """Record the members of the log at a time, in seconds."""
        if self._initial_until is None:
            self._initial_until = now + (FORMATION_S if self._forms_cluster else 0.0)
        initial = now <= self._initial_until
        self._joined_at = {i: at for i, at in self._joined_at.items() if now - at < RECENT_S}
        for member in members:
            vm_id = vm_of(member.node_id)
            if vm_id not in self._known_vms:
                self._known_vms.add(vm_id)
                if not initial or vm_id == self._own_vm:
                    self._joined_at[member.node_id] = now

    def ids(self) -> frozenset[str]:
        """Return the node ids of the members that joined a short time ago."""
        return frozenset(self._joined_at)


def vm_of(node_id: str) -> str:
    """Return the id of a node's VM."""
    return node_id.partition("/")[0]


def next_membership_change(
    members: Sequence[Member],
    own_id: str,
    signals: MemberSignals,
    newcomers: Sequence[Member] = (),
) -> MembershipChange | None:
    """Return the next change of the members that the leader should make, or None.

    - A member whose VM returned with another disk, or whose address another VM uses, is removed
      immediately, because that node never returns. It is removed before its successor is added,
      so that the quorum does not count it.
    - A newcomer is added as a learner.
    - The number of voters is odd: with an even number, a partition into two halves leaves neither
      of them with a quorum.
    - A new VM takes the place of the voter of its domain that joined first, since it probably
      succeeds that one: once the successor has caught up, the other one may end at any time, and
      another voter may lose its disk with it.
    - A learner takes the place of a silent voter, or of one in a domain with more voters. Without
      learners, several silent voters are removed as long as three others remain.

    In each exchange the learner is promoted first. The voters are then even in number for a moment,
    and the loss of one of them leaves a quorum, which is not so between a removal and a promotion.

    Parameters
    ----------
    members : sequence of Member
        Members of the log, in the order in which they joined.
    own_id : str
        Node id of the leader. The change may be to take away its own vote, which another voter
        makes once it leads. A leader hands over before its successor is promoted, so that a leader
        of a build without exchanges does not find an even number of voters.
    signals : MemberSignals
        What the leader knows of the members.
    newcomers : sequence of Member, optional
        VMs that requested to become members.
    """
    return _admission(members, own_id, newcomers) or _Choice(members, own_id, signals).change()


def _admission(
    members: Sequence[Member], own_id: str, newcomers: Sequence[Member]
) -> MembershipChange | None:
    ids = {member.node_id for member in members}
    unadmitted = [item for item in newcomers if item.node_id not in ids]
    for newcomer in unadmitted:
        for member in members:
            if member.node_id != own_id and _replaces(newcomer, member):
                return Remove(member.node_id)
    return AddLearner(unadmitted[0]) if unadmitted else None


def _replaces(newcomer: Member, member: Member) -> bool:
    same_vm = vm_of(newcomer.node_id) == vm_of(member.node_id)
    return same_vm or (newcomer.host, newcomer.port) == (member.host, member.port)


class _Choice:
    """The voters and learners of a log, and who may take whose place."""

    def __init__(self, members: Sequence[Member], own_id: str, signals: MemberSignals) -> None:
        self._own_id = own_id
        self._signals = signals
        self._voters = [member for member in members if member.voter]
        self._learners = [member for member in members if not member.voter]
        self._lost = [member for member in self._voters if self._is_lost(member)]
        self._ready = [
            member
            for member in self._learners
            if self._responds(member) and member.node_id not in signals.unsynced
        ]
        self._predecessors = self._find_predecessors(members)
        self._voters_in = Counter(m.domain for m in self._voters if m not in self._lost)

    def change(self) -> MembershipChange | None:
        """Return the next change of members that have been admitted, or None."""
        if surplus := self._surplus_voter():
            return (Remove if surplus in self._lost else Demote)(surplus.node_id)
        if lost := self._lost_voter_to_remove():
            return Remove(lost.node_id)
        if promoted := self._learner_to_promote():
            predecessor = self._predecessors.get(promoted.node_id)
            if predecessor and predecessor.node_id == self._own_id and not self._lost:
                return Demote(self._own_id)  # another leader makes both changes
            return Promote(promoted.node_id)
        gone = (m for m in self._learners if self._silence(m) > GONE_AFTER_S)
        return next((Remove(member.node_id) for member in gone), None)

    def _silence(self, member: Member) -> float:
        return self._signals.silent_s.get(member.node_id, 0.0)

    def _responds(self, member: Member) -> bool:
        return self._silence(member) < READY_SILENCE_S

    def _is_lost(self, member: Member) -> bool:
        """Return whether a voter is silent for so long that a learner should replace it.

        A voter that stops does not know whether it will return. A VM that joined a short time ago
        tells that a replacement is planned, and not a restart.
        """
        limit_s = DEAD_AFTER_S
        if self._signals.recent:
            limit_s = min(REPLACED_AFTER_S, REPLACED_AFTER_SHARE * self._signals.catch_up_s)
            if vm_of(member.node_id) in self._signals.departed:
                limit_s = min(limit_s, DEPARTED_AFTER_S)
        return self._silence(member) > limit_s

    def _find_predecessors(self, members: Sequence[Member]) -> dict[str, Member]:
        """Return the member that each new one probably succeeds, by the new one's node id.

        It is the first one of its domain, a voter if there is one.
        """
        found: dict[str, Member] = {}
        for position, member in enumerate(members):
            if member.node_id in self._signals.recent and (member.voter or member in self._ready):
                earlier = [
                    other
                    for other in members[:position]
                    if other.domain == member.domain and other not in found.values()
                ]
                if earlier:
                    found[member.node_id] = min(earlier, key=lambda other: not other.voter)
        return found

    def _desired_voters(self) -> int:
        """Return the greatest odd number of voters for the members that respond and will stay."""
        leaving = self._predecessors.values()
        voters = [member for member in self._voters if member not in self._lost]
        learners = [member for member in self._learners if self._responds(member)]
        candidates = sum(member not in leaving for member in (*voters, *learners))
        return min(candidates - (candidates + 1) % 2, MAX_VOTERS)

    def _surplus_voter(self) -> Member | None:
        """Return the voter that makes the number of voters even, or None.

        Voters that are lost give up their vote first, then those that a new VM succeeds, then the
        first one of a domain with most voters.
        """
        count = len(self._voters)
        if count % 2 or count <= max(2, self._desired_voters()):
            return None
        if self._lost:
            return max(self._lost, key=self._silence)
        succeeded = (m for m in self._voters if m in self._predecessors.values())
        if leaving := next(succeeded, None):
            return leaving
        newest = {m.domain: position for position, m in enumerate(self._voters)}
        domain = max(newest, key=lambda name: (self._voters_in[name], newest[name]))
        return next(member for member in self._voters if member.domain == domain)

    def _lost_voter_to_remove(self) -> Member | None:
        """Return the lost voter that has to go before anything else is changed, or None.

        One lost voter that no learner can replace stays, since the quorum without it is no smaller.
        Of several ones two go: the others then bear one more loss.
        """
        count = len(self._voters)
        full = bool(self._ready) and count >= MAX_VOTERS
        shrinks = not self._ready and len(self._lost) > 1 and count > MIN_SHRINKING_VOTERS
        return max(self._lost, key=self._silence) if self._lost and (full or shrinks) else None

    def _learner_to_promote(self) -> Member | None:
        count = len(self._voters)
        if not self._ready or count >= MAX_VOTERS:
            return None
        best = min(self._ready, key=self._promotion_order)
        if self._lost:
            return best
        if count < self._desired_voters() and best not in self._predecessors.values():
            return best
        for learner in self._ready:
            if learner.node_id in self._predecessors and self._predecessors[learner.node_id].voter:
                return learner
        most = max(self._voters_in.values(), default=0)
        return best if self._voters_in[best.domain] + 2 <= most else None

    def _promotion_order(self, member: Member) -> tuple[bool, int, bool, str]:
        """Return the sort key of a learner.

        Those that a new VM succeeds come last; then count voters in its domain, its age as a
        member, and its node id.
        """
        leaving = member in self._predecessors.values()
        recent = member.node_id in self._signals.recent
        return leaving, self._voters_in[member.domain], not recent, member.node_id
