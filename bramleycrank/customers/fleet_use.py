"""Use of the targets over all VMs: what a VM reports, and the sums that it gets back."""

from __future__ import annotations

import functools
import heapq
import itertools
import math
import zlib
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

import attrs

from bramleycrank.proto.peer_pb2 import GrantReply, GrantRequest, WorkReport

USE_DECAY_S = 3.0
"""Time constant with which past use is forgotten, in seconds; a flood of some seconds counts in
full, and a customer that has stopped has its share back soon after."""

WORK_UNIT_S = 1e-4
"""Unit of the work in reports, in seconds; less than a half of it is not reported."""

MIN_REPORT_GAP_S = 0.5
"""Least time between two reports of a VM, in seconds; a part of the time in which use decays."""

REPORT_BYTES_PER_S = 500.0
"""Bytes of reports and their replies at one VM, per second; larger ones are sent less often."""

MAX_REPORTED = 64
"""Most pairs in a report, those with the greatest work."""

MAX_GREATEST = 32
"""Most pairs in a reply besides those of the report, those with the greatest work of all VMs. A VM
has no use of its own of a customer whose flood reaches it for the first time."""

GREATEST_AGE_S = 0.25
"""Time for which the greatest pairs are not determined again, in seconds."""

BYTES_PER_PAIR = 7
"""Bytes of a pair in a message: four of the key, and up to three of the work below 200 s."""

FIXED_BYTES = 12
"""Bytes of a report or reply without its pairs."""

MAX_CACHED_KEYS = 4096
"""Most keys that are not computed again; a key is needed for each rival of a waiting request."""

VALID_S = 4.0
"""Time after which a report is not counted and a reply is not used any more, in seconds; two of the
largest reports."""


class FleetUse:
    """The use of services by customers at the other VMs, as seen from one VM.

    Services that the same routes use form a pool, whose use is reported once, as the mean over its
    services: the shards of an index are used alike.
    """

    def __init__(self) -> None:
        self._pools: dict[str, tuple[str, int]] = {}
        self._elsewhere: dict[int, float] = {}
        self._replied_at = -math.inf
        self._report_at = -math.inf

    def set_routes(self, routes: Iterable[Iterable[str]]) -> None:
        """Apply the routes of a table, each of which is given by its services."""
        used_by = defaultdict(set)
        for number, services in enumerate(routes):
            for service in services:
                used_by[service].add(number)
        pools = defaultdict(list)
        for service, numbers in used_by.items():
            pools[frozenset(numbers)].append(service)
        self._pools = {
            service: (min(pool), len(pool)) for pool in pools.values() for service in pool
        }

    def age(self, now: float) -> float:
        """Return the time since the last reply, in seconds; infinite if there was none."""
        return now - self._replied_at

    def elsewhere(self, service: str, name: str, now: float) -> float:
        """Return a customer's recent use of a service at the other VMs, in seconds of work.

        It is 0 while the last reply is too old, so that the VM goes by its own count.
        """
        age_s = self.age(now)
        if age_s > VALID_S or service not in self._pools:
            return 0.0
        work_s = self._elsewhere.get(_key(self._pools[service][0], name), 0.0)
        return work_s * math.exp(-age_s / USE_DECAY_S) if work_s else 0.0

    def is_due(self, now: float) -> bool:
        """Return whether a message that is sent now should carry a report."""
        return now >= self._report_at

    def report(self, uses: Iterable[tuple[str, str, float]], now: float) -> list[tuple[int, int]]:
        """Return the pairs of a report.

        Parameters
        ----------
        uses : iterable of (str, str, float)
            Service, customer and recent use, in seconds of work.
        now : float
            Current time in seconds.
        """
        work: dict[int, float] = defaultdict(float)
        for service, name, used_s in uses:
            if service in self._pools:
                pool, size = self._pools[service]
                work[_key(pool, name)] += used_s / size
        pairs = ((key, round(used_s / WORK_UNIT_S)) for key, used_s in work.items())
        pairs = heapq.nlargest(MAX_REPORTED, (pair for pair in pairs if pair[1]), _by_work)
        size = 2 * FIXED_BYTES + BYTES_PER_PAIR * (2 * len(pairs) + MAX_GREATEST)
        self._report_at = now + max(MIN_REPORT_GAP_S, size / REPORT_BYTES_PER_S)
        return pairs

    def on_reply(self, pairs: Iterable[tuple[int, int]], now: float) -> None:
        """Process the use at the other VMs."""
        self._elsewhere = {key: work * WORK_UNIT_S for key, work in pairs}
        self._replied_at = now

    def dump(self, now: float) -> dict[str, Any]:
        """Return the age and the number of the pairs from other VMs in JSON form."""
        age_s = self.age(now)
        return {
            "age_s": round(age_s, 3) if math.isfinite(age_s) else None,
            "pairs": len(self._elsewhere),
        }


@attrs.frozen
class _Report:
    """The last report of a VM, and when it came, in seconds."""

    work: dict[int, int]
    at: float


class FleetSums:
    """Sums of the last reports of all VMs; runs on the VM that issues the allowances.

    The sums are kept up to date by differences, since a few hundred reports come each second.
    """

    def __init__(self) -> None:
        self._reports: OrderedDict[str, _Report] = OrderedDict()
        self._sums: Counter[int] = Counter()
        self._greatest: list[int] = []
        self._greatest_at = -math.inf

    def answer(self, request: GrantRequest, reply: GrantReply, now: float) -> None:
        """Add the work at the other VMs to the reply to a request that has a report."""
        if request.HasField("work"):
            pairs = self.on_report(request.vm_id, read_pairs(request.work), now)
            write_pairs(reply.work, pairs)

    def on_report(
        self, vm_id: str, pairs: Iterable[tuple[int, int]], now: float
    ) -> list[tuple[int, int]]:
        """Take over the report of a VM; return the work at the other VMs for its reply."""
        work = dict(itertools.islice(pairs, MAX_REPORTED))
        while self._reports and next(iter(self._reports.values())).at < now - VALID_S:
            self._remove(next(iter(self._reports)))
        if now - self._greatest_at >= GREATEST_AGE_S:
            greatest = heapq.nlargest(MAX_GREATEST, self._sums.items(), _by_work)
            self._greatest, self._greatest_at = [key for key, _ in greatest], now
        self._remove(vm_id)
        reply = [
            (key, self._sums[key])
            for key in dict.fromkeys([*work, *self._greatest])
            if self._sums[key]
        ]
        if work:
            self._reports[vm_id] = _Report(work, now)
            self._sums.update(work)
        return reply

    def _remove(self, vm_id: str) -> None:
        report = self._reports.pop(vm_id, None)
        for key, work in report.work.items() if report is not None else ():
            self._sums[key] -= work
            if not self._sums[key]:
                del self._sums[key]


@functools.lru_cache(maxsize=MAX_CACHED_KEYS)
def _key(pool: str, name: str) -> int:
    return zlib.crc32(f"{pool}\0{name}".encode())


def _by_work(pair: tuple[int, int]) -> int:
    return pair[1]


def read_pairs(message: WorkReport) -> Iterator[tuple[int, int]]:
    """Yield the pairs of a message; keys without work are left out."""
    return zip(message.keys, message.work, strict=False)


def write_pairs(message: WorkReport, pairs: Sequence[tuple[int, int]]) -> None:
    """Set the pairs of a message, which may be none."""
    message.SetInParent()
    message.keys.extend(key for key, _ in pairs)
    message.work.extend(work for _, work in pairs)
