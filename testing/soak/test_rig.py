# SPDX-License-Identifier: Apache-2.0
"""The rig of the soak, when ports are taken or processes end by themselves.

Two soak runs beside other load hung until their time limit, or were answered
by the process of another fleet. The rig chose its ports some time before a
process listened on them, waited without end for a process that had ended
because its port was taken, and left the others running.
"""

import asyncio
import contextlib
import pathlib
import socket

import edge_rig
import pytest
import soak_fleet

#: Longer than a process takes to start and to notice that a port is taken.
_START_TIMEOUT_S = 30.0


def test_reserved_port_is_not_given_to_others():
    port = edge_rig.reserve_port()
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind((edge_rig.HOST, port))


def test_reserved_port_can_be_listened_on_again_and_again():
    port = edge_rig.reserve_port()

    async def main() -> None:
        for _ in range(3):
            server = await asyncio.start_server(
                lambda reader, writer: writer.close(), edge_rig.HOST, port
            )
            _, writer = await asyncio.open_connection(edge_rig.HOST, port)
            writer.close()
            server.close()
            await server.wait_closed()

    asyncio.run(main())


def test_process_that_ends_by_itself_fails_the_rig_at_once(
    tmp_path: pathlib.Path,
):
    fleet = soak_fleet.Fleet(tmp_path, processes=2, servers=1)

    async def main() -> None:
        async with asyncio.timeout(_START_TIMEOUT_S):
            async with fleet:
                taken = fleet.processes[1]
                await taken.stop()
                with socket.socket() as other:
                    other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    other.bind((edge_rig.HOST, taken.ports["callers"]))
                    other.listen()
                    await taken.start()
                    await fleet.wait_until_serving()

    with pytest.raises(soak_fleet.ProcessEndedError, match="n1"):
        asyncio.run(main())
    assert not any(one.running for one in fleet.processes)


def test_no_process_is_left_when_a_run_is_out_of_time(tmp_path: pathlib.Path):
    fleet = soak_fleet.Fleet(tmp_path, processes=2, servers=1)

    async def main() -> None:
        async with asyncio.timeout(_START_TIMEOUT_S):
            async with fleet:
                raise TimeoutError

    with contextlib.suppress(TimeoutError):
        asyncio.run(main())
    assert len(fleet.processes) == 2
    assert not any(one.running for one in fleet.processes)
