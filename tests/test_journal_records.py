"""Tests of reading journals whose bodies hold framed records, undamaged, damaged or cut off."""

from __future__ import annotations

import os
import struct
import zlib
from pathlib import Path
from typing import Any

import pytest

from garnetrelay.journal import Journal, JournalEntry
from garnetrelay.journal_records import MAGIC, encode_marker, encode_record

DISK = 3_000_000
DEADLINE = 1_900_000_000_000


def frame(fields: dict[str, Any], body: bytes = b"") -> bytes:
    """Frame a record in the form that all versions read and write."""
    payload = str(fields).replace("'", '"').replace("None", "null").replace("False", "false").encode()
    payload += b"\n" + body
    return struct.pack(">2sII", b"\xa7R", len(payload), zlib.crc32(payload)) + payload


def message_fields(ref: str) -> dict[str, Any]:
    return {
        "t": "taken",
        "ref": ref,
        "klass": "keyed",
        "dest": 3,
        "key": "k",
        "deadline": DEADLINE,
        "attempts": 0,
        "trying_at": None,
        "trying_zone": "",
        "ran_at": None,
        "ran_zone": "",
        "ended": None,
        "wait_ms": 0,
        "uncertain": False,
    }


def hostile_body(size: int = 3000) -> bytes:
    """Return a body full of records that would end or forge messages, or take the clock away."""
    frames = (
        frame({"t": "ended", "ref": "victim", "result": None, "wait": 0})
        + frame(message_fields("forged"), b"body")
        + frame({"t": "clock", "ref": "", "boot": "other", "offset": 5, "at": 1})
        + frame({"t": "told", "ref": "", "sync": "a marker"})
    )
    return (frames * (size // len(frames) + 1))[:size] + frames


def write_journal(folder: Path, marked: bool, *bodies: bytes) -> tuple[bytes, list[int]]:
    """Write a message "victim", then one for each body and one behind each, and return the file's bytes and
    the offsets at which the records of the bodies begin. Without markers it is as earlier versions wrote."""
    journal = Journal(folder, DISK)
    assert journal.accept(JournalEntry("victim", "keyed", 3, "k", DEADLINE, b"body"))
    starts = []
    for number, body in enumerate(bodies):
        starts.append(journal.size)
        assert journal.accept(JournalEntry(f"hostile{number}", "keyed", 3, "k", DEADLINE, body))
        assert journal.accept(JournalEntry(f"behind{number}", "keyed", 3, "k", DEADLINE, b"x"))
    journal.close()
    data = journal.path.read_bytes()
    marker = encode_marker(journal.marker)
    if marked:
        return data, [start + len(marker) for start in starts]
    starts = [start - data.count(marker, 0, start) * len(marker) for start in starts]
    return data.replace(marker, b""), starts


def read_refs(folder: Path, data: bytes) -> set[str]:
    """Return the messages that a new process finds in a journal of these bytes, now and after a rewrite."""
    (folder / "journal").write_bytes(data)
    journal = Journal(folder, DISK)
    refs = set(journal.entries)
    assert journal.accept(JournalEntry("next", "keyed", 3, "k", DEADLINE, b"y"))
    journal.record_finish("next", None)
    journal.close()
    reopened = Journal(folder, DISK)
    assert set(reopened.entries) == refs
    reopened.close()
    return refs


@pytest.fixture(params=[True, False], ids=["with markers", "of an earlier version"])
def marked(request: pytest.FixtureRequest) -> bool:
    return bool(request.param)


# Guards against a message that is lost because the record of its end lies in a body that a kill cut off.
def test_frames_in_a_body_that_is_cut_off_are_not_read_as_records(tmp_path: Path, marked: bool) -> None:
    data, [start] = write_journal(tmp_path, marked, hostile_body())
    end = data.index(b"behind0") if marked else data.index(b'{"t":"taken","ref":"behind0"')
    for cut in range(start + 1, start + 3000, 37):
        assert cut < end and read_refs(tmp_path, data[:cut]) == {"victim"}


# Guards against frames in a body that are read as records because one byte of the body's record is damaged.
def test_frames_in_the_body_of_a_damaged_record_are_not_read_as_records(tmp_path: Path, marked: bool) -> None:
    data, [start, _] = write_journal(tmp_path, marked, hostile_body(), hostile_body(700))
    for offset in (*range(10), 40, 250, 1000, 3100):
        damaged = bytearray(data)
        damaged[start + offset] ^= 0x24
        assert read_refs(tmp_path, bytes(damaged)) == {"victim", "behind0", "hostile1", "behind1"}


# Guards against the same where header and names of the record are gone, and against losing what lies behind.
def test_frames_behind_a_damaged_block_are_not_read_as_records(tmp_path: Path) -> None:
    data, [start, _] = write_journal(tmp_path, True, hostile_body(), hostile_body(700))
    for first in (start, start - 60, start + 3):
        damaged = data[:first] + bytes(512) + data[first + 512 :]
        refs = read_refs(tmp_path, damaged)
        assert refs == {"victim", "behind0", "hostile1", "behind1"}


# Guards against a body that is read as records because it holds the markers of its own file.
def test_body_that_holds_the_marker_of_the_file_is_not_read_as_records(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK)
    assert journal.accept(JournalEntry("victim", "keyed", 3, "k", DEADLINE, b"body"))
    marker = journal.marker
    body = (
        encode_marker(marker) + encode_record({"t": "ended", "ref": "victim", "result": None, "wait": 0})
    ) * 9
    assert journal.accept(JournalEntry("hostile", "keyed", 3, "k", DEADLINE, body))
    assert journal.marker != marker
    journal.close()
    data = journal.path.read_bytes()
    start = data.index(b'"ref":"hostile"') - 25
    assert read_refs(tmp_path, data[:start] + bytes(100) + data[start + 100 :]) == {"victim"}
    assert read_refs(tmp_path, data[:-20]) == {"victim"}


# Guards against a journal that the next version, or the one before after a rollback, cannot read.
def test_journal_of_an_earlier_version_is_read_and_the_new_one_has_no_other_records(tmp_path: Path) -> None:
    data, _ = write_journal(tmp_path, False, hostile_body())
    (tmp_path / "journal").write_bytes(data)
    journal = Journal(tmp_path, DISK)
    assert set(journal.entries) == {"victim", "hostile0", "behind0"} and not journal.is_marked
    assert journal.record_attempt_start("victim", "north", 1) and journal.is_marked  # it was rewritten
    journal.close()
    position, kinds = 0, []
    rewritten = journal.path.read_bytes()
    while position < len(rewritten):
        magic, length, checksum = struct.unpack_from(">2sII", rewritten, position)
        payload = rewritten[position + 10 : position + 10 + length]
        assert magic == MAGIC and zlib.crc32(payload) == checksum
        kinds.append(payload[: payload.index(b",")])
        position += 10 + length
    assert set(kinds) == {b'{"t":"clock"', b'{"t":"told"', b'{"t":"taken"', b'{"t":"try"'}
    assert os.path.getsize(journal.path) == len(rewritten)
