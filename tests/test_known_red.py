"""The list of known failures: what it may hold, and that it excuses the listed tests alone."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / ".ci" / "known_red.py"


def run(folder: Path, listed: str) -> tuple[int, str]:
    """The script's status and output in a folder with one test that fails and one that passes."""
    (folder / "tests").mkdir()
    (folder / "tests" / "test_some.py").write_text(
        "def test_fails():\n    assert False\n\n\ndef test_passes():\n    assert True\n"
    )
    (folder / "KNOWN-RED.txt").write_text(listed)
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
    done = subprocess.run(
        [sys.executable, str(SCRIPT)], cwd=folder, env=environment, capture_output=True, text=True
    )
    return done.returncode, done.stdout


def test_listed_failure_is_printed_and_not_judged(tmp_path: Path) -> None:
    status, output = run(tmp_path, "tests/test_some.py::test_fails: says no, issue 7\n")
    assert status == 0
    assert "known red, not judged: tests/test_some.py::test_fails: says no, issue 7" in output


@pytest.mark.parametrize(
    "listed",
    [
        "",
        "tests/test_some.py::test_passes: passes, issue 7\n",
        "tests/test_some.py::test_fails\n",
        "tests/test_some.py::test_gone: is gone, issue 7\ntests/test_some.py::test_fails: no, issue 7\n",
        "tests/test_some.py::test_fails: says no, issue 7\n" * 4,
    ],
    ids=["not listed", "another listed", "no cause", "no such test", "too many"],
)
def test_any_other_failure_is_judged(tmp_path: Path, listed: str) -> None:
    status, _ = run(tmp_path, listed)
    assert status != 0
