"""Persistent health records of unhealthy and recovering destinations, for the relay's next process.

The file consists of lines: a checksum, then a JSON list. The first line identifies the boot of the machine
whose monotonic clock the times refer to. Each other line is a health record; a later record of a destination
replaces an earlier one. When the file exceeds its limit, the latest records are written to a new file that
replaces it. The disk may fail at any call: the stored records are older then, without other effects.
"""

from __future__ import annotations

import json
import logging
import math
import os
import zlib
from collections.abc import Iterable
from dataclasses import astuple, fields, replace
from pathlib import Path
from typing import Any

from garnetrelay.clock import boot_id
from garnetrelay.files import close_quietly, remove_quietly, write_all
from starlingwick.interface import HealthRecord

log = logging.getLogger(__name__)

FORMAT_VERSION = 1
FIELD_COUNT = len(fields(HealthRecord))
TIME_FIELDS = (
    "unhealthy_since",
    "last_bad_outcome_at",
    "last_failure_at",
    "slow_start_began_at",
    "slow_start_ends_at",
)
MAX_TIME_AHEAD_NS = 60_000_000_000  # a retry-after puts a time ahead, but none is this long
MAX_RATE = 1e9  # calls a second

Key = tuple[int, str]


class HealthStore:
    """The health records of one relay. Raises no OSError: ``flush`` retries records that were not written."""

    def __init__(self, folder: Path, disk_bytes: int) -> None:
        self.path = folder / "health"
        self.temporary_path = folder / "health.new"
        self.max_bytes = disk_bytes // 2  # for one file: two exist during compaction
        self.latest_lines: dict[Key, bytes] = {}  # the latest record of each destination, oldest first
        self.live_bytes = 0  # total length of the latest lines
        self.file: int | None = None  # None until the first record of this process
        self.size = 0
        self.unwritten: dict[Key, bytes] = {}  # not on the disk yet; an empty line deletes the record
        self.failing = False

    def load(self, now: int) -> list[HealthRecord]:
        """Return the records of unhealthy destinations that a previous process left, oldest first.

        ``now`` is the time of the monotonic clock in nanoseconds. Damaged or malformed records are skipped,
        with one line in the log.
        """
        try:
            if self.path.stat().st_size > self.max_bytes:
                raise ValueError("the file is too long")
            lines = self.path.read_bytes().split(b"\n")[:-1]
            same_boot = _is_same_boot(_decode_line(lines[0])) if lines else False
        except FileNotFoundError:
            return []
        except (OSError, ValueError) as error:
            log.warning("the health file is not used: %s", error)
            return []
        records: dict[Key, HealthRecord] = {}
        damaged = 0
        for line in lines[1:]:
            try:
                record = _decode_record(_decode_line(line), same_boot, now)
            except ValueError:
                damaged += 1
                continue
            records.pop((record.destination, record.endpoint), None)
            records[record.destination, record.endpoint] = record
        if damaged:
            log.warning("health file: %d of %d records are not readable", damaged, len(lines) - 1)
        unhealthy_records = [record for record in records.values() if record.unhealthy_since is not None]
        self._merge_lines(
            {(record.destination, record.endpoint): _encode_record(record) for record in unhealthy_records}
        )
        return unhealthy_records

    def store(self, records: Iterable[HealthRecord]) -> None:
        """Write records to the disk, or keep them for ``flush`` if that fails."""
        for record in records:
            self.unwritten[record.destination, record.endpoint] = (
                b"" if record.unhealthy_since is None else _encode_record(record)
            )
        self.flush()

    def flush(self) -> None:
        """Write the records that are not on the disk yet."""
        if not self.unwritten:
            return
        new_lines = b"".join(
            line or _encode_line([destination, endpoint])
            for (destination, endpoint), line in self.unwritten.items()
        )
        try:
            if self.file is None or self.size + len(new_lines) > self.max_bytes:
                self._compact()
            else:
                write_all(self.file, new_lines)
                self.size += len(new_lines)
                self._merge_lines(self.unwritten)
        except OSError as error:
            self._report_failure(error)
        else:
            self.unwritten.clear()
            self.failing = False

    def close(self) -> None:
        """Close the file."""
        if self.file is not None:
            close_quietly(self.file)
            self.file = None

    def _merge_lines(self, lines: dict[Key, bytes]) -> None:
        """Update the latest lines. Beyond half of the size limit the oldest are dropped."""
        for key, line in lines.items():
            self.live_bytes -= len(self.latest_lines.pop(key, b""))
            if line:
                self.latest_lines[key] = line
                self.live_bytes += len(line)
        while self.live_bytes > self.max_bytes // 2:
            self.live_bytes -= len(self.latest_lines.pop(next(iter(self.latest_lines))))

    def _compact(self) -> None:
        """Write only the latest records to a new file that replaces the old one."""
        self._merge_lines(self.unwritten)
        data = _encode_line([FORMAT_VERSION, boot_id()]) + b"".join(self.latest_lines.values())
        new_file = os.open(
            self.temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600
        )
        try:
            write_all(new_file, data)
            os.rename(self.temporary_path, self.path)
        except OSError:
            close_quietly(new_file)
            remove_quietly(self.temporary_path)
            raise
        self.close()
        self.file, self.size = new_file, len(data)

    def _report_failure(self, error: OSError) -> None:
        """Log the first failure only. The file may end in a partial line, so the next flush compacts it."""
        if not self.failing:
            log.warning("health records cannot be kept on the disk: %s", error.strerror)
        self.failing = True
        self.close()


def _encode_line(values: list[Any]) -> bytes:
    payload = json.dumps(values, separators=(",", ":")).encode()
    return b"%08x %s\n" % (zlib.crc32(payload), payload)


def _encode_record(record: HealthRecord) -> bytes:
    return _encode_line(list(astuple(record)))


def _decode_line(line: bytes) -> list[Any]:
    """Return the values of a line. Raises ValueError if it is damaged."""
    checksum, _, payload = line.partition(b" ")
    if int(checksum, 16) != zlib.crc32(payload):
        raise ValueError("checksum mismatch")
    values = json.loads(payload)
    if not isinstance(values, list):
        raise ValueError("the payload is not a list")
    return values


def _is_same_boot(header: list[Any]) -> bool:
    """Return whether the times refer to the clock of this boot. Raises ValueError for another format."""
    if len(header) != 2 or header[0] != FORMAT_VERSION:
        raise ValueError("the file is of another form")
    return bool(header[1]) and header[1] == boot_id()


def _decode_record(values: list[Any], same_boot: bool, now: int) -> HealthRecord:
    """Return the record that consists of ``values``. Raises ValueError if they are invalid.

    Times of another boot's clock, or further ahead than any retry-after, are replaced by ``now``.
    """
    if len(values) == 2 and isinstance(values[0], int) and isinstance(values[1], str):
        return HealthRecord(values[0], values[1], 0.0, False, None, 0, 0, None, 0, False, 0.0)
    if len(values) != FIELD_COUNT:
        raise ValueError("wrong number of values")
    record = HealthRecord(*values)
    times = [getattr(record, name) for name in TIME_FIELDS]
    times_are_valid = all(type(time) is int or time is None for time in times)
    rates = (record.failure_rate, record.rate_before_outage)
    if (
        not times_are_valid
        or type(record.destination) is not int
        or not isinstance(record.endpoint, str)
        or type(record.in_outage) is not bool
        or type(record.unconfirmed) is not bool
        or not all(isinstance(rate, int | float) and math.isfinite(rate) for rate in rates)
        or not 0 <= record.failure_rate <= 1
        or not 0 <= record.rate_before_outage <= MAX_RATE
        or None in (record.last_bad_outcome_at, record.last_failure_at, record.slow_start_ends_at)
    ):
        raise ValueError("a value has the wrong type or range")
    if (
        not same_boot
        or record.last_bad_outcome_at > now + MAX_TIME_AHEAD_NS
        or (record.slow_start_began_at or 0) > now + MAX_TIME_AHEAD_NS
    ):
        return replace(
            record,
            unhealthy_since=now,
            last_bad_outcome_at=now,
            last_failure_at=now,
            slow_start_began_at=None,
            slow_start_ends_at=0,
        )
    return record
