# SPDX-License-Identifier: Apache-2.0
"""Life cycle of a process under signals."""

import signal
import sys
import types

from lugcross import app as app_lib

#: Calls made by the first signal's handler that are interrupted by another.
INTERRUPTED = 40


def test_signals_that_interrupt_the_first_one_still_stop_it() -> None:
    stopped: list[str] = []
    left = INTERRUPTED

    def interrupt(frame: types.FrameType, event: str, arg: object) -> None:
        nonlocal left
        if left and event in ("call", "c_call"):
            left -= 1
            signal.raise_signal(signal.SIGTERM)

    def start() -> None:
        sys.setprofile(interrupt)
        signal.raise_signal(signal.SIGTERM)

    def stop() -> None:
        sys.setprofile(None)
        stopped.append("part")

    app = app_lib.Application(name="twice")
    app.add(app_lib.Hook(name="part", start=start, stop=stop))
    app.run()
    assert stopped == ["part"]
    assert left < INTERRUPTED


def test_signal_before_all_parts_have_started_stops_after_the_start() -> None:
    order: list[str] = []
    app = app_lib.Application(name="early")

    def start() -> None:
        signal.raise_signal(signal.SIGTERM)
        order.append("started")

    app.add(
        app_lib.Hook(
            name="part",
            start=start,
            drain=lambda: order.append("drained"),
            stop=lambda: order.append("stopped"),
        )
    )
    app.run()
    assert order == ["started", "drained", "stopped"]
