# SPDX-License-Identifier: Apache-2.0
"""Passing the configuration on over links, without I/O.

Each node tells its peers what it has and sends them what they lack. So
a change spreads from the few nodes that read the log to all others, and
a node that starts while the log is away gets what its peers hold.
"""

import collections
from collections.abc import Hashable
from collections.abc import Sequence
import dataclasses
from typing import final

from absl import logging

from lugcross.cfg import snapshot
from lugcross.cfg import store as store_lib
from lugcross import errors
from lugcross import ids
from lugcross import logservice
from lugcross import wire

#: Newest records that are kept for peers which lack only a few.
RECENT = 512
#: Records in one message.
BATCH = 128


@final
@dataclasses.dataclass(frozen=True)
class Post:
    """Send a message on a link."""

    link: Hashable
    msg: wire.Message


@final
class Feed:
    """One node's part in passing the configuration on.

    Call it from one thread. It changes the store; what others change
    there reaches it by :meth:`on_store`.
    """

    def __init__(self, store: store_lib.Store) -> None:
        self._store = store
        self._recent: collections.deque[logservice.Record] = collections.deque(
            maxlen=RECENT
        )
        self._has: dict[Hashable, ids.Offset] = {}
        self._parts: dict[Hashable, snapshot.Collector] = {}

    def on_link(self, link: Hashable) -> list[Post]:
        """Take a new link and say what is here."""
        self._has[link] = ids.Offset(-1)
        return [Post(link, self._have())]

    def offset_of(self, link: Hashable) -> ids.Offset:
        """Return what a peer is known to have; 0 while it is not known."""
        return max(ids.Offset(0), self._has.get(link, ids.Offset(0)))

    def on_link_lost(self, link: Hashable) -> None:
        """Forget a link."""
        self._has.pop(link, None)
        self._parts.pop(link, None)

    def on_store(self, records: Sequence[logservice.Record]) -> list[Post]:
        """Pass on what this node has newly put in force.

        :param records: as they came; none after a snapshot.
        """
        if not records:
            self._recent.clear()
        self._recent.extend(records)
        posts = []
        for link, has in list(self._has.items()):
            if 0 <= has < self._store.config.offset:
                posts += self._send_missing(link)
        return posts

    def on_message(self, link: Hashable, msg: wire.Message) -> list[Post]:
        """Take a message of the feed; others change nothing."""
        if isinstance(msg, wire.ConfigStatus):
            return self._on_have(link, msg)
        if isinstance(msg, wire.ConfigRecords):
            return self._on_records(link, msg)
        if isinstance(msg, wire.ConfigSnapshotPart):
            self._on_snapshot(link, msg)
        return []

    def _have(self) -> wire.ConfigStatus:
        config = self._store.config
        return wire.ConfigStatus(offset=config.offset, chain=config.chain)

    def _on_have(self, link: Hashable, msg: wire.ConfigStatus) -> list[Post]:
        config = self._store.config
        self._has[link] = msg.offset
        if msg.offset == config.offset and msg.chain != config.chain:
            # One of the two was given wrong records; the log decides.
            logging.error("peer differs at the same offset")
            self._store.doubt("a peer holds other records at this offset")
            return []
        if msg.offset < config.offset:
            return self._send_missing(link)
        return []

    def _on_records(
        self, link: Hashable, msg: wire.ConfigRecords
    ) -> list[Post]:
        records = [
            logservice.Record(ids.Offset(msg.first + num), data)
            for num, data in enumerate(msg.records)
        ]
        last = ids.Offset(msg.first + len(records) - 1)
        self._has[link] = max(last, self._has.get(link, last))
        try:
            self._store.apply(records)
        except errors.ReplayGapError:
            # It sent what it thought was missing; say what is.
            return [Post(link, self._have())]
        self._store.heard_from_peer()
        return []

    def _on_snapshot(
        self, link: Hashable, msg: wire.ConfigSnapshotPart
    ) -> None:
        collector = self._parts.setdefault(link, snapshot.Collector())
        try:
            collector.add(snapshot.decode(msg.part))
            if not collector.newest:
                return
            config = snapshot.join(collector.newest)
        except errors.ChangeError as exc:
            logging.warning("bad snapshot", extra={"why": str(exc)})
            return
        finally:
            if collector.newest:
                del self._parts[link]
        self._has[link] = config.offset
        self._store.adopt(config)
        self._store.heard_from_peer()

    def _send_missing(self, link: Hashable) -> list[Post]:
        config = self._store.config
        has = self._has[link]
        self._has[link] = config.offset
        missing = [one for one in self._recent if one.offset > has]
        if missing and missing[0].offset == has + 1:
            return [
                Post(link, _records(missing[start : start + BATCH]))
                for start in range(0, len(missing), BATCH)
            ]
        return [
            Post(link, wire.ConfigSnapshotPart(part=snapshot.encode(part)))
            for part in snapshot.split(config)
        ]


def _records(records: Sequence[logservice.Record]) -> wire.ConfigRecords:
    return wire.ConfigRecords(
        first=records[0].offset,
        records=tuple(record.data for record in records),
    )
