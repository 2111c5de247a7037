# SPDX-License-Identifier: Apache-2.0
"""The configuration in force in this process."""

from collections.abc import Callable
from collections.abc import Sequence
import datetime
import threading
from typing import final

from absl import logging

from lugcross.cfg import replay
from lugcross import clock as clock_lib
from lugcross import ids
from lugcross import logservice

#: Called with each new configuration, the records that led to it and
#: what each did; both are empty after a snapshot.
Listener = Callable[
    [replay.Config, Sequence[logservice.Record], Sequence[replay.Applied]],
    None,
]


@final
class Store:
    """Holds the configuration and wakes those who wait for a change.

    Records may come from the log and from peers, in any thread; the
    offset never goes back, whoever offers what.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._config = replay.Config()
        self._changed = threading.Condition(threading.RLock())
        self._listeners: list[Listener] = []
        self._heard: clock_lib.Instant | None = None
        self._doubted = False
        self.trouble = "neither the log nor a peer has told it yet"

    @property
    def config(self) -> replay.Config:
        """The configuration in force now."""
        return self._config

    @property
    def ready(self) -> bool:
        """Whether the log was read to its end or a peer gave its state."""
        return self._heard is not None

    @property
    def doubted(self) -> bool:
        """Whether what is held must be read again from the log."""
        return self._doubted

    def age(self) -> datetime.timedelta | None:
        """Return how old the knowledge is; none before the first."""
        if self._heard is None:
            return None
        return self._clock.monotonic() - self._heard

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` on each change from now on."""
        self._listeners.append(listener)

    def apply(self, records: Sequence[logservice.Record]) -> None:
        """Put records in force, in order, and tell the listeners once.

        :raises errors.ReplayGapError: when records are missing.
        """
        with self._changed:
            fresh = [
                one for one in records if one.offset > self._config.offset
            ]
            if not fresh:
                return
            config = self._config
            results = []
            for record in fresh:
                config, applied = replay.step(
                    config, record.offset, record.data
                )
                results.append(applied)
            self._set(config, fresh, results)

    def adopt(self, config: replay.Config) -> None:
        """Put a snapshot in force, unless it is not newer."""
        with self._changed:
            if config.offset > self._config.offset:
                self._set(config, (), ())

    def replace(self, config: replay.Config) -> None:
        """Put in force what the log itself holds, after a doubt."""
        with self._changed:
            self._doubted = False
            if config.chain != self._config.chain:
                self._set(config, (), ())

    def doubt(self, why: str) -> None:
        """Note that what is held may be wrong."""
        self._doubted = True
        self.trouble = why

    def heard_all(self) -> None:
        """Note that the log was just read to its end."""
        self._heard = self._clock.monotonic()
        self.trouble = ""

    def heard_from_peer(self) -> None:
        """Note that a peer has given what it holds."""
        self._heard = self._clock.monotonic()

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

    def _set(
        self,
        config: replay.Config,
        records: Sequence[logservice.Record],
        results: Sequence[replay.Applied],
    ) -> None:
        self._config = config
        self._changed.notify_all()
        for applied in results:
            if applied.verdict is replay.Verdict.KEPT_OUT:
                logging.warning("kept out", extra={"why": applied.reason})
        for listener in self._listeners:
            self._tell(listener, config, records, results)

    def _tell(
        self,
        listener: Listener,
        config: replay.Config,
        records: Sequence[logservice.Record],
        results: Sequence[replay.Applied],
    ) -> None:
        try:
            listener(config, records, results)
        except Exception:
            # A bug in one part must not stop the configuration of all.
            logging.exception("a listener failed")
