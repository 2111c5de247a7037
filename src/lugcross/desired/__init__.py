# SPDX-License-Identifier: Apache-2.0
"""Desired state that operators configure, and the backend servers."""

from lugcross.desired.backend import Backend
from lugcross.desired.backend import BackendId
from lugcross.desired.backend import BackendKey
from lugcross.desired.backend import BackendState
from lugcross.desired.state import ColdLimit
from lugcross.desired.state import DesiredState
from lugcross.desired.state import EngineSpec
from lugcross.desired.state import request_urgency
from lugcross.desired.state import RequestLimits
from lugcross.desired.state import Route
from lugcross.desired.state import RouteKind
from lugcross.desired.state import Service
from lugcross.desired.state import WeightedService
from lugcross.desired.state import Workspace

__all__ = [
    "Backend",
    "BackendId",
    "BackendKey",
    "BackendState",
    "ColdLimit",
    "DesiredState",
    "EngineSpec",
    "RequestLimits",
    "Route",
    "RouteKind",
    "Service",
    "WeightedService",
    "Workspace",
    "request_urgency",
]
