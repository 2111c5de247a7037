# SPDX-License-Identifier: Apache-2.0
"""The store client against the stand-in of the store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import json

import pytest
import silent_store
import virtual_time

from lugcross import errors
from lugcross import http1
from lugcross import ids
from lugcross import platform
from lugcross.standin import store as standin

TOPIC = "keyed.t"
NO_WAIT = datetime.timedelta()
LONG_WAIT = datetime.timedelta(seconds=30)
Action = Callable[
    [standin.StoreStandin, platform.StoreClient], Awaitable[object]
]


def _run_with_store(action: Action) -> object:
    async def main() -> object:
        store = standin.StoreStandin()
        client = platform.StoreClient(
            await store.start("127.0.0.1"), timeout=LONG_WAIT
        )
        try:
            return await action(store, client)
        finally:
            client.close()
            store.close()

    return asyncio.run(main())


def test_newest_records_come_from_all_pages_with_the_end_of_the_first():
    async def action(store, client):
        store.page_size = 2
        for key in ("a", "b", "c", "a"):
            store.append(TOPIC, key, key.encode())
        result = await client.read_newest(TOPIC)
        return [(r.position, r.key) for r in result.records], result.end

    assert _run_with_store(action) == ([(3, "a"), (1, "b"), (2, "c")], 4)


def test_read_returns_positions_keys_values_and_removals():
    async def action(store, client):
        store.append(TOPIC, "a", b"1")
        store.append(TOPIC, "b", b"2")
        store.append(TOPIC, "a", b"")
        return await client.read_from(TOPIC, ids.Offset(1), wait=NO_WAIT)

    result = _run_with_store(action)
    assert result.end == 3
    assert result.records == (
        platform.KeyedRecord(ids.Offset(1), "b", b"2"),
        platform.KeyedRecord(ids.Offset(2), "a", b""),
    )


def test_waiting_read_ends_with_the_next_record():
    async def action(store, client):
        read = asyncio.create_task(
            client.read_from(TOPIC, ids.Offset(0), wait=LONG_WAIT)
        )
        while not store.called_paths:
            await asyncio.sleep(0)
        store.append(TOPIC, "a", b"1")
        return len((await read).records)

    assert _run_with_store(action) == 1


def test_compaction_and_outage_raise_different_errors():
    async def action(store, client):
        store.append(TOPIC, "a", b"1")
        store.compact(TOPIC)
        with pytest.raises(errors.OffsetExpiredError):
            await client.read_from(TOPIC, ids.Offset(0), wait=NO_WAIT)
        store.unavailable = True
        with pytest.raises(errors.LogUnavailableError):
            await client.read_from(TOPIC, ids.Offset(1), wait=NO_WAIT)
        return True

    assert _run_with_store(action)


def test_read_cut_by_the_store_ends_after_its_last_record():
    # Symptom: records were skipped for good. Sequence: a read returned fewer
    # records than the topic had. Cause: its end was that of the topic.
    async def action(store, client):
        store.max_read_bytes = 3 * 100
        for num in range(8):
            store.append(TOPIC, "a", bytes([num]) * (100 - 4 - 2))
        found = []
        start = ids.Offset(0)
        while True:
            result = await client.read_from(TOPIC, start, wait=NO_WAIT)
            found += [one.value[0] for one in result.records]
            sizes.append(
                (len(result.records), result.end, result.records_left)
            )
            start = result.end
            if not result.records_left:
                return found

    sizes: list[tuple[int, int, int]] = []
    assert _run_with_store(action) == list(range(8))
    assert sizes == [(3, 3, 5), (3, 6, 2), (2, 8, 0)]


@pytest.mark.parametrize(
    ("withheld", "count"), [(False, 1), (True, 0)], ids=["returned", "not"]
)
def test_record_larger_than_an_answer(withheld, count):
    async def action(store, client):
        store.withholds_large_records = withheld
        store.append(TOPIC, "a", b"x" * (standin.MAX_READ_BYTES + 1))
        store.append(TOPIC, "a", b"1")
        try:
            result = await client.read_from(TOPIC, ids.Offset(0), wait=NO_WAIT)
        except errors.RecordsWithheldError as exc:
            assert "from offset 0 on, although it ends at 2" in str(exc)
            return 0
        assert (result.end, result.records_left) == (1, 1)
        return len(result.records)

    assert _run_with_store(action) == count


def test_listing_in_pages_that_are_limited_in_bytes_has_all_keys():
    async def action(store, client):
        keys = [f"k{num:02}" for num in range(20)]
        for key in keys:
            store.append(TOPIC, key, b"x" * (standin.MAX_PAGE_BYTES // 4))
        result = await client.read_newest(TOPIC)
        assert len(store.called_paths) > 2
        return [one.key for one in result.records] == keys

    assert _run_with_store(action)


def test_appended_record_is_read_back():
    async def action(store, client):
        await client.append(TOPIC, "k", b"value")
        result = await client.read_newest(TOPIC)
        return [(r.key, r.value) for r in result.records]

    assert _run_with_store(action) == [("k", b"value")]


def test_store_that_refuses_connections_is_unavailable():
    async def action(store, client):
        store.close()
        with pytest.raises(errors.LogUnavailableError):
            await client.read_newest(TOPIC)
        return True

    assert _run_with_store(action)


def test_connection_is_reused_by_the_next_call():
    async def action(store, client):
        await client.read_newest(TOPIC)
        first = list(client._idle)
        await client.read_newest(TOPIC)
        return first == client._idle

    assert _run_with_store(action)


def test_conditional_append_succeeds_only_at_the_given_end():
    async def action(store, client):
        end = await client.append_if_end(TOPIC, "a", b"1", ids.Offset(0))
        with pytest.raises(errors.AppendConflictError):
            await client.append_if_end(TOPIC, "a", b"2", ids.Offset(0))
        return end, await client.read_newest(TOPIC)

    end, result = _run_with_store(action)
    assert end == 1
    assert [record.value for record in result.records] == [b"1"]


def test_conditional_append_to_an_unavailable_store_is_unknown():
    async def action(store, client):
        store.unavailable = True
        with pytest.raises(errors.AppendUnknownError):
            await client.append_if_end(TOPIC, "a", b"1", ids.Offset(0))

    _run_with_store(action)


def test_timeout_on_one_connection_closes_all_idle_ones(monkeypatch):
    # Symptom: after open connections had gone silent, changes arrived up to
    # 9.8 s late. Sequence: the read on one silent connection timed out; the
    # next call took another idle connection, silent too, and also timed out.
    store = silent_store.SilentStore()
    monkeypatch.setattr(http1, "connect", store.connect)

    async def main():
        client = platform.StoreClient(
            "store:1", timeout=datetime.timedelta(seconds=1.5)
        )
        # Two concurrent calls leave two idle connections.
        await asyncio.gather(*(client.read_newest(TOPIC) for _ in range(2)))
        store.silence_connections()
        with pytest.raises(errors.LogUnavailableError, match="on a reused"):
            await client.read_newest(TOPIC)
        before = asyncio.get_running_loop().time()
        await client.read_newest(TOPIC)
        return asyncio.get_running_loop().time() - before

    assert virtual_time.run(main()) < 0.1


def _client_with_fixed_response(
    monkeypatch, answer: bytes
) -> platform.StoreClient:
    """Return a client of a store that gives all calls the same response."""
    store = silent_store.SilentStore()
    monkeypatch.setattr(http1, "connect", store.connect)

    async def call(target: str, body: bytes) -> tuple[int, bytes]:
        return 200, answer

    monkeypatch.setattr(store.standin, "handle_request", call)
    return platform.StoreClient(
        "store:1", timeout=datetime.timedelta(seconds=1)
    )


def _pack_uint32(*numbers: int) -> bytes:
    return b"".join(one.to_bytes(4, "big") for one in numbers)


@pytest.mark.parametrize(
    "bad",
    [b"", b"\x09key", b"\x02\xff\xfe{}"],
    ids=["empty", "truncated-key", "key-not-utf8"],
)
def test_malformed_record_does_not_hide_others(monkeypatch, bad):
    """A malformed record of one writer must not block reads of its topic.

    Symptom: reads of the topic failed as long as it had the record. Cause: one
    record that could not be decoded failed the whole response.
    """
    good = b"\x01a{}"
    answer = (
        (2).to_bytes(8, "big")
        + bytes(8)
        + b"".join(_pack_uint32(len(one)) + one for one in (bad, good))
    )

    async def main() -> platform.ReadResult:
        client = _client_with_fixed_response(monkeypatch, answer)
        return await client.read_from(
            "t", ids.Offset(0), wait=datetime.timedelta()
        )

    result = virtual_time.run(main())
    assert (result.records[1].key, result.records[1].position) == ("a", 1)
    assert result.records[0].value


@pytest.mark.parametrize(
    "last",
    [
        pytest.param(_pack_uint32(9) + b"\x01a{", id="shorter-than-stated"),
        pytest.param(_pack_uint32(9), id="length-only"),
        pytest.param(b"\0\0", id="part-of-a-length"),
    ],
)
def test_read_that_ends_within_a_record_is_rejected(monkeypatch, last):
    """The last record of a read is shorter than its stated length.

    Symptom: the record that was left of it was applied as if it were whole,
    and its offset counted as read. Cause: a slice beyond the end of the
    response is shorter without an error.
    """
    good = b"\x01a{}"
    answer = (
        (2).to_bytes(8, "big")
        + bytes(8)
        + _pack_uint32(len(good))
        + good
        + last
    )

    async def main() -> None:
        client = _client_with_fixed_response(monkeypatch, answer)
        with pytest.raises(errors.LogUnavailableError, match="malformed"):
            await client.read_from(
                "t", ids.Offset(0), wait=datetime.timedelta()
            )

    virtual_time.run(main())


def test_newest_record_with_invalid_base64_does_not_hide_others(monkeypatch):
    items = [
        {"private_key": "a", "value": "!", "offset": 0},
        {"private_key": "b", "value": "e30=", "offset": 1},
    ]
    page = json.dumps({"items": items, "has_more": False, "end": 2})

    async def main() -> platform.ReadResult:
        client = _client_with_fixed_response(monkeypatch, page.encode())
        return await client.read_newest("t")

    result = virtual_time.run(main())
    assert [one.key for one in result.records] == ["a", "b"]
    assert result.records[1].value == b"{}"


def test_empty_page_of_a_longer_listing_is_rejected(monkeypatch):
    # A listing that lacks keys would remove their servers.
    page = json.dumps({"items": [], "has_more": True, "end": 2})

    async def main() -> None:
        client = _client_with_fixed_response(monkeypatch, page.encode())
        with pytest.raises(errors.LogUnavailableError, match="empty page"):
            await client.read_newest("t")

    virtual_time.run(main())


def test_answer_that_begins_after_the_wanted_record_is_expired(monkeypatch):
    # The records between are gone; the others must not hide that.
    record = b"\x01a{}"
    answer = (
        (4).to_bytes(8, "big")
        + (3).to_bytes(8, "big")
        + _pack_uint32(len(record))
        + record
    )

    async def main() -> None:
        client = _client_with_fixed_response(monkeypatch, answer)
        with pytest.raises(errors.OffsetExpiredError):
            await client.read_from("t", ids.Offset(1), wait=NO_WAIT)

    virtual_time.run(main())
