"""The durable record of what this relay has taken on.

One append-only file, locked while it is open: who holds the lock owns the messages in it, and the kernel
frees it when its holder dies. Each record carries its length and a checksum, and goes out in one unbuffered
write: the kernel keeps it when the process is killed, with no need to sync. What has ended makes way when the
file is written anew beside the old one and renamed over it; the two together stay within the disk limit.

A record is a JSON object, and behind a line feed the message's body where it has one:
``taken`` (also a message's whole state, after the file was written anew), ``try`` (an attempt's first byte is
about to go out), ``outcome``, ``ended`` and ``told`` (its notice was acknowledged). ``clock`` says how the
times in the records behind it are to be read: as those of the monotonic clock of a boot of the machine, plus
an offset, which makes them near the wall clock's. Records with no ``clock`` before them are those of earlier
versions, whose times are the wall clock's.
"""

from __future__ import annotations

import fcntl
import json
import logging
import os
import struct
import time
import zlib
from collections import deque
from dataclasses import dataclass, replace
from itertools import chain
from pathlib import Path
from typing import Any

from garnetrelay.clock import boot_id, monotonic_ms, wall_offset_ms
from garnetrelay.files import close_quietly, read_all, remove_quietly, write_all

log = logging.getLogger(__name__)

HEAD = struct.Struct(">2sII")  # mark, length of the payload, its CRC-32
MARK = b"\xa7R"  # where reading can begin again behind a damaged record
MOST_PAYLOAD = 1 << 20
BLOCK = 512  # a file counts in whole blocks
LATER = 1024  # what a message's whole record takes beside its names and body, and some further ones with it
TIDY_FROM = 256 * 1024  # below this, dead records are not worth a rewrite
TIDY_AGAIN = 1.0  # seconds from a rewrite that failed to the next, where there is room without


@dataclass(slots=True)
class JournalEntry:
    """A message as the disk knows it. Times are of this boot's monotonic clock, in milliseconds."""

    ref: str
    klass: str
    dest: int
    key: str | None
    deadline: int
    body: bytes
    attempts: int = 0
    trying_at: int | None = None  # an attempt without an outcome: it may have run
    trying_zone: str = ""
    ran_at: int | None = None  # the first attempt known to have perhaps run
    ran_zone: str = ""
    ended: str | None = None  # a result whose notice is not acknowledged yet
    wait_ms: int = 0
    uncertain: bool = False  # a record was damaged since it was taken: an attempt may be missing


class Journal:
    """Appends records, keeps the live entries, and makes room.

    While the disk fails, the entries in memory are ahead of the file: ``pending`` holds the records that are
    missing there, and they are written before any other as soon as that can be done.
    """

    def __init__(self, folder: Path, disk_bytes: int, name: str = "journal", create: bool = True) -> None:
        """BlockingIOError where another process has it, FileNotFoundError where it is gone, any other OSError
        where it cannot be opened or read just now."""
        self.path = folder / name
        self.temporary_path = folder / f"{name}.new"
        self.max_bytes = disk_bytes - 8 * BLOCK
        self.entries: dict[str, JournalEntry] = {}
        self.live_bytes = 0  # bytes that the live entries would take in a new file, later records included
        self.pending: deque[bytes] = deque()  # records that could not be written yet, oldest first
        self.failing = False  # the latest record could not be written
        self.torn = False  # half a record stands at the end of the file: to be cut before another is written
        self.boot = boot_id()
        self.offset = wall_offset_ms()  # from our times to the file's
        self.boot_known = False  # the file says that its times are of this boot
        self.tidy_after = 0.0  # when a rewrite that nothing waits for may be tried again
        self.file = _open_locked(self.path, os.O_CREAT if create else 0)
        remove_quietly(self.temporary_path)  # a rewrite that a kill cut short
        try:
            self.size = self._load()
        except OSError:
            close_quietly(self.file)
            raise
        self._distrust_windows()
        if not self.boot_known:
            self.offset = wall_offset_ms()
            self.pending.append(self._clock())

    def close(self) -> None:
        """Let go of it: whoever takes it next owns what is in it."""
        close_quietly(self.file)

    def remove(self) -> bool:
        """Whether it is gone; where it cannot be removed just now it stays ours."""
        if not remove_quietly(self.path):  # under its lock: nobody can have taken it meanwhile
            return False
        self.close()
        return True

    # ---- what happens to a message

    def has_room(self, weight: int) -> bool:
        """Whether one more message fits, also while old and new file stand side by side."""
        return not self.failing and 2 * (self.live_bytes + weight + LATER) <= self.max_bytes

    def accept(self, entry: JournalEntry) -> bool:
        """Whether the message is on record now; without that it must not be taken on."""
        if not self._append(self._whole(entry)):
            return False
        self._add(entry)
        return True

    def record_attempt_start(self, ref: str, zone: str, now_ms: int) -> bool:
        """Whether the attempt is on record now; without that its first byte must not go out."""
        record = {"t": "try", "ref": ref, "at": now_ms + self.offset, "zone": zone}
        if ref not in self.entries or not self._append(_pack(record, b"")):
            return False
        self._apply(record)
        return True

    def record_outcome(self, ref: str, may_have_run: bool) -> None:
        self._note({"t": "outcome", "ref": ref, "ran": may_have_run})

    def record_finish(self, ref: str, result: str | None, wait_ms: int = 0) -> bool:
        """Over: with the result that a notice has to tell, or without one where nothing more is owed. Whether
        that is on record now; without that a notice must not go out while the message could be sent again."""
        return self._note({"t": "ended", "ref": ref, "result": result, "wait": wait_ms})

    def record_notified(self, ref: str) -> None:
        self._note({"t": "told", "ref": ref})

    def flush(self) -> bool:
        """Write what could not be written before. Whether nothing is left to write."""
        if not self.failing:
            return True
        self._make_room(sum(map(len, self.pending)))
        return self._write_pending() and self._write(NO_CHANGE)

    # ---- the live entries

    def _note(self, record: dict[str, Any]) -> bool:
        """Something that has happened, whether or not it can be written yet. Whether it is on record now."""
        if record["ref"] not in self.entries:
            return False
        data = _pack(record, b"")
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
                if entry.ran_at is None:  # the process died under an attempt: its later ones do not undo that
                    entry.ran_at, entry.ran_zone = entry.trying_at, entry.trying_zone
                entry.trying_at, entry.trying_zone = record["at"] - self.offset, record["zone"]
            case "outcome":
                if record["ran"] and entry.ran_at is None:
                    entry.ran_at, entry.ran_zone = entry.trying_at, entry.trying_zone
                entry.trying_at = None
            case "ended" if record["result"] is not None:
                self.live_bytes -= len(entry.body)
                entry.ended, entry.wait_ms, entry.body = record["result"], record["wait"], b""
            case "ended" | "told":
                self.live_bytes -= record_weight(entry.ref, entry.key, entry.body) + LATER
                del self.entries[entry.ref]

    def _add(self, entry: JournalEntry) -> None:
        old = self.entries.get(entry.ref)
        self.live_bytes += record_weight(entry.ref, entry.key, entry.body) + LATER
        if old is not None:
            self.live_bytes -= record_weight(old.ref, old.key, old.body) + LATER
        self.entries[entry.ref] = entry

    # ---- the clock

    def _clock(self) -> bytes:
        """The record that says how the times behind it are to be read."""
        record = {"t": "clock", "ref": "", "boot": self.boot, "offset": self.offset, "at": monotonic_ms()}
        return _pack(record, b"")

    def _read_clock(self, record: dict[str, Any]) -> None:
        """What stands behind it was written by this boot's clock or by another's, which tells us nothing: its
        times are near the wall clock's as that stood then."""
        self._distrust_windows()
        offset, at = int(record["offset"]), int(record["at"])
        same_boot = bool(self.boot) and record["boot"] == self.boot
        self.boot_known = same_boot and at <= monotonic_ms()
        self.offset = offset if self.boot_known else wall_offset_ms()

    def _distrust_windows(self) -> None:
        """How long ago an attempt was made cannot be told across boots, nor by a wall clock that may have
        been stepped: its window counts as over."""
        if not self.boot_known:
            for entry in self.entries.values():
                if entry.ran_at is not None or entry.trying_at is not None:
                    entry.uncertain = True

    def _whole(self, entry: JournalEntry) -> bytes:
        """The record of all that is known of a message."""
        moved = self._moved(entry, self.offset)
        facts = {name: getattr(moved, name) for name in JournalEntry.__slots__ if name != "body"}
        return _pack({"t": "taken", **facts}, entry.body)

    @staticmethod
    def _moved(entry: JournalEntry, offset: int) -> JournalEntry:
        """The same with times of another clock."""
        return replace(
            entry,
            deadline=entry.deadline + offset,
            trying_at=None if entry.trying_at is None else entry.trying_at + offset,
            ran_at=None if entry.ran_at is None else entry.ran_at + offset,
        )

    # ---- the file

    def _append(self, data: bytes) -> bool:
        """Whether the record stands in the file now, behind all that came before it."""
        self._make_room(sum(map(len, self.pending)) + len(data))
        return self._write_pending() and self._write(data)

    def _make_room(self, needed: int) -> None:
        """Write the file anew where it has no room for so many bytes, or where most of it is dead records."""
        if self.size + needed > max(self.max_bytes - self.live_bytes - LATER, 0):
            self._rewrite()
        elif self.size > max(TIDY_FROM, 3 * self.live_bytes) and time.monotonic() >= self.tidy_after:
            if not self._rewrite():
                self.tidy_after = time.monotonic() + TIDY_AGAIN

    def _write_pending(self) -> bool:
        while self.pending:
            if not self._write(self.pending[0]):
                return False
            self.pending.popleft()
        return True

    def _write(self, data: bytes) -> bool:
        if self.size + len(data) > max(self.max_bytes - self.live_bytes, 0):
            # It could not be written anew: what is left of the disk is for doing so later.
            return self._failed(
                f"no room for a record: {self.size} of {self.max_bytes} bytes, {self.live_bytes} live"
            )
        try:
            if self.torn:
                os.ftruncate(self.file, self.size)  # half a record would hide those behind it
                self.torn = False
            write_all(self.file, data)
        except OSError as error:
            self._cut_torn_tail()
            return self._failed(f"cannot write: {error.strerror}")
        self.size += len(data)
        self._succeeded()
        return True

    def _cut_torn_tail(self) -> None:
        try:
            os.ftruncate(self.file, self.size)
            self.torn = False
        except OSError:
            self.torn = True

    def _failed(self, why: str) -> bool:
        """Said once, not for each record."""
        if not self.failing:
            log.error("%s: %s; messages are refused until it can be written", self.path.name, why)
        self.failing = True
        return False

    def _succeeded(self) -> None:
        if self.failing:
            log.info("%s: can be written again", self.path.name)
        self.failing = False

    def _rewrite(self) -> bool:
        """Write the live entries to a new file and put it in the old one's place. Whether that was done."""
        try:
            new = os.open(
                self.temporary_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600
            )
        except OSError as error:
            return self._cannot_rewrite(error)
        size = 0
        records = chain([self._clock()], map(self._whole, self.entries.values()))
        try:
            fcntl.flock(new, fcntl.LOCK_EX | fcntl.LOCK_NB)  # in the old one's place, it must be ours at once
            for data in records:
                write_all(new, data)
                size += len(data)
            os.rename(self.temporary_path, self.path)
        except OSError as error:
            close_quietly(new)
            remove_quietly(self.temporary_path)
            return self._cannot_rewrite(error)
        close_quietly(self.file)
        self.file, self.size, self.torn = new, size, False
        self.pending.clear()  # the entries are all that it would have said
        return True

    def _cannot_rewrite(self, error: OSError) -> bool:
        if not self.failing and time.monotonic() >= self.tidy_after:
            log.error("%s: cannot be written anew: %s", self.path.name, error.strerror)
        return False

    def _load(self) -> int:
        """Read the file; what is damaged is passed over, and a torn tail is cut. The size that is left."""
        data = read_all(self.file)
        at = end = 0
        while at < len(data):
            payload = _payload_at(data, at)
            if payload is None:
                following = _next_record(data, at + 1)
                if following is None:
                    break
                log.warning("journal: %d damaged bytes passed over at %d", following - at, at)
                for entry in self.entries.values():
                    entry.uncertain = True
                at = following
                continue
            self._replay(payload, at)
            at += HEAD.size + len(payload)
            end = at
        if end < len(data):
            log.warning("journal: torn tail of %d bytes cut", len(data) - end)
            self.size = end
            self._cut_torn_tail()
        return end

    def _replay(self, payload: bytes, at: int) -> None:
        head, _, body = payload.partition(b"\n")
        try:
            record = json.loads(head)
            match record["t"]:
                case "taken":
                    del record["t"]
                    self._add(self._moved(JournalEntry(body=body, **record), -self.offset))
                case "clock":
                    self._read_clock(record)
                case _:
                    self._apply(record)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log.warning("journal: record at %d cannot be read: %s", at, error)
            for entry in self.entries.values():
                entry.uncertain = True


def _pack(record: dict[str, Any], body: bytes) -> bytes:
    payload = json.dumps(record, separators=(",", ":")).encode() + b"\n" + body
    return HEAD.pack(MARK, len(payload), zlib.crc32(payload)) + payload


NO_CHANGE = _pack({"t": "told", "ref": ""}, b"")  # shows that the disk is well again, and says nothing


def record_weight(ref: str, key: str | None, body: bytes) -> int:
    """What of a message's record grows with it; a name may take twice its length where it is escaped."""
    return len(body) + 2 * (len(ref) + len(key or ""))


def _open_locked(path: Path, create: int) -> int:
    while True:
        file = os.open(path, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC | create, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            if os.path.samestat(os.fstat(file), os.stat(path)):
                return file
        except OSError:
            close_quietly(file)
            raise
        close_quietly(file)  # it was written anew between our opening it and our lock


def _payload_at(data: bytes, at: int) -> bytes | None:
    if at + HEAD.size > len(data):
        return None
    mark, length, checksum = HEAD.unpack_from(data, at)
    payload = data[at + HEAD.size : at + HEAD.size + length]
    if mark != MARK or length > MOST_PAYLOAD or len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _next_record(data: bytes, at: int) -> int | None:
    while (at := data.find(MARK, at)) >= 0:
        if _payload_at(data, at) is not None:
            return at
        at += 1
    return None
