"""The state folder fails temporarily: accepted messages are kept and finished messages stay finished."""

from __future__ import annotations

import asyncio
import errno
import os
import time
from pathlib import Path
from typing import Any

import pytest

from garnetrelay.handover import Handover
from garnetrelay.clock import monotonic_ms
from garnetrelay.journal import JournalEntry, Journal
from garnetrelay.ownership import Ownership
from tests.faults import FailingDisk
from tests.sockets import Client, Field, until

DISK = 3_000_000
ERRORS = [errno.ENOSPC, errno.EIO, errno.EDQUOT]


def entry(ref: str, class_name: str = "unsafe", time_left_ms: int = 60_000) -> JournalEntry:
    return JournalEntry(ref, class_name, 3, "k", monotonic_ms() + time_left_ms, b"body")


@pytest.mark.parametrize("error_number", ERRORS)
def test_message_finished_while_the_disk_fails_is_not_recovered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error_number: int
) -> None:
    journal = Journal(tmp_path, DISK)
    for ref in ("bounced", "told"):
        assert journal.accept(entry(ref))
    journal.record_finish("told", "dead")
    disk = FailingDisk(monkeypatch, error_number, ("write",))
    journal.record_finish("bounced", "bounced", 500)
    journal.record_notified("told")
    disk.failing = False
    for count in range(20):
        assert journal.accept(entry(f"later{count}"))
    journal.close()
    entries = Journal(tmp_path, DISK).entries
    assert entries["bounced"].ended == "bounced" and entries["bounced"].wait_ms == 500
    assert "told" not in entries


def test_attempt_that_cannot_be_journaled_is_not_counted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal = Journal(tmp_path, DISK)
    assert journal.accept(entry("m1"))
    disk = FailingDisk(monkeypatch, errno.ENOSPC, ("write",))
    assert not journal.record_attempt_start("m1", "north", 1000)
    assert journal.entries["m1"].attempts == 0 and journal.entries["m1"].trying_at is None
    disk.failing = False
    assert journal.record_attempt_start("m1", "north", 2000)
    assert journal.entries["m1"].attempts == 1


@pytest.mark.parametrize("truncate_fails", [False, True])
def test_partially_written_record_hides_no_later_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, truncate_fails: bool
) -> None:
    """The disk writes a part of a record, then nothing. The part can be truncated at once, or it cannot."""
    journal = Journal(tmp_path, DISK)
    assert journal.accept(entry("before"))
    write, writes = os.write, [0]

    def write_partially(file: int, data: Any) -> int:
        writes[0] += 1
        if writes[0] > 1:
            raise OSError(errno.ENOSPC, "No space left on device")
        return write(file, bytes(data)[:20])

    with monkeypatch.context() as patch:
        patch.setattr(os, "write", write_partially)
        if truncate_fails:
            FailingDisk(patch, errno.EIO, ("ftruncate",))
        assert not journal.accept(entry("refused"))
        assert not journal.has_room(100)
    assert journal.flush() and journal.has_room(100)
    assert journal.accept(entry("after"))
    journal.close()
    assert list(Journal(tmp_path, DISK).entries) == ["before", "after"]


@pytest.mark.parametrize("error_number", ERRORS)
def test_disk_failure_and_its_end_are_logged_once_each(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, error_number: int
) -> None:
    caplog.set_level("INFO")
    journal = Journal(tmp_path, DISK)
    disk = FailingDisk(monkeypatch, error_number, ("write", "open"))
    for count in range(50):
        assert not journal.accept(entry(f"m{count}"))
    assert len(caplog.records) == 1 and disk.failed >= 50
    disk.failing = False
    assert journal.flush()
    assert [record.levelname for record in caplog.records] == ["ERROR", "INFO"]


def test_journal_is_read_completely_through_short_reads(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal = Journal(tmp_path, DISK)
    for count in range(20):
        assert journal.accept(entry(f"m{count}"))
    journal.close()
    pread = os.pread
    monkeypatch.setattr(os, "pread", lambda file, size, at: pread(file, min(size, 100), at))
    assert len(Journal(tmp_path, DISK).entries) == 20


def test_torn_tail_that_cannot_be_truncated_at_startup_is_truncated_before_any_write(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal = Journal(tmp_path, DISK)
    assert journal.accept(entry("whole")) and journal.accept(entry("torn"))
    journal.close()
    os.truncate(tmp_path / "journal", (tmp_path / "journal").stat().st_size - 3)
    with monkeypatch.context() as patch:
        FailingDisk(patch, errno.EIO, ("ftruncate",))
        journal = Journal(tmp_path, DISK)
        assert not journal.accept(entry("refused"))
    assert journal.flush() and journal.accept(entry("after"))
    journal.close()
    assert list(Journal(tmp_path, DISK).entries) == ["whole", "after"]


# ---- a relay whose state folder fails


def journaled_entry(field: Field, ref: str) -> JournalEntry | None:
    """Return the entry that a process would read that starts after a kill at this moment."""
    journal = field.relays[0].journal.own_journal
    assert journal is not None
    copy = field.folder / f"copy{time.monotonic_ns()}"
    copy.mkdir()
    (copy / "journal").write_bytes((field.state / "journal").read_bytes())
    found = Journal(copy, DISK)
    found.close()
    return found.entries.get(ref)


async def enqueue_rejected(client: Client, ref: str) -> int:
    """Enqueue a message that the relay rejects and return its wait in milliseconds."""
    answer = await client.enqueue(ref)
    assert isinstance(answer, str) and answer.startswith("BUSY "), answer
    return int(answer.split()[1])


@pytest.mark.parametrize("error_number", ERRORS)
async def test_notice_is_sent_only_after_the_finish_record_is_written(
    field: Field, monkeypatch: pytest.MonkeyPatch, error_number: int
) -> None:
    client = await field.start()
    assert await client.enqueue("m1", "unsafe") == b"OK"
    call = await field.host.next_call()
    disk = FailingDisk(monkeypatch, error_number, ("write",))
    call.answer(500)
    await until(lambda: not field.relays[0].held_messages)
    await asyncio.sleep(0.5)
    assert field.platform.notices.empty()
    disk.failing = False
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    kept = journaled_entry(field, "m1")
    assert kept is None or kept.ended == "dead"


async def test_notice_is_sent_at_the_deadline_while_the_disk_keeps_failing(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """At its deadline no later process can send the message again."""
    client = await field.start()
    began = time.monotonic()
    assert await client.enqueue("m1", "unsafe", d=1500) == b"OK"
    call = await field.host.next_call()
    FailingDisk(monkeypatch, errno.EIO, ("write",))
    call.answer(500)
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    assert 1.45 < time.monotonic() - began < 1.8


async def test_messages_are_rejected_with_a_wait_and_none_is_sent_while_the_disk_fails(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    field.facts["limits"].update(retryAfter=True, maxRetryAfter=3 * 10**9)
    client = await field.start()
    await field.warm_up(client)
    disk = FailingDisk(monkeypatch, errno.ENOSPC, ("write", "open"))
    for count in range(20):
        assert 0 < await enqueue_rejected(client, f"refused{count}") <= 3000
    assert field.host.calls.empty() and not field.relays[0].held_messages
    disk.failing = False
    await until(lambda: not field.relays[0].journal.failing)
    assert await client.enqueue("m1") == b"OK"
    (await field.host.next_call()).answer(200)


async def test_message_whose_attempt_cannot_be_journaled_is_sent_when_the_disk_works_again(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    client = await field.start()
    await field.warm_up(client)
    write, left = os.write, [1]

    def write_one_record(file: int, data: Any) -> int:
        left[0] -= 1
        if left[0] < 0:
            raise OSError(errno.EIO, "Input/output error")
        return write(file, data)

    with monkeypatch.context() as patch:
        patch.setattr(os, "write", write_one_record)
        assert await client.enqueue("m1", "unsafe") == b"OK"
        await asyncio.sleep(0.5)
        assert field.host.calls.empty() and "m1" in field.relays[0].held_messages
    call = await field.host.next_call()
    assert call.headers["x-request-id"] == "m1"
    call.answer(200)
    await until(lambda: not field.relays[0].held_messages)


@pytest.mark.parametrize("calls", [("open",), ("pread",), ("open", "unlink", "ftruncate"), ("listdir",)])
async def test_relay_starts_while_the_folder_fails_and_recovers_its_messages_later(
    field: Field, monkeypatch: pytest.MonkeyPatch, calls: tuple[str, ...]
) -> None:
    before = Journal(field.state, DISK)
    assert before.accept(entry("old", "safe", 8000))
    before.close()
    disk = FailingDisk(monkeypatch, errno.EIO, calls)
    client = await field.start()
    assert await client.ask("PING") == b"PONG" and disk.failed
    if calls != ("listdir",):
        assert (await client.enqueue("m1")).startswith("BUSY")
    disk.failing = False
    call = await field.host.next_call()
    assert call.headers["x-request-id"] == "old"
    call.answer(200)
    await until(lambda: not field.relays[0].journal.failing)
    assert await client.enqueue("m2") == b"OK"


def test_journal_that_cannot_be_removed_is_removed_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    first = Ownership(tmp_path, DISK, shared=True)
    assert first.accept(entry("m1"))
    second = Ownership(tmp_path, DISK, shared=True)
    first.close()
    assert [one.ref for one in second.acquire_free_journals()] == ["m1"]
    disk = FailingDisk(monkeypatch, errno.EIO, ("unlink",))
    second.record_finish("m1", None)
    assert sorted(path.name for path in tmp_path.iterdir()) == ["journal", "journal.1"]
    disk.failing = False
    assert second.accept(entry("m2"))
    second.record_finish("m2", None)
    assert [path.name for path in tmp_path.iterdir()] == ["journal.1"]


# ---- the hand-over to a successor


def test_hand_over_written_in_short_writes_is_complete(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    old, new = Handover(tmp_path, 100_000), Handover(tmp_path, 100_000)
    assert old.acquire() and not new.acquire()
    write = os.write
    monkeypatch.setattr(os, "write", lambda file, data: write(file, bytes(data)[:10]))
    old.release({"learned": {"hosts": {}}, "out": 1})
    old.append_line({"told": "s-1", "wait": 5})
    assert new.acquire() and new.read() == [{"learned": {"hosts": {}}, "out": 1}, {"told": "s-1", "wait": 5}]


@pytest.mark.parametrize("error_number", ERRORS)
def test_failed_line_of_the_hand_over_corrupts_no_later_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error_number: int
) -> None:
    old, new = Handover(tmp_path, 100_000), Handover(tmp_path, 100_000)
    assert old.acquire()
    old.release({"learned": {}, "out": 1})
    write, failing = os.write, [True]

    def write_partially(file: int, data: Any) -> int:
        if failing[0] and len(data) < 10:
            raise OSError(error_number, os.strerror(error_number))
        return write(file, bytes(data)[: len(data) - 5] if failing[0] else data)

    monkeypatch.setattr(os, "write", write_partially)
    old.append_line({"told": "s-1", "wait": 5})
    failing[0] = False
    old.append_line({"told": "s-2", "wait": 6})
    assert new.acquire()
    lines = new.read()
    assert {"told": "s-1", "wait": 5} in lines and {"told": "s-2", "wait": 6} in lines


@pytest.mark.parametrize("calls", [("open",), ("read",), ("unlink",)])
def test_hand_over_error_is_tolerated_and_retried(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, calls: tuple[str, ...]
) -> None:
    old = Handover(tmp_path, 100_000)
    assert old.acquire()
    old.release({"learned": {}, "out": 0})
    disk = FailingDisk(monkeypatch, errno.EIO, calls)
    new = Handover(tmp_path, 100_000)
    acquired = new.acquire()
    assert new.read() == [] or calls == ("unlink",)
    new.discard()
    disk.failing = False
    assert acquired or new.acquire()
    assert calls == ("unlink",) or new.read() == [{"learned": {}, "out": 0}]
