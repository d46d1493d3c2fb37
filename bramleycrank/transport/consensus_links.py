"""Ordered, bounded sending of consensus messages to other VMs.

Each peer has its own queue and task, so a silent peer does not delay the others. A full queue drops
its oldest messages: the consensus core sends again whatever is still needed, and newer messages
supersede older ones. The large messages of a peer, queued and in flight, are bounded in bytes.
"""

from __future__ import annotations

import asyncio
import collections
import functools
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs

from bramleycrank.consensus.bounds import LARGE_BYTES, MIN_BYTES_PER_S, LogBounds
from bramleycrank.observability.traffic import Traffic
from bramleycrank.proto import log_pb2
from bramleycrank.transport.peer_client import PeerClients

log = logging.getLogger(__name__)

# A longer queue would only delay newer messages.
QUEUE_LIMIT = 64

# A message that was queued for longer than an election timeout is useless to its recipient.
MAX_AGE_S = 1.0

# Below the shortest election timeout (0.6 s), so that a silent connection is replaced
# before the peer starts an election.
SEND_TIMEOUT_S = 0.4

# A busy peer may take longer to read a large message, and what was sent of it would be lost.
# Heartbeats beside it find out whether the connection is silent.
LARGE_SEND_TIMEOUT_S = 1.0

# With one call at a time, a round trip longer than the heartbeat interval (150 ms) would fill the
# queue. Calls on one connection mostly stay in order, but a small message may overtake a large one.
MAX_IN_FLIGHT = 4


class AddressLookup(Protocol):
    """Looks up the address of a node."""

    def __call__(self, node_id: str) -> str | None:
        """Return ``host:port``, or None if the node is unknown."""


@attrs.frozen
class _Queued:
    """A message with its size in bytes and the time at which it was queued."""

    message: log_pb2.ConsensusMessage
    size: int
    queued_at: float

    @property
    def is_large(self) -> bool:
        return self.size >= LARGE_BYTES


@attrs.define
class LinkStats:
    """Counters of one link."""

    sent: int = 0
    failed: int = 0
    dropped: int = 0
    last_ok: float | None = None
    last_error: str = ""


class _SendQueue:
    """Queue of a link, whose messages are sent in order with a few calls in flight.

    Parameters
    ----------
    send : callable
        Sends one message.
    on_dropped : callable
        Called with a message that is not sent, and the reason.
    max_bytes : int
        Maximum size of the messages in the queue, and of those in flight; a single larger one
        passes. 0 for any size.
    """

    def __init__(
        self,
        send: Callable[[_Queued], Awaitable[None]],
        on_dropped: Callable[[_Queued, str], None],
        max_bytes: int = 0,
    ) -> None:
        self._send = send
        self._on_dropped = on_dropped
        self._max_bytes = max_bytes
        self._queue: collections.deque[_Queued] = collections.deque()
        self._message_queued = asyncio.Event()
        self._slots = asyncio.Semaphore(MAX_IN_FLIGHT)
        self._send_tasks: set[asyncio.Task] = set()
        self.queued_bytes = 0
        self.in_flight_bytes = 0
        self._task = asyncio.ensure_future(self._run())

    def __len__(self) -> int:
        return len(self._queue)

    def put(self, message: _Queued) -> None:
        """Queue a message; the oldest ones make room for it."""
        while self._queue and (
            len(self._queue) >= QUEUE_LIMIT or self._exceeds(self.queued_bytes, message)
        ):
            self._on_dropped(self._pop(), "a newer one takes its place")
        self._queue.append(message)
        self.queued_bytes += message.size
        self._message_queued.set()

    def close(self) -> None:
        """Cancel all sends, queued or in flight."""
        for task in (self._task, *self._send_tasks):
            task.cancel()

    def _exceeds(self, held_bytes: int, message: _Queued) -> bool:
        if not self._max_bytes or not held_bytes:
            return False
        return held_bytes + message.size > self._max_bytes

    def _pop(self) -> _Queued:
        message = self._queue.popleft()
        self.queued_bytes -= message.size
        return message

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._slots.acquire()
            while not self._queue:
                self._message_queued.clear()
                await self._message_queued.wait()
            message = self._pop()
            if loop.time() - message.queued_at > MAX_AGE_S:
                self._on_dropped(message, "it is too old")
            elif self._exceeds(self.in_flight_bytes, message):
                self._on_dropped(message, "others are in flight")
            else:
                self.in_flight_bytes += message.size
                task = asyncio.ensure_future(self._send(message))
                self._send_tasks.add(task)
                task.add_done_callback(functools.partial(self._on_sent, message))
                continue
            self._slots.release()

    def _on_sent(self, message: _Queued, task: asyncio.Task) -> None:
        self._send_tasks.discard(task)
        self.in_flight_bytes -= message.size
        self._slots.release()


class ConsensusLink:
    """Sends messages to one node, large ones beside the others.

    A peer that reads large messages slowly thus still gets heartbeats.

    Parameters
    ----------
    node_id : str
        Recipient.
    address_of : AddressLookup
        Called for each message, because a restarted node may have another address.
    clients : PeerClients
        Connections that carry only consensus messages.
    max_large_bytes : int
        Maximum size of the large messages in the queue, and of those in flight.
    on_unsent : callable
        Called with the node id after a large message could not be sent.
    """

    def __init__(
        self,
        node_id: str,
        address_of: AddressLookup,
        clients: PeerClients,
        max_large_bytes: int,
        on_unsent: Callable[[str], None],
    ) -> None:
        self._node_id = node_id
        self._address_of = address_of
        self._clients = clients
        self._on_unsent = on_unsent
        self._address: str | None = None
        self.stats = LinkStats()
        self._small = _SendQueue(self._send, self._on_dropped)
        self._large = _SendQueue(self._send, self._on_dropped, max_large_bytes)

    @property
    def queued_bytes(self) -> int:
        """Size of the messages that wait to be sent."""
        return self._small.queued_bytes + self._large.queued_bytes

    @property
    def in_flight_bytes(self) -> int:
        """Size of the messages whose calls are in progress."""
        return self._small.in_flight_bytes + self._large.in_flight_bytes

    def put(self, message: log_pb2.ConsensusMessage) -> None:
        """Queue a message; a full queue drops its oldest ones."""
        queued = _Queued(message, message.ByteSize(), asyncio.get_running_loop().time())
        queue = self._large if queued.is_large else self._small
        queue.put(queued)

    def close(self) -> None:
        """Cancel all sends, queued or in flight."""
        self._small.close()
        self._large.close()

    def dump(self, now: float) -> dict[str, object]:
        """Return the JSON-ready state of the link."""
        last_ok = self.stats.last_ok
        return {
            "address": self._address,
            "queued": len(self._small) + len(self._large),
            "queued_bytes": self.queued_bytes,
            "in_flight_bytes": self.in_flight_bytes,
            "sent": self.stats.sent,
            "failed": self.stats.failed,
            "dropped": self.stats.dropped,
            "last_ok_age_s": None if last_ok is None else round(now - last_ok, 3),
            "last_error": self.stats.last_error,
        }

    def _on_dropped(self, message: _Queued, reason: str) -> None:
        self.stats.dropped += 1
        if message.is_large:
            self._report_unsent(message.size, reason)

    def _report_unsent(self, size: int, reason: str) -> None:
        log.warning(
            "consensus: a message of %s bytes to %s was lost: %s", size, self._node_id, reason
        )
        self._on_unsent(self._node_id)

    async def _send(self, message: _Queued) -> None:
        self._address = self._address_of(self._node_id)
        if self._address is None:
            self.stats.last_error = "address unknown"
            return
        timeout_s = LARGE_SEND_TIMEOUT_S if message.is_large else SEND_TIMEOUT_S
        timeout_s += message.size / MIN_BYTES_PER_S
        try:
            await self._clients.stub(self._address).Consensus(message.message, timeout=timeout_s)
        except Exception as exc:
            self.stats.failed += 1
            self.stats.last_error = f"{type(exc).__name__}: {exc}"
            if message.is_large:
                self._report_unsent(message.size, self.stats.last_error)
        else:
            self.stats.sent += 1
            self.stats.last_error = ""
            self.stats.last_ok = asyncio.get_running_loop().time()


class ConsensusLinks:
    """The links of this node to its peers.

    Parameters
    ----------
    address_of : AddressLookup
        Looks up the address of a node.
    traffic : Traffic, optional
        Counts the messages.
    max_large_bytes : int, optional
        Maximum size of the large messages to one peer in its queue, and of those in flight.
    on_unsent : callable, optional
        Called with the node id after a large message could not be sent, also while it is queued.
    """

    def __init__(
        self,
        address_of: AddressLookup,
        traffic: Traffic | None = None,
        max_large_bytes: int = LogBounds().message_bytes,
        on_unsent: Callable[[str], None] = lambda node_id: None,
    ) -> None:
        self._address_of = address_of
        self._max_large_bytes = max_large_bytes
        self._on_unsent = on_unsent
        # Separate connections, so that a burst of other calls does not delay heartbeats.
        self._clients = PeerClients(traffic)
        self._links: dict[str, ConsensusLink] = {}

    def send(self, message: log_pb2.ConsensusMessage) -> None:
        """Queue a message for its recipient."""
        link = self._links.get(message.recipient)
        if link is None:
            link = self._links[message.recipient] = self._new_link(message.recipient)
        link.put(message)

    def keep_only(self, wanted: Callable[[str], bool]) -> None:
        """Close the links to all nodes for which `wanted` returns false."""
        for node_id in [node_id for node_id in self._links if not wanted(node_id)]:
            self._links.pop(node_id).close()

    def close(self) -> None:
        """Close all links."""
        self.keep_only(lambda _: False)
        self._clients.close()

    def held_bytes(self) -> tuple[dict[tuple[str], int], dict[tuple[str], int]]:
        """Return the queued bytes and those in flight, by the labels of each node."""
        queued = {(node_id,): link.queued_bytes for node_id, link in self._links.items()}
        return queued, {(node_id,): link.in_flight_bytes for node_id, link in self._links.items()}

    def dump(self, now: float) -> dict[str, object]:
        """Return the JSON-ready state of all links."""
        return {node_id: link.dump(now) for node_id, link in sorted(self._links.items())}

    def _new_link(self, node_id: str) -> ConsensusLink:
        return ConsensusLink(
            node_id, self._address_of, self._clients, self._max_large_bytes, self._on_unsent
        )
