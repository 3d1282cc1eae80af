"""The six rules, each as a relay on its own can keep it."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from starlingwick import interface as io
from tests.helpers import KEYED, MS, ORDERED, SAFE, UNSAFE, PacerHarness, S, endpoint_entry, message_class


def test_held_message_ends_once_before_its_time_is_up() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(relay.message(destination=9, time_left=S))
    assert not relay.actions or isinstance(relay.actions[-1], io.SetTimer)
    relay.handle(after=S - 2 * relay.settings.tick)
    assert [a.message_id for a in relay.actions_of(io.Reject)] == ["m1"]
    relay.handle(after=S)
    assert relay.actions_of(io.Reject) == [] and relay.actions_of(io.Fail) == []


def test_last_time_out_is_answered_at_once() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(relay.message(UNSAFE))
    relay.handle(relay.attempt_ended("m1", io.Status.TIMEOUT), after=20 * S)
    assert [a.message_id for a in relay.actions_of(io.Fail)] == ["m1"]
    assert relay.actions_of(io.Reject) == []


def test_unsafe_message_that_may_have_run_is_failed_never_sent_or_refused() -> None:
    for status in (io.Status.ERROR, io.Status.TIMEOUT, io.Status.RESET, io.Status.CANCELLED):
        relay = PacerHarness(endpoint_entry("a"), endpoint_entry("b"))
        relay.handle(relay.message(UNSAFE))
        relay.handle(relay.attempt_ended("m1", status), after=S)
        assert [a.message_id for a in relay.actions_of(io.Fail)] == ["m1"], status
        assert relay.sends() == [] and relay.actions_of(io.Reject) == []


def test_unsafe_message_known_not_to_have_run_is_sent_again() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(relay.message(UNSAFE))
    relay.handle(relay.attempt_ended("m1", io.Status.FULL), after=50 * MS)
    seen = []
    for _ in range(30):
        relay.handle(after=100 * MS)
        seen += [s.message_id for s in relay.sends()]
    assert seen == ["m1"]


def test_keyed_message_is_not_sent_after_its_window() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(relay.message(KEYED))
    relay.handle(relay.attempt_ended("m1", io.Status.TIMEOUT), after=11 * S)
    assert relay.sends() == []
    assert [a.message_id for a in relay.actions_of(io.Reject)] == ["m1"]


def test_keyed_message_stays_in_its_zone_once_it_may_have_run() -> None:
    relay = PacerHarness(
        endpoint_entry("a", zone=0),
        endpoint_entry("b", zone=1),
        classes=(message_class(io.Idempotency.KEYED, io.KeyScope.ZONE),),
    )
    relay.handle(relay.message())
    first = relay.sends()[0].endpoint
    relay.handle(relay.attempt_ended("m1", io.Status.RESET), after=100 * MS)
    again = []
    for _ in range(95):
        relay.handle(after=100 * MS)
        again += [s.endpoint for s in relay.sends()]
    assert again == [first]


def test_nothing_goes_to_a_draining_or_vanished_host() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(
        io.EndpointUpdate(
            io.UpdateScope.DELTA, (endpoint_entry("a", availability=io.Availability.STOPPING),)
        ),
        relay.message(),
    )
    assert relay.sends() == []
    relay.handle(io.EndpointUpdate(io.UpdateScope.DELTA, (endpoint_entry("a"),)))
    assert [s.endpoint for s in relay.sends()] == ["a"]
    relay.handle(io.EndpointUpdate(io.UpdateScope.SNAPSHOT, (endpoint_entry("b"),)), relay.message())
    assert [s.endpoint for s in relay.sends()] == ["b"]


def test_outage_is_tried_one_at_a_time_then_ramped() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(40)
    relay.handle(*[relay.message() for _ in range(40)])
    relay.finish_attempts(io.Status.ERROR, 12)
    out = len([1 for d in relay.pacer.routes[1][0].calls])
    for _ in range(50):
        relay.handle(after=100 * MS)
        out = max(out, len(relay.pacer.routes[1][0].calls))
    assert out <= 1
    sent_at: list[int] = []
    for _ in range(200):
        for m in [m for m in relay.pacer.messages.values() if m.call is not None]:
            relay.handle(relay.attempt_ended(m.message_id, io.Status.OK), after=10 * MS)
            sent_at += [relay.now] * len(relay.sends())
        relay.handle(after=50 * MS)
        sent_at += [relay.now] * len(relay.sends())
    rules = relay.settings.rules
    before = 40 / 8  # what was served a second before the trouble
    budget = rules.overload_multiple * before * rules.overload_window / S
    first = [t for t in sent_at if t < sent_at[0] + rules.overload_window]
    assert sent_at and len(first) <= budget * 0.5


def test_messages_of_one_key_go_one_at_a_time_in_order() -> None:
    relay = PacerHarness(endpoint_entry("a"), endpoint_entry("b"), rules={"ordering_gap": S})
    relay.handle(
        relay.message(ORDERED, key="k"), relay.message(ORDERED, key="k"), relay.message(ORDERED, key="other")
    )
    assert [s.message_id for s in relay.sends()] == ["m1", "m3"]
    relay.handle(io.MessageWithdrawn("m1"), after=100 * MS)
    assert relay.sends() == []  # its attempt is still out
    relay.handle(relay.attempt_ended("m1", io.Status.CANCELLED), after=100 * MS)
    assert relay.sends() == []  # the key rests
    relay.handle(after=S)
    assert [s.message_id for s in relay.sends()] == ["m2"]


def test_told_wait_binds_every_message_and_probe() -> None:
    relay = PacerHarness(endpoint_entry("a"), endpoint_entry("b"))
    relay.handle(relay.message(), relay.message())
    relay.handle(
        relay.attempt_ended("m1", io.Status.FULL, retry_after=900 * MS), relay.message(), after=50 * MS
    )
    told = relay.now
    while relay.now + 50 * MS < told + 900 * MS:
        relay.handle(relay.message(), after=50 * MS)
        assert relay.sends() == [] and relay.actions_of(io.Probe) == []
    relay.handle(relay.attempt_ended("m2", io.Status.OK), after=100 * MS)
    sent = relay.sends()
    relay.handle(after=500 * MS)
    assert sent or relay.sends()


def test_wait_told_to_a_later_message_of_one_call_binds_too() -> None:
    """Each message of a call has its outcome; a wait in any of them counts, also in a later one."""
    relay = PacerHarness(endpoint_entry("a", kind=2))
    relay.handle(relay.message(), relay.message())
    assert len(relay.sends()) == 2
    relay.handle(relay.attempt_ended("m1", io.Status.FULL, retry_after=300 * MS), after=50 * MS)
    relay.handle(relay.attempt_ended("m2", io.Status.FULL, retry_after=300 * MS), after=200 * MS)
    relay.handle(after=200 * MS)
    assert relay.sends() == []


def test_safe_message_is_tried_again_after_an_error() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(relay.message(SAFE))
    relay.handle(relay.attempt_ended("m1", io.Status.ERROR), after=50 * MS)
    seen = []
    for _ in range(100):
        relay.handle(after=100 * MS)
        seen += [s.message_id for s in relay.sends()]
    assert seen == ["m1"]


def test_alarm_that_comes_a_moment_early_is_asked_for_again() -> None:
    """A clock that rounds down brought an alarm 1 ns early; none was asked for again and a message ended late
    (found day h0a7f9b)."""
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(relay.message(destination=9, time_left=S))
    wake = relay.actions_of(io.SetTimer)[-1]
    relay.handle(io.TimerExpired(wake.token), after=wake.delay - 1)
    assert [a.delay for a in relay.actions_of(io.SetTimer)] == [1]


def recovered(message_id: str, class_index: int, **changes: Any) -> io.MessageRecovered:
    values: dict[str, Any] = dict(
        destination=1, key=None, time_left=20 * S, attempts=0, possible_run_age=None, possible_run_zone=0
    )
    return io.MessageRecovered(message_id, class_index, **(values | changes))


def test_recovered_messages_keep_what_an_earlier_life_did() -> None:
    cases = (
        (recovered("m", UNSAFE), io.Send),
        (recovered("m", UNSAFE, attempts=1, possible_run_age=S), io.Fail),
        (recovered("m", SAFE, attempts=5, possible_run_age=S), io.Send),
        (recovered("m", SAFE, attempts=6), io.Reject),
        (recovered("m", SAFE, time_left=-S), io.Reject),
        (recovered("m", UNSAFE, time_left=-S, attempts=1, possible_run_age=S), io.Fail),
        (recovered("m", KEYED, attempts=1, possible_run_age=S), io.Send),
        (recovered("m", KEYED, attempts=1, possible_run_age=11 * S), io.Reject),
    )
    for event, kind in cases:
        relay = PacerHarness(endpoint_entry("a"))
        relay.handle(event)
        assert [type(a) for a in relay.actions if not isinstance(a, io.SetTimer)] == [kind], event


def test_recovered_keyed_message_stays_in_its_zone() -> None:
    classes = (message_class(io.Idempotency.KEYED, io.KeyScope.ZONE),)
    for zone, host in ((0, "a"), (1, "b")):
        relay = PacerHarness(endpoint_entry("a", zone=0), endpoint_entry("b", zone=1), classes=classes)
        relay.handle(recovered("m", 0, attempts=1, possible_run_age=S, possible_run_zone=zone))
        assert [s.endpoint for s in relay.sends()] == [host]


def test_message_without_room_in_the_journal_is_refused_and_forgotten() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(replace(relay.message(), storable=False))
    assert [a.message_id for a in relay.actions_of(io.Reject)] == ["m1"] and relay.sends() == []
    assert relay.pacer.messages == {} and relay.pacer.held_count == 0


def test_nothing_goes_out_that_the_end_of_the_process_might_cut_off() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(3)  # a mean of 100 ms: 400 ms are enough for most calls
    relay.handle(io.ShutdownStarted(relay.now + S, relay.now + 3 * S))
    relay.handle(relay.message(UNSAFE), after=500 * MS)
    assert len(relay.sends()) == 1
    relay.handle(relay.message(UNSAFE), after=200 * MS)
    assert relay.sends() == [] and relay.actions_of(io.Reject) == [] and relay.actions_of(io.Fail) == []


def test_last_look_holds_back_what_was_overtaken() -> None:
    relay = PacerHarness(endpoint_entry("a"), endpoint_entry("b"))
    relay.handle(relay.message())
    host = relay.sends()[0].endpoint
    assert relay.pacer.may_send(relay.now, "m1", host)
    assert relay.pacer.may_send(relay.now, None, host)
    assert not relay.pacer.may_send(relay.now + 20 * S, "m1", host)
    relay.handle(
        io.EndpointUpdate(
            io.UpdateScope.DELTA, (endpoint_entry(host, availability=io.Availability.STOPPING),)
        )
    )
    assert not relay.pacer.may_send(relay.now, "m1", host)
    assert not relay.pacer.may_send(relay.now, None, host)
    relay.handle(
        io.EndpointUpdate(io.UpdateScope.DELTA, (endpoint_entry(host, availability=io.Availability.DELETED),))
    )
    assert not relay.pacer.may_send(relay.now, "m1", host)


def test_last_look_heeds_a_wait_told_to_another_call() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(2)
    relay.handle(relay.message(), relay.message())
    assert len(relay.sends()) == 2
    first, second = (s.message_id for s in relay.sends())
    relay.handle(relay.attempt_ended(first, io.Status.FULL, retry_after=S))
    assert not relay.pacer.may_send(relay.now, second, "a")
    assert relay.pacer.may_send(relay.now + S, second, "a")


def test_abandoned_attempt_never_ran_and_is_made_up_for() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(relay.message(UNSAFE))
    relay.handle(relay.attempt_ended("m1", io.Status.ABANDONED), after=50 * MS)
    relay.handle(after=S)
    assert [s.message_id for s in relay.sends()] == ["m1"]
