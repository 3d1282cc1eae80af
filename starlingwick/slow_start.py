"""Slow start: limits the calls of one relay to a destination that recovers from an outage.

The budget of a destination begins with ``slow_start_initial_share`` of its full rate and grows linearly to
it. The full rate is ``overload_multiple`` times the rate that the destination is assumed to take. A relay
does not see what other relays send: each takes its part of the budget, by the listed rate or by the rate of
its own successful calls before the outage.
"""

from __future__ import annotations

import math
from bisect import bisect_right

from starlingwick.interface import Settings
from starlingwick.listed_rate import call_interval
from starlingwick.state import SECOND, Destination

HEADROOM = 1.4  # a destination is assumed to take at most this many times the rate of its successful calls
TRIAL_SHARE = 0.9  # of the initial budget, for trials: the relay has not seen the destination come back
MISSED_CALLS = 2.0  # calls in ``slow_start_duration`` above the measured rate: chance may hide that many
NO_TRAFFIC_SHARE = 1 / 16  # of an equal share, for a relay that has had no traffic for the destination
MAX_FAILING_SHARE = 1 / 3  # of the latest outcomes: with more failures the destination has not come back


class SlowStart:
    """Computes the budget of one relay. It has no state of its own: the times are in ``Destination``."""

    def __init__(self, settings: Settings) -> None:
        self.relays = settings.relays
        self.rules = settings.rules

    def is_active(self, destination: Destination, now: int) -> bool:
        """Return whether the destination is in slow start at ``now``, or in a retry-after wait before it."""
        return destination.slow_start_began_at is not None and now < destination.slow_start_ends_at

    def is_limiting(self, destination: Destination, waiting: int, now: int) -> bool:
        """Return whether the budget spaces the calls: in slow start, and for at most as long again afterwards
        while more messages wait than the recovered destination may get from this relay within
        ``overload_window``. Otherwise all relays would send those at once, some of them before slow start is
        over."""
        if self.is_active(destination, now):
            return True
        if destination.slow_start_began_at is None or self._is_over(destination, now):
            return False
        return (
            waiting
            > 1
            + self.rules.overload_multiple
            * self.share_of_rate(destination)
            * self.rules.overload_window
            / SECOND
        )

    def may_begin(self, destination: Destination, now: int) -> bool:
        """Return whether this successful call may follow an outage: the destination is unhealthy, and no
        other call has succeeded for ``overload_window``. In addition, a call must have failed since the
        previous success. Throttling instead of a failure, which a limit causes too, counts only if this relay
        has so little traffic that one bad outcome is all it sees of an outage."""
        previous_success = destination.success_times[-2] if len(destination.success_times) > 1 else 0
        return (
            destination.unhealthy_since is not None
            and destination.last_bad_outcome_at > (destination.slow_start_began_at or 0)
            and not self.is_active(destination, now)
            and now - previous_success > self.rules.overload_window
            and (destination.last_failure_at > previous_success or self.has_little_traffic(destination))
        )

    def has_little_traffic(self, destination: Destination) -> bool:
        """Return whether this relay's part of the destination's rate is less than a call in
        ``overload_window``, or unknown."""
        return not 0 < call_interval(destination, self.relays) <= self.rules.overload_window

    def set_listed_rate(self, destination: Destination, rate: float) -> None:
        """Set the rate from the endpoint list, calls a second. If it is lower than before, the destination
        will not take the rate that it took before the outage either, so the records of that are scaled
        down."""
        if 0 < rate < destination.listed_rate and not destination.rate_is_reported:
            ratio = rate / destination.listed_rate
            destination.rate_before_outage *= ratio
            destination.success_times[:] = [
                time
                for index, time in enumerate(destination.success_times)
                if math.floor((index + 1) * ratio) > math.floor(index * ratio)
            ]
        destination.listed_rate, destination.rate_is_reported = rate, False

    def begin(self, destination: Destination, now: int) -> None:
        """Begin slow start at the first successful call after an outage. The time of return is unknown; it is
        estimated as halfway between the last bad outcome and now."""
        destination.slow_start_began_at = now - (now - destination.last_bad_outcome_at) // 2
        destination.slow_start_ends_at = now + self.rules.slow_start_duration
        destination.unconfirmed = False

    def on_failure(self, destination: Destination, now: int) -> bool:
        """Handle a failure in slow start. If more than MAX_FAILING_SHARE of the latest calls failed, restart
        slow start and return True: a destination that is not back may still answer some calls."""
        if not self.is_failing(destination, now):
            return False
        destination.slow_start_began_at = now
        destination.slow_start_ends_at = now + self.rules.slow_start_duration
        destination.unconfirmed = True
        return True

    def is_failing(self, destination: Destination, now: int) -> bool:
        """Return whether too large a share of the latest outcomes, over twice ``overload_window``, were
        failures."""
        since = now - 2 * self.rules.overload_window
        failures = len(destination.failure_times) - bisect_right(destination.failure_times, since)
        successes = len(destination.success_times) - bisect_right(destination.success_times, since)
        return failures > MAX_FAILING_SHARE * (failures + successes)

    def share_of_rate(self, destination: Destination) -> float:
        """Return this relay's part of the rate that the recovered destination takes, calls a second: the rate
        of successful calls before the outage, or an equal share of the listed rate if that is more. Listed
        rates may be half too high, and with uneven traffic the sum of the larger of the two over all relays
        exceeds what the destination takes. The result is therefore at most HEADROOM times the sum of the rate
        of successful calls and a small allowance. Over a fleet, the results add up to at most HEADROOM times
        what the destination answered plus those allowances."""
        equal_share = destination.listed_rate / self.relays
        allowance = max(
            MISSED_CALLS * SECOND / max(self.rules.slow_start_duration, SECOND),
            NO_TRAFFIC_SHARE * equal_share,
        )
        return max(
            destination.rate_before_outage,
            min(HEADROOM * (destination.rate_before_outage + allowance), equal_share),
        )

    def record_baseline(self, destination: Destination, success_rate: float, observed_time: int) -> None:
        """Record the rate of successful calls, calls a second, at the first bad outcome. A relay that has run
        for less than the duration of slow start (``observed_time``, nanoseconds) assumes, for the part not
        observed, an equal share of the listed rate divided by HEADROOM."""
        observed_share = min(1.0, observed_time / max(1, self.rules.slow_start_duration))
        destination.rate_before_outage = (
            observed_share * success_rate
            + (1 - observed_share) * destination.listed_rate / self.relays / HEADROOM
        )

    def budget_available_at(self, destination: Destination, calls: float, start: int, now: int) -> int:
        """Return when this relay's part of the budget, in an outage or in slow start, has grown by that many
        calls from ``start`` on. The budget is divided among all relays, or among as many as can have had a
        call for the destination while it was unhealthy (at least for the duration of slow start). If the
        capacity is unknown, all relays together are assumed to get one call a second."""
        rules = self.rules
        unhealthy_time = max(
            rules.slow_start_duration,
            SECOND,
            destination.last_bad_outcome_at
            - (destination.unhealthy_since or destination.last_bad_outcome_at),
        )
        share = max(self.share_of_rate(destination) / SECOND, 1 / unhealthy_time, 1 / SECOND / self.relays)
        full_rate = rules.overload_multiple * share
        if destination.slow_start_began_at is None or self._is_over(destination, now):
            return start + round(calls / (TRIAL_SHARE * full_rate * rules.slow_start_initial_share))
        growth = full_rate * (1 - rules.slow_start_initial_share) / max(1, rules.slow_start_duration)
        current_rate = full_rate * rules.slow_start_initial_share + growth * max(
            0, start - destination.slow_start_began_at
        )
        if current_rate >= full_rate:
            return start + round(calls / full_rate)
        return start + round(
            2 * calls / (current_rate + math.sqrt(current_rate * current_rate + 2 * growth * calls))
        )

    def _is_over(self, destination: Destination, now: int) -> bool:
        """Return whether the latest slow start limits nothing any more: it ended at least
        ``slow_start_duration`` ago, or it has ended and the destination was unhealthy again after it."""
        failed_since = destination.last_bad_outcome_at > destination.slow_start_ends_at
        return now >= destination.slow_start_ends_at + (0 if failed_since else self.rules.slow_start_duration)
