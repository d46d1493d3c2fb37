"""Headers of requests that one VM serves for another, and of its replies."""

from __future__ import annotations

import attrs

from bramleycrank.transport.http1 import Request, Response
from bramleycrank.transport.http1.messages import Headers, end_to_end_headers, find_header

OFFER = b"Bramleycrank-Offer"
REPLY = b"Bramleycrank-Reply"

STATUS_RETURNED = 421
"""Status of a VM that has not started a request."""

MAX_SENDS = 100
"""Largest accepted number of sub-requests that were sent to one service."""

MAX_OFFER_BYTES = 4096
"""Bytes by which an offer may lengthen the head of a request; a route may have 1,000 services."""

KEEP_ALIVE_S = 30
"""Time for which a VM keeps an idle connection of another one open, in seconds."""

_STARTED = b"started"


@attrs.frozen
class Offer:
    """What the VM that serves a request has to know of it.

    Parameters
    ----------
    routes_version : int
        Version of the route table by which the request was accepted.
    network_s : float
        Time that the answer needs from the offering VM to the caller, in seconds.
    unreached : int
        Number of services that the offering VM cannot reach.
    sends : tuple of int
        Sub-requests that it has sent to each service; empty if none.
    """

    routes_version: int
    network_s: float
    unreached: int
    sends: tuple[int, ...] = ()

    @classmethod
    def from_request(cls, request: Request) -> Offer | None:
        """Return the offer in a request, or None if it has no valid one."""
        fields = (find_header(request.headers, OFFER.lower()) or b"").split(b";")
        if len(fields) != 4 or not all(map(_is_number, fields[:3])):
            return None
        sends = fields[3].split(b",") if fields[3] else []
        if not all(map(_is_number, sends)):
            return None
        version, network_ms, unreached = map(int, fields[:3])
        return cls(
            version, network_ms / 1000, unreached, tuple(min(int(n), MAX_SENDS) for n in sends)
        )

    def headers(self) -> Headers:
        """Return the headers that carry the offer."""
        sends = b",".join(b"%d" % count for count in self.sends)
        network_ms = round(self.network_s * 1000)
        value = b"%d;%d;%d;%b" % (self.routes_version, network_ms, self.unreached, sends)
        return [(OFFER, value)]

    @staticmethod
    def strip(request: Request) -> Request:
        """Return a request as the caller sent it."""
        own = OFFER.lower()
        headers = [item for item in request.headers if item[0].lower() != own]
        return attrs.evolve(request, headers=headers)


@attrs.frozen
class Reply:
    """What a VM tells of a request that was offered to it.

    Parameters
    ----------
    started : bool
        Whether the response is the final answer; otherwise nothing was done.
    unreached : int
        Number of services that it cannot reach.
    routes_version : int
        Version of its route table; 0 if it has none.
    """

    started: bool
    unreached: int = 0
    routes_version: int = 0

    @classmethod
    def from_response(cls, response: Response) -> Reply | None:
        """Return the reply in a response, or None if it has no valid one."""
        value = response.fields.get(REPLY.lower(), b"")
        if value == _STARTED:
            return cls(True)
        numbers = value.split(b";")
        if len(numbers) != 2 or not all(map(_is_number, numbers)):
            return None
        return cls(False, *map(int, numbers))

    def headers(self) -> Headers:
        """Return the headers that carry the reply."""
        value = _STARTED if self.started else b"%d;%d" % (self.unreached, self.routes_version)
        return [(REPLY, value), (b"Keep-Alive", b"timeout=%d" % KEEP_ALIVE_S)]

    @staticmethod
    def strip(headers: Headers) -> Headers:
        """Return the headers of an answer as the caller may see them."""
        return end_to_end_headers(headers, frozenset({REPLY.lower()}))


def _is_number(value: bytes) -> bool:
    return value.isdigit() and len(value) <= 18
