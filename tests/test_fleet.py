"""Behaviour of many relays together: what is harmless for one relay need not be for a fleet."""

from __future__ import annotations

import pytest

from starlingwick import interface as io
from starlingwick.control import RECOVERY_INTERVAL, RECOVERY_SHARE, DECREASE_FACTOR
from tests.helpers import MS, PacerHarness, S, endpoint_entry

STEP = 50 * MS
WATCH_LOST = io.EndpointUpdate(io.UpdateScope.FAILED, ())


def make_fleet(relays: int) -> list[PacerHarness]:
    return [
        PacerHarness(endpoint_entry("a"), seed=seed, relays=relays, discovery=io.DiscoveryMode.SUBSCRIBE)
        for seed in range(relays)
    ]


def count_list_calls(relays: list[PacerHarness], seconds: int) -> list[int]:
    """Break all watches at once and return the calls for the list in each second. Each call fails."""
    for relay in relays:
        relay.handle(io.EndpointUpdate(io.UpdateScope.DELTA, ()))
        relay.handle(WATCH_LOST)
    calls = [0] * seconds
    for step in range(seconds * S // STEP):
        for relay in relays:
            relay.handle(after=STEP)
            if relay.actions_of(io.Subscribe):
                calls[step * STEP // S] += 1
                relay.handle(WATCH_LOST)
    return calls


def test_every_relay_that_loses_its_watch_reconnects_before_a_change_is_due() -> None:
    """A change is due six seconds after the watch fell silent; half of these pass until that is noticed."""
    for relays in (2, 40, 200):
        for relay in make_fleet(relays):
            assert count_list_calls([relay], 2)[0] >= 1


def test_relays_back_off_when_calls_for_the_list_fail_but_retry_before_a_change_is_due() -> None:
    relays = make_fleet(40)
    calls = count_list_calls(relays, 30)
    assert max(calls[1:3]) <= 60 and max(calls[10:]) <= 25
    # Whenever discovery is back, each relay reconnects before its changes are due.
    for relay in make_fleet(5):
        own_calls = count_list_calls([relay], 40)
        assert all(sum(own_calls[at : at + 6]) for at in range(35))


def test_two_relays_retry_within_the_first_seconds() -> None:
    for relay in make_fleet(2):
        assert sum(count_list_calls([relay], 4)) >= 2


@pytest.mark.parametrize("relays", [2, 40, 200])
def test_relays_above_an_even_share_keep_their_rate_limit_after_the_first_recovery_step(relays: int) -> None:
    """Traffic is uneven: a busy relay's reduced limit is above an even share of the listed rate."""
    busy_relays = [
        PacerHarness(endpoint_entry("a", rate=2.0 * relays), seed=seed, relays=relays, uses_listed_rates=True)
        for seed in range(3)
    ]
    for relay in busy_relays:
        relay.serve(10)
        relay.handle(*[relay.message() for _ in range(3)])
        relay.handle(
            *[relay.attempt_ended(send.message_id, io.Status.FULL) for send in relay.sends()], after=50 * MS
        )
        destination = relay.pacer.routes[1][0]
        reduced_limit = destination.rate_limit
        assert reduced_limit is not None and reduced_limit > 2.0
        relay.handle(after=RECOVERY_INTERVAL)
        assert destination.rate_limit == pytest.approx(
            reduced_limit + RECOVERY_SHARE * (reduced_limit / DECREASE_FACTOR - reduced_limit)
        )
        for _ in range(12):
            relay.handle(relay.message(), after=RECOVERY_INTERVAL)
            relay.handle(
                *[relay.attempt_ended(send.message_id, io.Status.OK) for send in relay.sends()], after=10 * MS
            )
        assert destination.rate_limit is None  # it reaches the rate before the decrease and is dropped
