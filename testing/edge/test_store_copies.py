# SPDX-License-Identifier: Apache-2.0
"""The store comes back from a copy some seconds old, combined with faults.

Records written since the copy are lost, their offsets are reused, and the era
in the store's answers is higher by one. Backend servers and the operator write
their records again within two seconds.

Failure: before positions had an era, processes ignored all new entries until
the log had grown past its old end, and then read on as if its history were
the same.
"""

import asyncio
import datetime
import itertools
import random

import edge_rig
import fleet_rig
import pytest
import virtual_time

from lugcross import errors
from lugcross import experts
from lugcross import http1
from lugcross import ids
from lugcross import platform
from lugcross import positions

SERVICE = ids.ServiceName("app")
#: Entries that each of two servers writes after the copy was made, so that the
#: log's end is far beyond the end of the copy.
ENTRY_WRITES = 20
#: Ages of the copies.
COPY_AGES_S = (0.1, 2.0, 10.0)
#: Time for which the store does not answer before it comes back.
OUTAGE_S = 0.4
#: Time within which servers and operator write their records again.
REWRITE_TIME_S = 2.0
#: Time after that within which all reachable processes must be up to date.
RECOVERY_TIME_S = 1.5
#: The same if all connections went silent: processes need the recovery time to
#: notice it, and then the time allowed for a change.
SILENT_RECOVERY_TIME_S = (
    fleet_rig.STORE_RECOVERY_S
    + edge_rig.BOUNDS.max_change_time.total_seconds()
)
FAULTS = (
    "none",
    "restart",
    "cut-off",
    "silent-connections",
    "cut-off-from-store",
)


def _entry(state: str = "ready", **fields: object) -> bytes:
    return edge_rig.backend_entry(
        "app", "10.0.0.1:80", "d0", state=state, **fields
    )


class _StoreWriters:
    """Writes to the store as the backend servers and the operator do."""

    def __init__(self, fleet: fleet_rig.Fleet) -> None:
        self._store = fleet.store.standin
        self.entries: dict[str, bytes] = {}
        #: State that ``i-goes`` writes; it leaves after the first restore.
        self.leaving_state = "ready"
        self.version = 0

    def write(self, name: str, value: bytes) -> None:
        self.entries[name] = value
        self._store.append(platform.BACKENDS_TOPIC, name, value)

    def write_desired(self, version: int) -> None:
        self.version = version
        self._store.append(
            platform.OPERATOR_TOPIC,
            platform.DESIRED_STATE_KEY,
            fleet_rig.desired_record(version),
        )

    async def rewrite_all(self, rng: random.Random) -> None:
        """Write all records again, each after a random delay."""
        tasks = [self._rewrite_entry_later(rng, name) for name in self.entries]
        await asyncio.gather(self._rewrite_desired_later(rng), *tasks)

    async def _rewrite_entry_later(
        self, rng: random.Random, name: str
    ) -> None:
        await asyncio.sleep(rng.uniform(0.2, REWRITE_TIME_S))
        self.write(name, self.entries[name])

    async def _rewrite_desired_later(self, rng: random.Random) -> None:
        await asyncio.sleep(rng.uniform(0.2, REWRITE_TIME_S))
        self.write_desired(self.version)


class _Checker:
    """Checks the state of all processes periodically.

    :ivar violations: descriptions of what was wrong.
    """

    def __init__(self, fleet: fleet_rig.Fleet, writers: _StoreWriters) -> None:
        self._fleet = fleet
        self._writers = writers
        self.violations: set[str] = set()
        self._newest: dict[int, int] = {}
        self._started_at = asyncio.get_running_loop().time()
        self._first_seen_at = dict.fromkeys(
            map(id, fleet.nodes.values()), self._started_at
        )

    async def run(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            self._check()

    def _should_be_current(self, node: fleet_rig.Node) -> bool:
        """Return whether a process must know which servers have left.

        One that is cut off need not. One that has just started knows only what
        the store has, which lacks the removal until it is written again.
        """
        now = asyncio.get_running_loop().time()
        first_seen_at = self._first_seen_at.setdefault(id(node), now)
        is_new = (
            first_seen_at > self._started_at
            and now - first_seen_at < fleet_rig.STORE_RECOVERY_S
        )
        return not is_new and node.name not in self._fleet.cut_nodes

    def _check(self) -> None:
        for node in self._fleet.nodes.values():
            before = self._newest.get(id(node), 0)
            if node.version < before:
                self.violations.add(f"{node.name} went back to {node.version}")
            self._newest[id(node)] = max(before, node.version)
            usable = _usable_ids(node)
            if "i-left" in usable and self._should_be_current(node):
                self.violations.add(f"{node.name} uses a server that has left")
            if before and "i-stays" not in usable:
                self.violations.add(f"{node.name} lost a server that is up")


def _usable_ids(node: fleet_rig.Node) -> set[str]:
    return {one.id for one in node.edge_state.backends.usable(SERVICE)}


async def _inject_fault(
    fleet: fleet_rig.Fleet, fault: str, name: str, rng: random.Random
) -> None:
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    if fault == "restart":
        await fleet.restart(name)
    elif fault == "cut-off":
        fleet.cut_off(name)
    elif fault == "silent-connections":
        fleet.store.silence_connections()
    elif fault == "cut-off-from-store":
        fleet.cut_off_from_store(name)


async def _run_scenario(
    monkeypatch, seed: int, age_s: float, fault: str, times: int
):
    """Restore the store from a copy after servers have left and joined.

    :param age_s: age of the copy.
    :param fault: fault to inject when the store comes back.
    :param times: number of restores.
    :returns: violations seen, and the processes that were late.
    """
    rng = random.Random(seed)
    random.seed(seed)
    fleet = fleet_rig.Fleet(monkeypatch, *fleet_rig.SMALL_FLEET)
    fleet.store.standin.era = "1"
    writers = _StoreWriters(fleet)
    writers.write_desired(1)
    for name in ("i-stays", "i-left", "i-drains", "i-goes"):
        writers.write(name, _entry())
    fleet.start()
    await asyncio.sleep(4.0)
    checker = _Checker(fleet, writers)
    cut_off = set()
    for _ in range(times):
        copy = fleet.store.standin.copy()
        writers.write_desired(writers.version + 1)
        writers.write("i-left", b"")
        writers.write("i-drains", _entry("draining"))
        for sequence in range(ENTRY_WRITES):
            writers.write("i-stays", _entry(sequence=sequence))
            writers.write(
                "i-goes", _entry(writers.leaving_state, sequence=sequence)
            )
        writers.write(f"i-new-{writers.version}", _entry())
        # Long enough that a server that left must no longer be used.
        await asyncio.sleep(max(age_s, 2.1))
        checking = asyncio.create_task(checker.run())
        fleet.store.silent = True
        await asyncio.sleep(OUTAGE_S)
        target = rng.choice(list(fleet.nodes))
        if fault == "cut-off":
            cut_off.add(target)
        fleet.store.standin.restore_from(copy)
        fleet.store.silent = False
        injection = asyncio.create_task(
            _inject_fault(fleet, fault, target, rng)
        )
        await writers.rewrite_all(rng)
        await injection
        writers.write_desired(writers.version + 1)
        writers.leaving_state = "draining"
        writers.write("i-goes", _entry("draining"))
        await asyncio.sleep(
            SILENT_RECOVERY_TIME_S
            if fault == "silent-connections"
            else RECOVERY_TIME_S
        )
        checking.cancel()
    late = [
        node.name
        for node in fleet.nodes.values()
        if node.name not in cut_off
        and (
            node.version != writers.version
            or _usable_ids(node) - {"i-stays"}
            != {one for one in writers.entries if one.startswith("i-new")}
        )
    ]
    await fleet.stop()
    return checker.violations, late


@pytest.mark.parametrize("fault", FAULTS)
def test_restored_store_reverts_nothing_and_processes_catch_up(
    monkeypatch, fault
):
    found = {}
    for seed, age_s, times in itertools.product((1, 2), COPY_AGES_S, (1, 2)):
        scenario = _run_scenario(monkeypatch, seed, age_s, fault, times)
        violations, late = virtual_time.run(scenario)
        if violations or late:
            found[seed, age_s, times] = sorted(violations), late
    assert not found


def _client(*eras: bytes | None, answer: bytes = b"") -> platform.StoreClient:
    """Return a client whose calls get answers with these eras, in order."""
    left = list(eras)

    class Conn:
        closing = has_unread_data = False
        reusable = True
        request_count = 0

        def send(self, *args):
            del args

        async def read_head(self):
            era = left.pop(0)
            headers = [] if era is None else [(b"store-era", era)]
            return http1.ResponseHead(200, headers, headers)

        async def read_body(self):
            return answer or b'{"items": [], "has_more": false, "end": 7}'

        def close(self):
            pass

    client = platform.StoreClient("h:1", timeout=datetime.timedelta(1))
    client._idle = [Conn() for _ in eras]
    return client


def test_answer_with_an_earlier_era_is_rejected():
    async def main():
        client = _client(b"3", b"2", b"3")
        first = await client.read_newest("t")
        with pytest.raises(errors.LogUnavailableError, match="era 2 after 3"):
            await client.read_newest("t")
        assert (await client.read_newest("t")).end == first.end
        return positions.era(first.end), positions.offset(first.end)

    assert asyncio.run(main()) == (3, 7)


@pytest.mark.parametrize(
    "era",
    [b"", b"x", b"-1", b"1.5", b"9" * 50, b"\xff", None],
    ids=["empty", "text", "negative", "part", "huge", "bytes", "missing"],
)
def test_invalid_era_is_ignored(era):
    async def main():
        client = _client(b"4", era)
        began = []
        client.on_new_era = lambda *eras: began.append(eras)
        await client.read_newest("t")
        end = (await client.read_newest("t")).end
        assert not began
        return positions.era(end)

    assert asyncio.run(main()) == 4


def test_new_era_is_reported_once_and_old_positions_expire():
    async def main():
        client = _client(b"1", b"2", b"2")
        began = []
        client.on_new_era = lambda *eras: began.append(eras)
        old = (await client.read_newest("t")).end
        with pytest.raises(errors.OffsetExpiredError):
            await client.read_from("t", old, wait=datetime.timedelta())
        with pytest.raises(errors.OffsetExpiredError):
            # The client knows the new era by now and does not call the store.
            await client.read_from("t", old, wait=datetime.timedelta())
        with pytest.raises(errors.AppendConflictError):
            await client.append_if_end("t", "k", b"v", old)
        assert (await client.read_newest("t")).end > old
        return began

    assert asyncio.run(main()) == [(2, 1)]


def test_conditional_append_at_the_same_offset_of_a_new_era_conflicts():
    async def main():
        client = _client(b"1", b"2", answer=b'{"end": 8}')
        client._update_era(await client._idle[0].read_head())
        at = positions.position_of(positions.Era(1), ids.Offset(7))
        client._idle.pop(0)
        with pytest.raises(errors.AppendConflictError):
            await client.append_if_end("t", "k", b"v", at)

    asyncio.run(main())


def test_generations_of_a_new_era_are_above_all_earlier_ones(manual_clock):
    def claim(era: int, seen: int) -> int:
        lease = experts.Lease("me", manual_clock)
        end = positions.position_of(positions.Era(era), ids.Offset(3))
        number = experts.Generation(seen)
        lease.note_read(
            experts.LeaseRecord(holder="x", generation=number, released=True),
            end,
        )
        return lease.record_for(experts.LeaseAction.CLAIM).generation

    assert claim(0, 5) == 6
    # Whatever generation was claimed after the copy had been made.
    first = [claim(1, 5)]
    for _ in range(100):
        first.append(claim(1, first[-1]))
    assert claim(2, 5) > first[-1]
    assert claim(2, claim(2, 5)) == claim(2, 5) + 1


@pytest.mark.parametrize("age_s", [1.0, 100.0], ids=["recent", "old"])
def test_process_that_registered_lately_registers_again(monkeypatch, age_s):
    async def main():
        fleet = fleet_rig.Fleet(monkeypatch, 2, 2)
        fleet.store.standin.era = "1"
        fleet.put_desired(1)
        copy = fleet.store.standin.copy()
        fleet.start()
        await asyncio.sleep(age_s)
        fleet.store.standin.restore_from(copy)
        before = len(fleet.store.standin.called_paths)
        await asyncio.sleep(8.0)
        nodes = fleet.store.standin._topic(platform.NODES_TOPIC).newest
        calls = fleet.store.standin.called_paths[before:]
        await fleet.stop()
        return len(nodes), calls.count("/log-append")

    found = virtual_time.run(main())
    assert found == ((4, 4) if age_s == 1.0 else (0, 0))


def test_process_that_starts_after_a_restore_begins_with_the_newest_version(
    monkeypatch,
):
    async def main():
        fleet = fleet_rig.Fleet(monkeypatch, 2, 2)
        fleet.store.standin.era = "1"
        fleet.put_desired(1)
        fleet.start()
        await asyncio.sleep(4.0)
        copy = fleet.store.standin.copy()
        fleet.put_desired(2)
        await asyncio.sleep(2.0)
        fleet.store.standin.restore_from(copy)
        await fleet.restart("n0-0")
        # As if its settings named this seed.
        fleet.nodes["n0-0"].state_sync.peers.add("n0-1:9")
        versions = set()
        for _ in range(100):
            await asyncio.sleep(0.02)
            versions.add(fleet.nodes["n0-0"].version)
        await fleet.stop()
        return versions

    assert virtual_time.run(main()) == {0, 2}
