# SPDX-License-Identifier: Apache-2.0
"""``lugcross explain``: timeline of a request from processes' logs."""

from collections.abc import Sequence
from typing import TextIO

import click

from lugcross.observe import request_timeline


@click.command()
@click.argument("request")
@click.argument("logs", nargs=-1, required=True, type=click.File("r"))
def explain(request: str, logs: Sequence[TextIO]) -> None:
    """Show from LOGS what happened to REQUEST, and why.

    Lines of the request are marked with an asterisk. The others show other
    attempts at it and the state of the processes that handled it. Times are
    seconds since its first line.
    """
    reader = request_timeline.LogReader()
    lines = [line for log in logs for line in reader.read(log)]
    found = request_timeline.build_timeline(lines, request)
    if reader.malformed_count:
        click.echo(
            f"{reader.malformed_count} lines are broken or not in"
            " lugcross's log format",
            err=True,
        )
    if reader.dropped_count:
        click.echo(
            f"{reader.dropped_count} lines were dropped by the processes"
            " that logged them",
            err=True,
        )
    if not found:
        raise click.ClickException(
            f"no log line for request {request}; check the id, and that you"
            " passed the logs of all processes"
        )
    first = next(line.at for line in found if line.request == request)
    for line in found:
        click.echo(_format_line(line, first, own=line.request == request))


def _format_line(
    line: request_timeline.LogLine, first: float, *, own: bool
) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name != "request"
    )
    mark = "*" if own else " "
    return (
        f"{mark} {line.at - first:+9.3f} {line.node} {line.message} {fields}"
    ).rstrip()
