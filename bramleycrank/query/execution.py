"""One query from plan to merged answer."""

from __future__ import annotations

from bramleycrank.proto.target_pb2 import SubReply
from bramleycrank.query.types import Action


class QueryExecution:
    """One query; takes replies, failures and time, and returns actions."""

    def start(self, now: float) -> list[Action]:
        """Plan and dispatch the query."""
        raise NotImplementedError

    def on_reply(self, reply: SubReply, now: float) -> list[Action]:
        """Handle a reply."""
        raise NotImplementedError

    def on_failure(self, sub_id: int, reason: str, now: float) -> list[Action]:
        """Handle a sub-request that ended without a reply."""
        raise NotImplementedError

    def tick(self, now: float) -> list[Action]:
        """Send due hedges and end the query at its deadline."""
        raise NotImplementedError

    def cancel(self, now: float) -> list[Action]:
        """End the query because the caller went away."""
        raise NotImplementedError

    def next_deadline(self) -> float | None:
        """Return the time of the next tick; None once the query has ended."""
        raise NotImplementedError
