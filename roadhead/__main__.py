"""`python -m roadhead` is the same program as `run.py`."""

import sys

from roadhead.cli import main

sys.exit(main())
