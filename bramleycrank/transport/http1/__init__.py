"""HTTP/1.1 on plain asyncio transports with a C parser, for requests that this VM forwards."""

from bramleycrank.transport.http1.client import ConnectionListener, TargetConnection
from bramleycrank.transport.http1.connector import Connector
from bramleycrank.transport.http1.messages import Request, RequestTemplate, Response
from bramleycrank.transport.http1.receive_budget import ReceiveBudget
from bramleycrank.transport.http1.server import Http1Server
from bramleycrank.transport.http1.server_connection import Exchange

__all__ = [
    "ConnectionListener",
    "Connector",
    "Exchange",
    "Http1Server",
    "ReceiveBudget",
    "Request",
    "RequestTemplate",
    "Response",
    "TargetConnection",
]
