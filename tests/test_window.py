"""Repeated sends across restarts, with a deduplication window of 1 s; real processes are killed."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import defaultdict
from typing import Any

import pytest

from tests.processes import Process
from tests.sockets import PATIENCE, Call, Client, Field, until

WINDOW = 1.0  # seconds from the first send that may have run; no repeat is allowed after it
TOLERANCE = 0.05  # seconds added to each limit for the delay of sockets
RESTART_DELAY = 0.6  # seconds from a kill to the next start


class SendRecorder:
    """Records every call that reaches the endpoint and its time, and answers with ``status``."""

    def __init__(self, field: Field) -> None:
        self.sent_at: dict[str, list[float]] = {}
        self.calls: list[Call] = []
        self.status = 0  # HTTP status of each answer; 0: no answer
        field.host.on_call = self.take  # type: ignore[method-assign]

    def take(self, call: Call) -> None:
        if not call.line.startswith("POST "):
            call.answer(200)  # a probe
            return
        self.sent_at.setdefault(call.headers["x-request-id"], []).append(time.monotonic())
        self.calls.append(call)
        if self.status:
            call.answer(self.status)

    def count(self, message_id: str) -> int:
        return len(self.sent_at.get(message_id, ()))

    def assert_none_late(self) -> None:
        for message_id, send_times in self.sent_at.items():
            late = [
                round(sent_at - send_times[0], 3)
                for sent_at in send_times
                if sent_at - send_times[0] > WINDOW + TOLERANCE
            ]
            assert (
                not late
            ), f"{message_id} was sent again {late} s after it may have run; the window is {WINDOW} s"


def set_short_window(field: Field, scope: str) -> None:
    for message_class in field.facts["classes"]:
        message_class["aim"] = 10**9
        if message_class["idempotency"] == "dedup":
            message_class["repeatWindow"], message_class["keyScope"] = round(WINDOW * 10**9), scope


async def start_with_calls(field: Field, process: Process, *class_names: str) -> tuple[SendRecorder, Client]:
    """Start a process and send one message of each class; the calls stay unanswered."""
    sends = SendRecorder(field)
    client = await process.start()
    for class_name in class_names:
        assert await client.enqueue(class_name, class_name, d=6000) == b"OK"
        await until(lambda class_name=class_name: sends.count(class_name) == 1)  # type: ignore[misc]
    return sends, client


async def restart(process: Process, stop_signal: signal.Signals, delay: float) -> None:
    await process.stop(stop_signal)
    await asyncio.sleep(delay)
    await process.start()


async def wait_for_ends(
    field: Field, sends: SendRecorder, message_ids: set[str]
) -> defaultdict[str, list[Any]]:
    """Wait until each message has ended by a notice or a delivery, and return the results in the notices."""
    notices: defaultdict[str, list[Any]] = defaultdict(list)
    delivered = {call.headers["x-request-id"] for call in sends.calls if sends.status == 200}
    async with asyncio.timeout(PATIENCE):
        while any(not notices[message_id] and message_id not in delivered for message_id in message_ids):
            notice = await field.platform.notices.get()
            notices[notice["ref"]].append(notice["result"])
    return notices


@pytest.mark.parametrize("scope", ["all", "zone"])
@pytest.mark.parametrize("stop_signal", [signal.SIGKILL, signal.SIGTERM])
async def test_call_interrupted_by_a_restart_is_not_repeated_after_the_window(
    field: Field, process: Process, stop_signal: signal.Signals, scope: str
) -> None:
    """The next process starts 0.6 s after SIGKILL or the end by SIGTERM.

    A message that it may not repeat ends by one notice at once, not at its deadline. An unsafe message is
    never sent again.
    """
    set_short_window(field, scope)
    sends, _ = await start_with_calls(field, process, "keyed", "unsafe")
    await restart(process, stop_signal, RESTART_DELAY)
    notices = await wait_for_ends(field, sends, {"unsafe"})
    assert notices["unsafe"] == ["dead"] and sends.count("unsafe") == 1
    await asyncio.sleep(WINDOW + 0.5)  # a repeat by the second process would have come by now
    sends.assert_none_late()
    assert sends.count("unsafe") == 1 and sends.count("keyed") <= 2
    if sends.count("keyed") == 1:
        results = notices.get("keyed") or [(await field.platform.next_notice())["result"]]
        # "bounced" says that a retry is harmless: true only where every endpoint drops duplicates.
        assert results == (["bounced"] if scope == "all" else ["dead"])


@pytest.mark.parametrize("kills", [2, 3])
async def test_window_runs_from_the_first_send_across_any_number_of_kills(
    field: Field, process: Process, kills: int
) -> None:
    """Each process is killed with its call in flight and the next starts at once. A repeat within 1 s of the
    first send is allowed; one within 1 s of the second send, but later than that, is not."""
    set_short_window(field, "all")
    sends, _ = await start_with_calls(field, process, "keyed")
    for _ in range(kills):
        await restart(process, signal.SIGKILL, 0.0)
        if time.monotonic() < sends.sent_at["keyed"][0] + WINDOW:
            before = sends.count("keyed")
            deadline = time.monotonic() + 0.3
            while sends.count("keyed") == before and time.monotonic() < deadline:
                await asyncio.sleep(0.01)
    assert await field.platform.next_notice() == {"ref": "keyed", "result": "bounced"}
    await asyncio.sleep(WINDOW + 0.5)
    sends.assert_none_late()
    assert field.platform.notices.empty()


async def test_answer_after_a_kill_causes_no_late_repeat(field: Field, process: Process) -> None:
    """The endpoint answers the killed process; the next process does not get the answer."""
    set_short_window(field, "all")
    sends, _ = await start_with_calls(field, process, "keyed", "unsafe")
    await process.stop(signal.SIGKILL)
    for call in sends.calls:
        call.answer(200)
    await asyncio.sleep(RESTART_DELAY)
    await process.start()
    notices = await wait_for_ends(field, sends, {"unsafe"})
    assert notices["unsafe"] == ["dead"]
    await asyncio.sleep(WINDOW + 0.5)
    sends.assert_none_late()
    assert sends.count("unsafe") == 1


async def test_repeat_within_the_window_is_sent_after_a_reset(field: Field, process: Process) -> None:
    """The window permits repeats, too: after a connection that is reset at once the repeat comes in time."""
    set_short_window(field, "all")
    field.facts["weightSource"] = "nominal"  # 50 calls a second: one reset causes no long wait
    sends, client = await start_with_calls(field, process, "keyed")
    sends.status = 200
    sends.calls[0].abort()
    await until(lambda: sends.count("keyed") == 2)
    sends.assert_none_late()
    assert await client.enqueue("next", "keyed") == b"OK"
    await until(lambda: sends.count("next") == 1)
    assert field.platform.notices.empty()
