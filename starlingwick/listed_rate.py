"""What the rate that is listed for a destination, or reported by it, says of its limit."""

from __future__ import annotations

from starlingwick.state import SECOND, Destination

LIMIT_SPAN = 6 * SECOND // 5  # a limit's second, and some for what tells of it late


def call_interval(dest: Destination, relays: int) -> int:
    """The time in which one relay's part of a known limit is one call, nanoseconds; 0: no limit is known."""
    return round(SECOND * relays / dest.listed_rate) if dest.listed_rate else 0


def max_limit_wait(dest: Destination) -> int:
    """The longest wait that a limit would tell, nanoseconds: to the end of a span of a second, or until a
    call is due where it takes few. A longer one says that the destination is shut."""
    return max(LIMIT_SPAN, round(2 * SECOND / dest.listed_rate) if dest.listed_rate else 0)
