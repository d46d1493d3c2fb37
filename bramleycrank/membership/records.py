"""Order and hashes of VM and target records.

Each kind of record has a total order, so two VMs that received the same records keep the same
ones, whatever the order of arrival. The content hash is the last element of the order: it decides
between records that VMs on both sides of a partition wrote with the same incarnation and sequence.
"""

from __future__ import annotations

from functools import lru_cache

import xxhash

from bramleycrank.proto.peer_pb2 import (
    VM_STATE_ALIVE,
    VM_STATE_DEAD,
    VM_STATE_DRAINING,
    VM_STATE_LEFT,
    VM_STATE_SUSPECT,
    RecordDigest,
    VmRecord,
    VmState,
)
from bramleycrank.proto.target_pb2 import (
    TARGET_STATE_EXPIRED,
    TARGET_STATE_LEAVING,
    TargetRecord,
    TargetState,
)

BUCKETS = 256
MAX_PORT = 65_535
LIVE_STATES = frozenset({VM_STATE_ALIVE, VM_STATE_DRAINING, VM_STATE_SUSPECT})
DEPARTED_STATES = frozenset({VM_STATE_DEAD, VM_STATE_LEFT})
ENDED_STATES = frozenset({TARGET_STATE_LEAVING, TARGET_STATE_EXPIRED})

Key = tuple[int, int, int, int]


def state_name(record: VmRecord | TargetRecord) -> str:
    """Return the name of the state of a record in lower case, for logs and dumps.

    For a state that only a newer version of the software knows, its number is returned.
    """
    states, prefix = TargetState, "TARGET_STATE_"
    if isinstance(record, VmRecord):
        states, prefix = VmState, "VM_STATE_"
    value = states.DESCRIPTOR.values_by_number.get(record.state)
    return value.name.removeprefix(prefix).lower() if value else str(record.state)


def address_of(record: VmRecord | TargetRecord) -> str:
    """Return the ``host:port`` of a record."""
    return f"{record.host}:{record.port}"


def is_addressable(record: TargetRecord) -> bool:
    """Return whether requests can be sent to a target: by its address, and by its id in a header.

    A VM of another build may have taken over a record that this one would reject.
    """
    return (
        bool(record.host)
        and 0 < record.port <= MAX_PORT
        and record.target_id.isascii()
        and record.target_id.isprintable()
    )


def vm_key(record: VmRecord) -> Key:
    """Return the order key of a VM record: incarnation, state, 0, content hash."""
    return record.incarnation, record.state, 0, _content_hash(record)


def target_key(record: TargetRecord) -> Key:
    """Return the order key of a target record: incarnation, rank, sequence, content hash.

    `ended_age_s` is not part of the content, because it grows while the record stays the same.
    """
    rank = int(record.state == TARGET_STATE_LEAVING)
    return record.incarnation, rank, record.sequence, _content_hash(without_age(record))


def without_age(record: TargetRecord) -> TargetRecord:
    """Return the record without `ended_age_s`; it is copied only if it has one."""
    return with_age(record, 0) if record.ended_age_s else record


def with_age(record: TargetRecord, age_s: int) -> TargetRecord:
    """Return a copy of the record with `ended_age_s` set, in whole seconds."""
    copy = TargetRecord()
    copy.CopyFrom(record)
    copy.ended_age_s = age_s
    return copy


def _content_hash(record: VmRecord | TargetRecord) -> int:
    return xxhash.xxh64_intdigest(record.SerializeToString(deterministic=True))


@lru_cache(maxsize=65536)
def bucket_of(record_id: str) -> int:
    """Return the digest bucket of a record id (``vm/ID`` or ``target/ID``)."""
    return xxhash.xxh64_intdigest(record_id.encode()) % BUCKETS


def digest(record_id: str, state: int, key: Key) -> RecordDigest:
    """Return the digest of a record with the given order key."""
    incarnation, _, sequence, content_hash = key
    return RecordDigest(
        id=record_id,
        incarnation=incarnation,
        state=state,
        sequence=sequence,
        content_hash=content_hash,
    )


def digest_key(item: RecordDigest) -> Key:
    """Return the order key of the record that a digest describes."""
    if item.id.startswith("vm/"):
        return item.incarnation, item.state, 0, item.content_hash
    rank = int(item.state == TARGET_STATE_LEAVING)
    return item.incarnation, rank, item.sequence, item.content_hash


def hash_contribution(key: Key) -> int:
    """Return the contribution of a record to the hash of its bucket; contributions are XORed.

    The content hash covers the id and all other parts of the key.
    """
    return key[3]
