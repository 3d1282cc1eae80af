"""A clock that leaps: it stands while anything happens on the sockets, and a wait in between is over at once.
So a test plays minutes in a second, and how busy the machine is has no part in what the clock shows."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any

import pytest

ON_ITS_WAY = 0.003  # real seconds in which what was written to a loopback socket reaches the other end
STEP = 0.1  # seconds, the least that the clock moves on by


class LeapingSelector(selectors.DefaultSelector):
    """Sees what is ready. Where nothing is, the wait that was asked for has passed."""

    def __init__(self) -> None:
        super().__init__()
        self.leapt = 0  # nanoseconds

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        ready = super().select(ON_ITS_WAY)
        if not ready:
            self.leapt += round(max(timeout, STEP) * 1e9)
        return ready


def play(monkeypatch: pytest.MonkeyPatch, scene: Coroutine[Any, Any, None]) -> None:
    """Run what a test plays, with all clocks of this process leaping."""
    selector = LeapingSelector()
    began, today = time.monotonic_ns(), time.time_ns()
    with monkeypatch.context() as patch:
        patch.setattr(time, "monotonic_ns", lambda: began + selector.leapt)
        patch.setattr(time, "monotonic", lambda: (began + selector.leapt) / 1e9)
        patch.setattr(time, "time_ns", lambda: today + selector.leapt)
        patch.setattr(time, "time", lambda: (today + selector.leapt) / 1e9)
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
            runner.run(scene)
