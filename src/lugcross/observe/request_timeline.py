# SPDX-License-Identifier: Apache-2.0
"""Timeline of one request, assembled from the logs of all processes.

It contains the log lines of the request, in order of time, and the state of
the processes that handled it: the desired state in force, whether they
reached the store, broken rank groups, expert map switches. It also contains
the lines of the caller's other attempts at the same request, on any process,
where a fingerprint identifies them, and the crashes of servers that made it
a suspect.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import json
from typing import Any
from typing import final

#: Messages that report a state of a process. The latest of each before a
#: request arrived still applied when it did.
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
        "store unavailable",
        "store available again",
    }
)
#: Message that reports the crash of a backend server.
CRASH_MESSAGE = "server crashed while running a request"
#: Messages that end a state, with the message that began it. Only the later
#: of the two applies.
_STATE_ENDS = {
    "group opened": "group broken",
    "store available again": "store unavailable",
}
#: Fields that are attributes of ``LogLine`` or not shown at all.
_COLUMN_FIELDS = frozenset({"at", "node", "level", "module", "message"})


@final
@dataclasses.dataclass(frozen=True)
class LogLine:
    """A parsed log line.

    :param at: Unix time in seconds, by the clock of its host.
    :param node: name of the process that wrote it.
    :param fields: its other fields, without level and module.
    """

    at: float
    node: str
    message: str
    fields: dict[str, Any]

    @property
    def request(self) -> str:
        """Id of the request concerned; empty if there is none."""
        return str(self.fields.get("request", ""))

    @property
    def fingerprint(self) -> str:
        """Fingerprint shared by the caller's attempts at the same request.

        Empty if the line has none.
        """
        return str(self.fields.get("same") or "")

    @property
    def suspect(self) -> str:
        """Fingerprint of the request or prompt part that is suspected.

        Empty if the line has none.
        """
        return str(self.fields.get("suspect") or "")

    def is_crash_under(self, suspects: Collection[str]) -> bool:
        """Return whether it reports a crash under any of some suspects."""
        return self.message == CRASH_MESSAGE and self.suspect in suspects


@final
class LogReader:
    """Parses log lines; skips and counts malformed ones.

    :ivar malformed_count: lines without a complete JSON object in lugcross's
        log format.
    :ivar dropped_count: lines that processes report as dropped, in the field
        ``left_out``.
    """

    def __init__(self) -> None:
        self.malformed_count = 0
        self.dropped_count = 0

    def read(self, texts: Iterable[str]) -> Iterator[LogLine]:
        """Yield the parsed lines; text before the JSON object is ignored."""
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
    """Return the lines that concern a request, in order of time.

    :param request: request id of one of the caller's attempts.
    :returns: lines of all its attempts and the states of the processes that
        handled ``request``; empty if no line has that id.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.request == request]
    if not own:
        return []
    fingerprints = {line.fingerprint for line in own if line.fingerprint}
    suspects = {line.suspect for line in own if line.suspect}
    other_attempts = [
        line
        for line in ordered
        if line.request != request
        and (line.fingerprint in fingerprints or line.is_crash_under(suspects))
    ]
    nodes = {line.node for line in own}
    states = [
        line
        for line in ordered
        if line.node in nodes and line.message in STATE_MESSAGES
    ]
    before = _latest_states(states, own[0].at)
    during = [one for one in states if own[0].at <= one.at <= own[-1].at]
    found = [*before, *own, *other_attempts, *during]
    return sorted(found, key=lambda line: line.at)


def _latest_states(lines: Sequence[LogLine], until: float) -> list[LogLine]:
    """Return the latest line of each state of each node before ``until``."""
    newest: dict[tuple[str, str], LogLine] = {}
    for line in lines:
        if line.at < until:
            kind = _STATE_ENDS.get(line.message, line.message)
            newest[line.node, kind] = line
    return list(newest.values())
