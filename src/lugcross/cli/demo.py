# SPDX-License-Identifier: Apache-2.0
"""``lugcross demo``: a small fleet with sample traffic in one process."""

import contextlib
import sys

import click

from lugcross import demo as demo_lib
from lugcross import observe


@click.command()
@click.option(
    "--once", is_flag=True, help="Run a fixed sequence of requests, then exit."
)
@click.option("--seconds", type=float, help="Exit after this time.")
def demo(once: bool, seconds: float | None) -> None:
    """Run a small fleet in this process, with traffic of three groups."""
    observe.set_up_logging("demo", "error")
    fleet = demo_lib.Fleet()
    fleet.start()
    ok = True
    try:
        if once:
            ok = demo_lib.SelfCheck(fleet).run()
        else:
            _print_examples(fleet)
            _show_traffic(fleet, seconds)
    finally:
        fleet.stop()
    sys.exit(0 if ok else 1)


def _print_examples(fleet: demo_lib.Fleet) -> None:
    key = fleet.groups[0].key
    click.echo(
        "try:\n"
        f"  curl -N {fleet.urls[0]}/v1/completions "
        f"-H 'Authorization: Bearer {key}' "
        "-H 'Content-Type: application/json' "
        f'-d \'{{"model": "{demo_lib.MODEL_SERVICE}", "prompt": "hello", '
        '"max_tokens": 8, "stream": true}\'\n'
        f"  lugcross ctl --entry {fleet.rpc_target} "
        f"--token {fleet.token} put-group greedy --share 6\n"
    )


def _show_traffic(fleet: demo_lib.Fleet, seconds: float | None) -> None:
    traffic = demo_lib.Traffic(fleet)
    traffic.start()
    try:
        with contextlib.suppress(KeyboardInterrupt):
            traffic.show(seconds)
    finally:
        traffic.stop()
