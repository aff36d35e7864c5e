"""Runs the command line with ``python -m sassafraslock``."""

from sassafraslock import cli

if __name__ == "__main__":
    cli.main()
