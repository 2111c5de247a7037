# SPDX-License-Identifier: Apache-2.0
"""How the end of a server is told from all else that breaks an attempt."""

import asyncio

import edge_rig as rig

from lugcross import clock as clock_lib
from lugcross import suspects


def _against(one: rig.Rig) -> list[int]:
    return [
        len(case.against) for case in one.edge_state.endings.ledger.cases()
    ]


class _Ending:
    """Servers of which the first ones that run a request end."""

    def __init__(self, one: rig.Rig, count: int) -> None:
        self._rig = one
        self._left = count
        #: Servers that answered.
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
    """Return what a caller got, and the rig."""

    async def main():
        one = rig.Rig()
        await one.start(*([script] for script in scripts))
        one.adopt(route)
        got = await one.ask()
        one.close()
        return got, one

    return asyncio.run(main())


def _play_ending(ends, *, times=1, exempt=False):
    """Return what a caller got each time, and the rig and its servers.

    :param exempt: whether an operator clears the request after its first try.
    """

    async def main():
        # Runs of no length are alike, however busy this machine is.
        one = rig.Rig(clock_lib.ManualClock())
        servers = _Ending(one, ends)
        await one.start(*([servers.script(num)] for num in range(3)))
        one.adopt(rig.SAFE_ROUTE)
        got = []
        for _ in range(times):
            got.append(await one.ask())
            cases = one.edge_state.endings.ledger.cases()
            if exempt:
                one.edge_state.endings.exempt = frozenset([cases[0].request])
        one.close()
        return got, one, servers

    return asyncio.run(main())


def test_server_that_ends_counts_against_what_it_ran():
    got, one, _ = _play_ending(1)
    assert got[0].status == 200
    # It ran to its end at the next server, and is cleared.
    cases = one.edge_state.endings.ledger.cases()
    assert [len(case.ends) for case in cases] == [1]
    assert _against(one) == [0]


def test_server_that_resets_and_lives_does_not():
    async def resets(seen, writer):
        del seen
        writer.transport.abort()

    got, one = _play(rig.SAFE_ROUTE, resets, rig.answer())
    assert got.status == 200
    assert one.edge_state.endings.ledger.cases() == []


def test_server_that_answers_with_a_failure_does_not():
    failure = rig.answer(500, b"no")
    _, one = _play(rig.SAFE_ROUTE, failure, failure)
    assert one.edge_state.endings.ledger.cases() == []


def test_caller_is_told_when_to_come_back_and_that_it_has_not_run():
    got, one, servers = _play_ending(2, times=2)
    assert got[0].status == 502
    assert got[1].status == 503
    assert b"2 backend servers have ended" in got[1].body
    wait = float(got[1].headers[b"retry-after"])
    assert 0 < wait <= suspects.LAPSE.total_seconds()
    assert servers.answered == []
    assert _against(one) == [2]


def test_request_that_an_operator_has_cleared_is_not_refused():
    got, _, servers = _play_ending(2, times=2, exempt=True)
    assert [one.status for one in got] == [502, 200]
    assert len(servers.answered) == 1
