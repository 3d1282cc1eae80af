"""A simulated clock for tests on sockets.

It stands still while sockets are active and skips every wait in between. A test covers minutes in a second,
and the load of the machine does not affect its times.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any

import pytest

ON_ITS_WAY = 0.003  # real seconds for data on a loopback socket to reach the other end
STEP = 0.1  # seconds, the smallest advance of the clock


class SkippingSelector(selectors.DefaultSelector):
    """Returns ready files; advances the clock by the requested timeout if there are none."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped = 0  # nanoseconds

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        ready = super().select(ON_ITS_WAY)
        if not ready:
            self.skipped += round(max(timeout, STEP) * 1e9)
        return ready


def run_with_simulated_clock(monkeypatch: pytest.MonkeyPatch, scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario with the clocks of this process replaced by the simulated clock."""
    selector = SkippingSelector()
    monotonic_start, wall_start = time.monotonic_ns(), time.time_ns()
    with monkeypatch.context() as patch:
        patch.setattr(time, "monotonic_ns", lambda: monotonic_start + selector.skipped)
        patch.setattr(time, "monotonic", lambda: (monotonic_start + selector.skipped) / 1e9)
        patch.setattr(time, "time_ns", lambda: wall_start + selector.skipped)
        patch.setattr(time, "time", lambda: (wall_start + selector.skipped) / 1e9)
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
            runner.run(scenario)
