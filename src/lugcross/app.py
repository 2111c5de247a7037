# SPDX-License-Identifier: Apache-2.0
"""Application: starts, drains and stops the components of a process."""

from collections.abc import Callable
import dataclasses
import queue
import signal
import types
from typing import final

from absl import logging


def _do_nothing() -> None:
    return None


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Hook:
    """Life cycle callbacks of one component.

    :param start: prepares the component; raises an exception on failure.
    :param drain: stops accepting work and returns when all work is done.
    :param stop: releases all resources; must not raise.
    """

    name: str
    start: Callable[[], None] = _do_nothing
    drain: Callable[[], None] = _do_nothing
    stop: Callable[[], None] = _do_nothing


@final
class Application:
    """Starts components in order; drains and stops them in reverse."""

    def __init__(self, *, name: str) -> None:
        self.name = name
        self._hooks: list[Hook] = []
        self._running: list[Hook] = []
        # SimpleQueue.put() is reentrant, so a signal handler may call it.
        # Event.set() is not: a second SIGTERM during the first one's handler
        # could deadlock.
        self._stop_requests: queue.SimpleQueue[str] = queue.SimpleQueue()

    def add(self, hook: Hook) -> None:
        """Register a component; it may depend on those added before."""
        self._hooks.append(hook)

    def start(self) -> None:
        """Start all components; if one fails, stop those started before."""
        for hook in self._hooks:
            # Added before its start, so that a partial start is cleaned up.
            self._running.append(hook)
            try:
                hook.start()
            except BaseException:
                self.stop()
                raise
        logging.info("started", extra={"app": self.name})

    def drain(self) -> None:
        """Let all components finish their work, last one first."""
        for hook in reversed(self._running):
            hook.drain()

    def stop(self) -> None:
        """Stop all running components, last one first."""
        while self._running:
            hook = self._running.pop()
            try:
                hook.stop()
            except Exception:
                # The remaining components must still be stopped.
                logging.exception("stop failed", extra={"part": hook.name})
        logging.info("stopped", extra={"app": self.name})

    def request_stop(self) -> None:
        """Make :meth:`run` drain and return; may be called repeatedly."""
        self._stop_requests.put("a call")

    def run(self) -> None:
        """Start, wait for SIGTERM or SIGINT, drain and stop.

        Further signals are ignored, so that a supervisor that repeats SIGTERM
        does not abort requests in progress.
        """
        previous = {
            num: signal.signal(num, self._on_signal)
            for num in (signal.SIGTERM, signal.SIGINT)
        }
        try:
            self.start()
            stop_reason = self._stop_requests.get()
            logging.info("stopping", extra={"asked_by": stop_reason})
            self.drain()
        finally:
            self.stop()
            for num, handler in previous.items():
                signal.signal(num, handler)

    def _on_signal(self, num: int, frame: types.FrameType | None) -> None:
        # Do nothing else here: the interrupted code may hold locks, such as
        # the logging lock.
        del frame
        self._stop_requests.put(signal.Signals(num).name)


__all__ = ["Application", "Hook"]
