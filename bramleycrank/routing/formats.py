"""Formats of route tables: which fields the VM knew that decoded the operator's document."""

from __future__ import annotations

import logging
from collections.abc import Callable

from bramleycrank.exceptions import BramleycrankError
from bramleycrank.proto.log_pb2 import RouteTable
from bramleycrank.routing.validation import check_without_customers, find_customer_problems

log = logging.getLogger(__name__)

ROUTES_FORMAT = 1
"""Format of the tables that this build decodes; 1 has customers and public routes. A new field of
the document raises it."""


def to_current_format(
    table: RouteTable,
    decode: Callable[[bytes], RouteTable],
    has_customers: Callable[[bytes], bool],
) -> RouteTable:
    """Return a table with all fields of its document that this build knows.

    A VM of an older build may have accepted the document; its table lacks what that build does not
    know. No request may run whose key is not checked, so a document that this build refuses still
    has its customers in force: only their faults put those keys out of use that they concern. A
    document that cannot be read in full leaves the table as it is, and no key is valid if it has
    customers.

    Parameters
    ----------
    table : RouteTable
        An unpacked table.
    decode : callable
        Decodes the operator's document.
    has_customers : callable
        Returns whether a document has customers, also one that cannot be decoded.
    """
    if table.format >= ROUTES_FORMAT or not table.document:
        return table
    try:
        decoded = decode(table.document)
        check_without_customers(decoded)
    except BramleycrankError as exc:
        unreadable = RouteTable()
        unreadable.CopyFrom(table)
        unreadable.customers_unreadable = has_customers(table.document)
        log.error(
            "routes: the document of an older build stays without its new fields",
            extra={
                "routes_version": table.version,
                "error": exc.name,
                "reason": exc.message,
                "all_keys_refused": unreadable.customers_unreadable,
            },
        )
        return unreadable
    problems = list(find_customer_problems(decoded.customers))
    if problems:
        log.error(
            "routes: keys in the document of an older build are refused",
            extra={"routes_version": table.version, "reason": "; ".join(problems[:5])},
        )
    log.info(
        "routes: decoded the document of an older build again",
        extra={"routes_version": table.version, "customers": len(decoded.customers)},
    )
    return decoded
