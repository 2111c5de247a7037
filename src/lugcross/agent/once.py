# SPDX-License-Identifier: Apache-2.0
"""Record of requests that must run at most once, by their keys."""

import collections
import dataclasses
import datetime
import enum
import hashlib
from typing import final
from typing import NamedTuple

from lugcross import clock as clock_lib
from lugcross import ids
from lugcross import wire

#: How long a key is remembered after its request ended.
KEY_KEPT = datetime.timedelta(hours=24)
#: Most keys remembered; new ones are refused beyond it.
MAX_KEYS = 100_000


class Scope(NamedTuple):
    """A key belongs to one workspace and one service."""

    workspace: ids.WorkspaceName
    service: ids.ServiceName
    key: ids.IdempotencyKey


class Finding(enum.Enum):
    """What the record says of a key."""

    NEW = "new"
    SAME = "same"
    OTHER_BODY = "other-body"
    FULL = "full"


@final
@dataclasses.dataclass
class _Entry:
    fingerprint: bytes
    uid: str


def scope_of(dispatch: wire.Dispatch) -> Scope:
    """Return the scope of a dispatch that carries a key."""
    return Scope(
        dispatch.workspace,
        dispatch.service,
        ids.IdempotencyKey(dispatch.once_key),
    )


def fingerprint(dispatch: wire.Dispatch) -> bytes:
    """Return a digest that tells a repeat from another request."""
    text = f"{dispatch.method} {dispatch.path}\n".encode()
    return hashlib.sha256(text + dispatch.body).digest()


@final
class OnceRecord:
    """Which keys this incarnation of the agent has taken."""

    def __init__(self, *, max_keys: int = MAX_KEYS) -> None:
        self._entries: dict[Scope, _Entry] = {}
        self._ended: collections.deque[tuple[clock_lib.Instant, Scope]] = (
            collections.deque()
        )
        self._max_keys = max_keys

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, dispatch: wire.Dispatch) -> Finding:
        """Tell whether a dispatch's key was taken before."""
        entry = self._entries.get(scope_of(dispatch))
        if entry is not None:
            same = entry.fingerprint == fingerprint(dispatch)
            return Finding.SAME if same else Finding.OTHER_BODY
        # Forgetting a key early could run its request twice.
        full = len(self._entries) >= self._max_keys
        return Finding.FULL if full else Finding.NEW

    def uid_of(self, dispatch: wire.Dispatch) -> str:
        """Return the exchange that took the dispatch's key."""
        return self._entries[scope_of(dispatch)].uid

    def take(self, dispatch: wire.Dispatch) -> None:
        """Record the key of a dispatch that was found new."""
        self._entries[scope_of(dispatch)] = _Entry(
            fingerprint(dispatch), dispatch.uid
        )

    def release(self, dispatch: wire.Dispatch) -> None:
        """Forget a key whose request certainly never ran."""
        self._entries.pop(scope_of(dispatch), None)

    def ended(self, dispatch: wire.Dispatch, now: clock_lib.Instant) -> None:
        """Note that the request of a key ended; start its time."""
        self._ended.append((now + KEY_KEPT, scope_of(dispatch)))

    def expire(self, now: clock_lib.Instant) -> list[str]:
        """Forget keys whose time is over; return their exchanges."""
        uids = []
        while self._ended and self._ended[0][0] <= now:
            _, scope = self._ended.popleft()
            uids.append(self._entries.pop(scope).uid)
        return uids
