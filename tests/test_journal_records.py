"""Tests of reading journals whose bodies hold framed records, undamaged, damaged or cut off."""

from __future__ import annotations

import struct
import zlib
from pathlib import Path
from typing import Any

import pytest

from garnetrelay.journal import Journal, JournalEntry
from garnetrelay.journal_records import MAGIC, encode_record

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
        + frame({"t": "told", "ref": "", "guard": "end", "marker": "of another file"})
    )
    return (frames * (size // len(frames) + 1))[:size] + frames


def write_journal(folder: Path, guarded: bool, *bodies: bytes) -> tuple[bytes, list[int]]:
    """Write a message "victim", then one for each body and one behind each, and return the file's bytes and
    the offsets at which the records of the bodies begin. Without guards it is as earlier versions wrote."""
    journal = Journal(folder, DISK)
    assert journal.accept(JournalEntry("victim", "keyed", 3, "k", DEADLINE, b"body"))
    for number, body in enumerate(bodies):
        assert journal.accept(JournalEntry(f"hostile{number}", "keyed", 3, "k", DEADLINE, body))
        assert journal.accept(JournalEntry(f"behind{number}", "keyed", 3, "k", DEADLINE, b"x"))
    journal.close()
    data = journal.path.read_bytes()
    if not guarded and journal.guards is not None:
        data = data.replace(journal.guards.begin, b"").replace(journal.guards.end, b"")
    names = [b'{"t":"taken","ref":"hostile%d"' % number for number in range(len(bodies))]
    return data, [data.index(name) - 10 for name in names]


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


@pytest.fixture(params=[True, False], ids=["with guards", "of an earlier version"])
def guarded(request: pytest.FixtureRequest) -> bool:
    return bool(request.param)


# Guards against a message that is lost because the record of its end lies in a body that a kill cut off.
def test_frames_in_a_body_that_is_cut_off_are_not_read_as_records(tmp_path: Path, guarded: bool) -> None:
    data, [start] = write_journal(tmp_path, guarded, hostile_body())
    end = data.index(b'{"t":"taken","ref":"behind0"')
    for cut in range(start + 1, start + 3000, 37):
        assert cut < end and read_refs(tmp_path, data[:cut]) == {"victim"}


# Guards against frames in a body that are read as records because one byte of the body's record is damaged.
def test_frames_in_the_body_of_a_damaged_record_are_not_read_as_records(
    tmp_path: Path, guarded: bool
) -> None:
    data, [start, _] = write_journal(tmp_path, guarded, hostile_body(), hostile_body(700))
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


# Guards against a body that is read as records because it holds the guards of its own file.
@pytest.mark.parametrize("restarted", [False, True])
def test_body_that_holds_the_guards_of_the_file_is_not_read_as_records(
    tmp_path: Path, restarted: bool
) -> None:
    journal = Journal(tmp_path, DISK)
    assert journal.accept(JournalEntry("victim", "keyed", 3, "k", DEADLINE, b"body"))
    guards = journal.guards
    assert guards is not None
    if restarted:
        journal.close()
        journal = Journal(tmp_path, DISK)
        assert journal.guards == guards
    end = encode_record({"t": "ended", "ref": "victim", "result": None, "wait": 0})
    body = (guards.end + end + guards.begin + end + guards.end) * 9
    assert journal.accept(JournalEntry("hostile", "keyed", 3, "k", DEADLINE, body))
    assert journal.guards is not None and journal.guards.marker != guards.marker
    journal.close()
    data = journal.path.read_bytes()
    start = data.index(b'{"t":"taken","ref":"hostile"') - 10
    for first in (start, start - 60):
        assert read_refs(tmp_path, data[:first] + bytes(200) + data[first + 200 :]) == {"victim"}
    for cut in (2, 200, 900, 2_000):
        assert read_refs(tmp_path, data[:-cut]) == ({"victim", "hostile"} if cut == 2 else {"victim"})


# Guards against a file without guards: its first record, from which they are derived, is not written yet.
def test_first_message_of_a_file_has_guards(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK)
    assert journal.accept(JournalEntry("hostile", "keyed", 3, "k", DEADLINE, hostile_body()))
    journal.close()
    data = journal.path.read_bytes()
    assert read_refs(tmp_path, data) == {"hostile"}
    start = data.index(b'{"t":"taken","ref":"hostile"') - 10
    for first in (start, start + 8):
        assert read_refs(tmp_path, data[:first] + bytes(300) + data[first + 300 :]) == set()


# Guards against a journal that the next version, or the one before after a rollback, cannot read.
def test_journal_of_an_earlier_version_gets_guards_that_earlier_versions_pass_over(tmp_path: Path) -> None:
    data, _ = write_journal(tmp_path, False, hostile_body())
    (tmp_path / "journal").write_bytes(data)
    journal = Journal(tmp_path, DISK)
    assert set(journal.entries) == {"victim", "hostile0", "behind0"} and journal.has_unguarded_body
    assert journal.record_attempt_start("victim", "north", 1)
    assert not journal.has_unguarded_body  # it was rewritten
    journal.close()
    position, records = 0, []
    rewritten = journal.path.read_bytes()
    while position < len(rewritten):
        magic, length, checksum = struct.unpack_from(">2sII", rewritten, position)
        payload = rewritten[position + 10 : position + 10 + length]
        assert magic == MAGIC and zlib.crc32(payload) == checksum
        records.append(payload[: payload.index(b",", payload.index(b",") + 1)])
        position += 10 + length
    assert records == [
        b'{"t":"clock","ref":""',
        b'{"t":"taken","ref":"victim"',
        b'{"t":"told","ref":""',
        b'{"t":"taken","ref":"hostile0"',
        b'{"t":"told","ref":""',
        b'{"t":"taken","ref":"behind0"',
        b'{"t":"try","ref":"victim"',
    ]
