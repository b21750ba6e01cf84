"""The version named in deploy/service.toml as `production`, built from the repository's history.

Its modules are loaded beside this version's and kept apart from them; the loop and the streams below both
are this version's, since one world runs them.
"""

import importlib
import os
import subprocess
import sys
import tomllib
from functools import cache
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SHARED = "roadhead.runtime"  # what both are handed by the world


@cache
def source():
    """The folder with its sources. Fails, and says why, where the history does not reach that far."""
    commit = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"]
    folder = ROOT / "target" / "production" / commit
    if not (folder / "roadhead").is_dir():
        archive = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True, check=False)
        if archive.returncode:
            raise RuntimeError(
                f"production {commit} is not in this repository's history, so the way from it "
                f"can't be tested: {archive.stderr.decode().strip()}"
            )
        made = folder.with_name(f"{commit}.{os.getpid()}")
        made.mkdir(parents=True, exist_ok=True)
        subprocess.run(["tar", "-x", "-C", made], input=archive.stdout, check=True)
        try:
            made.rename(folder)
        except OSError:  # another worker was first
            subprocess.run(["rm", "-rf", made], check=True)
    return folder


@cache
def load():
    """(Node, Tuning, parse) of that version."""

    def ours(name):
        return name == "roadhead" or name.startswith("roadhead.")

    kept = {name: module for name, module in sys.modules.items() if ours(name)}
    shared = {name: module for name, module in kept.items() if name.startswith(SHARED)}
    sys.path.insert(0, str(source()))
    try:
        for name in kept:
            del sys.modules[name]
        package = importlib.import_module("roadhead")
        for name, module in shared.items():
            sys.modules[name] = module
            parent, _, last = name.rpartition(".")
            if parent == SHARED:
                setattr(sys.modules.get(SHARED, module), last, module)
        node = importlib.import_module("roadhead.node")
        settings = importlib.import_module("roadhead.settings")
        assert Path(package.__file__).is_relative_to(source()), "the old version was not loaded"
        return node.Node, settings.Tuning, settings.parse
    finally:
        sys.path.remove(str(source()))
        for name in [name for name in sys.modules if ours(name)]:
            del sys.modules[name]
        sys.modules.update(kept)
