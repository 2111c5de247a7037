# SPDX-License-Identifier: Apache-2.0
"""The application object that owns a process's parts and cleans up."""

from collections.abc import Callable
import dataclasses
import queue
import signal
import types
from typing import final

from absl import logging


def _nothing() -> None:
    return None


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Hook:
    """What one part does at each point of the life cycle.

    :param start: makes the part ready; raises when it cannot.
    :param drain: takes no new work and returns once the old is done.
    :param stop: gives everything back; must not raise.
    """

    name: str
    start: Callable[[], None] = _nothing
    drain: Callable[[], None] = _nothing
    stop: Callable[[], None] = _nothing


@final
class Application:
    """Starts parts in order; drains and stops them in reverse."""

    def __init__(self, *, name: str) -> None:
        self.name = name
        self._hooks: list[Hook] = []
        self._running: list[Hook] = []
        # SimpleQueue.put is reentrant, Event.set is not: a second SIGTERM
        # that arrives while the handler of the first sets an Event can
        # deadlock the process.
        self._stop_requests: queue.SimpleQueue[str] = queue.SimpleQueue()

    def add(self, hook: Hook) -> None:
        """Register a part; parts added later may use earlier ones."""
        self._hooks.append(hook)

    def start(self) -> None:
        """Start every part; on a failure stop those already started."""
        for hook in self._hooks:
            # Listed first: a start that fails half way is cleaned up too.
            self._running.append(hook)
            try:
                hook.start()
            except BaseException:
                self.stop()
                raise
        logging.info("started", extra={"app": self.name})

    def drain(self) -> None:
        """Let every part finish its work, newest part first."""
        for hook in reversed(self._running):
            hook.drain()

    def stop(self) -> None:
        """Stop every running part, newest first."""
        while self._running:
            hook = self._running.pop()
            try:
                hook.stop()
            except Exception:
                # One part that fails to stop must not keep the others.
                logging.exception("stop failed", extra={"part": hook.name})
        logging.info("stopped", extra={"app": self.name})

    def request_stop(self) -> None:
        """Make :meth:`run` drain and return; safe to call again."""
        self._stop_requests.put("a call")

    def run(self) -> None:
        """Start, wait for SIGTERM or SIGINT, drain and stop.

        A second signal changes nothing: an impatient supervisor must not
        turn a planned stop into one that cuts requests.
        """
        previous = {
            num: signal.signal(num, self._on_signal)
            for num in (signal.SIGTERM, signal.SIGINT)
        }
        try:
            self.start()
            why = self._stop_requests.get()
            logging.info("stopping", extra={"asked_by": why})
            self.drain()
        finally:
            self.stop()
            for num, handler in previous.items():
                signal.signal(num, handler)

    def _on_signal(self, num: int, frame: types.FrameType | None) -> None:
        # Nothing else: locks of the interrupted code may be held, that of
        # the log included.
        del frame
        self._stop_requests.put(signal.Signals(num).name)


__all__ = ["Application", "Hook"]
