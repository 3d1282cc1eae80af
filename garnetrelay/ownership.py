"""Which messages are this process's: those in the journals whose locks it holds.

Two processes share the folder during an upgrade. Each message stands in one journal; a journal's lock says
whose it is, and ends with its holder. A kill halfway through a hand-over may leave a message in two journals,
both free by then: whoever takes them up takes it once.
"""

from __future__ import annotations

import json
import logging
import re
from collections import ChainMap
from collections.abc import Iterable
from itertools import count
from pathlib import Path

from garnetrelay.journal import Entry, Journal

log = logging.getLogger(__name__)

NAME = re.compile(r"journal(\.\d+)?")
LEARNED_SHARE = 8  # of the disk, an eighth is for what a process passes on besides messages


class Ownership:
    """The journals that are ours: one for what is taken on, and those that others left."""

    def __init__(self, folder: Path, disk_bytes: int, shared: bool) -> None:
        self.folder = folder
        self.shared = shared
        # Another process may come at any time, and the limit is for both together.
        self.most = (disk_bytes - disk_bytes // LEARNED_SHARE) // 2 if shared else disk_bytes
        self.journals: dict[str, Journal] = {}
        self.foreign: list[Path] = []  # another live process's, at the last look
        self.seen: set[str] = set()  # taken up while another process lives: a second journal may name it too
        self.entries: ChainMap[str, Entry] = ChainMap()
        self.own = self._create()
        self.take_up()

    def close(self) -> None:
        for journal in self.journals.values():
            journal.close()

    def take_up(self) -> list[Entry]:
        """Take every journal that nobody holds; the messages and notices that are ours from now on."""
        taken: list[Entry] = []
        self.foreign = []
        for name in sorted(path.name for path in self.folder.iterdir() if NAME.fullmatch(path.name)):
            if name in self.journals:
                continue
            try:
                journal = Journal(self.folder, self.most, name, create=False)
            except BlockingIOError:
                self.foreign.append(self.folder / name)
            except FileNotFoundError:
                pass
            except OSError as error:  # no descriptor is left, say: whoever looks goes on looking
                log.error("journal: %s cannot be taken up: %s", name, error.strerror)
            else:
                taken += self._add(journal)
        self.seen = self.seen | {entry.ref for entry in taken} if self.foreign else set()
        self._tidy()
        return taken

    def elsewhere(self, ref: str) -> bool:
        """Whether another live process has a message on record."""
        mark = b'"ref":' + json.dumps(ref).encode()
        return any(mark in _read(path) for path in self.foreign)

    def hand_over(self, refs: Iterable[str]) -> list[str]:
        """Move messages to a journal of their own and let go of it; those that were moved."""
        journal = self._create()
        moved = [ref for ref in refs if journal.taken(self.entries[ref])]
        for ref in moved:  # from here on a kill leaves it in one journal only
            self._journal(ref).ended(ref, None)
        del self.journals[journal.path.name]
        self._chain()
        if journal.entries:
            journal.close()
        else:
            journal.remove()
        return moved

    # ---- what happens to a message

    def has_room(self, weight: int) -> bool:
        """Left journals are ours to count too, until what is in them has ended. So is that of a process which
        is not gone yet, where none was meant to be beside us: it reckoned with the whole disk."""
        left = sum(journal.size for journal in self.journals.values() if journal is not self.own)
        if not self.shared:
            left += sum(_size(path) for path in self.foreign)
        return self.own.has_room(weight + left // 2)

    def taken(self, entry: Entry) -> bool:
        return self.own.taken(entry)

    def trying(self, ref: str, zone: str, now_ms: int) -> bool:
        return self._journal(ref).trying(ref, zone, now_ms)

    def outcome(self, ref: str, may_have_run: bool) -> None:
        self._journal(ref).outcome(ref, may_have_run)

    def ended(self, ref: str, result: str | None, wait_ms: int = 0) -> None:
        self._journal(ref).ended(ref, result, wait_ms)
        self._tidy()

    def told(self, ref: str) -> None:
        self._journal(ref).told(ref)
        self._tidy()

    # ---- the journals

    def _journal(self, ref: str) -> Journal:
        return next((journal for journal in self.journals.values() if ref in journal.entries), self.own)

    def _create(self) -> Journal:
        """The first that is free or new; its number tells nothing."""
        for number in count():
            name = f"journal.{number}" if number else "journal"
            if name in self.journals:
                continue
            try:
                journal = Journal(self.folder, self.most, name)
            except BlockingIOError:
                continue
            self.journals[name] = journal
            self._chain()
            return journal
        raise AssertionError("unreachable")

    def _add(self, journal: Journal) -> list[Entry]:
        for ref in [ref for ref in journal.entries if ref in self.seen or ref in self.entries]:
            journal.ended(ref, None)
            journal.told(ref)
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
            if journal is not self.own and not journal.entries:
                del self.journals[name]
                journal.remove()
                self._chain()


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except FileNotFoundError:
        return b""


def _size(path: Path) -> int:
    try:
        return path.stat().st_size
    except FileNotFoundError:
        return 0
