"""The write-ahead journal of accepted messages.

The journal is one append-only file, locked while it is open. The holder of the lock owns the messages in it;
the kernel releases the lock when the holder dies. Each record carries its length and a checksum and is
appended in one unbuffered write: the kernel keeps it when the process is killed, so no sync is needed.
Records of finished messages are dropped by a rewrite: the live entries go to a new file beside the old one,
which is then renamed over it. Both files together stay within the disk limit.

``journal_records`` has the framing of the records. Record kinds:
``taken`` (a message was accepted; after a rewrite, its full state), ``try`` (the first byte of an attempt is
about to be sent), ``outcome``, ``ended`` and ``told`` (its notice was acknowledged). ``clock`` names the
boot and the offset for the records after it: a recorded time is that boot's monotonic time plus the offset,
which makes it close to wall-clock time. Records without a ``clock`` record before them come from
earlier versions, whose times are wall-clock times. A ``told`` record of no message has no effect: it
guards a message's record (see ``journal_records``), or tests that the disk works.
"""

from __future__ import annotations

import fcntl
import logging
import os
import time
from collections import deque
from dataclasses import dataclass, replace
from itertools import chain
from pathlib import Path
from typing import Any

from garnetrelay.clock import boot_id, monotonic_ms, wall_offset_ms
from garnetrelay.files import close_quietly, file_size, read_all, remove_quietly, write_all
from garnetrelay.journal_records import (
    MAGIC,
    RECORD_HEADER,
    DamagedRange,
    Guards,
    Record,
    RecordReader,
    encode_record,
)

log = logging.getLogger(__name__)

BLOCK_SIZE = 512  # bytes; a file occupies whole blocks
FOLDER_SLACK_BYTES = 8 * BLOCK_SIZE  # left free for the ends of blocks and for the files of locks
# bytes reserved for a message: its full record apart from names and body, and some later records about it
RECORD_OVERHEAD = 1024
MIN_REWRITE_BYTES = 256 * 1024  # a smaller file is not rewritten only to drop dead records
REWRITE_RETRY_DELAY = 1.0  # seconds until an optional rewrite is tried again after it failed
GUARDS_BYTES = 256  # at most, for both guards of a record
END_RECORDS_BYTES = 512  # for the records of the end of one message and of its notice


@dataclass(slots=True)
class JournalEntry:
    """The recorded state of a message. Times are milliseconds of this boot's monotonic clock."""

    ref: str
    klass: str
    dest: int
    key: str | None
    deadline: int
    body: bytes
    attempts: int = 0
    trying_at: int | None = None  # start of an attempt without an outcome, which may have been executed
    trying_zone: str = ""
    ran_at: int | None = None  # start of the first attempt that may have been executed
    ran_zone: str = ""
    ended: str | None = None  # a result whose notice is not acknowledged yet
    wait_ms: int = 0
    # an attempt may be missing (a record was damaged) or its time is unknown (another boot): the message's
    # deduplication window counts as over
    uncertain: bool = False


class Journal:
    """Appends records, keeps the live entries and rewrites the file to reclaim space.

    While the disk fails, the entries in memory are ahead of the file: ``pending`` holds the records that
    are not in the file yet. They are written before any other record as soon as the disk accepts writes
    again.
    """

    def __init__(self, folder: Path, disk_bytes: int, name: str = "journal", create: bool = True) -> None:
        """Open, lock and read the journal.

        Raises BlockingIOError if another process holds it, FileNotFoundError if it does not exist or was
        removed meanwhile, and any other OSError if it cannot be opened or read at present.
        """
        self.path = folder / name
        self.temporary_path = folder / f"{name}.new"
        self._own_paths = (self.path, self.temporary_path)
        self.max_bytes = disk_bytes - FOLDER_SLACK_BYTES
        self.folder_limit = self.max_bytes  # bytes of all journals; another process may hold some of them
        self.entries: dict[str, JournalEntry] = {}
        # bytes that the live entries would take in a rewritten file, including their later records
        self.live_bytes = 0
        self.live_bytes_by_destination: dict[int, int] = {}
        self.pending: deque[bytes] = deque()  # records that could not be written yet, oldest first
        self.failing = False  # the latest record could not be written
        self.has_torn_tail = False  # the file ends in a partial record, to be truncated before the next write
        self.boot = boot_id()
        self.offset = wall_offset_ms()  # from times in memory to times in the file
        self.is_current_boot = False  # the times in the file are of this boot
        self.rewrite_failed = False  # the latest one
        self.next_rewrite_at = 0.0  # when an optional rewrite may be tried again
        self.guards: Guards | None = None  # of the file, once it has a record
        self.has_unguarded_body = False  # of a live message, in a file of an earlier version
        self.file = _open_locked(self.path, os.O_CREAT if create else 0)
        remove_quietly(self.temporary_path)  # left by a rewrite that a kill interrupted
        try:
            self.size = self._load()
        except OSError:
            close_quietly(self.file)
            raise
        self._mark_attempt_times_uncertain()
        if not self.is_current_boot:
            self.offset = wall_offset_ms()
            self.pending.append(self._clock_record(monotonic_ms()))

    def close(self) -> None:
        """Release the journal: the next process to acquire it owns its messages."""
        close_quietly(self.file)

    def remove(self) -> bool:
        """Remove the file. Returns False if that fails; the journal then stays open and locked."""
        if not remove_quietly(self.path):  # still locked: no other process can have acquired it meanwhile
            return False
        self.close()
        return True

    # ---- message lifecycle

    @property
    def capacity(self) -> int:
        """The most that ``live_bytes`` may become: the old and the rewritten file must fit together."""
        return self.max_bytes // 2

    def has_room(self, weight: int) -> bool:
        """Return whether one more message fits, even while the old and the rewritten file exist together."""
        return not self.failing and self.live_bytes + weight + RECORD_OVERHEAD <= self.capacity

    def accept(self, entry: JournalEntry) -> bool:
        """Record an accepted message. Returns False if that fails or if there is no room: the message must
        not be accepted then."""
        record, new_bytes = self._message_record(entry), entry_bytes(entry)
        self._make_room(sum(map(len, self.pending)) + len(record) + GUARDS_BYTES, new_bytes)
        if not self._has_guards_for(entry.body) and not self._replace_guards(entry.body):
            return False
        if not self._write_pending() or not self._write(self._guard(record, entry.body), new_bytes):
            return False
        self._add(entry)
        return True

    def record_attempt_start(self, message_id: str, zone: str, now_ms: int) -> bool:
        """Record the start of an attempt. Returns False if that fails: its first byte must not be sent
        then."""
        record = {"t": "try", "ref": message_id, "at": now_ms + self.offset, "zone": zone}
        data = encode_record(record)
        if (
            message_id not in self.entries
            or not self._has_room_for_attempt(len(data))
            or not self._append(data)
        ):
            return False
        self._apply(record)
        return True

    def record_outcome(self, message_id: str, possibly_executed: bool) -> None:
        """Record the outcome of the current attempt."""
        self._append_or_queue({"t": "outcome", "ref": message_id, "ran": possibly_executed})

    def record_finish(self, message_id: str, result: str | None, wait_ms: int = 0) -> bool:
        """Record the end of a message, with the result that a notice has to report, or None if no notice is
        owed. Returns whether it is on record: until then no notice may be sent, as a successor could still
        send the message again."""
        return self._append_or_queue({"t": "ended", "ref": message_id, "result": result, "wait": wait_ms})

    def record_notified(self, message_id: str) -> None:
        """Record that the notice of a message was acknowledged."""
        self._append_or_queue({"t": "told", "ref": message_id})

    def flush(self) -> bool:
        """After a failure, write the pending records and check that the disk works. Returns whether writes
        succeed."""
        if not self.failing:
            return True
        self._make_room(sum(map(len, self.pending)))
        return self._write_pending() and self._write(NO_OP_RECORD)

    # ---- the live entries

    def _append_or_queue(self, record: dict[str, Any]) -> bool:
        """Append the record of an event that has already happened, or queue it if it cannot be written yet.
        Returns whether it is on record."""
        if record["ref"] not in self.entries:
            return False
        data = encode_record(record)
        written = self._append(data)
        if not written:
            self.pending.append(data)
        self._apply(record)
        return written

    def _apply(self, record: dict[str, Any]) -> None:
        entry = self.entries.get(record["ref"])
        if entry is None:
            return
        match record["t"]:
            case "try":
                entry.attempts += 1
                # The process died during the previous attempt; later attempts do not change that it may
                # have been executed.
                if entry.ran_at is None:
                    entry.ran_at, entry.ran_zone = entry.trying_at, entry.trying_zone
                entry.trying_at, entry.trying_zone = record["at"] - self.offset, record["zone"]
            case "outcome":
                if record["ran"] and entry.ran_at is None:
                    entry.ran_at, entry.ran_zone = entry.trying_at, entry.trying_zone
                entry.trying_at = None
            case "ended" if record["result"] is not None:
                self._remove(entry)
                entry.ended, entry.wait_ms, entry.body = record["result"], record["wait"], b""
                self._add(entry)
            case "ended" | "told":
                self._remove(entry)

    def _add(self, entry: JournalEntry) -> None:
        previous = self.entries.get(entry.ref)
        if previous is not None:
            self._remove(previous)
        self._count(entry.dest, entry_bytes(entry))
        self.entries[entry.ref] = entry

    def _remove(self, entry: JournalEntry) -> None:
        self._count(entry.dest, -entry_bytes(entry))
        del self.entries[entry.ref]

    def _count(self, destination: int, change: int) -> None:
        """Change the live bytes of a destination. One that has none is not kept."""
        self.live_bytes += change
        size = self.live_bytes_by_destination.get(destination, 0) + change
        if size:
            self.live_bytes_by_destination[destination] = size
        else:
            del self.live_bytes_by_destination[destination]

    # ---- the clock

    def _clock_record(self, at: int) -> bytes:
        """Return the record that defines how to read the times after it, written at ``at``."""
        record = {"t": "clock", "ref": "", "boot": self.boot, "offset": self.offset, "at": at}
        return encode_record(record)

    def _apply_clock(self, record: dict[str, Any]) -> None:
        """Read the following times as this boot's, or, if another boot wrote them, as wall-clock times: they
        cannot be compared with this boot's clock, and are close to the wall clock of their time."""
        self._mark_attempt_times_uncertain()
        offset, written_at = int(record["offset"]), int(record["at"])
        same_boot = bool(self.boot) and record["boot"] == self.boot
        self.is_current_boot = same_boot and written_at <= monotonic_ms()
        self.offset = offset if self.is_current_boot else wall_offset_ms()

    def _mark_attempt_times_uncertain(self) -> None:
        """Mark entries whose attempts may be of another boot. Neither the monotonic clock nor a wall clock
        that may have been stepped shows how long ago that was: their deduplication window counts as over."""
        if not self.is_current_boot:
            for entry in self.entries.values():
                if entry.ran_at is not None or entry.trying_at is not None:
                    entry.uncertain = True

    def _full_record(self, entry: JournalEntry) -> bytes:
        """Return the record of a message's full state, with guards if its body needs them."""
        return self._guard(self._message_record(entry), entry.body)

    def _message_record(self, entry: JournalEntry) -> bytes:
        shifted = self._shift_times(entry, self.offset)
        fields = {name: getattr(shifted, name) for name in JournalEntry.__slots__ if name != "body"}
        return encode_record({"t": "taken", **fields}, entry.body)

    def _guard(self, record: bytes, body: bytes) -> bytes:
        return record if self.guards is None else self.guards.wrap(record, body)

    def _replace_guards(self, body: bytes) -> bool:
        """Rewrite the file with guards that the body does not contain. Returns whether that succeeded."""
        return self.size + self.live_bytes <= self._limit() and self._rewrite(body)

    def _has_guards_for(self, body: bytes) -> bool:
        """Return whether the file has guards that the body does not contain, or the body needs none."""
        return MAGIC not in body or self.guards is not None and self.guards.marker.encode() not in body

    def _choose_guards(self, *bodies: bytes) -> bytes:
        """Set guards that no body contains for a new file, and return the file's first record."""
        at = monotonic_ms()
        while True:
            first_record = self._clock_record(at)
            self.guards = Guards.of_file(first_record[RECORD_HEADER.size :])
            if all(map(self._has_guards_for, bodies)):
                return first_record
            at -= 1  # a clock record of an earlier time says the same

    @staticmethod
    def _shift_times(entry: JournalEntry, offset: int) -> JournalEntry:
        """Return a copy with its times converted to another clock."""
        return replace(
            entry,
            deadline=entry.deadline + offset,
            trying_at=None if entry.trying_at is None else entry.trying_at + offset,
            ran_at=None if entry.ran_at is None else entry.ran_at + offset,
        )

    # ---- the file

    def _append(self, data: bytes) -> bool:
        """Append the record after all pending ones. Returns whether it is in the file."""
        self._make_room(sum(map(len, self.pending)) + len(data))
        return self._write_pending() and self._write(data)

    def _make_room(self, needed: int, new_bytes: int = 0) -> None:
        """Rewrite the file if it has no room for ``needed`` more bytes, or if most of it is dead records.

        ``new_bytes`` is what they add to the live bytes.
        """
        if self.size + self.live_bytes > self._limit():
            return  # both files would not fit: messages have to end first
        if self.size + needed > max(self.max_bytes - self.live_bytes - new_bytes - RECORD_OVERHEAD, 0):
            self._rewrite()
        elif (
            self.size > max(MIN_REWRITE_BYTES, 3 * self.live_bytes) or self.has_unguarded_body
        ) and time.monotonic() >= self.next_rewrite_at:
            # optional: drops dead records early, or adds the guards that an earlier version did not write
            if not self._rewrite():
                self.next_rewrite_at = time.monotonic() + REWRITE_RETRY_DELAY

    def _may_write(self, size: int, new_bytes: int) -> bool:
        """Return whether ``size`` more bytes may be written.

        The room for a rewritten file stays free. Records of messages that are in the file may take it where a
        rewrite makes no room, or has none itself: without them no message could end, which would make room.
        """
        if self.size + size + self.live_bytes + new_bytes <= self.max_bytes:
            return True
        limit = self._limit()
        rewrite_is_due = self.rewrite_failed and self.size + self.live_bytes <= limit
        return not new_bytes and not rewrite_is_due and self.size + size <= limit

    def _has_room_for_attempt(self, size: int) -> bool:
        """Return whether the record of an attempt leaves room for those that end all messages."""
        return self.size + size + END_RECORDS_BYTES * len(self.entries) <= self._limit()

    def _limit(self) -> int:
        """Return the bytes that this file and the rewritten one may have together.

        That is ``max_bytes``, but for a file that a process with a higher limit has left: until its messages
        have ended it may use what the other journals in the folder leave.
        """
        if self.size + self.live_bytes <= self.max_bytes:
            return self.max_bytes
        others = sum(
            file_size(path) for path in self.path.parent.glob("journal*") if path not in self._own_paths
        )
        return max(self.max_bytes, self.folder_limit - others)

    def _write_pending(self) -> bool:
        while self.pending:
            if not self._write(self.pending[0]):
                return False
            self.pending.popleft()
        return True

    def _write(self, data: bytes, new_bytes: int = 0) -> bool:
        if not self._may_write(len(data), new_bytes):
            if new_bytes:
                return False  # the message must wait; the disk works, and other records may fit
            return self._report_failure(
                f"no room for a record: {self.size} of {self.max_bytes} bytes, {self.live_bytes} live"
            )
        try:
            if self.has_torn_tail:
                os.ftruncate(self.file, self.size)  # a partial record would hide the records after it
                self.has_torn_tail = False
            write_all(self.file, data)
        except OSError as error:
            self._truncate_torn_tail()
            return self._report_failure(f"cannot write: {error.strerror}")
        if not self.size:
            self.guards = Guards.of_file(data[RECORD_HEADER.size :])
        self.size += len(data)
        self._report_success()
        return True

    def _truncate_torn_tail(self) -> None:
        try:
            os.ftruncate(self.file, self.size)
            self.has_torn_tail = False
        except OSError:
            self.has_torn_tail = True

    def _report_failure(self, reason: str) -> bool:
        """Log the first failure in a row, not one for each record."""
        if not self.failing:
            log.error("%s: %s; new messages are rejected until writes succeed", self.path.name, reason)
        self.failing = True
        return False

    def _report_success(self) -> None:
        if self.failing:
            log.info("%s: writes succeed again", self.path.name)
        self.failing = False

    def _rewrite(self, *new_bodies: bytes) -> bool:
        """Write the live entries to a new file and rename it over the old one. Returns whether that
        succeeded. The guards of the new file are none that ``new_bodies`` contain."""
        previous_guards = self.guards
        try:
            new_file = os.open(
                self.temporary_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600
            )
        except OSError as error:
            return self._report_rewrite_failure(error)
        size = 0
        first_record = self._choose_guards(*(entry.body for entry in self.entries.values()), *new_bodies)
        records = chain([first_record], map(self._full_record, self.entries.values()))
        try:
            # The new file must be locked before it takes the old one's name.
            fcntl.flock(new_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            for data in records:
                write_all(new_file, data)
                size += len(data)
            os.rename(self.temporary_path, self.path)
        except OSError as error:
            close_quietly(new_file)
            remove_quietly(self.temporary_path)
            self.guards = previous_guards
            return self._report_rewrite_failure(error)
        close_quietly(self.file)
        self.file, self.size, self.has_torn_tail = new_file, size, False
        self.has_unguarded_body = False
        self.rewrite_failed = False
        self.pending.clear()  # the rewritten entries include the effect of all pending records
        return True

    def _report_rewrite_failure(self, error: OSError) -> bool:
        self.rewrite_failed = True
        if not self.failing and time.monotonic() >= self.next_rewrite_at:
            log.error("%s: cannot be rewritten: %s", self.path.name, error.strerror)
        return False

    def _load(self) -> int:
        """Read the file, skip damaged records and truncate a torn tail. Returns the remaining size."""
        data = read_all(self.file)
        reader = RecordReader()
        end = 0
        for item in reader.read(data):
            end = item.end
            if isinstance(item, DamagedRange):
                log.warning(
                    "journal: %d damaged bytes skipped at offset %d", item.end - item.start, item.start
                )
                self._mark_all_uncertain()
            else:
                self._replay(item)
        self.guards = reader.guards
        self.has_unguarded_body = reader.has_unguarded_body
        if end < len(data):
            log.warning("journal: torn tail of %d bytes truncated", len(data) - end)
            self.size = end
            self._truncate_torn_tail()
        return end

    def _replay(self, record: Record) -> None:
        try:
            fields, body = record.decode()
            match fields["t"]:
                case "taken":
                    del fields["t"]
                    self._add(self._shift_times(JournalEntry(body=body, **fields), -self.offset))
                case "clock":
                    self._apply_clock(fields)
                case _:
                    self._apply(fields)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log.warning("journal: record at offset %d cannot be read: %s", record.start, error)
            self._mark_all_uncertain()

    def _mark_all_uncertain(self) -> None:
        """Mark the entries read so far: a record of an attempt may be missing."""
        for entry in self.entries.values():
            entry.uncertain = True


# changes no entry; its write shows that the disk works
NO_OP_RECORD = encode_record({"t": "told", "ref": ""})


def entry_bytes(entry: JournalEntry) -> int:
    """Return the bytes that are reserved for a live entry."""
    return record_weight(entry.ref, entry.key, entry.body) + RECORD_OVERHEAD


def record_weight(message_id: str, key: str | None, body: bytes) -> int:
    """Return the bytes of a message's record that depend on its contents. Names count twice, as escaping can
    double their length."""
    return len(body) + 2 * (len(message_id) + len(key or ""))


def _open_locked(path: Path, create_flag: int) -> int:
    while True:
        file = os.open(path, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC | create_flag, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            if os.path.samestat(os.fstat(file), os.stat(path)):
                return file
        except OSError:
            close_quietly(file)
            raise
        close_quietly(file)  # a rewrite replaced the file between the open and the lock
