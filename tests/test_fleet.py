"""What only many relays side by side show: each alone is harmless, the sum of them need not be."""

from __future__ import annotations

import pytest

from starlingwick import interface as io
from starlingwick.control import CLIMB_EVERY, CLIMB_SHARE, CUT
from tests.helpers import MS, PacerHarness, S, endpoint_entry

STEP = 50 * MS
LOST = io.EndpointUpdate(io.UpdateScope.FAILED, ())


def fleet(relays: int) -> list[PacerHarness]:
    return [
        PacerHarness(endpoint_entry("a"), seed=seed, relays=relays, discovery=io.DiscoveryMode.SUBSCRIBE)
        for seed in range(relays)
    ]


def calls_for_the_list(relays: list[PacerHarness], seconds: int) -> list[int]:
    """Calls for the list in each second after all watches break at once. Each call fails."""
    for relay in relays:
        relay.handle(io.EndpointUpdate(io.UpdateScope.DELTA, ()))
        relay.handle(LOST)
    asked = [0] * seconds
    for step in range(seconds * S // STEP):
        for relay in relays:
            relay.handle(after=STEP)
            if relay.actions_of(io.Subscribe):
                asked[step * STEP // S] += 1
                relay.handle(LOST)
    return asked


def test_every_relay_that_loses_its_watch_asks_again_before_news_counts_as_told() -> None:
    """Six seconds after it fell silent what it misses counts as told; half goes until that is noticed."""
    for relays in (2, 40, 200):
        for relay in fleet(relays):
            assert calls_for_the_list([relay], 2)[0] >= 1


def test_relays_whose_calls_for_the_list_fail_ask_more_seldom_but_before_news_is_due() -> None:
    relays = fleet(40)
    asked = calls_for_the_list(relays, 30)
    assert max(asked[1:3]) <= 60 and max(asked[10:]) <= 25
    for relay in fleet(5):  # whenever discovery is back, each hears of it before its news counts as told
        alone = calls_for_the_list([relay], 40)
        assert all(sum(alone[at : at + 6]) for at in range(35))


def test_two_relays_ask_again_within_the_first_seconds() -> None:
    for relay in fleet(2):
        assert sum(calls_for_the_list([relay], 4)) >= 2


@pytest.mark.parametrize("relays", [2, 40, 200])
def test_relays_with_more_than_an_even_part_are_not_let_loose_by_the_first_climb(relays: int) -> None:
    """Traffic is uneven: what a busy relay was cut to lies above an even part of the listed rate."""
    busy = [
        PacerHarness(endpoint_entry("a", rate=2.0 * relays), seed=seed, relays=relays, uses_listed_rates=True)
        for seed in range(3)
    ]
    for relay in busy:
        relay.serve(10)
        relay.handle(*[relay.message() for _ in range(3)])
        relay.handle(
            *[relay.attempt_ended(send.message_id, io.Status.FULL) for send in relay.sends()], after=50 * MS
        )
        dest = relay.pacer.routes[1][0]
        cut = dest.rate_limit
        assert cut is not None and cut > 2.0
        relay.handle(after=CLIMB_EVERY)
        assert dest.rate_limit == pytest.approx(cut + CLIMB_SHARE * (cut / CUT - cut))
        for _ in range(12):
            relay.handle(relay.message(), after=CLIMB_EVERY)
            relay.handle(
                *[relay.attempt_ended(send.message_id, io.Status.OK) for send in relay.sends()], after=10 * MS
            )
        assert dest.rate_limit is None  # it reaches what it was cut from, and goes
