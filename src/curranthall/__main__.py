"""Run the command line with `python -m curranthall`."""

from curranthall.cli import main

main()
