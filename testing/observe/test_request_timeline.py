# SPDX-License-Identifier: Apache-2.0
"""Timelines of requests from the log lines of several processes."""

import json
import pathlib

import click.testing

from lugcross.cli import explain
from lugcross.observe import request_timeline


def _line_text(at: float, node: str, message: str, **fields: object) -> str:
    return json.dumps({"at": at, "node": node, "message": message, **fields})


LOG = [
    _line_text(1.0, "n1", "desired state", version=3),
    _line_text(2.0, "n1", "desired state", version=4),
    _line_text(2.5, "n1", "store unavailable", why="busy"),
    _line_text(2.6, "n1", "store available again", after=0.1),
    _line_text(2.7, "n2", "group broken", group="g"),
    _line_text(3.0, "n1", "attempt ended", request="r1", event="not-run"),
    _line_text(3.1, "n1", "group broken", group="g"),
    _line_text(3.2, "n1", "refused", request="r1", status=503),
    _line_text(3.3, "n1", "refused", request="r2", status=503),
    _line_text(3.4, "n1", "group opened", group="g"),
]


def _timeline(texts: list[str], request: str) -> list[tuple[float, str]]:
    reader = request_timeline.LogReader()
    found = request_timeline.build_timeline(reader.read(texts), request)
    return [(line.at, line.message) for line in found]


def test_timeline_contains_own_lines_and_state_of_their_process() -> None:
    assert _timeline(LOG, "r1") == [
        (2.0, "desired state"),
        (2.6, "store available again"),
        (3.0, "attempt ended"),
        (3.1, "group broken"),
        (3.2, "refused"),
    ]


def test_timeline_contains_the_crashes_under_the_same_prompt_part() -> None:
    crash = "server crashed while running a request"
    lines = [
        _line_text(1.0, "n2", crash, request="r1", same="f1", suspect="p"),
        _line_text(2.0, "n3", crash, request="r2", same="f2", suspect="p"),
        _line_text(2.5, "n3", crash, request="r3", same="f3", suspect="q"),
        _line_text(3.0, "n1", "refused", request="r4", suspect="p"),
        _line_text(4.0, "n1", "refused", request="r5", suspect="p"),
    ]
    assert _timeline(lines, "r4") == [
        (1.0, crash),
        (2.0, crash),
        (3.0, "refused"),
    ]


def test_timeline_contains_other_attempts_at_the_same_request() -> None:
    attempts = [
        _line_text(
            1.0,
            "n1",
            "server crashed while running a request",
            request="r1",
            same="f",
        ),
        _line_text(
            2.0,
            "n2",
            "server crashed while running a request",
            request="r2",
            same="f",
        ),
        _line_text(2.5, "n2", "refused", request="r3", same="other"),
        _line_text(3.0, "n3", "refused", request="r4", same="f"),
    ]
    assert [at for at, _ in _timeline(attempts, "r4")] == [1.0, 2.0, 3.0]


def test_order_of_the_logs_does_not_matter() -> None:
    assert _timeline(LOG[::-1], "r1") == _timeline(LOG, "r1")


def test_unknown_request_has_no_timeline() -> None:
    assert _timeline(LOG, "r9") == []


def test_malformed_lines_are_counted_and_skipped() -> None:
    reader = request_timeline.LogReader()
    texts = ["", "no line", '{"at": 1', "[1]", '{"at": "x"}', LOG[0]]
    lines = list(reader.read(texts))
    assert [line.message for line in lines] == ["desired state"]
    assert reader.malformed_count == 4


def test_text_before_a_line_is_skipped_and_dropped_lines_are_summed() -> None:
    reader = request_timeline.LogReader()
    text = "  12.3 n1 " + _line_text(1.0, "n1", "answered", left_out=7)
    assert len(list(reader.read([text]))) == 1
    assert reader.dropped_count == 7


def test_command_marks_lines_of_the_request(tmp_path: pathlib.Path) -> None:
    log = tmp_path / "n1.log"
    log.write_text("\n".join([*LOG, "cut off"]))
    runner = click.testing.CliRunner()
    result = runner.invoke(explain.explain, ["r1", str(log)])
    assert result.exit_code == 0
    own = [one for one in result.output.splitlines() if one.startswith("*")]
    assert own == [
        "*    +0.000 n1 attempt ended event=not-run",
        "*    +0.200 n1 refused status=503",
    ]
    assert "1 lines are broken" in result.output


def test_command_without_matching_lines_says_what_to_check(
    tmp_path: pathlib.Path,
) -> None:
    log = tmp_path / "n1.log"
    log.write_text("\n".join(LOG))
    runner = click.testing.CliRunner()
    result = runner.invoke(explain.explain, ["r9", str(log)])
    assert result.exit_code == 1
    assert "check the id" in result.output
