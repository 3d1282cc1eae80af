"""The clocks that stored times refer to.

Times are those of the machine's monotonic clock, which steps of the wall clock do not affect. It continues
across processes and restarts when the machine boots, so two times are comparable only if they were taken
under the same boot id.
"""

from __future__ import annotations

import time
from pathlib import Path

NS_PER_MS = 1_000_000
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


def monotonic_ms() -> int:
    """Return the time of the monotonic clock in milliseconds."""
    return time.monotonic_ns() // NS_PER_MS


def wall_offset_ms() -> int:
    """Return how many milliseconds the wall clock is ahead of the monotonic clock, rounded up.

    Rounding up ensures that a wall-clock time is never converted to a later monotonic time than the true one.
    """
    return -((time.monotonic_ns() - time.time_ns()) // NS_PER_MS)


def boot_id() -> str:
    """Return the id of the machine's current boot, or an empty text if the kernel does not provide one."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""
