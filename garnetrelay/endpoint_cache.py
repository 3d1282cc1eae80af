"""A copy of the endpoint list on disk, so that a restarted relay asks discovery only for later changes.

The file lies beside the journal. It holds a header, a snapshot of the list in chunks, the version of the
snapshot, and then one record per delta. Every record carries its length and a checksum. The file is valid
for the discovery version of its last complete record. A file that is damaged, in another format, or written
for other zones or kinds is not used; the relay asks discovery for a snapshot instead.

The relay never waits for the file: a snapshot is written in chunks, between which other work runs, to a new
file that then replaces the old one. If two processes share the folder, only the holder of the lock writes.
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
RECORD_HEADER = struct.Struct("<cII")  # record kind, length of the payload, CRC-32 of kind and payload
# destination, length of its packed endpoints (0: it has no endpoints any more)
DESTINATION_HEADER = struct.Struct("<qI")
INT64_FIELD = struct.Struct("<q")
# record kinds; the letters are fixed by the file format
# SNAPSHOT_END holds the version of the snapshot and its number of destinations
HEADER, CHUNK, SNAPSHOT_END, DELTA = b"H", b"P", b"W", b"C"
CHUNK_DESTINATIONS = 512  # destinations in a chunk: a few milliseconds of work
CHUNK_PAUSE = 0.005  # seconds between two chunks
REWRITE_SHARE = 0.25  # of the snapshot's size: more bytes of deltas than this cause a rewrite
MIN_REWRITE_BYTES = 64 * 1024  # bytes of deltas; fewer are not worth a rewrite
MAX_SNAPSHOT_REPEATS = 3  # in one rewrite, while too much of the list changes during each
# seconds after the list did not fit the size limit: it may have shrunk
RETRY_DELAY_AFTER_OVERFLOW = 600.0
RETRY_DELAY_AFTER_ERROR = 0.5  # seconds after a write failed: the disk may have recovered


class EndpointCache:
    """The copy of one relay's endpoint list in its folder. No method raises OSError: if the list cannot be
    stored, the cache logs that and leaves the file as it is."""

    def __init__(self, folder: Path, disk_bytes: int, zones: Iterable[str], kinds: Iterable[str]) -> None:
        self.path = folder / "list"
        self.temporary_path = folder / "list.new"
        self.max_bytes = disk_bytes  # for the file and its replacement together
        self.header = json.dumps({"format": FORMAT, "zones": list(zones), "kinds": list(kinds)}).encode()
        self.lock_path = folder / "list.lock"
        self.lock: int | None = None  # opened when the lock is first needed
        self.file: int | None = None  # holds a complete snapshot; deltas are appended to it
        self.snapshot_size = 0
        self.size = 0
        self.rewrite_task: asyncio.Task[None] | None = None
        self.changed_during_rewrite: set[int] = set()  # destinations
        self.failing = False  # the latest write failed
        self.catalog: Catalog | None = None  # the list of the latest ``store``, for a retry
        self.retry_timer: asyncio.TimerHandle | None = None  # after a failure
        self.next_rewrite_at = 0.0  # when a snapshot may be written again

    def load(self, catalog: Catalog, known: int) -> bool:
        """Restore the stored list into ``catalog`` if it is newer than version ``known``. Returns whether it
        did; logs a warning if the file exists but cannot be used."""
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return False
        except OSError as error:
            log.warning("the kept list cannot be read: %s", error.strerror)
            return False
        try:
            packed, version = self._parse(data)
            if version <= known:
                return False
            catalog.restore(packed, version)
        except (ValueError, struct.error) as error:
            log.warning("the kept list is not used, the whole list is asked for: %s", error)
            return False
        log.info("list version %d kept from before: %d endpoints", version, len(catalog))
        return True

    def store(self, catalog: Catalog, changed: set[int], whole: bool) -> None:
        """Store an update that was committed to the catalog: a snapshot if ``whole``, else the destinations
        in ``changed``."""
        self.catalog = catalog
        if not self._acquire_lock():
            return
        if self.rewrite_task is not None and not self.rewrite_task.done() and not whole:
            self.changed_during_rewrite |= changed
        elif whole or self.file is None:
            self._start_rewrite(catalog)
        elif changed:
            self._append_delta(self.file, catalog, changed)

    def close(self) -> None:
        """Stop writing, close the file and release the lock."""
        if self.rewrite_task is not None:
            self.rewrite_task.cancel()
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        for file in (self.file, self.lock):
            if file is not None:
                close_quietly(file)
        self.file = self.lock = None

    def _acquire_lock(self) -> bool:
        try:
            if self.lock is None:
                self.lock = os.open(self.lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False  # held by the predecessor; a snapshot is written at the first update after its exit
        except OSError as error:
            self._report_failure(str(error.strerror))
            self._schedule_retry(RETRY_DELAY_AFTER_ERROR)
            return False
        return True

    # ---- reading

    def _parse(self, data: bytes) -> tuple[dict[int, bytes], int]:
        """Return the packed endpoints by destination, and the version. Raises ValueError if the file cannot
        be used."""
        packed: dict[int, bytes] = {}
        version: int | None = None
        for record_kind, payload in _decode_records(data):
            if record_kind == HEADER and payload != self.header:
                raise ValueError("it is of another form, or for other zones or kinds")
            if record_kind == SNAPSHOT_END:
                version, count = INT64_FIELD.unpack_from(payload)[0], len(packed)
                if INT64_FIELD.unpack_from(payload, INT64_FIELD.size)[0] != count:
                    raise ValueError("the snapshot is incomplete")
            elif record_kind == CHUNK or record_kind == DELTA:
                if record_kind == DELTA:
                    version = INT64_FIELD.unpack_from(payload)[0]
                offset = INT64_FIELD.size
                while offset < len(payload):
                    destination, length = DESTINATION_HEADER.unpack_from(payload, offset)
                    offset += DESTINATION_HEADER.size + length
                    if length:
                        packed[destination] = payload[offset - length : offset]
                    else:
                        packed.pop(destination, None)
        if version is None:
            raise ValueError("the snapshot is incomplete")
        return packed, version

    # ---- writing

    def _append_delta(self, file: int, catalog: Catalog, changed: set[int]) -> None:
        """Append a delta, or rewrite the file if the deltas no longer fit or have grown too large."""
        delta = _encode_destinations(catalog, changed)
        if self.size + RECORD_HEADER.size + len(delta) > self.max_bytes // 2:
            self._start_rewrite(catalog)
        elif self._append(file, DELTA, delta):
            if self.size - self.snapshot_size > max(MIN_REWRITE_BYTES, REWRITE_SHARE * self.snapshot_size):
                self._start_rewrite(catalog)

    def _append(self, file: int, record_kind: bytes, payload: bytes) -> bool:
        record = _encode_record(record_kind, payload)
        if self.size + len(record) > self.max_bytes // 2:
            return self._handle_failure(
                f"the list needs more than {self.max_bytes // 2} bytes", RETRY_DELAY_AFTER_OVERFLOW
            )
        try:
            write_all(file, record)
        except OSError as error:
            return self._handle_failure(str(error.strerror), RETRY_DELAY_AFTER_ERROR)
        self.size += len(record)
        self.failing = False
        return True

    def _report_failure(self, reason: str) -> None:
        """Log the first failure in a row, not one for each change of the list."""
        if not self.failing:
            log.warning("the list on the disk is left as it is: %s", reason)
        self.failing = True

    def _handle_failure(self, reason: str, retry_delay: float) -> bool:
        """Close the file and schedule a rewrite. The file stays valid for its own version, as readers skip a
        torn tail, but no later delta may be appended, as the one that failed would be missing."""
        self._report_failure(reason)
        self.next_rewrite_at = asyncio.get_running_loop().time() + retry_delay
        self._schedule_retry(retry_delay)
        if self.file is not None:
            close_quietly(self.file)
            self.file = None
        return False

    def _schedule_retry(self, seconds: float) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.retry_timer = asyncio.get_running_loop().call_later(seconds, self._retry)

    def _retry(self) -> None:
        if self.catalog is not None and self.file is None:
            self.store(self.catalog, set(), whole=True)

    def _start_rewrite(self, catalog: Catalog) -> None:
        if self.rewrite_task is not None:
            self.rewrite_task.cancel()
        self.changed_during_rewrite = set()
        if not catalog.packed or asyncio.get_running_loop().time() < self.next_rewrite_at:
            return
        self.rewrite_task = asyncio.get_running_loop().create_task(self._rewrite(catalog))

    async def _rewrite(self, catalog: Catalog) -> None:
        """Write a snapshot in chunks, then a delta of what changed meanwhile, and replace the old file."""
        new_file, final_sizes = None, (self.size, self.snapshot_size)
        try:
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
            new_file = os.open(self.temporary_path, flags, 0o600)
            succeeded = await self._write_snapshot(new_file, catalog)
            for _ in range(MAX_SNAPSHOT_REPEATS):
                if not succeeded or self._has_room_for_changes(catalog):
                    break
                # A snapshot of now has them already, and fits where they do not fit behind an older one.
                self.changed_during_rewrite = set()
                os.ftruncate(new_file, 0)
                succeeded = await self._write_snapshot(new_file, catalog)
            if self.changed_during_rewrite:
                succeeded = succeeded and self._append(
                    new_file, DELTA, _encode_destinations(catalog, self.changed_during_rewrite)
                )
            if not succeeded:
                remove_quietly(self.temporary_path)
                return
            os.rename(self.temporary_path, self.path)
            if self.file is not None:
                close_quietly(self.file)
            self.file, new_file, self.snapshot_size, final_sizes = (
                new_file,
                None,
                self.size,
                (self.size, self.size),
            )
            log.info("list version %d is kept: %d bytes", catalog.version, self.size)
        except OSError as error:
            self._handle_failure(str(error.strerror), RETRY_DELAY_AFTER_ERROR)
        finally:
            self.size, self.snapshot_size = final_sizes
            if new_file is not None:
                close_quietly(new_file)

    async def _write_snapshot(self, new_file: int, catalog: Catalog) -> bool:
        """Write header and list in chunks, between which other work runs. Returns whether they fit."""
        self.size = 0
        succeeded = self._append(new_file, HEADER, self.header)
        destinations = list(catalog.packed)
        written = 0
        for start in range(0, len(destinations), CHUNK_DESTINATIONS):
            chunk = [
                destination
                for destination in destinations[start : start + CHUNK_DESTINATIONS]
                if destination in catalog.packed
            ]
            succeeded = succeeded and self._append(new_file, CHUNK, _encode_destinations(catalog, chunk))
            written += len(chunk)
            await asyncio.sleep(CHUNK_PAUSE)
        snapshot_end = INT64_FIELD.pack(catalog.version) + INT64_FIELD.pack(written)
        return succeeded and self._append(new_file, SNAPSHOT_END, snapshot_end)

    def _has_room_for_changes(self, catalog: Catalog) -> bool:
        """Return whether the changes since the start of the rewrite fit behind the new snapshot."""
        if not self.changed_during_rewrite:
            return True
        changes = _encode_destinations(catalog, self.changed_during_rewrite)
        return self.size + RECORD_HEADER.size + len(changes) <= self.max_bytes // 2


def _encode_destinations(catalog: Catalog, destinations: Iterable[int]) -> bytes:
    parts = [INT64_FIELD.pack(catalog.version)]
    for destination in destinations:
        packed = catalog.packed.get(destination, b"")
        parts += (DESTINATION_HEADER.pack(destination, len(packed)), packed)
    return b"".join(parts)


def _encode_record(record_kind: bytes, payload: bytes) -> bytes:
    return (
        RECORD_HEADER.pack(record_kind, len(payload), zlib.crc32(payload, zlib.crc32(record_kind))) + payload
    )


def _decode_records(data: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield the kind and payload of each complete record. A torn tail is skipped: the records before it are
    valid for their version. Raises ValueError at a damaged record, as the records after it cannot be
    located."""
    offset = 0
    while offset + RECORD_HEADER.size <= len(data):
        record_kind, length, checksum = RECORD_HEADER.unpack_from(data, offset)
        offset += RECORD_HEADER.size + length
        if offset > len(data):
            return
        payload = data[offset - length : offset]
        if zlib.crc32(payload, zlib.crc32(record_kind)) != checksum:
            raise ValueError(f"a record is damaged before byte {offset}")
        yield record_kind, payload
