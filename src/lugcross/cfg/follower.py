# SPDX-License-Identifier: Apache-2.0
"""Reads the log into a store: snapshot first, then the tail."""

import datetime
import random
import threading
from typing import final

from absl import logging

from lugcross.cfg import change as change_lib
from lugcross.cfg import replay
from lugcross.cfg import snapshot
from lugcross.cfg import store as store_lib
from lugcross import clock as clock_lib
from lugcross import errors
from lugcross import ids
from lugcross import logservice

#: Records after the newest snapshot that make a new one worth writing.
SNAPSHOT_EVERY = 500
#: A snapshot is written anew before the log lets the old one expire.
SNAPSHOT_AGE = clock_lib.seconds(3 * 3600)

_RETRY_FIRST = clock_lib.seconds(0.1)
#: A quarter of the 4 s within which a change is to be in force: a log that
#: is back must be found in time.
_RETRY_MOST = clock_lib.seconds(1)
_NO_REST = datetime.timedelta()
#: Writers wait up to so long, so that most see another's snapshot first.
_WRITE_JITTER_S = 5.0


@final
class Follower:
    """Thread that reads the configuration stream into a store.

    A relay follows the stream all the time. Others read it once at the
    start and later only when a peer's records are in doubt or no peer
    is left.

    :param poll_s: how long one read waits for new records, in seconds.
    :param writes: whether this node writes snapshots, too.
    """

    def __init__(
        self,
        log: logservice.Log,
        store: store_lib.Store,
        *,
        clock: clock_lib.Clock,
        poll_s: float,
        writes: bool = False,
    ) -> None:
        self._log = log
        self._store = store
        self._clock = clock
        self._poll_s = poll_s
        self._writes = writes
        self._changed = threading.Condition()
        self._stopping = False
        self._relay = True
        self._wanted = False
        self._caught_up = False
        self._answered = True
        self._retry = _RETRY_FIRST
        self._collector = snapshot.Collector()
        self._snapshots_read = ids.Offset(0)
        self._covered = ids.Offset(0)
        self._covered_at = clock.monotonic()
        self._thread = threading.Thread(
            target=self._run, name="cfg-follower", daemon=True
        )

    @property
    def relay(self) -> bool:
        """Whether this node follows the log all the time."""
        return self._relay

    def start(self) -> None:
        """Begin to follow."""
        self._thread.start()

    def stop(self) -> None:
        """Stop following; does not wait for a read in progress."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def look(self) -> None:
        """Read the log once more, though this node is not a relay."""
        with self._changed:
            self._wanted = True
            self._changed.notify_all()

    def set_relay(self, relay: bool) -> None:
        """Follow the log all the time, or leave that to others."""
        with self._changed:
            self._relay = relay
            self._changed.notify_all()

    def read_once(self, *, wait_s: float = 0.0) -> None:
        """Read what is new in the stream.

        :raises errors.LogUnavailableError: when it cannot be read.
        :raises errors.OffsetExpiredError: when records are gone that no
            snapshot covers.
        """
        if self._store.doubted:
            self._read_anew()
            return
        if not self._caught_up:
            self._adopt_snapshot()
        try:
            end = self._read_tail(wait_s)
        except errors.OffsetExpiredError:
            # Away for longer than the log keeps records.
            self._adopt_snapshot()
            end = self._read_tail(0.0)
        if self._store.config.offset + 1 >= end:
            self._caught_up = True
            self._store.heard_all()

    def write_once(self) -> bool:
        """Write a snapshot if one is due; tell whether it was.

        :raises errors.PlatformError: when that did not work; what was
            written until then does no harm.
        """
        if not self.due():
            return False
        self._read_snapshots()
        if not self.due():
            return False
        config = self._store.config
        for part in snapshot.split(config):
            self._log.append(snapshot.STREAM, snapshot.encode(part))
        self._covered = config.offset
        self._covered_at = self._clock.monotonic()
        logging.info("snapshot written", extra={"covers": config.offset})
        return True

    def due(self) -> bool:
        """Tell whether a new snapshot should be written."""
        behind = self._store.config.offset - self._covered
        old = self._clock.monotonic() - self._covered_at > SNAPSHOT_AGE
        return behind >= SNAPSHOT_EVERY or (old and behind > 0)

    def read_next(self) -> datetime.timedelta:
        """Read once more; return how long to rest until the next read.

        After a read that got no answer none waits for news: one sent into
        an outage would hang past its end.
        """
        waits = self._caught_up and self._relay and self._answered
        try:
            self.read_once(wait_s=self._poll_s if waits else 0.0)
        except errors.LugcrossError as exc:
            self._answered = False
            self._store.trouble = str(exc)
            logging.warning("cannot follow", extra={"why": str(exc)})
            # Jitter keeps a whole fleet from returning at once.
            rest = self._retry * random.uniform(0.5, 1)
            self._retry = min(self._retry * 2, _RETRY_MOST)
            return rest
        self._answered = True
        self._retry = _RETRY_FIRST
        return _NO_REST

    def _run(self) -> None:
        while not self._stopping:
            rest = self.read_next()
            if rest:
                self._nap(rest.total_seconds())
            elif self._writes and self._relay and self.due():
                self._nap(random.uniform(0, _WRITE_JITTER_S))
                self._write()
            self._wait_for_duty()

    def _write(self) -> None:
        try:
            self.write_once()
        except errors.LugcrossError as exc:
            self._store.trouble = str(exc)
            logging.warning("no snapshot written", extra={"why": str(exc)})

    def _wait_for_duty(self) -> None:
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    self._stopping
                    or self._relay
                    or self._wanted
                    or self._store.doubted
                    or not self._store.ready
                )
            )
            self._wanted = False

    def _nap(self, seconds: float) -> None:
        with self._changed:
            self._changed.wait_for(lambda: self._stopping, seconds)

    def _read_tail(self, wait_s: float) -> ids.Offset:
        start = ids.Offset(self._store.config.offset + 1)
        batch = self._log.read(change_lib.STREAM, start, wait_s=wait_s)
        self._store.apply(batch.records)
        return batch.end

    def _read_anew(self) -> None:
        """Read all that the log holds, to settle a doubt."""
        self._read_snapshots()
        config = replay.Config()
        if self._collector.newest:
            config = snapshot.join(self._collector.newest)
        while True:
            start = ids.Offset(config.offset + 1)
            batch = self._log.read(change_lib.STREAM, start)
            for record in batch.records:
                config, _ = replay.step(config, record.offset, record.data)
            if config.offset + 1 >= batch.end:
                break
        self._store.replace(config)
        self._store.heard_all()

    def _adopt_snapshot(self) -> None:
        self._read_snapshots()
        if not self._collector.newest:
            return
        config = snapshot.join(self._collector.newest)
        self._store.adopt(config)

    def _read_snapshots(self) -> None:
        while True:
            start = ids.Offset(self._snapshots_read + 1)
            try:
                batch = self._log.read(snapshot.STREAM, start)
            except errors.OffsetExpiredError:
                self._skip_to_oldest()
                continue
            for record in batch.records:
                self._take_part(record)
            self._snapshots_read = ids.Offset(
                max(start - 1, *(r.offset for r in batch.records), 0)
            )
            if self._snapshots_read + 1 >= batch.end:
                return

    def _take_part(self, record: logservice.Record) -> None:
        try:
            self._collector.add(snapshot.decode(record.data))
        except errors.ChangeError as exc:
            logging.warning("part kept out", extra={"why": str(exc)})
            return
        newest = self._collector.newest
        if newest and newest[0].covers > self._covered:
            self._covered = newest[0].covers
            self._covered_at = self._clock.monotonic()

    def _skip_to_oldest(self) -> None:
        # Old snapshots may expire unread: only the newest is of use.
        batch = self._log.read(snapshot.STREAM, ids.Offset(1 << 62))
        self._snapshots_read = ids.Offset(batch.first - 1)
