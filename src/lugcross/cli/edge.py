# SPDX-License-Identifier: Apache-2.0
"""The entry program without agents."""

import os
import sys

import click

from lugcross import clock
from lugcross import logs

_CONFIG_VARIABLE = "LUGCROSS_CONFIG"


@click.command()
@click.argument("file", type=click.Path(), envvar=_CONFIG_VARIABLE)
def edge(file: str) -> None:
    """Serve callers from backend servers directly.

    Settings are in FILE, or in the file that LUGCROSS_CONFIG names.
    """
    # Imported here: other commands need none of it.
    from lugcross import edge as edge_lib
    from lugcross.edge import settings as settings_lib

    settings = settings_lib.load(os.fspath(file))
    logs.set_up_nonblocking_logging(
        settings.node, settings.level, sys.stdout.fileno()
    )
    program = edge_lib.Edge(
        settings, clock=clock.SystemClock(), settings_path=file
    )
    program.run()
