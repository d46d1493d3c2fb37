"""Explains the state of consensus and of the configuration in short texts for dumps."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

# Silence after which a member is reported, in seconds: several missed heartbeats of 150 ms.
MEMBER_SILENCE_S = 1.0


def explain_role(
    role: str, may_vote: bool, failure: BaseException | None, core: Mapping[str, Any] | None
) -> str:
    """Return the reason for the role of a VM in consensus.

    Parameters
    ----------
    role : str
        Role that operators see.
    may_vote : bool
        Whether the settings let the VM vote.
    failure : BaseException or None
        Error that stopped the consensus core.
    core : Mapping or None
        Dump of the consensus core, if there is one.
    """
    if not may_vote or core is None:
        return "the settings give this VM no vote"
    if failure is not None:
        return f"the consensus core stopped: {failure}"
    if not core["cluster_id"]:
        return "the VM belongs to no cluster yet"
    if role == "entry":
        return "the node is not a member of the cluster"
    if role == "leader":
        return f"elected in term {core['term']}"
    if core["leader_id"]:
        return f"follows {core['leader_id']} in term {core['term']}"
    return "knows no leader and lacks the votes of a quorum"


def lagging_members(core: Mapping[str, Any] | None, now: float) -> dict[str, str]:
    """Return the members that lag behind this leader, with the reason; empty on a non-leader."""
    leadership = core["leadership"] if core else None
    if not leadership:
        return {}
    reasons = {}
    for node_id, progress in leadership["progress"].items():
        if node_id == core["node_id"]:
            continue
        silent_s = now - progress["heard_at"]
        behind = core["commit_index"] - progress["match_index"]
        if silent_s > MEMBER_SILENCE_S:
            reasons[node_id] = f"silent for {silent_s:.1f} s, {max(behind, 0)} entries behind"
        elif behind > 0:
            reasons[node_id] = f"{behind} entries behind"
    return reasons


def explain_age(ready: bool, current: bool, stale_s: float | None, leader_address: str) -> str:
    """Return the reason why the configuration of a VM is current or not.

    Parameters
    ----------
    ready, current : bool
        Whether a configuration is in force, and whether it was confirmed within the lease.
    stale_s : float or None
        Age of the latest confirmation in seconds, or None if there is none.
    leader_address : str
        Address of the known leader, or an empty string.
    """
    if current:
        return f"a leader confirmed the revision {stale_s:.1f} s ago"
    leader = (
        f"the leader at {leader_address} sends no confirmation"
        if leader_address
        else "no leader is known"
    )
    if not ready:
        return f"no configuration is in force; {leader}"
    if stale_s is None:
        return f"no confirmation of this revision is known; {leader}"
    return f"the last confirmation is {stale_s:.1f} s old; {leader}"
