"""Tests of the room in the journal: promises, shares of destinations, and recovery from a full journal."""

from __future__ import annotations

import errno
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from garnetrelay.journal import Journal, JournalEntry
from garnetrelay.ownership import Ownership
from starlingwick.storage_share import THRESHOLD, may_use_share
from tests.processes import Process
from tests.sockets import Client, Field, HttpServer, endpoint, until

DISK = 400_000


def entry(ref: str, size: int, destination: int = 3) -> JournalEntry:
    return JournalEntry(ref, "safe", destination, None, 1_900_000_000_000, bytes(size))


def reserve(ownership: Ownership, message: JournalEntry) -> bool:
    return ownership.reserve(message.ref, message.dest, message.key, message.body)


def disk_usage(folder: Path) -> int:
    return sum(-(-path.stat().st_size // 512) * 512 for path in folder.iterdir())


# Guards against a message that is told that there is room, and finds none when its record is written.
@pytest.mark.parametrize("size", [0, 700, 9_000, 64 * 1024])
@pytest.mark.parametrize("shared", [True, False])
def test_room_that_was_reserved_is_there(tmp_path: Path, size: int, shared: bool) -> None:
    ownership = Ownership(tmp_path, DISK, shared)
    for batch in range(4):
        promised = []
        for number in range(120):
            message = entry(f"m{batch}-{number}", size, destination=number % 7)
            if reserve(ownership, message):
                promised.append(message)
        ownership.clear_reservations()
        for message in promised:
            assert ownership.accept(message)
            assert disk_usage(tmp_path) <= DISK
        for message in promised:
            assert ownership.record_attempt_start(message.ref, "north", 1000)
            ownership.record_outcome(message.ref, True)
        assert ownership.own_journal is not None and not ownership.failing
        assert ownership.own_journal.live_bytes <= ownership.own_journal.capacity
        for message in promised[::2]:
            assert ownership.record_finish(message.ref, None)
    assert not ownership.reservations.total


# Guards against destinations that take all the room, few with large messages or many at once.
@pytest.mark.parametrize(("greedy", "size"), [(1, 60_000), (1, 300), (6, 9_000), (40, 2_000)])
def test_backlog_of_some_destinations_leaves_room_for_the_others(
    tmp_path: Path, greedy: int, size: int
) -> None:
    ownership = Ownership(tmp_path, 2_000_000, shared=False)
    accepted = 0
    for number in range(3_000):
        message = entry(f"m{number}", size, destination=number % greedy)
        if reserve(ownership, message):
            ownership.clear_reservations()
            assert ownership.accept(message)
            accepted += 1
    journal = ownership.own_journal
    assert journal is not None
    assert (
        accepted and journal.live_bytes <= (greedy * THRESHOLD / (1 + greedy * THRESHOLD)) * journal.capacity
    )
    for destination in range(100, 105):
        assert reserve(ownership, entry(f"other{destination}", 200, destination))


# Guards against a share that is counted without the message that asks for it.
def test_destination_may_use_twice_what_is_free_behind_its_message() -> None:
    assert may_use_share(10, 0, 15) and not may_use_share(10, 0, 14)
    assert may_use_share(10, 30, 30) and not may_use_share(10, 30, 29)


def overfill(folder: Path) -> list[str]:
    """Write a journal whose messages take more than half of the disk, as earlier versions let happen."""
    journal = Journal(folder, 3 * DISK)
    refs = [f"m{number}" for number in range(11)]
    for ref in refs:
        assert journal.accept(entry(ref, 20_000))
    journal.close()
    assert DISK > journal.size > DISK // 2
    return refs


# Guards against a full journal that lets no record in, so that no message can end and make room.
@pytest.mark.parametrize("restart", [False, True])
def test_overfull_journal_records_attempts_and_ends_and_recovers(tmp_path: Path, restart: bool) -> None:
    refs = overfill(tmp_path)
    journal = Journal(tmp_path, DISK)
    for number, ref in enumerate(refs):
        for attempt in range(12):
            assert journal.record_attempt_start(ref, "north", attempt)
            journal.record_outcome(ref, True)
            assert not journal.failing and disk_usage(tmp_path) <= DISK
        if number < 5:
            assert not journal.accept(entry("new", 90_000)) and not journal.failing
        assert journal.record_finish(ref, "bounced" if number % 2 else None)
        if restart:
            journal.close()
            journal = Journal(tmp_path, DISK)
        if number == 5:
            assert journal.has_room(20_000) and journal.accept(entry("small", 20_000))
    assert set(journal.entries) == {"small", *refs[1::2]}
    assert journal.size < 200_000 and journal.has_room(100_000)


# Guards against a journal of a process with more room, which the next one may neither write to nor rewrite.
@pytest.mark.parametrize("size", [1_000, 40_000])
def test_journal_beyond_the_share_of_an_upgrade_is_rewritten(tmp_path: Path, size: int) -> None:
    alone = Ownership(tmp_path, DISK, shared=False)
    held = entry("held", size)
    assert alone.accept(held)
    for attempt in range(2_500):
        assert alone.record_attempt_start("held", "north", attempt)
    assert alone.own_journal is not None and alone.own_journal.size > 0.43 * DISK
    alone.close()
    shared = Ownership(tmp_path, DISK, shared=True)
    assert shared.own_journal is not None and shared.own_journal.size > shared.own_journal.max_bytes
    assert shared.record_attempt_start("held", "north", 1) and not shared.failing
    assert disk_usage(tmp_path) < 0.3 * DISK


# Guards against a failed rewrite after which records take the room that the next rewrite needs.
def test_rewrite_that_fails_once_is_made_up_for(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    journal = Journal(tmp_path, DISK)
    while journal.has_room(5_000):
        assert journal.accept(entry(f"m{len(journal.entries)}", 5_000))
    real_open = os.open

    def fail(path: Any, *arguments: Any) -> int:
        if str(path).endswith(".new"):
            raise OSError(errno.ENOSPC, "No space left on device")
        return real_open(path, *arguments)

    monkeypatch.setattr(os, "open", fail)
    attempts = 0
    while journal.record_attempt_start("m0", "north", attempts):
        attempts += 1
    assert journal.failing and journal.size + journal.live_bytes <= DISK
    monkeypatch.undo()
    assert journal.flush() and journal.record_attempt_start("m0", "north", 1)
    assert disk_usage(tmp_path) <= DISK


# Guards against one destination's messages that arrive at once and stop a relay, also across a kill.
@pytest.mark.parametrize("killed", [False, True])
async def test_large_messages_for_a_silent_endpoint_do_not_stop_the_others(
    field: Field, process: Process, killed: bool
) -> None:
    field.limits["disk_mb"] = 1
    healthy = HttpServer()
    await healthy.start()
    field.endpoints = [endpoint(field.host), {**endpoint(healthy, "s-2"), "group": 4}]
    client = await process.start()
    peers = [await Client.connect(process.port) for _ in range(50)]
    for number, peer in enumerate(peers):
        peer.write("ENQUEUE", "0", f"large{number}", "c=safe,d=7000,dest=3", bytes(30_000))
    answers = [await peer.read() for peer in peers]
    assert 0 < answers.count(b"OK") < len(peers)
    if killed:
        await process.stop(signal.SIGKILL)
        client = await process.start()
    for number in range(40):
        assert await client.enqueue(f"small{number}", dest=4, body=bytes(400)) == b"OK"
        call = await healthy.next_call()
        call.answer(200)
    await until(lambda: healthy.calls.empty())
    await healthy.stop()
