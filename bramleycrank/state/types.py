"""Values of the state package: settings and actions of the configuration follower, limits."""

from __future__ import annotations

import attrs

DELTA_RING = 1024
REMEMBERED_CHANGES = 10_000
MAX_ANSWER_BYTES = 4096
# A node may use 128 MB for control, of which an idle VM takes 70 MB. A claim takes about 500 bytes
# with an answer of 150 bytes; answers of 4 KiB would take more than all of it.
MAX_CLAIMS = 60_000
MAX_STORED_ANSWER_BYTES = 16 * 1024 * 1024
CLAIM_RETENTION_MS = 24 * 3600 * 1000


@attrs.frozen
class FollowerConfig:
    """Settings of a configuration follower.

    Parameters
    ----------
    lease_s : float
        Longest age in seconds of a leader's confirmation with which a VM is current.
    start_wait_s : float
        Time in seconds that a starting VM waits for a leader-confirmed revision.
    retry_s : float
        Time in seconds between attempts to fetch.
    """

    lease_s: float = 6.0
    start_wait_s: float = 10.0
    retry_s: float = 0.5


@attrs.frozen
class FetchConfig:
    """Call ``FetchConfig`` on the peer; exactly one callback must follow each action.

    The callback is ``on_fetched`` or ``on_fetch_failed`` with the same ``peer_address``.
    """

    peer_address: str
    from_revision: int
    leader_confirmed: bool


@attrs.frozen
class ConfigInForce:
    """The follower's ``config`` is in force with this revision; write it to the data folder."""

    revision: int


FollowerAction = FetchConfig | ConfigInForce
