"""How much of the journal's room one destination may take, so that its backlog leaves room for others.

This is buffer sharing by a dynamic threshold: a destination may use up to a multiple of what is free. One
that hangs while it gets much traffic takes at most ``THRESHOLD / (1 + THRESHOLD)`` of the room; several of
them leave some of it free as well, whatever their number.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

THRESHOLD = 2.0  # a destination may use up to this multiple of the free room


@dataclass(slots=True)
class StorageReservations:
    """Room that was promised to messages which are not recorded yet. All sizes are bytes."""

    total: int = 0
    by_destination: Counter[int] = field(default_factory=Counter)

    def add(self, destination: int, size: int) -> None:
        """Promise room to a message."""
        self.total += size
        self.by_destination[destination] += size

    def clear(self) -> None:
        """Forget all promises: each message has been recorded or rejected."""
        self.total = 0
        self.by_destination.clear()


def may_use_share(size: int, used: int, free: int) -> bool:
    """Return whether a message of ``size`` bytes keeps its destination within its share.

    ``used`` is what recorded and reserved messages of the destination take, ``free`` the room that those of
    all destinations leave.
    """
    return used + size <= THRESHOLD * (free - size)
