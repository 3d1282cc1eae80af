"""Runs the test suite. The tests that KNOWN-RED.txt names are run and printed, and do not decide the verdict.

Each line of the file reads ``TEST: `COMMAND`, seed SEED: SEEN, issue NUMBER``, TEST as pytest names it.
A line that cannot be read, or whose test does not exist, fails the run.
"""

from __future__ import annotations

import re
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

LIST = Path("KNOWN-RED.txt")
LINE = re.compile(
    r"(?P<test>tests/\w+\.py::[^\s:]+): `(?P<command>[^`]+)`, seed (?P<seed>[^:]+): "
    r"(?P<seen>.+), issue (?P<issue>\d+)"
)
PYTEST = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
JUDGED_EXITS = (0, 1)  # of pytest: all passed, or some failed; anything else means that a test was not run


class KnownRedError(ValueError):
    """The list of known failures cannot be used."""


@dataclass(frozen=True)
class KnownFailure:
    """A test that fails for a real fault which is not mended yet."""

    test: str
    command: str
    seed: str
    seen: str
    issue: int


def parse(text: str) -> list[KnownFailure]:
    """The listed failures. KnownRedError where a line cannot be read."""
    failures = []
    for line in filter(None, map(str.strip, text.splitlines())):
        found = LINE.fullmatch(line)
        if found is None:
            raise KnownRedError(f"not 'TEST: `COMMAND`, seed SEED: SEEN, issue NUMBER': {line}")
        failures.append(
            KnownFailure(found["test"], found["command"], found["seed"], found["seen"], int(found["issue"]))
        )
    return failures


def main() -> int:
    """The exit status: that of all tests but the listed ones."""
    try:
        failures = parse(LIST.read_text()) if LIST.exists() else []
    except KnownRedError as error:
        print(f"{LIST}: {error}")
        return 1
    for failure in failures:
        print(f"known red, not judged: {failure.test}: {failure.seen}, issue {failure.issue}", flush=True)
        status = subprocess.run([*PYTEST, failure.test]).returncode
        if status not in JUDGED_EXITS:
            print(f"{LIST}: {failure.test} cannot be run")
            return 1
    deselected = [f"--deselect={failure.test}" for failure in failures]
    return subprocess.run([*PYTEST, *deselected]).returncode


if __name__ == "__main__":
    sys.exit(main())
