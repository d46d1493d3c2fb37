"""HTTP interface for callers and the load balancer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from klein import Klein
from twisted.web.server import Site

from bramleycrank.query.types import Answer, QueryRequest


class Executor(Protocol):
    """Executes requests; the query controller in the daemon."""

    async def execute(self, req: QueryRequest) -> Answer:
        """Return the answer; raises `BramleycrankError`."""


class HttpApi:
    """The klein application.

    Parameters
    ----------
    executor : Executor
        Executes requests.
    readyz : callable
        Returns an empty string while the VM is ready, otherwise the reason why it is not.
    dump : callable
        Returns the JSON-ready state of the VM.
    """

    app = Klein()

    def __init__(
        self, executor: Executor, readyz: Callable[[], str], dump: Callable[[], dict[str, Any]]
    ) -> None:
        self._executor = executor
        self._readyz = readyz
        self._dump = dump

    def site(self) -> Site:
        """Return the factory to listen with; it limits bodies while it reads them."""
        raise NotImplementedError
