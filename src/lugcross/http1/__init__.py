# SPDX-License-Identifier: Apache-2.0
"""HTTP/1.1 client and server connections over asyncio, based on h11."""

from lugcross.http1.caller_memory import CALLER_BUFFER_BYTES
from lugcross.http1.caller_request import CallerDisconnectedError
from lugcross.http1.caller_request import Request
from lugcross.http1.client import BOUNDED_BUFFER_BYTES
from lugcross.http1.client import ClientConn
from lugcross.http1.client import connect
from lugcross.http1.client import ConnectionBrokenError
from lugcross.http1.client import NoConnectionError
from lugcross.http1.client import ResponseHead
from lugcross.http1.client import ResponseMemory
from lugcross.http1.connection_server import ConnectionServer
from lugcross.http1.listener import Listener
from lugcross.http1.listener import listening_socket
from lugcross.http1.parsing_turns import ParsingTurns
from lugcross.http1.request_reader import TimeLimit
from lugcross.http1.response_writer import ResponseWriter
from lugcross.http1.server import CloseReason
from lugcross.http1.server import Handler
from lugcross.http1.server import ServerConn

__all__ = [
    "BOUNDED_BUFFER_BYTES",
    "CALLER_BUFFER_BYTES",
    "CallerDisconnectedError",
    "ClientConn",
    "CloseReason",
    "ConnectionBrokenError",
    "ConnectionServer",
    "Handler",
    "Listener",
    "NoConnectionError",
    "ParsingTurns",
    "Request",
    "ResponseHead",
    "ResponseMemory",
    "ResponseWriter",
    "ServerConn",
    "TimeLimit",
    "connect",
    "listening_socket",
]
