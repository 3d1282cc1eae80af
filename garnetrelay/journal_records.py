"""The framing of journal records, and a reader that never takes a message's body for records.

A record has a header (magic, length and CRC-32 of the payload) and a payload: a JSON object, a line feed, and
the message's body if there is one. A body holds any bytes, so it may hold framed records as well. Reading
therefore goes from record to record. Behind a damaged one it goes on only where no body can be:

- where the checksum or the declared length shows that the damaged record ends;
- within the first ``MIN_MESSAGE_RECORD_BYTES`` of the damaged record, as no body begins so early;
- at a synchronization marker, a random text that the writer keeps out of the bodies in the file. It precedes
  each message's record, in a record that readers without knowledge of markers ignore.

If none of these is found, the rest of the data belongs to a record that was not written completely.
"""

from __future__ import annotations

import functools
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
MARKER_FIELD = "sync"
MARKER_START = b'{"t":"told","ref":"","sync":'


@dataclass(slots=True)
class Record:
    """A complete record of a journal file."""

    payload: bytes
    start: int  # offset of its header in the data
    end: int  # offset behind its payload

    @property
    def body(self) -> bytes:
        """The message's body; empty for a record without one."""
        return self.payload.partition(b"\n")[2]

    def decode(self) -> Any:
        """Return the JSON value of the record, normally an object. Raises ValueError if it is no JSON."""
        return json.loads(self.payload.partition(b"\n")[0])


@dataclass(frozen=True, slots=True)
class DamagedRange:
    """Bytes of a journal file that were skipped."""

    start: int
    end: int


class RecordReader:
    """Reads the records of one file, which may be read in several parts."""

    def __init__(self) -> None:
        self.marker: str | None = None  # the latest marker of the records read

    def read(self, data: bytes, position: int = 0) -> Iterator[Record | DamagedRange]:
        """Yield the complete records of ``data`` from ``position`` on, and what was skipped between them.

        Repetitions of a marker are left out. Bytes behind the last item belong to an incomplete record.
        """
        while position < len(data):
            if self.marker is not None and data.startswith(encode_marker(self.marker), position):
                position += len(encode_marker(self.marker))
                continue
            record = _record_at(data, position)
            if record is not None:
                self._note_marker(record)
                yield record
                position = record.end
                continue
            end = self._find_end_of_damage(data, position)
            if end is None:
                return
            yield DamagedRange(position, end)
            position = end

    def _note_marker(self, record: Record) -> None:
        """Remember the marker if the record is one. All records come from the writer, so it is genuine."""
        if record.payload.startswith(MARKER_START):
            try:
                fields = record.decode()
            except ValueError:
                return
            if isinstance(fields, dict) and isinstance(fields.get(MARKER_FIELD), str):
                self.marker = fields[MARKER_FIELD]

    def _find_end_of_damage(self, data: bytes, position: int) -> int | None:
        """Return where reading goes on behind the damaged record at ``position``.

        None means that the rest of the data belongs to that record.
        """
        if position + RECORD_HEADER.size > len(data):
            return None
        end = _find_end_by_checksum(data, position)
        if end is None:
            end = _find_end_by_length(data, position)
        if end is None:
            end = _find_early_record(data, position)
        if end is None and self.marker is not None:
            end = _find_marker_record(data, position, self.marker)
        return end


def encode_record(fields: dict[str, Any], body: bytes = b"") -> bytes:
    """Return the framed record of a JSON object and a message's body."""
    payload = json.dumps(fields, separators=(",", ":")).encode() + b"\n" + body
    return RECORD_HEADER.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


@functools.lru_cache(maxsize=4)
def encode_marker(marker: str) -> bytes:
    """Return the record of a synchronization marker: the acknowledgement of a message that does not exist."""
    return encode_record({"t": "told", "ref": "", MARKER_FIELD: marker})


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
    limit = position + MIN_MESSAGE_RECORD_BYTES
    candidate = data.find(MAGIC, position + 1, limit)
    while candidate >= 0:
        if _record_at(data, candidate) is not None:
            return candidate
        candidate = data.find(MAGIC, candidate + 1, limit)
    return None


def _find_marker_record(data: bytes, position: int, marker: str) -> int | None:
    """Return the next undamaged record of the marker behind ``position``."""
    record = encode_marker(marker)
    found = data.find(record, position + 1)
    return found if found >= 0 else None
