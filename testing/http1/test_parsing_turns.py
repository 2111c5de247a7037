# SPDX-License-Identifier: Apache-2.0
"""Connections whose input takes long to parse take turns."""

import asyncio
import contextlib

from lugcross import http1

CONNECTIONS = 20
SLICES = 5


async def _parse(turns: http1.ParsingTurns, rounds: list[int], clock) -> None:
    for _ in range(SLICES):
        await turns.begin()
        rounds.append(clock())
        turns.end()


def test_one_slice_is_parsed_in_a_round_of_the_event_loop():
    # Symptom: nothing else was served for seconds. Sequence: many callers sent
    # bodies in tiny chunks. Cause: each of their connections parsed all that
    # it had received in the same round of the event loop.
    async def main() -> list[int]:
        turns = http1.ParsingTurns()
        rounds: list[int] = []
        count = 0

        async def count_rounds() -> None:
            nonlocal count
            while True:
                count += 1
                await asyncio.sleep(0)

        counter = asyncio.create_task(count_rounds())
        await asyncio.gather(
            *(_parse(turns, rounds, lambda: count) for _ in range(CONNECTIONS))
        )
        counter.cancel()
        return rounds

    rounds = asyncio.run(main())
    assert len(rounds) == CONNECTIONS * SLICES
    assert len(set(rounds)) == len(rounds)


def test_a_cancelled_connection_passes_its_turn_on():
    async def main() -> None:
        turns = http1.ParsingTurns()
        first = asyncio.create_task(turns.begin())
        second = asyncio.create_task(turns.begin())
        await asyncio.sleep(0)
        first.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await first
        async with asyncio.timeout(5):
            await second

    asyncio.run(main())
