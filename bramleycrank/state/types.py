"""Limits of the replicated state, and settings and actions of the configuration follower."""

from __future__ import annotations

import attrs

MAX_DELTAS = 1024
REMEMBERED_CHANGES = 10_000
MAX_ANSWER_BYTES = 4096
# A VM may use 128 MB for control, and uses 70 MB when idle. A claim takes about 500 bytes with an
# answer of 150 bytes; 60,000 answers of 4 KiB would exceed the whole 128 MB.
MAX_CLAIMS = 60_000
MAX_STORED_ANSWER_BYTES = 16 * 1024 * 1024
CLAIM_RETENTION_MS = 24 * 3600 * 1000


@attrs.frozen
class FollowerConfig:
    """Settings of a configuration follower.

    Parameters
    ----------
    lease_s : float
        Maximum age in seconds of a leader's confirmation for a VM to count as current.
    start_wait_s : float
        Maximum time in seconds that a starting VM waits for a leader-confirmed revision.
    retry_s : float
        Time in seconds between attempts to fetch.
    """

    lease_s: float = 6.0
    start_wait_s: float = 10.0
    retry_s: float = 0.5


@attrs.frozen
class FetchConfig:
    """Action: call ``FetchConfig`` on the peer. Exactly one callback must follow each action.

    The callback is ``on_fetched`` or ``on_fetch_failed`` with the same ``peer_address``.
    """

    peer_address: str
    from_revision: int
    leader_confirmed: bool
    routes_digest: bytes = b""  # of the route table held; empty: the whole table is needed


@attrs.frozen
class ConfigInForce:
    """Action: the follower's ``config`` is now in force; write it to the data folder."""

    revision: int


FollowerAction = FetchConfig | ConfigInForce
