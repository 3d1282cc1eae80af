"""Slow start: how much a destination that recovers from an outage gets from one relay among many.

It begins with a share of its capacity and grows evenly to all of it. No relay sees what the others send: each
takes its part of the budget, by the rate that is listed or that it was served itself.
"""

from __future__ import annotations

import math
from bisect import bisect_right

from starlingwick.interface import Settings
from starlingwick.listed_rate import call_interval
from starlingwick.state import SECOND, Destination

HEADROOM = 1.4  # times what was answered well: a destination takes that much more at most, for all we know
TRIAL_SHARE = 0.9  # of the budget at the start: who tries has not seen it come back
UNSEEN_CALLS = 2.0  # in a ramp's time: what a relay that sees few calls may have missed by chance
UNSEEN_SHARE = 1 / 16  # of an even part: what a relay with no traffic for it yet may send all the same
FAILING_SHARE = 1 / 3  # of the latest outcomes: with more than that failing, it has not come back yet


class SlowStart:
    """The budget of one relay. It keeps nothing: times stand in the ``Destination``, in nanoseconds."""

    def __init__(self, settings: Settings) -> None:
        self.relays = settings.relays
        self.rules = settings.rules

    def is_active(self, dest: Destination, now: int) -> bool:
        """Whether the destination may still be cold after an outage."""
        return dest.slow_start_began_at is not None and now < dest.slow_start_ends_at

    def is_limiting(self, dest: Destination, waiting: int, now: int) -> bool:
        """Whether calls are spaced by the budget: in slow start, and behind it, for as long again at most,
        while more waits than the warm destination may get from this relay within ``overload_window``. All
        relays would let go of that at once, and some take it for warm before it is."""
        if self.is_active(dest, now):
            return True
        if dest.slow_start_began_at is None or self._is_over(dest, now):
            return False
        return (
            waiting
            > 1
            + self.rules.overload_multiple * self.share_of_rate(dest) * self.rules.overload_window / SECOND
        )

    def may_begin(self, dest: Destination, now: int) -> bool:
        """Whether an outage may lie behind this good answer: trouble, and no other good answer for
        ``overload_window`` before. A failure since the last one will do; of refusals, which a limit makes
        too, where this relay sees so little that it sees no more of an outage than one bad outcome."""
        answered = dest.success_times[-2] if len(dest.success_times) > 1 else 0
        return (
            dest.unhealthy_since is not None
            and dest.last_bad_outcome_at > (dest.slow_start_began_at or 0)
            and not self.is_active(dest, now)
            and now - answered > self.rules.overload_window
            and (dest.last_failure_at > answered or self.has_little_traffic(dest))
        )

    def has_little_traffic(self, dest: Destination) -> bool:
        """Whether this relay's part of what a destination takes is under a call in ``overload_window``, or
        unknown."""
        return not 0 < call_interval(dest, self.relays) <= self.rules.overload_window

    def set_listed_rate(self, dest: Destination, rate: float) -> None:
        """The list names another rate, calls a second. A destination that takes less from now on will not be
        served what it was before the trouble."""
        if 0 < rate < dest.listed_rate and not dest.rate_is_reported:
            left = rate / dest.listed_rate
            dest.rate_before_outage *= left
            dest.success_times[:] = [
                at
                for n, at in enumerate(dest.success_times)
                if math.floor((n + 1) * left) > math.floor(n * left)
            ]
        dest.listed_rate, dest.rate_is_reported = rate, False

    def begin(self, dest: Destination, now: int) -> None:
        """A good answer behind an outage. Nobody saw the destination come back: half of the time since the
        last failure, in the mean."""
        dest.slow_start_began_at = now - (now - dest.last_bad_outcome_at) // 2
        dest.slow_start_ends_at = now + self.rules.slow_start_duration
        dest.unconfirmed = False

    def on_failure(self, dest: Destination, now: int) -> bool:
        """A call failed in slow start. Whether slow start begins anew: a destination that fails most calls
        answers some of them well before it is back."""
        if not self.is_failing(dest, now):
            return False
        dest.slow_start_began_at = now
        dest.slow_start_ends_at = now + self.rules.slow_start_duration
        dest.unconfirmed = True
        return True

    def is_failing(self, dest: Destination, now: int) -> bool:
        """Whether more than a share of the latest outcomes, over twice ``overload_window``, were failures."""
        since = now - 2 * self.rules.overload_window
        bad = len(dest.failure_times) - bisect_right(dest.failure_times, since)
        good = len(dest.success_times) - bisect_right(dest.success_times, since)
        return bad > FAILING_SHARE * (bad + good)

    def share_of_rate(self, dest: Destination) -> float:
        """This relay's part of what the destination takes when warm, calls a second: what it was served
        before the trouble, or an even part of the listed rate where that is more. Listed rates may be half
        too high, and over uneven traffic the larger of the two adds up to more than the destination takes:
        what was served bounds it. Over a fleet that adds up to no more than the destination has answered."""
        even = dest.listed_rate / self.relays
        unseen = max(UNSEEN_CALLS * SECOND / max(self.rules.slow_start_duration, SECOND), UNSEEN_SHARE * even)
        return max(dest.rate_before_outage, min(HEADROOM * (dest.rate_before_outage + unseen), even))

    def record_baseline(self, dest: Destination, served: float, watched: int) -> None:
        """At the first sign of trouble: what was answered well until now, calls a second. For the time that a
        young relay has not ``watched`` of a ramp's, in nanoseconds, it takes an even part to be its own."""
        known = min(1.0, watched / max(1, self.rules.slow_start_duration))
        dest.rate_before_outage = known * served + (1 - known) * dest.listed_rate / self.relays / HEADROOM

    def budget_available_at(self, dest: Destination, calls: float, start: int, now: int) -> int:
        """When this relay's part of what a destination may get, in trouble or in slow start, has grown by so
        many calls from ``start`` on. All relays share it, or as many as can have had a call for it in the
        trouble's time (a ramp at least). Of unknown capacity, all relays together are taken to get a call a
        second."""
        rules = self.rules
        lasted = max(
            rules.slow_start_duration,
            SECOND,
            dest.last_bad_outcome_at - (dest.unhealthy_since or dest.last_bad_outcome_at),
        )
        part = max(self.share_of_rate(dest) / SECOND, 1 / lasted, 1 / SECOND / self.relays)
        pace = rules.overload_multiple * part
        if dest.slow_start_began_at is None or self._is_over(dest, now):
            return start + round(calls / (TRIAL_SHARE * pace * rules.slow_start_initial_share))
        grows = pace * (1 - rules.slow_start_initial_share) / max(1, rules.slow_start_duration)
        first = pace * rules.slow_start_initial_share + grows * max(0, start - dest.slow_start_began_at)
        if first >= pace:
            return start + round(calls / pace)
        return start + round(2 * calls / (first + math.sqrt(first * first + 2 * grows * calls)))

    def _is_over(self, dest: Destination, now: int) -> bool:
        """Whether the latest slow start paces nothing any more: long past, or behind it there was trouble."""
        troubled_since = dest.last_bad_outcome_at > dest.slow_start_ends_at
        return now >= dest.slow_start_ends_at + (0 if troubled_since else self.rules.slow_start_duration)
