# SPDX-License-Identifier: Apache-2.0
"""The store comes back from a copy some seconds old, beside other faults.

What was written since is gone, offsets go back and are given out again, and
each answer tells an era that is higher by one. Whoever wrote to it writes
again within two seconds. Before offsets had an era, processes took no entry
until the log had grown past its old end, and then read on in another history.
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
#: Entries that two servers write after a copy was made: its offsets end long
#: before theirs.
ENTRY_WRITES = 20
#: How old the copies are, in seconds.
COPY_AGES_S = (0.1, 2.0, 10.0)
#: For how long the store is away before it comes back, in seconds.
OUTAGE_S = 0.4
#: Time within which servers and operator have written again, in seconds.
REWRITE_TIME_S = 2.0
#: Time within which all that is in touch is right, past that.
RECOVERY_TIME_S = 1.5
#: The same where all connections went silent: only then the store counts as
#: sound, and a change must be in force after the bound for changes.
SILENT_RECOVERY_TIME_S = (
    fleet_rig.STORE_RECOVERY_S
    + edge_rig.BOUNDS.max_change_time.total_seconds()
)
FAULTS = ("none", "restart", "cut", "silent", "turned-away")


def _entry(state: str = "ready", **fields: object) -> bytes:
    return edge_rig.backend_entry(
        "app", "10.0.0.1:80", "d0", state=state, **fields
    )


class _StoreWriters:
    """What the servers and the operator keep written in the store."""

    def __init__(self, fleet: fleet_rig.Fleet) -> None:
        self._store = fleet.store.standin
        self.entries: dict[str, bytes] = {}
        #: State of the server that leaves after the first copy came back.
        self.leaving_state = "ready"
        self.version = 0

    def write(self, name: str, value: bytes) -> None:
        self.entries[name] = value
        self._store.append(platform.BACKENDS_TOPIC, name, value)

    def change(self, version: int) -> None:
        self.version = version
        self._store.append(
            platform.OPERATOR_TOPIC,
            platform.DESIRED_STATE_KEY,
            fleet_rig.desired_record(version),
        )

    async def write_again(self, rng: random.Random) -> None:
        """Write all anew, each at some moment, as after a copy."""
        tasks = [self._later(rng, name) for name in self.entries]
        await asyncio.gather(self._operator_later(rng), *tasks)

    async def _later(self, rng: random.Random, name: str) -> None:
        await asyncio.sleep(rng.uniform(0.2, REWRITE_TIME_S))
        self.write(name, self.entries[name])

    async def _operator_later(self, rng: random.Random) -> None:
        await asyncio.sleep(rng.uniform(0.2, REWRITE_TIME_S))
        self.change(self.version)


class _Checker:
    """Looks all the time at what processes go by, and keeps what is wrong."""

    def __init__(self, fleet: fleet_rig.Fleet, servers: _StoreWriters) -> None:
        self._fleet = fleet
        self._servers = servers
        self.wrong: set[str] = set()
        self._newest: dict[int, int] = {}
        self._since = asyncio.get_running_loop().time()
        self._begun = dict.fromkeys(map(id, fleet.nodes.values()), self._since)

    async def run(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            self._check()

    def _is_in_touch(self, node: fleet_rig.Node) -> bool:
        """Tell whether a process neither started lately nor is cut off.

        One that starts in the gap knows of a server that left only what the
        store tells until that is written again.
        """
        now = asyncio.get_running_loop().time()
        begun = self._begun.setdefault(id(node), now)
        is_new = (
            begun > self._since and now - begun < fleet_rig.STORE_RECOVERY_S
        )
        return not is_new and node.name not in self._fleet.cut_nodes

    def _check(self) -> None:
        for node in self._fleet.nodes.values():
            before = self._newest.get(id(node), 0)
            if node.version < before:
                self.wrong.add(f"{node.name} went back to {node.version}")
            self._newest[id(node)] = max(before, node.version)
            used = _usable_ids(node)
            if "i-left" in used and self._is_in_touch(node):
                self.wrong.add(f"{node.name} uses a server that has left")
            if before and "i-stays" not in used:
                self.wrong.add(f"{node.name} drops a server that lives")


def _usable_ids(node: fleet_rig.Node) -> set[str]:
    return {one.id for one in node.edge_state.backends.usable(SERVICE)}


async def _inject_fault(
    fleet: fleet_rig.Fleet, fault: str, name: str, rng: random.Random
) -> None:
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    if fault == "restart":
        await fleet.restart(name)
    elif fault == "cut":
        fleet.cut_off(name)
    elif fault == "silent":
        fleet.store.silence_connections()
    elif fault == "turned-away":
        fleet.cut_off_from_store(name)


async def _play_copies(
    monkeypatch, seed: int, age_s: float, fault: str, times: int
):
    """Let servers leave, come and change after the copy was made."""
    rng = random.Random(seed)
    random.seed(seed)
    fleet = fleet_rig.Fleet(monkeypatch, *fleet_rig.SMALL_FLEET)
    fleet.store.standin.era = "1"
    servers = _StoreWriters(fleet)
    servers.change(1)
    for name in ("i-stays", "i-left", "i-drains", "i-goes"):
        servers.write(name, _entry())
    fleet.start()
    await asyncio.sleep(4.0)
    watch = _Checker(fleet, servers)
    cut = set()
    for _ in range(times):
        copy = fleet.store.standin.copy()
        servers.change(servers.version + 1)
        servers.write("i-left", b"")
        servers.write("i-drains", _entry("draining"))
        for beat in range(ENTRY_WRITES):
            servers.write("i-stays", _entry(sequence=beat))
            servers.write(
                "i-goes", _entry(servers.leaving_state, sequence=beat)
            )
        servers.write(f"i-new-{servers.version}", _entry())
        # Past the bound at which one that left gets nothing.
        await asyncio.sleep(max(age_s, 2.1))
        checking = asyncio.create_task(watch.run())
        fleet.store.silent = True
        await asyncio.sleep(OUTAGE_S)
        target = rng.choice(list(fleet.nodes))
        if fault == "cut":
            cut.add(target)
        fleet.store.standin.restore_from(copy)
        fleet.store.silent = False
        injection = asyncio.create_task(
            _inject_fault(fleet, fault, target, rng)
        )
        await servers.write_again(rng)
        await injection
        servers.change(servers.version + 1)
        servers.leaving_state = "draining"
        servers.write("i-goes", _entry("draining"))
        await asyncio.sleep(
            SILENT_RECOVERY_TIME_S if fault == "silent" else RECOVERY_TIME_S
        )
        checking.cancel()
    late = [
        node.name
        for node in fleet.nodes.values()
        if node.name not in cut
        and (
            node.version != servers.version
            or _usable_ids(node) - {"i-stays"}
            != {one for one in servers.entries if one.startswith("i-new")}
        )
    ]
    await fleet.stop()
    return watch.wrong, late


@pytest.mark.parametrize("fault", FAULTS)
def test_copy_takes_nothing_back_and_all_are_right_soon(monkeypatch, fault):
    found = {}
    for seed, age_s, times in itertools.product((1, 2), COPY_AGES_S, (1, 2)):
        played = _play_copies(monkeypatch, seed, age_s, fault, times)
        wrong, late = virtual_time.run(played)
        if wrong or late:
            found[seed, age_s, times] = sorted(wrong), late
    assert not found


def _client(*eras: bytes | None, answer: bytes = b"") -> platform.StoreClient:
    """Return a client whose calls are answered with these eras in turn."""
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


def test_answer_of_an_earlier_era_tells_nothing():
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
def test_era_that_is_none_is_as_if_it_were_not_told(era):
    async def main():
        client = _client(b"4", era)
        began = []
        client.on_new_era = lambda *eras: began.append(eras)
        await client.read_newest("t")
        end = (await client.read_newest("t")).end
        assert not began
        return positions.era(end)

    assert asyncio.run(main()) == 4


def test_new_era_is_told_once_and_old_positions_are_gone():
    async def main():
        client = _client(b"1", b"2", b"2")
        began = []
        client.on_new_era = lambda *eras: began.append(eras)
        old = (await client.read_newest("t")).end
        with pytest.raises(errors.OffsetExpiredError):
            await client.read_from("t", old, wait=datetime.timedelta())
        with pytest.raises(errors.OffsetExpiredError):
            # Known by now: the store is not even asked.
            await client.read_from("t", old, wait=datetime.timedelta())
        with pytest.raises(errors.AppendConflictError):
            await client.append_if_end("t", "k", b"v", old)
        assert (await client.read_newest("t")).end > old
        return began

    assert asyncio.run(main()) == [(2, 1)]


def test_same_end_in_a_new_era_is_no_place_to_write_at():
    async def main():
        client = _client(b"1", b"2", answer=b'{"end": 8}')
        client._update_era(await client._idle[0].read_head())
        at = positions.position_of(positions.Era(1), ids.Offset(7))
        client._idle.pop(0)
        with pytest.raises(errors.AppendConflictError):
            await client.append_if_end("t", "k", b"v", at)

    asyncio.run(main())


def test_numbers_of_a_new_era_are_above_all_earlier_ones(manual_clock):
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
    # Whatever number was claimed after the copy had been made.
    first = [claim(1, 5)]
    for _ in range(100):
        first.append(claim(1, first[-1]))
    assert claim(2, 5) > first[-1]
    assert claim(2, claim(2, 5)) == claim(2, 5) + 1


@pytest.mark.parametrize("ago_s", [1.0, 100.0], ids=["lately", "long-ago"])
def test_who_registered_lately_does_so_again(monkeypatch, ago_s):
    async def main():
        fleet = fleet_rig.Fleet(monkeypatch, 2, 2)
        fleet.store.standin.era = "1"
        fleet.put_desired(1)
        copy = fleet.store.standin.copy()
        fleet.start()
        await asyncio.sleep(ago_s)
        fleet.store.standin.restore_from(copy)
        before = len(fleet.store.standin.called_paths)
        await asyncio.sleep(8.0)
        nodes = fleet.store.standin._topic(platform.NODES_TOPIC).newest
        calls = fleet.store.standin.called_paths[before:]
        await fleet.stop()
        return len(nodes), calls.count("/log-append")

    found = virtual_time.run(main())
    assert found == ((4, 4) if ago_s == 1.0 else (0, 0))


def test_process_that_starts_in_the_gap_begins_with_the_newest(monkeypatch):
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
        # As its settings name it.
        fleet.nodes["n0-0"].state_sync.peers.add("n0-1:9")
        versions = set()
        for _ in range(100):
            await asyncio.sleep(0.02)
            versions.add(fleet.nodes["n0-0"].version)
        await fleet.stop()
        return versions

    assert virtual_time.run(main()) == {0, 2}
