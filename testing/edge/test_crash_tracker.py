# SPDX-License-Identifier: Apache-2.0
"""Detection of server crashes among all causes of broken attempts."""

import asyncio
import dataclasses
import json

import edge_rig as rig

from lugcross import clock as clock_lib
from lugcross import crash_suspects
from lugcross import desired
from lugcross import experts
from lugcross import ids


def _counted_crashes(one: rig.Rig) -> list[int]:
    return [
        len(record.crashes_since_cleared)
        for record in one.edge_state.crash_tracker.registry.records()
    ]


class _CrashingServers:
    """Servers that crash on the first ``count`` requests."""

    def __init__(self, one: rig.Rig, count: int) -> None:
        self._rig = one
        self._left = count
        #: Indexes of the servers that answered, in order.
        self.answered: list[int] = []

    def script(self, index: int) -> rig.Script:
        async def script(seen, writer):
            if self._left:
                self._left -= 1
                self._rig.backends[index].close()
                writer.transport.abort()
                return
            self.answered.append(index)
            await rig.answer()(seen, writer)

        return script


def _play(route, *scripts):
    """Send one request; return its answer and the rig."""

    async def main():
        one = rig.Rig()
        await one.start(*([script] for script in scripts))
        one.adopt(route)
        got = await one.ask()
        one.close()
        return got, one

    return asyncio.run(main())


def _play_crashes(crashes, *, times=1, exempt=False):
    """Send a request repeatedly; return its answers, the rig and the servers.

    :param crashes: requests on which servers crash.
    :param times: how often to send the request.
    :param exempt: whether an operator exempts it after the first time.
    """

    async def main():
        # On a manual clock all run times are zero, however busy the test
        # machine is.
        one = rig.Rig(clock_lib.ManualClock())
        servers = _CrashingServers(one, crashes)
        await one.start(*([servers.script(num)] for num in range(3)))
        one.adopt(rig.SAFE_ROUTE)
        got = []
        for _ in range(times):
            got.append(await one.ask())
            records = one.edge_state.crash_tracker.registry.records()
            if exempt:
                one.edge_state.crash_tracker.exempt_requests = frozenset(
                    [records[0].suspect]
                )
        one.close()
        return got, one, servers

    return asyncio.run(main())


def test_server_crash_counts_against_the_request_it_ran():
    got, one, _ = _play_crashes(1)
    assert got[0].status == 200
    # It completed on the next server, which cleared it.
    records = one.edge_state.crash_tracker.registry.records()
    assert [len(record.crashes) for record in records] == [1]
    assert _counted_crashes(one) == [0]


def test_log_of_a_crash_names_the_prompt_parts_of_the_request(caplog):
    async def main() -> None:
        one = rig.Rig(clock_lib.ManualClock())
        servers = _CrashingServers(one, 1)
        await one.start(*([servers.script(num)] for num in range(2)))
        one.adopt(rig.SAFE_ROUTE)
        await one.ask(b"Prompt-Prefix: a1:40,b2:7,c3:9")
        one.close()

    with caplog.at_level("WARNING"):
        asyncio.run(main())
    crashes = [
        one
        for one in caplog.records
        if one.getMessage() == "server crashed while running a request"
    ]
    assert [one.parts for one in crashes] == [("a1", "b2")]
    assert [one.wrote_ms for one in crashes] == [None]


def test_reset_by_a_live_server_does_not_count():
    async def resets(seen, writer):
        del seen
        writer.transport.abort()

    got, one = _play(rig.SAFE_ROUTE, resets, rig.answer())
    assert got.status == 200
    assert one.edge_state.crash_tracker.registry.records() == []


def test_failure_answer_does_not_count():
    failure = rig.answer(500, b"no")
    _, one = _play(rig.SAFE_ROUTE, failure, failure)
    assert one.edge_state.crash_tracker.registry.records() == []


def test_caller_is_told_when_to_come_back_and_that_it_has_not_run():
    got, one, servers = _play_crashes(3, times=3)
    assert [got[0].status, got[1].status] == [502, 502]
    assert got[2].status == 503
    assert b"3 backend servers have ended" in got[2].body
    wait = float(got[2].headers[b"retry-after"])
    assert 0 < wait <= crash_suspects.SUSPICION_TTL.total_seconds()
    assert servers.answered == []
    assert _counted_crashes(one) == [3]


def _play_prompts(crashes, *prompts):
    """Send requests with other bodies each; return their answers."""

    async def main():
        one = rig.Rig(clock_lib.ManualClock())
        servers = _CrashingServers(one, crashes)
        await one.start(*([servers.script(num)] for num in range(4)))
        one.adopt(rig.UNSAFE_ROUTE)
        got = [
            await one.ask(
                b"Prompt-Prefix: " + prompt, method=b"POST", body=b"%d" % num
            )
            for num, prompt in enumerate(prompts)
        ]
        one.close()
        return got

    return asyncio.run(main())


def test_requests_with_a_part_that_crashes_servers_are_refused():
    got = _play_prompts(
        3, b"a:4,bad:7,c:1", b"bad:7,d:1", b"b:1,bad:7,e:1", b"a:4,bad:7,f:1"
    )
    assert [one.status for one in got] == [502, 502, 502, 503]
    assert b"3 backend servers have ended" in got[3].body
    assert b"'bad'" in got[3].body


def test_requests_without_that_part_are_served():
    got = _play_prompts(
        3, b"a:4,bad:7,c:1", b"bad:7,d:1", b"b:1,bad:7,e:1", b"a:4,f:1"
    )
    assert got[3].status == 200


def test_last_part_of_a_prompt_is_no_suspect():
    got = _play_prompts(3, b"a:4,bad:7", b"b:4,bad:7", b"c:4,bad:7", b"bad:7")
    assert got[3].status == 200


def test_part_is_refused_while_a_request_waits_for_its_connection():
    async def main() -> None:
        one = rig.Rig(clock_lib.ManualClock())
        await one.start([rig.answer()], [rig.answer()])
        one.adopt(rig.SAFE_ROUTE)
        part = crash_suspects.part_fingerprint("app", "bad")
        registry = one.edge_state.crash_tracker.registry
        backend = one.edge_state.backends.usable(ids.ServiceName("app"))[0]
        acquire = one.edge_state.pool.acquire

        async def acquire_late(*args, **kwargs):
            conn = await acquire(*args, **kwargs)
            for num in range(3):
                crash = crash_suspects.ServerCrash(
                    f"i-9{num}",
                    backend.software_version,
                    clock_lib.seconds(num),
                    clock_lib.seconds(0.1),
                )
                registry.record_crash(part, crash, clock_lib.seconds(num))
            return conn

        one.edge_state.pool.acquire = acquire_late
        got = await one.ask(b"Prompt-Prefix: bad:7,c:1")
        assert got.status == 503
        assert b"3 backend servers have ended" in got.body
        assert [backend.seen for backend in one.backends] == [[], []]
        one.close()

    asyncio.run(main())


def test_exempt_part_is_not_refused():
    async def main() -> None:
        one = rig.Rig(clock_lib.ManualClock())
        servers = _CrashingServers(one, 3)
        await one.start(*([servers.script(num)] for num in range(4)))
        one.adopt(rig.UNSAFE_ROUTE)
        part = crash_suspects.part_fingerprint("app", "bad")
        one.edge_state.crash_tracker.exempt_requests = frozenset([part])
        got = [
            await one.ask(
                b"Prompt-Prefix: bad:7,%d:1" % num,
                method=b"POST",
                body=b"%d" % num,
            )
            for num in range(4)
        ]
        assert [answer.status for answer in got] == [502, 502, 502, 200]
        one.close()

    asyncio.run(main())


def test_exempt_request_runs_in_spite_of_its_part():
    async def main() -> rig.CallerAnswer:
        one = rig.Rig(clock_lib.ManualClock())
        servers = _CrashingServers(one, 3)
        await one.start(*([servers.script(num)] for num in range(4)))
        one.adopt(rig.UNSAFE_ROUTE)
        tracker = one.edge_state.crash_tracker
        for num in range(3):
            await one.ask(
                b"Prompt-Prefix: bad:7,c:1", method=b"POST", body=b"%d" % num
            )
        part = crash_suspects.part_fingerprint("app", "bad")
        tracker.exempt_requests = frozenset(
            record.suspect
            for record in tracker.registry.records()
            if record.suspect != part
        )
        got = await one.ask(
            b"Prompt-Prefix: bad:7,c:1", method=b"POST", body=b"2"
        )
        one.close()
        return got

    assert asyncio.run(main()).status == 200


def test_list_of_suspects_names_prompt_parts():
    async def main() -> bytes:
        one = rig.Rig(clock_lib.ManualClock())
        servers = _CrashingServers(one, 1)
        await one.start(*([servers.script(num)] for num in range(2)))
        one.adopt(rig.UNSAFE_ROUTE)
        await one.ask(b"Prompt-Prefix: bad:7,c:1", method=b"POST", body=b"1")
        one.close()
        return one.edge_state.crash_tracker.suspects_json()

    rows = json.loads(asyncio.run(main()))["suspects"]
    assert sorted(str(row["part"]) for row in rows) == ["None", "bad"]


def test_exempt_request_is_not_refused():
    got, _, servers = _play_crashes(2, times=2, exempt=True)
    assert [one.status for one in got] == [502, 200]
    assert len(servers.answered) == 1


class _RankGroupRig:
    """A process with three servers that are ranks of groups."""

    async def start(self, *scripts: list[rig.Script]) -> None:
        self.rig = rig.Rig(clock_lib.ManualClock())
        await self.rig.start(*scripts)
        self.rig.adopt(rig.SAFE_ROUTE)
        engine = desired.EngineSpec(
            slots=6,
            kv_cache_tokens=1000,
            experts=experts.ExpertLimits(
                layer_set_count=1,
                expert_count=4,
                max_experts_per_rank=2,
                max_new_experts_per_map=1,
                copy_s=0.1,
                expert_time_ratio=0.5,
            ),
        )
        name = ids.ServiceName("app")
        state = self.rig.edge_state.desired
        assert state is not None
        self.rig.edge_state.desired = dataclasses.replace(
            state,
            services={name: desired.Service(name=name, engine=engine)},
        )
        self.keys = [
            one.key for one in self.rig.edge_state.backends.usable(name)
        ]


def _aborting_server(one: _RankGroupRig, index: int) -> rig.Script:
    async def script(seen, writer):
        del seen
        one.rig.backends[index].close()
        writer.transport.abort()

    return script


def test_crash_suspect_waits_for_its_rank_group_to_open_again():
    """Sent to the other group, it took that down as well."""

    async def main() -> None:
        one = _RankGroupRig()
        await one.start(
            [_aborting_server(one, 0)], [rig.answer()], [rig.answer()]
        )
        first = await one.rig.ask()
        assert first.status == 502
        own_group = [one.keys[0], one.keys[1]]
        one.rig.edge_state.report_broken_groups("leader", own_group)
        again = await one.rig.ask()
        assert again.status == 503
        assert b"is not open" in again.body
        assert float(again.headers[b"retry-after"]) > 0
        one.rig.edge_state.report_broken_groups("leader", [])
        await one.rig.ask()
        assert one.rig.backends[1].connections == 1
        assert one.rig.backends[2].connections == 0
        one.rig.close()

    asyncio.run(main())
