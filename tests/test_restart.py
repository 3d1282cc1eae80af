"""Messages that a previous process accepted and never sent get a call before they end, counted on sockets."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

import pytest

from garnetrelay.clock import monotonic_ms
from garnetrelay.journal import JournalEntry, Journal
from starlingwick import interface as io
from tests.helpers import MS, SAFE, UNSAFE, PacerHarness, S, endpoint_entry
from tests.sockets import Call, Field, endpoint, listing, until
from tests.test_rules import recovered

CLASSES = ["safe", "keyed", "unsafe"]


def write_journal(field: Field, class_name: str, count: int, d: int) -> set[str]:
    """Write a journal as a kill leaves it: accepted messages, none of them sent."""
    journal = Journal(field.state, 3_000_000)
    deadline = monotonic_ms() + d
    refs = {f"old{n}" for n in range(count)}
    for ref in sorted(refs):
        assert journal.accept(JournalEntry(ref, class_name, 3, "key-" + ref, deadline, b"x"))
    journal.close()
    return refs


class CallCounter:
    """Counts the calls of each message and answers with a function of the test."""

    def __init__(self, field: Field, answer: Any) -> None:
        self.calls: Counter[str] = Counter()
        self.answer = answer
        field.host.on_call = self.on_call  # type: ignore[method-assign]

    def on_call(self, call: Call) -> None:
        if call.line.startswith("POST "):  # not a health check
            self.calls[call.headers["x-request-id"]] += 1
            self.answer(call)


@pytest.mark.parametrize("class_name", CLASSES)
async def test_each_recovered_message_gets_a_call_where_the_endpoint_hangs(
    field: Field, class_name: str
) -> None:
    """Twelve messages, eight calls in flight: one at a time, as in other outages, most would get none."""
    refs = write_journal(field, class_name, 12, 5000)
    field.facts["weightSource"] = "nominal"  # 50 calls a second: no destination that calls could overload
    for one in field.facts["classes"]:
        one["aim"] = 200_000_000
    counter = CallCounter(field, lambda call: None)
    await field.start()
    ended: set[str] = set()
    while len(ended) < len(refs):
        notice = await field.platform.next_notice()
        assert counter.calls[notice["ref"]], f"{notice} with no call"
        ended.add(notice["ref"])
    assert ended == refs and max(counter.calls.values()) <= (1 if class_name == "unsafe" else 6)


@pytest.mark.parametrize("class_name", CLASSES)
async def test_each_recovered_message_is_delivered_beside_new_messages(field: Field, class_name: str) -> None:
    field.facts["familyInfo"]["callsOut"] = 2
    field.facts["limits"]["mostHeld"] = 16
    refs = write_journal(field, class_name, 8, 6000)
    counter = CallCounter(field, lambda call: call.answer(200))
    client = await field.start()
    held = field.relays[0].held_messages
    for n in range(40):  # more than the relay may hold: it rejects some of these, none of the recovered ones
        await client.enqueue(f"new{n}", "safe")
    await until(lambda: not refs & set(held))
    assert {ref: counter.calls[ref] for ref in refs} == dict.fromkeys(refs, 1)
    notified = [field.platform.notices.get_nowait()["ref"] for _ in range(field.platform.notices.qsize())]
    assert not refs & set(notified)


async def test_retry_after_is_heeded_while_recovered_messages_await_a_call(field: Field) -> None:
    refs = write_journal(field, "unsafe", 3, 4000)
    called_at: list[float] = []

    def answer(call: Call) -> None:
        called_at.append(time.monotonic())
        if len(called_at) == 1:
            call.answer(429, "X-Backoff-Ms: 600")
        else:
            call.answer(200)

    field.facts["familyInfo"]["callsOut"] = 1
    counter = CallCounter(field, answer)
    await field.start()
    await until(lambda: not field.relays[0].held_messages)
    assert called_at[1] - called_at[0] >= 0.59 and set(counter.calls) == refs


async def test_messages_of_a_previous_process_that_still_runs_are_acquired_later(field: Field) -> None:
    """Without an inherited socket there is no upgrade: the previous process is about to exit or be killed."""
    before = Journal(field.state, 3_000_000)
    deadline = monotonic_ms() + 8000
    for ref, class_name in (("safe", "safe"), ("tried", "unsafe")):
        assert before.accept(JournalEntry(ref, class_name, 3, None, deadline, b"x"))
    assert before.record_attempt_start("tried", "north", monotonic_ms())
    client = await field.start()
    assert await client.enqueue("new") == b"OK"
    call = await field.host.next_call()
    assert call.headers["x-request-id"] == "new" and field.host.calls.empty()
    call.answer(200)
    before.close()
    call = await field.host.next_call()
    assert call.headers["x-request-id"] == "safe"
    call.answer(200)
    assert await field.platform.next_notice() == {"ref": "tried", "result": "dead"}
    relay = field.relays[0]
    await until(
        lambda: not relay.held_messages and not relay.journal.entries and not relay.journal.held_by_others
    )
    await until(lambda: relay.takeover_task is not None and relay.takeover_task.done())


@pytest.mark.parametrize("known", [True, False], ids=["not in the list", "no list"])
async def test_relay_starts_with_a_message_whose_destination_is_not_listed_yet(
    field: Field, known: bool
) -> None:
    """The configured list may be old or unreadable: the message waits until its destination is listed."""
    write_journal(field, "unsafe", 1, 8000)
    listed = endpoint(field.host)
    field.endpoints = [{**listed, "name": "s-9", "group": 9, **({} if known else {"status": "Unheard of"})}]
    client = await field.start()
    assert await client.ask("PING") == b"PONG"
    watch = await field.platform.next_watch()
    assert list(field.relays[0].held_messages) == ["old0"] and field.host.calls.empty()
    watch.line(listing(42, listed))
    call = await field.host.next_call()
    assert call.headers["x-request-id"] == "old0"
    call.answer(200)
    await until(lambda: not field.relays[0].held_messages)


def start_outage(relay: PacerHarness) -> None:
    """Fail two calls: an outage with one probe call at a time."""
    relay.handle(relay.message(SAFE), relay.message(SAFE))
    for send in relay.sends():
        relay.handle(relay.attempt_ended(send.message_id, io.Status.TIMEOUT), after=50 * MS)
    assert relay.pacer.routes[1][0].in_outage


def test_recovering_destination_gets_recovered_messages_only_at_its_slow_start_rate() -> None:
    relay = PacerHarness(endpoint_entry("a", rate=4.0), uses_listed_rates=True)
    start_outage(relay)
    relay.handle(*[recovered(f"r{n}", SAFE, time_left=15 * S) for n in range(6)])
    sent: dict[str, int] = {}
    in_flight: list[io.Send] = []
    for _ in range(1490):
        timed_out = [send for send in in_flight if send.deadline <= relay.now]
        in_flight = [send for send in in_flight if send not in timed_out]
        relay.handle(
            *[relay.attempt_ended(send.message_id, io.Status.TIMEOUT) for send in timed_out], after=10 * MS
        )
        in_flight += relay.sends()
        for send in relay.sends():
            sent.setdefault(send.message_id, relay.now)
    rules, listed = relay.settings.rules, 4.0 / relay.settings.relays
    max_rate = rules.overload_multiple * rules.slow_start_initial_share * listed
    assert {f"r{n}" for n in range(6)} <= set(sent)
    times = sorted(at for message_id, at in sent.items() if message_id.startswith("r"))
    for first, last in zip(times, times[3:], strict=False):
        assert 3 / ((last - first) / S) <= max_rate


def test_recovered_message_is_not_rejected_while_its_destination_throttles() -> None:
    relay = PacerHarness(endpoint_entry("a"), limits={"max_held": 10})
    relay.handle(relay.message(SAFE))
    relay.handle(relay.attempt_ended("m1", io.Status.FULL, retry_after=3 * S))
    new_messages = [relay.message(SAFE, time_left=2 * S) for _ in range(12)]
    relay.handle(recovered("r", SAFE, time_left=4 * S), *new_messages)
    assert "r" not in {a.message_id for a in relay.actions_of(io.Reject)} and relay.actions_of(io.Reject)
    sent = []
    for _ in range(45):
        relay.handle(after=100 * MS)
        sent += [send.message_id for send in relay.sends()]
    assert "r" in sent


def test_message_that_no_successor_could_send_is_sent_before_shutdown() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    # no call has been measured: the target latency is 2 s
    relay.handle(io.ShutdownStarted(relay.now + 3 * S, relay.now + 5 * S))
    relay.handle(relay.message(UNSAFE, time_left=4 * S), relay.message(UNSAFE, time_left=20 * S), after=2 * S)
    assert [send.message_id for send in relay.sends()] == ["m1"]


def test_no_last_call_after_the_right_to_send_is_handed_over() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(io.ShutdownStarted(relay.now, relay.now), relay.message(UNSAFE, time_left=S))
    assert relay.sends() == []


def test_rate_limit_and_backoff_do_not_hold_recovered_messages_until_their_deadline() -> None:
    """Throttled repeatedly without retry-after: rate limit and backoff would hold all but a few messages."""
    relay = PacerHarness(endpoint_entry("a", rate=60.0), uses_listed_rates=True)
    relay.serve(3)
    for _ in range(4):
        relay.handle(*[relay.message(SAFE) for _ in range(3)], after=50 * MS)
        relay.handle(
            *[relay.attempt_ended(send.message_id, io.Status.FULL) for send in relay.sends()], after=10 * MS
        )
    assert relay.pacer.routes[1][0].rate_limit is not None
    relay.handle(*[recovered(f"r{n}", SAFE, time_left=5 * S) for n in range(20)])
    sent, ended = set(), set()
    for _ in range(500):
        relay.handle(
            *[relay.attempt_ended(send.message_id, io.Status.FULL) for send in relay.sends()], after=10 * MS
        )
        sent |= {send.message_id for send in relay.sends()}
        ended |= {a.message_id for a in relay.actions_of(io.Reject)} - sent
    assert {f"r{n}" for n in range(20)} <= sent and not {
        message_id for message_id in ended if message_id.startswith("r")
    }


def test_each_recovered_message_is_tried_once_before_any_is_retried() -> None:
    relay = PacerHarness(endpoint_entry("a", rate=40.0), uses_listed_rates=True)
    relay.handle(*[recovered(f"r{n}", SAFE, time_left=8 * S + n * MS) for n in range(20)])
    tried = [send.message_id for send in relay.sends()]
    while len(tried) < 20:
        failed = [relay.attempt_ended(send.message_id, io.Status.CONNECT_FAILED) for send in relay.sends()]
        relay.handle(*failed, after=50 * MS)
        tried += [send.message_id for send in relay.sends()]
    assert set(tried) == {f"r{n}" for n in range(20)}
