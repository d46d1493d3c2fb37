"""Options and actions of `VmMembership` and `TargetRegistry`."""

from __future__ import annotations

from typing import ClassVar, TypeAlias

import attrs

from bramleycrank.proto import peer_pb2, target_pb2


@attrs.frozen
class MembershipConfig:
    """Options of `VmMembership` and `TargetRegistry`; times in seconds.

    Parameters
    ----------
    probe_period_s : float
        Time between two direct probes.
    probe_timeout_s : float
        Timeout of one direct or indirect probe.
    indirect_probes : int
        Number of VMs that are asked to probe a member that did not reply.
    suspicion_periods : float
        Probe periods from state SUSPECT to DEAD in a group of up to 10 VMs; multiplied by the
        decimal logarithm of the size of a larger group.
    sync_period_s : float
        Time between two anti-entropy exchanges.
    sync_timeout_s : float
        Timeout of one round of an exchange.
    record_retention_s : float
        Time for which the records of dead and left VMs are kept.
    budget_retention_s : float
        Time for which dead and left VMs still count for connection budgets.
    join_timeout_s : float
        Time that a starting VM waits for the first exchange with a seed.
    lease_s, renew_s : float
        Lease of a target and the time between two renewals.
    home_grace_s : float
        Time for which the targets of a dead or left home VM stay usable.
    leaving_retention_s : float
        Time for which a LEAVING record is kept. It must be longer than any delay of a renewal and
        any partition after which a VM could still advertise an older record as usable.
    expired_retention_s : float
        Time for which an EXPIRED record is kept.
    max_message_bytes : int
        Limit for the size of the records in one message.
    max_ended_targets : int
        Limit for the number of LEAVING and EXPIRED records; the oldest are dropped first.
    push_retries : int
        Maximum number of retries of a failed push.
    push_retry_s : float
        Time between a failed push and its retry.
    """

    probe_period_s: float = 1.0
    probe_timeout_s: float = 0.4
    indirect_probes: int = 3
    suspicion_periods: float = 3.0
    sync_period_s: float = 10.0
    sync_timeout_s: float = 1.0
    record_retention_s: float = 60.0
    budget_retention_s: float = 30.0
    join_timeout_s: float = 3.0
    lease_s: float = 6.0
    renew_s: float = 2.0
    home_grace_s: float = 10.0
    leaving_retention_s: float = 24 * 3600.0
    expired_retention_s: float = 600.0
    max_message_bytes: int = 32 * 1024
    max_ended_targets: int = 100_000
    push_retries: int = 3
    push_retry_s: float = 0.5


@attrs.frozen
class SendProbe:
    """Action: send a probe, then call `on_probe_reply` or `on_probe_failed`."""

    probe_id: int
    address: str
    request: peer_pb2.ProbeRequest
    timeout_s: float
    purpose: str = "probes"


@attrs.frozen
class RelayProbe:
    """Action: probe a VM on behalf of another one, then call `on_relay_reply` if it replied."""

    purpose: ClassVar[str] = "probes"

    address: str
    request: peer_pb2.ProbeRequest
    timeout_s: float


@attrs.frozen
class SendSync:
    """Action: send one round of an exchange, then call `on_sync_reply` or `on_sync_failed`."""

    purpose: ClassVar[str] = "exchanges"

    sync_id: int
    address: str
    request: peer_pb2.SyncRequest
    timeout_s: float


@attrs.frozen
class VmChanged:
    """Action: the record of a VM changed."""

    record: peer_pb2.VmRecord


@attrs.frozen
class TargetChanged:
    """Action: the record of a target or its usability changed."""

    record: target_pb2.TargetRecord


@attrs.frozen
class PushRecords:
    """Action: send records immediately; `VmMembership.push` returns the messages for it.

    Parameters
    ----------
    records : tuple of TargetRecord
        Records to send.
    fanout : int
        Number of random VMs to send to; 0 for as many as are needed to reach all VMs.
    own_domain_only : bool
        Whether to send only to VMs of the own failure domain.
    """

    records: tuple[target_pb2.TargetRecord, ...]
    fanout: int = 0
    own_domain_only: bool = False


Action: TypeAlias = SendProbe | RelayProbe | SendSync | VmChanged | TargetChanged | PushRecords
