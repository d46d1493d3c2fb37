"""Allowances of customers over all VMs: the issuer's and the holder's decisions."""

from bramleycrank.customers.allowances.holder import Admit, Ask, Holder, Refuse
from bramleycrank.customers.allowances.issuer import Issuer
from bramleycrank.customers.allowances.limits import AllowanceBounds

__all__ = ["Admit", "AllowanceBounds", "Ask", "Holder", "Issuer", "Refuse"]
