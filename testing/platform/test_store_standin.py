# SPDX-License-Identifier: Apache-2.0
"""The stand-in of the store keeps the limits of the platform's protocol."""

import asyncio
import json
import struct

import pytest

from lugcross.standin import store as standin

TOPIC = "keyed.t"
#: Limits that the protocol states: records of an answer to a read, keys and
#: bytes of a page of newest records, and the wait of a read.
READ_KILOBYTES = 1_024
PAGE_KEYS = 500
PAGE_BYTES = 1_000_000
MAX_WAIT_S = 30


@pytest.fixture
def store() -> standin.StoreStandin:
    return standin.StoreStandin()


def _call(store: standin.StoreStandin, target: str) -> bytes:
    status, body = asyncio.run(store.handle_request(target, b""))
    assert status == 200
    return body


def _read(store: standin.StoreStandin, **query: int) -> tuple[int, int]:
    """Return the stated end and the size of the records of a read."""
    wanted = "".join(f"&{name}={value}" for name, value in query.items())
    body = _call(store, f"/log-read?topic={TOPIC}&part=0{wanted}")
    return struct.unpack_from(">QQ", body)[0], len(body) - 16


def test_limits_are_those_of_the_protocol():
    assert standin.MAX_READ_BYTES == READ_KILOBYTES * 1_024
    assert standin.MAX_PAGE_KEYS == PAGE_KEYS
    assert standin.MAX_PAGE_BYTES == PAGE_BYTES
    assert standin.MAX_WAIT_S == MAX_WAIT_S


@pytest.mark.parametrize(
    ("query", "limit"),
    [
        ({}, READ_KILOBYTES * 1_024),
        ({"maximum_kilobytes": 100}, 100 * 1_024),
        ({"maximum_kilobytes": 9_000}, READ_KILOBYTES * 1_024),
    ],
    ids=["default", "fewer-wanted", "more-wanted"],
)
def test_answer_is_limited_and_states_the_end_of_the_topic(
    store, query, limit
):
    size = 10_000
    for _ in range(300):
        store.append(TOPIC, "a", b"x" * (size - 4 - 2))
    end, length = _read(store, **{"from": 0, **query})
    assert end == 300
    assert limit - size < length <= limit


@pytest.mark.parametrize(
    ("count", "value_bytes", "in_page"),
    [(600, 10, PAGE_KEYS), (100, 30_000, 25)],
    ids=["keys", "bytes"],
)
def test_page_of_newest_records_is_limited(store, count, value_bytes, in_page):
    for num in range(count):
        store.append(TOPIC, f"k{num:03}", b"x" * value_bytes)
    body = _call(store, f"/log-newest?topic={TOPIC}&part=0")
    page = json.loads(body)
    assert (len(page["items"]), page["has_more"]) == (in_page, True)
