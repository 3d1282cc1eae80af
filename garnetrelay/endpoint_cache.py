"""The list on the disk, so that a restart asks discovery only for what has changed since.

One file beside the journal: a header, the whole list in parts, its version, then a record for each change.
Every record carries its length and a checksum. It is trusted as far as discovery's version goes: what is
damaged, of another form or of other zones and kinds is not taken over, and the whole list is asked for.

Writing it is never waited for: the whole list is written in slices between which the relay goes on, into a
file that then takes the old one's place. Where two processes share the folder, the one that holds the lock
writes.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import logging
import os
import struct
import zlib
from collections.abc import Iterable, Iterator
from pathlib import Path

from garnetrelay.catalog import Catalog
from garnetrelay.files import close_quietly, remove_quietly, write_all

log = logging.getLogger(__name__)

FORMAT = 1
RECORD = struct.Struct("<cII")  # sort, length of the payload, its CRC-32 (and the sort's)
DEST = struct.Struct("<qI")  # number, length of what is packed; 0 where it has no endpoints any more
VERSION = struct.Struct("<q")
HEADER, PART, WHOLE, CHANGE = b"H", b"P", b"W", b"C"
SLICE = 512  # destinations in a part: some milliseconds of work
PAUSE = 0.005  # seconds between two slices
REWRITE_SHARE = 0.25  # of the whole list's size: changes beyond that are worth writing it anew
MIN_REWRITE_BYTES = 64 * 1024  # bytes of changes below which they are not
# seconds after the whole list was too long for its room: it may have shrunk
RETRY_DELAY_AFTER_OVERFLOW = 600.0
RETRY_DELAY_AFTER_ERROR = 0.5  # seconds after it could not be written: the disk may be well again


class EndpointCache:
    """One relay's list in its folder. OSError never gets out: what can't be kept is not, and the log says
    so."""

    def __init__(self, folder: Path, most_bytes: int, zones: Iterable[str], kinds: Iterable[str]) -> None:
        self.path = folder / "list"
        self.temporary_path = folder / "list.new"
        self.max_bytes = most_bytes  # for the file and the one that takes its place together
        self.header = json.dumps({"format": FORMAT, "zones": list(zones), "kinds": list(kinds)}).encode()
        self.lock_path = folder / "list.lock"
        self.lock: int | None = None  # until the lock is first wanted
        self.file: int | None = None  # holds the whole list, and its changes are appended
        self.whole_size = 0
        self.size = 0
        self.writing: asyncio.Task[None] | None = None
        self.changed: set[int] = set()  # while the whole list is written: what has changed meanwhile
        self.failing = False  # it could not be written lately
        self.catalog: Catalog | None = None  # what is to be on the disk
        self.again: asyncio.TimerHandle | None = None  # the next try after one that failed
        self.not_before = 0.0  # when the whole list may be written again

    def load(self, catalog: Catalog, known: int) -> bool:
        """Take over what is kept, if it is newer than version ``known``. False if not, with a line in the log
        where something is there that can't be read."""
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return False
        except OSError as error:
            log.warning("the kept list can't be read: %s", error.strerror)
            return False
        try:
            packed, version = self._read(data)
            if version <= known:
                return False
            catalog.restore(packed, version)
        except (ValueError, struct.error) as error:
            log.warning("the kept list is not used, the whole list is asked for: %s", error)
            return False
        log.info("list version %d kept from before: %d endpoints", version, len(catalog))
        return True

    def store(self, catalog: Catalog, changed: set[int], whole: bool) -> None:
        """What has been taken over is to be on the disk, too."""
        self.catalog = catalog
        if not self._holds_lock():
            return
        if self.writing is not None and not self.writing.done() and not whole:
            self.changed |= changed
        elif whole or self.file is None:
            self._write_anew(catalog)
        elif changed:
            self._append_change(self.file, catalog, changed)

    def close(self) -> None:
        if self.writing is not None:
            self.writing.cancel()
        if self.again is not None:
            self.again.cancel()
        for file in (self.file, self.lock):
            if file is not None:
                close_quietly(file)
        self.file = self.lock = None

    def _holds_lock(self) -> bool:
        try:
            if self.lock is None:
                self.lock = os.open(self.lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False  # the process before us; the whole list is written once it is gone
        except OSError as error:
            self._note_failure(str(error.strerror))
            self._try_again_after(RETRY_DELAY_AFTER_ERROR)
            return False
        return True

    # ---- reading

    def _read(self, data: bytes) -> tuple[dict[int, bytes], int]:
        packed: dict[int, bytes] = {}
        version: int | None = None
        for sort, payload in _records(data):
            if sort == HEADER and payload != self.header:
                raise ValueError("it is of another form, or of other zones or kinds")
            if sort == WHOLE:
                version, count = VERSION.unpack_from(payload)[0], len(packed)
                if VERSION.unpack_from(payload, VERSION.size)[0] != count:
                    raise ValueError("it is not whole")
            elif sort == PART or sort == CHANGE:
                if sort == CHANGE:
                    version = VERSION.unpack_from(payload)[0]
                at = VERSION.size
                while at < len(payload):
                    dest, length = DEST.unpack_from(payload, at)
                    at += DEST.size + length
                    if length:
                        packed[dest] = payload[at - length : at]
                    else:
                        packed.pop(dest, None)
        if version is None:
            raise ValueError("it is not whole")
        return packed, version

    # ---- writing

    def _append_change(self, file: int, catalog: Catalog, changed: set[int]) -> None:
        """The change behind the list; the list anew where the changes have no more room, or outgrow it."""
        change = _changes(catalog, changed)
        if self.size + RECORD.size + len(change) > self.max_bytes // 2:
            self._write_anew(catalog)
        elif self._append(file, CHANGE, change):
            if self.size - self.whole_size > max(MIN_REWRITE_BYTES, REWRITE_SHARE * self.whole_size):
                self._write_anew(catalog)

    def _append(self, file: int, sort: bytes, payload: bytes) -> bool:
        record = _record(sort, payload)
        if self.size + len(record) > self.max_bytes // 2:
            return self._give_up(f"over {self.max_bytes // 2} bytes", RETRY_DELAY_AFTER_OVERFLOW)
        try:
            write_all(file, record)
        except OSError as error:
            return self._give_up(str(error.strerror), RETRY_DELAY_AFTER_ERROR)
        self.size += len(record)
        self.failing = False
        return True

    def _note_failure(self, why: str) -> None:
        """Said once, not at each change of the list."""
        if not self.failing:
            log.warning("the list on the disk is left as it is: %s", why)
        self.failing = True

    def _give_up(self, why: str, again_after: float) -> bool:
        """What stands there stays good for its own version, and a torn end is passed over. But no further
        change may be appended: what could not be written would be missing before it."""
        self._note_failure(why)
        self.not_before = asyncio.get_running_loop().time() + again_after
        self._try_again_after(again_after)
        if self.file is not None:
            close_quietly(self.file)
            self.file = None
        return False

    def _try_again_after(self, seconds: float) -> None:
        if self.again is not None:
            self.again.cancel()
        self.again = asyncio.get_running_loop().call_later(seconds, self._try_again)

    def _try_again(self) -> None:
        if self.catalog is not None and self.file is None:
            self.store(self.catalog, set(), whole=True)

    def _write_anew(self, catalog: Catalog) -> None:
        if self.writing is not None:
            self.writing.cancel()
        self.changed = set()
        if not catalog.packed or asyncio.get_running_loop().time() < self.not_before:
            return
        self.writing = asyncio.get_running_loop().create_task(self._write(catalog))

    async def _write(self, catalog: Catalog) -> None:
        """The whole list, in slices, then what has changed meanwhile; the new file takes the old one's
        place."""
        new, before = None, (self.size, self.whole_size)
        try:
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
            new = os.open(self.temporary_path, flags, 0o600)
            self.size = 0
            done = self._append(new, HEADER, self.header)
            dests = list(catalog.packed)
            written = 0
            for start in range(0, len(dests), SLICE):
                part = [dest for dest in dests[start : start + SLICE] if dest in catalog.packed]
                done = done and self._append(new, PART, _changes(catalog, part))
                written += len(part)
                await asyncio.sleep(PAUSE)
            whole = VERSION.pack(catalog.version) + VERSION.pack(written)
            done = done and self._append(new, WHOLE, whole)
            if self.changed:
                done = done and self._append(new, CHANGE, _changes(catalog, self.changed))
            if not done:
                remove_quietly(self.temporary_path)
                return
            os.rename(self.temporary_path, self.path)
            if self.file is not None:
                close_quietly(self.file)
            self.file, new, self.whole_size, before = new, None, self.size, (self.size, self.size)
            log.info("list version %d is kept: %d bytes", catalog.version, self.size)
        except OSError as error:
            self._give_up(str(error.strerror), RETRY_DELAY_AFTER_ERROR)
        finally:
            self.size, self.whole_size = before
            if new is not None:
                close_quietly(new)


def _changes(catalog: Catalog, dests: Iterable[int]) -> bytes:
    parts = [VERSION.pack(catalog.version)]
    for dest in dests:
        packed = catalog.packed.get(dest, b"")
        parts += (DEST.pack(dest, len(packed)), packed)
    return b"".join(parts)


def _record(sort: bytes, payload: bytes) -> bytes:
    return RECORD.pack(sort, len(payload), zlib.crc32(payload, zlib.crc32(sort))) + payload


def _records(data: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Those that are whole. A torn end is passed over: what stands before it is good for its version.
    ValueError where one is damaged: what came behind it can't be told any more."""
    at = 0
    while at + RECORD.size <= len(data):
        sort, length, checksum = RECORD.unpack_from(data, at)
        at += RECORD.size + length
        if at > len(data):
            return
        payload = data[at - length : at]
        if zlib.crc32(payload, zlib.crc32(sort)) != checksum:
            raise ValueError(f"it is damaged before byte {at}")
        yield sort, payload
