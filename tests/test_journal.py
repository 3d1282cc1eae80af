"""Tests of the write-ahead journal: recovery, damaged records and disk use."""

from __future__ import annotations

import errno
import os
import time
from pathlib import Path
from typing import Any

import pytest

from garnetrelay import journal as journal_module
from garnetrelay.clock import boot_id, monotonic_ms, wall_offset_ms
from garnetrelay.journal import JournalEntry, Journal, record_weight
from garnetrelay.journal_records import encode_record

DISK = 3_000_000


def entry(ref: str, body: bytes = b"body") -> JournalEntry:
    return JournalEntry(ref, "unsafe", 3, "k", 1_900_000_000_000, body)


def test_all_record_types_of_a_message_are_read_back(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK)
    body = bytes(range(256)) * 256 + b"\n\xa7R\n"  # 64 KiB of arbitrary bytes that include a record mark
    for ref in ("held", "tried", "ran", "dead", "told", "delivered"):
        assert journal.accept(entry(ref, body))
    for ref in ("tried", "ran", "delivered"):
        assert journal.record_attempt_start(ref, "north", 1000)
    journal.record_outcome("ran", True)
    journal.record_attempt_start("ran", "south", 2000)
    journal.record_outcome("ran", False)
    journal.record_finish("dead", "dead")
    journal.record_finish("told", "bounced", 500)
    journal.record_notified("told")
    journal.record_finish("delivered", None)
    journal.close()
    entries = Journal(tmp_path, DISK).entries
    assert sorted(entries) == ["dead", "held", "ran", "tried"]
    assert entries["held"].body == body and entries["held"].attempts == 0
    assert (entries["tried"].trying_at, entries["tried"].attempts) == (1000, 1)
    # The deduplication window starts at the first attempt that may have run, whatever came later.
    assert (entries["ran"].ran_at, entries["ran"].ran_zone, entries["ran"].attempts) == (1000, "north", 2)
    assert entries["dead"].ended == "dead"


def test_attempt_interrupted_by_a_kill_still_counts_in_later_processes(tmp_path: Path) -> None:
    """Its outcome stays unknown: throttling of the next attempt does not settle it."""
    for run, (zone, now) in enumerate((("north", 1000), ("south", 2000), ("south", 3000))):
        journal = Journal(tmp_path, DISK)
        if not run:
            assert journal.accept(entry("cut off"))
        assert journal.record_attempt_start("cut off", zone, now)
        if run:
            journal.record_outcome("cut off", False)
        journal.close()
    kept = Journal(tmp_path, DISK).entries["cut off"]
    assert (kept.ran_at, kept.ran_zone, kept.attempts) == (1000, "north", 3)


def test_torn_tail_is_truncated_and_writing_continues(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK)
    journal.accept(entry("a"))
    journal.accept(entry("b"))
    journal.close()
    path = tmp_path / "journal"
    os.truncate(path, path.stat().st_size - 3)  # a kill during a write
    journal = Journal(tmp_path, DISK)
    assert list(journal.entries) == ["a"] and not journal.entries["a"].uncertain
    journal.accept(entry("c"))
    journal.close()
    assert list(Journal(tmp_path, DISK).entries) == ["a", "c"]


def test_damaged_record_is_skipped_and_makes_earlier_messages_uncertain(tmp_path: Path) -> None:
    """The lost record may have been an attempt: messages held at that point may have run."""
    journal = Journal(tmp_path, DISK)
    journal.accept(entry("a"))
    at = (tmp_path / "journal").stat().st_size
    journal.record_attempt_start("a", "north", 1000)
    journal.accept(entry("b"))
    journal.close()
    for offset in (at + 4, at + 14):  # in its length, then in its payload
        data = bytearray((tmp_path / "journal").read_bytes())
        data[offset] ^= 0x40
        folder = tmp_path / str(offset)
        folder.mkdir()
        (folder / "journal").write_bytes(data)
        entries = Journal(folder, DISK).entries
        assert {ref: e.uncertain for ref, e in entries.items()} == {"a": True, "b": False}


def test_old_and_rewritten_file_together_stay_under_the_limit(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 200_000)
    peak = 0
    rejected = 0
    held: list[str] = []
    for n in range(2000):
        if journal.has_room(5000):
            assert journal.accept(entry(f"m{n}", bytes(5000)))
            held.append(f"m{n}")
        else:
            rejected += 1
        if len(held) > 8:
            journal.record_attempt_start(held[0], "north", n)
            journal.record_finish(held.pop(0), None)
        rewritten = sum(len(e.body) + 300 for e in journal.entries.values())
        peak = max(peak, (tmp_path / "journal").stat().st_size + rewritten)
    assert peak < 200_000 and rejected == 0
    while journal.has_room(5000):
        assert journal.accept(entry(f"more{len(journal.entries)}", bytes(5000)))
    assert 2 * sum(len(e.body) for e in journal.entries.values()) > 100_000
    journal.close()
    assert len(Journal(tmp_path, 200_000).entries) == len(journal.entries)
    assert not (tmp_path / "journal.new").exists()


def fill_journal(tmp_path: Path) -> tuple[Journal, list[str]]:
    """Fill a journal with messages with long names until it reports no room."""
    journal = Journal(tmp_path, 200_000)
    refs: list[str] = []
    while journal.has_room(record_weight(ref := f"{len(refs):0200}", "\\" * 900, b"x")):
        assert journal.accept(JournalEntry(ref, "keyed", 3, "\\" * 900, 1_900_000_000_000, b"x"))
        refs.append(ref)
    return journal, refs


def disk_usage(tmp_path: Path) -> int:
    return sum(path.stat().st_size for path in tmp_path.iterdir())


def test_twelve_attempts_of_each_message_stay_within_the_disk_limit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal, refs = fill_journal(tmp_path)
    rename, peak = os.rename, [0]

    def measure_and_rename(*args: Any) -> None:
        peak[0] = max(peak[0], disk_usage(tmp_path))
        rename(*args)

    monkeypatch.setattr(os, "rename", measure_and_rename)
    for attempt in range(12):
        for ref in refs:
            assert journal.record_attempt_start(ref, "a-zone-with-a-long-name", attempt)
            journal.record_outcome(ref, True)
    assert 0 < peak[0] <= 200_000 and disk_usage(tmp_path) <= 200_000
    journal.close()
    assert {entry.attempts for entry in Journal(tmp_path, 200_000).entries.values()} == {12}


def test_journal_that_cannot_be_rewritten_reserves_room_for_the_rewrite(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal, refs = fill_journal(tmp_path)
    real_open = os.open

    def fail_for_new_file(path: Any, *args: Any) -> int:
        if str(path).endswith(".new"):
            raise OSError(errno.EMFILE, "Too many open files")
        return real_open(path, *args)

    monkeypatch.setattr(os, "open", fail_for_new_file)
    recorded = [journal.record_attempt_start(ref, "north", n) for n in range(20) for ref in refs]
    assert not recorded[-1] and disk_usage(tmp_path) + journal.live_bytes <= 200_000
    monkeypatch.undo()
    assert journal.record_attempt_start(refs[0], "north", 1) and disk_usage(tmp_path) <= 200_000


# ---- times of other boots


def write_journal_of_boot(monkeypatch: pytest.MonkeyPatch, folder: Path, boot: str = "another") -> None:
    """Write a journal with a message never sent, one that may have run and one that certainly did not."""
    with monkeypatch.context() as patch:
        patch.setattr(journal_module, "boot_id", lambda: boot)
        journal = Journal(folder, DISK)
        now = monotonic_ms()
        for ref in ("untried", "ran", "refused"):
            assert journal.accept(JournalEntry(ref, "keyed", 3, "k", now + 5000, b"x"))
        for ref in ("ran", "refused"):
            assert journal.record_attempt_start(ref, "north", now)
        journal.record_outcome("refused", False)
        journal.close()


def test_times_of_this_boot_are_read_as_they_were_written(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write_journal_of_boot(monkeypatch, tmp_path, boot_id())
    now = monotonic_ms()
    monkeypatch.setattr(journal_module, "wall_offset_ms", lambda: 0)
    entries = Journal(tmp_path, DISK).entries
    assert not any(entry.uncertain for entry in entries.values())
    assert all(4000 < entry.deadline - now <= 5000 for entry in entries.values())
    trying_at = entries["ran"].trying_at
    assert trying_at is not None and 0 <= now - trying_at < 1000


@pytest.mark.parametrize("boot", ["another", ""], ids=["another boot", "no id"])
def test_deduplication_windows_of_another_boot_are_over_and_deadlines_use_the_wall_clock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, boot: str
) -> None:
    write_journal_of_boot(monkeypatch, tmp_path, boot)
    for _ in range(2):  # the second time as rewritten in this boot
        journal = Journal(tmp_path, DISK)
        assert {ref: entry.uncertain for ref, entry in journal.entries.items()} == {
            "untried": False,
            "ran": True,
            "refused": False,
        }
        now = monotonic_ms()
        assert all(4000 < entry.deadline - now <= 5000 for entry in journal.entries.values())
        assert journal.record_attempt_start("untried", "north", now)
        journal.record_outcome("untried", False)
        journal.close()


def test_journal_of_a_version_with_wall_clock_times_is_read(tmp_path: Path) -> None:
    """Its deduplication windows count as over: the wall clock may have been stepped since."""
    now = time.time_ns() // 1_000_000
    records = [
        {
            "t": "taken",
            "ref": ref,
            "klass": "keyed",
            "dest": 3,
            "key": "k",
            "deadline": now + 5000,
            "attempts": 0,
            "trying_at": None,
            "trying_zone": "",
            "ran_at": None,
            "ran_zone": "",
            "ended": None,
            "wait_ms": 0,
            "uncertain": False,
        }
        for ref in ("untried", "ran")
    ]
    data = b"".join(encode_record(record, b"body") for record in records)
    data += encode_record({"t": "try", "ref": "ran", "at": now, "zone": "north"})
    (tmp_path / "journal").write_bytes(data)
    entries = Journal(tmp_path, DISK).entries
    assert {ref: entry.uncertain for ref, entry in entries.items()} == {"untried": False, "ran": True}
    assert all(4000 < entry.deadline - monotonic_ms() <= 5000 for entry in entries.values())


@pytest.mark.parametrize("wall", [10**18, 10**18 + 1, 10**18 + 999_999])
@pytest.mark.parametrize("monotonic", [10**15, 10**15 + 1, 10**15 + 500_000, 10**15 + 999_999])
def test_deadline_converted_from_another_clock_is_never_later(
    monkeypatch: pytest.MonkeyPatch, wall: int, monotonic: int
) -> None:
    """Both clocks are truncated to milliseconds: the truncation must not extend a deadline."""
    monkeypatch.setattr(time, "time_ns", lambda: wall)
    monkeypatch.setattr(time, "monotonic_ns", lambda: monotonic)
    left = wall // 1_000_000 + 5000 - wall_offset_ms() - monotonic_ms()
    assert 4998 <= left <= 5000
