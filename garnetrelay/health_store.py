"""What a relay has seen of destinations in trouble, in its folder, so that the next life is bound by it.

One file of lines: a checksum, then a JSON list. The first line names the boot of the machine whose monotonic
clock the times are of; each other one holds a destination's latest record, a later one in place of an earlier
one. When the file has grown beyond its bound the latest records are written anew, into a file that takes the
old one's place. The disk may fail at any call: what is kept then is older, and nothing else suffers.
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

FORMAT = 1
COUNT = len(fields(HealthRecord))
TIMES = (
    "unhealthy_since",
    "last_bad_outcome_at",
    "last_failure_at",
    "slow_start_began_at",
    "slow_start_ends_at",
)
MAX_TIME_AHEAD = 60_000_000_000  # nanoseconds: a destination that is shut says when it opens
MOST_RATE = 1e9  # calls a second

Key = tuple[int, str]


class HealthStore:
    """One relay's health records. OSError never gets out: what cannot be kept is tried again by ``flush``."""

    def __init__(self, folder: Path, most_bytes: int) -> None:
        self.path = folder / "health"
        self.temporary_path = folder / "health.new"
        self.max_bytes = most_bytes // 2  # bytes: two files stand side by side while it is written anew
        self.lines: dict[Key, bytes] = {}  # the latest record of each, oldest first
        self.live_bytes = 0  # bytes of those
        self.file: int | None = None  # until the first record of this life
        self.size = 0
        self.unwritten: dict[Key, bytes] = {}  # what the disk has not taken yet; empty where it is to go
        self.failing = False

    def load(self, now: int) -> list[HealthRecord]:
        """What an earlier life left, oldest first; ``now`` is the monotonic clock's, in nanoseconds. What is
        damaged or of another form is passed over, with one line in the log."""
        try:
            if self.path.stat().st_size > self.max_bytes:
                raise ValueError("it is too long")
            lines = self.path.read_bytes().split(b"\n")[:-1]
            same_boot = _boot(_checked(lines[0])) if lines else False
        except FileNotFoundError:
            return []
        except (OSError, ValueError) as error:
            log.warning("the health on the disk is not used: %s", error)
            return []
        records: dict[Key, HealthRecord] = {}
        damaged = 0
        for line in lines[1:]:
            try:
                record = _record(_checked(line), same_boot, now)
            except ValueError:
                damaged += 1
                continue
            records.pop((record.destination, record.endpoint), None)
            records[record.destination, record.endpoint] = record
        if damaged:
            log.warning("health on the disk: %d of %d records can't be read", damaged, len(lines) - 1)
        left = [record for record in records.values() if record.unhealthy_since is not None]
        self._take_in({(record.destination, record.endpoint): _packed(record) for record in left})
        return left

    def store(self, records: Iterable[HealthRecord]) -> None:
        """Let these outlast the process."""
        for record in records:
            self.unwritten[record.destination, record.endpoint] = (
                b"" if record.unhealthy_since is None else _packed(record)
            )
        self.flush()

    def flush(self) -> None:
        """Write what the disk has not taken yet."""
        if not self.unwritten:
            return
        added = b"".join(line or _line([dest, host]) for (dest, host), line in self.unwritten.items())
        try:
            if self.file is None or self.size + len(added) > self.max_bytes:
                self._write_anew()
            else:
                write_all(self.file, added)
                self.size += len(added)
                self._take_in(self.unwritten)
        except OSError as error:
            self._failed(error)
        else:
            self.unwritten.clear()
            self.failing = False

    def close(self) -> None:
        if self.file is not None:
            close_quietly(self.file)
            self.file = None

    def _take_in(self, lines: dict[Key, bytes]) -> None:
        """These are among the latest records; what passes the bound is dropped, oldest first."""
        for key, line in lines.items():
            self.live_bytes -= len(self.lines.pop(key, b""))
            if line:
                self.lines[key] = line
                self.live_bytes += len(line)
        while self.live_bytes > self.max_bytes // 2:
            self.live_bytes -= len(self.lines.pop(next(iter(self.lines))))

    def _write_anew(self) -> None:
        """All of the latest records, and no more, into a file that takes the old one's place."""
        self._take_in(self.unwritten)
        data = _line([FORMAT, boot_id()]) + b"".join(self.lines.values())
        new = os.open(
            self.temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600
        )
        try:
            write_all(new, data)
            os.rename(self.temporary_path, self.path)
        except OSError:
            close_quietly(new)
            remove_quietly(self.temporary_path)
            raise
        self.close()
        self.file, self.size = new, len(data)

    def _failed(self, error: OSError) -> None:
        """Said once. Half a line may stand at the end: the next try writes all anew."""
        if not self.failing:
            log.warning("health cannot be kept on the disk: %s", error.strerror)
        self.failing = True
        self.close()


def _line(values: list[Any]) -> bytes:
    payload = json.dumps(values, separators=(",", ":")).encode()
    return b"%08x %s\n" % (zlib.crc32(payload), payload)


def _packed(record: HealthRecord) -> bytes:
    return _line(list(astuple(record)))


def _checked(line: bytes) -> list[Any]:
    """The line's values; ValueError where it is damaged."""
    checksum, _, payload = line.partition(b" ")
    if int(checksum, 16) != zlib.crc32(payload):
        raise ValueError("a checksum is wrong")
    values = json.loads(payload)
    if not isinstance(values, list):
        raise ValueError("not a list")
    return values


def _boot(header: list[Any]) -> bool:
    """Whether the times that follow are of this boot's clock; ValueError for another form."""
    if len(header) != 2 or header[0] != FORMAT:
        raise ValueError("it is of another form")
    return bool(header[1]) and header[1] == boot_id()


def _record(values: list[Any], same_boot: bool, now: int) -> HealthRecord:
    """A record from its values; ValueError where they cannot be one. Where its times are not of this boot's
    clock the trouble counts as seen just now; so does one that lies further ahead than any wait."""
    if len(values) == 2 and isinstance(values[0], int) and isinstance(values[1], str):
        return HealthRecord(values[0], values[1], 0.0, False, None, 0, 0, None, 0, False, 0.0)
    if len(values) != COUNT:
        raise ValueError("another number of values")
    record = HealthRecord(*values)
    times = [getattr(record, name) for name in TIMES]
    whole = all(type(time) is int or time is None for time in times)
    rates = (record.failure_rate, record.rate_before_outage)
    if (
        not whole
        or type(record.destination) is not int
        or not isinstance(record.endpoint, str)
        or type(record.in_outage) is not bool
        or type(record.unconfirmed) is not bool
        or not all(isinstance(rate, int | float) and math.isfinite(rate) for rate in rates)
        or not 0 <= record.failure_rate <= 1
        or not 0 <= record.rate_before_outage <= MOST_RATE
        or None in (record.last_bad_outcome_at, record.last_failure_at, record.slow_start_ends_at)
    ):
        raise ValueError("values of another kind")
    if (
        not same_boot
        or record.last_bad_outcome_at > now + MAX_TIME_AHEAD
        or (record.slow_start_began_at or 0) > now + MAX_TIME_AHEAD
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
