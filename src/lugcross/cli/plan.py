# SPDX-License-Identifier: Apache-2.0
"""``lugcross plan``: run the expert placement planner on recorded load."""

import dataclasses
import json
import pathlib
from typing import TextIO

import click
import rich.console
import rich.table

from lugcross.placement import replay


@click.command()
@click.option("--cfg", "cfg_file", type=click.Path(), required=True)
@click.option(
    "--loads",
    "loads_file",
    type=click.File("r"),
    required=True,
    help='JSON lines: {"window": 0, "loads": [[...], ...]}.',
)
@click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON line per window."
)
@click.option(
    "--plot", type=click.Path(), help="Plot skew and moves to this file."
)
def plan(
    cfg_file: str,
    loads_file: TextIO,
    as_json: bool,
    plot: str | None,
) -> None:
    """Show the planner's decisions for recorded load, window by window."""
    text = pathlib.Path(cfg_file).read_text(encoding="utf-8")
    cfg = replay.parse_planner_cfg(text, source=cfg_file)
    windows = replay.read_windows(loads_file, source=loads_file.name)
    rows = []
    for row in replay.run(windows, cfg):
        rows.append(row)
        if as_json:
            click.echo(json.dumps(_row_fields(row)))
    if not as_json:
        _print_table(rows)
    if plot:
        _plot(rows, plot)


def _row_fields(row: replay.WindowResult) -> dict[str, object]:
    moves = [dataclasses.asdict(move) for move in row.moves]
    return {
        **dataclasses.asdict(row),
        "decision": row.decision.value,
        "moves": moves,
    }


def _print_table(rows: list[replay.WindowResult]) -> None:
    table = rich.table.Table()
    for name in ("window", "decision", "moves", "skew", "next", "why"):
        table.add_column(name)
    for row in rows:
        after = "" if row.skew_next is None else f"{row.skew_next:.3f}"
        table.add_row(
            str(row.window),
            row.decision.value,
            str(len(row.moves)),
            f"{row.skew_before:.3f}",
            after,
            "; ".join(row.reasons),
        )
    rich.console.Console().print(table)


def _plot(rows: list[replay.WindowResult], path: str) -> None:
    # Imported lazily: slow to import, and only plots need it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows_with_skew = [row for row in rows if row.skew_next is not None]
    figure, (above, below) = pyplot.subplots(2, 1, sharex=True)
    above.plot(
        [row.window for row in rows_with_skew],
        [row.skew_next or 0.0 for row in rows_with_skew],
    )
    above.set_ylabel("max/mean rank load of the next window")
    below.bar([row.window for row in rows], [len(row.moves) for row in rows])
    below.set_ylabel("experts loaded")
    below.set_xlabel("window")
    figure.savefig(path)
