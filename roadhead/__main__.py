"""Runs the command line for `python -m roadhead`, as `run.py` does."""

import sys

from roadhead.cli import main

sys.exit(main())
