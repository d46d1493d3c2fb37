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
"""What the methods of the `Peer` service are counted for, unless the caller says."""


@attrs.define(eq=False)
class _Link:
    """A channel with the calls that use it."""

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

    grpclib reconnects by itself after a connection was closed. A connection that went silent is
    replaced here: when a call gets no answer in time and no data arrived since it was sent, the
    next call opens a new connection, and the old one is closed when its last call ends.

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
            What the call is counted for; that of the method by default.

        Returns
        -------
        protobuf message
            The reply.

        Raises
        ------
        BramleycrankError
            The error of the far side, or `PeerUnreachable`.
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
            self._close_if_unused(link)

    def _link(self, address: str) -> _Link:
        link = self._links.get(address)
        if link is None:
            host, _, port = address.rpartition(":")
            # IPv6 numbers stand in brackets in an address, and without them in a socket call.
            link = self._links[address] = _Link(Channel(host.strip("[]"), int(port)))
            self.traffic.record("connect", self.traffic.is_remote(address), CONNECT_BYTES)
        return link

    def _retire(self, address: str, link: _Link) -> None:
        link.retired = True
        if self._links.get(address) is link:
            del self._links[address]

    def _close_if_unused(self, link: _Link) -> None:
        # A channel that is closed while it connects would keep the new connection, so a retired
        # channel is closed only after its last call.
        if link.in_flight == 0 and (link.retired or self._closed):
            link.channel.close()

    def forget(self, address: str) -> None:
        """Close the channel of a peer that has left, once its calls have ended."""
        link = self._links.get(address)
        if link is not None:
            self._retire(address, link)
            self._close_if_unused(link)

    def close(self) -> None:
        """Close all channels; calls in flight end with `PeerUnreachable`."""
        self._closed = True
        for link in self._links.values():
            link.channel.close()
        self._links.clear()

    def dump(self) -> dict[str, Any]:
        """Return the calls in flight by address."""
        return {address: link.in_flight for address, link in self._links.items()}


def _silent_since(channel: Channel, started: float) -> bool:
    """Tell whether no data arrived on the channel's connection since a time."""
    protocol = channel._protocol
    if protocol is None:
        return False
    last = protocol.connection.last_data_received
    return last is None or last < started
