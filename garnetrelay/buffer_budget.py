"""A limit on the bytes that all connections of a server buffer together."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Holder = TypeVar("Holder", bound=Hashable)


class BufferBudget(Generic[Holder]):
    """Counts the buffered bytes of each holder, and knows which holder has had some for the longest time."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self._sizes: dict[Holder, int] = {}  # in the order in which the holders began to buffer

    def update(self, holder: Holder, size: int) -> None:
        """Set the buffered bytes of a holder. One that holds none loses its place in the order."""
        previous = self._sizes.get(holder, 0)
        self.total_bytes += size - previous
        if size:
            self._sizes[holder] = size
        elif previous:
            del self._sizes[holder]

    def find_excess_holder(self) -> Holder | None:
        """Return the holder that began to buffer first if the limit is exceeded, else None."""
        return next(iter(self._sizes)) if self.total_bytes > self.max_bytes else None
