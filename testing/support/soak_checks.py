# SPDX-License-Identifier: Apache-2.0
"""What callers and backend servers saw, and which promises it breaks."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum


class Kind(enum.Enum):
    """What may be done with a request."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


#: Statuses that promise that a request has not run.
NOT_RUN = (429, 503)
OK = 200
REFUSED = 503
#: Events of each stream.
EVENTS = 6


def answer_to(kind: Kind, name: str) -> bytes:
    """Return the whole answer that a backend server gives to a request."""
    if kind is Kind.STREAM:
        return b"".join(event(name, num) for num in range(1, EVENTS + 1))
    return b"answer to " + name.encode()


def event(name: str, num: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: %s %d\n\n" % (num, name.encode(), num)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """One request as its caller saw it.

    :param status: 0 where no answer began.
    :param whole: whether the answer had its end.
    :param planned: whether nothing but planned stops was under way.
    """

    name: str
    kind: Kind
    status: int = 0
    body: bytes = b""
    whole: bool = False
    planned: bool = False


@dataclasses.dataclass(frozen=True)
class Version:
    """A version that one life of a process put in force."""

    life: str
    number: int


@dataclasses.dataclass
class History:
    """All that was seen, by callers, backend servers and in logs."""

    calls: list[Call] = dataclasses.field(default_factory=list)
    ran: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    versions: list[Version] = dataclasses.field(default_factory=list)
    errors: list[str] = dataclasses.field(default_factory=list)

    def broken(self) -> list[str]:
        """Return each promise that was broken, and by what."""
        return [
            *self._wrong_answers(),
            *self._parts_of_others(),
            *self._false_refusals(),
            *self._run_twice(),
            *self._cut_by_stops(),
            *_gone_back(self.versions),
            *self.errors,
        ]

    def _wrong_answers(self) -> Iterable[str]:
        for call in self.calls:
            if call.status == OK and call.whole:
                if call.body != answer_to(call.kind, call.name):
                    yield f"{call.name}: not its own whole answer"

    def _parts_of_others(self) -> Iterable[str]:
        for call in self.calls:
            if call.status == OK and not call.whole:
                if not answer_to(call.kind, call.name).startswith(call.body):
                    yield f"{call.name}: a part that is not of its answer"

    def _false_refusals(self) -> Iterable[str]:
        for call in self.calls:
            if call.kind is Kind.UNSAFE and call.status in NOT_RUN:
                if self.ran[call.name]:
                    yield f"{call.name}: ran, though {call.status} was told"

    def _run_twice(self) -> Iterable[str]:
        for call in self.calls:
            if call.kind is Kind.UNSAFE and self.ran[call.name] > 1:
                yield f"{call.name}: ran {self.ran[call.name]} times"

    def _cut_by_stops(self) -> Iterable[str]:
        for call in self.calls:
            if call.planned and self.ran[call.name] and not call.whole:
                yield f"{call.name}: cut by a planned stop"


def _gone_back(versions: Sequence[Version]) -> Iterable[str]:
    newest: dict[str, int] = {}
    for one in versions:
        if one.number < newest.get(one.life, 0):
            yield f"{one.life}: back to version {one.number}"
        newest[one.life] = max(one.number, newest.get(one.life, 0))
