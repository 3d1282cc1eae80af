"""A relay whose wall clock is off and whose lasting folder fails, as a file says while it runs.

``python -m fleetlab.faulty`` is ``python -m garnetrelay`` but for that. The file is named by ``FAULTS_FILE``
in the environment; without it, or while it cannot be read, nothing is wrong.
"""

from __future__ import annotations

import json
import os
import runpy
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

FAULTS_FILE = "FLEETLAB_FAULTS"
LOOK_EVERY = 0.02  # seconds between two looks at the file
DISK_CALLS = ("write", "ftruncate", "rename", "unlink")  # of the os module, on files alone


@dataclass(frozen=True, slots=True)
class Faults:
    """What is wrong. ``clock_step`` is by how many seconds the wall clock is ahead; ``disk_error`` is the
    errno of every call that changes the lasting folder, 0 where the disk is well."""

    clock_step: float = 0.0
    disk_error: int = 0

    def put(self, path: Path) -> None:
        """Make it so for the relay that watches that file."""
        new = path.with_suffix(".new")
        new.write_text(json.dumps(asdict(self)))
        new.rename(path)


class Watch:
    """The faults that the file tells, read anew now and then."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._faults = Faults()
        self._looked_at = -LOOK_EVERY

    @property
    def faults(self) -> Faults:
        now = time.monotonic()
        if now - self._looked_at >= LOOK_EVERY:
            self._looked_at = now
            try:
                self._faults = Faults(**json.loads(self._path.read_text()))
            except (OSError, ValueError, TypeError):
                self._faults = Faults()
        return self._faults


def failing(call: Callable[..., Any], watch: Watch) -> Callable[..., Any]:
    """The call, which fails while the disk does."""

    def replaced(*args: Any, **options: Any) -> Any:
        if number := watch.faults.disk_error:
            raise OSError(number, os.strerror(number))
        return call(*args, **options)

    return replaced


def main() -> None:
    """Never returns: the relay ends the process."""
    if FAULTS_FILE in os.environ:
        watch = Watch(Path(os.environ[FAULTS_FILE]))
        time_ns = time.time_ns
        time.time_ns = lambda: time_ns() + round(watch.faults.clock_step * 1e9)
        time.time = lambda: time.time_ns() / 1e9
        for name in DISK_CALLS:
            setattr(os, name, failing(getattr(os, name), watch))
    runpy.run_module("garnetrelay", run_name="__main__")


if __name__ == "__main__":
    main()
