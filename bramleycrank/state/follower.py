"""Keeps the configuration of one VM up to date."""

from __future__ import annotations

import random

from bramleycrank.proto.log_pb2 import ConfigImage
from bramleycrank.proto.peer_pb2 import ConfigStatus, FetchConfigReply
from bramleycrank.state.config_state import ConfigState
from bramleycrank.state.types import FollowerAction, FollowerConfig


class ConfigFollower:
    """Follows the configuration through peers; its revision never goes down while it runs."""

    config: ConfigState

    @classmethod
    def from_config(
        cls, cfg: FollowerConfig, cached: ConfigImage | None, rng: random.Random, now: float
    ) -> ConfigFollower:
        """Build a starting follower with the image from the data folder, if there is one."""
        raise NotImplementedError

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
            Time at which this VM sent the request that the status answers. Without it the time
            in flight is unknown, so the status cannot make this VM current by itself.
        """
        raise NotImplementedError

    def on_fetched(
        self, peer_address: str, reply: FetchConfigReply, now: float
    ) -> list[FollowerAction]:
        """Handle the reply to a ``FetchConfig`` action."""
        raise NotImplementedError

    def on_fetch_failed(self, peer_address: str, now: float) -> list[FollowerAction]:
        """Handle the failure of a ``FetchConfig`` action."""
        raise NotImplementedError

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
            The configuration of the VM's replicated state; it is copied.
        confirmed : bool
            Whether this VM leads and a quorum confirmed it.
        now : float
            Time in seconds.
        confirmed_at : float, optional
            ``RaftNode.confirmed_at``: the time that the confirmation stands for. Required for
            ``confirmed`` to have an effect, because the end of a round would understate the age.
        leader : tuple of str and int, optional
            Host and port of the known leader.
        """
        raise NotImplementedError

    def tick(self, now: float) -> list[FollowerAction]:
        """Do what is due at ``now``."""
        raise NotImplementedError

    def next_deadline(self) -> float:
        """Return the time of the next needed tick."""
        raise NotImplementedError

    def status(self, now: float) -> ConfigStatus:
        """Return what this VM knows, for its peers."""
        raise NotImplementedError

    def stale_s(self, now: float) -> float:
        """Return an upper bound of the time since the configuration was the newest."""
        raise NotImplementedError

    def is_current(self, now: float) -> bool:
        """Return whether a leader's confirmation of this revision is younger than the lease."""
        raise NotImplementedError

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force."""
        raise NotImplementedError

    def dump(self) -> dict[str, object]:
        """Return the follower's knowledge for operators."""
        raise NotImplementedError
