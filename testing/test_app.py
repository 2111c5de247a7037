# SPDX-License-Identifier: Apache-2.0
"""Application life cycle under signals."""

import signal
import sys
import types

from lugcross import app as app_lib

#: Function calls within signal handlers that are interrupted by a further
#: signal.
INTERRUPTED_CALLS = 40


def test_signals_within_a_signal_handler_still_stop_the_process() -> None:
    stopped: list[str] = []
    remaining = INTERRUPTED_CALLS

    def interrupt(frame: types.FrameType, event: str, arg: object) -> None:
        nonlocal remaining
        if remaining and event in ("call", "c_call"):
            remaining -= 1
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
    assert remaining < INTERRUPTED_CALLS


def test_signal_during_start_drains_and_stops_after_the_start() -> None:
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
