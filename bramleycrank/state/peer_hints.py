"""What other VMs said about themselves, as a choice of peers to fetch from."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

from bramleycrank.proto.peer_pb2 import ConfigStatus

# Enough to find a fresh peer; a VM at the design size hears thousands.
_MAX_PEERS = 64


@attrs.define
class PeerHint:
    """Last status of a peer; only a hint, since its time in flight is unknown.

    Parameters
    ----------
    revision : int
        Revision in force on the peer.
    confirmed_at : float
        Own time of the peer's newest confirmation, if the status took no time to arrive.
    not_before : float
        Time before which the peer is not asked again.
    """

    revision: int = 0
    confirmed_at: float = float("-inf")
    not_before: float = float("-inf")


class PeerHints:
    """The peers that were heard last, and the leader's address.

    Parameters
    ----------
    is_far : callable, optional
        Returns whether a peer is in another failure domain.
    """

    def __init__(self, is_remote: Callable[[str], bool] = lambda address: False) -> None:
        self._is_far = is_remote
        self.leader_address = ""
        self.highest_revision = 0
        self._leader_confirmed_at = float("-inf")
        self._peers: OrderedDict[str, PeerHint] = OrderedDict()

    def on_status(self, address: str, status: ConfigStatus, now: float) -> None:
        """Record a status."""
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
        """Record the leader that the own consensus node follows."""
        self.leader_address = f"{host}:{port}"
        self._leader_confirmed_at = now

    def forget(self, address: str) -> None:
        """Drop a peer that cannot be reached."""
        self._peers.pop(address, None)

    def postpone(self, address: str, until: float) -> None:
        """Do not ask a peer again before ``until``."""
        if address in self._peers:
            self._peers[address].not_before = until

    def ahead(self, revision: int, now: float) -> list[str]:
        """Return the peers to ask that have a higher revision; near ones only if there are any."""
        return self._nearest(
            address
            for address, hint in self._peers.items()
            if hint.revision > revision and hint.not_before <= now
        )

    def askable(self, now: float) -> list[str]:
        """Return the peers that may be asked now."""
        return [address for address, hint in self._peers.items() if hint.not_before <= now]

    def any_ahead(self, revision: int) -> bool:
        """Return whether a known peer has a higher revision."""
        return any(hint.revision > revision for hint in self._peers.values())

    def fresher(self, than: float, now: float) -> str:
        """Return the peer to ask with the newest confirmation after ``than``; empty if none.

        A near peer is preferred to a fresher one in another failure domain.
        """
        found = self._nearest(
            address
            for address, hint in self._peers.items()
            if hint.confirmed_at > than and hint.not_before <= now
        )
        return max(found, key=lambda address: self._peers[address].confirmed_at, default="")

    def is_remote(self, address: str) -> bool:
        """Return whether a peer is in another failure domain."""
        return self._is_far(address)

    def _nearest(self, addresses: Iterable[str]) -> list[str]:
        found = list(addresses)
        return [address for address in found if not self._is_far(address)] or found
