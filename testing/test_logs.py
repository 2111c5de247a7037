# SPDX-License-Identifier: Apache-2.0
"""Logging must never block a process, whatever the reader does."""

import json
import logging
import os

from lugcross import clock as clock_lib
from lugcross import logs


def _record(text: str) -> logging.LogRecord:
    return logging.LogRecord("x", logging.INFO, "f", 1, text, None, None)


def _handler(fd: int) -> logs.NonBlockingHandler:
    handler = logs.NonBlockingHandler(fd, clock_lib.ManualClock())
    handler.setFormatter(logs.JsonFormatter("n1"))
    return handler


def test_stalled_reader_loses_lines_without_blocking():
    out, into = os.pipe()
    handler = _handler(into)
    # Writing to the full pipe would block forever.
    for _ in range(500):
        handler.emit(_record("x" * 1000))
    assert handler.dropped_lines > 0
    os.read(out, 1 << 20)
    handler.emit(_record("after"))
    last = os.read(out, 1 << 20).decode().splitlines()[-1]
    assert json.loads(last)["left_out"] > 0
    assert handler.dropped_lines == 0


def test_excess_lines_are_dropped_and_counted():
    out, into = os.pipe()
    handler = _handler(into)
    written = 0
    for _ in range(2000):
        handler.emit(_record("x"))
        if not handler.dropped_lines:
            written += os.read(out, 1 << 20).count(b"\n")
    assert written + handler.dropped_lines == 2000
    assert handler.dropped_lines > 1000


def test_closed_reader_causes_no_error():
    out, into = os.pipe()
    handler = _handler(into)
    os.close(out)
    handler.emit(_record("x"))
    assert handler.dropped_lines == 1
