"""The six rules of delivery, on a single relay."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from starlingwick import interface as io
from tests.helpers import KEYED, MS, ORDERED, SAFE, UNSAFE, PacerHarness, S, endpoint_entry, message_class


def test_held_message_ends_once_before_its_deadline() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(relay.message(destination=9, time_left=S))
    assert not relay.actions or isinstance(relay.actions[-1], io.SetTimer)
    relay.handle(after=S - 2 * relay.settings.tick)
    assert [a.message_id for a in relay.actions_of(io.Reject)] == ["m1"]
    relay.handle(after=S)
    assert relay.actions_of(io.Reject) == [] and relay.actions_of(io.Fail) == []


def test_message_that_times_out_at_its_deadline_fails_at_once() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(relay.message(UNSAFE))
    relay.handle(relay.attempt_ended("m1", io.Status.TIMEOUT), after=20 * S)
    assert [a.message_id for a in relay.actions_of(io.Fail)] == ["m1"]
    assert relay.actions_of(io.Reject) == []


def test_unsafe_message_that_may_have_run_fails_without_a_send_or_a_reject() -> None:
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


def test_keyed_message_is_not_sent_after_its_deduplication_window() -> None:
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


def test_draining_or_unlisted_endpoint_gets_no_messages() -> None:
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


def test_destination_in_outage_gets_one_call_at_a_time_then_slow_start() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(40)
    relay.handle(*[relay.message() for _ in range(40)])
    relay.finish_attempts(io.Status.ERROR, 12)
    most_in_flight = len([1 for d in relay.pacer.routes[1][0].calls])
    for _ in range(50):
        relay.handle(after=100 * MS)
        most_in_flight = max(most_in_flight, len(relay.pacer.routes[1][0].calls))
    assert most_in_flight <= 1
    sent_at: list[int] = []
    for _ in range(200):
        for m in [m for m in relay.pacer.messages.values() if m.call is not None]:
            relay.handle(relay.attempt_ended(m.message_id, io.Status.OK), after=10 * MS)
            sent_at += [relay.now] * len(relay.sends())
        relay.handle(after=50 * MS)
        sent_at += [relay.now] * len(relay.sends())
    rules = relay.settings.rules
    rate_before = 40 / 8  # successes a second before the outage
    budget = rules.overload_multiple * rate_before * rules.overload_window / S
    in_window = [t for t in sent_at if t < sent_at[0] + rules.overload_window]
    assert sent_at and len(in_window) <= budget * 0.5


def test_messages_of_one_key_are_sent_one_at_a_time_in_order() -> None:
    relay = PacerHarness(endpoint_entry("a"), endpoint_entry("b"), rules={"ordering_gap": S})
    relay.handle(
        relay.message(ORDERED, key="k"), relay.message(ORDERED, key="k"), relay.message(ORDERED, key="other")
    )
    assert [s.message_id for s in relay.sends()] == ["m1", "m3"]
    relay.handle(io.MessageWithdrawn("m1"), after=100 * MS)
    assert relay.sends() == []  # its attempt is still in flight
    relay.handle(relay.attempt_ended("m1", io.Status.CANCELLED), after=100 * MS)
    assert relay.sends() == []  # the ordering gap of the key has not passed
    relay.handle(after=S)
    assert [s.message_id for s in relay.sends()] == ["m2"]


def test_retry_after_wait_holds_back_every_message_and_probe() -> None:
    relay = PacerHarness(endpoint_entry("a"), endpoint_entry("b"))
    relay.handle(relay.message(), relay.message())
    relay.handle(
        relay.attempt_ended("m1", io.Status.FULL, retry_after=900 * MS), relay.message(), after=50 * MS
    )
    throttled_at = relay.now
    while relay.now + 50 * MS < throttled_at + 900 * MS:
        relay.handle(relay.message(), after=50 * MS)
        assert relay.sends() == [] and relay.actions_of(io.Probe) == []
    relay.handle(relay.attempt_ended("m2", io.Status.OK), after=100 * MS)
    sent = relay.sends()
    relay.handle(after=500 * MS)
    assert sent or relay.sends()


def test_retry_after_wait_of_a_later_message_of_a_call_is_heeded() -> None:
    """Each message of a call has its own outcome; a wait in any of them counts, also in a later one."""
    relay = PacerHarness(endpoint_entry("a", kind=2))
    relay.handle(relay.message(), relay.message())
    assert len(relay.sends()) == 2
    relay.handle(relay.attempt_ended("m1", io.Status.FULL, retry_after=300 * MS), after=50 * MS)
    relay.handle(relay.attempt_ended("m2", io.Status.FULL, retry_after=300 * MS), after=200 * MS)
    relay.handle(after=200 * MS)
    assert relay.sends() == []


def test_safe_message_is_retried_after_an_error() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(relay.message(SAFE))
    relay.handle(relay.attempt_ended("m1", io.Status.ERROR), after=50 * MS)
    seen = []
    for _ in range(100):
        relay.handle(after=100 * MS)
        seen += [s.message_id for s in relay.sends()]
    assert seen == ["m1"]


def test_timer_that_expires_early_is_set_again() -> None:
    """A clock that rounds down let a timer expire 1 ns early; it was not set again and a message ended late
    (day h0a7f9b)."""
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(relay.message(destination=9, time_left=S))
    timer = relay.actions_of(io.SetTimer)[-1]
    relay.handle(io.TimerExpired(timer.token), after=timer.delay - 1)
    assert [a.delay for a in relay.actions_of(io.SetTimer)] == [1]


def recovered(message_id: str, class_index: int, **changes: Any) -> io.MessageRecovered:
    values: dict[str, Any] = dict(
        destination=1, key=None, time_left=20 * S, attempts=0, possible_run_age=None, possible_run_zone=0
    )
    return io.MessageRecovered(message_id, class_index, **(values | changes))


def test_recovered_messages_keep_the_attempts_of_a_previous_process() -> None:
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
    for zone, endpoint in ((0, "a"), (1, "b")):
        relay = PacerHarness(endpoint_entry("a", zone=0), endpoint_entry("b", zone=1), classes=classes)
        relay.handle(recovered("m", 0, attempts=1, possible_run_age=S, possible_run_zone=zone))
        assert [s.endpoint for s in relay.sends()] == [endpoint]


def test_message_without_room_in_the_journal_is_rejected_and_forgotten() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(replace(relay.message(), storable=False))
    assert [a.message_id for a in relay.actions_of(io.Reject)] == ["m1"] and relay.sends() == []
    assert relay.pacer.messages == {} and relay.pacer.held_count == 0


def test_no_message_is_sent_that_a_shutdown_may_interrupt() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(3)  # the mean duration is 100 ms: 400 ms are enough for most calls
    relay.handle(io.ShutdownStarted(relay.now + S, relay.now + 3 * S))
    relay.handle(relay.message(UNSAFE), after=500 * MS)
    assert len(relay.sends()) == 1
    relay.handle(relay.message(UNSAFE), after=200 * MS)
    assert relay.sends() == [] and relay.actions_of(io.Reject) == [] and relay.actions_of(io.Fail) == []


def test_may_send_holds_back_sends_that_a_later_event_forbids() -> None:
    relay = PacerHarness(endpoint_entry("a"), endpoint_entry("b"))
    relay.handle(relay.message())
    endpoint = relay.sends()[0].endpoint
    assert relay.pacer.may_send(relay.now, "m1", endpoint)
    assert relay.pacer.may_send(relay.now, None, endpoint)
    assert not relay.pacer.may_send(relay.now + 20 * S, "m1", endpoint)
    relay.handle(
        io.EndpointUpdate(
            io.UpdateScope.DELTA, (endpoint_entry(endpoint, availability=io.Availability.STOPPING),)
        )
    )
    assert not relay.pacer.may_send(relay.now, "m1", endpoint)
    assert not relay.pacer.may_send(relay.now, None, endpoint)
    relay.handle(
        io.EndpointUpdate(
            io.UpdateScope.DELTA, (endpoint_entry(endpoint, availability=io.Availability.DELETED),)
        )
    )
    assert not relay.pacer.may_send(relay.now, "m1", endpoint)


def test_may_send_heeds_the_retry_after_wait_of_another_call() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(2)
    relay.handle(relay.message(), relay.message())
    assert len(relay.sends()) == 2
    first, second = (s.message_id for s in relay.sends())
    relay.handle(relay.attempt_ended(first, io.Status.FULL, retry_after=S))
    assert not relay.pacer.may_send(relay.now, second, "a")
    assert relay.pacer.may_send(relay.now + S, second, "a")


def test_abandoned_attempt_never_ran_and_is_retried() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(relay.message(UNSAFE))
    relay.handle(relay.attempt_ended("m1", io.Status.ABANDONED), after=50 * MS)
    relay.handle(after=S)
    assert [s.message_id for s in relay.sends()] == ["m1"]
