"""Decides which customer sends a request, and what a request without a valid key is told."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from bramleycrank.customers.directory import CustomerIndex
from bramleycrank.customers.types import Customer

NEWER_TABLE_RETRY_AFTER_S = 0.25
"""Retry-after while this VM may hold an outdated table, in seconds: a newer one arrives within
0.5 s unless the VM is cut off."""

UNCLEAR_RETRY_AFTER_S = 2.0
"""Retry-after while the table does not tell whose key it is, in seconds; an operator must mend
it."""


@attrs.frozen
class Identity:
    """Who sends a request, according to the table in force.

    Parameters
    ----------
    customer : Customer or None
        The customer whose key the caller presented; None without one.
    keys_in_use : bool
        Whether the table has customers, so that targets must receive neither the caller's key nor a
        customer that the caller names itself.
    """

    customer: Customer | None = None
    keys_in_use: bool = False

    def log_fields(self) -> dict[str, str]:
        """Return the fields of log lines about the request."""
        return {"customer": self.customer.name} if self.customer is not None else {}


ANONYMOUS = Identity()
"""Identity of all requests while the table has no customers."""


@attrs.frozen
class KeyRefusal:
    """Refusal of a request whose key this VM does not know.

    Parameters
    ----------
    rule : str
        Rule by which it is refused, for the log.
    reason : str
        Reason for the log.
    final : bool
        Whether the key is known to be invalid; otherwise this VM cannot tell.
    retry_after_s : float
        Time after which the caller may retry, in seconds; 0 if that is useless.
    """

    rule: str
    reason: str
    final: bool = False
    retry_after_s: float = 0.0


def identify(
    customers: CustomerIndex,
    key: bytes | None,
    *,
    public: bool,
    is_newest: Callable[[], bool],
) -> Identity | KeyRefusal:
    """Identify a caller by its key.

    Parameters
    ----------
    customers : CustomerIndex
        Customers of the table in force.
    key : bytes or None
        Key that the request has; None without exactly one.
    public : bool
        Whether the route needs no key.
    is_newest : callable
        Returns whether no newer table can be in force elsewhere, as far as this VM can know.
    """
    if not customers.in_use:
        return ANONYMOUS
    customer = customers.identify(key) if key is not None else None
    if customer is not None or public:
        return Identity(customer, keys_in_use=True)
    if not is_newest():
        return KeyRefusal(
            "newer_table",
            "a newer route table may have the key",
            retry_after_s=NEWER_TABLE_RETRY_AFTER_S,
        )
    if customers.is_unclear(key):
        reason = "the route table does not tell whose key it is"
        return KeyRefusal("unclear_key", reason, retry_after_s=UNCLEAR_RETRY_AFTER_S)
    return KeyRefusal("key", "no valid key" if key is None else "the key is unknown", final=True)


def identify_offered(
    customers: CustomerIndex, name: str, key: bytes | None, *, public: bool
) -> Identity | None:
    """Identify the caller of a request that another VM offers; None if it must not be served.

    A VM that identifies callers removes the key and names the customer. If there is a key, the
    other VM runs a build that does not, and the name comes from the caller.

    Parameters
    ----------
    customers : CustomerIndex
        Customers of the table in force, which the other VM has as well.
    name : str
        Customer that the other VM names; empty without one.
    key : bytes or None
        Key that the request has; None without exactly one.
    public : bool
        Whether the route needs no key.
    """
    if not customers.in_use:
        return ANONYMOUS
    customer = customers.by_name(name) if key is None else customers.identify(key)
    if customer is None and not public:
        return None
    return Identity(customer, keys_in_use=True)
