# SPDX-License-Identifier: Apache-2.0
"""Callers and backend servers that read slowly, or nothing, over sockets.

A process held whatever its callers did not take, and stopped reading a stream
from its server when a caller left 256 KB unread, so that the server cut the
stream off.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import datetime
import socket

import edge_rig as rig
import pytest

from lugcross.edge import settings as settings_lib
from lugcross import held_bytes
from lugcross import yamlfile

#: Far below what the sockets of a test can hold together, so that a caller
#: that reads nothing is noticed.
LIMIT_BYTES = 4_000_000
#: What is held beyond the limit at most: the read of each of a few requests
#: that go on when it is reached.
MARGIN_BYTES = 1_500_000
SOCKET_BYTES = 16_384
BODY_BYTES = 300_000
RESPONSE_BYTES = 12_000_000
#: Longest time that anything in these tests may take.
DEADLINE_MS = 20_000
EVENT = b"id: 1\ndata: " + b"x" * 50_000 + b"\n\n"
ROUTE = dataclasses.replace(
    rig.STREAM_ROUTE, timeout=datetime.timedelta(seconds=60)
)


@pytest.fixture
def run(monkeypatch):
    """Run a coroutine with a started rig whose held bytes are bounded."""
    limits = dataclasses.replace(rig.LIMITS, max_body_bytes=1_000_000)
    monkeypatch.setattr(rig, "LIMITS", limits)

    def run_one(
        scripts: list[list[rig.Script]],
        act: Callable[[rig.Rig], Awaitable[object]],
        limit: int | None = LIMIT_BYTES,
    ) -> None:
        async def main() -> None:
            # The inverse of held_bytes.limit_bytes.
            memory = limit and min(limit * 8, limit * 2 + 64_000_000)
            one = rig.Rig(memory_mb=memory and memory / 1_000_000)
            assert one.edge_state.held_bytes.limit == limit
            one.adopt(ROUTE)
            await one.start(*scripts)
            try:
                async with asyncio.timeout(60):
                    await act(one)
            finally:
                one.close()

        asyncio.run(main())

    return run_one


class _SlowCaller:
    """A caller with a small receive buffer, which reads only on demand."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    @classmethod
    async def connect(cls, port: int) -> "_SlowCaller":
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (rig.HOST, port))
        return cls(sock)

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self._sock, data)

    async def read(self, *, pause_s: float = 0.0) -> bytes:
        """Read until the connection ends, with a pause before each read."""
        found = bytearray()
        with contextlib.suppress(ConnectionError):
            while data := await asyncio.get_running_loop().sock_recv(
                self._sock, 65_536
            ):
                found.extend(data)
                await asyncio.sleep(pause_s)
        return bytes(found)

    def close(self) -> None:
        self._sock.close()


async def _ask(
    r: rig.Rig, body: bytes = b"", time_left: int = DEADLINE_MS
) -> _SlowCaller:
    caller = await _SlowCaller.connect(r.port)
    await caller.send(
        rig.request(method=b"POST", body=body, time_left=time_left)
    )
    return caller


async def _until(condition: Callable[[], object]) -> None:
    while not condition():
        await asyncio.sleep(0.005)


def _stream(count: int, done: list[int]) -> rig.Script:
    """Return a script that streams events and notes when all are taken."""

    async def script(seen, writer):
        writer.transport.set_write_buffer_limits(high=0)
        await rig.events(*[EVENT] * count)(seen, writer)
        await writer.drain()
        done.append(count)

    return script


def test_a_server_is_read_on_while_the_bound_is_not_reached(run):
    """Guards against a server that cuts off what a slow caller leaves."""
    done = []

    async def act(r):
        caller = await _ask(r)
        await _until(lambda: done)
        held = r.edge_state.held_bytes
        # The sockets hold the rest.
        assert 1_000_000 < held.total < large
        got = rig.parse_answer(await caller.read(pause_s=0.002))
        assert got.complete
        assert got.body == EVENT * 300
        await _until(lambda: held.total == 0)

    large = 16_000_000
    run([[_stream(300, done)]], act, limit=large)


def test_without_a_limit_a_stream_waits_for_its_caller_as_before(run):
    """Guards against memory that grows where no host memory is set."""
    done = []

    async def act(r):
        caller = await _ask(r)
        await asyncio.sleep(0.3)
        assert not done
        assert rig.parse_answer(await caller.read()).body == EVENT * 400

    run([[_stream(400, done)]], act, limit=None)


def test_callers_that_read_nothing_are_held_up_to_the_bound(run):
    """Guards against a process that outgrows its host's memory."""
    done = []
    count = 8

    async def act(r):
        held = r.edge_state.held_bytes
        callers = [await _ask(r) for _ in range(count)]
        await _until(lambda: held.total >= LIMIT_BYTES)
        highest = 0
        for _ in range(100):
            highest = max(highest, held.total)
            await asyncio.sleep(0.005)
        assert LIMIT_BYTES <= highest < LIMIT_BYTES + MARGIN_BYTES
        assert not done
        # Nothing that was begun is cut off.
        answers = await asyncio.gather(*(one.read() for one in callers))
        for one in map(rig.parse_answer, answers):
            assert one.complete
            assert one.body == EVENT * 200
        await _until(lambda: held.total == 0)
        assert held.measure is held_bytes.Measure.NONE

    run([[_stream(200, done) for _ in range(count)]], act)


def test_a_caller_that_takes_its_stream_is_served_at_the_bound(run):
    """Guards against slow callers that stop the streams of all others."""

    async def act(r):
        held = r.edge_state.held_bytes
        slow = [await _ask(r) for _ in range(4)]
        await _until(lambda: held.total >= LIMIT_BYTES)
        got = await r.ask(time_left=DEADLINE_MS)
        assert got.complete
        assert got.body == EVENT * 100
        for one in slow:
            one.close()
        await _until(lambda: held.total == 0)

    run([[*[_stream(200, []) for _ in range(4)], _stream(100, [])]], act)


def test_a_slow_caller_gets_a_large_whole_response(run):
    """Guards against responses larger than the bound that never end."""
    body = b"y" * RESPONSE_BYTES

    async def act(r):
        callers = [await _ask(r) for _ in range(2)]
        answers = await asyncio.gather(
            *(one.read(pause_s=0.001) for one in callers)
        )
        for one in map(rig.parse_answer, answers):
            assert one.complete
            assert one.body == body
        await _until(lambda: r.edge_state.held_bytes.total == 0)

    run([[rig.answer(200, body), rig.answer(200, body)]], act)


@pytest.mark.parametrize("count", [1, 2])
def test_a_large_failure_of_a_server_is_held_up_to_the_bound(run, count):
    # Symptom: a process went over the memory of its host. Sequence: a server
    # failed requests with large bodies, whose callers read slowly. Cause: a
    # failure was read in whole and not counted.
    body = b"y" * RESPONSE_BYTES
    highest = []

    async def act(r):
        held = r.edge_state.held_bytes
        callers = [await _ask(r) for _ in range(count)]
        await _until(lambda: held.measure is held_bytes.Measure.SLOW_RESPONSES)
        highest.append(held.total)
        answers = await asyncio.gather(
            *(one.read(pause_s=0.001) for one in callers)
        )
        for one in map(rig.parse_answer, answers):
            assert (one.status, one.complete) == (500, True)
            assert one.body == body
        await _until(lambda: held.total == 0)

    run([[rig.answer(500, body) for _ in range(count)]], act)
    assert highest[0] < LIMIT_BYTES + MARGIN_BYTES


def test_a_small_failure_is_held_while_another_server_is_tried(run):
    async def act(r):
        r.adopt(rig.SAFE_ROUTE, version=2)
        held_at_retry = []

        async def answer(seen, writer):
            held_at_retry.append(r.edge_state.held_bytes.total)
            await rig.answer()(seen, writer)

        r.backends[1].scripts.append(answer)
        got = rig.parse_answer(await (await _ask(r)).read())
        assert (got.status, got.body) == (200, b"whole")
        assert held_at_retry[0] >= BODY_BYTES
        await _until(lambda: r.edge_state.held_bytes.total == 0)

    run([[rig.answer(500, b"y" * BODY_BYTES)], []], act)


def test_the_connection_of_a_caller_that_never_reads_is_closed(run):
    """Guards against memory that is held after a caller's deadline."""

    async def act(r):
        caller = await _ask(r, time_left=700)
        held = r.edge_state.held_bytes
        await _until(lambda: held.total > 1_000_000)
        await _until(lambda: held.total == 0)
        got = rig.parse_answer(await caller.read())
        assert (got.status, got.complete) == (200, False)

    run([[rig.answer(200, b"y" * RESPONSE_BYTES)]], act)


def _reads_nothing(after: asyncio.Event) -> rig.Script:
    """Return a script that answers after an event; see _UnreadingBackend."""

    async def script(seen, writer):
        await after.wait()
        await rig.answer()(seen, writer)

    return script


class _UnreadingBackend(rig.FakeBackend):
    """A backend server that reads nothing before an event is set."""

    def __init__(self, scripts: list[rig.Script], event: asyncio.Event):
        super().__init__(scripts)
        self._event = event

    async def _serve(self, reader, writer):
        writer.transport.pause_reading()
        await self._event.wait()
        writer.transport.resume_reading()
        await super()._serve(reader, writer)


def test_bodies_are_held_up_to_the_bound_for_servers_that_do_not_read(
    run, monkeypatch
):
    """Guards against bodies that fill the memory while a server is slow."""
    count = 14

    async def act(r):
        held = r.edge_state.held_bytes
        body = b"z" * BODY_BYTES
        callers = [
            asyncio.create_task(
                r.ask(method=b"POST", body=body, time_left=DEADLINE_MS)
            )
            for _ in range(count)
        ]
        await _until(lambda: held.measure >= held_bytes.Measure.REFUSE_BODIES)
        # At the bound a request with a body is refused as not run, and one
        # without a body is not.
        got = await r.ask(method=b"POST", body=body, time_left=DEADLINE_MS)
        assert got.status == 503
        assert float(got.headers[b"retry-after"]) > 0
        assert b"no memory" in got.body
        plain = asyncio.create_task(r.ask(time_left=DEADLINE_MS))
        await asyncio.sleep(0.1)
        assert not plain.done()
        assert held.total < LIMIT_BYTES + MARGIN_BYTES
        release.set()
        answers = await asyncio.gather(*callers)
        served = [one for one in answers if one.status == 200]
        refused = [one for one in answers if one.status == 503]
        assert len(served) + len(refused) == count
        assert len(served) >= LIMIT_BYTES * 0.8 // BODY_BYTES
        assert all(b"retry-after" in one.headers for one in refused)
        assert all(one.complete for one in answers)
        assert (await plain).status == 200
        seen = [one for one in r.backends[0].seen if one.body]
        assert len(seen) == len(served)
        assert all(one.body == body for one in seen)
        await _until(lambda: held.total == 0)

    release = asyncio.Event()
    monkeypatch.setattr(
        rig, "FakeBackend", lambda one: _UnreadingBackend(one, release)
    )
    run([[rig.answer() for _ in range(count + 1)]], act)


def test_bodies_that_are_being_sent_wait_and_then_go_on(run):
    """Guards against a request cut off in the middle of its body."""

    async def act(r):
        held = r.edge_state.held_bytes
        other = held.open()
        half = BODY_BYTES // 2
        data = rig.request(
            method=b"POST", body=b"z" * BODY_BYTES, time_left=DEADLINE_MS
        )
        callers = [await _SlowCaller.connect(r.port) for _ in range(2)]
        for one in callers:
            await one.send(data[:-half])
        await _until(lambda: held.total >= half)
        other.set(held_bytes.Kind.UNSENT, int(LIMIT_BYTES * 0.8))
        for one in callers:
            await one.send(data[-half:-1])
        await asyncio.sleep(0.2)
        assert held.total < LIMIT_BYTES
        other.close()
        for one in callers:
            await one.send(data[-1:])
            got = rig.parse_answer(await one.read())
            assert (got.status, got.body) == (200, b"whole")
        await _until(lambda: held.total == 0)

    run([[rig.answer(), rig.answer()]], act)


def test_one_body_is_read_on_at_the_bound(run):
    """Guards against half-read bodies that wait for each other for ever."""

    async def act(r):
        held = r.edge_state.held_bytes
        other = held.open()
        other.set(held_bytes.Kind.UNSENT, int(LIMIT_BYTES * 0.85))
        body = b"z" * BODY_BYTES
        got = await r.ask(method=b"POST", body=body, time_left=DEADLINE_MS)
        assert got.status == 200
        other.close()

    run([[rig.answer()]], act)


def test_a_response_that_breaks_off_in_parts_is_not_sent_again(run):
    """Guards against a second run whose response cannot be delivered."""
    size = 3 * LIMIT_BYTES
    head = b"Attempt-Identifier: a1\r\nResponse-Seal: s1"
    part = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n%s\r\n\r\n" % (size, head)
    breaks_off = rig.raw_bytes(part + b"y" * (size - 1), close=True)

    async def act(r):
        r.adopt(rig.SAFE_ROUTE, version=2)
        got = rig.parse_answer(await (await _ask(r)).read())
        assert (got.status, got.complete) == (200, False)
        assert got.headers[b"content-length"] == b"%d" % size
        assert not r.backends[1].seen
        await _until(lambda: r.edge_state.held_bytes.total == 0)

    run([[breaks_off], [rig.answer()]], act)


def test_a_slow_caller_does_not_count_as_load_of_the_server(run):
    """Guards against servers that seem busy while callers read slowly."""

    async def act(r):
        caller = await _ask(r)
        loads = r.edge_state.loads
        await _until(lambda: r.backends[0].seen)
        await _until(lambda: not loads.total_requests(["i-0"]))
        assert r.edge_state.held_bytes.total > 1_000_000
        assert rig.parse_answer(await caller.read()).complete

    run(
        [[rig.answer(200, b"y" * RESPONSE_BYTES)]],
        act,
        limit=2 * RESPONSE_BYTES,
    )


@pytest.mark.parametrize(
    ("line", "memory_mb"), [("", None), ("memory_mb: 152", 152.0)]
)
def test_the_memory_of_the_host_is_an_optional_setting(line, memory_mb):
    """Guards against deployments that state no memory and do not start."""
    text = f"""
node: n
domain: d
listen: {{callers: "h:1", ready: "h:2", state: "h:3", peers: "h:4"}}
store: {{address: "h:5", form: log}}
bounds: {{grace_s: 8, drain_ms: 1, change_ms: 1, repeat_ratio: 0.2,
  repeat_window_s: 10, repeat_slack: 0, contact_ms: 1}}
{line}
"""
    found = yamlfile.parse(text, settings_lib.Settings, source="test")
    assert found.memory_mb == memory_mb


def test_the_sum_is_served_as_a_gauge(run):
    """Guards against operators who cannot see what is held."""

    async def act(r):
        state = r.edge_state
        state.metrics.set_gauges(
            edge_held_bytes=state.held_bytes.total,
            edge_held_bytes_limit=state.held_bytes.limit,
        )
        text = state.metrics.text()
        assert b"lugcross_edge_held_bytes 0.0" in text
        assert b"lugcross_edge_held_bytes_limit 4e+06" in text

    run([[]], act)
