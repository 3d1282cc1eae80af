"""Which messages are this process's: those in the journals whose locks it holds.

Two processes share the folder during an upgrade. Each message stands in one journal; a journal's lock says
whose it is, and ends with its holder. A kill halfway through a hand-over may leave a message in two journals,
both free by then: whoever takes them up takes it once.
"""

from __future__ import annotations

import json
import logging
import os
import re
from collections import ChainMap
from collections.abc import Iterable
from pathlib import Path

from garnetrelay.journal import JournalEntry, Journal

log = logging.getLogger(__name__)

NAME = re.compile(r"journal(\.\d+)?")
MOST_JOURNALS = 1000  # files that are looked at for a free one
HANDOVER_SHARE = 8  # of the disk, an eighth is for what a process passes on besides messages


class Ownership:
    """The journals that are ours: one for what is taken on, and those that others left."""

    def __init__(self, folder: Path, disk_bytes: int, shared: bool) -> None:
        self.folder = folder
        self.shared = shared
        # Another process may come at any time, and the limit is for both together.
        self.max_bytes = (disk_bytes - disk_bytes // HANDOVER_SHARE) // 2 if shared else disk_bytes
        self.journals: dict[str, Journal] = {}
        self.held_by_others: list[Path] = []  # another live process's, at the last look
        self.unreadable: set[str] = set()  # what cannot be opened or read just now, at the last look
        # taken up while another process lives: a second journal may name it too
        self.acquired_ids: set[str] = set()
        self.entries: ChainMap[str, JournalEntry] = ChainMap()
        _require_folder(folder)
        self.own = self._create()  # None while none can be opened
        self.acquire_free_journals()

    def close(self) -> None:
        for journal in self.journals.values():
            journal.close()

    @property
    def may_have_more(self) -> bool:
        """Whether there may be more to take up: another process's, or what cannot be opened just now."""
        return bool(self.held_by_others or self.unreadable) or self.own is None

    @property
    def failing(self) -> bool:
        """Whether some record cannot be written just now."""
        return self.own is None or any(journal.failing for journal in self.journals.values())

    def flush(self) -> bool:
        """Write what could not be written before. Whether nothing is left to write."""
        flushed = [journal.flush() for journal in self.journals.values()]
        self._tidy()
        return self.own is not None and all(flushed)

    def acquire_free_journals(self) -> list[JournalEntry]:
        """Take every journal that nobody holds, and open one of our own where that was not possible before;
        the messages and notices that are ours from now on."""
        taken: list[JournalEntry] = []
        try:
            names = sorted(path.name for path in self.folder.iterdir() if NAME.fullmatch(path.name))
        except OSError as error:  # whoever looks goes on looking; what was another's is still held to be
            self._cannot_read("the folder", error)
            return taken
        foreign: list[Path] = []
        unreadable = self.unreadable
        self.unreadable = set()
        for name in names:
            if name in self.journals:
                continue
            try:
                journal = Journal(self.folder, self.max_bytes, name, create=False)
            except BlockingIOError:
                foreign.append(self.folder / name)
            except FileNotFoundError:
                pass
            except OSError as error:  # no descriptor is left, say
                self._cannot_read(name, error, unreadable)
            else:
                taken += self._add(journal)
        self.held_by_others = foreign
        self.acquired_ids = (
            self.acquired_ids | {entry.ref for entry in taken} if self.held_by_others else set()
        )
        if self.own is None and (own := self._create()) is not None:
            self.own = own
            del self.journals[own.path.name]
            self._chain()
            taken += self._add(own)  # a journal taken up before it may name the same messages
        self._tidy()
        return taken

    def _cannot_read(self, name: str, error: OSError, known: Iterable[str] = ()) -> None:
        """Said once, not at each look."""
        if name not in self.unreadable and name not in known:
            log.error("journal: %s cannot be taken up: %s", name, error.strerror)
        self.unreadable.add(name)

    def is_held_elsewhere(self, ref: str) -> bool:
        """Whether another live process has a message on record."""
        mark = b'"ref":' + json.dumps(ref).encode()
        return any(mark in _read(path) for path in self.held_by_others)

    def hand_over(self, refs: Iterable[str]) -> list[str]:
        """Move messages to a journal of their own and let go of it; those that were moved."""
        journal = self._create()
        if journal is None:
            return []
        moved = [ref for ref in refs if journal.accept(self.entries[ref])]
        for ref in moved:  # from here on a kill leaves it in one journal only
            self.record_finish(ref, None)
        del self.journals[journal.path.name]
        self._chain()
        if journal.entries or not journal.remove():
            journal.close()
        return moved

    # ---- what happens to a message

    def has_room(self, weight: int) -> bool:
        """Left journals are ours to count too, until what is in them has ended. So is that of a process which
        is not gone yet, where none was meant to be beside us: it reckoned with the whole disk."""
        left = sum(journal.size for journal in self.journals.values() if journal is not self.own)
        if not self.shared:
            left += sum(_size(path) for path in self.held_by_others)
        return self.own is not None and self.own.has_room(weight + left // 2)

    def accept(self, entry: JournalEntry) -> bool:
        """Whether the message is on record now; without that it must not be taken on."""
        return self.own is not None and self.own.accept(entry)

    def can_record(self, ref: str) -> bool:
        """Whether an attempt of a message could be recorded just now, as far as is known."""
        journal = self._journal(ref)
        return journal is not None and not journal.failing

    def record_attempt_start(self, ref: str, zone: str, now_ms: int) -> bool:
        """Whether the attempt is on record now; without that its first byte must not go out."""
        journal = self._journal(ref)
        return journal is not None and journal.record_attempt_start(ref, zone, now_ms)

    def record_outcome(self, ref: str, may_have_run: bool) -> None:
        if (journal := self._journal(ref)) is not None:
            journal.record_outcome(ref, may_have_run)

    def record_finish(self, ref: str, result: str | None, wait_ms: int = 0) -> bool:
        """Whether the end is on record now; see ``Journal.record_finish``."""
        journal = self._journal(ref)
        recorded = journal is not None and journal.record_finish(ref, result, wait_ms)
        self._tidy()
        return recorded

    def record_notified(self, ref: str) -> None:
        if (journal := self._journal(ref)) is not None:
            journal.record_notified(ref)
        self._tidy()

    # ---- the journals

    def _journal(self, ref: str) -> Journal | None:
        return next((journal for journal in self.journals.values() if ref in journal.entries), self.own)

    def _create(self) -> Journal | None:
        """The first that is free or new; its number tells nothing. None where none can be opened just now."""
        for number in range(MOST_JOURNALS):
            name = f"journal.{number}" if number else "journal"
            if name in self.journals:
                continue
            stood_there = os.path.exists(self.folder / name)
            try:
                journal = Journal(self.folder, self.max_bytes, name)
            except (BlockingIOError, FileNotFoundError):  # another's, or removed just as we opened it
                continue
            except OSError as error:
                self._cannot_read(name, error)
                if stood_there:  # perhaps that file alone
                    continue
                return None
            self.journals[name] = journal
            self._chain()
            return journal
        return None

    def _add(self, journal: Journal) -> list[JournalEntry]:
        for ref in [ref for ref in journal.entries if ref in self.acquired_ids or ref in self.entries]:
            journal.record_finish(ref, None)
            journal.record_notified(ref)
        self.journals[journal.path.name] = journal
        self._chain()
        return list(journal.entries.values())

    def _chain(self) -> None:
        self.entries = ChainMap(*(journal.entries for journal in self.journals.values()))

    def _tidy(self) -> None:
        """A left journal goes with its last message."""
        if len(self.journals) == 1:
            return
        for name, journal in list(self.journals.items()):
            if journal is not self.own and not journal.entries and journal.remove():
                del self.journals[name]
                self._chain()


def _require_folder(folder: Path) -> None:
    """OSError where there is none: that is no passing trouble."""
    try:
        folder.stat()
    except (FileNotFoundError, NotADirectoryError):
        raise
    except OSError as error:
        log.error("journal: the folder cannot be read: %s", error.strerror)


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:
        return b""


def _size(path: Path) -> int:
    try:
        return path.stat().st_size
    except OSError:
        return 0
