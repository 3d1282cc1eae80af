"""The right to send, of which there is one for all processes that share a folder, and what goes on with it.

Who holds the lock of the file ``sender`` sends and serves clients. Who lets go of it leaves a file of JSON
lines behind: what the Pacer has learned, then the outcome of each call that was still out.
"""

from __future__ import annotations

import fcntl
import json
import logging
import os
from pathlib import Path
from typing import Any

log = logging.getLogger(__name__)


class Handover:
    """One process's side of it."""

    def __init__(self, folder: Path, most_bytes: int) -> None:
        self.most = most_bytes
        self.path = folder / "handover"
        self.spare = folder / "handover.new"
        self.lock = os.open(folder / "sender", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.writing: int | None = None
        self.written = 0
        self.reading: int | None = None
        self.unread = b""

    def take(self) -> bool:
        """Whether the right to send is ours now. It comes with what its last holder leaves to read."""
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    def read(self) -> list[Any]:
        """The lines that have come since; none where there is nothing, or no whole line."""
        if self.reading is None:
            try:
                self.reading = os.open(self.path, os.O_RDONLY | os.O_CLOEXEC)
            except FileNotFoundError:
                return []
        while piece := os.read(self.reading, 65536):
            self.unread += piece
        *lines, self.unread = self.unread.split(b"\n")
        return [value for line in lines if (value := _decoded(line)) is not None]

    def forget(self) -> None:
        """Nothing more will come, and nobody else is to read it."""
        if self.reading is not None:
            os.close(self.reading)
            self.reading = None
        self.unread = b""
        self.path.unlink(missing_ok=True)

    def pass_on(self, learned: Any) -> None:
        """Leave what we know, then let go of the right to send."""
        try:
            self.spare.unlink(missing_ok=True)
            self.writing = os.open(self.spare, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
            self.written = 0
            self.tell(learned)
            os.rename(self.spare, self.path)
        except OSError as error:
            log.error("handover: what was learned cannot be passed on: %s", error.strerror)
        fcntl.flock(self.lock, fcntl.LOCK_UN)

    def tell(self, value: Any) -> None:
        """One more line for the process that sends now."""
        data = json.dumps(value, separators=(",", ":")).encode() + b"\n"
        if self.writing is None or self.written + len(data) > self.most:
            return
        try:
            self.written += os.write(self.writing, data)
        except OSError as error:
            log.error("handover: cannot write: %s", error.strerror)

    def close(self) -> None:
        for file in (self.writing, self.reading, self.lock):
            if file is not None:
                os.close(file)


def _decoded(line: bytes) -> Any:
    try:
        return json.loads(line)
    except ValueError:
        log.warning("handover: a line can't be read")
        return None
