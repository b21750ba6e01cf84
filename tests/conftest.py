"""Lets the tests import roadhead with the libraries that the build put under target/deps."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps"), str(ROOT / "tests")]
