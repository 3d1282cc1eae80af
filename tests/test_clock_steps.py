"""The wall clock is stepped while a relay runs or is down: all durations still follow real time."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio

from fleetlab.faulty import FAULTS_FILE, Faults
from tests.processes import Process
from tests.sockets import Field, HttpServer, endpoint, until
from tests.test_upgrade import Pair, pair

__all__ = ["pair"]  # a fixture

STEPS = [3600.0, -3600.0, 5.0, -5.0]  # seconds
OUTCOME = b'"t":"outcome"'
KILL, TERM = signal.SIGKILL, signal.SIGTERM


class Clock:
    """The wall clock of relay processes, which the test can step."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "faults.json"

    def step(self, seconds: float) -> None:
        Faults(clock_step=seconds).write_to(self.path)

    def install(self, process: Process) -> None:
        process.module = "fleetlab.faulty"
        process.extra = {FAULTS_FILE: str(self.path)}


@pytest_asyncio.fixture
async def clock(field: Field, process: Process) -> AsyncIterator[Clock]:
    created = Clock(field.folder)
    created.install(process)
    yield created


async def throttle_once(field: Field) -> None:
    """Throttle the next call and return when the relay has journaled that it did not run.

    The retry-after keeps the relay from sending for longer than its shutdown takes.
    """
    journal = field.state / "journal"
    outcomes = journal.read_bytes().count(OUTCOME)
    (await field.host.next_call()).answer(429, "X-Backoff-Ms: 3500")
    await until(lambda: journal.read_bytes().count(OUTCOME) > outcomes)


@pytest.mark.parametrize("step", STEPS)
async def test_step_across_a_kill_does_not_move_deduplication_windows(
    field: Field, process: Process, clock: Clock, step: float
) -> None:
    """The relay is killed with two messages in flight. The deduplication window of one ends while the relay
    is down, that of the other is still open: only the latter is sent again."""
    other = HttpServer()
    await other.start()
    field.facts["classes"][1]["repeatWindow"] = 4 * 10**9
    field.endpoints.append({**endpoint(other, "s-2"), "group": 4})
    client = await process.start()
    started_at = time.monotonic()
    assert await client.enqueue("closed", "keyed", d=7900) == b"OK"
    await field.host.next_call()
    await asyncio.sleep(started_at + 3.0 - time.monotonic())
    assert await client.enqueue("open", "keyed", d=7900, dest=4) == b"OK"
    await other.next_call()
    await process.stop(KILL)
    clock.step(step)
    await asyncio.sleep(started_at + 4.1 - time.monotonic())
    while not field.host.calls.empty():  # retries within the window
        field.host.calls.get_nowait()
    await process.start()
    call = await other.next_call()
    assert call.headers["x-request-id"] == "open"
    call.answer(200)
    assert await field.platform.next_notice() == {"ref": "closed", "result": "dead"}
    assert field.host.calls.empty()
    await other.stop()


@pytest.mark.parametrize("step", STEPS)
async def test_deadline_passes_while_the_relay_is_down(
    field: Field, process: Process, clock: Clock, step: float
) -> None:
    client = await process.start()
    assert await client.enqueue("late", "unsafe", d=900) == b"OK"
    (await field.host.next_call()).answer(503)
    assert await client.enqueue("early", "safe", d=7900) == b"OK"
    await process.stop(KILL)
    clock.step(step)
    await asyncio.sleep(0.9)
    await process.start()
    assert (await field.platform.next_notice())["ref"] == "late"
    call = await field.host.next_call()
    while call.headers["x-request-id"] != "early":
        call = await field.host.next_call()
    call.answer(200)


@pytest.mark.parametrize("numbers", [(KILL, KILL), (TERM, KILL)])
async def test_steps_forth_and_back_across_two_restarts_in_a_row(
    field: Field, process: Process, clock: Clock, numbers: tuple[signal.Signals, signal.Signals]
) -> None:
    client = await process.start()
    started_at = time.monotonic()
    assert await client.enqueue("m1", "unsafe", d=7900) == b"OK"
    for step, signal_number in zip((3600.0, -3600.0), numbers, strict=True):
        await throttle_once(field)
        await process.stop(signal_number)
        clock.step(step)
        await process.start()
    call = await field.host.next_call()
    deadline = time.monotonic() - started_at + int(call.headers["x-timeout-ms"]) / 1000
    assert 7.5 < deadline < 8.0
    call.answer(200)
    await asyncio.sleep(0.1)
    assert field.platform.notices.empty()


@pytest.mark.parametrize("step", STEPS)
async def test_step_in_service_ends_no_message_early_and_every_end_is_notified(
    field: Field, process: Process, clock: Clock, step: float
) -> None:
    client = await process.start()
    started_at = time.monotonic()
    assert await client.enqueue("m1", "unsafe", d=2500) == b"OK"
    call = await field.host.next_call()
    clock.step(step)
    assert await client.enqueue("m2", "unsafe", d=2500) == b"OK"
    await asyncio.sleep(started_at + 2.3 - time.monotonic())
    call.answer(200)  # so close to the deadline that a notice is sent as well
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    assert (await field.platform.next_notice())["ref"] == "m2"
    assert 2.4 < time.monotonic() - started_at < 3.0


@pytest.mark.parametrize("step", [3600.0, -3600.0])
async def test_step_across_an_upgrade_changes_no_deadline(field: Field, pair: Pair, step: float) -> None:
    """The successor reads times written by a process whose wall clock differed."""
    clock = Clock(field.folder)
    for process in (pair.old, pair.new):
        clock.install(process)
    client = await pair.old.start()
    started_at = time.monotonic()
    assert await client.enqueue("m1", "unsafe", d=7900) == b"OK"
    (await field.host.next_call()).answer(429, "X-Backoff-Ms: 1500")
    clock.step(step)
    await pair.new.start("waiting for the process before us")
    await pair.old.stop(TERM)
    call = await field.host.next_call()
    deadline = time.monotonic() - started_at + int(call.headers["x-timeout-ms"]) / 1000
    assert call.headers["x-request-id"] == "m1" and 7.5 < deadline < 8.0
    call.answer(200)
