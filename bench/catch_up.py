# SPDX-License-Identifier: Apache-2.0
"""Time, calls and bytes until readers have what they missed in an outage.

Each reader follows one topic of the stand-in of the store over a socket; the
store is a process of its own, and all answers share a rate. For each way to
read on it prints the time until the last reader has the newest record of each
key, and the calls and bytes of all readers::

    python bench/catch_up.py --readers 6 --missed-mb 5,50
"""

import argparse
import asyncio
import contextlib
import datetime
import multiprocessing
import multiprocessing.connection
import time

from lugcross import clock as clock_lib
from lugcross.edge import topic_follower
from lugcross import platform
from lugcross.standin import store as standin
from lugcross import topic_reads

HOST = "127.0.0.1"
TOPIC = "keyed.t"
MB = 1_000_000
TIMEOUT = datetime.timedelta(seconds=1.5)
#: Records of the topic: count of keys, and size of a record in bytes.
KINDS = {"desired-states": (1, 90_000), "backend-entries": (30, 160)}
#: Shortest time between two reads, as of the topics that processes follow.
MIN_INTERVALS = {
    "desired-states": datetime.timedelta(milliseconds=100),
    "backend-entries": datetime.timedelta(milliseconds=400),
}


class _ReadOn(topic_reads.ReadProgress):  # type: ignore[misc]
    """Reads every record, however many there are."""

    def note_records(self, end, *, count, records_left):
        super().note_records(end, count=count, records_left=0)
        self.records_behind = records_left


WAYS = {"read-on": _ReadOn, "list-if-far": topic_reads.ReadProgress}


class _SlowStore(standin.StoreStandin):
    """A store whose answers share a rate, and that counts them."""

    def __init__(self, bytes_per_s: float) -> None:
        super().__init__()
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0
        self.sent_bytes = 0

    async def handle_request(self, target, body):
        status, answer = await super().handle_request(target, body)
        self.sent_bytes += len(answer)
        now = time.monotonic()
        begun = max(now, self._free_at)
        self._free_at = begun + len(answer) / self._bytes_per_s
        await asyncio.sleep(self._free_at - now)
        return status, answer


def _run_store(
    bytes_per_s: float, pipe: multiprocessing.connection.Connection
) -> None:
    async def main() -> None:
        store = _SlowStore(bytes_per_s)
        pipe.send(await store.start(HOST))
        loop = asyncio.get_running_loop()
        while (
            order := await loop.run_in_executor(None, pipe.recv)
        ) is not None:
            if order == "counts":
                pipe.send((len(store.called_paths), store.sent_bytes))
                continue
            keys, size, count = order
            for num in range(count):
                key = f"k{num % keys}"
                value = b"%08d" % num
                store.append(TOPIC, key, value.ljust(size, b" "))
            store.called_paths.clear()
            store.sent_bytes = 0
            pipe.send(None)
        store.close()

    asyncio.run(main())


class _Reader:
    def __init__(self, address: str, kind: str, way: str) -> None:
        self.newest = -1
        self._follower = topic_follower.TopicFollower(
            platform.StoreClient(address, timeout=TIMEOUT),
            TOPIC,
            self._on_read,
            topic_follower.StoreHealth(clock_lib.SystemClock()),
            min_interval=lambda: MIN_INTERVALS[kind],
            poll_wait=lambda: datetime.timedelta(seconds=4),
        )
        self._follower._progress = WAYS[way]()
        self.is_reading = False
        self._follower._should_pause_reading = lambda: not self.is_reading

    async def run(self) -> None:
        await self._follower.run()

    def _on_read(self, result: platform.ReadResult, listed: bool) -> None:
        del listed
        for record in result.records:
            self.newest = max(self.newest, int(record.value))


async def _measure(
    pipe: multiprocessing.connection.Connection,
    address: str,
    args: argparse.Namespace,
    kind: str,
    way: str,
    missed_mb: float,
) -> str:
    keys, size = KINDS[kind]
    count = int(missed_mb * MB / size)
    readers = [_Reader(address, kind, way) for _ in range(args.readers)]
    tasks = [asyncio.create_task(one.run()) for one in readers]
    await asyncio.sleep(1.0)
    pipe.send((keys, size, count))
    await asyncio.get_running_loop().run_in_executor(None, pipe.recv)
    begun = time.monotonic()
    for one in readers:
        one.is_reading = True
    late = ""
    while any(one.newest < count - 1 for one in readers):
        await asyncio.sleep(0.005)
        if time.monotonic() - begun > args.give_up_s:
            late = " (given up)"
            break
    took_s = time.monotonic() - begun
    for task in tasks:
        task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(*tasks)
    pipe.send("counts")
    calls, sent = pipe.recv()
    return (
        f"{kind:16} {missed_mb:5g} MB {way:12} {took_s:6.2f} s"
        f" {calls:5} calls {sent / MB:7.1f} MB{late}"
    )


async def _measure_all(args: argparse.Namespace) -> None:
    context = multiprocessing.get_context("spawn")
    for kind in KINDS:
        for missed_mb in map(float, args.missed_mb.split(",")):
            for way in WAYS:
                pipe, far_end = context.Pipe()
                store = context.Process(
                    target=_run_store, args=(args.mb_per_s * MB, far_end)
                )
                store.start()
                address = pipe.recv()
                print(
                    await _measure(pipe, address, args, kind, way, missed_mb),
                    flush=True,
                )
                pipe.send(None)
                store.join()


def main() -> None:
    """Measure each way with each kind of records."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--readers", type=int, default=6)
    parser.add_argument("--missed-mb", default="1.3,5,50")
    parser.add_argument("--mb-per-s", type=float, default=100.0)
    parser.add_argument("--give-up-s", type=float, default=60.0)
    asyncio.run(_measure_all(parser.parse_args()))


if __name__ == "__main__":
    main()
