"""Fault injection: system calls that fail on demand."""

from __future__ import annotations

import os
from typing import Any

import pytest


class FailingDisk:
    """Makes system calls on files fail while ``failing`` is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, error_number: int, calls: tuple[str, ...]) -> None:
        self.failing = True
        self.failed = 0
        for name in calls:
            monkeypatch.setattr(os, name, self._wrap(getattr(os, name), error_number))

    def _wrap(self, call: Any, error_number: int) -> Any:
        def wrapped(*args: Any, **options: Any) -> Any:
            if self.failing:
                self.failed += 1
                raise OSError(error_number, os.strerror(error_number))
            return call(*args, **options)

        return wrapped
