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

from garnetrelay.files import close_quietly, remove_quietly

log = logging.getLogger(__name__)


class Handover:
    """One process's side of it. OSError never gets out: what fails is tried again."""

    def __init__(self, folder: Path, most_bytes: int) -> None:
        self.max_bytes = most_bytes
        self.path = folder / "handover"
        self.temporary_path = folder / "handover.new"
        self.lock_path = folder / "sender"
        self.lock: int | None = None  # until it could be opened
        self.writing: int | None = None
        self.unwritten = bytearray()  # what the disk has not taken yet
        self.written = 0  # bytes, those that the disk has not taken yet included
        self.releasing = False  # the right to send goes as soon as what we know is written
        self.reading: int | None = None
        self.unread = b""
        self.read_failed = False  # there is more that could not be read yet
        self.failing = False

    def acquire(self) -> bool:
        """Whether the right to send is ours now. It comes with what its last holder leaves to read."""
        try:
            if self.lock is None:
                self.lock = os.open(self.lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        except OSError as error:
            self._failed("the right to send cannot be asked for", error)
            return False
        return True

    def read(self) -> list[Any]:
        """The lines that have come since; none where there is nothing, or no whole line."""
        try:
            if self.reading is None:
                self.reading = os.open(self.path, os.O_RDONLY | os.O_CLOEXEC)
            while piece := os.read(self.reading, 65536):
                self.unread += piece
        except FileNotFoundError:
            return []
        except OSError as error:  # what has been read so far is kept
            self.read_failed = True
            self._failed("cannot read", error)
            return []
        self.read_failed = False
        *lines, self.unread = self.unread.split(b"\n")
        return [value for line in lines if (value := _decoded(line)) is not None]

    def discard(self) -> None:
        """Nothing more will come, and nobody else is to read it; what could not be read yet stays."""
        if self.read_failed:
            return
        if self.reading is not None:
            close_quietly(self.reading)
            self.reading = None
        self.unread = b""
        if os.path.exists(self.path):
            remove_quietly(self.path)

    def release(self, learned: Any) -> None:
        """Leave what we know, then let go of the right to send. While what we know cannot be written the
        right stays here: whoever did not hear of a told wait would break it. See ``flush``."""
        self.releasing = True
        self.append_line(learned)

    def append_line(self, value: Any) -> None:
        """One more line for the process that sends now."""
        data = json.dumps(value, separators=(",", ":")).encode() + b"\n"
        if self.written + len(data) <= self.max_bytes:
            self.written += len(data)
            self.unwritten += data
        self.flush()

    def flush(self) -> None:
        """Write what the disk has not taken yet."""
        try:
            if self.writing is None:
                remove_quietly(self.temporary_path)
                flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
                self.writing = os.open(self.temporary_path, flags, 0o600)
            while self.unwritten:
                del self.unwritten[: os.write(self.writing, self.unwritten)]
            if self.releasing:
                os.rename(self.temporary_path, self.path)
        except OSError as error:
            self._failed("cannot write", error)
            return
        if self.releasing:
            self.releasing = False
            if self.lock is not None:
                fcntl.flock(self.lock, fcntl.LOCK_UN)

    def close(self) -> None:
        """Whoever holds the right to send lets go of it with this."""
        for file in (self.writing, self.reading, self.lock):
            if file is not None:
                close_quietly(file)

    def _failed(self, what: str, error: OSError) -> None:
        """Said once: who failed tries again soon."""
        if not self.failing:
            log.error("handover: %s: %s", what, error.strerror)
        self.failing = True


def _decoded(line: bytes) -> Any:
    try:
        return json.loads(line)
    except ValueError:
        log.warning("handover: a line can't be read")
        return None
