# SPDX-License-Identifier: Apache-2.0
"""Logs as JSON lines: on standard error, or bounded on standard output."""

import json
import logging as std_logging
import os
import select
from typing import Any
from typing import final

from absl import flags
from absl import logging

from lugcross import clock as clock_lib

_STANDARD_ATTRIBUTES = frozenset(vars(std_logging.makeLogRecord({}))) | {
    "message"
}


@final
class JsonFormatter(std_logging.Formatter):
    """One JSON object a line: time, level, node, message and extras."""

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line for ``record``."""
        line: dict[str, Any] = {
            "at": round(record.created, 6),
            "level": record.levelname.lower(),
            "node": self._node,
            "module": record.module,
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD_ATTRIBUTES and not name.startswith("_"):
                line[name] = value
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


#: Lines that a process may write in a second, and in a burst; several
#: times what a busy process needs. Past that they are counted.
MAX_LINES_PER_S = 300.0
_MAX_BURST_LINES = 600.0
#: Longest line. A pipe takes up to this in one piece, so that a line
#: whose pipe has room is written without waiting.
_MAX_LINE_BYTES = 4096


@final
class NonBlockingHandler(std_logging.Handler):
    """Writes lines to a descriptor; drops and counts what would wait.

    A reader that has stopped, or a flood of lines, must hold up no
    request. The next line that is written tells how many were left out.

    :param fd: file descriptor, usually of standard output.
    """

    def __init__(self, fd: int, clock: clock_lib.Clock) -> None:
        super().__init__()
        self._fd = fd
        self._clock = clock
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self._tokens = _MAX_BURST_LINES
        self._refilled_at = clock.monotonic()
        self.dropped_lines = 0

    def emit(self, record: std_logging.LogRecord) -> None:
        """Write one record, unless that would wait."""
        if not self._take_token() or not self._poll.poll(0):
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            record.left_out = self.dropped_lines
        line = self.format(record).encode()[: _MAX_LINE_BYTES - 1] + b"\n"
        try:
            os.write(self._fd, line)
            self.dropped_lines = 0
        except OSError:
            # Nobody reads any more; there is nowhere to tell it.
            self.dropped_lines += 1

    def _take_token(self) -> bool:
        now = self._clock.monotonic()
        earned = (now - self._refilled_at).total_seconds() * MAX_LINES_PER_S
        self._tokens = min(_MAX_BURST_LINES, self._tokens + earned)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def set_up_nonblocking_logging(
    node: str, level: str, fd: int
) -> NonBlockingHandler:
    """Send all logs of this process to ``fd``, bounded.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    flags.FLAGS.mark_as_parsed()
    handler = NonBlockingHandler(fd, clock_lib.SystemClock())
    handler.setFormatter(JsonFormatter(node))
    root = std_logging.getLogger()
    root.handlers = [handler]
    absl_logger = logging.get_absl_logger()
    absl_logger.handlers = []
    absl_logger.propagate = True
    logging.set_verbosity(level)
    root.setLevel(absl_logger.level)
    std_logging.getLogger("websockets").setLevel(std_logging.ERROR)
    return handler


def set_up_logging(node: str, level: str) -> None:
    """Send all logs of this process to standard error as JSON lines.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    """
    # Settings come from YAML, not from absl's flags; unparsed flags
    # would put a line that is not JSON before the first.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(node))
    logging.use_absl_handler()
    logging.set_verbosity(level)
    # Libraries that log each connection would drown what matters.
    for name in ("websockets", "urllib3", "opentelemetry"):
        std_logging.getLogger(name).setLevel(std_logging.ERROR)
