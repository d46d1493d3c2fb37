"""The issuer's side of the allowances: one bucket for each limited customer."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

import attrs

from bramleycrank.customers.allowances.limits import (
    FALLBACK_S,
    LEASE_S,
    ON_DEMAND_S,
    VALID_S,
    AllowanceBounds,
)
from bramleycrank.customers.types import Customer
from bramleycrank.proto.peer_pb2 import AllowanceGrant, AllowanceUse, GrantReply, GrantRequest

MAX_RETRY_AFTER_S = 5.0
"""Longest time until the next grant that a holder is told, in seconds."""

FORGET_S = 2 * FALLBACK_S
"""Time after its last request for which a holder or a removed customer is remembered, in
seconds; its grants and its fallback share have expired by then."""


@attrs.define
class _Account:
    """What one holder has of one allowance.

    Parameters
    ----------
    outstanding : int
        Grants that the holder may still use, or has used without a report.
    admitted : int
        Requests that it has reported as admitted in total.
    sequence : int
        Number of the holder's last request for this customer.
    on_demand, on_demand_until : int, float
        Grants for requests that waited for the last reply, which come back until then if the holder
        did not accept it.
    """

    outstanding: int = 0
    expires: float = 0.0
    admitted: int = 0
    fallback_share: float = 0.0
    fallback_until: float = 0.0
    sequence: int = 0
    on_demand: int = 0
    on_demand_until: float = 0.0


@attrs.define
class _Bucket:
    """The allowance of one customer.

    Parameters
    ----------
    level : float
        Requests that may be granted now, by rate and burst.
    ramp : float
        Requests that may be granted now by the rate, with the extra of a new issuer, counted from
        the time at which no predecessor issues any more; limits the grants of the first window.
    issued : int
        Requests granted in total, without those that holders returned.
    promised_at : float
        Time of the last grant that a holder was told to come back for, in seconds.
    """

    customer: Customer
    level: float
    filled_at: float
    ramp: float = 0.0
    issued: int = 0
    promised_at: float = 0.0
    removed_at: float = math.inf
    accounts: dict[str, _Account] = attrs.field(factory=dict)

    def outstanding(self, now: float) -> int:
        """Return the grants of all holders that are neither reported nor expired."""
        return sum(a.outstanding for a in self.accounts.values() if a.expires > now)

    def unconfirmed(self, now: float) -> int:
        """Return the on-demand grants that may still be put back."""
        return sum(a.on_demand for a in self.accounts.values() if a.on_demand_until > now)

    def give(self, count: int) -> None:
        """Take grants out of the bucket; a negative count puts them back."""
        self.level -= count
        self.ramp -= count
        self.issued += count


class Issuer:
    """Grants requests to holders within the allowances.

    A window holds at most what is issued in it, which the bucket limits, what was outstanding at
    its begin, and what holders admit by their fallback shares.

    Load pattern: two VMs may believe to lead for a short time, and the new one does not know what
    the old one granted. The old one ends its grants `LEASE_S` after its last confirmed round, which
    began before the election; the new one grants nothing for that time, and then only what the
    rate has given since, for small customers a little more, until a window has passed.

    Parameters
    ----------
    bounds : AllowanceBounds
        The bound on the requests in each window.
    """

    def __init__(self, bounds: AllowanceBounds) -> None:
        self._bounds = bounds
        self._term = 0
        self._issues_from = math.inf
        self._version = 0
        self._customers: dict[str, Customer] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._sequences: dict[str, tuple[int, float]] = {}
        self._forget_at = 0.0

    def lead(self, term: int, now: float) -> None:
        """Begin to issue as the leader of a term; does nothing if that has been called before."""
        if term == self._term:
            return
        self._term = term
        self._issues_from = now + LEASE_S
        self._sequences.clear()
        self._buckets = {
            name: self._new_bucket(customer, now) for name, customer in self._customers.items()
        }

    def _new_bucket(self, customer: Customer, now: float) -> _Bucket:
        return _Bucket(customer, self._bounds.depth(customer), max(now, self._issues_from))

    def set_customers(self, customers: Iterable[Customer], version: int, now: float) -> None:
        """Apply the limited customers of a new route table.

        Parameters
        ----------
        customers : iterable of Customer
            The customers with an allowance.
        version : int
            Version of the table.
        now : float
            Current time in seconds.
        """
        self._version = version
        self._customers = {customer.name: customer for customer in customers}
        for name, bucket in self._buckets.items():
            self._refill(bucket, now)
            if name not in self._customers:
                # Grants and fallback shares stay valid if the customer comes back.
                bucket.removed_at = min(bucket.removed_at, now)
        for name, customer in self._customers.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = self._new_bucket(customer, now)
            else:
                bucket.customer, bucket.removed_at = customer, math.inf
                bucket.level = min(bucket.level, self._capacity(bucket, now))

    def on_request(self, request: GrantRequest, now: float) -> GrantReply:
        """Return the grants for the holder's request, of a VM that leads now."""
        if now < self._issues_from or request.issuer_term > self._term:
            # What a holder of a successor used of this issuer's grants is not known.
            return GrantReply(issuing=False, issuer_term=self._term)
        reply = GrantReply(
            issuing=True, issuer_term=self._term, starting=now < self._ramp_ends + VALID_S
        )
        holder = f"{request.vm_id}/{request.incarnation}"
        sequence, _ = self._sequences.get(holder, (0, 0.0))
        if request.sequence <= sequence:
            return reply
        self._sequences[holder] = (request.sequence, now)
        for use in request.uses:
            bucket = self._buckets.get(use.customer)
            if bucket is not None and bucket.removed_at == math.inf:
                self._refill(bucket, now)
                reply.grants.append(self._grant(bucket, holder, use, request, now))
            elif request.routes_version <= self._version:  # no longer limited
                requests = use.held + use.waiting + use.ahead
                reply.grants.append(AllowanceGrant(customer=use.customer, requests=requests))
        self._forget(now)
        return reply

    @property
    def _ramp_ends(self) -> float:
        # On-demand grants of a predecessor may be used until then beside those of this issuer.
        return self._issues_from + self._bounds.window_s + ON_DEMAND_S

    def _capacity(self, bucket: _Bucket, now: float) -> float:
        """Return the most requests in the bucket; those that may be put back have room."""
        return self._bounds.depth(bucket.customer) - bucket.unconfirmed(now)

    def _refill(self, bucket: _Bucket, now: float) -> None:
        elapsed_s = max(0.0, now - bucket.filled_at)
        gained = bucket.customer.per_s * elapsed_s
        bucket.filled_at = max(now, bucket.filled_at)
        bucket.level = min(self._capacity(bucket, now), bucket.level + gained)
        bucket.ramp += gained + self._bounds.start_extra_per_s(bucket.customer) * elapsed_s

    def _grant(
        self, bucket: _Bucket, holder: str, use: AllowanceUse, request: GrantRequest, now: float
    ) -> AllowanceGrant:
        account = bucket.accounts.setdefault(holder, _Account())
        held = self._settle(bucket, account, use, request.issuer_term == self._term, now)
        level = self._level(bucket, now)
        limit, outstanding = self._bounds.outstanding(bucket.customer), bucket.outstanding(now)
        available = max(0, math.floor(level))
        # Half is left for other holders. Grants that are used at once never lie idle at a VM, so
        # only those ahead of requests count against the limit on outstanding ones.
        on_demand = min(use.waiting, max(min(1, available), available // 2))
        spare = min(available // 2 - on_demand, limit - outstanding)
        ahead = max(0, min(use.ahead, spare))
        count = on_demand + ahead
        bucket.give(count)
        account.outstanding = held + ahead
        account.on_demand, account.sequence = on_demand, request.sequence
        account.expires = account.on_demand_until = now + VALID_S
        wanted = use.waiting + use.ahead
        retry_after_s = 0.0
        # A holder that only asks ahead is promised nothing, or the time that a refused caller was
        # told would go to it.
        if on_demand < use.waiting and level - count < 1:
            retry_after_s = self._promise(bucket, 1 - (level - count), now)
        share = self._fallback_share(bucket, account, use, now)
        if not (account.outstanding or wanted or account.fallback_share):
            del bucket.accounts[holder]
        return AllowanceGrant(
            customer=use.customer,
            requests=account.outstanding,
            on_demand=on_demand,
            retry_after_ms=math.ceil(retry_after_s * 1000),
            fallback_share=share,
        )

    @staticmethod
    def _settle(
        bucket: _Bucket, account: _Account, use: AllowanceUse, known: bool, now: float
    ) -> int:
        """Put back what the holder neither used nor holds; return what it holds.

        Grants that have expired are not put back: windows count them in the bucket's level.
        """
        if use.accepted_sequence < account.sequence and now < account.on_demand_until:
            bucket.give(-account.on_demand)
        account.on_demand = 0
        balance = account.outstanding if account.expires > now else 0
        # A holder that names another issuer has accepted no grant of this one.
        spent = max(0, use.admitted - account.admitted) if known else 0
        account.admitted = use.admitted if known else 0
        left = max(0, balance - spent)
        held = min(use.held, left) if known else 0
        bucket.give(held - left)
        account.outstanding = held
        return held

    def _level(self, bucket: _Bucket, now: float) -> float:
        """Return what may be granted, less in the first windows of an issuer."""
        level = min(bucket.level, self._capacity(bucket, now))
        if now < self._ramp_ends:
            level = min(level, bucket.ramp)
        if now < self._ramp_ends + VALID_S:
            # Grants of a predecessor may be used beside those of this issuer.
            customer, bounds = bucket.customer, self._bounds
            cap = customer.per_s * bounds.window_s + bounds.depth(customer)
            cap += bounds.start_extra_per_s(customer) * (bounds.window_s + ON_DEMAND_S)
            level = min(level, cap - bucket.issued)
        return level

    @staticmethod
    def _promise(bucket: _Bucket, missing: float, now: float) -> float:
        """Return the time until a holder's next grant; holders that wait get different times."""
        interval_s = 1 / bucket.customer.per_s
        due = max(now + missing * interval_s, bucket.promised_at + interval_s)
        bucket.promised_at = min(due, now + MAX_RETRY_AFTER_S)
        return bucket.promised_at - now

    def _fallback_share(
        self, bucket: _Bucket, account: _Account, use: AllowanceUse, now: float
    ) -> float:
        """Return the holder's new share in the fallback allowance.

        The shares of all holders are at most 1 together. For `FALLBACK_S` an issuer only confirms
        shares that its predecessors gave, since it does not know the others.
        """
        others = [a for a in bucket.accounts.values() if a is not account]
        total = self._bounds.fallback(bucket.customer)
        active = 1 + sum(a.expires > now for a in others)
        if not (use.held or use.waiting or use.ahead or use.fallback_share) or not total:
            share = 0.0
        elif now < self._issues_from + FALLBACK_S:
            share = use.fallback_share
        else:
            used = sum(a.fallback_share for a in others if a.fallback_until > now)
            share = min(max(1, total // active) / total, 1.0 - used)
        account.fallback_share = max(share, use.fallback_share)
        account.fallback_until = now + FALLBACK_S
        return max(0.0, share)

    def _forget(self, now: float) -> None:
        if now < self._forget_at:
            return
        self._forget_at = now + FALLBACK_S
        old = now - FORGET_S
        self._sequences = {k: v for k, v in self._sequences.items() if v[1] > old}
        self._buckets = {k: b for k, b in self._buckets.items() if b.removed_at > old}
        for bucket in self._buckets.values():
            bucket.accounts = {
                k: a for k, a in bucket.accounts.items() if max(a.expires, a.fallback_until) > now
            }

    def dump(self, now: float) -> dict[str, Any]:
        """Return the buckets that holders use, in JSON form."""
        return {
            "term": self._term,
            "issuing": now >= self._issues_from,
            "customers": {
                name: {
                    "per_s": bucket.customer.per_s,
                    "level": round(bucket.level, 2),
                    "outstanding": bucket.outstanding(now),
                    "holders": len(bucket.accounts),
                }
                for name, bucket in self._buckets.items()
                if bucket.accounts
            },
        }
