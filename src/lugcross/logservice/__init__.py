# SPDX-License-Identifier: Apache-2.0
"""HTTP clients of the platform's log service and host list."""

from lugcross.logservice.host_list import Host
from lugcross.logservice.host_list import HostListClient
from lugcross.logservice.host_list import HostState
from lugcross.logservice.log import HttpLogClient
from lugcross.logservice.log import Log
from lugcross.logservice.log import MAX_RECORDS_PER_READ
from lugcross.logservice.log import ReadResult
from lugcross.logservice.log import Record

__all__ = [
    "MAX_RECORDS_PER_READ",
    "Host",
    "HostListClient",
    "HostState",
    "HttpLogClient",
    "Log",
    "ReadResult",
    "Record",
]
