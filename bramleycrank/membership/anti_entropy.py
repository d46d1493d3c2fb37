"""Anti-entropy: two VMs compare digests by bucket and exchange the records that differ.

An exchange starts with one hash over all records. If the hashes differ, the reply has one hash for
each bucket, and the next rounds compare the digests of a few buckets at a time. The size of each
message is bounded, so a round may transfer only a part of the records; a batch of buckets is
repeated until it transfers no more records.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random

import attrs

from bramleycrank.membership.records import (
    BUCKETS,
    DEPARTED_STATES,
    Key,
    bucket_of,
    digest,
    digest_key,
    hash_contribution,
)
from bramleycrank.membership.types import Action, SendSync
from bramleycrank.membership.view import GroupView
from bramleycrank.proto.peer_pb2 import Gossip, RecordDigest, SyncReply, SyncRequest

# A digest takes about 50 bytes, so the digests of a round take about 25 KiB.
MAX_DIGESTS = 512

# Buckets compared in one round; bounds the work of a round with a VM that has no records yet.
MAX_BUCKETS = 16

# Bounds an exchange during which the records of both VMs keep changing.
MAX_ROUNDS = 400

Entries = dict[str, tuple[int, Key]]


@attrs.define
class _Exchange:
    """An exchange that this VM started."""

    address: str
    remaining: list[int] | None = None  # buckets left to compare; None before the first reply
    batch: list[int] = attrs.field(factory=list)
    wanted: list[str] = attrs.field(factory=list)
    sent: set[str] = attrs.field(factory=set)  # records sent for the current batch
    rounds: int = 0


class AntiEntropy:
    """Runs the exchanges that this VM starts and replies to those of other VMs.

    Parameters
    ----------
    view : GroupView
        Records that this VM has.
    rng : random.Random
        Source of the random order of buckets.
    """

    def __init__(self, view: GroupView, rng: Random) -> None:
        self._view = view
        self._rng = rng
        self._next_id = 0
        self._open: dict[int, _Exchange] = {}
        self.completed = 0

    @property
    def has_reply(self) -> bool:
        """Whether an exchange started by this VM has received a reply."""
        return any(exchange.rounds > 1 for exchange in self._open.values())

    def addresses_without_exchange(self, addresses: Iterable[str]) -> list[str]:
        """Return the addresses with which this VM runs no exchange."""
        running = {exchange.address for exchange in self._open.values()}
        return [address for address in addresses if address not in running]

    def start(self, address: str, now: float) -> list[Action]:
        """Start an exchange with a VM, unless one with its address is running."""
        if not self.addresses_without_exchange([address]):
            return []
        return [self._send(_Exchange(address), now)]

    def _send(self, exchange: _Exchange, now: float) -> SendSync:
        self._next_id += 1
        self._open[self._next_id] = exchange
        exchange.rounds += 1
        request = SyncRequest(gossip=Gossip(sender=self._view.vms.local), buckets=exchange.batch)
        if exchange.batch:
            # Unadvertised records are listed too; the peer would otherwise send them in every
            # round.
            request.digests.extend(
                _digests(self._entries(now, exchange.batch, include_unadvertised=True))
            )
        else:
            request.digest_hash = _total_hash(self._entries(now))
        omitted = self._view.add_records(request.gossip, exchange.wanted, now)
        exchange.sent.update(set(exchange.wanted).difference(omitted))
        exchange.wanted = omitted
        return SendSync(self._next_id, exchange.address, request, self._view.cfg.sync_timeout_s)

    def on_request(self, request: SyncRequest, now: float) -> tuple[SyncReply, list[Action]]:
        """Return the reply to one round of another VM's exchange."""
        actions = self._view.merge(request.gossip, now)
        reply = SyncReply(gossip=Gossip(sender=self._view.vms.local))
        if not request.buckets:
            entries = self._entries(now)
            reply.equal = request.digest_hash == _total_hash(entries)
            if not reply.equal:
                reply.bucket_hashes.extend(_bucket_hashes(entries))
            return reply, actions
        offered, wanted = self._compare(request, self._entries(now, request.buckets))
        reply.wanted_ids.extend(wanted)
        self._view.add_records(reply.gossip, offered, now)
        return reply, actions

    def _compare(self, request: SyncRequest, entries: Entries) -> tuple[list[str], list[str]]:
        """Return the ids of the records to send and of the records to request."""
        peer_keys = {item.id: digest_key(item) for item in request.digests}
        wanted = [
            wanted_id for wanted_id, key in peer_keys.items() if self._needs_record(wanted_id, key)
        ]
        offered = [
            record_id
            for record_id, (_, key) in entries.items()
            if record_id not in peer_keys or peer_keys[record_id] < key
        ]
        # VM records first: the usability of a target depends on the record of its home VM.
        return sorted(offered, key=lambda offered_id: offered_id.startswith("target/")), wanted[
            :MAX_DIGESTS
        ]

    def _needs_record(self, record_id: str, key: Key) -> bool:
        kind, _, name = record_id.partition("/")
        if kind == "vm":
            known = self._view.vms.key(name)
            if known is None:
                return key[1] not in DEPARTED_STATES
        else:
            known = self._view.registry.key(name)
        return known is None or known < key

    def on_reply(self, sync_id: int, reply: SyncReply, now: float) -> list[Action]:
        """Handle the reply to one round and send the next one."""
        exchange = self._open.pop(sync_id, None)
        if exchange is None:
            return []
        # Until its first exchange completes, this VM receives records that others already have.
        actions = self._view.merge(reply.gossip, now, queue_for_gossip=self.completed > 0)
        if exchange.remaining is None:
            exchange.remaining = [] if reply.equal else self._differing_buckets(reply, now)
        self._choose_batch(exchange, reply, progress=bool(actions), now=now)
        if not exchange.batch or exchange.rounds >= MAX_ROUNDS:
            self.completed += 1
            return actions
        return [*actions, self._send(exchange, now)]

    def _choose_batch(
        self, exchange: _Exchange, reply: SyncReply, *, progress: bool, now: float
    ) -> None:
        """Repeat the batch of buckets while it transfers records; then choose the next batch.

        A record that was sent and is requested again was rejected by the peer, so it is not resent.
        """
        wanted = {*exchange.wanted, *reply.wanted_ids} - exchange.sent
        wanted.intersection_update(self._entries(now, exchange.batch) if wanted else ())
        exchange.wanted = sorted(wanted, key=lambda wanted_id: wanted_id.startswith("target/"))
        if not exchange.wanted and not progress:
            exchange.batch = []
        if not exchange.batch:
            exchange.sent.clear()
            exchange.batch = exchange.remaining[:MAX_BUCKETS]
            del exchange.remaining[:MAX_BUCKETS]
        self._limit_batch(exchange, now)

    def _differing_buckets(self, reply: SyncReply, now: float) -> list[int]:
        own_hashes = _bucket_hashes(self._entries(now))
        buckets = [
            bucket
            for bucket, (own_hash, peer_hash) in enumerate(
                zip(own_hashes, reply.bucket_hashes, strict=False)
            )
            if own_hash != peer_hash
        ]
        self._rng.shuffle(buckets)
        return buckets

    def _limit_batch(self, exchange: _Exchange, now: float) -> None:
        """Defer the buckets whose digests do not fit into one message, but keep at least one."""
        digest_count = 0
        for position, bucket in enumerate(exchange.batch):
            digest_count += len(self._entries(now, [bucket], include_unadvertised=True))
            if digest_count > MAX_DIGESTS and position:
                exchange.remaining.extend(exchange.batch[position:])
                del exchange.batch[position:]
                return

    def on_failed(self, sync_id: int) -> None:
        """End an exchange whose peer did not reply."""
        self._open.pop(sync_id, None)

    def _entries(
        self,
        now: float,
        buckets: Sequence[int] | None = None,
        *,
        include_unadvertised: bool = False,
    ) -> Entries:
        """Return state and key of the records in the given buckets, or in all."""
        selected = None if buckets is None else set(buckets)
        entries = {
            record_id: (state, key)
            for record_id, state, key in self._view.vms.entries(
                now, include_unadvertised=include_unadvertised
            )
            if selected is None or bucket_of(record_id) in selected
        }
        for record_id, state, key in self._view.registry.entries(
            now, selected, include_unadvertised=include_unadvertised
        ):
            entries[record_id] = state, key
        return entries

    def dump(self) -> dict[str, object]:
        """Return the number of completed exchanges and the rounds of the running ones."""
        return {
            "completed": self.completed,
            "open": {exchange.address: exchange.rounds for exchange in self._open.values()},
        }


def _bucket_hashes(entries: Entries) -> list[int]:
    hashes = [0] * BUCKETS
    for record_id, (_, key) in entries.items():
        hashes[bucket_of(record_id)] ^= hash_contribution(key)
    return hashes


def _total_hash(entries: Entries) -> int:
    total_hash = 0
    for _, key in entries.values():
        total_hash ^= hash_contribution(key)
    return total_hash


def _digests(entries: Entries) -> list[RecordDigest]:
    return [digest(record_id, state, key) for record_id, (state, key) in entries.items()]
