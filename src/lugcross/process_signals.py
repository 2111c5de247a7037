# SPDX-License-Identifier: Apache-2.0
"""Signals that ask a process to stop or to reload, from its start to its end.

Imports nothing but the standard library, so that the handlers can be installed
before the program's other modules are imported, which takes a while.
"""

import asyncio
from collections.abc import Callable
import signal
import types
from typing import final

#: Exit status of a process that is asked to stop before it serves.
_STOPPED_STATUS = 0
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def _do_nothing() -> None:
    pass


@final
class ProcessSignals:
    """Handles SIGTERM, SIGINT and SIGHUP of a process.

    Before :meth:`attach` there is nothing to drain: a request to stop ends
    the process, and a request to reload is kept. After :meth:`detach` both
    do nothing, as the process is ending.
    """

    def __init__(self) -> None:
        self._loop: asyncio.AbstractEventLoop | None = None
        self._on_stop: Callable[[], None] = _do_nothing
        self._on_reload: Callable[[], None] = _do_nothing
        self._reload_pending = False

    def install(self) -> None:
        """Install the handlers; called in the main thread."""
        for num in _STOP_SIGNALS:
            signal.signal(num, self._handle_stop)
        signal.signal(signal.SIGHUP, self._handle_reload)

    def attach(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        on_stop: Callable[[], None],
        on_reload: Callable[[], None],
    ) -> None:
        """Call functions in an event loop from now on.

        A reload that was requested before is done now.
        """
        self._on_stop, self._on_reload = on_stop, on_reload
        self._loop = loop
        if self._reload_pending:
            self._reload_pending = False
            loop.call_soon(on_reload)

    def detach(self) -> None:
        """Ignore further signals, as the process is ending.

        The interpreter removes handlers before it exits, but keeps signals
        ignored.
        """
        self._loop = None
        for num in (*_STOP_SIGNALS, signal.SIGHUP):
            signal.signal(num, signal.SIG_IGN)

    def _handle_stop(self, num: int, frame: types.FrameType | None) -> None:
        del num, frame
        if self._loop is None:
            raise SystemExit(_STOPPED_STATUS)
        self._loop.call_soon_threadsafe(self._on_stop)

    def _handle_reload(self, num: int, frame: types.FrameType | None) -> None:
        del num, frame
        if self._loop is not None:
            self._loop.call_soon_threadsafe(self._on_reload)
        else:
            self._reload_pending = True


#: Signals of this process.
SIGNALS = ProcessSignals()

__all__ = ["SIGNALS", "ProcessSignals"]
