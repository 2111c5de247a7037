# SPDX-License-Identifier: Apache-2.0
"""Logs as JSON lines on standard error."""

import json
import logging as std_logging
from typing import Any
from typing import final

from absl import flags
from absl import logging

_STANDARD = frozenset(vars(std_logging.makeLogRecord({}))) | {"message"}


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
            if name not in _STANDARD and not name.startswith("_"):
                line[name] = value
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def set_up(node: str, level: str) -> None:
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
