# SPDX-License-Identifier: Apache-2.0
"""Real edge processes keep the promises to callers under injected faults.

Other seeds are run by ``make soak SEED=100 SEEDS=50``. A seed decides which
faults occur, in which order and where; how they interleave with requests
depends on the machine.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import random
import signal

import crowd_cases
import crowd_rig
import pytest
import soak_checks
import soak_fleet

from lugcross.standin import store as standin

FIRST_SEED = int(os.environ.get("SOAK_SEED", "1"))
SEED_COUNT = int(os.environ.get("SOAK_SEEDS", "3"))
#: Seeds that failed before, with the cause, which run every time.
REGRESSION_SEEDS: tuple[int, ...] = ()
PROCESSES = 3
SERVERS = 4
ROUNDS = 4
#: Servers that one request may crash: two, or three where a busy machine
#: makes the crashes look as if they came at different times of the request.
MAX_CRASHES = 3
#: The same for a part of prompts. One request more may be needed where a busy
#: machine makes its crashes look as if they came at very different times.
MAX_CRASHES_OF_A_PART = 4
#: Backoff that servers ask for, and rounds of requests in that test.
BACKOFF_S = 1.5
BACKOFF_ROUNDS = 120
#: Requests that may be refused: each process may try both servers that back
#: off, at first and after each of the five backoffs that fit into the test.
MAX_REFUSED = 2 * PROCESSES * 6
_POLL_S = 0.02
#: Less than the time limit of a test, so that a run that hangs stops its
#: processes.
RUN_TIMEOUT_S = 100.0
#: Requests a second that a limited server takes, and rounds of requests in
#: that test: they last for the contact bound and two intervals.
SERVER_LIMIT = 2.0
LIMIT_ROUNDS = 450
CALLERS_PER_PROCESS = 2
#: Changes of the desired state of which an answer of the store holds few.
BURST_CHANGES = 12
LIMITED_READ_BYTES = 2_000
STORE_DELAY_S = 0.2
#: Appends that are done but get no answer.
LOST_APPENDS = 2
REQUESTS_PER_ROUND = 6
#: Crowds of clients that don't behave, and how many of each a fault sends.
SMALL_CROWDS = [
    crowd_cases.CROWDS[name]
    for name in (
        "callers-half-head",
        "callers-many-fields",
        "callers-small-chunks",
        "callers-unread",
        "metrics-unread",
        "ready-unread",
        "state-unread",
    )
]
CLIENTS_PER_CROWD = 3


class _SoakRun:
    """A fleet, its callers and the faults that a seed selects."""

    def __init__(self, path: pathlib.Path, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fleet = soak_fleet.Fleet(
            path, processes=PROCESSES, servers=SERVERS
        )
        self._half_done = asyncio.Event()
        self._done = 0
        self._round = 0
        self._unused_processes: list[soak_fleet.EdgeProcess] = []

    async def run(self) -> soak_checks.History:
        async with asyncio.timeout(RUN_TIMEOUT_S), self.fleet:
            callers = [
                soak_fleet.Caller(one.ports["callers"], self.fleet.history)
                for one in self.fleet.processes
                for _ in range(CALLERS_PER_PROCESS)
            ]
            try:
                for _ in range(ROUNDS):
                    await self._one_round(callers)
            finally:
                for caller in callers:
                    caller.close()
        return self.fleet.history

    async def _one_round(self, callers: list[soak_fleet.Caller]) -> None:
        self._round += 1
        self._half_done.clear()
        self._done = 0
        self._unused_processes = self.rng.sample(
            self.fleet.processes, PROCESSES
        )
        faults = self.rng.sample(FAULTS, self.rng.randint(1, 3))
        planned_stops_only = faults == [stop_and_restart_process]
        self.fleet.change_desired_state()
        await asyncio.gather(
            *(fault(self) for fault in faults),
            *(
                self._send_requests(num, caller, planned_stops_only)
                for num, caller in enumerate(callers)
            ),
        )
        await self.fleet.wait_until_serving()

    async def _send_requests(
        self, num: int, caller: soak_fleet.Caller, planned_stops_only: bool
    ) -> None:
        for count in range(REQUESTS_PER_ROUND):
            kind = random.Random(f"{self._round}-{num}-{count}").choice(
                list(soak_checks.RequestKind)
            )
            name = f"r{self._round}-c{num}-{count}"
            await caller.send(
                name, kind, planned_stops_only=planned_stops_only
            )
            self._done += 1
            if (
                self._done
                >= PROCESSES * CALLERS_PER_PROCESS * REQUESTS_PER_ROUND // 2
            ):
                self._half_done.set()

    async def wait_until_half_done(self) -> None:
        """Wait until half of the round's requests are done."""
        await self._half_done.wait()

    def take_process(self) -> soak_fleet.EdgeProcess:
        """Return a process that no other fault of this round is applied to."""
        return self._unused_processes.pop()


async def blackhole_store_connections(run: _SoakRun) -> None:
    for one in run.rng.sample(run.fleet.processes, 2):
        one.store_proxy.blackhole_open()


async def blackhole_server_connections(run: _SoakRun) -> None:
    for proxy in run.rng.sample(run.fleet.server_proxies, 2):
        proxy.blackhole_open()


async def reset_server_connections(run: _SoakRun) -> None:
    for proxy in run.rng.sample(run.fleet.server_proxies, 2):
        proxy.reset()
    await run.wait_until_half_done()
    for proxy in run.fleet.server_proxies:
        proxy.reset()


async def drop_responses_of_a_server(run: _SoakRun) -> None:
    proxy = run.rng.choice(run.fleet.server_proxies)
    proxy.drops_responses = True
    await run.wait_until_half_done()
    proxy.drops_responses = False
    proxy.reset()


async def make_store_unavailable(run: _SoakRun) -> None:
    run.fleet.store.unavailable = True
    await run.wait_until_half_done()
    run.fleet.store.unavailable = False


async def disturb_store_calls(run: _SoakRun) -> None:
    store = run.fleet.store
    store.answer_delay_s = STORE_DELAY_S
    store.wakes_reads = False
    store.lost_appends = LOST_APPENDS
    await run.wait_until_half_done()
    store.answer_delay_s = 0.0
    store.wakes_reads = True
    store.lost_appends = 0


async def refuse_store_calls(run: _SoakRun) -> None:
    run.fleet.store.overloaded = True
    await run.wait_until_half_done()
    run.fleet.store.overloaded = False


async def blackhole_store_for_one_process(run: _SoakRun) -> None:
    proxy = run.take_process().store_proxy
    proxy.blackhole_new = True
    proxy.blackhole_open()
    await run.wait_until_half_done()
    proxy.blackhole_new = False
    proxy.reset()


async def restore_store_from_copy(run: _SoakRun) -> None:
    copy = run.fleet.store.copy()
    run.fleet.change_desired_state()
    await run.wait_until_half_done()
    run.fleet.restore_store(copy)


async def limit_store_answers(run: _SoakRun) -> None:
    store = run.fleet.store
    store.max_read_bytes = LIMITED_READ_BYTES
    store.page_size = 1
    proxy = run.take_process().store_proxy
    proxy.blackhole_new = True
    proxy.blackhole_open()
    for _ in range(BURST_CHANGES):
        run.fleet.change_desired_state()
    await run.wait_until_half_done()
    proxy.blackhole_new = False
    proxy.reset()
    await run.fleet.wait_until_serving()
    await run.fleet.wait_until_newest_version()
    store.max_read_bytes = standin.MAX_READ_BYTES
    store.page_size = standin.MAX_PAGE_KEYS


async def repeat_answers_of_a_server(run: _SoakRun) -> None:
    server = run.rng.choice(run.fleet.servers)
    server.repeats_answers = True
    await run.wait_until_half_done()
    server.repeats_answers = False


async def evacuate_domain(run: _SoakRun) -> None:
    domain = run.rng.choice(["d0", "d1", "d2"])
    run.fleet.evacuate(domain)
    await run.wait_until_half_done()
    run.fleet.withdraw_evacuation(domain)


async def pause_process(run: _SoakRun) -> None:
    one = run.take_process()
    one.signal(signal.SIGSTOP)
    await run.wait_until_half_done()
    one.signal(signal.SIGCONT)


async def kill_process(run: _SoakRun) -> None:
    await run.take_process().restart(signal.SIGKILL)


async def stop_and_restart_process(run: _SoakRun) -> None:
    await run.take_process().restart(signal.SIGTERM)


async def crowd_at_a_process(run: _SoakRun) -> None:
    """Let a few clients misbehave at each address of a process."""
    one = run.rng.choice(run.fleet.processes)
    clients = [
        (crowd_rig.Client(one.ports[crowd.port.value]), crowd)
        for crowd in SMALL_CROWDS
        for _ in range(CLIENTS_PER_CROWD)
    ]
    try:
        await asyncio.gather(
            *(_misbehave(client, crowd) for client, crowd in clients)
        )
        await run.wait_until_half_done()
    finally:
        for client, _ in clients:
            client.close()


async def _misbehave(
    client: crowd_rig.Client, crowd: crowd_cases.Crowd
) -> None:
    # The process may be down for another fault.
    if await client.connect():
        await client.send(iter([crowd.opening, crowd.repeated]))


Fault = Callable[[_SoakRun], Awaitable[None]]
FAULTS: list[Fault] = [
    blackhole_store_connections,
    blackhole_server_connections,
    reset_server_connections,
    drop_responses_of_a_server,
    make_store_unavailable,
    disturb_store_calls,
    refuse_store_calls,
    blackhole_store_for_one_process,
    restore_store_from_copy,
    limit_store_answers,
    repeat_answers_of_a_server,
    evacuate_domain,
    crowd_at_a_process,
    pause_process,
    kill_process,
    stop_and_restart_process,
]


async def _wait_until_all_list(fleet: soak_fleet.Fleet, crashes: int) -> None:
    """Wait until every process lists a suspect with that many crashes."""
    for one in fleet.processes:
        while await one.max_listed_crashes() < crashes:
            await asyncio.sleep(_POLL_S)


async def _send_crashing_requests(
    fleet: soak_fleet.Fleet, kind: soak_checks.RequestKind
) -> list[soak_checks.CallResult]:
    """Send a crashing request to each process, then to a restarted one."""
    calls = []
    for num, one in enumerate([*fleet.processes, fleet.processes[0]]):
        if num == len(fleet.processes):
            await one.restart(signal.SIGKILL)
            await fleet.wait_until_serving()
            await _wait_until_all_list(fleet, fleet.crash_count)
        caller = soak_fleet.Caller(one.ports["callers"], fleet.history)
        name = f"ending-{num}"
        call = await caller.send(
            name, kind, path_suffix=soak_fleet.CRASHING_PATH
        )
        calls.append(call)
        caller.close()
        await _wait_until_all_list(fleet, fleet.crash_count)
    return calls


@pytest.mark.parametrize("kind", list(soak_checks.RequestKind))
def test_request_that_crashes_servers_is_refused(
    tmp_path: pathlib.Path, kind: soak_checks.RequestKind
):
    async def main():
        fleet = soak_fleet.Fleet(
            tmp_path, processes=PROCESSES, servers=SERVERS
        )
        async with asyncio.timeout(RUN_TIMEOUT_S), fleet:
            calls = await _send_crashing_requests(fleet, kind)
        return fleet, calls

    fleet, calls = asyncio.run(main())
    assert 0 < fleet.crash_count <= MAX_CRASHES
    assert calls[-1].status == soak_checks.REFUSED
    assert b"have ended while" in calls[-1].body
    assert fleet.history.violations() == []


async def _send_crashing_prompts(
    fleet: soak_fleet.Fleet, kind: soak_checks.RequestKind
) -> list[soak_checks.CallResult]:
    """Send requests with the crashing part, none like another.

    The last one goes to a process that has just been restarted.
    """
    calls = []
    for num in range(MAX_CRASHES_OF_A_PART + 1):
        one = fleet.processes[num % PROCESSES]
        if num == MAX_CRASHES_OF_A_PART:
            await one.restart(signal.SIGKILL)
            await fleet.wait_until_serving()
        await _wait_until_all_list(fleet, fleet.crash_count)
        caller = soak_fleet.Caller(one.ports["callers"], fleet.history)
        part = soak_fleet.CRASHING_PART
        call = await caller.send(
            f"prompt-{num}",
            kind,
            path_suffix=f"x{num}",
            prompt=b"first:4,%s:7,own%d:9" % (part, num),
        )
        calls.append(call)
        caller.close()
    return calls


@pytest.mark.parametrize("kind", list(soak_checks.RequestKind))
def test_requests_with_a_part_that_crashes_servers_are_refused(
    tmp_path: pathlib.Path, kind: soak_checks.RequestKind
):
    async def main():
        fleet = soak_fleet.Fleet(
            tmp_path, processes=PROCESSES, servers=SERVERS
        )
        async with asyncio.timeout(RUN_TIMEOUT_S), fleet:
            calls = await _send_crashing_prompts(fleet, kind)
            caller = soak_fleet.Caller(
                fleet.processes[0].ports["callers"], fleet.history
            )
            sound = await caller.send(
                "sound", kind, prompt=b"first:4,other:7,own:9"
            )
            caller.close()
        return fleet, calls, sound

    fleet, calls, sound = asyncio.run(main())
    assert 0 < fleet.crash_count <= MAX_CRASHES_OF_A_PART
    assert calls[-1].status == soak_checks.REFUSED
    assert b"with part 'bad'" in calls[-1].body
    assert sound.status == soak_checks.OK
    assert fleet.history.violations() == []


async def _send_from_all(
    fleet: soak_fleet.Fleet, batch: str, rounds: int = BACKOFF_ROUNDS
) -> int:
    """Send requests to all processes; return how many were served."""
    callers = [
        soak_fleet.Caller(one.ports["callers"], fleet.history)
        for one in fleet.processes
    ]
    served = 0
    for count in range(rounds):
        asked = [
            caller.send(f"{num}-{batch}-{count}", soak_checks.RequestKind.SAFE)
            for num, caller in enumerate(callers)
        ]
        calls = await asyncio.gather(*asked)
        served += sum(one.status == soak_checks.OK for one in calls)
        await asyncio.sleep(_POLL_S)
    for caller in callers:
        caller.close()
    return served


def test_servers_that_back_off_or_leave_get_no_requests(
    tmp_path: pathlib.Path,
):
    async def main():
        fleet = soak_fleet.Fleet(
            tmp_path, processes=PROCESSES, servers=SERVERS
        )
        async with asyncio.timeout(RUN_TIMEOUT_S), fleet:
            fleet.servers[0].backoff_s = fleet.servers[1].backoff_s = BACKOFF_S
            fleet.servers[2].leaving = True
            served = await _send_from_all(fleet, "a")
            await fleet.processes[0].restart(signal.SIGTERM)
            await fleet.wait_until_serving()
            fleet.servers[0].backoff_s = 0.0
            served += await _send_from_all(fleet, "b")
        return fleet.history, served

    history, served = asyncio.run(main())
    assert history.violations() == []
    assert any(one.backoff_s for one in history.received)
    assert any(one.leaving for one in history.received)
    # One of four servers takes all requests but those that may be refused.
    assert served >= 2 * BACKOFF_ROUNDS * PROCESSES - MAX_REFUSED


def test_servers_get_no_more_than_the_limits_that_they_state(
    tmp_path: pathlib.Path,
):
    async def main():
        fleet = soak_fleet.Fleet(
            tmp_path, processes=PROCESSES, servers=SERVERS
        )
        async with asyncio.timeout(RUN_TIMEOUT_S), fleet:
            fleet.servers[0].limit = fleet.servers[1].limit = SERVER_LIMIT
            served = await _send_from_all(fleet, "a", LIMIT_ROUNDS)
            await fleet.processes[0].restart(signal.SIGTERM)
            await fleet.wait_until_serving()
            fleet.servers[0].limit = None
            served += await _send_from_all(fleet, "b", LIMIT_ROUNDS)
        return fleet, served

    fleet, served = asyncio.run(main())
    assert fleet.history.violations() == []
    limited = [one for one in fleet.history.received if one.limit is not None]
    assert len(limited) > SERVER_LIMIT * soak_checks.LIMIT_WINDOW_S
    # The two other servers have room for all requests.
    assert served == 2 * LIMIT_ROUNDS * PROCESSES


async def _wait_until_all_evacuate(
    fleet: soak_fleet.Fleet, domains: set[str]
) -> None:
    for one in fleet.processes:
        while await one.evacuated_domains() != domains:
            await asyncio.sleep(_POLL_S)


def test_servers_of_an_evacuated_domain_get_no_requests(
    tmp_path: pathlib.Path,
):
    """Also while a process starts, the store is away or restored."""

    async def main():
        fleet = soak_fleet.Fleet(
            tmp_path, processes=PROCESSES, servers=SERVERS
        )
        async with asyncio.timeout(RUN_TIMEOUT_S), fleet:
            served = await _send_from_all(fleet, "a")
            copy = fleet.store.copy()
            fleet.evacuate("d0")
            await _wait_until_all_evacuate(fleet, {"d0"})
            fleet.withdraw_evacuation("d0")
            await _wait_until_all_evacuate(fleet, set())
            fleet.evacuate("d0")
            await _wait_until_all_evacuate(fleet, {"d0"})
            await fleet.processes[0].restart(signal.SIGKILL)
            await fleet.wait_until_serving()
            served += await _send_from_all(fleet, "b")
            fleet.store.unavailable = True
            served += await _send_from_all(fleet, "c")
            fleet.store.unavailable = False
            fleet.restore_store(copy)
            served += await _send_from_all(fleet, "d")
            await fleet.processes[1].restart(signal.SIGTERM)
            await fleet.wait_until_serving()
            served += await _send_from_all(fleet, "e")
            fleet.withdraw_evacuation("d0")
            await _wait_until_all_evacuate(fleet, set())
            before = len(fleet.history.received)
            served += await _send_from_all(fleet, "f")
        return fleet.history, served, before

    history, served, before = asyncio.run(main())
    assert history.violations() == []
    assert served == 6 * BACKOFF_ROUNDS * PROCESSES
    used_again = {one.domain for one in history.received[before:]}
    assert used_again == {"d0", "d1", "d2"}


@pytest.mark.parametrize(
    "seed",
    sorted({*range(FIRST_SEED, FIRST_SEED + SEED_COUNT), *REGRESSION_SEEDS}),
)
def test_promises_hold_through_overlapping_faults(
    tmp_path: pathlib.Path, seed: int
):
    history = asyncio.run(_SoakRun(tmp_path, seed).run())
    assert history.violations() == []
    answered = sum(call.status == soak_checks.OK for call in history.calls)
    # The checks prove nothing unless many requests were answered.
    assert answered > len(history.calls) / 3
