"""Tests of the list of known failures: its format, and that it excuses only the listed tests."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

FAILS = "tests/test_some.py::test_fails: `pytest`, seed 0: says no, issue 7\n"
SCRIPT = Path(__file__).parent.parent / ".ci" / "known_red.py"


def run(folder: Path, listed: str) -> tuple[int, str]:
    """Run the script in a folder with a failing and a passing test; return its status and output."""
    (folder / "tests").mkdir()
    (folder / "tests" / "test_some.py").write_text(
        "def test_fails():\n    assert False\n\n\ndef test_passes():\n    assert True\n"
    )
    (folder / "KNOWN-RED.txt").write_text(listed)
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
    completed = subprocess.run(
        [sys.executable, str(SCRIPT)], cwd=folder, env=environment, capture_output=True, text=True
    )
    return completed.returncode, completed.stdout


def test_listed_failure_is_printed_and_does_not_fail_the_run(tmp_path: Path) -> None:
    status, output = run(tmp_path, FAILS)
    assert status == 0
    assert "known red, not judged: tests/test_some.py::test_fails: says no, issue 7" in output


@pytest.mark.parametrize(
    "listed",
    [
        "",
        "tests/test_some.py::test_passes: `pytest`, seed 0: passes, issue 7\n",
        "tests/test_some.py::test_fails\n",
        "tests/test_some.py::test_gone: `pytest`, seed 0: is gone, issue 7\n" + FAILS,
        "tests/test_some.py::test_fails: says no, issue 7\n",
        "tests/test_some.py::test_fails: `pytest`, seed 0: says no\n",
    ],
    ids=["not listed", "another listed", "nothing but the test", "no such test", "no command", "no issue"],
)
def test_any_other_failure_fails_the_run(tmp_path: Path, listed: str) -> None:
    status, _ = run(tmp_path, listed)
    assert status != 0
