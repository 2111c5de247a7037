# SPDX-License-Identifier: Apache-2.0
"""What the operators want and which backend servers there are."""

from lugcross.desired.backends import Backend
from lugcross.desired.backends import BackendId
from lugcross.desired.backends import BackendKey
from lugcross.desired.backends import BackendState
from lugcross.desired.model import Desired
from lugcross.desired.model import Engine
from lugcross.desired.model import Kind
from lugcross.desired.model import Limits
from lugcross.desired.model import Route
from lugcross.desired.model import Service
from lugcross.desired.model import Share
from lugcross.desired.model import Workspace

__all__ = [
    "Backend",
    "BackendId",
    "BackendKey",
    "BackendState",
    "Desired",
    "Engine",
    "Kind",
    "Limits",
    "Route",
    "Service",
    "Share",
    "Workspace",
]
