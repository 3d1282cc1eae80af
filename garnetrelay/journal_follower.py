"""Knows which messages another live process has recorded in its journal, by reading what it appends."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

from garnetrelay.files import close_quietly, read_all
from garnetrelay.journal_records import DamagedRange, Record, RecordReader


class JournalFollower:
    """Follows one journal file. The ids of finished messages stay known after a rewrite has dropped them.

    No method raises OSError: what cannot be read at present is read at the next call.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.message_ids: set[str] = set()
        self._file: int | None = None  # stays open, so that its inode number is not used again
        self._reader = RecordReader()
        self._position = 0  # behind the last complete record

    def knows(self, message_id: str) -> bool:
        """Return whether the journal has any record of the message, even of its end."""
        if message_id not in self.message_ids:
            self._refresh()
        return message_id in self.message_ids

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            close_quietly(self._file)
            self._file = None

    def _refresh(self) -> None:
        """Read what was appended since the last call, also to a file that has replaced the one followed."""
        try:
            if self._file is not None:
                self._read_appended(self._file)
                if not os.path.samestat(os.fstat(self._file), os.stat(self.path)):
                    self.close()
            if self._file is None:
                self._file = os.open(self.path, os.O_RDONLY | os.O_CLOEXEC)
                self._reader, self._position = RecordReader(), 0
                self._read_appended(self._file)
        except OSError:
            pass

    def _read_appended(self, file: int) -> None:
        """Read the records behind the position. The bytes of an incomplete one are read again next time, as
        its writer may replace them."""
        start = self._position
        for item in self._reader.read(read_all(file, start)):
            self._position = start + item.end
            if not isinstance(item, DamagedRange):
                self._note(item)

    def _note(self, record: Record) -> None:
        try:
            fields: Any = record.decode()[0]
        except ValueError:
            return
        if isinstance(fields, dict) and isinstance(fields.get("ref"), str):
            self.message_ids.add(fields["ref"])
