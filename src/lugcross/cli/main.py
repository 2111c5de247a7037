# SPDX-License-Identifier: Apache-2.0
"""Root command; the modules of subcommands are imported on use."""

import importlib
import sys
from typing import final

import click

from lugcross import __version__
from lugcross import errors

#: Module and function of each command, imported on use: an agent should not
#: spend memory on modules that only operators need.
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
    """Command group that imports a command when it is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        del ctx
        return sorted(_COMMANDS)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        del ctx
        import_path = _COMMANDS.get(cmd_name)
        if import_path is None:
            return None
        module, _, name = import_path.partition(":")
        command: click.Command = getattr(importlib.import_module(module), name)
        return command


@click.group(cls=_LazyGroup)
@click.version_option(__version__)
def _root_command() -> None:
    """Load balancer for expert-parallel model groups."""


def main() -> None:
    """Run the command line and exit with its status."""
    try:
        _root_command(standalone_mode=True)
    except errors.LugcrossError as exc:
        click.echo(f"lugcross: {exc}", err=True)
        sys.exit(1)
