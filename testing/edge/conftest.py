# SPDX-License-Identifier: Apache-2.0
"""Fixtures for tests of the edge process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import edge_rig
import pytest

from lugcross import desired


@pytest.fixture
def run_with_rig() -> Callable[..., object]:
    """Return a function that runs a coroutine with a started rig.

    It takes the route, the scripts of the backend servers and the coroutine.
    """

    def run(
        one: desired.Route,
        scripts: list[list[edge_rig.Script]],
        act: Callable[[edge_rig.Rig], Awaitable[object]],
    ) -> object:
        async def main() -> object:
            rig = edge_rig.Rig()
            rig.adopt(one)
            await rig.start(*scripts)
            try:
                return await act(rig)
            finally:
                rig.close()

        return asyncio.run(main())

    return run
