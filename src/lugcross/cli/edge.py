# SPDX-License-Identifier: Apache-2.0
"""``lugcross edge``: an entry host that needs no agents."""

import os
import sys

import click

from lugcross import clock
from lugcross import logs
from lugcross import process_signals

_CONFIG_VARIABLE = "LUGCROSS_CONFIG"


@click.command()
@click.argument("file", type=click.Path(), envvar=_CONFIG_VARIABLE)
def edge(file: str) -> None:
    """Run an entry host that connects to backend servers directly.

    FILE holds the settings; default: the file that LUGCROSS_CONFIG names.
    """
    # Imported lazily: other commands do not need these modules.
    from lugcross import edge as edge_lib
    from lugcross.edge import settings as settings_lib

    settings = settings_lib.load(os.fspath(file))
    logs.set_up_nonblocking_logging(
        settings.node, settings.level, sys.stdout.fileno()
    )
    program = edge_lib.Edge(
        settings,
        clock=clock.SystemClock(),
        settings_path=file,
        signals=process_signals.SIGNALS,
    )
    program.run()
