"""Runs the command line with ``python -m sassafraslock``."""

import sys

from sassafraslock import signals

RUN_COMMAND = "run"


def main() -> None:
    """Run the command line; an entry handles signals before it imports the rest."""
    if sys.argv[1:2] == [RUN_COMMAND]:
        signals.PROCESS.install()

    from sassafraslock import cli  # takes a while

    cli.main()


if __name__ == "__main__":
    main()
