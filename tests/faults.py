"""System calls that fail while a test says so."""

from __future__ import annotations

import os
from typing import Any

import pytest


class FailingDisk:
    """Makes system calls on files fail while ``failing`` is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, number: int, calls: tuple[str, ...]) -> None:
        self.failing = True
        self.failed = 0
        for name in calls:
            monkeypatch.setattr(os, name, self._replaced(getattr(os, name), number))

    def _replaced(self, call: Any, number: int) -> Any:
        def replaced(*args: Any, **options: Any) -> Any:
            if self.failing:
                self.failed += 1
                raise OSError(number, os.strerror(number))
            return call(*args, **options)

        return replaced
