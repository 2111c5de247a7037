# SPDX-License-Identifier: Apache-2.0
"""One request's story, told from the log lines of all processes.

What touched the request comes in order of time; between that, and from
before it, what the processes that touched it believed: the state that was
in force, whether they had the store, groups that were broken, maps that
changed. What became of its other tries, wherever they came, is part of it
where their lines tell that they are one request.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import json
from typing import Any
from typing import final

#: Messages by which a process tells what it believes; the last of each
#: before a request came still held when it did.
STATE_MESSAGES = frozenset(
    {
        "desired state",
        "expert map leadership",
        "expert map switched",
        "group broken",
        "group opened",
        "lease generation changed",
        "lease superseded",
        "pass time jumped",
        "settings rejected",
        "settings reloaded",
        "started",
        "stop requested",
        "store lost",
        "store regained",
    }
)
#: Messages that replace each other: the later of them is what holds.
_SUPERSEDES = {
    "group opened": "group broken",
    "store regained": "store lost",
}
#: Fields that stand in each line's own columns.
_COLUMN_FIELDS = frozenset({"at", "node", "level", "module", "message"})


@final
@dataclasses.dataclass(frozen=True)
class LogLine:
    """One log line.

    :param at: seconds since 1970, by the clock of its host.
    :param fields: all that the line says beside time, node and message.
    """

    at: float
    node: str
    message: str
    fields: dict[str, Any]

    @property
    def request(self) -> str:
        """The request that it is about; empty if it is about none."""
        return str(self.fields.get("request", ""))

    @property
    def fingerprint(self) -> str:
        """What all tries of the request share; empty if not told."""
        return str(self.fields.get("same") or "")


@final
class LogReader:
    """Reads log lines; what is none is counted and never fatal.

    :ivar malformed_count: lines that hold no whole JSON object of ours.
    :ivar dropped_count: lines that processes say they have left out.
    """

    def __init__(self) -> None:
        self.malformed_count = 0
        self.dropped_count = 0

    def read(self, texts: Iterable[str]) -> Iterator[LogLine]:
        """Return the lines; whatever stands before an object is skipped."""
        for text in texts:
            if not text.strip():
                continue
            line = _parse_line(text)
            if line is None:
                self.malformed_count += 1
                continue
            self.dropped_count += int(line.fields.get("left_out", 0))
            yield line


def _parse_line(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        raw = json.loads(text[start:])
        return LogLine(
            at=float(raw["at"]),
            node=str(raw["node"]),
            message=str(raw["message"]),
            fields={k: v for k, v in raw.items() if k not in _COLUMN_FIELDS},
        )
    except (ValueError, KeyError, TypeError):
        return None


def build_timeline(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return what concerns a request, in order of time.

    :param request: the caller's id of one attempt.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.request == request]
    if not own:
        return []
    shared = {line.fingerprint for line in own if line.fingerprint}
    tries = [
        line
        for line in ordered
        if line.fingerprint in shared and line.request != request
    ]
    nodes = {line.node for line in own}
    states = [
        line
        for line in ordered
        if line.node in nodes and line.message in STATE_MESSAGES
    ]
    before = _latest_states(states, own[0].at)
    during = [one for one in states if own[0].at <= one.at <= own[-1].at]
    found = [*before, *own, *tries, *during]
    return sorted(found, key=lambda line: line.at)


def _latest_states(lines: Sequence[LogLine], until: float) -> list[LogLine]:
    """Return what each node believed at a moment."""
    newest: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        if line.at < until:
            kind = _SUPERSEDES.get(line.message, line.message)
            newest[line.node, kind] = line
    return list(newest.values())
