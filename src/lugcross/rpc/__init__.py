# SPDX-License-Identifier: Apache-2.0
"""The operators' calls: schema, server and client."""

from lugcross.rpc.client import CallError
from lugcross.rpc.client import OperatorClient
from lugcross.rpc.convert import object_of
from lugcross.rpc.roles import Roles
from lugcross.rpc.servicer import OperatorServicer
from lugcross.rpc.servicer import RpcServer

__all__ = [
    "CallError",
    "OperatorClient",
    "OperatorServicer",
    "Roles",
    "RpcServer",
    "object_of",
]
