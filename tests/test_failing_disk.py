"""The lasting folder fails for a while: what was taken on is still owed, and what has ended stays ended."""

from __future__ import annotations

import errno
import os
import time
from pathlib import Path
from typing import Any

import pytest

from garnetrelay.journal import Entry, Journal

DISK = 3_000_000
ERRORS = [errno.ENOSPC, errno.EIO, errno.EDQUOT]


def entry(ref: str, body: bytes = b"body") -> Entry:
    return Entry(ref, "unsafe", 3, "k", time.monotonic_ns() // 1_000_000 + 60_000, body)


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


@pytest.mark.parametrize("number", ERRORS)
def test_message_that_ended_while_the_disk_was_full_does_not_come_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    journal = Journal(tmp_path, DISK)
    for ref in ("bounced", "told"):
        assert journal.taken(entry(ref))
    journal.ended("told", "dead")
    disk = FailingDisk(monkeypatch, number, ("write",))
    journal.ended("bounced", "bounced", 500)
    journal.told("told")
    disk.failing = False
    for count in range(20):
        assert journal.taken(entry(f"later{count}"))
    journal.close()
    entries = Journal(tmp_path, DISK).entries
    assert entries["bounced"].ended == "bounced" and entries["bounced"].wait_ms == 500
    assert "told" not in entries
