# SPDX-License-Identifier: Apache-2.0
"""Settings of an edge process for benchmarks that open no sockets."""

import datetime

from lugcross import desired
from lugcross.edge import settings as settings_lib

#: Request limits that no benchmark reaches.
LIMITS = desired.RequestLimits(
    max_head_bytes=4096,
    max_body_bytes=4096,
    head_timeout=datetime.timedelta(seconds=30),
    idle_timeout=datetime.timedelta(seconds=30),
)


def settings() -> settings_lib.Settings:
    """Return the settings of one edge process of a large fleet."""
    return settings_lib.Settings(
        node="n0",
        domain="d0",
        listen=settings_lib.Listen(
            callers="h:0", ready="h:0", state="h:1", peers="h:0"
        ),
        store=settings_lib.Store(address="h:1", form="log"),
        bounds=settings_lib.Bounds(
            grace_s=8,
            drain_ms=4000,
            change_ms=4000,
            repeat_ratio=0.2,
            repeat_window_s=10,
            repeat_slack=0,
            contact_ms=5000,
        ),
    )
