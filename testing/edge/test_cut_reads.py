# SPDX-License-Identifier: Apache-2.0
"""A process learns of all records although the store limits its answers.

Symptom: after an outage of the store all processes served by an old desired
state, until the operator wrote another one.

Sequence: processes cannot reach the store while more is written to a topic
than one answer holds. The answer to their next read ends before the topic
does.

Cause: the head of the answer has the end of the topic, which was taken for
the position of the next read.
"""

import asyncio
import contextlib
import datetime
import random

import cbor2
import edge_rig
import fleet_rig
import msgspec
import pytest
import silent_store
import virtual_time

from lugcross.edge import messages
from lugcross.edge import topic_follower
from lugcross import http1
from lugcross import platform

#: Time for every process to read the store, register and find its peers.
SETTLE_TIME_S = 8.0
OUTAGE_S = 2.0
#: Time within which every process must have a change, and the time until the
#: store counts as reachable again, during which calls may be retried.
MAX_CHANGE_S = edge_rig.BOUNDS.max_change_time.total_seconds()
MAX_CALL_RETRY_S = 1.0
CHECK_INTERVAL_S = 0.02
MB = 1_000_000
#: Routes of a desired state whose record has about 90 kB.
ROUTES = 420
TOPIC = "keyed.t"
BACKEND_COUNT = 30
EVACUATED = "d-far"

PROCESSES = pytest.mark.parametrize(
    "domains",
    [
        pytest.param((2, 2, 2), id="6-processes"),
        pytest.param((14, 5, 5), id="24-processes"),
    ],
)


class _Operator:
    """Writes records to the topics that processes follow.

    :ivar version: version of the newest desired state.
    :ivar evacuated: whether an evacuation was requested.
    """

    def __init__(self, fleet: fleet_rig.Fleet) -> None:
        self._fleet = fleet
        self._store = fleet.store.standin
        self.version = 0
        self.evacuated = False
        self.addresses: dict[str, str] = {}
        self._moves = 0

    def put_desired(self, *, routes: int = ROUTES) -> int:
        """Write the next desired state; return the size of its record."""
        self.version += 1
        record = fleet_rig.desired_record(self.version, routes=routes)
        self._store.append(
            platform.OPERATOR_TOPIC, platform.DESIRED_STATE_KEY, record
        )
        return len(record)

    def write_desired(self, size: int) -> None:
        """Write desired states of ``size`` bytes, an evacuation among them."""
        written = 0
        while written < size:
            written += self.put_desired()
            if not self.evacuated and written > size * 0.95:
                self.evacuate()

    def evacuate(self) -> None:
        """Request the evacuation of a failure domain."""
        self.evacuated = True
        self._store.append(
            platform.OPERATOR_TOPIC, f"evacuate/{EVACUATED}", b"{}"
        )

    def write_backends(self, size: int) -> None:
        """Write entries of ``size`` bytes, the addresses changed last."""
        written = 0
        while written < size:
            written += self._put_entries()
        self._moves += 1
        for num in range(BACKEND_COUNT):
            self.addresses[f"i-{num}"] = f"10.0.{self._moves}.{num}:80"
        self._put_entries()

    def _put_entries(self) -> int:
        size = 0
        for num in range(BACKEND_COUNT):
            name = f"i-{num}"
            address = self.addresses.setdefault(name, f"10.0.0.{num}:80")
            entry = edge_rig.backend_entry("s", address)
            self._store.append(platform.BACKENDS_TOPIC, name, entry)
            size += len(entry)
        return size

    def nodes_behind(self) -> list[str]:
        """Return the processes that lack some of what was written."""
        return [
            node.name
            for node in self._fleet.nodes.values()
            if not self._has_all(node)
        ]

    def _has_all(self, node: fleet_rig.Node) -> bool:
        state = node.edge_state
        known = {one.id: one.address for one in state.backends.all()}
        return (
            node.version == self.version
            and (EVACUATED in state.evacuations.domains()) == self.evacuated
            and known == self.addresses
        )


class _Scene:
    """A fleet whose positions are checked all the time."""

    def __init__(self, monkeypatch, domains: tuple[int, ...]) -> None:
        random.seed(1)
        self.fleet = fleet_rig.Fleet(monkeypatch, *domains)
        self.operator = _Operator(self.fleet)
        self.operator.put_desired()
        self.operator.write_backends(1)

    async def settle(self) -> None:
        self.fleet.start()
        await asyncio.sleep(SETTLE_TIME_S)
        assert self.operator.nodes_behind() == []

    async def seconds_until_all_known(self, give_up_s: float) -> float:
        """Return the time until every process has all that was written."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        while self.operator.nodes_behind():
            if loop.time() - begun > give_up_s:
                break
            self.assert_positions_are_covered()
            await asyncio.sleep(CHECK_INTERVAL_S)
        return loop.time() - begun

    def assert_positions_are_covered(self) -> None:
        """Fail if a process tells a position without all records before."""
        topic = self.fleet.store.standin._topic(platform.BACKENDS_TOPIC)
        for node in self.fleet.nodes.values():
            if node.name in self.fleet.old_nodes:
                continue
            state = node.edge_state.backends
            for key, (offset, _) in topic.newest.items():
                record = state.records.get(key)
                assert offset >= state.end or (
                    record is not None and record.position >= offset
                )


WRITERS = [
    pytest.param(_Operator.write_desired, id="desired-states"),
    pytest.param(_Operator.write_backends, id="backend-servers"),
]


@PROCESSES
@pytest.mark.parametrize("write", WRITERS)
@pytest.mark.parametrize("size_mb", [1.3, 2.4, 5, 50])
def test_records_missed_in_an_outage_are_known_in_time(
    monkeypatch, domains, write, size_mb
):
    async def main() -> float:
        scene = _Scene(monkeypatch, domains)
        await scene.settle()
        scene.fleet.store.standin.unavailable = True
        await asyncio.sleep(OUTAGE_S)
        write(scene.operator, int(size_mb * MB))
        assert scene.operator.nodes_behind()
        scene.fleet.store.standin.unavailable = False
        delay_s = await scene.seconds_until_all_known(10.0)
        await scene.fleet.stop()
        return delay_s

    assert virtual_time.run(main()) <= MAX_CALL_RETRY_S + MAX_CHANGE_S


@PROCESSES
@pytest.mark.parametrize("write", WRITERS)
def test_burst_without_an_outage_is_known_in_time(monkeypatch, domains, write):
    async def main() -> float:
        scene = _Scene(monkeypatch, domains)
        await scene.settle()
        write(scene.operator, 3 * MB)
        assert scene.operator.nodes_behind()
        delay_s = await scene.seconds_until_all_known(10.0)
        await scene.fleet.stop()
        return delay_s

    assert virtual_time.run(main()) <= MAX_CHANGE_S


@pytest.mark.parametrize("write", WRITERS)
def test_process_that_paused_its_reads_reads_on_without_a_gap(
    monkeypatch, write
):
    async def main() -> float:
        scene = _Scene(monkeypatch, (4,))
        await scene.settle()
        # Two processes of the domain read the store for the others.
        for _ in range(10):
            write(scene.operator, MB // 4)
            await asyncio.sleep(1.0)
        readers = [
            name
            for name, node in scene.fleet.nodes.items()
            if not node.state_sync.peers_read_store()
        ]
        assert len(readers) == 2
        for name in readers:
            scene.fleet.cut_off(name)
            await scene.fleet.nodes.pop(name).stop()
        write(scene.operator, 3 * MB)
        assert scene.operator.nodes_behind()
        delay_s = await scene.seconds_until_all_known(10.0)
        await scene.fleet.stop()
        return delay_s

    # Peers count as dead after a second.
    assert virtual_time.run(main()) <= 1.1 + MAX_CHANGE_S


@pytest.mark.parametrize("write", WRITERS)
def test_process_that_starts_while_records_are_written_has_all(
    monkeypatch, write
):
    async def main() -> float:
        scene = _Scene(monkeypatch, (2, 2))
        await scene.settle()
        restart = asyncio.create_task(scene.fleet.restart("n0-0"))
        for _ in range(20):
            write(scene.operator, MB // 2)
            await asyncio.sleep(0.05)
        await restart
        delay_s = await scene.seconds_until_all_known(10.0)
        await scene.fleet.stop()
        return delay_s

    assert virtual_time.run(main()) <= MAX_CHANGE_S


def _skip_like_an_old_build(fleet: fleet_rig.Fleet, name: str) -> None:
    """Make a process take the end of a topic for that of an answer."""
    node = fleet.nodes[name]
    fleet.old_nodes.add(name)
    read_from = node.store.read_from
    sync = node.state_sync
    make_heartbeat = sync.peers._make_heartbeat
    respond = sync.peer_sync.respond

    async def skipping_read(*args, **kwargs) -> platform.ReadResult:
        found = await read_from(*args, **kwargs)
        return platform.ReadResult(
            end=found.end + found.records_left, records=found.records
        )

    node.store.read_from = skipping_read
    sync.peers._make_heartbeat = lambda known: msgspec.structs.replace(
        make_heartbeat(known), has_all_records=False
    )
    sync.peer_sync.respond = lambda req: msgspec.structs.replace(
        respond(req), has_all_records=False
    )


@pytest.mark.parametrize("write", WRITERS)
def test_peer_of_an_old_build_keeps_no_process_from_reading(
    monkeypatch, write
):
    async def main() -> list[str]:
        scene = _Scene(monkeypatch, (3, 1))
        # These sort first, so that the others would leave the store to them.
        by_age = sorted(
            scene.fleet.nodes.values(),
            key=lambda node: node.state_sync.incarnation,
        )
        old = [one.name for one in by_age if one.domain == "d0"][:2]
        for name in old:
            _skip_like_an_old_build(scene.fleet, name)
        await scene.settle()
        write(scene.operator, 3 * MB)
        assert scene.operator.nodes_behind()
        await asyncio.sleep(MAX_CHANGE_S)
        scene.assert_positions_are_covered()
        behind = scene.operator.nodes_behind()
        await scene.fleet.stop()
        return sorted(set(behind) - set(old))

    assert virtual_time.run(main()) == []


def test_position_of_an_old_build_counts_as_none():
    heartbeat = messages.Heartbeat(
        node="n1",
        incarnation="i1",
        domain="d1",
        state_port=1,
        leaving=False,
        desired_version=1,
        backends_end=16,
        running_requests={},
        known_addresses=[],
    )
    assert heartbeat.covered_end == 0
    mended = msgspec.structs.replace(heartbeat, has_all_records=True)
    data = cbor2.dumps(msgspec.to_builtins(mended))
    assert messages.decode_datagram(data).covered_end == 16


def test_record_that_no_answer_holds_is_listed_at_a_limited_rate(monkeypatch):
    async def main() -> tuple[float, int]:
        scene = _Scene(monkeypatch, (2, 2))
        await scene.settle()
        standin = scene.fleet.store.standin
        standin.withholds_large_records = True
        scene.operator.put_desired(routes=6_000)
        delay_s = await scene.seconds_until_all_known(10.0)
        standin.called_paths.clear()
        # Nobody reads past the record until it has been dropped, or listed.
        for _ in range(10):
            scene.operator.put_desired(routes=6_000)
            await asyncio.sleep(1.0)
        calls = len(standin.called_paths)
        await scene.fleet.stop()
        return delay_s, calls

    delay_s, calls = virtual_time.run(main())
    assert delay_s <= MAX_CHANGE_S
    # Four processes at ten changes: each one read and one listing, and calls
    # of other topics.
    assert calls <= 4 * 10 * 4


class _Reader:
    """One follower of a topic, and what it has read.

    :ivar reads: for each read whether it was a listing, and its values.
    """

    def __init__(self, monkeypatch) -> None:
        self.store = silent_store.SilentStore()
        monkeypatch.setattr(http1, "connect", self.store.connect)
        self.standin = self.store.standin
        self.standin.max_read_bytes = 100
        self.reads: list[tuple[bool, list[bytes]]] = []

    async def run(self, seconds: float) -> None:
        """Follow the topic for some seconds."""
        follower = topic_follower.TopicFollower(
            platform.StoreClient(
                "store:1", timeout=datetime.timedelta(seconds=1)
            ),
            TOPIC,
            self._on_read,
            topic_follower.StoreHealth(virtual_time.LoopClock()),
            clock=virtual_time.LoopClock(),
            min_interval=lambda: datetime.timedelta(seconds=0.1),
            poll_wait=lambda: datetime.timedelta(seconds=2),
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await follower.run()

    def _on_read(self, result: platform.ReadResult, listed: bool) -> None:
        self.reads.append((listed, [one.value for one in result.records]))
        self.after_read()

    def after_read(self) -> None:
        """Do nothing; tests replace it by a fault."""

    def write(self, *values: bytes) -> None:
        for value in values:
            self.standin.append(TOPIC, "k", value)


def _compact(reader: _Reader) -> None:
    reader.standin.compact(TOPIC)


def _restore(reader: _Reader) -> None:
    copy = reader.standin.copy()
    copy.append(TOPIC, "k", b"after")
    reader.standin.restore_from(copy)


@pytest.mark.parametrize(
    ("fault", "last"),
    [
        pytest.param(_compact, b"3" * 40, id="expired"),
        pytest.param(_restore, b"after", id="new-era"),
    ],
)
def test_gap_within_a_catch_up_is_bridged_by_a_listing(
    monkeypatch, fault, last
):
    reader = _Reader(monkeypatch)

    def fail_after_cut_answer() -> None:
        if len(reader.reads) == 2:
            fault(reader)

    async def main() -> None:
        reader.write(b"0")
        running = asyncio.create_task(reader.run(3.0))
        await asyncio.sleep(0.05)
        reader.after_read = fail_after_cut_answer
        reader.write(b"1" * 40, b"2" * 40, b"3" * 40)
        await running

    virtual_time.run(main())
    assert reader.reads[:3] == [
        (True, [b"0"]),
        (False, [b"1" * 40, b"2" * 40]),
        (True, [last]),
    ]
    assert not any(values for _, values in reader.reads[3:])


def test_withheld_records_are_listed_at_a_falling_rate(monkeypatch):
    reader = _Reader(monkeypatch)
    reader.standin.withholds_large_records = True

    async def main() -> None:
        async def write() -> None:
            while True:
                reader.write(b"x" * 200)
                await asyncio.sleep(0.05)

        writer = asyncio.create_task(write())
        await reader.run(20.0)
        writer.cancel()

    virtual_time.run(main())
    listings = [values for listed, values in reader.reads if listed]
    assert len(listings) == len(reader.reads)
    # A wait of a second at most lies between two listings.
    assert 20 <= len(listings) <= 45
