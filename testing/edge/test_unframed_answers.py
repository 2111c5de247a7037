# SPDX-License-Identifier: Apache-2.0
"""Answers with neither a length nor chunks: they end with the connection."""

import asyncio
from collections.abc import Callable
import enum
import socket
import struct

import edge_rig as rig
import pytest

from lugcross import clock as clock_lib

EVENT_1 = b"id: 1\ndata: a\n\n"
EVENT_2 = b"id: 2\ndata: b\n\n"
EVENT_3 = b"id: 3\ndata: c\n\n"


class Ending(enum.Enum):
    """How a backend server ends the connection."""

    FIN = "fin"
    RST = "rst"


def unframed(
    *parts: bytes,
    ending: Ending = Ending.FIN,
    stream: bool = False,
    whole_head: bool = True,
    before_ending: Callable[[], None] = lambda: None,
) -> rig.Script:
    """Return a script that answers with a body of unknown length."""

    async def script(seen, writer):
        head = [
            b"HTTP/1.1 200 OK",
            b"Attempt-Identifier: " + seen.headers[b"attempt-identifier"],
            b"Response-Seal: s1",
        ]
        if stream:
            head.append(b"Content-Type: text/event-stream")
        data = b"\r\n".join(head)
        writer.write(data + b"\r\n\r\n" if whole_head else data)
        for part in parts:
            writer.write(part)
            await writer.drain()
            # Each part arrives by itself, and before a reset.
            await asyncio.sleep(0.02)
        before_ending()
        if ending is Ending.RST:
            # Closing the socket discards what is unsent, and resets.
            sock = writer.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
        else:
            writer.close()

    return script


def test_whole_answer_ends_with_its_connection(run_with_rig):
    scripts = [[unframed(b"wh", b"ole")]]
    got = run_with_rig(rig.SAFE_ROUTE, scripts, lambda r: r.ask())
    assert (got.status, got.body, got.complete) == (200, b"whole", True)
    assert got.headers[b"content-length"] == b"5"


def test_its_connection_is_not_used_again(run_with_rig):
    async def act(r):
        await r.ask()
        await r.ask()
        return r.backends[0].connections

    scripts = [[unframed(b"whole"), rig.answer()]]
    assert run_with_rig(rig.SAFE_ROUTE, scripts, act) == 2


@pytest.mark.parametrize(
    "broken",
    [
        pytest.param(
            unframed(b"wh", ending=Ending.RST, whole_head=True), id="body"
        ),
        pytest.param(unframed(ending=Ending.FIN, whole_head=False), id="head"),
        pytest.param(
            unframed(ending=Ending.RST, whole_head=False), id="head-reset"
        ),
    ],
)
def test_answer_that_is_cut_off_is_retried_elsewhere(run_with_rig, broken):
    scripts = [[broken], [rig.answer()]]
    got = run_with_rig(rig.SAFE_ROUTE, scripts, lambda r: r.ask())
    assert (got.status, got.body) == (200, b"whole")


def test_answer_that_is_reset_is_not_forwarded(run_with_rig):
    scripts = [[unframed(b"wh", ending=Ending.RST)]]
    got = run_with_rig(rig.UNSAFE_ROUTE, scripts, lambda r: r.ask())
    assert got.status == 502
    assert b"response-seal" not in got.headers


def test_surplus_answer_without_length_is_not_forwarded(run_with_rig):
    other = rig.raw_bytes(
        b"HTTP/1.1 200 OK\r\nAttempt-Identifier: other\r\n"
        b"Response-Seal: s0\r\n\r\nother",
        close=True,
    )
    scripts = [[other], [rig.answer()]]
    got = run_with_rig(rig.SAFE_ROUTE, scripts, lambda r: r.ask())
    assert (got.status, got.body) == (200, b"whole")


def test_stream_ends_with_its_connection(run_with_rig):
    scripts = [[unframed(EVENT_1, EVENT_2, stream=True)]]
    got = run_with_rig(rig.STREAM_ROUTE, scripts, lambda r: r.ask())
    assert (got.body, got.complete) == (EVENT_1 + EVENT_2, True)


@pytest.mark.parametrize("ending", Ending)
def test_stream_that_ends_inside_an_event_resumes_elsewhere(
    run_with_rig, ending
):
    async def act(r):
        got = await r.ask()
        assert r.backends[1].seen[0].headers[b"last-event-id"] == b"1"
        return got

    scripts = [
        [unframed(EVENT_1, EVENT_2[:6], ending=ending, stream=True)],
        [unframed(EVENT_2, EVENT_3, stream=True)],
    ]
    got = run_with_rig(rig.RESUMABLE_STREAM_ROUTE, scripts, act)
    assert (got.body, got.complete) == (EVENT_1 + EVENT_2 + EVENT_3, True)


def test_stream_that_is_reset_between_events_resumes_elsewhere(run_with_rig):
    scripts = [
        [unframed(EVENT_1, ending=Ending.RST, stream=True)],
        [rig.events(EVENT_2)],
    ]
    got = run_with_rig(rig.RESUMABLE_STREAM_ROUTE, scripts, lambda r: r.ask())
    assert (got.body, got.complete) == (EVENT_1 + EVENT_2, True)


def test_stream_that_ends_inside_an_event_is_broken_off(run_with_rig):
    scripts = [[unframed(EVENT_1, EVENT_2[:6], stream=True)]]
    got = run_with_rig(rig.STREAM_ROUTE, scripts, lambda r: r.ask())
    assert (got.body, got.complete) == (EVENT_1, False)


def test_crash_of_a_server_that_wrote_without_chunks_is_noticed():
    """The request was sent to one server after the other.

    A server that crashed closed its connection inside an event. As the body
    had no length, that was taken for an invalid answer of a live server.
    """

    async def main() -> list[int]:
        one = rig.Rig(clock_lib.ManualClock())
        crashing = unframed(
            EVENT_1,
            EVENT_2[:6],
            stream=True,
            before_ending=lambda: one.backends[0].close(),
        )
        await one.start([crashing])
        one.adopt(rig.STREAM_ROUTE)
        await one.ask()
        one.close()
        records = one.edge_state.crash_tracker.registry.records()
        return [len(record.crashes) for record in records]

    assert asyncio.run(main()) == [1]
