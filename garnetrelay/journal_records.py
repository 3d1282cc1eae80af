"""The framing of journal records, and a reader that never takes a message's body for records.

A record has a header (magic, length and CRC-32 of the payload) and a payload: a JSON object, a line feed, and
the message's body if there is one. A body holds any bytes, so it may hold framed records as well. Reading
therefore goes from record to record. Behind a damaged one it goes on

- where the checksum or the declared length shows that the damaged record ends;
- at a record within its first ``MIN_MESSAGE_RECORD_BYTES``, as no body begins so early;
- at the next record, unless that may lie in a body. The record of a body with the magic in it stands between
  two guards, records without effect that hold the file's marker. The marker is derived from the first record
  of the file, and the writer keeps it out of the bodies.

If none of these is found, the rest of the data belongs to a record that was not written completely.
"""

from __future__ import annotations

import hashlib
import json
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

RECORD_HEADER = struct.Struct(">2sII")  # magic, length of the payload, CRC-32 of the payload
MAGIC = b"\xa7R"
PAYLOAD_START = b'{"t":"'
MAX_PAYLOAD = 1 << 20  # bytes
MIN_MESSAGE_RECORD_BYTES = 180  # a message's record takes more than this before its body
MARKER_BYTES = 16  # of the digest of a file's first record


@dataclass(frozen=True, slots=True)
class Guards:
    """The records before and behind the record of a body that has the magic in it."""

    marker: str
    begin: bytes
    end: bytes

    @classmethod
    def of_file(cls, first_payload: bytes) -> Guards:
        """Return the guards of a file, given the payload of its first record.

        To readers without knowledge of guards they acknowledge a message that does not exist.
        """
        marker = hashlib.sha256(first_payload).hexdigest()[: 2 * MARKER_BYTES]
        begin, end = (
            encode_record({"t": "told", "ref": "", "guard": name, "marker": marker})
            for name in ("begin", "end")
        )
        return cls(marker, begin, end)

    def wrap(self, record: bytes, body: bytes) -> bytes:
        """Return the record of a body with guards if that needs them."""
        return self.begin + record + self.end if MAGIC in body else record


@dataclass(slots=True)
class Record:
    """A complete record of a journal file."""

    payload: bytes
    start: int  # offset of its header in the data
    end: int  # offset behind its payload

    def decode(self) -> tuple[Any, bytes]:
        """Return the JSON value of the record, normally an object, and the message's body, if any. Raises
        ValueError if it is no JSON."""
        fields, _, body = self.payload.partition(b"\n")
        return json.loads(fields), body


@dataclass(frozen=True, slots=True)
class DamagedRange:
    """Bytes of a journal file that were skipped."""

    start: int
    end: int


class RecordReader:
    """Reads the records of one file, which may be read in several parts, from its start on."""

    def __init__(self) -> None:
        self.guards: Guards | None = None  # of the file, once its first record is read
        self.has_unguarded_body = False  # an earlier version has written a body with the magic in it
        self._is_guarded = False  # the latest record was the guard at the begin
        self._begin_payload = b""
        self._is_first = True  # nothing of the file was read so far

    def read(self, data: bytes, position: int = 0) -> Iterator[Record | DamagedRange]:
        """Yield the complete records of ``data`` from ``position`` on, and what was skipped between them.

        Bytes behind the last item belong to an incomplete record.
        """
        while position < len(data):
            record = _record_at(data, position)
            if record is not None:
                self._note(record)
                yield record
                position = record.end
                continue
            end = self._find_end_of_damage(data, position)
            if end is None:
                return
            self._is_guarded = self._is_first = False
            yield DamagedRange(position, end)
            position = end

    def _note(self, record: Record) -> None:
        payload = record.payload
        if self._is_first:
            self.guards, self._is_first = Guards.of_file(payload), False
            self._begin_payload = self.guards.begin[RECORD_HEADER.size :]
        if MAGIC in payload and not self._is_guarded:
            self.has_unguarded_body = True
        self._is_guarded = payload == self._begin_payload

    def _find_end_of_damage(self, data: bytes, position: int) -> int | None:
        """Return where reading goes on behind the damaged record at ``position``.

        None means that the rest of the data belongs to that record.
        """
        if position + RECORD_HEADER.size > len(data):
            return None
        for find in (_find_end_by_checksum, _find_end_by_length, _find_early_record):
            end = find(data, position)
            if end is not None:
                return end
        if self.guards is not None:
            next_end = data.find(self.guards.end, position)
            next_begin = data.find(self.guards.begin, position)
            if next_end >= 0 and (self._is_guarded or not 0 <= next_begin < next_end):
                return next_end  # a guarded body lies between
        if self._is_guarded or _is_cut_off(data, position):
            return None
        return _find_record(data, position + 1, len(data))


def encode_record(fields: dict[str, Any], body: bytes = b"") -> bytes:
    """Return the framed record of a JSON object and a message's body."""
    payload = json.dumps(fields, separators=(",", ":")).encode() + b"\n" + body
    return RECORD_HEADER.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


def _record_at(data: bytes, position: int) -> Record | None:
    """Return the record that begins at ``position`` if it is complete and undamaged."""
    if position + RECORD_HEADER.size > len(data):
        return None
    magic, length, checksum = RECORD_HEADER.unpack_from(data, position)
    if magic != MAGIC or length > MAX_PAYLOAD:
        return None
    start = position + RECORD_HEADER.size
    payload = data[start : start + length]
    if len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return Record(payload, position, start + length)


def _find_end_by_checksum(data: bytes, position: int) -> int | None:
    """Return the end of a record whose payload and checksum are intact: its magic or length is damaged.

    Candidates are the declared end, each place where another record may begin, and the end of the data.
    """
    length: int
    checksum: int
    _, length, checksum = RECORD_HEADER.unpack_from(data, position)
    start = position + RECORD_HEADER.size
    if not data.startswith(PAYLOAD_START, start):
        return None
    limit = min(len(data), start + MAX_PAYLOAD)
    if length <= limit - start and zlib.crc32(data[start : start + length]) == checksum:
        return start + length
    checked, running = start, 0
    while checked < limit:
        candidate = data.find(MAGIC, checked + 1, limit)
        if candidate < 0:
            candidate = limit
        running = zlib.crc32(data[checked:candidate], running)
        checked = candidate
        if running == checksum:
            return candidate
    return None


def _find_end_by_length(data: bytes, position: int) -> int | None:
    """Return the declared end of a record whose payload or checksum is damaged, if that end is plausible."""
    magic, length, _ = RECORD_HEADER.unpack_from(data, position)
    end: int = position + RECORD_HEADER.size + length
    if magic != MAGIC or length > MAX_PAYLOAD or end > len(data):
        return None
    return end if end == len(data) or _record_at(data, end) is not None else None


def _find_early_record(data: bytes, position: int) -> int | None:
    """Return the first record that begins where no body of the damaged record can be."""
    return _find_record(data, position + 1, position + MIN_MESSAGE_RECORD_BYTES)


def _is_cut_off(data: bytes, position: int) -> bool:
    """Return whether the record's header is plausible and declares more than the rest of the data."""
    magic, length, _ = RECORD_HEADER.unpack_from(data, position)
    rest = len(data) - position - RECORD_HEADER.size
    return bool(magic == MAGIC and rest < length <= MAX_PAYLOAD)


def _find_record(data: bytes, position: int, limit: int) -> int | None:
    """Return the first undamaged record that begins from ``position`` on and before ``limit``."""
    candidate = data.find(MAGIC, position, limit)
    while candidate >= 0:
        if _record_at(data, candidate) is not None:
            return candidate
        candidate = data.find(MAGIC, candidate + 1, limit)
    return None
