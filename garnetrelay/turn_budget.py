"""A limit on the time that some kind of work takes in one iteration of the event loop."""

from __future__ import annotations

import asyncio


class TurnBudget:
    """Counts the time since the first work in this iteration. It starts anew with the next iteration."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self._ends_at: float | None = None  # the event loop's clock; None before the first work

    def is_spent(self) -> bool:
        """Return whether the time is over. The first call in an iteration starts it."""
        loop = asyncio.get_running_loop()
        if self._ends_at is None:
            self._ends_at = loop.time() + self.seconds
            loop.call_soon(self._reset)  # runs before the input of the next iteration
            return False
        return loop.time() >= self._ends_at

    def _reset(self) -> None:
        self._ends_at = None
