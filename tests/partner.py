"""A simulated destination with outages, on the test's clock, and the check of the slow-start rule."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from starlingwick import interface as io
from tests.helpers import MS, S

SHUT = "shut"  # throttles every call, with a Retry-After wait until its return
SOMETIMES_RETRY_AFTER = "sometimes told"  # the same, but only three answers in ten carry the wait
HUNG, RESET = "hung", "reset"  # calls hang until they time out; those of RESET are reset at the return
MESSAGE_WEIGHT = 0.1  # of each further message in a call: a batch costs a little more than one message
SMALL_BUDGET = 30.0  # calls; below it 3 square roots are allowed instead of 2


@dataclass(frozen=True, slots=True)
class Outage:
    """A span of time, in nanoseconds, in which calls fail as ``kind`` says, save the share ``answered``."""

    kind: str
    down_at: int
    back_at: int
    answered: float = 0.0


@dataclass(slots=True)
class Arrival:
    """A call or probe that reached the destination after its last recovery began."""

    at: int
    relay: int
    informed: bool  # whether a call of its relay, in any process, had failed or been throttled in the outage
    weight: float = 1.0


def allowed_arrivals(budget: float) -> float:
    """Return how many calls may arrive where the settings allow ``budget`` calls."""
    if budget < SMALL_BUDGET:
        return budget + 3 * math.sqrt(budget) + 3
    return budget + 2 * math.sqrt(budget) + 2


@dataclass
class SimulatedDestination:
    """A destination with outages that recovers its capacity gradually after each.

    ``capacity`` is the full capacity in calls a second. A ``limited`` destination throttles the calls that
    exceed its present capacity.
    """

    capacity: float
    mean_seconds: float  # mean duration of a call
    outages: Sequence[Outage]
    rules: io.Rules
    random: random.Random
    limited: bool = False
    arrivals: list[list[Arrival]] = field(default_factory=list)  # after each outage
    tokens: float = 0.0
    tokens_at: int = 0

    def __post_init__(self) -> None:
        self.arrivals = [[] for _ in self.outages]

    def outage_at(self, at: int) -> Outage | None:
        return next((o for o in self.outages if o.down_at <= at < o.back_at), None)

    def last_recovery(self, at: int) -> int | None:
        """Return the number of the outage that ended last; None during an outage or before the first end."""
        if self.outage_at(at) is not None:
            return None
        ended = [number for number, outage in enumerate(self.outages) if outage.back_at <= at]
        return ended[-1] if ended else None

    def call_outcome(self, at: int, stop_at: int) -> tuple[int, io.Status]:
        """Return when a call that starts at ``at`` ends, and its status."""
        ended_at, status = at + self.random_delay(self.mean_seconds), io.Status.OK
        outage = next((o for o in self.outages if at < o.back_at and ended_at >= o.down_at), None)
        if outage is None:
            if self.limited and not self._admits(at):
                return at + MS, io.Status.FULL
        elif not (outage.answered and self.random.random() < outage.answered):
            match outage.kind:
                case "refused":
                    ended_at, status = at + MS, io.Status.CONNECT_FAILED
                    if at < outage.down_at:
                        ended_at, status = outage.down_at, io.Status.RESET
                case "silent":
                    ended_at, status = stop_at, io.Status.TIMEOUT
                    if at >= outage.down_at and self.random.random() < 0.5:
                        ended_at, status = min(at + S, stop_at), io.Status.CONNECT_FAILED
                case "error":
                    status = io.Status.ERROR
                case "full" | "shut" | "sometimes told":
                    status = io.Status.FULL
                case "hung":
                    ended_at, status = stop_at, io.Status.TIMEOUT
                case "reset":
                    ended_at = min(stop_at, outage.back_at)
                    status = io.Status.RESET if ended_at < stop_at else io.Status.TIMEOUT
        return (ended_at, status) if ended_at <= stop_at else (stop_at, io.Status.TIMEOUT)

    def record_arrival(self, arrival: Arrival) -> None:
        number = self.last_recovery(arrival.at)
        if number is not None:
            self.arrivals[number].append(arrival)

    def retry_after(self, at: int, status: io.Status) -> int:
        """Return the Retry-After wait of an answer: nanoseconds until the outage ends, 0 for none."""
        outage = self.outage_at(at)
        if status is not io.Status.FULL or outage is None:
            return 0
        states_wait = (
            outage.kind == SHUT or outage.kind == SOMETIMES_RETRY_AFTER and self.random.random() < 0.3
        )
        return max(0, outage.back_at - at) if states_wait else 0

    def random_delay(self, mean: float) -> int:
        return max(MS, round(self.random.expovariate(1 / mean) * S))

    def _admits(self, at: int) -> bool:
        """Token bucket at the present capacity; the burst is one second's calls."""
        number = self.last_recovery(at)
        share = 1.0 if number is None else self._capacity_share(at - self.outages[number].back_at)
        rate = self.capacity * share
        self.tokens = min(max(1.0, rate), self.tokens + rate * (at - self.tokens_at) / S)
        self.tokens_at = at
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _capacity_share(self, elapsed: int) -> float:
        initial_share = self.rules.slow_start_initial_share
        return min(1.0, initial_share + (1 - initial_share) * elapsed / self.rules.slow_start_duration)

    def full_capacity_seconds(self, elapsed: int) -> float:
        """Return the seconds of full capacity that equal the capacity in ``elapsed`` of the slow start."""
        duration, initial_share = self.rules.slow_start_duration / S, self.rules.slow_start_initial_share
        t = min(elapsed / S, duration)
        return (
            initial_share * t
            + (1 - initial_share) * t * t / (2 * duration)
            + max(0.0, elapsed / S - duration)
        )

    def budget(self, begin: int, end: int) -> float:
        """Return how many calls the settings allow from ``begin`` to ``end``, counted from the return."""
        return (
            self.rules.overload_multiple
            * self.capacity
            * (self.full_capacity_seconds(end) - self.full_capacity_seconds(begin))
        )

    def windows(self, number: int) -> list[tuple[Arrival, float, float, float]]:
        """For each arrival after that outage, return the window of ``overload_window`` that ends with it.

        A window begins no earlier than the return. Each item holds the arrival, the weight of the calls in
        the window, what the settings allow in it, and the share of the calls from informed relays.
        """
        windows_found = []
        first = 0
        back_at, arrivals = self.outages[number].back_at, self.arrivals[number]
        for last, arrival in enumerate(arrivals):
            begin = max(back_at, arrival.at - self.rules.overload_window)
            while arrivals[first].at < begin:
                first += 1
            window = arrivals[first : last + 1]
            weight = sum(each.weight for each in window)
            budget = self.budget(begin - back_at, begin + self.rules.overload_window - back_at)
            windows_found.append(
                (arrival, weight, budget, sum(each.weight for each in window if each.informed) / weight)
            )
        return windows_found

    def is_overloaded(self) -> bool:
        """Return whether relays broke the slow-start rule after some outage.

        They did if over two thirds of the calls in the first overloaded window came from informed relays.
        """
        return any(
            self._informed_share_at_first_overload(number) > 2 / 3 for number in range(len(self.outages))
        )

    def _informed_share_at_first_overload(self, number: int) -> float:
        """Return the informed relays' share of that outage's first overloaded window; 0 without one."""
        informed_shares = (
            informed
            for _, weight, budget, informed in self.windows(number)
            if weight > allowed_arrivals(budget)
        )
        return next(informed_shares, 0.0)
