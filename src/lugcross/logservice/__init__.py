# SPDX-License-Identifier: Apache-2.0
"""Clients of the log service and host list that the demo fleet runs on."""

from lugcross.logservice.hosts import Host
from lugcross.logservice.hosts import HostList
from lugcross.logservice.hosts import HostState
from lugcross.logservice.log import Batch
from lugcross.logservice.log import HttpLog
from lugcross.logservice.log import Log
from lugcross.logservice.log import READ_MAX
from lugcross.logservice.log import Record

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
