# SPDX-License-Identifier: Apache-2.0
"""Threads that append claims in groups and read the stream of claims."""

from collections.abc import Callable
import dataclasses
import threading
from typing import final

from absl import logging

from lugcross.agent import claims
from lugcross import clock as clock_lib
from lugcross import errors
from lugcross import ids
from lugcross import logservice

#: How long a claim may wait for the log before it is given up.
PATIENCE = clock_lib.seconds(2)

#: Shortest time between two appends of one agent, in seconds: the log
#: takes about a hundred a second of the whole fleet.
GATHER_S = 0.05

_RETRY_S = 0.1

#: Takes the ruling on the claim of one exchange.
Decide = Callable[[str, claims.Ruling], None]


@final
@dataclasses.dataclass(frozen=True)
class _Waiting:
    """One exchange whose claim is not decided yet."""

    uid: str
    claim: claims.Claim
    since: clock_lib.Instant


@final
class Claimer:
    """Gets a ruling on each claim, from the log's own order.

    While one append is under way claims gather for the next, so that
    the appends do not grow with the requests.

    :param poll_s: how long one read waits for new records, in seconds.
    """

    def __init__(
        self,
        log: logservice.Log,
        index: claims.ClaimIndex,
        decide: Decide,
        *,
        backend: ids.BackendName,
        incarnation: ids.Incarnation,
        clock: clock_lib.Clock,
        poll_s: float,
    ) -> None:
        self._log = log
        self._index = index
        self._decide = decide
        self._backend = backend
        self._incarnation = incarnation
        self._clock = clock
        self._poll_s = poll_s
        self._changed = threading.Condition()
        self._waiting: dict[str, _Waiting] = {}
        self._unsent: dict[bytes, claims.Claim] = {}
        self._caught_up = False
        self._answered = True
        self._append_failed = False
        self._stopping = False
        self._threads = [
            threading.Thread(target=run, name=name, daemon=True)
            for name, run in (
                ("claims-append", self._append_on),
                ("claims-read", self._read_on),
                ("claims-patience", self._give_up_on),
            )
        ]

    @property
    def has_read(self) -> bool:
        """Whether the stream was read to its end once."""
        return self._caught_up

    def start(self) -> None:
        """Begin to read and to append."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop; claims that wait are not decided any more."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def ask(self, uid: str, claim: claims.Claim) -> None:
        """Ask for a ruling; it comes by ``decide`` from any thread."""
        with self._changed:
            now = self._clock.monotonic()
            self._waiting[uid] = _Waiting(uid, claim, now)
            if self._index.rule(claim) is None:
                self._unsent[claim.key] = claim
            self._changed.notify_all()
        self._settle()

    def note(self, claim: claims.Claim) -> None:
        """Append a claim later, for a request that runs already."""
        with self._changed:
            self._unsent[claim.key] = claim
            self._changed.notify_all()

    @property
    def waiting(self) -> int:
        """Claims that are not decided yet."""
        return len(self._waiting)

    def append_once(self) -> None:
        """Append what has gathered, if the stream has been read."""
        with self._changed:
            group = list(self._unsent.values()) if self._caught_up else []
        for part in claims.split(group):
            self._append(part)

    def read_once(self) -> None:
        """Read what is new in the stream and tell what it decides.

        :raises errors.LogUnavailableError: when it cannot be read.
        """
        try:
            self._read()
        except errors.OffsetExpiredError:
            self._start_at_oldest()
        except errors.LogUnavailableError:
            self._answered = False
            raise
        self._answered = True

    def give_up_once(self) -> None:
        """Give up claims that have waited too long for the log."""
        oldest = self._clock.monotonic() - PATIENCE
        with self._changed:
            late = [
                one for one in self._waiting.values() if one.since <= oldest
            ]
            for one in late:
                del self._waiting[one.uid]
        for one in late:
            self._decide(one.uid, claims.Ruling(claims.Verdict.LOG_AWAY))

    def _append_on(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(
                    lambda: (
                        self._stopping or (self._unsent and self._caught_up)
                    )
                )
                if self._stopping:
                    return
            self.append_once()
            # Also after a failure: the log may be asking for less.
            self._pause(_RETRY_S if self._append_failed else GATHER_S)

    def _append(self, part: tuple[claims.Claim, ...]) -> None:
        batch = claims.Batch(self._backend, self._incarnation, part)
        self._append_failed = True
        try:
            self._log.append(claims.STREAM, claims.encode(batch))
        except errors.LogThrottledError:
            return
        except errors.AppendUnknownError:
            # It may be in the log. To append it again does no harm:
            # the first claim of a key counts, and both are ours.
            return
        self._append_failed = False
        with self._changed:
            for claim in part:
                self._unsent.pop(claim.key, None)

    def _read_on(self) -> None:
        while not self._stopping:
            try:
                self.read_once()
            except errors.LugcrossError as exc:
                logging.warning("no claims read", extra={"why": str(exc)})
                self._pause()

    def _read(self) -> None:
        start = ids.Offset(self._index.offset + 1)
        # A read that waits and was sent into an outage hangs past its end.
        waits = self._caught_up and self._answered
        wait_s = self._poll_s if waits else 0.0
        batch = self._log.read(claims.STREAM, start, wait_s=wait_s)
        with self._changed:
            now = self._clock.monotonic()
            for record in batch.records:
                self._index.apply(record.offset, _decode(record), now)
            self._index.expire(now)
            if self._index.offset + 1 >= batch.end:
                self._caught_up = True
            self._changed.notify_all()
        self._settle()

    def _start_at_oldest(self) -> None:
        """Go on where the log still has records.

        What has expired is older than the time that keys are kept for.
        """
        batch = self._log.read(claims.STREAM, ids.Offset(1 << 62))
        with self._changed:
            self._index.start_at(batch.first)

    def _give_up_on(self) -> None:
        while not self._stopping:
            self._pause()
            self.give_up_once()

    def _settle(self) -> None:
        """Tell every waiting exchange whose claim can be ruled on."""
        decided = []
        with self._changed:
            for one in list(self._waiting.values()):
                ruling = self._index.rule(one.claim)
                if ruling is not None:
                    decided.append((one.uid, ruling))
                    del self._waiting[one.uid]
                    self._unsent.pop(one.claim.key, None)
        for uid, ruling in decided:
            self._decide(uid, ruling)

    def _pause(self, seconds: float = _RETRY_S) -> None:
        with self._changed:
            self._changed.wait_for(lambda: self._stopping, seconds)


def _decode(record: logservice.Record) -> claims.Batch:
    try:
        return claims.decode(record.data)
    except errors.ChangeError as exc:
        logging.warning("claims kept out", extra={"why": str(exc)})
        return claims.Batch(ids.BackendName(""), ids.Incarnation(""), ())
