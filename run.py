"""Starts roadhead from a checkout, with the libraries that the build put under target/."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.pycache_prefix = str(ROOT / "target" / "pycache")
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

if __name__ == "__main__":
    from roadhead.cli import main

    sys.exit(main())
