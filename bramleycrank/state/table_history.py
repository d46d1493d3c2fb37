"""The route tables that a VM had last, for differences between them."""

from __future__ import annotations

import logging
from collections import deque

import attrs

from bramleycrank.proto.log_pb2 import RouteTable
from bramleycrank.proto.peer_pb2 import FetchConfigReply, RouteDifference
from bramleycrank.routing.difference import (
    DifferenceError,
    apply_patch,
    content_digest,
    make_patch,
)
from bramleycrank.routing.packing import content_of, pack_content

log = logging.getLogger(__name__)

MAX_OLDER_TABLES = 8
"""Maximum number of older tables to keep; VMs in touch lack one or two versions."""

MAX_OLDER_BYTES = 4 * 1024 * 1024
"""Maximum size of the older tables, compressed; three with 10,000 customers."""


@attrs.define(eq=False)
class _Held:
    """A compressed table and the digest of its content, which is computed when it is needed."""

    table: RouteTable
    _digest: bytes | None = None

    @property
    def digest(self) -> bytes:
        """Digest of the content; empty if the table is damaged, so that nothing is based on it."""
        if self._digest is None:
            try:
                self._digest = content_digest(content_of(self.table))
            except ValueError as exc:
                log.error("config: a route table is damaged", extra={"reason": str(exc)})
                self._digest = b""
        return self._digest


class TableHistory:
    """Makes the replies to fetches shorter for VMs that have a recent table, and restores them.

    Load pattern: the key of one of 10,000 customers changes, and hundreds of VMs need the new
    table. The whole table is 1.28 MB, the difference some hundred bytes. A VM passes the
    difference on that it received, so only the first VMs compute it.
    """

    def __init__(self) -> None:
        self._newest: _Held | None = None
        self._older: deque[_Held] = deque()
        self._differences: dict[bytes, RouteDifference] = {}  # to the newest, by base

    def add(self, table: RouteTable, difference: RouteDifference | None = None) -> None:
        """Add the newest table; one that is not compressed or was added last changes nothing.

        Parameters
        ----------
        table : RouteTable
            A compressed table.
        difference : RouteDifference, optional
            The difference that it was restored from.
        """
        if not table.packed or self._is_newest(table):
            return
        if self._newest is not None and self._newest.table.version != table.version:
            self._older.append(self._newest)
        while len(self._older) > MAX_OLDER_TABLES or self._older_bytes() > MAX_OLDER_BYTES:
            self._older.popleft()
        self._newest = _Held(table, difference.digest if difference else None)
        self._differences = {difference.base_digest: difference} if difference else {}

    def digest(self) -> bytes:
        """Return the digest of the newest table's content; empty without a sound table."""
        return self._newest.digest if self._newest is not None else b""

    def shorten(self, reply: FetchConfigReply, base_digest: bytes) -> None:
        """Replace the table in a reply by its difference to a table that the receiver has.

        The reply stays as it is if it has no table, if this VM lacks the base, or if the
        difference is not smaller.
        """
        table = _table_in(reply)
        if table is None or not self._is_newest(table) or not self._newest.digest:
            return
        difference = self._difference(base_digest)
        if difference is not None and len(difference.patch) < len(table.packed):
            table.ClearField("packed")
            reply.difference.CopyFrom(difference)

    def restore(self, reply: FetchConfigReply) -> RouteTable:
        """Restore the table of a reply from its difference, and return it.

        Raises
        ------
        DifferenceError
            If this VM lacks the base, or the difference does not lead to the table.
        """
        difference, table = reply.difference, _table_in(reply)
        if table is None:
            raise DifferenceError("there is no table for the difference")
        base = self._find(difference.base_digest)
        if base is None:
            raise DifferenceError("the base of the difference is not held")
        content = apply_patch(content_of(base.table), difference.patch, difference.digest)
        table.packed = pack_content(content)
        return table

    def _is_newest(self, table: RouteTable) -> bool:
        return self._newest is not None and self._newest.table.packed == table.packed

    def _difference(self, base_digest: bytes) -> RouteDifference | None:
        known = self._differences.get(base_digest)
        base = self._find(base_digest)
        if known is not None or base is None:
            return known
        patch = make_patch(content_of(base.table), content_of(self._newest.table))
        difference = RouteDifference(
            base_digest=base_digest, digest=self._newest.digest, patch=patch
        )
        self._differences[base_digest] = difference
        return difference

    def _find(self, digest: bytes) -> _Held | None:
        held = [*self._older, self._newest] if self._newest is not None else []
        return next((item for item in reversed(held) if digest and item.digest == digest), None)

    def _older_bytes(self) -> int:
        return sum(len(item.table.packed) for item in self._older)


def _table_in(reply: FetchConfigReply) -> RouteTable | None:
    """Return the route table in the deltas or the image of a reply; None without one."""
    tables = [
        delta.change.put_routes
        for delta in reply.deltas
        if delta.change.WhichOneof("body") == "put_routes"
    ]
    if reply.HasField("image") and reply.image.HasField("routes"):
        tables.append(reply.image.routes)
    return tables[0] if len(tables) == 1 else None
