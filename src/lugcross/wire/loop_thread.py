# SPDX-License-Identifier: Apache-2.0
"""An event loop in its own thread, on which all links run."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import concurrent.futures
import threading
from typing import Any
from typing import final
from typing import Generic
from typing import TypeVar

_T = TypeVar("_T")


@final
class LoopThread:
    """Runs an event loop in a thread and coroutines on it."""

    def __init__(self, *, name: str) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """Start the thread and its event loop."""
        self._thread.start()

    def submit(
        self, coro: Coroutine[Any, Any, _T]
    ) -> concurrent.futures.Future[_T]:
        """Run ``coro`` in the event loop; return a future of its result."""
        return asyncio.run_coroutine_threadsafe(coro, self.loop)

    def call(self, coro: Coroutine[Any, Any, _T], *, timeout_s: float) -> _T:
        """Run ``coro`` in the event loop and return its result.

        :raises TimeoutError: after ``timeout_s`` seconds.
        """
        return self.submit(coro).result(timeout_s)

    def stop(self) -> None:
        """Cancel all running tasks and end the thread."""
        if not self._thread.is_alive():
            return
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_forever()
            tasks = asyncio.all_tasks(self.loop)
            for task in tasks:
                task.cancel()
            self.loop.run_until_complete(
                asyncio.gather(*tasks, return_exceptions=True)
            )
        finally:
            self.loop.close()


@final
class Mailbox(Generic[_T]):
    """A queue of items from any thread for a handler on an event loop.

    All items queued since the last wake-up are handled at one wake-up of
    the event loop.

    :param handle: called with each item, in order, in the loop's thread.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handle: Callable[[_T], None],
    ) -> None:
        self._loop = loop
        self._handle = handle
        self._items: collections.deque[_T] = collections.deque()
        self._drain_scheduled = False

    def post(self, item: _T) -> None:
        """Queue ``item``, without blocking."""
        self._items.append(item)
        if self._drain_scheduled:
            return
        self._drain_scheduled = True
        try:
            self._loop.call_soon_threadsafe(self._drain)
        except RuntimeError:
            # The event loop has been closed: no handler will run.
            self._items.clear()

    def _drain(self) -> None:
        # Reset before draining, so that an item posted meanwhile schedules
        # another drain.
        self._drain_scheduled = False
        while self._items:
            self._handle(self._items.popleft())
