"""Repeats where the window for them is 1 s, on days of restarts: each life is a process of its own."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import defaultdict
from typing import Any

import pytest

from tests.processes import Process
from tests.sockets import PATIENCE, Call, Client, Field, until

WINDOW = 1.0  # seconds from the first send that may have run; a repeat behind it breaks the rule
LATER = 0.05  # seconds by which each limit is longer on sockets
AWAY = 0.6  # seconds from a kill to the next start


class Sends:
    """Every call that reaches the endpoint, and when; answered as the test says."""

    def __init__(self, field: Field) -> None:
        self.at: dict[str, list[float]] = {}
        self.calls: list[Call] = []
        self.status = 0  # of each answer; 0: none
        field.host.on_call = self.take  # type: ignore[method-assign]

    def take(self, call: Call) -> None:
        if not call.line.startswith("POST "):
            call.answer(200)  # a probe
            return
        self.at.setdefault(call.headers["x-request-id"], []).append(time.monotonic())
        self.calls.append(call)
        if self.status:
            call.answer(self.status)

    def count(self, ref: str) -> int:
        return len(self.at.get(ref, ()))

    def none_late(self) -> None:
        for ref, times in self.at.items():
            late = [round(at - times[0], 3) for at in times if at - times[0] > WINDOW + LATER]
            assert not late, f"{ref} was sent again {late} s after it may have run; the window is {WINDOW} s"


def short_window(field: Field, scope: str) -> None:
    for one in field.facts["classes"]:
        one["aim"] = 10**9
        if one["idempotency"] == "dedup":
            one["repeatWindow"], one["keyScope"] = round(WINDOW * 10**9), scope


async def begin(field: Field, process: Process, *klasses: str) -> tuple[Sends, Client]:
    """A process with one call out for each class, unanswered."""
    sends = Sends(field)
    client = await process.start()
    for klass in klasses:
        assert await client.enqueue(klass, klass, d=6000) == b"OK"
        await until(lambda klass=klass: sends.count(klass) == 1)  # type: ignore[misc]
    return sends, client


async def another_life(process: Process, number: signal.Signals, away: float) -> None:
    await process.stop(number)
    await asyncio.sleep(away)
    await process.start()


async def ends(field: Field, sends: Sends, refs: set[str]) -> defaultdict[str, list[Any]]:
    """What each message's ends are: notices, and deliveries. Each has one at last."""
    told: defaultdict[str, list[Any]] = defaultdict(list)
    delivered = {call.headers["x-request-id"] for call in sends.calls if sends.status == 200}
    async with asyncio.timeout(PATIENCE):
        while any(not told[ref] and ref not in delivered for ref in refs):
            notice = await field.platform.notices.get()
            told[notice["ref"]].append(notice["result"])
    return told


@pytest.mark.parametrize("scope", ["all", "zone"])
@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
async def test_call_that_a_restart_cut_off_is_not_repeated_behind_1_s(
    field: Field, process: Process, number: signal.Signals, scope: str
) -> None:
    """0.6 s after its end, SIGKILL's or SIGTERM's, the next process is there: what it may not repeat ends by
    one notice, at once and not as its time is up. What may not be repeated at all is never sent again."""
    short_window(field, scope)
    sends, _ = await begin(field, process, "keyed", "unsafe")
    await another_life(process, number, AWAY)
    told = await ends(field, sends, {"unsafe"})
    assert told["unsafe"] == ["dead"] and sends.count("unsafe") == 1
    await asyncio.sleep(WINDOW + 0.5)  # a second life's repeat would have been answered by silence until now
    sends.none_late()
    assert sends.count("unsafe") == 1 and sends.count("keyed") <= 2
    if sends.count("keyed") == 1:
        results = told.get("keyed") or [(await field.platform.next_notice())["result"]]
        # A refusal says that trying again is harmless: true where any endpoint drops a repeat.
        assert results == (["bounced"] if scope == "all" else ["dead"])


@pytest.mark.parametrize("lives", [2, 3])
async def test_window_runs_from_the_first_send_through_any_number_of_kills(
    field: Field, process: Process, lives: int
) -> None:
    """Each life is killed with its call out, the next starts at once: a repeat within 1 s of the first send,
    and none 1 s after the second that is later than that."""
    short_window(field, "all")
    sends, _ = await begin(field, process, "keyed")
    for _ in range(lives):
        await another_life(process, signal.SIGKILL, 0.0)
        if time.monotonic() < sends.at["keyed"][0] + WINDOW:
            before = sends.count("keyed")
            deadline = time.monotonic() + 0.3
            while sends.count("keyed") == before and time.monotonic() < deadline:
                await asyncio.sleep(0.01)
    assert await field.platform.next_notice() == {"ref": "keyed", "result": "bounced"}
    await asyncio.sleep(WINDOW + 0.5)
    sends.none_late()
    assert field.platform.notices.empty()


async def test_answer_that_comes_behind_a_kill_brings_no_later_repeat(field: Field, process: Process) -> None:
    """The endpoint answers the process that is gone; the next one learns nothing of it."""
    short_window(field, "all")
    sends, _ = await begin(field, process, "keyed", "unsafe")
    await process.stop(signal.SIGKILL)
    for call in sends.calls:
        call.answer(200)
    await asyncio.sleep(AWAY)
    await process.start()
    told = await ends(field, sends, {"unsafe"})
    assert told["unsafe"] == ["dead"]
    await asyncio.sleep(WINDOW + 0.5)
    sends.none_late()
    assert sends.count("unsafe") == 1


async def test_repeat_within_1_s_of_the_first_send_is_made_where_it_can_be(
    field: Field, process: Process
) -> None:
    """The window does not only forbid: a connection that breaks at once is followed by a repeat in time."""
    short_window(field, "all")
    field.facts["weightSource"] = "nominal"  # 50 calls a second: one that broke is no reason to wait for long
    sends, client = await begin(field, process, "keyed")
    sends.status = 200
    sends.calls[0].abort()
    await until(lambda: sends.count("keyed") == 2)
    sends.none_late()
    assert await client.enqueue("next", "keyed") == b"OK"
    await until(lambda: sends.count("next") == 1)
    assert field.platform.notices.empty()
