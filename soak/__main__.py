"""Runs seeds of the soak: ``python -m soak 1 50``."""

from __future__ import annotations

import dataclasses
import pathlib
import random
import shutil
import sys

import click

from soak import run


@click.command()
@click.argument("first", type=int, default=0)
@click.argument("last", type=int, default=0)
@click.option("--seconds", default=12.0, show_default=True, help="Length of the fault schedule.")
@click.option(
    "--keep",
    type=click.Path(path_type=pathlib.Path),
    default=pathlib.Path("build/soak"),
    show_default=True,
    help="Folder for logs of failed seeds.",
)
def main(first: int, last: int, seconds: float, keep: pathlib.Path) -> None:
    """Run seeds FIRST to LAST, or one random seed.
    \f

    :param first: the first seed, 0 for a random one.
    :param last: the last seed, at least ``first``; a lower one runs ``first`` alone.
    :param seconds: the length of the fault schedule.
    :param keep: the folder that keeps logs and schedules of failed seeds.
    """
    first = first or random.SystemRandom().randrange(1_000, 1_000_000)
    broken = []
    for seed in range(first, max(first, last) + 1):
        shutil.rmtree(keep / f"seed-{seed}", ignore_errors=True)
        verdict = run.run_seed(seed, seconds, keep)
        click.echo(str(dataclasses.asdict(verdict)))
        if verdict.broken:
            broken.append(seed)
        else:
            shutil.rmtree(keep / f"seed-{seed}")
    click.echo(f"{max(first, last) - first + 1} seeds, broken: {broken or 'none'}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
