"""The right to send, held by one of the processes that share a folder, and the hand-over of state.

The process that holds the lock of the file ``sender`` sends and serves clients. When it releases the lock it
leaves a file of JSON lines: the state of its Pacer, then the outcome of each call that was still in flight.
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
    """One process's side of the hand-over. Raises no OSError: failed operations are retried."""

    def __init__(self, folder: Path, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.path = folder / "handover"
        self.temporary_path = folder / "handover.new"
        self.lock_path = folder / "sender"
        self.lock_file: int | None = None  # None until it could be opened
        self.output_file: int | None = None
        self.output_buffer = bytearray()  # not written to the disk yet
        self.total_bytes = 0  # of all lines, including those in the output buffer
        self.releasing = False  # the lock is released once the state is written
        self.input_file: int | None = None
        self.input_buffer = b""
        self.read_failed = False  # more lines may exist that could not be read
        self.failing = False

    def acquire(self) -> bool:
        """Try to acquire the right to send. Return whether this process holds it now.

        The hand-over of its last holder can be read from then on.
        """
        try:
            if self.lock_file is None:
                self.lock_file = os.open(self.lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        except OSError as error:
            self._report_failure("cannot lock the right to send", error)
            return False
        return True

    def read(self) -> list[Any]:
        """Return the lines written since the last call; an incomplete last line is left for the next call.

        The lines of a file that a later hand-over has replaced precede those of the later one.
        """
        lines: list[bytes] = []
        try:
            lines += self._read_lines()
            if self._is_replaced():
                self._close_input()
                lines += self._read_lines()
        except FileNotFoundError:
            pass
        except OSError as error:  # the data read so far is kept
            self.read_failed = True
            self._report_failure("cannot read", error)
        else:
            self.read_failed = False
        return [value for line in lines if (value := _decode_line(line)) is not None]

    def _read_lines(self) -> list[bytes]:
        """Return the complete lines that the input file has gained. Raises OSError."""
        if self.input_file is None:
            self.input_file = os.open(self.path, os.O_RDONLY | os.O_CLOEXEC)
        while chunk := os.read(self.input_file, 65536):
            self.input_buffer += chunk
        *lines, self.input_buffer = self.input_buffer.split(b"\n")
        return lines

    def _is_replaced(self) -> bool:
        """Return whether the input file is not the latest hand-over any more: a later predecessor has left
        one of its own. Raises OSError."""
        if self.input_file is None or not os.path.exists(self.path):
            return False
        return os.stat(self.path).st_ino != os.fstat(self.input_file).st_ino

    def _close_input(self) -> None:
        if self.input_file is not None:
            close_quietly(self.input_file)
            self.input_file = None
        self.input_buffer = b""

    def discard(self) -> None:
        """Remove the file once no more lines will be written. It stays if it could not be read completely."""
        if self.read_failed:
            return
        self._close_input()
        if os.path.exists(self.path):
            remove_quietly(self.path)

    def release(self, state: Any) -> None:
        """Write the state, then release the right to send.

        The right is kept while the state cannot be written: a successor that does not know of a retry-after
        would violate it. See ``flush``.
        """
        self.releasing = True
        self.append_line(state)

    def append_line(self, value: Any) -> None:
        """Append a line for the successor. Logs an error if there is no room for it."""
        data = _encode_line(value)
        if self.total_bytes + len(data) <= self.max_bytes:
            self.total_bytes += len(data)
            self.output_buffer += data
        else:
            log.error("handover: no room for a line of %d bytes, the successor does not get it", len(data))
        self.flush()

    def has_room(self, value: Any) -> bool:
        """Return whether a line fits and leaves half of the limit for those that follow it."""
        return self.total_bytes + len(_encode_line(value)) <= self.max_bytes // 2

    def flush(self) -> None:
        """Write the output buffer, then release the right to send if that is due."""
        try:
            if self.output_file is None:
                remove_quietly(self.temporary_path)
                flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
                self.output_file = os.open(self.temporary_path, flags, 0o600)
            while self.output_buffer:
                del self.output_buffer[: os.write(self.output_file, self.output_buffer)]
            if self.releasing:
                os.rename(self.temporary_path, self.path)
        except OSError as error:
            self._report_failure("cannot write", error)
            return
        if self.releasing:
            self.releasing = False
            if self.lock_file is not None:
                fcntl.flock(self.lock_file, fcntl.LOCK_UN)

    def close(self) -> None:
        """Close all files. This releases the right to send if the process holds it."""
        for file in (self.output_file, self.input_file, self.lock_file):
            if file is not None:
                close_quietly(file)

    def _report_failure(self, operation: str, error: OSError) -> None:
        """Log the first failure only: operations are retried at short intervals."""
        if not self.failing:
            log.error("handover: %s: %s", operation, error.strerror)
        self.failing = True


def _encode_line(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"


def _decode_line(line: bytes) -> Any:
    try:
        return json.loads(line)
    except ValueError:
        log.warning("handover: a line is not valid JSON")
        return None
