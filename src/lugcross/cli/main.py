# SPDX-License-Identifier: Apache-2.0
"""The command line: one command a program, loaded when it is used."""

import importlib
import sys
from typing import final

import click

from lugcross import __version__
from lugcross import errors

#: Module and function of each command. Loaded late, so that an agent
#: does not pay for the memory of what only operators use.
_COMMANDS = {
    "agent": "lugcross.cli.daemon:agent",
    "check": "lugcross.cli.daemon:check",
    "ctl": "lugcross.cli.ctl:ctl",
    "demo": "lugcross.cli.demo:demo",
    "edge": "lugcross.cli.edge:edge",
    "entry": "lugcross.cli.daemon:entry",
    "explain": "lugcross.cli.explain:explain",
    "plan": "lugcross.cli.plan:plan",
    "shares": "lugcross.cli.shares:shares",
    "standin": "lugcross.cli.standin:standin",
}


@final
class _LazyGroup(click.Group):
    """Group whose commands are imported when they are called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        del ctx
        return sorted(_COMMANDS)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        del ctx
        where = _COMMANDS.get(cmd_name)
        if where is None:
            return None
        module, _, name = where.partition(":")
        command: click.Command = getattr(importlib.import_module(module), name)
        return command


@click.group(cls=_LazyGroup)
@click.version_option(__version__)
def _root_command() -> None:
    """Load balancer for expert-parallel model groups."""


def main() -> None:
    """Run the program and end the process with its status."""
    try:
        _root_command(standalone_mode=True)
    except errors.LugcrossError as exc:
        click.echo(f"lugcross: {exc}", err=True)
        sys.exit(1)
