"""Keeps the configuration of one VM up to date."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from bramleycrank.proto.log_pb2 import ConfigImage
from bramleycrank.proto.peer_pb2 import ConfigStatus, FetchConfigReply
from bramleycrank.state.config_state import ConfigState
from bramleycrank.state.confirmation import CLOCK_ALLOWANCE, MAX_AGE_MS, Confirmation
from bramleycrank.state.peer_hints import PeerHints
from bramleycrank.state.types import ConfigInForce, FetchConfig, FollowerAction, FollowerConfig

# A catch-up and a question to the leader may be open at once.
_MAX_FETCHES = 2

# Shares of the lease after which a fresher peer, one behind a border and then the leader are
# asked. Most VMs learn from peers, so the leader is asked only by those that gossip does not reach
# in time.
_ASK_PEER_SHARE = 0.25
_ASK_FAR_SHARE = 0.5
_ASK_LEADER_SHARE = 0.6


# Longest time that a VM waits for a peer of its own domain to have a revision that is known in
# another one. The times are drawn, so in a domain of many VMs one of them fetches it at once.
FAR_WAIT_S = 0.5


@attrs.frozen
class _Fetch:
    sent_at: float
    leader_confirmed: bool


class ConfigFollower:
    """Follows the configuration through peers; its revision never goes down while it runs.

    Before ``is_ready`` the configuration is only a candidate: a starting VM waits for a
    confirmation that is younger than its start. Anything that it had in force before a restart was
    committed earlier, so its revision cannot go down across the restart either. If no such
    confirmation comes within ``start_wait_s``, the highest revision that could be had is taken.

    Load pattern: a large table changes, and hundreds of VMs in a few failure domains need it. All
    of them at once would send it across the borders as many times; here a few fetch it from another
    domain, and the others from those.
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
        self._cfg = cfg
        self._rng = rng
        self._started_at = now
        self._last_event = now
        self._ready = False
        self._has_candidate = cached is not None
        self._in_force_revision = -1
        self._known: Confirmation | None = None
        self._covered_at: float | None = None
        self._hints = PeerHints(is_remote)
        self._far_at: float | None = None  # when a newer revision may be fetched across a border
        self._fetches: dict[str, _Fetch] = {}
        self._ask_leader_at = self._ask_any_at = now

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
            What the peer knows.
        now : float
            Time of receipt in seconds.
        sent_at : float, optional
            Time at which this VM sent the request that the status answers. Without it the time in
            flight is unknown: the status then only shows which peer is worth asking.
        """
        self._hints.on_status(peer_address, status, now)
        if sent_at is not None:
            self._learn(Confirmation.from_reply(status, sent_at))
        return self._next_actions(now)

    def on_fetched(
        self, peer_address: str, reply: FetchConfigReply, now: float
    ) -> list[FollowerAction]:
        """Handle the reply to a ``FetchConfig`` action."""
        fetch = self._fetches.pop(peer_address, None)
        image = reply.image if reply.HasField("image") else None
        advanced = self.config.advance(reply.deltas, image)
        self._has_candidate |= bool(reply.status.revision or reply.status.confirmed)
        self._hints.on_status(peer_address, reply.status, now)
        if not advanced:
            self._hints.postpone(peer_address, now + self._cfg.retry_s)
        if fetch is not None:
            self._learn(Confirmation.from_reply(reply.status, fetch.sent_at))
            if fetch.leader_confirmed and reply.status.confirmed:
                # The leader was confirmed after it got the request, whatever age it reports.
                revision = max(reply.status.revision, reply.status.leader_revision)
                self._learn(Confirmation(revision, fetch.sent_at))
        return self._next_actions(now)

    def on_fetch_failed(self, peer_address: str, now: float) -> list[FollowerAction]:
        """Handle the failure of a ``FetchConfig`` action."""
        self._fetches.pop(peer_address, None)
        self._hints.forget(peer_address)
        return self._next_actions(now)

    def on_local(
        self,
        config: ConfigState,
        confirmed: bool,
        now: float,
        confirmed_at: float | None = None,
        leader: tuple[str, int] | None = None,
    ) -> list[FollowerAction]:
        """Handle a voter's own state.

        Parameters
        ----------
        config : ConfigState
            The configuration of the VM's replicated state. A lower revision than the own one,
            as after a restart from an old snapshot, changes nothing.
        confirmed : bool
            Whether this VM leads and a quorum confirmed it.
        now : float
            Time in seconds.
        confirmed_at : float, optional
            ``RaftNode.confirmed_at``. ``confirmed`` has no effect without it: the end of a round
            would understate the age, since another leader may have committed meanwhile.
        leader : tuple of str and int, optional
            Host and port of the leader that the own consensus node follows.
        """
        if config.revision > self.config.revision:
            deltas = config.deltas_since(self.config.revision)
            self.config.advance(deltas or (), config.image() if deltas is None else None)
            self._has_candidate = True
        if leader is not None:
            self._hints.set_leader(*leader, now)
        if confirmed and confirmed_at is not None:
            self._learn(Confirmation(config.revision, confirmed_at))
        return self._next_actions(now)

    def tick(self, now: float) -> list[FollowerAction]:
        """Take what there is when the start took too long, and ask again where it is due."""
        return self._next_actions(now)

    def next_deadline(self) -> float:
        """Return the time of the next needed tick, in seconds."""
        due = self._last_event + self._cfg.retry_s / 2
        waits = self._far_at is not None and self._far_at > self._last_event
        return min(due, self._far_at) if waits else due

    def status(self, now: float) -> ConfigStatus:
        """Return what this VM knows, for its peers."""
        status = ConfigStatus(revision=self.config.revision if self._ready else 0)
        host, _, port = self._hints.leader_address.rpartition(":")
        if port:
            status.leader_host, status.leader_port = host, int(port)
        if self._known is not None:
            status.leader_revision = self._known.revision
            status.leader_age_ms = self._known.age_ms(now)
            status.confirmed = status.leader_age_ms < MAX_AGE_MS
        return status

    def fetch_reply(self, from_revision: int, now: float) -> FetchConfigReply:
        """Return the answer to a peer's ``FetchConfig``; without objects while not ready."""
        reply = FetchConfigReply(status=self.status(now))
        if self._ready:
            deltas = self.config.deltas_since(from_revision)
            if deltas is None:
                reply.image.CopyFrom(self.config.image())
            else:
                reply.deltas.extend(deltas)
        return reply

    def stale_s(self, now: float) -> float:
        """Return an upper bound of the time since the configuration was the newest.

        It is ``MAX_AGE_MS`` if no confirmation of the own revision is known.
        """
        if self._covered_at is None:
            return MAX_AGE_MS / 1000
        age = max(0.0, now - self._covered_at) * (1 + CLOCK_ALLOWANCE)
        return min(age, MAX_AGE_MS / 1000)

    def is_current(self, now: float) -> bool:
        """Return whether a leader's confirmation of this revision is within the lease."""
        return self._ready and self.stale_s(now) <= self._cfg.lease_s

    def dump(self) -> dict[str, object]:
        """Return the follower's knowledge for operators."""
        return {
            "ready": self._ready,
            "revision": self.config.revision,
            "covered_at": self._covered_at,
            "known": attrs.asdict(self._known) if self._known else None,
            "leader_address": self._hints.leader_address,
            "highest_revision": self._hints.highest_revision,
            "fetches": {address: attrs.asdict(item) for address, item in self._fetches.items()},
        }

    def _learn(self, confirmation: Confirmation | None) -> None:
        if confirmation is None:
            return
        self._cover(confirmation)
        self._known = confirmation.merged(self._known)

    def _cover(self, confirmation: Confirmation) -> None:
        """Count a confirmation for the own configuration if that is at least as new."""
        if confirmation.revision <= self.config.revision:
            older = self._covered_at
            self._covered_at = confirmation.at if older is None else max(older, confirmation.at)

    def _next_actions(self, now: float) -> list[FollowerAction]:
        self._last_event = now
        if self._known is not None:
            self._cover(self._known)
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
        """Ask the leader while starting, and when gossip leaves this VM without confirmation."""
        late = self.stale_s(now) > self._cfg.lease_s * _ASK_LEADER_SHARE
        behind = self._hints.highest_revision > self.config.revision and not self._hints.any_ahead(
            self.config.revision
        )
        if now < self._ask_leader_at or not (late or behind or not self._ready):
            return []
        actions = self._start_fetch(self._hints.leader_address, True, now)
        if actions:
            # The jitter spreads the questions of many VMs that lost the same leader.
            self._ask_leader_at = now + self._cfg.retry_s * self._rng.uniform(1, 2)
        return actions

    def _fetch_from_peer(self, now: float) -> list[FollowerAction]:
        """Catch up from a peer that is ahead, or learn a newer confirmation from a fresher one."""
        ahead = self._hints.ahead(self.config.revision, now)
        if ahead:
            address = self._rng.choice(ahead)
            return self._start_fetch(address, False, now) if self._may_ask(address, now) else []
        self._far_at = None
        stale = self.stale_s(now)
        lease = self._cfg.lease_s
        if stale <= lease * _ASK_PEER_SHARE:
            return []
        # A small gain is not worth a call.
        address = self._hints.fresher(now - stale + lease / 12, now)
        if address and self._hints.is_remote(address) and stale <= lease * _ASK_FAR_SHARE:
            return []
        if not address and stale > lease * _ASK_LEADER_SHARE and now >= self._ask_any_at:
            # What the peers last said is old, but they may have heard more since.
            address = self._rng.choice(self._hints.askable(now) or [""])
            self._ask_any_at = now + self._cfg.retry_s
        return self._start_fetch(address, False, now)

    def _may_ask(self, address: str, now: float) -> bool:
        """Return whether a peer that is ahead is near, or the wait for a near one is over."""
        if not self._ready or not self._hints.is_remote(address):
            return True
        if self._far_at is None:
            self._far_at = now + self._rng.uniform(0, FAR_WAIT_S)
        return now >= self._far_at

    def _start_fetch(
        self, address: str, leader_confirmed: bool, now: float
    ) -> list[FollowerAction]:
        if not address or address in self._fetches or len(self._fetches) >= _MAX_FETCHES:
            return []
        self._fetches[address] = _Fetch(now, leader_confirmed)
        return [FetchConfig(address, self.config.revision, leader_confirmed)]
