# SPDX-License-Identifier: Apache-2.0
"""Typed clients of the platform's services."""

from lugcross.platform.hosts import Host
from lugcross.platform.hosts import HostList
from lugcross.platform.hosts import HostState
from lugcross.platform.log import Batch
from lugcross.platform.log import HttpLog
from lugcross.platform.log import Log
from lugcross.platform.log import READ_MAX
from lugcross.platform.log import Record

__all__ = [
    "READ_MAX",
    "Batch",
    "Host",
    "HostList",
    "HostState",
    "HttpLog",
    "Log",
    "Record",
]
