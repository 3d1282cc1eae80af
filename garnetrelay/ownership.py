"""Ownership of messages: a process owns the messages in the journals whose locks it holds.

Two processes share the folder during an upgrade. Normally each message is in one journal. The holder of a
journal's lock owns its messages, and the kernel frees the lock when the holder exits. A kill during a
hand-over may leave a message in two unlocked journals; the process that acquires both keeps it once.
"""

from __future__ import annotations

import logging
import os
import re
from collections import ChainMap
from collections.abc import Iterable
from pathlib import Path

from garnetrelay.files import file_size
from garnetrelay.journal import (
    FOLDER_SLACK_BYTES,
    RECORD_OVERHEAD,
    JournalEntry,
    Journal,
    record_weight,
)
from garnetrelay.journal_follower import JournalFollower
from starlingwick.storage_share import StorageReservations, may_use_share

log = logging.getLogger(__name__)

JOURNAL_NAME = re.compile(r"journal(\.\d+)?")
MAX_JOURNALS = 1000  # file names that are tried to find a free one
HANDOVER_DISK_DIVISOR = 8  # the hand-over file gets 1/8 of the disk limit


class Ownership:
    """The journals that this process holds: its own for new messages, and those that others left."""

    def __init__(self, folder: Path, disk_bytes: int, shared: bool) -> None:
        self.folder = folder
        self.shared = shared
        # For each journal. Another process may start at any time, and the disk limit applies to both
        # together.
        self.folder_limit = disk_bytes - disk_bytes // HANDOVER_DISK_DIVISOR if shared else disk_bytes
        self.max_bytes = self.folder_limit // 2 if shared else disk_bytes
        self.journals: dict[str, Journal] = {}
        self.held_by_others: list[Path] = []  # locked by another live process at the last check
        self.followers: dict[Path, JournalFollower] = {}  # of the journals that others hold
        self.unreadable: set[str] = set()  # could not be opened or read at the last check
        # ids acquired while another process is alive: a second journal may contain the same messages
        self.acquired_ids: set[str] = set()
        self.entries: ChainMap[str, JournalEntry] = ChainMap()
        self.reservations = StorageReservations()  # of messages that are not accepted yet
        _require_folder(folder)
        self.own_journal = self._open_free_journal()  # None while no journal can be opened
        self.acquire_free_journals()

    def close(self) -> None:
        """Close all journals and release their locks."""
        for journal in self.journals.values():
            journal.close()
        self._set_held_by_others([])

    @property
    def may_have_more(self) -> bool:
        """Whether more journals may be acquired later.

        These are the journals of another process, those not readable yet, or the own one if it could not be
        opened.
        """
        return bool(self.held_by_others or self.unreadable) or self.own_journal is None

    @property
    def failing(self) -> bool:
        """Whether some record cannot be written at present."""
        return self.own_journal is None or any(journal.failing for journal in self.journals.values())

    def flush(self) -> bool:
        """Write pending records. Return whether writes succeed.

        Removes acquired journals without entries.
        """
        flushed = [journal.flush() for journal in self.journals.values()]
        self._remove_empty_journals()
        return self.own_journal is not None and all(flushed)

    def acquire_free_journals(self) -> list[JournalEntry]:
        """Acquire all unlocked journals, and open the own journal if that was not possible before.

        Returns the entries of the acquired journals: messages and notices that this process owns now.
        Removes acquired journals without entries.
        """
        acquired: list[JournalEntry] = []
        try:
            names = sorted(path.name for path in self.folder.iterdir() if JOURNAL_NAME.fullmatch(path.name))
        except OSError as error:  # the caller checks again; held_by_others stays as it was
            self._report_unreadable("the folder", error)
            return acquired
        locked_journals: list[Path] = []
        unreadable = self.unreadable
        self.unreadable = set()
        for name in names:
            if name in self.journals:
                continue
            try:
                journal = self._open_journal(name, create=False)
            except BlockingIOError:
                locked_journals.append(self.folder / name)
            except FileNotFoundError:
                pass
            except OSError as error:  # for example if no descriptor is left
                self._report_unreadable(name, error, unreadable)
            else:
                acquired += self._add_journal(journal)
        self._set_held_by_others(locked_journals)
        self.acquired_ids = (
            self.acquired_ids | {entry.ref for entry in acquired} if self.held_by_others else set()
        )
        if self.own_journal is None and (new_journal := self._open_free_journal()) is not None:
            self.own_journal = new_journal
            del self.journals[new_journal.path.name]
            self._rebuild_entries()
            # Journals acquired before may contain the same messages.
            acquired += self._add_journal(new_journal)
        self._remove_empty_journals()
        return acquired

    def _report_unreadable(self, name: str, error: OSError, already_reported: Iterable[str] = ()) -> None:
        """Log once, not at each check, that a file cannot be opened or read."""
        if name not in self.unreadable and name not in already_reported:
            log.error("journal: %s cannot be opened or read: %s", name, error.strerror)
        self.unreadable.add(name)

    def is_held_elsewhere(self, message_id: str) -> bool:
        """Return whether a journal of another live process has any record of a message, even of its end."""
        return any(self._follower(path).knows(message_id) for path in self.held_by_others)

    def _follower(self, path: Path) -> JournalFollower:
        if path not in self.followers:
            self.followers[path] = JournalFollower(path)
        return self.followers[path]

    def _set_held_by_others(self, paths: list[Path]) -> None:
        """Set the journals that others hold, and stop following those that were released."""
        self.held_by_others = paths
        for path in self.followers.keys() - set(paths):
            self.followers.pop(path).close()

    def hand_over(self, message_ids: Iterable[str]) -> list[str]:
        """Move messages to a separate journal and release it. Return the ids of the moved messages."""
        journal = self._open_free_journal()
        if journal is None:
            return []
        moved = [message_id for message_id in message_ids if journal.accept(self.entries[message_id])]
        for message_id in moved:  # after this a kill leaves it in one journal only
            self.record_finish(message_id, None)
        del self.journals[journal.path.name]
        self._rebuild_entries()
        if journal.entries or not journal.remove():
            journal.close()
        return moved

    # ---- records of messages

    def has_room(self, weight: int) -> bool:
        """Return whether one more message fits.

        Acquired journals count until their messages have ended. Without a shared folder the journal of a
        process that has not exited yet counts as well: that process may use the whole disk limit.
        """
        # Halved, because a journal's capacity counts the bytes of both its files.
        needed = weight + self._other_journals_bytes() // 2
        return self.own_journal is not None and self.own_journal.has_room(needed)

    def reserve(self, message_id: str, destination: int, key: str | None, body: bytes) -> bool:
        """Reserve room for a message until ``clear_reservations``. Return whether there is room.

        A message beyond its destination's share gets none, so that one destination leaves room for others.
        """
        weight = record_weight(message_id, key, body)
        if self.own_journal is None or not self.has_room(self.reservations.total + weight):
            return False
        size = weight + RECORD_OVERHEAD
        free = self.own_journal.capacity - self._other_journals_bytes() // 2
        free -= self.own_journal.live_bytes + self.reservations.total
        used = self.reservations.by_destination[destination]
        for journal in self.journals.values():
            used += journal.live_bytes_by_destination.get(destination, 0)
        if not may_use_share(size, used, free):
            return False
        self.reservations.add(destination, size)
        return True

    def clear_reservations(self) -> None:
        """Release the reservations. The caller accepts or rejects the messages at once."""
        self.reservations.clear()

    def _other_journals_bytes(self) -> int:
        """Return the bytes of the files beside the own journal that count towards the disk limit."""
        acquired = sum(journal.size for journal in self.journals.values() if journal is not self.own_journal)
        if self.shared:
            return acquired
        return acquired + sum(file_size(path) for path in self.held_by_others)

    def accept(self, entry: JournalEntry) -> bool:
        """Record a message. Return whether it is recorded; otherwise it must not be accepted."""
        return self.own_journal is not None and self.own_journal.accept(entry)

    def can_record(self, message_id: str) -> bool:
        """Return whether an attempt of a message can probably be recorded at present."""
        journal = self._journal_of(message_id)
        return journal is not None and not journal.failing

    def record_attempt_start(self, message_id: str, zone: str, now_ms: int) -> bool:
        """Record an attempt. Return whether it is recorded; otherwise its first byte must not be sent."""
        journal = self._journal_of(message_id)
        return journal is not None and journal.record_attempt_start(message_id, zone, now_ms)

    def record_outcome(self, message_id: str, possibly_executed: bool) -> None:
        """Record the outcome of an attempt."""
        if (journal := self._journal_of(message_id)) is not None:
            journal.record_outcome(message_id, possibly_executed)

    def record_finish(self, message_id: str, result: str | None, wait_ms: int = 0) -> bool:
        """Record an end. Return whether it is recorded; see ``Journal.record_finish``.

        Removes acquired journals without entries.
        """
        journal = self._journal_of(message_id)
        recorded = journal is not None and journal.record_finish(message_id, result, wait_ms)
        self._remove_empty_journals()
        return recorded

    def record_notified(self, message_id: str) -> None:
        """Record that the notice of a message was acknowledged.

        Removes acquired journals without entries.
        """
        if (journal := self._journal_of(message_id)) is not None:
            journal.record_notified(message_id)
        self._remove_empty_journals()

    # ---- journals

    def _journal_of(self, message_id: str) -> Journal | None:
        """Return the journal that contains the message; if none does, the own one, or None without one."""
        return next(
            (journal for journal in self.journals.values() if message_id in journal.entries), self.own_journal
        )

    def _open_free_journal(self) -> Journal | None:
        """Open the first unlocked or new journal. Return None if none can be opened.

        The number in its name only makes the name unique.
        """
        for number in range(MAX_JOURNALS):
            name = f"journal.{number}" if number else "journal"
            if name in self.journals:
                continue
            existed = os.path.exists(self.folder / name)
            try:
                journal = self._open_journal(name, create=True)
            except (BlockingIOError, FileNotFoundError):
                # It is locked by another process, or was removed while it was opened.
                continue
            except OSError as error:
                self._report_unreadable(name, error)
                if existed:  # the error may concern that file only
                    continue
                return None
            self.journals[name] = journal
            self._rebuild_entries()
            return journal
        return None

    def _open_journal(self, name: str, create: bool) -> Journal:
        """Open a journal. Raises what ``Journal`` raises."""
        journal = Journal(self.folder, self.max_bytes, name, create)
        journal.folder_limit = self.folder_limit - FOLDER_SLACK_BYTES
        return journal

    def _add_journal(self, journal: Journal) -> list[JournalEntry]:
        """Add an acquired journal, and drop from it the messages that another journal contains or contained.

        Returns its remaining entries.
        """
        for message_id in [
            message_id
            for message_id in journal.entries
            if message_id in self.acquired_ids or message_id in self.entries
        ]:
            journal.record_finish(message_id, None)
            journal.record_notified(message_id)
        self.journals[journal.path.name] = journal
        self._rebuild_entries()
        return list(journal.entries.values())

    def _rebuild_entries(self) -> None:
        self.entries = ChainMap(*(journal.entries for journal in self.journals.values()))

    def _remove_empty_journals(self) -> None:
        """Remove acquired journals that have no entries left."""
        if len(self.journals) == 1:
            return
        for name, journal in list(self.journals.items()):
            if journal is not self.own_journal and not journal.entries and journal.remove():
                del self.journals[name]
                self._rebuild_entries()


def _require_folder(folder: Path) -> None:
    """Raise OSError if the folder does not exist. Other errors may be temporary and are only logged."""
    try:
        folder.stat()
    except (FileNotFoundError, NotADirectoryError):
        raise
    except OSError as error:
        log.error("journal: the folder cannot be read: %s", error.strerror)
