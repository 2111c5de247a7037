# SPDX-License-Identifier: Apache-2.0
"""The store's client against our stand-in of the store."""

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
LONG = datetime.timedelta(seconds=30)
Act = Callable[[standin.StoreStandin, platform.StoreClient], Awaitable[object]]


def _run_with_store(act: Act) -> object:
    async def main() -> object:
        store = standin.StoreStandin()
        client = platform.StoreClient(
            await store.start("127.0.0.1"), timeout=LONG
        )
        try:
            return await act(store, client)
        finally:
            client.close()
            store.close()

    return asyncio.run(main())


def test_newest_records_come_from_all_pages_and_follow_the_first_end():
    async def act(store, client):
        store.page_size = 2
        for key in ("a", "b", "c", "a"):
            store.append(TOPIC, key, key.encode())
        tail = await client.read_newest(TOPIC)
        return [(r.position, r.key) for r in tail.records], tail.end

    assert _run_with_store(act) == ([(3, "a"), (1, "b"), (2, "c")], 4)


def test_read_has_positions_keys_values_and_removals():
    async def act(store, client):
        store.append(TOPIC, "a", b"1")
        store.append(TOPIC, "b", b"2")
        store.append(TOPIC, "a", b"")
        return await client.read_from(TOPIC, ids.Offset(1), wait=NO_WAIT)

    tail = _run_with_store(act)
    assert tail.end == 3
    assert tail.records == (
        platform.KeyedRecord(ids.Offset(1), "b", b"2"),
        platform.KeyedRecord(ids.Offset(2), "a", b""),
    )


def test_waiting_read_ends_with_the_next_record():
    async def act(store, client):
        read = asyncio.create_task(
            client.read_from(TOPIC, ids.Offset(0), wait=LONG)
        )
        while not store.called_paths:
            await asyncio.sleep(0)
        store.append(TOPIC, "a", b"1")
        return len((await read).records)

    assert _run_with_store(act) == 1


def test_compacted_history_is_told_apart_from_an_outage():
    async def act(store, client):
        store.append(TOPIC, "a", b"1")
        store.compact(TOPIC)
        with pytest.raises(errors.OffsetExpiredError):
            await client.read_from(TOPIC, ids.Offset(0), wait=NO_WAIT)
        store.unavailable = True
        with pytest.raises(errors.LogUnavailableError):
            await client.read_from(TOPIC, ids.Offset(1), wait=NO_WAIT)
        return True

    assert _run_with_store(act)


def test_appended_record_is_read_back():
    async def act(store, client):
        await client.append(TOPIC, "k", b"value")
        tail = await client.read_newest(TOPIC)
        return [(r.key, r.value) for r in tail.records]

    assert _run_with_store(act) == [("k", b"value")]


def test_store_that_is_not_there_is_an_outage():
    async def act(store, client):
        store.close()
        with pytest.raises(errors.LogUnavailableError):
            await client.read_newest(TOPIC)
        return True

    assert _run_with_store(act)


def test_connection_is_kept_between_calls():
    async def act(store, client):
        await client.read_newest(TOPIC)
        first = list(client._idle)
        await client.read_newest(TOPIC)
        return first == client._idle

    assert _run_with_store(act)


def test_conditional_append_counts_only_at_the_end_that_it_names():
    async def act(store, client):
        end = await client.append_if_end(TOPIC, "a", b"1", ids.Offset(0))
        with pytest.raises(errors.AppendConflictError):
            await client.append_if_end(TOPIC, "a", b"2", ids.Offset(0))
        return end, await client.read_newest(TOPIC)

    end, tail = _run_with_store(act)
    assert end == 1
    assert [record.value for record in tail.records] == [b"1"]


def test_conditional_append_to_an_unavailable_store_is_unclear():
    async def act(store, client):
        store.unavailable = True
        with pytest.raises(errors.AppendUnknownError):
            await client.append_if_end(TOPIC, "a", b"1", ids.Offset(0))

    _run_with_store(act)


def test_silence_on_one_connection_gives_up_all_kept_ones(monkeypatch):
    # Symptom: after open connections had gone silent, changes were known up
    # to 9.8 s later. Sequence: the read on a silent connection ended; the
    # next call took another connection kept from before, and hung as well.
    store = silent_store.SilentStore()
    monkeypatch.setattr(http1, "connect", store.connect)

    async def main():
        client = platform.StoreClient(
            "store:1", timeout=datetime.timedelta(seconds=1.5)
        )
        # Two calls side by side, so that two connections are kept.
        await asyncio.gather(*(client.read_newest(TOPIC) for _ in range(2)))
        store.silence_connections()
        with pytest.raises(errors.LogUnavailableError, match="on a reused"):
            await client.read_newest(TOPIC)
        before = asyncio.get_running_loop().time()
        await client.read_newest(TOPIC)
        return asyncio.get_running_loop().time() - before

    assert virtual_time.run(main()) < 0.1


def _client_of(monkeypatch, answer: bytes) -> platform.StoreClient:
    """Return a client of a store that answers all calls with some bytes."""
    store = silent_store.SilentStore()
    monkeypatch.setattr(http1, "connect", store.connect)

    async def call(target: str, body: bytes) -> tuple[int, bytes]:
        return 200, answer

    monkeypatch.setattr(store.standin, "handle_request", call)
    return platform.StoreClient(
        "store:1", timeout=datetime.timedelta(seconds=1)
    )


def _words(*numbers: int) -> bytes:
    return b"".join(one.to_bytes(4, "big") for one in numbers)


@pytest.mark.parametrize(
    "bad",
    [b"", b"\x09key", b"\x02\xff\xfe{}"],
    ids=["empty", "key-cut-short", "key-no-text"],
)
def test_record_that_cannot_be_read_hides_no_other(monkeypatch, bad):
    """Another writer's record must not keep the list from being read.

    Symptom: a read failed as "bad records" for as long as the record stood.
    Cause: one record that could not be split failed the whole answer.
    """
    good = b"\x01a{}"
    answer = (
        (2).to_bytes(8, "big")
        + bytes(8)
        + b"".join(_words(len(one)) + one for one in (bad, good))
    )

    async def main() -> platform.ReadResult:
        client = _client_of(monkeypatch, answer)
        return await client.read_from(
            "t", ids.Offset(0), wait=datetime.timedelta()
        )

    tail = virtual_time.run(main())
    assert (tail.records[1].key, tail.records[1].position) == ("a", 1)
    assert tail.records[0].value


def test_newest_record_whose_value_is_no_base64_hides_no_other(monkeypatch):
    items = [
        {"private_key": "a", "value": "!", "offset": 0},
        {"private_key": "b", "value": "e30=", "offset": 1},
    ]
    page = json.dumps({"items": items, "has_more": False, "end": 2})

    async def main() -> platform.ReadResult:
        client = _client_of(monkeypatch, page.encode())
        return await client.read_newest("t")

    tail = virtual_time.run(main())
    assert [one.key for one in tail.records] == ["a", "b"]
    assert tail.records[1].value == b"{}"
