"""Slow start: how much a destination that recovers from an outage gets from one relay among many.

It begins with a share of its capacity and grows evenly to all of it. No relay sees what the others send: each
takes its part of the budget, by the rate that is listed or that it was served itself.
"""

from __future__ import annotations

import math

from starlingwick.interface import Settings
from starlingwick.listed_rate import call_interval
from starlingwick.state import SECOND, Destination

BUDGET = 0.9  # of this relay's part of what a cold destination can take: the estimate of capacity is noisy


class SlowStart:
    """The budget of one relay. It keeps nothing: times stand in the ``Destination``, in nanoseconds."""

    def __init__(self, settings: Settings) -> None:
        self.relays = settings.relays
        self.rules = settings.rules

    def is_on(self, dest: Destination, now: int) -> bool:
        """Whether the destination may still be cold after an outage."""
        return dest.ramp_from is not None and now < dest.warm_at

    def may_begin(self, dest: Destination, now: int) -> bool:
        """Whether an outage may lie behind this good answer: trouble, and no other good answer for ``fall``
        before. A failure since the last one will do; of refusals, which a limit makes too, where this relay
        sees so little that it sees no more of an outage than one bad outcome."""
        answered = dest.served[-2] if len(dest.served) > 1 else 0
        return (
            dest.bad_from is not None
            and dest.bad_at > (dest.ramp_from or 0)
            and not self.is_on(dest, now)
            and now - answered > self.rules.fall
            and (dest.failed_at > answered or self.sees_little(dest))
        )

    def sees_little(self, dest: Destination) -> bool:
        """Whether this relay's part of what a destination takes is under a call in ``fall``, or unknown."""
        return not 0 < call_interval(dest, self.relays) <= self.rules.fall

    def time_for(self, dest: Destination, calls: float, start: int, now: int) -> int:
        """When this relay's part of what a destination may get, in trouble or in slow start, has grown by so
        many calls from ``start`` on. All relays share it, or as many as can have had a call for it in the
        trouble's time (a ramp at least). Of unknown capacity, all relays together are taken to get a call a
        second."""
        rules = self.rules
        lasted = max(rules.ramp_time, SECOND, dest.bad_at - (dest.bad_from or dest.bad_at))
        part = max(dest.part / SECOND, 1 / lasted, 1 / SECOND / self.relays)
        pace = BUDGET * rules.fall_multiple * part
        if not self.is_on(dest, now) or dest.ramp_from is None:
            return start + round(calls / (pace * rules.start_capacity))
        grows = pace * (1 - rules.start_capacity) / max(1, rules.ramp_time)
        first = pace * rules.start_capacity + grows * max(0, start - dest.ramp_from)
        if first >= pace:
            return start + round(calls / pace)
        return start + round(2 * calls / (first + math.sqrt(first * first + 2 * grows * calls)))
