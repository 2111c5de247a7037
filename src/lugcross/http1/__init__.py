# SPDX-License-Identifier: Apache-2.0
"""HTTP/1.1 client and server connections over asyncio, based on h11."""

from lugcross.http1.client import ClientConn
from lugcross.http1.client import connect
from lugcross.http1.client import ConnectionBrokenError
from lugcross.http1.client import NoConnectionError
from lugcross.http1.client import ResponseHead
from lugcross.http1.server import CallerDisconnectedError
from lugcross.http1.server import Handler
from lugcross.http1.server import Request
from lugcross.http1.server import ResponseWriter
from lugcross.http1.server import ServerConn

__all__ = [
    "CallerDisconnectedError",
    "ClientConn",
    "ConnectionBrokenError",
    "Handler",
    "NoConnectionError",
    "Request",
    "ResponseHead",
    "ResponseWriter",
    "ServerConn",
    "connect",
]
