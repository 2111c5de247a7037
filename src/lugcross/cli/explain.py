# SPDX-License-Identifier: Apache-2.0
"""Tells one request's story from the logs of all processes."""

from collections.abc import Sequence
from typing import TextIO

import click

from lugcross.observe import story


@click.command()
@click.argument("request")
@click.argument("logs", nargs=-1, required=True, type=click.File("r"))
def explain(request: str, logs: Sequence[TextIO]) -> None:
    """Tell what came of REQUEST, and why, from the LOGS.

    Lines of the request are marked; the others are what the processes that
    touched it believed then. Seconds count from its first line.
    """
    reader = story.Reader()
    lines = [line for log in logs for line in reader.read(log)]
    found = story.tell(lines, request)
    if reader.broken:
        click.echo(f"{reader.broken} lines are broken or not ours", err=True)
    if reader.left_out:
        click.echo(
            f"{reader.left_out} lines were left out by their processes",
            err=True,
        )
    if not found:
        raise click.ClickException(
            f"no line of request {request}; check the id, and that the logs"
            " of all processes are there"
        )
    first = next(line.at for line in found if line.request == request)
    for line in found:
        click.echo(_text(line, first, own=line.request == request))


def _text(line: story.Line, first: float, *, own: bool) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name != "request"
    )
    mark = "*" if own else " "
    return (
        f"{mark} {line.at - first:+9.3f} {line.node} {line.message} {fields}"
    ).rstrip()
