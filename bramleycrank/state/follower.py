"""The configuration follower, which keeps the configuration of one VM up to date."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import attrs

from bramleycrank.proto.log_pb2 import ConfigImage
from bramleycrank.proto.peer_pb2 import ConfigStatus, FetchConfigReply
from bramleycrank.state.config_state import ConfigState
from bramleycrank.state.confirmation import CLOCK_DRIFT_SHARE, MAX_AGE_MS, Confirmation
from bramleycrank.state.peer_hints import PeerHints
from bramleycrank.state.table_history import TableHistory
from bramleycrank.state.types import ConfigInForce, FetchConfig, FollowerAction, FollowerConfig

log = logging.getLogger(__name__)

# One fetch from a peer and one from the leader may be open at the same time.
_MAX_FETCHES = 2

# Shares of the lease after which a VM without a newer confirmation asks a peer of its own domain,
# a peer of another domain, and then the leader. Gossip brings most VMs a confirmation in time, so
# only a few ask the leader.
_ASK_PEER_SHARE = 0.25
_ASK_REMOTE_SHARE = 0.5
_ASK_LEADER_SHARE = 0.6

# Share of the lease within which a confirmation shows that no older change is missing: 4 s of 6 s,
# the time in which users expect a key to be in force everywhere.
_NEWEST_SHARE = 2 / 3

# Upper bound of the random time that a VM waits for a peer of its own domain to have a revision
# before it fetches the revision from another domain. In a domain of many VMs one of them draws a
# time near 0 and fetches immediately.
REMOTE_FETCH_WAIT_S = 0.5


@attrs.frozen
class _Fetch:
    sent_at: float
    leader_confirmed: bool
    whole_table: bool = False  # a difference to the table held is not accepted


class ConfigFollower:
    """Fetches the configuration from peers; its revision never decreases while the process runs.

    Before ``is_ready`` the configuration is only a candidate: a starting VM waits for a
    confirmation that is newer than its start. The configuration in force before a restart was
    committed earlier, so the revision does not decrease across a restart either. If no such
    confirmation arrives within ``start_wait_s``, the highest revision received so far comes into
    force.

    Load pattern: a large route table changes, and hundreds of VMs in a few failure domains need it.
    If all of them fetched it from other domains, it would cross the domain boundaries once for each
    VM. Instead a few VMs fetch it from another domain, and the others from VMs of their own domain.

    Parameters
    ----------
    cfg : FollowerConfig
        Settings.
    cached : ConfigImage or None
        Image from the data folder.
    rng : random.Random
        Source of jitter and of the choice of peers.
    now : float
        Current time in seconds.
    is_remote : callable, optional
        Returns whether a peer is in another failure domain.
    """

    def __init__(
        self,
        cfg: FollowerConfig,
        cached: ConfigImage | None,
        rng: random.Random,
        now: float,
        is_remote: Callable[[str], bool] = lambda address: False,
    ) -> None:
        self.config = ConfigState.from_image(cached) if cached else ConfigState()
        self._tables = TableHistory()
        self._tables.add(self.config.routes)
        self._cfg = cfg
        self._rng = rng
        self._started_at = now
        self._last_event_at = now
        self._ready = False
        self._has_candidate = cached is not None
        self._in_force_revision = -1
        self._confirmation: Confirmation | None = None
        self._covered_at: float | None = None
        self._hints = PeerHints(is_remote)
        self._remote_fetch_at: float | None = None  # earliest fetch from another domain
        self._fetches: dict[str, _Fetch] = {}
        self._ask_leader_at = self._ask_any_peer_at = now

    @classmethod
    def from_config(
        cls,
        cfg: FollowerConfig,
        cached: ConfigImage | None,
        rng: random.Random,
        now: float,
        is_remote: Callable[[str], bool] = lambda address: False,
    ) -> ConfigFollower:
        """Build a starting follower with the image from the data folder, if there is one."""
        return cls(cfg, cached, rng, now, is_remote)

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force."""
        return self._ready

    def on_status(
        self, peer_address: str, status: ConfigStatus, now: float, sent_at: float | None = None
    ) -> list[FollowerAction]:
        """Handle a peer's status.

        Parameters
        ----------
        peer_address : str
            ``host:port`` of the peer.
        status : ConfigStatus
            Revision in force on the peer and its newest confirmation.
        now : float
            Time of receipt in seconds.
        sent_at : float, optional
            Time at which this VM sent the request that the status answers. Without it the network
            delay is unknown, and the status is only used to choose peers.
        """
        self._hints.on_status(peer_address, status, now)
        if sent_at is not None:
            self._add_confirmation(Confirmation.from_reply(status, sent_at))
        return self._next_actions(now)

    def on_fetched(
        self, peer_address: str, reply: FetchConfigReply, now: float
    ) -> list[FollowerAction]:
        """Handle the reply to a ``FetchConfig`` action."""
        fetch = self._fetches.pop(peer_address, None)
        has_table = self._restore_table(reply)
        image = reply.image if reply.HasField("image") else None
        advanced = self.config.advance(reply.deltas, image)
        self._tables.add(
            self.config.routes,
            reply.difference if advanced and reply.HasField("difference") else None,
        )
        self._has_candidate |= bool(reply.status.revision or reply.status.confirmed)
        self._hints.on_status(peer_address, reply.status, now)
        fetch_whole = not has_table and fetch is not None and not fetch.whole_table
        if not advanced and not fetch_whole:
            self._hints.postpone(peer_address, now + self._cfg.retry_s)
        if fetch is not None:
            self._add_confirmation(Confirmation.from_reply(reply.status, fetch.sent_at))
            if fetch.leader_confirmed and reply.status.confirmed:
                # The quorum confirmed the leader after it received the request, so the time of
                # sending is a bound, whatever age the leader reports.
                revision = max(reply.status.revision, reply.status.leader_revision)
                self._add_confirmation(Confirmation(revision, fetch.sent_at))
        again = []
        if fetch_whole:
            again = self._start_fetch(peer_address, fetch.leader_confirmed, now, whole_table=True)
        return [*again, *self._next_actions(now)]

    def _restore_table(self, reply: FetchConfigReply) -> bool:
        """Restore the table of a reply; remove all objects and return False if that fails."""
        if not reply.HasField("difference"):
            return True
        try:
            table = self._tables.restore(reply)
        except ValueError as exc:
            log.warning("config: the whole route table is needed", extra={"reason": str(exc)})
            for field in ("deltas", "image", "difference"):
                reply.ClearField(field)
            return False
        log.info(
            "config: restored a route table from a difference",
            extra={"routes_version": table.version, "bytes": len(reply.difference.patch)},
        )
        return True

    def on_fetch_failed(self, peer_address: str, now: float) -> list[FollowerAction]:
        """Handle the failure of a ``FetchConfig`` action."""
        self._fetches.pop(peer_address, None)
        self._hints.remove(peer_address)
        return self._next_actions(now)

    def on_local(
        self,
        config: ConfigState,
        confirmed: bool,
        now: float,
        confirmed_at: float | None = None,
        leader: tuple[str, int] | None = None,
    ) -> list[FollowerAction]:
        """Handle the replicated state of this VM, which is a voter.

        Parameters
        ----------
        config : ConfigState
            The configuration in the replicated state. A revision lower than the follower's, as
            after a restart from an old snapshot, changes nothing.
        confirmed : bool
            Whether this VM is the leader and a quorum confirmed that.
        now : float
            Time in seconds.
        confirmed_at : float, optional
            ``RaftNode.confirmed_at``. ``confirmed`` has no effect without it: counting from the
            end of a quorum round would understate the age, since another leader may have committed
            since the round began.
        leader : tuple of str and int, optional
            Host and port of the leader that the consensus node of this VM follows.
        """
        if config.revision > self.config.revision:
            deltas = config.deltas_since(self.config.revision)
            self.config.advance(deltas or (), config.image() if deltas is None else None)
            self._has_candidate = True
            self._tables.add(self.config.routes)
        if leader is not None:
            self._hints.set_leader(*leader, now)
        if confirmed and confirmed_at is not None:
            self._add_confirmation(Confirmation(config.revision, confirmed_at))
        return self._next_actions(now)

    def tick(self, now: float) -> list[FollowerAction]:
        """Apply the start timeout and start the fetches that are due."""
        return self._next_actions(now)

    def next_deadline(self) -> float:
        """Return the time at which the next ``tick`` is needed, in seconds."""
        due = self._last_event_at + self._cfg.retry_s / 2
        is_waiting = (
            self._remote_fetch_at is not None and self._remote_fetch_at > self._last_event_at
        )
        return min(due, self._remote_fetch_at) if is_waiting else due

    def status(self, now: float) -> ConfigStatus:
        """Return the status of this VM for its peers."""
        status = ConfigStatus(revision=self.config.revision if self._ready else 0)
        host, _, port = self._hints.leader_address.rpartition(":")
        if port:
            status.leader_host, status.leader_port = host, int(port)
        if self._confirmation is not None:
            status.leader_revision = self._confirmation.revision
            status.leader_age_ms = self._confirmation.age_ms(now)
            status.confirmed = status.leader_age_ms < MAX_AGE_MS
        return status

    def fetch_reply(
        self, from_revision: int, now: float, routes_digest: bytes = b""
    ) -> FetchConfigReply:
        """Return the reply to a peer's ``FetchConfig``; it has no objects while not ready.

        Parameters
        ----------
        from_revision : int
            Revision that the peer has.
        now : float
            Time in seconds.
        routes_digest : bytes, optional
            Digest of the route table that the peer has; empty if it needs the whole table.
        """
        reply = FetchConfigReply(status=self.status(now))
        if self._ready:
            deltas = self.config.deltas_since(from_revision)
            if deltas is None:
                reply.image.CopyFrom(self.config.image())
            else:
                reply.deltas.extend(deltas)
            if routes_digest:
                self._tables.shorten(reply, routes_digest)
        return reply

    def stale_s(self, now: float) -> float:
        """Return an upper bound in seconds of the time since the configuration was the newest.

        It is ``MAX_AGE_MS`` in seconds if no confirmation covers the revision.
        """
        if self._covered_at is None:
            return MAX_AGE_MS / 1000
        stale_for_s = max(0.0, now - self._covered_at) * (1 + CLOCK_DRIFT_SHARE)
        return min(stale_for_s, MAX_AGE_MS / 1000)

    def is_current(self, now: float) -> bool:
        """Return whether a leader confirmed the revision in force within the lease."""
        return self._ready and self.stale_s(now) <= self._cfg.lease_s

    def is_newest(self, now: float) -> bool:
        """Return whether no higher revision is known and none can have been in force for long.

        A leader has confirmed the revision within two thirds of the lease, so it lacks no change
        that is older.
        """
        confirmed = self._confirmation.revision if self._confirmation is not None else 0
        known = max(self._hints.highest_revision, confirmed)
        confirmed_recently = self.stale_s(now) <= self._cfg.lease_s * _NEWEST_SHARE
        return self._ready and known <= self.config.revision and confirmed_recently

    def dump(self) -> dict[str, object]:
        """Return the state of the follower for operators."""
        return {
            "ready": self._ready,
            "revision": self.config.revision,
            "covered_at": self._covered_at,
            "known": attrs.asdict(self._confirmation) if self._confirmation else None,
            "leader_address": self._hints.leader_address,
            "highest_revision": self._hints.highest_revision,
            "fetches": {address: attrs.asdict(item) for address, item in self._fetches.items()},
        }

    def _add_confirmation(self, confirmation: Confirmation | None) -> None:
        if confirmation is None:
            return
        self._update_covered_at(confirmation)
        self._confirmation = confirmation.merged(self._confirmation)

    def _update_covered_at(self, confirmation: Confirmation) -> None:
        """Advance ``covered_at`` if the configuration is at least as new as the confirmation."""
        if confirmation.revision <= self.config.revision:
            previous_at = self._covered_at
            self._covered_at = (
                confirmation.at if previous_at is None else max(previous_at, confirmation.at)
            )

    def _next_actions(self, now: float) -> list[FollowerAction]:
        self._last_event_at = now
        if self._confirmation is not None:
            self._update_covered_at(self._confirmation)
        return [*self._put_in_force(now), *self._fetch(now)]

    def _put_in_force(self, now: float) -> list[FollowerAction]:
        if not self._ready:
            confirmed = self._covered_at is not None and self._covered_at >= self._started_at
            waited = now >= self._started_at + self._cfg.start_wait_s
            self._ready = confirmed or (waited and self._has_candidate)
        if not self._ready or self.config.revision == self._in_force_revision:
            return []
        self._in_force_revision = self.config.revision
        return [ConfigInForce(self.config.revision)]

    def _fetch(self, now: float) -> list[FollowerAction]:
        return [*self._fetch_from_leader(now), *self._fetch_from_peer(now)]

    def _fetch_from_leader(self, now: float) -> list[FollowerAction]:
        """Fetch from the leader while starting, and when peers cannot bring this VM up to date."""
        late = self.stale_s(now) > self._cfg.lease_s * _ASK_LEADER_SHARE
        behind = (
            self._hints.highest_revision > self.config.revision
            and not self._hints.any_higher_revision(self.config.revision)
        )
        if now < self._ask_leader_at or not (late or behind or not self._ready):
            return []
        actions = self._start_fetch(self._hints.leader_address, True, now)
        if actions:
            # The jitter spreads the fetches of many VMs that lost the same leader.
            self._ask_leader_at = now + self._cfg.retry_s * self._rng.uniform(1, 2)
        return actions

    def _fetch_from_peer(self, now: float) -> list[FollowerAction]:
        """Fetch from a peer with a higher revision, or else from one with a newer confirmation."""
        peers = self._hints.peers_with_higher_revision(self.config.revision, now)
        if peers:
            address = self._rng.choice(peers)
            return (
                self._start_fetch(address, False, now) if self._may_fetch_from(address, now) else []
            )
        self._remote_fetch_at = None
        age_s = self.stale_s(now)
        lease_s = self._cfg.lease_s
        if age_s <= lease_s * _ASK_PEER_SHARE:
            return []
        # A confirmation that is newer by less than a twelfth of the lease does not justify a call.
        address = self._hints.peer_with_newer_confirmation(now - age_s + lease_s / 12, now)
        if address and self._hints.is_remote(address) and age_s <= lease_s * _ASK_REMOTE_SHARE:
            return []
        if not address and age_s > lease_s * _ASK_LEADER_SHARE and now >= self._ask_any_peer_at:
            # The last status of every peer is too old, but some may have newer ones by now.
            address = self._rng.choice(self._hints.available_peers(now) or [""])
            self._ask_any_peer_at = now + self._cfg.retry_s
        return self._start_fetch(address, False, now)

    def _may_fetch_from(self, address: str, now: float) -> bool:
        """Return whether a peer is in the own domain or the wait for such a peer is over."""
        if not self._ready or not self._hints.is_remote(address):
            return True
        if self._remote_fetch_at is None:
            self._remote_fetch_at = now + self._rng.uniform(0, REMOTE_FETCH_WAIT_S)
        return now >= self._remote_fetch_at

    def _start_fetch(
        self, address: str, leader_confirmed: bool, now: float, whole_table: bool = False
    ) -> list[FollowerAction]:
        if not address or address in self._fetches or len(self._fetches) >= _MAX_FETCHES:
            return []
        self._fetches[address] = _Fetch(now, leader_confirmed, whole_table)
        digest = b"" if whole_table else self._tables.digest()
        return [FetchConfig(address, self.config.revision, leader_confirmed, digest)]
