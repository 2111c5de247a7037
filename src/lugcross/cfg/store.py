# SPDX-License-Identifier: Apache-2.0
"""The configuration in force in this process, kept up from the log."""

from collections.abc import Callable
from collections.abc import Sequence
import datetime
import random
import threading
from typing import final

from absl import logging

from lugcross.cfg import change as change_lib
from lugcross.cfg import replay
from lugcross import clock as clock_lib
from lugcross import errors
from lugcross import ids
from lugcross import platform

_RETRY_FIRST = clock_lib.seconds(0.1)
_RETRY_MOST = clock_lib.seconds(5)

#: Called with each new configuration and what led to it, in order.
Listener = Callable[[replay.Config, Sequence[replay.Applied]], None]


@final
class Store:
    """Holds the configuration and wakes those who wait for a change."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._config = replay.Config()
        self._changed = threading.Condition()
        self._listeners: list[Listener] = []
        self._heard: clock_lib.Instant | None = None
        self.trouble = "the log has not been read yet"

    @property
    def config(self) -> replay.Config:
        """The configuration in force now."""
        return self._config

    @property
    def ready(self) -> bool:
        """Whether this process has read the log to its end once."""
        return self._heard is not None

    def age(self) -> datetime.timedelta | None:
        """Return how old the knowledge is; none before the first read."""
        if self._heard is None:
            return None
        return self._clock.monotonic() - self._heard

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` on each record from now on."""
        self._listeners.append(listener)

    def apply(self, records: Sequence[platform.Record]) -> None:
        """Put records in force, in order, and tell the listeners once.

        :raises errors.ReplayGapError: when records are missing.
        """
        if not records:
            return
        config = self._config
        results = []
        for record in records:
            config, applied = replay.step(config, record.offset, record.data)
            results.append(applied)
        with self._changed:
            self._config = config
            self._changed.notify_all()
        for applied in results:
            if applied.verdict is replay.Verdict.KEPT_OUT:
                logging.warning("kept out", extra={"why": applied.reason})
        for listener in self._listeners:
            self._tell(listener, config, results)

    def _tell(
        self,
        listener: Listener,
        config: replay.Config,
        results: Sequence[replay.Applied],
    ) -> None:
        try:
            listener(config, results)
        except Exception:
            # A bug in one part must not stop the configuration of all.
            logging.exception("a listener failed")

    def heard_all(self) -> None:
        """Note that the log was just read to its end."""
        self._heard = self._clock.monotonic()
        self.trouble = ""

    def wait_settled(
        self, change: ids.ChangeId, timeout: datetime.timedelta
    ) -> replay.Applied | None:
        """Return what became of ``change``, or none if not known yet."""
        with self._changed:
            self._changed.wait_for(
                lambda: change in self._config.settled,
                timeout.total_seconds(),
            )
            return self._config.settled.get(change)


@final
class Follower:
    """Thread that reads the configuration stream into a store.

    :param poll_s: how long one read waits for new records, in seconds.
    """

    def __init__(
        self, log: platform.Log, store: Store, *, poll_s: float
    ) -> None:
        self._log = log
        self._store = store
        self._poll_s = poll_s
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="cfg-follower", daemon=True
        )

    def start(self) -> None:
        """Begin to follow."""
        self._thread.start()

    def stop(self) -> None:
        """Stop following; does not wait for a read in progress."""
        self._stopping.set()

    def _run(self) -> None:
        retry = _RETRY_FIRST
        while not self._stopping.is_set():
            try:
                self._read_once()
                retry = _RETRY_FIRST
            except errors.LugcrossError as exc:
                self._store.trouble = str(exc)
                logging.warning(
                    "cannot follow the log", extra={"why": str(exc)}
                )
                # Jitter keeps a whole fleet from returning at one moment.
                pause = retry.total_seconds() * random.uniform(0.5, 1)
                self._stopping.wait(pause)
                retry = min(retry * 2, _RETRY_MOST)

    def _read_once(self) -> None:
        start = ids.Offset(self._store.config.offset + 1)
        # The first read must not wait: it decides about readiness.
        wait_s = self._poll_s if self._store.ready else 0.0
        batch = self._log.read(change_lib.STREAM, start, wait_s=wait_s)
        self._store.apply(batch.records)
        if self._store.config.offset + 1 >= batch.end:
            self._store.heard_all()
