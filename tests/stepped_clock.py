"""The relay as ``python -m garnetrelay``, with its wall clock off by the seconds that a file says: the
machine's clock has been stepped, and its monotonic clock runs on."""

from __future__ import annotations

import os
import runpy
import time
from pathlib import Path

STEP_FILE = "TEST_CLOCK_STEP"  # the environment's name for the file; it may change while the relay runs


def main() -> None:
    """Never returns: the relay ends the process."""
    path = Path(os.environ[STEP_FILE])
    time_ns = time.time_ns

    def stepped_ns() -> int:
        return time_ns() + round(float(path.read_text()) * 1e9)

    time.time_ns = stepped_ns
    time.time = lambda: stepped_ns() / 1e9
    runpy.run_module("garnetrelay", run_name="__main__")


if __name__ == "__main__":
    main()
