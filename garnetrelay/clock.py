"""Which clock times are kept by: the machine's monotonic one, which no step of the wall clock moves.

It goes on across processes, and starts anew with the machine: the boot's id says whether two times belong
together.
"""

from __future__ import annotations

import time
from pathlib import Path

NS_PER_MS = 1_000_000
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


def monotonic_ms() -> int:
    """Milliseconds of the monotonic clock."""
    return time.monotonic_ns() // NS_PER_MS


def wall_offset_ms() -> int:
    """By how many milliseconds the wall clock is ahead of the monotonic one just now, rounded up: a time of
    the wall clock is read as no later than it was."""
    return -((time.monotonic_ns() - time.time_ns()) // NS_PER_MS)


def boot_id() -> str:
    """The id of this boot of the machine; empty where the kernel does not say."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""
