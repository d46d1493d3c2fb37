"""Common parts of all commands: server address, output format and remote calls."""

from __future__ import annotations

import sys
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from typing import Any

import attrs
from grpclib.client import Channel

from bramleycrank.cli.arguments import invalid_argument
from bramleycrank.cli.output import print_result
from bramleycrank.proto.entry_grpc import EntryStub
from bramleycrank.proto.operator_grpc import OperatorStub
from bramleycrank.settings import Address
from bramleycrank.transport.grpc_errors import call

DEFAULT_SERVER = "127.0.0.1:7070"
DEFAULT_HTTP = "127.0.0.1:8080"
CALL_TIMEOUT_S = 10.0
# Added to a call's timeout, so that the server's own timeout expires first.
TIMEOUT_MARGIN_S = 2.0


@attrs.define
class DeferredCommand:
    """A command whose arguments are parsed, to be run later.

    `fire` detects surplus arguments only after it has called a command, so commands return this
    object and the entry point runs it once all arguments are accepted.

    Parameters
    ----------
    action : callable
        Coroutine function that runs the command.
    """

    _action: Callable[[], Awaitable[None]]

    def __dir__(self) -> list[str]:
        return []

    async def _run(self) -> None:
        await self._action()


@attrs.frozen
class Context:
    """Options of all commands.

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
        """Connect to the operator service of the server."""
        async with open_channel(self.server, "--server") as conn:
            yield OperatorClient(OperatorStub(conn))

    @asynccontextmanager
    async def entry(self) -> AsyncIterator[OperatorClient]:
        """Connect to the entry service of the server, a VM that serves callers by HTTP."""
        async with open_channel(self.server, "--server") as conn:
            yield OperatorClient(EntryStub(conn))

    def show(self, data: Mapping[str, Any], text: str) -> None:
        """Print a result."""
        print_result(data, text, as_json=self.as_json)


class OperatorClient:
    """Client of a service for operators that raises typed errors.

    Parameters
    ----------
    stub : OperatorStub or EntryStub
        Generated gRPC stub.
    """

    def __init__(self, stub: OperatorStub) -> None:
        self._stub = stub

    async def call(self, method: str, request: Any, timeout_s: float = CALL_TIMEOUT_S) -> Any:
        """Call a method of the service.

        Raises
        ------
        BramleycrankError
            The error of the server, or `PeerUnreachable`.
        """
        return await call(getattr(self._stub, method), request, timeout_s=timeout_s)


@asynccontextmanager
async def open_channel(text: str, option: str) -> AsyncIterator[Channel]:
    """Open a channel to the address given by an option."""
    address = parse_address(text, option)
    conn = Channel(address.host, address.port)
    try:
        yield conn
    finally:
        conn.close()


def parse_address(text: str, option: str) -> Address:
    """Return the address given by an option.

    Raises
    ------
    InvalidRequest
        If it is malformed.
    """
    address = Address.parse(text)
    if address is None:
        raise invalid_argument(
            f"{option}: {text!r} is not an IP address and a port, such as {DEFAULT_SERVER}"
        )
    return address


def new_change_id(earlier_id: str) -> str:
    """Return a change id and print it, so that the change can be resent after a failure.

    Parameters
    ----------
    earlier_id : str
        Id of an earlier attempt to resend, or empty.
    """
    change_id = earlier_id or uuid.uuid4().hex
    print(f"change id: {change_id}", file=sys.stderr, flush=True)
    return change_id
