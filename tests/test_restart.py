"""What an earlier life took on and never sent gets a call before it is given up, counted on sockets."""

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


def left_behind(field: Field, klass: str, number: int, d: int) -> set[str]:
    """A journal as a kill leaves it: messages on record, none of them sent."""
    journal = Journal(field.state, 3_000_000)
    deadline = monotonic_ms() + d
    refs = {f"old{n}" for n in range(number)}
    for ref in sorted(refs):
        assert journal.accept(JournalEntry(ref, klass, 3, "key-" + ref, deadline, b"x"))
    journal.close()
    return refs


class Tally:
    """Counts the calls of each message, and answers as the test says."""

    def __init__(self, field: Field, answer: Any) -> None:
        self.calls: Counter[str] = Counter()
        self.answer = answer
        field.host.take = self.take  # type: ignore[method-assign]

    def take(self, call: Call) -> None:
        if call.line.startswith("POST "):  # probes aside
            self.calls[call.headers["x-request-id"]] += 1
            self.answer(call)


@pytest.mark.parametrize("klass", CLASSES)
async def test_each_gets_a_call_where_the_endpoint_hangs(field: Field, klass: str) -> None:
    """Twelve, where eight calls may be out: one at a time, as in any trouble, most would get none."""
    refs = left_behind(field, klass, 12, 5000)
    field.facts["weightSource"] = "nominal"  # 50 calls a second: no partner that calls could push over
    for one in field.facts["classes"]:
        one["aim"] = 200_000_000
    tally = Tally(field, lambda call: None)
    await field.start()
    ended: set[str] = set()
    while len(ended) < len(refs):
        notice = await field.platform.next_notice()
        assert tally.calls[notice["ref"]], f"{notice} with no call"
        ended.add(notice["ref"])
    assert ended == refs and max(tally.calls.values()) <= (1 if klass == "unsafe" else 6)


@pytest.mark.parametrize("klass", CLASSES)
async def test_each_is_delivered_beside_newcomers_with_a_short_deadline(field: Field, klass: str) -> None:
    field.facts["familyInfo"]["callsOut"] = 2
    field.facts["limits"]["mostHeld"] = 16
    refs = left_behind(field, klass, 8, 6000)
    tally = Tally(field, lambda call: call.answer(200))
    client = await field.start()
    held = field.relays[0].held_messages
    for n in range(40):  # more than it may hold: some are refused, none of those that were here first
        await client.enqueue(f"new{n}", "safe")
    await until(lambda: not refs & set(held))
    assert {ref: tally.calls[ref] for ref in refs} == dict.fromkeys(refs, 1)
    told = [field.platform.notices.get_nowait()["ref"] for _ in range(field.platform.notices.qsize())]
    assert not refs & set(told)


async def test_a_told_wait_is_kept_while_calls_are_owed(field: Field) -> None:
    refs = left_behind(field, "unsafe", 3, 4000)
    waits: list[float] = []

    def answer(call: Call) -> None:
        waits.append(time.monotonic())
        if len(waits) == 1:
            call.answer(429, "X-Backoff-Ms: 600")
        else:
            call.answer(200)

    field.facts["familyInfo"]["callsOut"] = 1
    tally = Tally(field, answer)
    await field.start()
    await until(lambda: not field.relays[0].held_messages)
    assert waits[1] - waits[0] >= 0.59 and set(tally.calls) == refs


async def test_what_a_process_that_is_not_gone_yet_still_holds_is_taken_up_later(field: Field) -> None:
    """No socket is inherited, so nobody stands beside us for long: it is about to end, or to be killed."""
    before = Journal(field.state, 3_000_000)
    deadline = monotonic_ms() + 8000
    for ref, klass in (("safe", "safe"), ("tried", "unsafe")):
        assert before.accept(JournalEntry(ref, klass, 3, None, deadline, b"x"))
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
async def test_relay_starts_with_a_message_whose_partner_it_does_not_know_yet(
    field: Field, known: bool
) -> None:
    """The list in the configuration may be old, or unreadable: the message waits for the partner's entry."""
    left_behind(field, "unsafe", 1, 8000)
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


def trouble(relay: PacerHarness) -> None:
    """Two bad calls: an outage, one trial at a time."""
    relay.handle(relay.message(SAFE), relay.message(SAFE))
    for send in relay.sends():
        relay.handle(relay.attempt_ended(send.message_id, io.Status.TIMEOUT), after=50 * MS)
    assert relay.pacer.routes[1][0].in_outage


def test_a_cold_partner_gets_owed_calls_at_its_own_pace_only() -> None:
    relay = PacerHarness(endpoint_entry("a", rate=4.0), uses_listed_rates=True)
    trouble(relay)
    relay.handle(*[recovered(f"r{n}", SAFE, time_left=15 * S) for n in range(6)])
    sent: dict[str, int] = {}
    out: list[io.Send] = []
    for _ in range(1490):
        over = [send for send in out if send.deadline <= relay.now]
        out = [send for send in out if send not in over]
        relay.handle(
            *[relay.attempt_ended(send.message_id, io.Status.TIMEOUT) for send in over], after=10 * MS
        )
        out += relay.sends()
        for send in relay.sends():
            sent.setdefault(send.message_id, relay.now)
    rules, listed = relay.settings.rules, 4.0 / relay.settings.relays
    pace = rules.overload_multiple * rules.slow_start_initial_share * listed
    assert {f"r{n}" for n in range(6)} <= set(sent)
    times = sorted(at for call, at in sent.items() if call.startswith("r"))
    for first, last in zip(times, times[3:], strict=False):
        assert 3 / ((last - first) / S) <= pace


def test_owed_message_is_neither_shed_nor_handed_back_while_its_partner_is_shut() -> None:
    relay = PacerHarness(endpoint_entry("a"), limits={"max_held": 10})
    relay.handle(relay.message(SAFE))
    relay.handle(relay.attempt_ended("m1", io.Status.FULL, retry_after=3 * S))
    newcomers = [relay.message(SAFE, time_left=2 * S) for _ in range(12)]
    relay.handle(recovered("r", SAFE, time_left=4 * S), *newcomers)
    assert "r" not in {a.message_id for a in relay.actions_of(io.Reject)} and relay.actions_of(io.Reject)
    sent = []
    for _ in range(45):
        relay.handle(after=100 * MS)
        sent += [send.message_id for send in relay.sends()]
    assert "r" in sent


def test_message_that_no_next_life_could_send_goes_before_the_end() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    # no call has been measured: the aim is 2 s
    relay.handle(io.ShutdownStarted(relay.now + 3 * S, relay.now + 5 * S))
    relay.handle(relay.message(UNSAFE, time_left=4 * S), relay.message(UNSAFE, time_left=20 * S), after=2 * S)
    assert [send.message_id for send in relay.sends()] == ["m1"]


def test_right_to_send_that_is_passed_on_leaves_no_last_call() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(io.ShutdownStarted(relay.now, relay.now), relay.message(UNSAFE, time_left=S))
    assert relay.sends() == []


def test_owed_message_is_not_held_to_its_end_by_our_own_pace() -> None:
    """Refused without a wait, again and again: the ceiling and the rests would keep all but a few."""
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
    assert {f"r{n}" for n in range(20)} <= sent and not {call for call in ended if call.startswith("r")}


def test_each_is_tried_once_before_any_twice_where_nothing_connects() -> None:
    relay = PacerHarness(endpoint_entry("a", rate=40.0), uses_listed_rates=True)
    relay.handle(*[recovered(f"r{n}", SAFE, time_left=8 * S + n * MS) for n in range(20)])
    tried = [send.message_id for send in relay.sends()]
    while len(tried) < 20:
        failed = [relay.attempt_ended(send.message_id, io.Status.CONNECT_FAILED) for send in relay.sends()]
        relay.handle(*failed, after=50 * MS)
        tried += [send.message_id for send in relay.sends()]
    assert set(tried) == {f"r{n}" for n in range(20)}
