"""Tests of the build command for a service that cannot write to its source tree."""

from __future__ import annotations

import importlib.util
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]


def test_build_leaves_the_bytecode_of_every_module(tmp_path: Path) -> None:
    """Without it each start compiles all modules again, on the processor time of the relay."""
    for package in ("garnetrelay", "starlingwick"):
        shutil.copytree(ROOT / package, tmp_path / package, ignore=shutil.ignore_patterns("__pycache__"))
    python = tmp_path / ".venv/bin/python"  # stands for an existing venv
    python.parent.mkdir(parents=True)
    python.symlink_to(sys.executable)
    with (ROOT / "deploy/balancer.toml").open("rb") as file:
        build = tomllib.load(file)["build"]
    subprocess.run(["/bin/sh", "-c", build], cwd=tmp_path, check=True)
    sources = [path for path in tmp_path.glob("*/*.py")]
    assert len(sources) > 10
    for source in sources:
        assert Path(importlib.util.cache_from_source(str(source))).exists(), source.name
