# SPDX-License-Identifier: Apache-2.0
"""Tells one request's story from the logs of all processes."""

from collections.abc import Sequence
from typing import TextIO

import click

from lugcross.observe import request_timeline


@click.command()
@click.argument("request")
@click.argument("logs", nargs=-1, required=True, type=click.File("r"))
def explain(request: str, logs: Sequence[TextIO]) -> None:
    """Tell what came of REQUEST, and why, from the LOGS.

    Lines of the request are marked; the others are what the processes that
    touched it believed then. Seconds count from its first line.
    """
    reader = request_timeline.LogReader()
    lines = [line for log in logs for line in reader.read(log)]
    found = request_timeline.build_timeline(lines, request)
    if reader.malformed_count:
        click.echo(
            f"{reader.malformed_count} lines are broken or not ours", err=True
        )
    if reader.dropped_count:
        click.echo(
            f"{reader.dropped_count} lines were left out by their processes",
            err=True,
        )
    if not found:
        raise click.ClickException(
            f"no line of request {request}; check the id, and that the logs"
            " of all processes are there"
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
