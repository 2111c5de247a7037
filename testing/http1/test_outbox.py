# SPDX-License-Identifier: Apache-2.0
"""Data that is written faster than its peer reads it, over sockets.

asyncio copies what the socket does not take, so that a large body was held
twice, and has no account of it per object.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import socket

import pytest

from lugcross.http1 import outbox as outbox_lib

MB = 1_000_000
#: What the transport copies at once.
CHUNK_BYTES = 65_536


def _run(
    act: Callable[
        [outbox_lib.Outbox, socket.socket, list[int]], Awaitable[object]
    ],
) -> None:
    async def main() -> None:
        ours, peer = socket.socketpair()
        for one in (ours, peer):
            one.setblocking(False)
        _, writer = await asyncio.open_connection(sock=ours)
        sizes: list[int] = []
        outbox = outbox_lib.Outbox(writer, sizes.append)
        try:
            async with asyncio.timeout(30):
                await act(outbox, peer, sizes)
        finally:
            outbox.abort()
            peer.close()

    asyncio.run(main())


async def _read(peer: socket.socket, size: int) -> bytes:
    found = bytearray()
    while len(found) < size:
        part = await asyncio.get_running_loop().sock_recv(peer, 100_000)
        assert part
        found.extend(part)
    return bytes(found)


def test_data_of_all_sizes_arrives_in_order():
    """Guards against parts that are lost, doubled or joined wrongly."""
    rng = random.Random(1)
    parts = [
        rng.randbytes(rng.choice([0, 1, 100, 65_535, 65_536, 65_537, 400_000]))
        for _ in range(200)
    ]
    expected = b"".join(parts)

    async def act(outbox, peer, sizes):
        read = asyncio.create_task(_read(peer, len(expected)))
        for num, part in enumerate(parts):
            outbox.write(part)
            if num % 7 == 0:
                await asyncio.sleep(0)
        await outbox.flush()
        assert await read == expected
        assert outbox.is_empty
        assert max(sizes) > MB
        assert sizes[-1] == 0

    _run(act)


def test_the_size_is_what_the_peer_has_not_taken():
    """Guards against a count that leaves out what the transport holds."""

    async def act(outbox, peer, sizes):
        outbox.write(b"a" * 4 * MB)
        unsent = outbox.size
        # The socket has taken the rest; a chunk is counted twice, since the
        # transport holds a copy of it.
        assert 3 * MB < unsent <= 4 * MB + 2 * CHUNK_BYTES
        assert sizes == [unsent]
        for _ in range(1000):
            outbox.write(b"b" * 100)
        assert outbox.size == unsent + 100_000
        assert not outbox.is_empty
        flush = asyncio.create_task(outbox.flush())
        got = await _read(peer, 4 * MB + 100_000)
        await flush
        assert got == b"a" * 4 * MB + b"b" * 100_000
        assert outbox.size == 0

    _run(act)


def test_aborting_discards_the_data():
    """Guards against memory that is held for a closed connection."""

    async def act(outbox, peer, sizes):
        outbox.write(b"a" * 4 * MB)
        outbox.abort()
        assert (outbox.size, sizes[-1]) == (0, 0)
        await asyncio.sleep(0)
        outbox.write(b"b")

    _run(act)


def test_a_peer_that_closes_ends_the_wait():
    """Guards against a request that waits for a caller that is gone."""

    async def act(outbox, peer, sizes):
        outbox.write(b"a" * 4 * MB)
        flush = asyncio.create_task(outbox.flush())
        await asyncio.sleep(0)
        peer.close()
        with pytest.raises(OSError):
            await flush
        assert outbox.size == 0
        assert sizes[-1] == 0

    _run(act)
