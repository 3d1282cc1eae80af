"""Pacing: the adaptive rate limit, backoff, health and the number of calls in flight by Little's Law."""

from __future__ import annotations

import pytest

from starlingwick import interface as io
from starlingwick.control import DECREASE_FACTOR
from starlingwick.state import Destination, Endpoint, Message
from tests.helpers import MS, ORDERED, PacerHarness, S, endpoint_entry


def throttle(relay: PacerHarness, n: int) -> None:
    relay.handle(*[relay.message() for _ in range(n)])
    sent = relay.sends()
    assert len(sent) == n
    relay.handle(*[relay.attempt_ended(s.message_id, io.Status.FULL) for s in sent], after=50 * MS)


def test_three_throttled_calls_limit_the_rate_to_three_quarters_of_the_sent_rate_and_two_do_not() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(10)
    destination = relay.pacer.routes[1][0]
    throttle(relay, 2)
    assert destination.rate_limit is None
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(10)
    destination = relay.pacer.routes[1][0]
    sent_rate = 13 / 2.05
    throttle(relay, 3)
    assert destination.rate_limit == pytest.approx(DECREASE_FACTOR * sent_rate, rel=0.02)


def test_rate_limit_recovers_a_quarter_of_the_gap_and_is_dropped_at_its_target() -> None:
    relay = PacerHarness(endpoint_entry("a", rate=20.0), uses_listed_rates=True)
    relay.serve(10)
    throttle(relay, 3)
    destination = relay.pacer.routes[1][0]
    before = destination.rate_limit
    assert before is not None
    relay.handle(after=2 * S)
    assert destination.rate_limit == pytest.approx(before + (10.0 - before) / 4)
    for _ in range(12):
        relay.handle(relay.message(), after=2 * S)
        for send in relay.sends():
            relay.handle(relay.attempt_ended(send.message_id, io.Status.OK), after=10 * MS)
    assert destination.rate_limit is None


def test_calls_in_flight_without_a_rate_limit_are_three_quarters_of_the_slots() -> None:
    relay = PacerHarness(endpoint_entry("a"), max_calls=7)
    relay.handle(*[relay.message() for _ in range(20)])
    assert len(relay.sends()) == 5


def test_planning_pass_checks_a_full_destination_a_few_times_however_many_messages_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each planning pass checked every held message: with hundreds, answers to clients came late."""
    relay = PacerHarness(endpoint_entry("a"), max_calls=40, limits={"max_held": 1000})
    relay.handle(*[relay.message() for _ in range(400)])
    earliest_send_time, checks = relay.pacer.earliest_send_time, 0

    def count_check(destination: Destination, endpoint: Endpoint, m: Message | None) -> int:
        nonlocal checks
        checks += 1
        return earliest_send_time(destination, endpoint, m)

    monkeypatch.setattr(relay.pacer, "earliest_send_time", count_check)
    relay.handle(relay.attempt_ended("m1", io.Status.OK), after=50 * MS)
    assert len(relay.sends()) == 1 and checks <= 10


def test_calls_in_flight_under_a_rate_limit_follow_littles_law() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(10)
    destination = relay.pacer.routes[1][0]
    destination.rate_limit, destination.mean_response_time = 10.0, 100.0 * MS
    assert relay.pacer.max_calls_in_flight(destination) == 2
    destination.mean_response_time = 1.0 * MS
    assert relay.pacer.max_calls_in_flight(destination) == 1


def test_suspect_destination_gets_half_the_slots() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    destination = relay.pacer.routes[1][0]
    destination.failure_rate = 0.3
    assert relay.pacer.max_calls_in_flight(destination) == 4


def test_replaced_endpoints_and_finished_keys_are_forgotten() -> None:
    """Deleted endpoints and finished keys were kept for ever."""
    relay = PacerHarness(endpoint_entry("h0", kind=1), rules={"ordering_gap": S})
    for n in range(1, 200):
        relay.handle(relay.message(ORDERED, key=f"k{n}"), after=60 * S)
        relay.handle(
            *[relay.attempt_ended(s.message_id, io.Status.RESET) for s in relay.sends()], after=50 * MS
        )
        new, gone = (
            endpoint_entry(f"h{n}", kind=1),
            endpoint_entry(f"h{n - 1}", kind=1, availability=io.Availability.DELETED),
        )
        relay.handle(io.EndpointUpdate(io.UpdateScope.DELTA, (new, gone)))
    relay.handle(after=30 * S)
    pacer = relay.pacer
    assert len(pacer.endpoints) == len(pacer.routes[1]) == 1
    assert (
        len(pacer.ordering_gaps) <= 2
        and not pacer.ordered_queues
        and not pacer.messages
        and not pacer.waiting_messages
    )


def test_endpoint_that_is_listed_again_is_used_again() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(io.EndpointUpdate(io.UpdateScope.SNAPSHOT, ()), relay.message())
    assert relay.sends() == []
    relay.handle(io.EndpointUpdate(io.UpdateScope.DELTA, (endpoint_entry("a"),)), after=S)
    assert [s.endpoint for s in relay.sends()] == ["a"]


def test_backoff_at_a_used_up_limit_is_longer_with_more_relays() -> None:
    """Retries alone exceeded the limit of a route, and it served nothing (gandhinagar-hub-later)."""

    def attempts(relays: int) -> int:
        relay = PacerHarness(endpoint_entry("a", rate=6.0), relays=relays, uses_listed_rates=True)
        relay.handle(relay.message())
        count, spent = 1, io.LoadReport(0.0, 6.0)
        for _ in range(150):
            throttled = [
                relay.attempt_ended(s.message_id, io.Status.FULL, report=spent) for s in relay.sends()
            ]
            relay.handle(*throttled, after=100 * MS)
            count += len(relay.sends())
        return count

    assert attempts(300) <= 3 and attempts(2) >= 6


def test_report_of_a_limit_half_left_ends_the_backoff_and_no_report_changes_nothing() -> None:
    relay = PacerHarness(endpoint_entry("a", rate=6.0), relays=60, uses_listed_rates=True)
    destination = relay.pacer.routes[1][0]
    relay.handle(relay.message(), relay.message())
    relay.handle(relay.attempt_ended("m1", io.Status.FULL, report=io.LoadReport(0.0, 6.0)), after=50 * MS)
    assert destination.backoff > 0
    relay.pacer.update_backoff(destination, False, None)
    assert destination.backoff > 0
    relay.pacer.update_backoff(destination, False, 1.5)  # above 1: out of range, but legal
    assert destination.backoff == 0


def test_message_that_cannot_be_retried_in_time_is_rejected_at_once() -> None:
    relay = PacerHarness(endpoint_entry("a", rate=6.0), relays=300, uses_listed_rates=True, seed=2)
    relay.handle(relay.message(time_left=3 * S))
    relay.handle(relay.attempt_ended("m1", io.Status.CONNECT_FAILED), after=50 * MS)
    assert [a.message_id for a in relay.actions_of(io.Reject)] == ["m1"]


def test_sends_to_one_endpoint_share_a_call_up_to_the_batch_size() -> None:
    relay = PacerHarness(endpoint_entry("a", kind=2), max_calls=4)
    relay.handle(*[relay.message() for _ in range(20)])
    assert len(relay.sends()) == 12  # three calls of four
    assert len(relay.pacer.calls) == 3


def test_subscription_is_requested_and_renewed() -> None:
    relay = PacerHarness(endpoint_entry("a"), discovery=io.DiscoveryMode.SUBSCRIBE)
    assert len(relay.actions_of(io.Subscribe)) == 1
    relay.handle(io.EndpointUpdate(io.UpdateScope.FAILED, ()), after=100 * MS)
    relay.handle(after=2 * S)
    assert len(relay.actions_of(io.Subscribe)) == 1
    relay.handle(io.EndpointUpdate(io.UpdateScope.DELTA, ()), after=100 * MS)
    relay.handle(after=30 * S)
    assert relay.actions_of(io.Subscribe) == []


def test_messages_of_least_value_are_rejected_when_too_many_are_held() -> None:
    relay = PacerHarness(endpoint_entry("a"), limits={"max_held": 20}, tenant_quotas=(2.0, 100.0))
    relay.handle(*[relay.message(tenant=t) for t in [0] * 12 + [1] * 9])
    shed = {a.message_id for a in relay.actions_of(io.Reject)}
    assert shed and shed <= {f"m{i}" for i in range(3, 13)}  # beyond tenant 0's quota


def test_rare_throttled_calls_between_successes_are_no_outage() -> None:
    """At a destination with little traffic the last success is long ago; a throttled call only means that a
    rate limit was reached (incidents i6622a2, i4a983f)."""
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(5)
    for _ in range(6):
        relay.handle(relay.message(), after=5 * S)
        relay.finish_attempts(io.Status.FULL, 1)
        relay.finish_attempts(io.Status.OK, 1)
    assert not relay.pacer.routes[1][0].in_outage


def test_reset_connections_among_successes_are_no_outage() -> None:
    """Single connections to a healthy destination may be reset; in an outage they are reset and no call
    succeeds."""
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(5)
    destination = relay.pacer.routes[1][0]
    relay.handle(*[relay.message() for _ in range(4)], after=10 * MS)
    for send in relay.sends():
        relay.handle(relay.attempt_ended(send.message_id, io.Status.RESET), after=10 * MS)
    assert not destination.in_outage and destination.unhealthy_since is None
    relay.now += S
    relay.finish_attempts(io.Status.RESET, 3)
    assert destination.in_outage


def test_long_retry_after_wait_is_an_outage_with_slow_start_at_its_end() -> None:
    """All relays get the same Retry-After time; they must not all return at once, nor stay away for long."""
    start_delays = []
    for seed in range(30):
        relay = PacerHarness(endpoint_entry("a", rate=6.0), relays=30, uses_listed_rates=True, seed=seed)
        relay.handle(relay.message())
        relay.handle(relay.attempt_ended("m1", io.Status.FULL, retry_after=8 * S), after=50 * MS)
        reopens_at = relay.now + 8 * S
        while not relay.sends():
            relay.handle(after=100 * MS)
        start_delays.append(relay.now - reopens_at)
    rules = relay.settings.rules
    early = [t for t in start_delays if t < rules.overload_window]
    share = (
        rules.slow_start_initial_share
        + (1 - rules.slow_start_initial_share) * rules.overload_window / rules.slow_start_duration / 2
    )
    budget = rules.overload_multiple * share * 6.0 * rules.overload_window / S
    assert min(start_delays) >= 0 and len(early) <= budget
    assert max(start_delays) <= rules.slow_start_duration and len(set(start_delays)) > 15


@pytest.mark.parametrize("relays", [3, 60, 300])
def test_first_calls_after_an_outage_stay_in_budget_and_are_spread(relays: int) -> None:
    """Each relay paced itself as if it were alone: all retried at once (ic3f29e, failback broken)."""
    first_call_delays: list[int] = []
    for seed in range(relays):
        relay = PacerHarness(endpoint_entry("a", rate=6.0), relays=relays, uses_listed_rates=True, seed=seed)
        relay.handle(relay.message())
        relay.handle(relay.attempt_ended("m1", io.Status.CONNECT_FAILED), after=50 * MS)
        failed = relay.now
        while not relay.sends() and relay.now < failed + 18 * S:
            relay.handle(after=100 * MS)
        first_call_delays += [relay.now - failed] * len(relay.sends())
    rules = relay.settings.rules
    budget = rules.overload_multiple * rules.slow_start_initial_share * 6.0
    assert first_call_delays
    calls_in_slow_start = min(relays, 60)  # calls that can arrive within a slow start
    assert len(first_call_delays) / relays * calls_in_slow_start <= 18 * budget
    assert len(set(first_call_delays)) > len(first_call_delays) / 2


def test_rates_forget_old_samples_and_memory_stays_bounded() -> None:
    """Old samples made an idle destination look fast when messages were shed, and were kept for ever."""
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(400)
    destination = relay.pacer.routes[1][0]
    assert (
        len(destination.send_times) <= 20
        and len(destination.arrival_times) <= 20
        and len(destination.success_times) <= 50
    )


def test_routes_of_one_destination_share_its_slots() -> None:
    relay = PacerHarness(endpoint_entry("a", kind=1), endpoint_entry("b", kind=1), max_calls=8)
    relay.handle(*[relay.message() for _ in range(20)])
    assert len(relay.sends()) == 6


def test_idle_connection_that_will_not_be_used_soon_is_closed() -> None:
    """Idle connections of many relays filled an endpoint's connection table, which dropped some of them
    silently (i8cfdde)."""
    many = PacerHarness(endpoint_entry("a"), relays=60)
    many.handle(many.message())
    many.handle(many.attempt_ended("m1", io.Status.OK), after=100 * MS)
    assert [a.endpoint for a in many.actions_of(io.CloseIdleConnections)] == ["a"]
    few = PacerHarness(endpoint_entry("a"), relays=2)
    few.serve(5)
    assert few.actions_of(io.CloseIdleConnections) == []


def test_second_throttled_call_with_most_of_the_limit_left_counts_as_a_failure() -> None:
    """A destination that is down behind a rate limit throttles with x0 near 1; that was mistaken for the
    limit (h2e20b5)."""
    for share_left, counts_as_failure in ((0.95, True), (0.0, False)):
        relay = PacerHarness(endpoint_entry("a", rate=6.0), relays=60, uses_listed_rates=True)
        relay.handle(relay.message())
        destination = relay.pacer.routes[1][0]
        throttled = 0
        for _ in range(300):
            outcomes = [
                relay.attempt_ended(s.message_id, io.Status.FULL, report=io.LoadReport(share_left, 6.0))
                for s in relay.sends()
            ]
            throttled += len(outcomes)
            relay.handle(*outcomes, after=100 * MS)
            if throttled == 2:
                break
        assert throttled == 2 and (destination.failure_rate > 0) is counts_as_failure


def test_backoff_is_longer_with_nothing_left_of_a_limit_than_with_a_little_left() -> None:
    """Where throttled calls count against the limit, x0 stays at 0; retries alone kept it there (h02fa29)."""

    def first_backoff(share_left: float) -> float:
        relay = PacerHarness(endpoint_entry("a", rate=6.0), relays=300, uses_listed_rates=True)
        relay.handle(relay.message())
        relay.handle(
            relay.attempt_ended("m1", io.Status.FULL, report=io.LoadReport(share_left, 6.0)), after=50 * MS
        )
        return relay.pacer.routes[1][0].backoff

    assert first_backoff(0.0) > 2 * first_backoff(0.05)


def test_rejected_message_carries_a_retry_after_wait_where_enabled() -> None:
    for enabled in (True, False):
        relay = PacerHarness(endpoint_entry("a"), limits={"max_held": 20, "retry_after": enabled})
        relay.handle(*[relay.message() for _ in range(40)])
        waits = [reject.retry_after for reject in relay.actions_of(io.Reject)]
        assert len(waits) >= 20
        assert all((0 < wait <= 2 * S) if enabled else wait == 0 for wait in waits)


def test_one_overdue_call_does_not_make_an_answering_destination_unhealthy() -> None:
    """A single connection may stall; where all do, the destination has stopped answering."""
    relay = PacerHarness(endpoint_entry("a"), endpoint_entry("b"))
    relay.serve(10)
    relay.handle(relay.message(), relay.message())
    silent, answered = relay.sends()
    relay.handle(relay.attempt_ended(answered.message_id, io.Status.OK, duration=300 * MS), after=300 * MS)
    relay.handle(after=200 * MS)  # overdue by now: the mean duration is some 120 ms
    assert next(iter(relay.pacer.calls)).counted_overdue
    destination = relay.pacer.routes[1][0]
    assert destination.failure_rate < 0.1 and destination.unhealthy_since is None
    relay.handle(relay.message(), relay.message())
    assert len(relay.sends()) == 2 and silent.endpoint not in {send.endpoint for send in relay.sends()}
    for _ in relay.pacer.calls:
        relay.handle(after=3 * S)
    assert destination.failure_rate > 0.5  # no call has been answered


def test_new_rate_limit_leaves_no_credit_from_the_rate_before_it() -> None:
    """Calls that the old rate would have allowed by now must not be sent at once under the new rate limit."""
    relay = PacerHarness(endpoint_entry("a"), max_calls=16)
    relay.serve(20)
    destination = relay.pacer.routes[1][0]
    destination.mean_response_time = 800 * MS  # so that the limit on calls in flight does not bind
    relay.handle(*[relay.message() for _ in range(10)])
    calls = relay.sends()
    relay.handle(
        *[relay.attempt_ended(send.message_id, io.Status.FULL) for send in calls[:3]], after=100 * MS
    )
    assert destination.rate_limit is not None and relay.pacer.max_calls_in_flight(destination) > 3
    relay.handle(*[relay.message() for _ in range(10)])
    # The other calls, sent before, succeed: only the rate limit holds back the next one.
    relay.handle(
        *[relay.attempt_ended(send.message_id, io.Status.OK, duration=800 * MS) for send in calls[3:]],
        after=10 * MS,
    )
    assert destination.throttled_since is None and len(relay.sends()) == 1


# Guards against a planning pass that raises an error after a corrupt answer reported an absurd limit.
def test_absurd_reported_limit_of_a_destination_in_outage_raises_no_error() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(relay.message())
    relay.handle(relay.attempt_ended("m1", io.Status.ERROR, report=io.LoadReport(0.5, 1e300)), after=100 * MS)
    for _ in range(40):
        relay.handle(
            *[relay.attempt_ended(send.message_id, io.Status.ERROR) for send in relay.sends()], after=S
        )
    relay.handle(relay.message(), after=S)
    assert relay.pacer.routes[1][0].unhealthy_since is not None
