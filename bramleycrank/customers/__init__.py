"""Customers, their keys, allowances and shares: decisions without I/O and clocks."""

from bramleycrank.customers.directory import CustomerIndex
from bramleycrank.customers.identification import (
    ANONYMOUS,
    Identity,
    KeyRefusal,
    identify,
    identify_offered,
)
from bramleycrank.customers.types import Customer

__all__ = [
    "ANONYMOUS",
    "Customer",
    "CustomerIndex",
    "Identity",
    "KeyRefusal",
    "identify",
    "identify_offered",
]
