# SPDX-License-Identifier: Apache-2.0
"""Backend servers that refuse requests without naming a time; no I/O.

A server that refuses answers within milliseconds. It looks idle and would
attract most of the load.
"""

import collections
from collections.abc import Iterable
import dataclasses
import datetime
from typing import final

from lugcross import clock as clock_lib
from lugcross import desired

#: Consecutive refusals, at all processes together, after which a server
#: counts as refusing. A server that was merely full has a free slot again by
#: the time of its second request.
_REFUSALS_TO_COUNT = 2
#: Age at which the refusals of a server are forgotten. A server that nobody
#: has probed for so long is tried like any other.
_MAX_AGE = datetime.timedelta(seconds=5)
#: How long a change is repeated in heartbeats. Other failure domains get one
#: heartbeat each 0.2 s.
_CHANGE_REPORT_PERIOD = datetime.timedelta(seconds=0.3)
#: Number of servers, those that changed last, that one heartbeat reports.
_MAX_REPORTED_SERVERS = 8
#: Name under which this process's own refusals are kept.
_OWN = ""


@final
@dataclasses.dataclass(frozen=True)
class Refusals:
    """Refusals by one server that one process has seen.

    :param count: number since the server last accepted a request.
    :param last_at: when the last one was received.
    """

    count: int
    last_at: clock_lib.Instant


@final
@dataclasses.dataclass(frozen=True)
class ServerReport:
    """What one process has seen of one server.

    :param refusals: refusals since the server last accepted a request, if any.
    :param accepted_at: when the last request that it accepted was sent; None
        if it has accepted none since a refusal.
    """

    key: desired.BackendKey
    refusals: Refusals | None
    accepted_at: clock_lib.Instant | None


@final
@dataclasses.dataclass
class _Entry:
    """What is known of a server that has refused requests lately.

    :param refusals: by the name of the process that saw them; only the latest
        ones that matter.
    :param accepted_at: when the last request that it accepted was sent.
    :param updated_at: when this entry last changed.
    """

    updated_at: clock_lib.Instant
    refusals: dict[str, Refusals] = dataclasses.field(default_factory=dict)
    accepted_at: clock_lib.Instant | None = None

    @property
    def is_refusing(self) -> bool:
        """Whether there were enough refusals since it accepted a request."""
        count = sum(one.count for one in self.refusals.values())
        return count >= _REFUSALS_TO_COUNT

    def add(self, node: str, refusals: Refusals) -> None:
        """Replace what a process has seen."""
        if self.accepted_at is None or refusals.last_at > self.accepted_at:
            self.refusals[node] = refusals
        if len(self.refusals) > _REFUSALS_TO_COUNT:
            others = (one for one in self.refusals if one != _OWN)
            del self.refusals[
                min(others, key=lambda one: self.refusals[one].last_at)
            ]

    def accept(self, sent_at: clock_lib.Instant) -> None:
        """Drop the refusals before a request that the server accepted."""
        if self.accepted_at is None or sent_at > self.accepted_at:
            self.accepted_at = sent_at
        self.refusals = {
            node: one
            for node, one in self.refusals.items()
            if one.last_at > sent_at
        }


@final
class RefusingServers:
    """Backend servers that refuse whatever they are sent.

    Each process reports the refusals that it sees to its peers, so that not
    each of them has to find out with requests of its own.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        #: Ordered by time of the last update, oldest first.
        self._entries: collections.OrderedDict[desired.BackendKey, _Entry] = (
            collections.OrderedDict()
        )
        #: When this process itself last saw a refusal by a server, or the
        #: first accepted request after it; oldest first.
        self._seen_at: dict[desired.BackendKey, clock_lib.Instant] = {}
        self._servers: frozenset[desired.BackendKey] = frozenset()

    def servers(self) -> frozenset[desired.BackendKey]:
        """Return the refusing servers.

        Returns the same object as long as nothing has changed.
        """
        self._drop_expired()
        return self._servers

    def last_refusal_at(self, key: desired.BackendKey) -> clock_lib.Instant:
        """Return when a refusing server last refused a request."""
        return max(one.last_at for one in self._entries[key].refusals.values())

    def record_refusal(self, key: desired.BackendKey) -> None:
        """Record that a server refused a request of this process."""
        entry = self._touch(key)
        before = entry.refusals.get(_OWN)
        count = before.count + 1 if before else 1
        entry.add(_OWN, Refusals(count, entry.updated_at))
        self._record_seen(key)
        self._refresh(key)

    def record_accepted(
        self, key: desired.BackendKey, sent_at: clock_lib.Instant
    ) -> None:
        """Record that a server accepted a request of this process.

        This outdates only refusals before the request was sent: a server that
        refuses all new requests may still complete older ones.

        :param sent_at: when the request was sent.
        """
        entry = self._entries.get(key)
        if entry is None or not entry.refusals:
            return
        before = len(entry.refusals)
        entry.accept(sent_at)
        if len(entry.refusals) < before:
            self._touch(key)
            self._record_seen(key)
            self._refresh(key)

    def merge(self, node: str, reports: Iterable[ServerReport]) -> None:
        """Merge the reports of a peer.

        :param node: name of the peer.
        """
        for one in reports:
            entry = self._touch(one.key)
            if one.accepted_at is not None:
                entry.accept(one.accepted_at)
            if one.refusals is not None:
                entry.add(node, one.refusals)
            self._refresh(one.key)

    def own_reports(self) -> list[ServerReport]:
        """Return the reports to send with the next heartbeat."""
        since = self._clock.monotonic() - _CHANGE_REPORT_PERIOD
        for key, at in list(self._seen_at.items()):
            if at >= since:
                break
            del self._seen_at[key]
        reported = list(self._seen_at)[-_MAX_REPORTED_SERVERS:]
        return [self._own_report(key) for key in reported]

    def _own_report(self, key: desired.BackendKey) -> ServerReport:
        entry = self._entries[key]
        return ServerReport(key, entry.refusals.get(_OWN), entry.accepted_at)

    def _touch(self, key: desired.BackendKey) -> _Entry:
        """Return the entry of a server as the one updated last."""
        now = self._clock.monotonic()
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = _Entry(now)
        entry.updated_at = now
        self._entries.move_to_end(key)
        return entry

    def _record_seen(self, key: desired.BackendKey) -> None:
        self._seen_at.pop(key, None)
        self._seen_at[key] = self._clock.monotonic()

    def _refresh(self, key: desired.BackendKey) -> None:
        """Bring the set of refusing servers up to date with one entry."""
        entry = self._entries.get(key)
        is_refusing = entry is not None and entry.is_refusing
        if is_refusing and key not in self._servers:
            self._servers |= {key}
        elif not is_refusing and key in self._servers:
            self._servers -= {key}

    def _drop_expired(self) -> None:
        limit = self._clock.monotonic() - _MAX_AGE
        while self._entries:
            key = next(iter(self._entries))
            if self._entries[key].updated_at > limit:
                return
            del self._entries[key]
            self._seen_at.pop(key, None)
            self._refresh(key)
