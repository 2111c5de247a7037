# SPDX-License-Identifier: Apache-2.0
"""Publishing a change: accepted means read back from the log."""

from collections.abc import Callable
import dataclasses
import datetime
import enum
from typing import final

from lugcross.cfg import change as change_lib
from lugcross.cfg import replay
from lugcross.cfg import store as store_lib
from lugcross import errors
from lugcross import ids
from lugcross import logservice


class Standing(enum.Enum):
    """What an operator hears of a change."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_KNOWN_YET = "not-known-yet"
    NOT_APPENDED = "not-appended"


@final
@dataclasses.dataclass(frozen=True, kw_only=True)
class Receipt:
    """Answer to an operator about one change.

    :param current: revision of the object now, for the next change.
    :param holder: author of that revision.
    """

    id: ids.ChangeId
    standing: Standing
    reason: str = ""
    offset: ids.Offset = ids.Offset(0)
    current: ids.Revision = ids.Revision(0)
    holder: str = ""


@final
class Publisher:
    """Appends changes and tells what became of them.

    :param patience: how long to read on for a change.
    :param published: called after an append, so that this node reads
        the log though it is not a relay.
    """

    def __init__(
        self,
        log: logservice.Log,
        store: store_lib.Store,
        *,
        patience: datetime.timedelta,
        published: Callable[[], None],
    ) -> None:
        self._log = log
        self._store = store
        self._patience = patience
        self._published = published

    def publish(self, change: change_lib.Change) -> Receipt:
        """Append ``change`` and return what became of it.

        A change that could not be valid now is still refused only by
        the log's order, unless it is refused here before the append,
        which spares an append and harms nobody.
        """
        verdict, reason = replay.judge(self._store.config, change)
        if verdict is replay.Verdict.REPEATED:
            return self.ask(change.id)
        if verdict is not replay.Verdict.ACCEPTED:
            return self._refused(change, reason)
        try:
            self._log.append(change_lib.STREAM, change_lib.encode(change))
            self._published()
        except errors.LogThrottledError as exc:
            return Receipt(
                id=change.id, standing=Standing.NOT_APPENDED, reason=str(exc)
            )
        except errors.AppendUnknownError:
            # Settled by reading on: a guess could lose a change or
            # tell an operator that it holds when it does not.
            self._published()
        return self.ask(change.id)

    def ask(self, change: ids.ChangeId) -> Receipt:
        """Return what became of the change with this id."""
        applied = self._store.wait_settled(change, self._patience)
        if applied is None:
            return Receipt(
                id=change,
                standing=Standing.NOT_KNOWN_YET,
                reason=(
                    "the log has not shown this change yet; ask again "
                    f"with: lugcross ctl change {change}"
                ),
            )
        accepted = applied.verdict is replay.Verdict.ACCEPTED
        return Receipt(
            id=change,
            standing=Standing.ACCEPTED if accepted else Standing.REJECTED,
            reason=applied.reason,
            offset=applied.offset,
            current=applied.current,
            holder=applied.holder,
        )

    def _refused(self, change: change_lib.Change, reason: str) -> Receipt:
        ref = change.op.ref
        item = self._store.config.items.get(ref)
        return Receipt(
            id=change.id,
            standing=Standing.REJECTED,
            reason=reason,
            current=item.revision if item else ids.Revision(0),
            holder=item.author if item else "",
        )
