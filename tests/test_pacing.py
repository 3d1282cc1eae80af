"""The design's mechanism: the cut, the climb, the dropped ceiling and calls out by Little's Law."""

from __future__ import annotations

import pytest

from starlingwick import interface as io
from starlingwick.control import CUT
from starlingwick.state import Destination, Endpoint, Message
from tests.helpers import MS, ORDERED, PacerHarness, S, endpoint_entry


def refuse(relay: PacerHarness, n: int) -> None:
    relay.handle(*[relay.message() for _ in range(n)])
    sent = relay.sends()
    assert len(sent) == n
    relay.handle(*[relay.attempt_ended(s.message_id, io.Status.FULL) for s in sent], after=50 * MS)


def test_three_refusals_cut_to_three_quarters_of_what_was_sent_and_two_do_not() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(10)
    dest = relay.pacer.routes[1][0]
    refuse(relay, 2)
    assert dest.rate_limit is None
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(10)
    dest = relay.pacer.routes[1][0]
    sent_before = 13 / 2.05
    refuse(relay, 3)
    assert dest.rate_limit == pytest.approx(CUT * sent_before, rel=0.02)


def test_ceiling_climbs_a_quarter_of_the_gap_and_is_dropped_at_its_target() -> None:
    relay = PacerHarness(endpoint_entry("a", rate=20.0), uses_listed_rates=True)
    relay.serve(10)
    refuse(relay, 3)
    dest = relay.pacer.routes[1][0]
    before = dest.rate_limit
    assert before is not None
    relay.handle(after=2 * S)
    assert dest.rate_limit == pytest.approx(before + (10.0 - before) / 4)
    for _ in range(12):
        relay.handle(relay.message(), after=2 * S)
        for send in relay.sends():
            relay.handle(relay.attempt_ended(send.message_id, io.Status.OK), after=10 * MS)
    assert dest.rate_limit is None


def test_calls_out_before_a_cut_are_three_quarters_of_the_slots() -> None:
    relay = PacerHarness(endpoint_entry("a"), max_calls=7)
    relay.handle(*[relay.message() for _ in range(20)])
    assert len(relay.sends()) == 5


def test_a_turn_looks_at_a_full_destination_a_few_times_however_many_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Every held message was put to the gate in every turn: with hundreds, answers came late."""
    relay = PacerHarness(endpoint_entry("a"), max_calls=40, limits={"max_held": 1000})
    relay.handle(*[relay.message() for _ in range(400)])
    gate, looks = relay.pacer.earliest_send_time, 0

    def counted(dest: Destination, host: Endpoint, m: Message | None) -> int:
        nonlocal looks
        looks += 1
        return gate(dest, host, m)

    monkeypatch.setattr(relay.pacer, "earliest_send_time", counted)
    relay.handle(relay.attempt_ended("m1", io.Status.OK), after=50 * MS)
    assert len(relay.sends()) == 1 and looks <= 10


def test_calls_out_after_a_cut_follow_littles_law() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(10)
    dest = relay.pacer.routes[1][0]
    dest.rate_limit, dest.mean_response_time = 10.0, 100.0 * MS
    assert relay.pacer.max_calls_in_flight(dest) == 2
    dest.mean_response_time = 1.0 * MS
    assert relay.pacer.max_calls_in_flight(dest) == 1


def test_suspect_destination_holds_half_the_slots() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    dest = relay.pacer.routes[1][0]
    dest.failure_rate = 0.3
    assert relay.pacer.max_calls_in_flight(dest) == 4


def test_replaced_hosts_and_done_keys_are_forgotten() -> None:
    """Hosts gone and keys done were kept for ever."""
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
        len(pacer.turn_rest) <= 2
        and not pacer.ordered_queues
        and not pacer.messages
        and not pacer.waiting_messages
    )


def test_host_that_returns_under_its_old_id_is_used_again() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(io.EndpointUpdate(io.UpdateScope.SNAPSHOT, ()), relay.message())
    assert relay.sends() == []
    relay.handle(io.EndpointUpdate(io.UpdateScope.DELTA, (endpoint_entry("a"),)), after=S)
    assert [s.endpoint for s in relay.sends()] == ["a"]


def test_refusals_at_a_spent_limit_rest_longer_where_turns_are_rare() -> None:
    """A route got more than its limit from retries alone and served nothing (gandhinagar-hub-later)."""

    def attempts(relays: int) -> int:
        relay = PacerHarness(endpoint_entry("a", rate=6.0), relays=relays, uses_listed_rates=True)
        relay.handle(relay.message())
        count, spent = 1, io.LoadReport(0.0, 6.0)
        for _ in range(150):
            refused = [relay.attempt_ended(s.message_id, io.Status.FULL, report=spent) for s in relay.sends()]
            relay.handle(*refused, after=100 * MS)
            count += len(relay.sends())
        return count

    assert attempts(300) <= 3 and attempts(2) >= 6


def test_a_limit_half_left_ends_the_rest_and_no_report_changes_nothing_else() -> None:
    relay = PacerHarness(endpoint_entry("a", rate=6.0), relays=60, uses_listed_rates=True)
    dest = relay.pacer.routes[1][0]
    relay.handle(relay.message(), relay.message())
    relay.handle(relay.attempt_ended("m1", io.Status.FULL, report=io.LoadReport(0.0, 6.0)), after=50 * MS)
    assert dest.backoff > 0
    relay.pacer.update_backoff(dest, False, None)
    assert dest.backoff > 0
    relay.pacer.update_backoff(dest, False, 1.5)  # out of range, legal
    assert dest.backoff == 0


def test_message_that_cannot_be_tried_in_time_is_handed_back_at_once() -> None:
    relay = PacerHarness(endpoint_entry("a", rate=6.0), relays=300, uses_listed_rates=True, seed=2)
    relay.handle(relay.message(time_left=3 * S))
    relay.handle(relay.attempt_ended("m1", io.Status.CONNECT_FAILED), after=50 * MS)
    assert [a.message_id for a in relay.actions_of(io.Reject)] == ["m1"]


def test_sends_to_one_host_share_a_call_as_far_as_the_kind_allows() -> None:
    relay = PacerHarness(endpoint_entry("a", kind=2), max_calls=4)
    relay.handle(*[relay.message() for _ in range(20)])
    assert len(relay.sends()) == 12  # three calls of four
    assert len(relay.pacer.calls) == 3


def test_subscription_is_asked_for_and_renewed() -> None:
    relay = PacerHarness(endpoint_entry("a"), discovery=io.DiscoveryMode.SUBSCRIBE)
    assert len(relay.actions_of(io.Subscribe)) == 1
    relay.handle(io.EndpointUpdate(io.UpdateScope.FAILED, ()), after=100 * MS)
    relay.handle(after=2 * S)
    assert len(relay.actions_of(io.Subscribe)) == 1
    relay.handle(io.EndpointUpdate(io.UpdateScope.DELTA, ()), after=100 * MS)
    relay.handle(after=30 * S)
    assert relay.actions_of(io.Subscribe) == []


def test_full_hold_sheds_what_earns_least() -> None:
    relay = PacerHarness(endpoint_entry("a"), limits={"max_held": 20}, tenant_quotas=(2.0, 100.0))
    relay.handle(*[relay.message(tenant=t) for t in [0] * 12 + [1] * 9])
    shed = {a.message_id for a in relay.actions_of(io.Reject)}
    assert shed and shed <= {f"m{i}" for i in range(3, 13)}  # past tenant 0's share


def test_slow_trickle_of_refusals_between_successes_is_no_outage() -> None:
    """At a destination with little traffic the last success is long ago; a refusal is only a limit met
    (incidents i6622a2, i4a983f)."""
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(5)
    for _ in range(6):
        relay.handle(relay.message(), after=5 * S)
        relay.finish_attempts(io.Status.FULL, 1)
        relay.finish_attempts(io.Status.OK, 1)
    assert not relay.pacer.routes[1][0].in_outage


def test_broken_connections_among_answers_are_no_outage() -> None:
    """Connections break one by one between us and a destination that is well; where it is down, they break
    and nothing is answered."""
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(5)
    dest = relay.pacer.routes[1][0]
    relay.handle(*[relay.message() for _ in range(4)], after=10 * MS)
    for send in relay.sends():
        relay.handle(relay.attempt_ended(send.message_id, io.Status.RESET), after=10 * MS)
    assert not dest.in_outage and dest.unhealthy_since is None
    relay.now += S
    relay.finish_attempts(io.Status.RESET, 3)
    assert dest.in_outage


def test_long_told_wait_means_shut_and_a_ramp_from_its_end() -> None:
    """All relays are told the same opening time; none may be there at once, none stays away for long."""
    starts = []
    for seed in range(30):
        relay = PacerHarness(endpoint_entry("a", rate=6.0), relays=30, uses_listed_rates=True, seed=seed)
        relay.handle(relay.message())
        relay.handle(relay.attempt_ended("m1", io.Status.FULL, retry_after=8 * S), after=50 * MS)
        opens = relay.now + 8 * S
        while not relay.sends():
            relay.handle(after=100 * MS)
        starts.append(relay.now - opens)
    rules = relay.settings.rules
    early = [t for t in starts if t < rules.overload_window]
    share = (
        rules.slow_start_initial_share
        + (1 - rules.slow_start_initial_share) * rules.overload_window / rules.slow_start_duration / 2
    )
    budget = rules.overload_multiple * share * 6.0 * rules.overload_window / S
    assert min(starts) >= 0 and len(early) <= budget
    assert max(starts) <= rules.slow_start_duration and len(set(starts)) > 15


@pytest.mark.parametrize("relays", [3, 60, 300])
def test_trials_after_one_outage_stay_in_budget_and_out_of_step(relays: int) -> None:
    """Each relay paced itself as if alone: all tried again at once (ic3f29e, failback broken)."""
    trials: list[int] = []
    for seed in range(relays):
        relay = PacerHarness(endpoint_entry("a", rate=6.0), relays=relays, uses_listed_rates=True, seed=seed)
        relay.handle(relay.message())
        relay.handle(relay.attempt_ended("m1", io.Status.CONNECT_FAILED), after=50 * MS)
        failed = relay.now
        while not relay.sends() and relay.now < failed + 18 * S:
            relay.handle(after=100 * MS)
        trials += [relay.now - failed] * len(relay.sends())
    rules = relay.settings.rules
    budget = rules.overload_multiple * rules.slow_start_initial_share * 6.0
    assert trials
    in_play = min(relays, 60)  # calls that can have come in within a ramp
    assert len(trials) / relays * in_play <= 18 * budget
    assert len(set(trials)) > len(trials) / 2


def test_rates_forget_and_memory_stays_bounded() -> None:
    """Old sends made an idle destination look quick when the hold was shed, and were kept for ever."""
    relay = PacerHarness(endpoint_entry("a"))
    relay.serve(400)
    dest = relay.pacer.routes[1][0]
    assert len(dest.send_times) <= 20 and len(dest.arrival_times) <= 20 and len(dest.success_times) <= 50


def test_routes_of_one_destination_share_its_slots() -> None:
    relay = PacerHarness(endpoint_entry("a", kind=1), endpoint_entry("b", kind=1), max_calls=8)
    relay.handle(*[relay.message() for _ in range(20)])
    assert len(relay.sends()) == 6


def test_connection_that_will_not_be_used_soon_is_closed() -> None:
    """Idle connections of many relays filled a host's table, and idle ones were dropped unseen (i8cfdde)."""
    many = PacerHarness(endpoint_entry("a"), relays=60)
    many.handle(many.message())
    many.handle(many.attempt_ended("m1", io.Status.OK), after=100 * MS)
    assert [a.endpoint for a in many.actions_of(io.CloseIdleConnections)] == ["a"]
    few = PacerHarness(endpoint_entry("a"), relays=2)
    few.serve(5)
    assert few.actions_of(io.CloseIdleConnections) == []


def test_second_refusal_with_most_of_the_limit_left_is_a_shut_destination() -> None:
    """A shut destination with a limit refuses with x0 near 1; it was taken for the limit (h2e20b5)."""
    for left, shut in ((0.95, True), (0.0, False)):
        relay = PacerHarness(endpoint_entry("a", rate=6.0), relays=60, uses_listed_rates=True)
        relay.handle(relay.message())
        dest = relay.pacer.routes[1][0]
        refused = 0
        for _ in range(300):
            told = [
                relay.attempt_ended(s.message_id, io.Status.FULL, report=io.LoadReport(left, 6.0))
                for s in relay.sends()
            ]
            refused += len(told)
            relay.handle(*told, after=100 * MS)
            if refused == 2:
                break
        assert refused == 2 and (dest.failure_rate > 0) is shut


def test_nothing_left_of_a_limit_rests_longer_than_a_little_left() -> None:
    """Where refused calls use up the limit x0 stays at 0, and second tries alone kept it there (h02fa29)."""

    def first_rest(left: float) -> float:
        relay = PacerHarness(endpoint_entry("a", rate=6.0), relays=300, uses_listed_rates=True)
        relay.handle(relay.message())
        relay.handle(
            relay.attempt_ended("m1", io.Status.FULL, report=io.LoadReport(left, 6.0)), after=50 * MS
        )
        return relay.pacer.routes[1][0].backoff

    assert first_rest(0.0) > 2 * first_rest(0.05)


def test_refused_client_is_told_when_to_come_again_where_clients_are_told() -> None:
    for told in (True, False):
        relay = PacerHarness(endpoint_entry("a"), limits={"max_held": 20, "retry_after": told})
        relay.handle(*[relay.message() for _ in range(40)])
        waits = [refusal.retry_after for refusal in relay.actions_of(io.Reject)]
        assert len(waits) >= 20
        assert all((0 < wait <= 2 * S) if told else wait == 0 for wait in waits)


def test_one_silent_call_says_nothing_of_a_destination_that_answers() -> None:
    """A connection may fall silent by itself; where all do, the destination has stopped answering."""
    relay = PacerHarness(endpoint_entry("a"), endpoint_entry("b"))
    relay.serve(10)
    relay.handle(relay.message(), relay.message())
    silent, answered = relay.sends()
    relay.handle(relay.attempt_ended(answered.message_id, io.Status.OK, duration=300 * MS), after=300 * MS)
    relay.handle(after=200 * MS)  # overdue now: the mean is some 120 ms
    assert next(iter(relay.pacer.calls)).counted_overdue
    dest = relay.pacer.routes[1][0]
    assert dest.failure_rate < 0.1 and dest.unhealthy_since is None
    relay.handle(relay.message(), relay.message())
    assert len(relay.sends()) == 2 and silent.endpoint not in {send.endpoint for send in relay.sends()}
    for _ in relay.pacer.calls:
        relay.handle(after=3 * S)
    assert dest.failure_rate > 0.5  # none was answered


def test_a_cut_leaves_no_credit_from_the_rate_before_it() -> None:
    """What the old rate would have let go by now must not go out at once under the new ceiling."""
    relay = PacerHarness(endpoint_entry("a"), max_calls=16)
    relay.serve(20)
    dest = relay.pacer.routes[1][0]
    dest.mean_response_time = 800 * MS  # so that calls out do not bind
    relay.handle(*[relay.message() for _ in range(10)])
    calls = relay.sends()
    relay.handle(
        *[relay.attempt_ended(send.message_id, io.Status.FULL) for send in calls[:3]], after=100 * MS
    )
    assert dest.rate_limit is not None and relay.pacer.max_calls_in_flight(dest) > 3
    relay.handle(*[relay.message() for _ in range(10)])
    # The rest, sent before, is answered well: nothing but the ceiling holds back the next.
    relay.handle(
        *[relay.attempt_ended(send.message_id, io.Status.OK, duration=800 * MS) for send in calls[3:]],
        after=10 * MS,
    )
    assert dest.throttled_since is None and len(relay.sends()) == 1


# Guards against a turn that ends in an error where a spoilt answer reports a limit beyond any.
def test_outage_of_a_destination_that_reports_a_limit_beyond_any_ends_no_turn() -> None:
    relay = PacerHarness(endpoint_entry("a"))
    relay.handle(relay.message())
    relay.handle(relay.attempt_ended("m1", io.Status.ERROR, report=io.LoadReport(0.5, 1e300)), after=100 * MS)
    for _ in range(40):
        relay.handle(
            *[relay.attempt_ended(send.message_id, io.Status.ERROR) for send in relay.sends()], after=S
        )
    relay.handle(relay.message(), after=S)
    assert relay.pacer.routes[1][0].unhealthy_since is not None
