# SPDX-License-Identifier: Apache-2.0
"""Headers of callers' requests, whatever callers send."""

import pytest

from lugcross import platform
from lugcross.platform import caller_headers


def _shared_parts(value: bytes) -> tuple[str, ...]:
    head = platform.parse_caller_request_head([(b"prompt-prefix", value)])
    return head.shared_parts


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        pytest.param(b"a1:40,b2:7,c3:9", ("a1", "b2"), id="last-is-private"),
        pytest.param(b"a1:40", (), id="single"),
        pytest.param(b"", (), id="empty"),
        pytest.param(b"a1:40,b2:7,a1:40,c3:9", ("a1", "b2"), id="repeated"),
        pytest.param(b" A1 :40, b2:7,c3:9", ("a1", "b2"), id="spelling"),
        pytest.param(b":4,,b2,c3:9", ("b2",), id="malformed"),
        pytest.param(b"\xff:4,c3:9", ("\xff",), id="not-ascii"),
        pytest.param(b"a" * 65 + b":4,c3:9", (), id="long-id"),
    ],
)
def test_shared_parts(value, parts):
    assert _shared_parts(value) == parts


def test_no_header_means_no_shared_parts():
    assert platform.parse_caller_request_head([]).shared_parts == ()


def test_shared_parts_are_bounded():
    sent = b",".join(b"%x:9" % num for num in range(10_000))
    parts = _shared_parts(sent)
    assert parts == tuple(
        f"{num:x}" for num in range(caller_headers.MAX_SHARED_PARTS)
    )
