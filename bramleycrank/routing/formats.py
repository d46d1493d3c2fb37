"""Formats of route tables: which fields the VM knew that decoded the operator's document."""

from __future__ import annotations

import logging
from collections.abc import Callable

from bramleycrank.exceptions import BramleycrankError
from bramleycrank.proto.log_pb2 import RouteTable
from bramleycrank.routing.validation import check_routes

log = logging.getLogger(__name__)

ROUTES_FORMAT = 1
"""Format of the tables that this build decodes; 1 has customers and public routes. A new field of
the document raises it."""


def to_current_format(table: RouteTable, decode: Callable[[bytes], RouteTable]) -> RouteTable:
    """Return a table with all fields of its document that this build knows.

    A VM of an older build may have accepted the document; its table lacks what that build does not
    know. A document that this build refuses leaves the table as it is.

    Parameters
    ----------
    table : RouteTable
        An unpacked table.
    decode : callable
        Decodes the operator's document.
    """
    if table.format >= ROUTES_FORMAT or not table.document:
        return table
    try:
        decoded = decode(table.document)
        check_routes(decoded)
    except BramleycrankError as exc:
        log.error(
            "routes: the document of an older build stays without its new fields",
            extra={"routes_version": table.version, "error": exc.name, "reason": exc.message},
        )
        return table
    log.info(
        "routes: decoded the document of an older build again",
        extra={"routes_version": table.version, "customers": len(decoded.customers)},
    )
    return decoded
