"""System calls on files of the lasting folder, with what each may leave undone: short reads, short writes,
errors at closing and removing."""

from __future__ import annotations

import contextlib
import logging
import os
from pathlib import Path

log = logging.getLogger(__name__)


def write_all(file: int, data: bytes) -> None:
    """Write all of ``data``; the kernel may take a part at a time. OSError where it does not take the rest:
    a part may stand in the file then."""
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]


def read_all(file: int) -> bytes:
    """The file from its first byte to its end. OSError where a part cannot be read."""
    pieces = []
    at = 0
    while piece := os.pread(file, max(1, os.fstat(file).st_size - at), at):
        pieces.append(piece)
        at += len(piece)
    return b"".join(pieces)


def close_quietly(file: int) -> None:
    """Close a descriptor. Linux frees it whatever error the call reports: there is nothing to try again."""
    with contextlib.suppress(OSError):
        os.close(file)


def remove_quietly(path: Path) -> bool:
    """Whether the file is gone. False, with a line in the log, where it cannot be removed just now."""
    try:
        path.unlink(missing_ok=True)
    except OSError as error:
        log.warning("%s cannot be removed: %s", path.name, error.strerror)
        return False
    return True
