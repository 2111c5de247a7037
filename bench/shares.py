# SPDX-License-Identifier: Apache-2.0
"""How far shares are off from those of one process that knows everything.

    python bench/shares.py [--seeds 3] [--large]

One of ten workspaces sends 7.5 times its usual for 8 s, in virtual time. Each
row is a fleet: how many of the others' and of its requests are served, beside
the same load before one process, and the most requests in progress.
"""

import statistics

import click

import share_fleet

#: One workspace in ten has a third of the load; together they take about
#: two thirds of what is full.
RATES = {"w0": 8.0} | {f"w{num}": 1.9 for num in range(1, 10)}
SURGE = share_fleet.Load(
    rates=RATES, hot="w0", times=7.5, since=4.0, until=12.0
)
OTHERS = set(RATES) - {"w0"}
SERVERS = 16
SECONDS = 12.0
_SOON = share_fleet.News()
_LATE = share_fleet.News(gap_s=0.5, way_s=0.1)
_NEVER = share_fleet.News(gap_s=0.0)
#: Processes, what they hear of each other, and whether they look at
#: workspaces at all.
FLEETS = {
    "knows everything": (1, _NEVER, True),
    "7, every 50 ms": (7, _SOON, True),
    "30, every 50 ms": (30, _SOON, True),
    "7, every 500 ms": (7, _LATE, True),
    "30, every 500 ms": (30, _LATE, True),
    "7, never": (7, _NEVER, True),
    "7, no look at workspaces": (7, _SOON, False),
}
#: Takes minutes.
LARGE = {"98, every 50 ms": (98, _SOON, True)}


def _row(
    processes: int, news: share_fleet.News, by_workspace: bool, seeds: int
) -> tuple[float, float, float]:
    fleets = [
        share_fleet.Fleet(
            SURGE,
            processes=processes,
            servers=SERVERS,
            news=news,
            seed=seed,
            by_workspace=by_workspace,
        ).run(SECONDS)
        for seed in range(seeds)
    ]
    return (
        statistics.mean(one.share_served(OTHERS, 4, 12) for one in fleets),
        statistics.mean(one.share_served({"w0"}, 4, 12) for one in fleets),
        statistics.mean(one.most_busy for one in fleets),
    )


@click.command()
@click.option("--seeds", default=3, help="Plays of each fleet.")
@click.option("--large", is_flag=True, help="Play 98 processes, too.")
def main(seeds: int, large: bool) -> None:
    """Print the table."""
    fleets = FLEETS | (LARGE if large else {})
    first: tuple[float, float, float] | None = None
    click.echo(f"{'fleet':26} others  ratio  surging  ratio  most")
    for name, (processes, news, by_workspace) in fleets.items():
        row = _row(processes, news, by_workspace, seeds)
        first = first or row
        others, surging, most = row
        click.echo(
            f"{name:26}  {others:5.3f}  {others / first[0]:5.2f}"
            f"    {surging:5.3f}  {surging / first[1]:5.2f}  {most:4.0f}"
        )


if __name__ == "__main__":
    main()
