"""Plays seeds of the soak: ``python -m soak 1 50``."""

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
@click.option("--seconds", default=12.0, show_default=True, help="How long faults last.")
@click.option(
    "--keep",
    type=click.Path(path_type=pathlib.Path),
    default=pathlib.Path("build/soak"),
    show_default=True,
    help="Where folders of broken seeds are kept.",
)
def main(first: int, last: int, seconds: float, keep: pathlib.Path) -> None:
    """Play seeds FIRST to LAST, or one fresh seed.
    \f

    :param first: the first seed, 0 for a fresh one.
    :param last: the last seed.
    :param seconds: how long faults last.
    :param keep: where folders of broken seeds are kept.
    """
    first = first or random.SystemRandom().randrange(1_000, 1_000_000)
    broken = []
    for seed in range(first, max(first, last) + 1):
        shutil.rmtree(keep / f"seed-{seed}", ignore_errors=True)
        verdict = run.play_seed(seed, seconds, keep)
        click.echo(str(dataclasses.asdict(verdict)))
        if verdict.broken:
            broken.append(seed)
        else:
            shutil.rmtree(keep / f"seed-{seed}")
    click.echo(f"{max(first, last) - first + 1} seeds, broken: {broken or 'none'}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
