"""What all commands share: the server, the output form and remote calls."""

from __future__ import annotations

import sys
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from typing import Any

import attrs
from grpclib.client import Channel

from bramleycrank.cli.arguments import invalid
from bramleycrank.cli.output import print_result
from bramleycrank.proto.operator_grpc import OperatorStub
from bramleycrank.settings import Address
from bramleycrank.transport.grpc_errors import call

DEFAULT_SERVER = "127.0.0.1:7070"
DEFAULT_HTTP = "127.0.0.1:8080"
CALL_TIMEOUT_S = 10.0
# A call must outlast the time that the server itself allows for it.
TIMEOUT_MARGIN_S = 2.0


@attrs.define
class Pending:
    """A command whose arguments have been read.

    `fire` notices surplus arguments only after it has called a command, so commands return this
    object and the entry point runs it once all arguments have been accepted.

    Parameters
    ----------
    action : callable
        Coroutine function that does the work.
    """

    _action: Callable[[], Awaitable[None]]

    def __dir__(self) -> list[str]:
        return []

    async def _run(self) -> None:
        await self._action()


@attrs.frozen
class Context:
    """Options that apply to all commands.

    Parameters
    ----------
    server : str
        gRPC address ``host:port`` of a VM.
    http : str
        HTTP address ``host:port`` of a VM.
    as_json : bool
        Whether results are printed as JSON.
    """

    server: str = DEFAULT_SERVER
    http: str = DEFAULT_HTTP
    as_json: bool = False

    @asynccontextmanager
    async def operator(self) -> AsyncIterator[OperatorClient]:
        """Connect to the operators' service of the server."""
        async with channel(self.server, "--server") as conn:
            yield OperatorClient(OperatorStub(conn))

    def show(self, data: Mapping[str, Any], text: str) -> None:
        """Print a result."""
        print_result(data, text, as_json=self.as_json)


class OperatorClient:
    """Calls of the operators' service that raise typed errors.

    Parameters
    ----------
    stub : OperatorStub
        The generated stub.
    """

    def __init__(self, stub: OperatorStub) -> None:
        self._stub = stub

    async def call(self, method: str, request: Any, timeout_s: float = CALL_TIMEOUT_S) -> Any:
        """Make one call.

        Raises
        ------
        BramleycrankError
            The error of the server, or `PeerUnreachable`.
        """
        return await call(getattr(self._stub, method), request, timeout_s=timeout_s)


@asynccontextmanager
async def channel(text: str, option: str) -> AsyncIterator[Channel]:
    """Open a channel to an address that an option names."""
    address = parse_address(text, option)
    conn = Channel(address.host, address.port)
    try:
        yield conn
    finally:
        conn.close()


def parse_address(text: str, option: str) -> Address:
    """Return an address.

    Raises
    ------
    InvalidRequest
        If it is malformed.
    """
    address = Address.parse(text)
    if address is None:
        raise invalid(
            f"{option}: {text!r} is not an IP number and a port, such as {DEFAULT_SERVER}"
        )
    return address


def new_change_id(given: str) -> str:
    """Return the change id to use and show it before the change is sent.

    Parameters
    ----------
    given : str
        Id of an earlier attempt to resend, or empty.
    """
    change_id = given or uuid.uuid4().hex
    print(f"change id: {change_id}", file=sys.stderr, flush=True)
    return change_id
