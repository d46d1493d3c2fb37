"""Client side of the protocols between VMs: one grpclib channel for each peer address."""

from __future__ import annotations

import time
from typing import Any

import attrs
from grpclib.client import Channel

from bramleycrank.exceptions import Outcome, PeerUnreachable
from bramleycrank.observability.traffic import CONNECT_BYTES, Traffic
from bramleycrank.proto.operator_grpc import OperatorStub
from bramleycrank.proto.peer_grpc import PeerStub
from bramleycrank.transport.grpc_errors import call

DEFAULT_TIMEOUT_S = 5.0

PURPOSES = {"Consensus": "log", "FetchConfig": "tables", "Sync": "exchanges"}
"""Default traffic purpose of each method of the `Peer` service."""


@attrs.define(eq=False)
class _Link:
    """A channel and the number of calls in flight on it."""

    channel: Channel
    in_flight: int = 0
    retired: bool = False


class TypedStub:
    """A stub whose methods raise typed errors.

    Every method of the generated stub is available under its name as
    ``async method(request, *, timeout=5.0)``, with the timeout in seconds.
    """

    def __init__(self, clients: PeerClients, address: str, stub_type: type) -> None:
        self._clients = clients
        self._address = address
        self._stub_type = stub_type

    def __getattr__(self, name: str) -> Any:
        if name.startswith("_"):
            raise AttributeError(name)

        async def method(request: Any, *, timeout: float = DEFAULT_TIMEOUT_S) -> Any:
            return await self._clients.call(
                self._address, name, request, timeout_s=timeout, stub_type=self._stub_type
            )

        return method


class PeerClients:
    """One grpclib channel for each peer address, with reconnects and typed errors.

    grpclib reconnects after a connection was closed, but does not detect silent connections. This
    class replaces them: if a call times out and no data arrived after it began, the next call opens
    a new connection, and the old one is closed when its last call ends.

    Parameters
    ----------
    traffic : Traffic, optional
        Counts the calls.
    """

    def __init__(self, traffic: Traffic | None = None) -> None:
        self.traffic = traffic or Traffic()
        self._links: dict[str, _Link] = {}
        self._closed = False

    def stub(self, address: str) -> Any:
        """Return the `Peer` stub for an address ``host:port``; its errors are typed."""
        return TypedStub(self, address, PeerStub)

    def operator_stub(self, address: str) -> Any:
        """Return the `Operator` stub for an address ``host:port``; its errors are typed."""
        return TypedStub(self, address, OperatorStub)

    async def call(
        self,
        address: str,
        method: str,
        request: Any,
        *,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        stub_type: type = PeerStub,
        purpose: str = "",
    ) -> Any:
        """Call one method of a peer.

        Parameters
        ----------
        address : str
            ``host:port`` of the peer.
        method : str
            Name of the method, for example ``Probe``.
        request : protobuf message
            The request.
        timeout_s : float, optional
            Limit for the whole call, in seconds.
        stub_type : type, optional
            Generated stub class that has the method.
        purpose : str, optional
            Traffic purpose under which the call is counted; by default that of the method.

        Returns
        -------
        protobuf message
            The reply.

        Raises
        ------
        BramleycrankError
            The error of the peer, or `PeerUnreachable`.
        """
        if self._closed:
            raise PeerUnreachable("the client is closed", outcome=Outcome.NOT_RUN)
        link = self._link(address)
        started = time.monotonic()
        link.in_flight += 1
        size = request.ByteSize()
        try:
            reply = await call(
                getattr(stub_type(link.channel), method), request, timeout_s=timeout_s
            )
            size += reply.ByteSize()
            return reply
        except PeerUnreachable:
            if _silent_since(link.channel, started):
                self._retire(address, link)
            raise
        finally:
            link.in_flight -= 1
            self.traffic.record_call(purpose or PURPOSES.get(method, "other"), address, size)
            self._close_if_retired_and_idle(link)

    def _link(self, address: str) -> _Link:
        link = self._links.get(address)
        if link is None:
            host, _, port = address.rpartition(":")
            # IPv6 addresses have brackets in ``host:port``, but not in a socket call.
            link = self._links[address] = _Link(Channel(host.strip("[]"), int(port)))
            self.traffic.record("connect", self.traffic.is_remote(address), CONNECT_BYTES)
        return link

    def _retire(self, address: str, link: _Link) -> None:
        link.retired = True
        if self._links.get(address) is link:
            del self._links[address]

    def _close_if_retired_and_idle(self, link: _Link) -> None:
        # grpclib would leak the connection of a channel that is closed while it connects, so a
        # retired channel is closed only after its last call.
        if link.in_flight == 0 and (link.retired or self._closed):
            link.channel.close()

    def close_peer(self, address: str) -> None:
        """Close the channel of a peer that left, as soon as its calls have ended."""
        link = self._links.get(address)
        if link is not None:
            self._retire(address, link)
            self._close_if_retired_and_idle(link)

    def close(self) -> None:
        """Close all channels; calls in flight fail with `PeerUnreachable`."""
        self._closed = True
        for link in self._links.values():
            link.channel.close()
        self._links.clear()

    def dump(self) -> dict[str, Any]:
        """Return the number of calls in flight by address."""
        return {address: link.in_flight for address, link in self._links.items()}


def _silent_since(channel: Channel, started: float) -> bool:
    """Return whether no data arrived on the channel's connection since `started`."""
    protocol = channel._protocol
    if protocol is None:
        return False
    last = protocol.connection.last_data_received
    return last is None or last < started
