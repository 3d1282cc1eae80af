"""Tests of the relay as a separate process: kills, graceful shutdowns, failed starts."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

import pytest

from garnetrelay.clock import monotonic_ms
from garnetrelay.journal import JournalEntry, Journal
from tests.processes import ROOT, Process
from tests.sockets import PATIENCE, Client, Field, Platform


async def test_killed_relay_still_finishes_each_message(field: Field, process: Process) -> None:
    client = await process.start()
    for ref, class_name in (("u", "unsafe"), ("k", "keyed"), ("s", "safe")):
        assert await client.enqueue(ref, class_name) == b"OK"
        await field.host.next_call()  # in flight, without an outcome
    await process.stop(signal.SIGKILL)
    await process.start()
    assert await field.platform.next_notice() == {"ref": "u", "result": "dead"}
    again = {}
    for _ in range(2):
        call = await field.host.next_call()
        again[call.headers["x-request-id"]] = call.body
        call.answer(200)
    assert again == {"k": b"x", "s": b"x"}
    assert await process.stop(signal.SIGTERM) == 0
    assert Journal(field.state, 3_000_000).entries == {}


async def test_messages_that_ended_while_the_relay_was_down_are_notified_at_startup(
    field: Field, process: Process
) -> None:
    journal = Journal(field.state, 3_000_000)
    expired = JournalEntry("late", "unsafe", 3, None, 1000, b"x")
    expired_may_have_run = JournalEntry(
        "late-ran", "keyed", 3, "k", 1000, b"x", attempts=1, trying_at=900, trying_zone="north"
    )
    for entry in (expired, expired_may_have_run, JournalEntry("untold", "safe", 3, None, 1000, b"x")):
        journal.accept(entry)
    journal.record_finish("untold", "bounced", 700)
    journal.close()
    await process.start()
    notices = [await field.platform.next_notice() for _ in range(3)]
    assert {n["ref"]: n["result"] for n in notices} == {
        "untold": "bounced",
        "late": "bounced",
        "late-ran": "dead",
    }
    assert field.host.calls.empty()


async def test_keyed_message_is_retried_only_in_its_zone_and_deduplication_window(
    field: Field, process: Process
) -> None:
    """The listed endpoint is in the zone north."""
    now = monotonic_ms()
    journal = Journal(field.state, 3_000_000)
    for ref, zone, ago in (("here", "north", 100), ("elsewhere", "south", 100), ("stale", "north", 7000)):
        journal.accept(JournalEntry(ref, "keyed", 3, "k", now + 8000, b"x", 1, now - ago, zone))
    journal.close()
    await process.start()
    call = await field.host.next_call()
    assert call.headers["x-request-id"] == "here"
    call.answer(200)
    assert await field.platform.next_notice() == {"ref": "stale", "result": "dead"}
    await process.stop(signal.SIGTERM)
    assert field.host.calls.empty()
    assert set(Journal(field.state, 3_000_000).entries) == {"elsewhere"}


async def test_graceful_shutdown_finishes_calls_and_closes_clients_between_requests(
    field: Field, process: Process
) -> None:
    client = await process.start()
    assert await client.enqueue("m1", "unsafe") == b"OK"
    call = await field.host.next_call()
    assert process.child is not None
    process.child.send_signal(signal.SIGTERM)
    late = await Client.connect(process.port)  # new connections are still accepted
    assert await late.enqueue("m2") == b"OK"
    second = await field.host.next_call()
    assert await client.read() is None and await late.read() is None  # closed without an outstanding answer
    call.answer(200)
    second.answer(200)
    async with asyncio.timeout(PATIENCE):
        assert await process.child.wait() == 0
    assert Journal(field.state, 3_000_000).entries == {}


async def test_sighup_moves_discovery_and_notices(field: Field, process: Process) -> None:
    client = await process.start()
    await field.platform.next_watch()
    new_platform = Platform()
    await new_platform.start()
    assert process.child is not None
    Path(field.environment()["RELAY_CONFIG"]).write_text("{")  # an incomplete file changes nothing
    process.child.send_signal(signal.SIGHUP)
    assert process.child.stderr is not None
    async with asyncio.timeout(PATIENCE):
        while b"stays as it was" not in (line := await process.child.stderr.readline()):
            assert line, "the relay ended"
    old_platform, field.platform = field.platform, new_platform
    field.environment(process.port)
    process.child.send_signal(signal.SIGHUP)
    watch = await new_platform.next_watch()
    assert watch.call.line == "GET /api/targets?follow=1&since=41 HTTP/1.1"
    assert await client.enqueue("m1", "unsafe") == b"OK"
    (await field.host.next_call()).answer(500)
    assert await new_platform.next_notice() == {"ref": "m1", "result": "dead"}
    assert old_platform.notices.empty()
    assert await process.stop(signal.SIGTERM) == 0
    await old_platform.stop()


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("{", "not JSON"),
        ("[]", "not an object"),
        ('{"settings":{}}', "is missing"),
    ],
)
async def test_invalid_configuration_logs_one_line_and_fails_the_start(
    field: Field, text: str, expected: str
) -> None:
    environment = {**os.environ, **field.environment()}
    Path(environment["RELAY_CONFIG"]).write_text(text)
    child = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "garnetrelay", cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
    )
    async with asyncio.timeout(PATIENCE):
        _, output = await child.communicate()
    assert child.returncode == 2 and output.count(b"\n") == 1 and expected.encode() in output
