"""Anti-entropy: two VMs compare digests by bucket and exchange the records that differ.

An exchange starts with one hash over all records. If the hashes differ, the answer has one hash for
each bucket, and the next rounds compare the digests of a few buckets at a time. Each message is
bounded, so a round may transfer a part only; a batch of buckets is repeated until it transfers
nothing more.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random

import attrs

from bramleycrank.membership.records import (
    BUCKETS,
    GONE_STATES,
    Key,
    bucket_of,
    combine,
    digest,
    digest_key,
)
from bramleycrank.membership.types import Action, SendSync
from bramleycrank.membership.view import GroupView
from bramleycrank.proto.peer_pb2 import Gossip, RecordDigest, SyncReply, SyncRequest

# A digest takes about 50 bytes, so a round stays near 25 KiB.
MAX_DIGESTS = 512

# Buckets compared at a time; bounds the work of a round for a VM that has no records yet.
MAX_BUCKETS = 16

# Bounds an exchange in which both sides keep changing.
MAX_ROUNDS = 400

Entries = dict[str, tuple[int, Key]]


@attrs.define
class _Exchange:
    """An exchange that this VM started."""

    address: str
    remaining: list[int] | None = None  # buckets still to compare; None before the first reply
    batch: list[int] = attrs.field(factory=list)
    wanted: list[str] = attrs.field(factory=list)
    sent: set[str] = attrs.field(factory=set)  # records sent for the current batch
    rounds: int = 0


class AntiEntropy:
    """Runs the exchanges that this VM starts and answers those of other VMs.

    Parameters
    ----------
    view : GroupView
        What this VM knows.
    rng : random.Random
        Source of the order of buckets.
    """

    def __init__(self, view: GroupView, rng: Random) -> None:
        self._view = view
        self._rng = rng
        self._next_id = 0
        self._open: dict[int, _Exchange] = {}
        self.completed = 0

    @property
    def progressing(self) -> bool:
        """Whether an exchange that this VM started got an answer already."""
        return any(exchange.rounds > 1 for exchange in self._open.values())

    def not_asked(self, addresses: Iterable[str]) -> list[str]:
        """Return the addresses with which no exchange is running."""
        running = {exchange.address for exchange in self._open.values()}
        return [address for address in addresses if address not in running]

    def start(self, address: str, now: float) -> list[Action]:
        """Start an exchange, unless one with this address is running."""
        if not self.not_asked([address]):
            return []
        return [self._send(_Exchange(address), now)]

    def _send(self, exchange: _Exchange, now: float) -> SendSync:
        self._next_id += 1
        self._open[self._next_id] = exchange
        exchange.rounds += 1
        request = SyncRequest(gossip=Gossip(sender=self._view.vms.local), buckets=exchange.batch)
        if exchange.batch:
            # Records that are only kept are named too, or they would be offered in every round.
            request.digests.extend(_digests(self._entries(now, exchange.batch, held=True)))
        else:
            request.digest_hash = _total(self._entries(now))
        waiting = self._view.add_records(request.gossip, exchange.wanted, now)
        exchange.sent.update(set(exchange.wanted).difference(waiting))
        exchange.wanted = waiting
        return SendSync(self._next_id, exchange.address, request, self._view.cfg.sync_timeout_s)

    def on_request(self, request: SyncRequest, now: float) -> tuple[SyncReply, list[Action]]:
        """Answer one round of another VM's exchange."""
        actions = self._view.merge(request.gossip, now)
        reply = SyncReply(gossip=Gossip(sender=self._view.vms.local))
        if not request.buckets:
            entries = self._entries(now)
            reply.equal = request.digest_hash == _total(entries)
            if not reply.equal:
                reply.bucket_hashes.extend(_bucket_hashes(entries))
            return reply, actions
        offered, wanted = self._compare(request, self._entries(now, request.buckets))
        reply.wanted_ids.extend(wanted)
        self._view.add_records(reply.gossip, offered, now)
        return reply, actions

    def _compare(self, request: SyncRequest, entries: Entries) -> tuple[list[str], list[str]]:
        """Return the ids of the records to send and of the records to ask for."""
        theirs = {item.id: digest_key(item) for item in request.digests}
        wanted = [i for i, key in theirs.items() if self._lacks(i, key)]
        offered = [
            record_id
            for record_id, (_, key) in entries.items()
            if record_id not in theirs or theirs[record_id] < key
        ]
        # VM records first: the usability of a target depends on the record of its home VM.
        return sorted(offered, key=lambda i: i.startswith("target/")), wanted[:MAX_DIGESTS]

    def _lacks(self, record_id: str, key: Key) -> bool:
        kind, _, name = record_id.partition("/")
        if kind == "vm":
            known = self._view.vms.key(name)
            if known is None:
                return key[1] not in GONE_STATES
        else:
            known = self._view.registry.key(name)
        return known is None or known < key

    def on_reply(self, sync_id: int, reply: SyncReply, now: float) -> list[Action]:
        """Take the answer to one round and send the next one."""
        exchange = self._open.pop(sync_id, None)
        if exchange is None:
            return []
        # Until the first exchange is complete this VM only learns what others know already.
        actions = self._view.merge(reply.gossip, now, spread=self.completed > 0)
        if exchange.remaining is None:
            exchange.remaining = [] if reply.equal else self._differing(reply, now)
        self._plan(exchange, reply, progress=bool(actions), now=now)
        if not exchange.batch or exchange.rounds >= MAX_ROUNDS:
            self.completed += 1
            return actions
        return [*actions, self._send(exchange, now)]

    def _plan(self, exchange: _Exchange, reply: SyncReply, *, progress: bool, now: float) -> None:
        """Repeat the batch of buckets while it transfers records; then take the next one.

        A record that was sent once and is still asked for is one that the peer does not take.
        """
        wanted = {*exchange.wanted, *reply.wanted_ids} - exchange.sent
        wanted.intersection_update(self._entries(now, exchange.batch) if wanted else ())
        exchange.wanted = sorted(wanted, key=lambda i: i.startswith("target/"))
        if not exchange.wanted and not progress:
            exchange.batch = []
        if not exchange.batch:
            exchange.sent.clear()
            exchange.batch = exchange.remaining[:MAX_BUCKETS]
            del exchange.remaining[:MAX_BUCKETS]
        self._trim(exchange, now)

    def _differing(self, reply: SyncReply, now: float) -> list[int]:
        own = _bucket_hashes(self._entries(now))
        buckets = [
            bucket
            for bucket, (mine, other) in enumerate(zip(own, reply.bucket_hashes, strict=False))
            if mine != other
        ]
        self._rng.shuffle(buckets)
        return buckets

    def _trim(self, exchange: _Exchange, now: float) -> None:
        """Put buckets back whose digests do not fit into one message, but keep at least one."""
        count = 0
        for place, bucket in enumerate(exchange.batch):
            count += len(self._entries(now, [bucket], held=True))
            if count > MAX_DIGESTS and place:
                exchange.remaining.extend(exchange.batch[place:])
                del exchange.batch[place:]
                return

    def on_failed(self, sync_id: int) -> None:
        """End an exchange whose peer did not answer."""
        self._open.pop(sync_id, None)

    def _entries(
        self, now: float, buckets: Sequence[int] | None = None, *, held: bool = False
    ) -> Entries:
        """Return state and key of the records in some buckets, or of all."""
        chosen = None if buckets is None else set(buckets)
        entries = {
            record_id: (state, key)
            for record_id, state, key in self._view.vms.entries(now, held=held)
            if chosen is None or bucket_of(record_id) in chosen
        }
        for record_id, state, key in self._view.registry.entries(now, chosen, held=held):
            entries[record_id] = state, key
        return entries

    def dump(self) -> dict[str, object]:
        """Return the running exchanges."""
        return {
            "completed": self.completed,
            "open": {exchange.address: exchange.rounds for exchange in self._open.values()},
        }


def _bucket_hashes(entries: Entries) -> list[int]:
    hashes = [0] * BUCKETS
    for record_id, (_, key) in entries.items():
        hashes[bucket_of(record_id)] ^= combine(key)
    return hashes


def _total(entries: Entries) -> int:
    total = 0
    for _, key in entries.values():
        total ^= combine(key)
    return total


def _digests(entries: Entries) -> list[RecordDigest]:
    return [digest(record_id, state, key) for record_id, (state, key) in entries.items()]
