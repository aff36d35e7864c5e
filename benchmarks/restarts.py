"""Requests at servers that start again, in virtual time: the most in a second, by play and seed.

Run as ``python -m benchmarks.restarts SEED...``; ``--entries 67`` and ``195`` play large fleets.
"""

from __future__ import annotations

import logging

import click

from tests import fleet_cases, fleet_plays


@click.command()
@click.argument("seeds", nargs=-1, type=int, required=True)
@click.option("--entries", type=click.Choice([str(n) for n in fleet_cases.SHAPES]), default="9")
@click.option("--name", default="", help="Play only what has this in its name.")
def main(seeds: tuple[int, ...], entries: str, name: str) -> None:
    """Play each case with each seed, and print its worst second.
    \f

    :param seeds: the seeds.
    :param entries: the number of entries.
    :param name: a part of the names of the plays, empty for all.
    """
    logging.disable(logging.CRITICAL)
    plays = fleet_cases.PLAYS if entries == "9" else fleet_cases.LARGE_PLAYS
    shape = fleet_cases.SHAPES[int(entries)]
    for play_name in (key for key in plays if name in key):
        results = [(fleet_plays.play(shape, plays[play_name], seed), seed) for seed in seeds]
        broken = sum(result.most_at_cold > result.bound for result, _ in results)
        worst, seed = max(results, key=lambda pair: pair[0].most_at_cold)
        waits = max((wait for result, _ in results for wait in result.waits_s), default=0.0)
        click.echo(
            f"{play_name}: {broken} of {len(seeds)} seeds beyond the bound,"
            f" most with seed {seed}: {worst.summary()}; longest wait {waits:.2f} s"
        )


if __name__ == "__main__":
    main()
