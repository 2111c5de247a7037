# SPDX-License-Identifier: Apache-2.0
"""Logging as JSON lines, to standard error or, rate-limited, to a file."""

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
    """Formats a record as a line of JSON: time, level, node, message, extras.

    :param node: name of this process.
    """

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line without a line break."""
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


#: Rate limit of a process's log lines; several times what a busy process
#: writes. Excess lines are dropped and counted.
MAX_LINES_PER_S = 300.0
#: Lines that may exceed the rate in a burst.
_MAX_BURST_LINES = 600.0
#: Longer lines are cut. A pipe that is ready for writing takes this many bytes
#: at once (``PIPE_BUF`` on Linux), so the write does not block.
_MAX_LINE_BYTES = 4096


@final
class NonBlockingHandler(std_logging.Handler):
    """Writes lines to a file descriptor; drops those that would block.

    A stalled reader or a flood of log lines must not delay requests. The next
    line written reports the number of dropped lines in its field ``left_out``.

    :param fd: file descriptor, usually of standard output.
    :ivar dropped_lines: lines dropped since the last one written.
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
        """Write a record, or drop it if it would block or exceed the rate."""
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
            # The reader is gone, so there is nowhere to report the error.
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
    """Send all logs of this process to ``fd`` without blocking.

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
    # Settings come from YAML, not from absl's flags. With unparsed flags, absl
    # would write a warning that is not JSON.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(node))
    logging.use_absl_handler()
    logging.set_verbosity(level)
    # These libraries log every connection.
    for name in ("websockets", "urllib3", "opentelemetry"):
        std_logging.getLogger(name).setLevel(std_logging.ERROR)
