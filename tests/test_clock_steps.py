"""The wall clock is stepped while a relay runs or is down: every span is one of real time all the same."""

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
    """The wall clock of the relays that are started with it."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "faults.json"

    def step(self, seconds: float) -> None:
        Faults(clock_step=seconds).put(self.path)

    def give_to(self, process: Process) -> None:
        process.module = "fleetlab.faulty"
        process.extra = {FAULTS_FILE: str(self.path)}


@pytest_asyncio.fixture
async def clock(field: Field, process: Process) -> AsyncIterator[Clock]:
    made = Clock(field.folder)
    made.give_to(process)
    yield made


async def refuse_once(field: Field) -> None:
    """Returns when the relay has written down that the call never ran. It sends nothing for longer than it
    takes to end."""
    journal = field.state / "journal"
    outcomes = journal.read_bytes().count(OUTCOME)
    (await field.host.next_call()).answer(429, "X-Backoff-Ms: 3500")
    await until(lambda: journal.read_bytes().count(OUTCOME) > outcomes)


@pytest.mark.parametrize("step", STEPS)
async def test_step_across_a_kill_opens_and_closes_no_window_of_a_repeat(
    field: Field, process: Process, clock: Clock, step: float
) -> None:
    """Two messages are out as the relay is killed. The window of one closes while it is down, that of the
    other is still open: one is not sent again, the other is."""
    other = HttpServer()
    await other.start()
    field.facts["classes"][1]["repeatWindow"] = 4 * 10**9
    field.endpoints.append({**endpoint(other, "s-2"), "group": 4})
    client = await process.start()
    began = time.monotonic()
    assert await client.enqueue("closed", "keyed", d=7900) == b"OK"
    await field.host.next_call()
    await asyncio.sleep(began + 3.0 - time.monotonic())
    assert await client.enqueue("open", "keyed", d=7900, dest=4) == b"OK"
    await other.next_call()
    await process.stop(KILL)
    clock.step(step)
    await asyncio.sleep(began + 4.1 - time.monotonic())
    while not field.host.calls.empty():  # those within the window
        field.host.calls.get_nowait()
    await process.start()
    call = await other.next_call()
    assert call.headers["x-request-id"] == "open"
    call.answer(200)
    assert await field.platform.next_notice() == {"ref": "closed", "result": "dead"}
    assert field.host.calls.empty()
    await other.stop()


@pytest.mark.parametrize("step", STEPS)
async def test_time_that_is_up_while_the_relay_is_down_is_up(
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
    began = time.monotonic()
    assert await client.enqueue("m1", "unsafe", d=7900) == b"OK"
    for step, number in zip((3600.0, -3600.0), numbers, strict=True):
        await refuse_once(field)
        await process.stop(number)
        clock.step(step)
        await process.start()
    call = await field.host.next_call()
    ends = time.monotonic() - began + int(call.headers["x-timeout-ms"]) / 1000
    assert 7.5 < ends < 8.0
    call.answer(200)
    await asyncio.sleep(0.1)
    assert field.platform.notices.empty()


@pytest.mark.parametrize("step", STEPS)
async def test_step_in_service_ends_nothing_early_and_tells_every_end(
    field: Field, process: Process, clock: Clock, step: float
) -> None:
    client = await process.start()
    began = time.monotonic()
    assert await client.enqueue("m1", "unsafe", d=2500) == b"OK"
    call = await field.host.next_call()
    clock.step(step)
    assert await client.enqueue("m2", "unsafe", d=2500) == b"OK"
    await asyncio.sleep(began + 2.3 - time.monotonic())
    call.answer(200)  # so near the end of its time that a notice goes, too
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    assert (await field.platform.next_notice())["ref"] == "m2"
    assert 2.4 < time.monotonic() - began < 3.0


@pytest.mark.parametrize("step", [3600.0, -3600.0])
async def test_step_across_an_upgrade_changes_no_time(field: Field, pair: Pair, step: float) -> None:
    """What the old process leaves is read by one whose clock stands elsewhere."""
    clock = Clock(field.folder)
    for process in (pair.old, pair.new):
        clock.give_to(process)
    client = await pair.old.start()
    began = time.monotonic()
    assert await client.enqueue("m1", "unsafe", d=7900) == b"OK"
    (await field.host.next_call()).answer(429, "X-Backoff-Ms: 1500")
    clock.step(step)
    await pair.new.start("waiting for the process before us")
    await pair.old.stop(TERM)
    call = await field.host.next_call()
    ends = time.monotonic() - began + int(call.headers["x-timeout-ms"]) / 1000
    assert call.headers["x-request-id"] == "m1" and 7.5 < ends < 8.0
    call.answer(200)
