"""Loads the version named as `production` in deploy/service.toml from the repository's history.

Its modules are loaded beside this version's without replacing them. Both versions use this version's
`roadhead.runtime` (event loop and streams), since one simulated world runs them.
"""

import importlib
import os
import subprocess
import sys
import tomllib
from functools import cache
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SHARED_PACKAGE = "roadhead.runtime"  # used by both versions, as the world passes its objects to both


@cache
def source():
    """Returns the directory with its sources. Raises RuntimeError if its commit is not in the history."""
    commit = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"]
    folder = ROOT / "target" / "production" / commit
    if not (folder / "roadhead").is_dir():
        archive = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True, check=False)
        if archive.returncode:
            raise RuntimeError(
                f"production {commit} is not in this repository's history, so the way from it "
                f"can't be tested: {archive.stderr.decode().strip()}"
            )
        extracted = folder.with_name(f"{commit}.{os.getpid()}")
        extracted.mkdir(parents=True, exist_ok=True)
        subprocess.run(["tar", "-x", "-C", extracted], input=archive.stdout, check=True)
        try:
            extracted.rename(folder)
        except OSError:  # another pytest-xdist worker was first
            subprocess.run(["rm", "-rf", extracted], check=True)
    return folder


@cache
def load():
    """Returns (Node, Tuning, parse) of that version."""

    def is_roadhead(name):
        return name == "roadhead" or name.startswith("roadhead.")

    current = {name: module for name, module in sys.modules.items() if is_roadhead(name)}
    shared = {name: module for name, module in current.items() if name.startswith(SHARED_PACKAGE)}
    sys.path.insert(0, str(source()))
    try:
        for name in current:
            del sys.modules[name]
        package = importlib.import_module("roadhead")
        for name, module in shared.items():
            sys.modules[name] = module
            parent, _, last = name.rpartition(".")
            if parent == SHARED_PACKAGE:
                setattr(sys.modules.get(SHARED_PACKAGE, module), last, module)
        node = importlib.import_module("roadhead.node")
        settings = importlib.import_module("roadhead.settings")
        assert Path(package.__file__).is_relative_to(source()), "the old version was not loaded"
        return node.Node, settings.Tuning, settings.parse
    finally:
        sys.path.remove(str(source()))
        for name in [name for name in sys.modules if is_roadhead(name)]:
            del sys.modules[name]
        sys.modules.update(current)
