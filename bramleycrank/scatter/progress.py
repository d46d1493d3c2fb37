"""Progress of the shards of one forwarded request."""

from __future__ import annotations

import math

import attrs

from bramleycrank.scatter.types import Part, SubFailure


@attrs.define(eq=False)
class OpenSubRequest:
    """A sub-request that has not ended."""

    sub_id: int
    target_id: str
    sent_at: float


@attrs.define(eq=False)
class Shard:
    """Progress of the request at one service."""

    service: str
    open: list[OpenSubRequest] = attrs.field(factory=list)
    tried: list[str] = attrs.field(factory=list)
    sends: int = 0
    refused: int = 0
    hedge_at: float = math.inf
    part: Part | None = None
    failure: SubFailure | None = None
    ended: bool = False
