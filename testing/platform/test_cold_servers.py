# SPDX-License-Identifier: Apache-2.0
"""Decoding of what the platform says of cold servers."""

import datetime
import json

import edge_rig
import pytest

from lugcross import ids
from lugcross import platform

MS = datetime.timedelta(milliseconds=1)
HOUR = datetime.timedelta(hours=1)


@pytest.mark.parametrize(
    ("cold_ms", "left"),
    [
        pytest.param(0, 0 * MS, id="warm"),
        pytest.param(2987.5, 2987.5 * MS, id="cold"),
        pytest.param(10**30, HOUR, id="absurd"),
    ],
)
def test_entry_says_how_long_its_server_is_cold(cold_ms, left):
    entry = edge_rig.backend_entry("s", "10.1.2.3:80", cold_ms=cold_ms)
    assert platform.decode_backend("i-1", entry).cold_time == left


@pytest.mark.parametrize(
    ("fields", "limit"),
    [
        pytest.param({}, None, id="older-desired-state"),
        pytest.param({"cold_s": 3.0, "cold_per_s": 0}, None, id="no-limit"),
        pytest.param({"cold_s": 0, "cold_per_s": 23}, None, id="no-time"),
        pytest.param({"cold_s": -1, "cold_per_s": 23}, None, id="negative"),
        pytest.param({"cold_per_s": 23.0}, None, id="only-the-rate"),
        pytest.param(
            {"cold_s": 3.0, "cold_per_s": 23.0}, (3000 * MS, 23.0), id="limit"
        ),
        pytest.param(
            {"cold_s": 1e300, "cold_per_s": 23}, (HOUR, 23.0), id="absurd"
        ),
    ],
)
def test_service_says_what_a_cold_server_can_handle(fields, limit):
    limits = dict.fromkeys(
        ("header_bytes", "body_bytes", "header_ms", "idle_ms"), 1
    )
    record = {
        "version": 1,
        "routes": [],
        "services": [{"name": "s"} | fields],
        "limits": limits,
    }
    state = platform.decode_desired(json.dumps(record).encode())
    found = state.services[ids.ServiceName("s")].cold_limit
    assert limit == (found and (found.duration, found.requests_per_s))


@pytest.mark.parametrize(
    ("values", "left"),
    [
        pytest.param([], None, id="not-set"),
        pytest.param([b"0"], 0 * MS, id="warm"),
        pytest.param([b" 2987.5 "], 2987.5 * MS, id="decimal"),
        pytest.param([b"5", b"70", b"x"], 70 * MS, id="longest-of-several"),
        pytest.param([b"1e300"], HOUR, id="absurd"),
        pytest.param([b""], None, id="empty"),
        pytest.param([b"-1"], None, id="negative"),
        pytest.param([b"nan"], None, id="nan"),
        pytest.param([b"1e400"], None, id="beyond-numbers"),
        pytest.param([b"1_0"], None, id="underscore"),
        pytest.param([b"\xff"], None, id="no-text"),
    ],
)
def test_response_says_how_long_its_server_is_cold(values, left):
    headers = [(b"cold-milliseconds", one) for one in values]
    head = platform.parse_backend_response_head(200, headers)
    assert head.cold_time == left
