"""Last known status of other VMs, used to choose the peers to fetch from."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

from bramleycrank.proto.peer_pb2 import ConfigStatus

# Enough to find an up-to-date peer; a VM at the design size receives the status of thousands.
_MAX_PEERS = 64


@attrs.define
class PeerHint:
    """Last status of a peer; only a hint, since its network delay is unknown.

    Parameters
    ----------
    revision : int
        Revision in force on the peer.
    confirmed_at : float
        Local time of the peer's newest confirmation, assuming a network delay of 0; in seconds.
    not_before : float
        Local time in seconds before which the peer is not asked again.
    """

    revision: int = 0
    confirmed_at: float = float("-inf")
    not_before: float = float("-inf")


class PeerHints:
    """Stores the peers that sent a status last, and the leader's address.

    Parameters
    ----------
    is_remote : callable, optional
        Returns whether a peer is in another failure domain.
    """

    def __init__(self, is_remote: Callable[[str], bool] = lambda address: False) -> None:
        self._is_remote = is_remote
        self.leader_address = ""
        self.highest_revision = 0
        self._leader_confirmed_at = float("-inf")
        self._peers: OrderedDict[str, PeerHint] = OrderedDict()

    def on_status(self, address: str, status: ConfigStatus, now: float) -> None:
        """Record the status of a peer."""
        hint = self._peers.pop(address, None) or PeerHint()
        self._peers[address] = hint
        if len(self._peers) > _MAX_PEERS:
            self._peers.popitem(last=False)
        hint.revision = status.revision
        self.highest_revision = max(self.highest_revision, status.revision, status.leader_revision)
        if status.confirmed:
            hint.confirmed_at = max(hint.confirmed_at, now - status.leader_age_ms / 1000)
        if status.leader_port and hint.confirmed_at >= self._leader_confirmed_at:
            self.leader_address = f"{status.leader_host}:{status.leader_port}"
            self._leader_confirmed_at = hint.confirmed_at

    def set_leader(self, host: str, port: int, now: float) -> None:
        """Record the leader that the consensus node of this VM follows."""
        self.leader_address = f"{host}:{port}"
        self._leader_confirmed_at = now

    def remove(self, address: str) -> None:
        """Remove an unreachable peer."""
        self._peers.pop(address, None)

    def postpone(self, address: str, until: float) -> None:
        """Do not ask a peer again before ``until``."""
        if address in self._peers:
            self._peers[address].not_before = until

    def peers_with_higher_revision(self, revision: int, now: float) -> list[str]:
        """Return the available peers with a higher revision, of the own domain if there are any."""
        return self._prefer_own_domain(
            address
            for address, hint in self._peers.items()
            if hint.revision > revision and hint.not_before <= now
        )

    def available_peers(self, now: float) -> list[str]:
        """Return the peers that may be asked now."""
        return [address for address, hint in self._peers.items() if hint.not_before <= now]

    def any_higher_revision(self, revision: int) -> bool:
        """Return whether a known peer has a higher revision."""
        return any(hint.revision > revision for hint in self._peers.values())

    def peer_with_newer_confirmation(self, since: float, now: float) -> str:
        """Return the available peer with the newest confirmation after ``since``; empty if none.

        A peer of the own domain is preferred to a more recent one in another failure domain.
        """
        candidates = self._prefer_own_domain(
            address
            for address, hint in self._peers.items()
            if hint.confirmed_at > since and hint.not_before <= now
        )
        return max(candidates, key=lambda address: self._peers[address].confirmed_at, default="")

    def is_remote(self, address: str) -> bool:
        """Return whether a peer is in another failure domain."""
        return self._is_remote(address)

    def _prefer_own_domain(self, addresses: Iterable[str]) -> list[str]:
        candidates = list(addresses)
        return [address for address in candidates if not self._is_remote(address)] or candidates
