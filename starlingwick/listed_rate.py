"""Limits of a destination, derived from its listed or reported rate."""

from __future__ import annotations

from starlingwick.state import SECOND, Destination

LIMIT_WINDOW = 6 * SECOND // 5  # nanoseconds: the one-second window of a limit, and some delay of its reports


def call_interval(destination: Destination, relays: int) -> int:
    """Return the time in which one relay's part of a known limit is one call, nanoseconds; 0 if no limit is
    known."""
    return round(SECOND * relays / destination.listed_rate) if destination.listed_rate else 0


def max_limit_wait(destination: Destination) -> int:
    """Return the longest retry-after wait that a limit explains, nanoseconds: to the end of a window of one
    second, or until a call is due if the rate is low. A longer wait means that the destination is
    unavailable."""
    return max(LIMIT_WINDOW, round(2 * SECOND / destination.listed_rate) if destination.listed_rate else 0)
