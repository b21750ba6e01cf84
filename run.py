"""Runs the command line from a checkout, with the libraries that the build put under target/."""

import os
import sys

ROOT = os.path.dirname(os.path.abspath(__file__))
# The build has put the compiled files there; a controller isn't allowed to write to it.
sys.pycache_prefix = os.path.join(ROOT, "target", "pycache")
sys.path[:0] = [ROOT, os.path.join(ROOT, "target", "deps")]

if __name__ == "__main__":
    from roadhead.cli import main

    sys.exit(main())
