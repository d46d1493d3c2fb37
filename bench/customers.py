"""Measures memory and cost of customers and their keys, and of a change of one of them."""

from __future__ import annotations

import functools
import json
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from bramleycrank.customers import CustomerIndex
from bramleycrank.platform.documents import decode_routes
from bramleycrank.proto.log_pb2 import RouteTable
from bramleycrank.routing import check_routes
from bramleycrank.routing.difference import apply_patch, content_digest, make_patch
from bramleycrank.routing.packing import content_of, pack, pack_content, unpack

KEYS = 3
SIZES = (76, 2_500, 10_000)
LOOK_UPS = 200_000


@functools.cache
def _document(count: int) -> bytes:
    """Return an operator's document with customers, whose keys are random."""
    rng = random.Random(1)
    customers = [
        {
            "Name": f"customer-{number:05}",
            "ApiKeys": [f"{rng.getrandbits(128):032x}" for _ in range(KEYS)],
            "Priority": number % 3,
            "RatePerS": 5.0,
            "Burst": 20.0,
        }
        for number in range(count)
    ]
    return json.dumps({"Version": 1, "Tenants": customers}).encode()


def _hold_table(count: int) -> tuple[RouteTable, RouteTable, CustomerIndex]:
    """Return what a VM holds: the packed table, the unpacked one and the index."""
    packed = pack(decode_routes(_document(count)))
    table = unpack(packed)
    return packed, table, CustomerIndex(table.customers)


def _allocated_bytes(table: RouteTable) -> int:
    """Return the memory of the index, which has Python objects only."""
    tracemalloc.start()
    index = CustomerIndex(table.customers)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del index
    return size


def _look_up_s(index: CustomerIndex, keys: list[bytes]) -> float:
    """Return the processor time of one look-up, in seconds."""
    rounds = LOOK_UPS // len(keys)
    start = time.process_time()
    for _ in range(rounds):
        for key in keys:
            index.identify(key)
    return (time.process_time() - start) / (rounds * len(keys))


def measure(
    resident_bytes: Callable[[Callable[[], object]], float],
    min_processor_s: Callable[[Callable[[], object]], float],
) -> dict[str, Any]:
    """Measure memory, look-up and size by number of customers.

    Parameters
    ----------
    resident_bytes, min_processor_s : callable
        Measure the memory and the processor time of a function.
    """
    results = {}
    for count in SIZES:
        table = decode_routes(_document(count))
        index = CustomerIndex(table.customers)
        known = [key.encode() for customer in table.customers for key in customer.keys]
        half_right = [key[:16] + b"0" * 16 for key in known]
        results[count] = {
            "index_bytes": _allocated_bytes(table),
            "held_bytes": resident_bytes(lambda n=count: _hold_table(n)),
            "decode_s": min_processor_s(lambda n=count: decode_routes(_document(n))),
            "check_s": min_processor_s(lambda t=table: check_routes(t)),
            "index_s": min_processor_s(lambda t=table: CustomerIndex(t.customers)),
            "look_up_s": {
                "known": _look_up_s(index, known),
                "half_right": _look_up_s(index, half_right),
                "wrong": _look_up_s(index, [key[::-1] for key in known]),
            },
            "document_bytes": len(table.document),
            "packed_bytes": pack(table).ByteSize(),
        }
    return results


def _change(document: bytes, kind: str) -> RouteTable:
    """Return the packed table of the next version, with one change to the customers."""
    order = json.loads(document)
    customers = order["Tenants"]
    middle = customers[len(customers) // 2]
    key = f"{random.Random(2).getrandbits(128):032x}"
    match kind:
        case "key_added":
            middle["ApiKeys"].append(key)
        case "key_replaced":
            middle["ApiKeys"][1] = key
        case "rate":
            middle["RatePerS"] = 7.0
        case "customer_added":
            customers.append({"Name": "customer-new", "ApiKeys": [key], "RatePerS": 5.0})
        case "customer_removed":
            customers.remove(middle)
    return pack(decode_routes(json.dumps({**order, "Version": 2}).encode()))


KINDS = ("key_added", "key_replaced", "rate", "customer_added", "customer_removed")


def measure_changes(
    min_processor_s: Callable[[Callable[[], object]], float],
) -> dict[str, Any]:
    """Measure what a change of one customer sends to a VM, as a whole table and as a difference.

    Parameters
    ----------
    min_processor_s : callable
        Measures the processor time of a function.
    """
    results = {}
    for count in (76, 10_000):
        old = pack(decode_routes(_document(count)))
        base = content_of(old)
        results[count] = {}
        for kind in KINDS:
            new = _change(_document(count), kind)
            content = content_of(new)
            patch, digest = make_patch(base, content), content_digest(content)
            results[count][kind] = {
                "whole_bytes": new.ByteSize(),
                "difference_bytes": len(patch),
                "make_s": min_processor_s(
                    lambda o=old, n=new: make_patch(content_of(o), content_of(n))
                ),
                "restore_s": min_processor_s(
                    lambda o=old, p=patch, d=digest: pack_content(apply_patch(content_of(o), p, d))
                ),
            }
    return results
