"""Tests of the ownership of journals and messages when two processes share the folder."""

from __future__ import annotations

import errno
import os
import shutil
from pathlib import Path

import pytest

from garnetrelay import journal
from garnetrelay import ownership as ownership_module
from garnetrelay.journal import JournalEntry, Journal
from garnetrelay.journal_records import encode_record
from garnetrelay.ownership import Ownership

DISK = 1_000_000


def entry(ref: str, size: int = 100) -> JournalEntry:
    return JournalEntry(ref, "keyed", 3, "k", 1_900_000_000_000, bytes(size))


def open_ownership(folder: Path) -> Ownership:
    return Ownership(folder, DISK, shared=True)


def refs(ownership: Ownership) -> set[str]:
    return set(ownership.entries)


def test_journal_has_one_owner_and_is_released_at_its_exit(tmp_path: Path) -> None:
    first = open_ownership(tmp_path)
    assert first.accept(entry("a"))
    second = open_ownership(tmp_path)
    assert refs(second) == set() and second.is_held_elsewhere("a") and not second.is_held_elsewhere("b")
    assert second.accept(entry("b"))
    first.acquire_free_journals()
    assert first.is_held_elsewhere("b") and refs(first) == {"a"}
    first.close()
    assert [one.ref for one in second.acquire_free_journals()] == ["a"]
    assert refs(second) == {"a", "b"} and not second.held_by_others
    second.close()
    assert refs(open_ownership(tmp_path)) == {"a", "b"}


def test_handed_over_message_has_one_owner_and_keeps_its_records(tmp_path: Path) -> None:
    first, second = open_ownership(tmp_path), open_ownership(tmp_path)
    for ref in ("out", "waits"):
        assert first.accept(entry(ref))
        assert first.record_attempt_start(ref, "north", 1000)
    first.record_outcome("waits", True)
    assert first.hand_over(["waits"]) == ["waits"]
    assert refs(first) == {"out"}
    [message] = second.acquire_free_journals()
    assert (message.ref, message.attempts, message.ran_at, message.ran_zone) == ("waits", 1, 1000, "north")
    assert second.record_attempt_start("waits", "south", 2000)
    second.record_finish("waits", None)
    assert sorted(path.name for path in tmp_path.iterdir()) == ["journal", "journal.1"]
    first.record_finish("out", "dead")
    first.close()
    [remaining] = second.acquire_free_journals()
    assert (remaining.ref, remaining.ended) == ("out", "dead")


@pytest.mark.parametrize("both", [True, False])
def test_hand_over_interrupted_by_a_kill_leaves_one_message(tmp_path: Path, both: bool) -> None:
    """The journal for the successor is written, the message not yet removed from the old one. When the
    process dies, both journals become free, at once or one after the other."""
    second = open_ownership(tmp_path)
    first = open_ownership(tmp_path)
    assert first.accept(entry("a"))
    assert first.own_journal is not None
    original = first.own_journal.path
    copy = tmp_path / "kept"
    shutil.copy(original, copy)
    assert first.hand_over(["a"]) == ["a"]
    if not both:
        assert [one.ref for one in second.acquire_free_journals()] == ["a"]
        second.record_finish("a", None)  # delivered and its journal removed before the other is free
    original.write_bytes(copy.read_bytes())
    copy.unlink()
    first.close()
    assert [one.ref for one in second.acquire_free_journals()] == (["a"] if both else [])
    second.record_finish("a", None)
    second.close()
    assert refs(open_ownership(tmp_path)) == set()


# Guards against a message that is recovered twice and so may be sent twice.
def test_own_journal_opened_late_after_an_interrupted_hand_over_leaves_one_message(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name in ("journal", "journal.1"):
        journal = Journal(tmp_path, DISK, name)
        assert journal.accept(entry("a"))
        journal.close()
    # No descriptor is left at the start, nor for the first of the journals after it.
    failing = iter([True] * 4)

    def fail_then_open(folder: Path, max_bytes: int, name: str = "journal", create: bool = True) -> Journal:
        if next(failing, False):
            raise OSError(errno.EMFILE, "Too many open files")
        return Journal(folder, max_bytes, name, create)

    with monkeypatch.context() as patch:
        patch.setattr(ownership_module, "Journal", fail_then_open)
        late = open_ownership(tmp_path)
    assert late.own_journal is not None and refs(late) == {"a"}
    late.record_finish("a", None)
    late.close()
    assert refs(open_ownership(tmp_path)) == set()


def test_rewritten_journal_stays_locked_by_its_owner(tmp_path: Path) -> None:
    journal = Journal(tmp_path, DISK)
    while journal.size < 300_000:
        assert journal.accept(entry("a", 60_000))
    journal.record_finish("a", None)
    assert journal.accept(entry("b")) and journal.size < 100_000  # it was rewritten
    with pytest.raises(BlockingIOError):
        Journal(tmp_path, DISK)
    journal.close()
    assert set(Journal(tmp_path, DISK).entries) == {"b"}


def test_two_processes_together_stay_under_the_limit(tmp_path: Path) -> None:
    first, second = open_ownership(tmp_path), open_ownership(tmp_path)
    n = 0
    for ownership in (first, second):
        while ownership.has_room(2000):
            assert ownership.accept(entry(f"m{n}", 2000))
            n += 1
    assert n > 100
    peak = 0
    for ref in list(first.entries):
        first.hand_over([ref])
        acquired = second.acquire_free_journals()
        assert [one.ref for one in acquired] == [ref] and not second.has_room(2000)
        second.record_attempt_start(ref, "north", 1)
        peak = max(peak, sum(path.stat().st_size for path in tmp_path.iterdir()))
    first.close()
    second.acquire_free_journals()
    for ref in list(second.entries):
        second.record_finish(ref, None)
        peak = max(peak, sum(path.stat().st_size for path in tmp_path.iterdir()))
    assert peak < DISK


def test_disk_limit_includes_a_previous_process_that_still_runs(tmp_path: Path) -> None:
    """Neither process expects another in the folder: the first may have filled it."""
    before = Ownership(tmp_path, DISK, shared=False)
    assert before.own_journal is not None
    n = 0
    while before.own_journal.live_bytes < 0.3 * DISK:
        assert before.accept(entry(f"m{n}", 2000))
        n += 1
    while before.own_journal.size < 0.65 * DISK:
        assert before.record_attempt_start("m0", "north", 1)
    after = Ownership(tmp_path, DISK, shared=False)
    while after.has_room(2000):
        assert after.accept(entry(f"m{n}", 2000))
        n += 1
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) < DISK
    before.close()
    assert after.acquire_free_journals() and not after.has_room(2000)


def test_journal_that_cannot_be_opened_is_acquired_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """For example without a free descriptor: an error would end the task that looks for free journals."""
    before, after = open_ownership(tmp_path), open_ownership(tmp_path)
    assert before.accept(entry("a"))
    before.close()
    open_locked = journal._open_locked

    def fail(path: Path, create: int) -> int:
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(journal, "_open_locked", fail)
    assert after.acquire_free_journals() == [] and not after.held_by_others  # and no other process holds it
    monkeypatch.setattr(journal, "_open_locked", open_locked)
    assert [one.ref for one in after.acquire_free_journals()] == ["a"]


# Guards against a message that is accepted and forgotten because a body in another journal names it.
@pytest.mark.parametrize("rewritten", [False, True])
def test_id_named_in_a_body_of_another_journal_is_not_held_there(tmp_path: Path, rewritten: bool) -> None:
    first, second = open_ownership(tmp_path), open_ownership(tmp_path)
    assert first.own_journal is not None
    forged = encode_record({"t": "taken", "ref": "in a frame"})
    body = b'[{"ref":"named"},{"t":"ended","ref":"in json"}]\n' + forged + b'{"ref":"last"}'
    assert first.accept(JournalEntry("real", "keyed", 3, "k", 1_900_000_000_000, body))
    assert first.accept(entry("finished"))
    first.record_finish("finished", None)
    assert second.is_held_elsewhere("real") and second.is_held_elsewhere("finished")
    if rewritten:
        assert first.own_journal._rewrite() and first.accept(entry("later"))
        assert second.is_held_elsewhere("later") and second.is_held_elsewhere("finished")
    assert not any(second.is_held_elsewhere(ref) for ref in ("named", "in a frame", "in json", "last"))


# Guards against a message that both processes accept because its record was not complete at the first look.
def test_record_that_another_process_completes_later_is_seen(tmp_path: Path) -> None:
    first, second = open_ownership(tmp_path), open_ownership(tmp_path)
    assert first.own_journal is not None and first.accept(entry("a"))
    path = first.own_journal.path
    assert first.accept(entry("b", 5000))
    data = path.read_bytes()
    os.truncate(path, len(data) - 3000)
    assert second.is_held_elsewhere("a") and not second.is_held_elsewhere("b")
    path.write_bytes(data)
    assert second.is_held_elsewhere("b")
