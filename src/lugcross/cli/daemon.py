# SPDX-License-Identifier: Apache-2.0
"""Commands that run an entry host or agent, or check its settings."""

import click

from lugcross import cfg
from lugcross import clock
from lugcross import observe
from lugcross import yamlfile


@click.command()
@click.argument("file", type=click.Path())
def entry(file: str) -> None:
    """Run an entry host with the settings in FILE."""
    # Imported lazily: an agent does not need the RPC stack.
    from lugcross import entry as entry_lib

    settings = yamlfile.load(file, cfg.settings.Entry)
    observe.set_up_logging(settings.node.name, settings.observe.level)
    program = entry_lib.Entry(settings, clock=clock.SystemClock())
    program.application().run()


@click.command()
@click.argument("file", type=click.Path())
def agent(file: str) -> None:
    """Run the agent of a backend server with the settings in FILE."""
    from lugcross import agent as agent_lib

    settings = yamlfile.load(file, cfg.settings.Agent)
    observe.set_up_logging(settings.node.name, settings.observe.level)
    program = agent_lib.Agent(settings, clock=clock.SystemClock())
    program.application().run()


@click.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Check the settings in FILE without starting anything."""
    settings = cfg.settings.check(file)
    name = type(settings).__name__.lower()
    click.echo(f"{file}: valid settings for {name} {settings.node.name}")
