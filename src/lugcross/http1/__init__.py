# SPDX-License-Identifier: Apache-2.0
"""HTTP/1.1 over asyncio, with h11 as its protocol machine."""

from lugcross.http1.client import Answer
from lugcross.http1.client import BrokenError
from lugcross.http1.client import ClientConn
from lugcross.http1.client import connect
from lugcross.http1.client import NoConnectionError
from lugcross.http1.server import CallerGoneError
from lugcross.http1.server import Exchange
from lugcross.http1.server import Handler
from lugcross.http1.server import Request
from lugcross.http1.server import ServerConn

__all__ = [
    "Answer",
    "BrokenError",
    "CallerGoneError",
    "ClientConn",
    "Exchange",
    "Handler",
    "NoConnectionError",
    "Request",
    "ServerConn",
    "connect",
]
