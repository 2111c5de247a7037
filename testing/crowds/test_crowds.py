# SPDX-License-Identifier: Apache-2.0
"""A real process under crowds of clients that don't behave.

What is checked does not depend on the speed of the machine: that the process
lives, how much memory and how many descriptors it uses, and that an ordinary
request is answered while the crowd is still connected.
"""

import asyncio
import signal

import crowd_cases
import crowd_rig
import pytest

#: Descriptors for connections to servers that are kept for reuse.
MAX_KEPT_DESCRIPTORS = 12


def _check(system: crowd_rig.System) -> None:
    assert system.running, system.log_tail()
    assert system.max_memory_mb <= crowd_cases.MAX_MEMORY_MB
    assert system.max_descriptors <= crowd_cases.MAX_DESCRIPTORS


@pytest.mark.parametrize(
    "name",
    [
        "callers-ahead",
        "callers-bodies",
        "callers-failed-unread",
        "callers-garbage",
        "callers-half-head",
        "callers-held",
        "callers-held-in-waves",
        "callers-idle",
        "callers-large-unread",
        "callers-many-fields",
        "callers-many-fields-held",
        "callers-reset",
        "callers-small-chunks",
        "callers-trailer",
        "callers-trickled-body",
        "callers-unread",
        "callers-unread-finished",
        "metrics-garbage",
        "metrics-idle",
        "metrics-unread",
        "ready-garbage",
        "ready-idle",
        "ready-unread",
        "ready-unread-in-turn",
        "ready-unread-finished",
        "state-garbage",
        "state-idle",
        "state-open",
        "state-unread",
    ],
)
def test_crowd_leaves_the_process_within_its_bounds(name, tmp_path):
    async def main() -> None:
        async with crowd_rig.System(tmp_path, crowd_cases.LIMITS) as system:
            await system.play(crowd_cases.CROWDS[name])
            await system.serve_ordinary_request()
            await system.answer_readiness_check()
            _check(system)

    asyncio.run(main())


def test_crowds_at_several_addresses_at_once(tmp_path):
    async def main() -> None:
        async with crowd_rig.System(tmp_path, crowd_cases.LIMITS) as system:
            await system.play(*crowd_cases.TOGETHER)
            await system.serve_ordinary_request()
            await system.answer_readiness_check()
            _check(system)

    asyncio.run(main())


@pytest.mark.parametrize("name", sorted(crowd_cases.SINGLE_REQUESTS))
def test_single_unusual_request_inside_the_limits_is_served(name, tmp_path):
    async def main() -> None:
        async with crowd_rig.System(tmp_path, crowd_cases.LIMITS) as system:
            got = await system.answer_to(crowd_cases.SINGLE_REQUESTS[name])
            statuses = [line for line in got.split(b"\n") if b"HTTP/" in line]
            assert all(b" 200 " in one for one in statuses), got[:500]
            sent = crowd_cases.SINGLE_REQUESTS[name].count(b" HTTP/1.1\r\n")
            assert len(statuses) == sent
            _check(system)

    asyncio.run(main())


@pytest.mark.parametrize(
    "name", ["callers-ahead", "ready-unread-in-turn", "state-open"]
)
def test_stop_and_reload_signals_work_under_a_crowd(name, tmp_path):
    async def main() -> str:
        async with crowd_rig.System(tmp_path, crowd_cases.LIMITS) as system:
            await system.play(crowd_cases.CROWDS[name])
            system.send_signal(signal.SIGHUP)
            await system.serve_ordinary_request()
            system.send_signal(signal.SIGTERM)
            assert await system.wait() == 0
            return system.log()

    log = asyncio.run(main())
    assert '"message": "settings reloaded"' in log
    assert '"message": "stopped"' in log


@pytest.mark.parametrize(
    "name", ["callers-ahead", "callers-many-fields-held", "ready-unread"]
)
def test_nothing_of_a_crowd_is_left_when_it_is_gone(name, tmp_path):
    async def main() -> None:
        async with crowd_rig.System(tmp_path, crowd_cases.LIMITS) as system:
            before = system.descriptors()
            await system.play(crowd_cases.CROWDS[name])
            system.close_clients()
            system.backend.release.set()
            async with asyncio.timeout(60):
                # Connections to the backend server stay for reuse.
                while system.descriptors() > before + MAX_KEPT_DESCRIPTORS:
                    await asyncio.sleep(0.1)
                # The last of the crowd's requests may end after that.
                while b"lugcross_edge_held_bytes 0.0" not in (
                    await system.metrics()
                ):
                    await asyncio.sleep(0.1)
            await system.serve_ordinary_request()
            _check(system)

    asyncio.run(main())
