# SPDX-License-Identifier: Apache-2.0
"""What a request may take before its body has arrived."""

import datetime

import edge_rig as rig
import pytest


@pytest.mark.parametrize(
    ("path", "time_left", "expected"),
    [
        (b"/r/x", b"700", 0.7),
        (b"/r/x", b"70000", 5.0),
        (b"/r/x", b"", 5.0),
        (b"/none/", b"700", None),
    ],
    ids=["caller", "route", "no-header", "no-route"],
)
def test_time_of_a_request_while_its_body_arrives(path, time_left, expected):
    one = rig.Rig()
    one.adopt(rig.SAFE_ROUTE)
    headers = [(b"host", b"h"), (b"time-remaining", time_left)]
    found = one.request_handler.time_limit(path, headers)
    assert found == (expected and datetime.timedelta(seconds=expected))
