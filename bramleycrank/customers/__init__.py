"""Customers, their keys, allowances and shares: decisions without I/O and clocks."""

from bramleycrank.customers.directory import CustomerIndex
from bramleycrank.customers.types import Customer

__all__ = ["Customer", "CustomerIndex"]
