"""File operations for the state folder that handle what the system calls may leave undone: short reads, short
writes, and errors when closing or removing a file."""

from __future__ import annotations

import contextlib
import logging
import os
from pathlib import Path

log = logging.getLogger(__name__)


def write_all(file: int, data: bytes) -> None:
    """Write all of ``data``; one system call may write only a part. Raises OSError if the rest cannot be
    written, in which case a part may be in the file."""
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]


def read_all(file: int, offset: int = 0) -> bytes:
    """Return the contents of the file from ``offset`` on. Raises OSError if a part cannot be read."""
    chunks = []
    while chunk := os.pread(file, max(1, os.fstat(file).st_size - offset), offset):
        chunks.append(chunk)
        offset += len(chunk)
    return b"".join(chunks)


def close_quietly(file: int) -> None:
    """Close a descriptor and ignore errors. Linux frees it whatever error close reports, so there is nothing
    to retry."""
    with contextlib.suppress(OSError):
        os.close(file)


def remove_quietly(path: Path) -> bool:
    """Remove a file, if it exists. Returns False, after logging a warning, if it cannot be removed at
    present."""
    try:
        path.unlink(missing_ok=True)
    except OSError as error:
        log.warning("%s cannot be removed: %s", path.name, error.strerror)
        return False
    return True


def file_size(path: Path) -> int:
    """Return the size of a file in bytes; 0 if it does not exist or cannot be examined at present."""
    try:
        return path.stat().st_size
    except OSError:
        return 0
