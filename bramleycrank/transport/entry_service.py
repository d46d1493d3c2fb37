"""The `Entry` service: shows operators how a VM serves its callers."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

from bramleycrank.exceptions import BramleycrankError, InvalidRequest, Outcome
from bramleycrank.proto import entry_pb2
from bramleycrank.proto.entry_grpc import EntryBase, EntryStub
from bramleycrank.transport.grpc_errors import unary
from bramleycrank.transport.peer_client import PeerClients

log = logging.getLogger(__name__)

COLLECT_TIMEOUT_S = 2.0
"""Longest wait for the reply of another VM, in seconds."""

MAX_CALLS = 32
"""Most calls to other VMs at the same time."""


class Entry(Protocol):
    """What the service shows; implemented by the entry controller."""

    def customer_uses(self, name: str) -> entry_pb2.ListCustomersReply:
        """Return what the callers of one customer, or of all if `name` is empty, use here."""

    def place(self, request: entry_pb2.PlaceRequest) -> dict[str, Any]:
        """Return where a request would go now, and why, without any effect."""


class EntryService(EntryBase):
    """Serves the calls of operators.

    Parameters
    ----------
    entry : callable
        Returns the entry of this VM; None if it serves no callers, or not yet.
    dump : callable
        Returns the state of this VM in JSON form.
    other_vms : callable
        Returns id and ``host:port`` of the other VMs that serve callers.
    clients : PeerClients
        Connections to other VMs.
    """

    def __init__(
        self,
        entry: Callable[[], Entry | None],
        dump: Callable[[], dict[str, Any]],
        other_vms: Callable[[], Sequence[tuple[str, str]]],
        clients: PeerClients,
    ) -> None:
        self._entry = entry
        self._dump = dump
        self._other_vms = other_vms
        self._clients = clients

    @unary
    async def ListCustomers(  # noqa: N802
        self, request: entry_pb2.ListCustomersRequest
    ) -> entry_pb2.ListCustomersReply:
        """Return what customers use at this VM, or at all VMs together."""
        entry = self._entry()
        replies = [entry.customer_uses(request.name)] if entry is not None else []
        silent: list[str] = []
        if not request.local:
            limit = asyncio.Semaphore(MAX_CALLS)
            vms = self._other_vms()
            collected = await asyncio.gather(
                *(self._collect(address, request.name, limit) for _, address in vms)
            )
            silent = [vm for (vm, _), reply in zip(vms, collected, strict=True) if reply is None]
            replies += [reply for reply in collected if reply is not None]
        reply = merge_uses(replies)
        reply.silent_vms.extend(sorted(silent))
        return reply

    async def _collect(
        self, address: str, name: str, limit: asyncio.Semaphore
    ) -> entry_pb2.ListCustomersReply | None:
        """Return the uses at another VM, or None if it does not reply."""
        request = entry_pb2.ListCustomersRequest(name=name, local=True)
        async with limit:
            try:
                return await self._clients.call(
                    address,
                    "ListCustomers",
                    request,
                    timeout_s=COLLECT_TIMEOUT_S,
                    stub_type=EntryStub,
                    purpose="operators",
                )
            except BramleycrankError as exc:
                log.debug("operators: no reply of %s: %s", address, exc)
                return None

    @unary
    async def Place(self, request: entry_pb2.PlaceRequest) -> entry_pb2.PlaceReply:  # noqa: N802
        """Return where a request would go now."""
        entry = self._entry()
        if entry is None:
            raise InvalidRequest("this VM serves no callers", outcome=Outcome.NOT_RUN)
        return entry_pb2.PlaceReply(json=json.dumps(entry.place(request)))

    @unary
    async def Dump(self, request: entry_pb2.DumpRequest) -> entry_pb2.DumpReply:  # noqa: N802
        """Return the state of this VM."""
        return entry_pb2.DumpReply(json=json.dumps(self._dump(), default=str))


def merge_uses(
    replies: Iterable[entry_pb2.ListCustomersReply],
) -> entry_pb2.ListCustomersReply:
    """Return the sum over VMs; rates and keys are those of the newest route table.

    A VM without an entry adds nothing, also not to the number of VMs.
    """
    merged = entry_pb2.ListCustomersReply()
    uses: dict[str, entry_pb2.CustomerUse] = {}
    for reply in sorted(replies, key=lambda r: r.routes_version):
        merged.routes_version = reply.routes_version
        merged.vms += reply.vms
        for use in reply.customers:
            known = uses.get(use.name)
            if known is None:
                uses[use.name] = entry_pb2.CustomerUse()
                uses[use.name].CopyFrom(use)
                continue
            known.per_s, known.burst, known.keys = use.per_s, use.burst, use.keys
            known.ClearField("rank")
            if use.HasField("rank"):
                known.rank = use.rank
            known.admitted += use.admitted
            for rule, count in use.refused.items():
                known.refused[rule] += count
            known.recent_per_s += use.recent_per_s
            known.vms += use.vms
            known.held += use.held
    merged.customers.extend(uses[name] for name in sorted(uses))
    return merged
