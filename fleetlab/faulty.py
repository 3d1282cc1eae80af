"""A relay with an offset wall clock and a failing state folder, controlled by a file while it runs.

``python -m fleetlab.faulty`` is otherwise the same as ``python -m garnetrelay``. The environment variable
``FLEETLAB_FAULTS`` names the file; without it, or while the file cannot be read, there are no faults.
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
RELOAD_INTERVAL = 0.02  # seconds between two reads of the file
DISK_CALLS = ("write", "ftruncate", "rename", "unlink")  # functions of the os module that only files use


@dataclass(frozen=True, slots=True)
class Faults:
    """The faults to inject.

    ``clock_step`` is the offset of the wall clock in seconds. ``disk_error`` is the errno of every call that
    changes the state folder, or 0 for a working disk.
    """

    clock_step: float = 0.0
    disk_error: int = 0

    def write_to(self, path: Path) -> None:
        """Replace the file that a running relay reads its faults from."""
        new = path.with_suffix(".new")
        new.write_text(json.dumps(asdict(self)))
        new.rename(path)


class FaultsFile:
    """The faults in the file, read again at most once per ``RELOAD_INTERVAL``."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._faults = Faults()
        self._loaded_at = -RELOAD_INTERVAL

    @property
    def faults(self) -> Faults:
        now = time.monotonic()
        if now - self._loaded_at >= RELOAD_INTERVAL:
            self._loaded_at = now
            try:
                self._faults = Faults(**json.loads(self._path.read_text()))
            except (OSError, ValueError, TypeError):
                self._faults = Faults()
        return self._faults


def fail_on_fault(function: Callable[..., Any], faults_file: FaultsFile) -> Callable[..., Any]:
    """Return a function that raises the disk fault as an OSError, or calls ``function`` if there is none."""

    def wrapper(*args: Any, **options: Any) -> Any:
        if error_number := faults_file.faults.disk_error:
            raise OSError(error_number, os.strerror(error_number))
        return function(*args, **options)

    return wrapper


def main() -> None:
    """Run the relay with faults. Does not return: the relay ends the process."""
    if FAULTS_FILE in os.environ:
        faults_file = FaultsFile(Path(os.environ[FAULTS_FILE]))
        time_ns = time.time_ns
        time.time_ns = lambda: time_ns() + round(faults_file.faults.clock_step * 1e9)
        time.time = lambda: time.time_ns() / 1e9
        for name in DISK_CALLS:
            setattr(os, name, fail_on_fault(getattr(os, name), faults_file))
    runpy.run_module("garnetrelay", run_name="__main__")


if __name__ == "__main__":
    main()
