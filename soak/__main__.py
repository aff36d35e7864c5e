"""Runs seeds of the soak: ``python -m soak 1 50`` or ``python -m soak planned 1 50``."""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib
import random
import shutil
import signal
import sys
import typing

import click

from soak import fleet, planned, planned_steps, run

KEPT = click.option(
    "--keep",
    type=click.Path(path_type=pathlib.Path),
    default=pathlib.Path("build/soak"),
    show_default=True,
    help="Folder for logs of failed seeds.",
)


@click.command()
@click.argument("first", type=int, default=0)
@click.argument("last", type=int, default=0)
@click.option("--seconds", default=12.0, show_default=True, help="Length of the fault schedule.")
@KEPT
def main(first: int, last: int, seconds: float, keep: pathlib.Path) -> None:
    """Run seeds FIRST to LAST, or one random seed.

    "planned" as the first argument runs seeds of planned work on entries of the firm's platform.
    \f

    :param first: the first seed, 0 for a random one.
    :param last: the last seed, at least ``first``; a lower one runs ``first`` alone.
    :param seconds: the length of the fault schedule.
    :param keep: the folder that keeps logs and schedules of failed seeds.
    """
    _run_seeds(first, last, lambda seed: run.run_seed(seed, seconds, keep), keep, "seed")


@click.command("planned")
@click.argument("first", type=int, default=0)
@click.argument("last", type=int, default=0)
@click.option("--seconds", default=20.0, show_default=True, help="Length of the schedule.")
@click.option("--clients", default=40, show_default=True, help="Number of clients.")
@click.option("--pause-s", default=0.3, show_default=True, help="Longest pause of a client.")
@click.option("--entries-per-zone", default=2, show_default=True, help="Number of entries.")
@click.option("--deadline-s", default=2.5, show_default=True, help="Time limit of requests.")
@click.option("--unsafe-work-s", default=0.0, help="Servers' work on an unsafe request.")
@click.option("--groups", default=1, show_default=True, help="Groups of entries kept apart.")
@click.option("--code", default=fleet.ROOT, type=pathlib.Path, help="Tree that the entries run.")
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice([kind.name.lower() for kind in planned_steps.Kind]),
    help="A kind of step to draw from, instead of all kinds.",
)
@KEPT
def planned_main(
    first: int, last: int, keep: pathlib.Path, kinds: tuple[str, ...], **size: typing.Any
) -> None:
    """Run seeds FIRST to LAST of planned work, or one random seed.

    Entries of the firm's platform run as processes beside a store, servers and clients. Each line
    shows how attempts ended, the fullest window of retries as a share of the budget, the signals
    sent, the exit codes and the broken promises.
    \f

    :param first: the first seed, 0 for a random one.
    :param last: the last seed, at least ``first``; a lower one runs ``first`` alone.
    :param keep: the folder that keeps logs, schedules and findings of failed seeds.
    :param kinds: the names of the kinds of steps, none for all.
    :param size: the size of the run.
    """
    options = planned.Options(**size)
    if kinds:
        options.kinds = [planned_steps.Kind[name.upper()] for name in kinds]
    _run_seeds(first, last, lambda n: planned.run_seed(n, options, keep), keep, "planned")


def _run_seeds(
    first: int,
    last: int,
    run_one: collections.abc.Callable[[int], run.Verdict | planned.Verdict],
    keep: pathlib.Path,
    prefix: str,
) -> None:
    first = first or random.SystemRandom().randrange(1_000, 1_000_000)
    broken = []
    for seed in range(first, max(first, last) + 1):
        shutil.rmtree(keep / f"{prefix}-{seed}", ignore_errors=True)
        verdict = run_one(seed)
        click.echo(str(dataclasses.asdict(verdict)))
        if verdict.broken:
            broken.append(seed)
        else:
            shutil.rmtree(keep / f"{prefix}-{seed}")
    click.echo(f"{max(first, last) - first + 1} seeds, broken: {broken or 'none'}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    # As an interrupt, so that the processes of the run end with it.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    if sys.argv[1:2] == ["planned"]:
        planned_main(sys.argv[2:])
    else:
        main()
