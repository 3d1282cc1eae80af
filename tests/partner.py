"""One destination that goes down and comes back cold, on the test's clock, and the judge of slow start."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from starlingwick import interface as io
from tests.helpers import MS, S

SHUT = "shut"  # refused, and told until when
SOMETIMES_TOLD = "sometimes told"  # shut, and three refusals in ten tell until when
HUNG, RESET = "hung", "reset"  # calls hang until they are given up; those of RESET break at the return
MESSAGE_WEIGHT = 0.1  # of each further message in a call: "a little more than one with a single message"
SMALL_BUDGET = 30.0  # calls: below it the page allows 3 roots instead of 2


@dataclass(frozen=True, slots=True)
class Outage:
    """A span of the clock, nanoseconds, in which calls meet ``kind``; a share of them is answered well."""

    kind: str
    down_at: int
    back_at: int
    answered: float = 0.0


@dataclass(slots=True)
class Arrival:
    """A call or probe that reached the destination since its last return."""

    at: int
    relay: int
    told: bool  # whether its relay had been told, in any life, of a failed or refused call in the outage
    weight: float = 1.0


def allowed(budget: float) -> float:
    """What may arrive where the settings allow ``budget`` calls (the page on slow start)."""
    if budget < SMALL_BUDGET:
        return budget + 3 * math.sqrt(budget) + 3
    return budget + 2 * math.sqrt(budget) + 2


@dataclass
class Partner:
    """``capacity`` is in calls a second, warm; ``limited`` refuses what passes the present capacity."""

    capacity: float
    mean: float  # seconds that a call takes
    outages: Sequence[Outage]
    rules: io.Rules
    random: random.Random
    limited: bool = False
    arrivals: list[list[Arrival]] = field(default_factory=list)  # behind each outage
    tokens: float = 0.0
    tokens_at: int = 0

    def __post_init__(self) -> None:
        self.arrivals = [[] for _ in self.outages]

    def outage_at(self, at: int) -> Outage | None:
        return next((o for o in self.outages if o.down_at <= at < o.back_at), None)

    def last_return(self, at: int) -> int | None:
        """The number of the outage that ended last, None before the first return or in an outage."""
        if self.outage_at(at) is not None:
            return None
        ended = [number for number, outage in enumerate(self.outages) if outage.back_at <= at]
        return ended[-1] if ended else None

    def meet(self, at: int, stop_at: int) -> tuple[int, io.Status]:
        """What becomes of a call: when its outcome comes, and which."""
        ends, status = at + self.later(self.mean), io.Status.OK
        outage = next((o for o in self.outages if at < o.back_at and ends >= o.down_at), None)
        if outage is None:
            if self.limited and not self._takes(at):
                return at + MS, io.Status.FULL
        elif not (outage.answered and self.random.random() < outage.answered):
            match outage.kind:
                case "refused":
                    ends, status = at + MS, io.Status.CONNECT_FAILED
                    if at < outage.down_at:
                        ends, status = outage.down_at, io.Status.RESET
                case "silent":
                    ends, status = stop_at, io.Status.TIMEOUT
                    if at >= outage.down_at and self.random.random() < 0.5:
                        ends, status = min(at + S, stop_at), io.Status.CONNECT_FAILED
                case "error":
                    status = io.Status.ERROR
                case "full" | "shut" | "sometimes told":
                    status = io.Status.FULL
                case "hung":
                    ends, status = stop_at, io.Status.TIMEOUT
                case "reset":
                    ends = min(stop_at, outage.back_at)
                    status = io.Status.RESET if ends < stop_at else io.Status.TIMEOUT
        return (ends, status) if ends <= stop_at else (stop_at, io.Status.TIMEOUT)

    def arrive(self, arrival: Arrival) -> None:
        number = self.last_return(arrival.at)
        if number is not None:
            self.arrivals[number].append(arrival)

    def wait(self, at: int, status: io.Status) -> int:
        """What a shut destination tells: when it opens again, in nanoseconds."""
        outage = self.outage_at(at)
        if status is not io.Status.FULL or outage is None:
            return 0
        told = outage.kind == SHUT or outage.kind == SOMETIMES_TOLD and self.random.random() < 0.3
        return max(0, outage.back_at - at) if told else 0

    def later(self, mean: float) -> int:
        return max(MS, round(self.random.expovariate(1 / mean) * S))

    def _takes(self, at: int) -> bool:
        """A plain rate over the present capacity; at most a second's calls at once."""
        number = self.last_return(at)
        share = 1.0 if number is None else self._share(at - self.outages[number].back_at)
        rate = self.capacity * share
        self.tokens = min(max(1.0, rate), self.tokens + rate * (at - self.tokens_at) / S)
        self.tokens_at = at
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _share(self, since: int) -> float:
        least = self.rules.slow_start_initial_share
        return min(1.0, least + (1 - least) * since / self.rules.slow_start_duration)

    def warm(self, since: int) -> float:
        """The warm destination's seconds in which it could take what it may take in this time of its ramp."""
        ramp, least = self.rules.slow_start_duration / S, self.rules.slow_start_initial_share
        t = min(since / S, ramp)
        return least * t + (1 - least) * t * t / (2 * ramp) + max(0.0, since / S - ramp)

    def budget(self, begin: int, end: int) -> float:
        """Calls that the settings allow from ``begin`` to ``end``, counted from the return."""
        return self.rules.overload_multiple * self.capacity * (self.warm(end) - self.warm(begin))

    def spans(self, number: int) -> list[tuple[Arrival, float, float, float]]:
        """For each arrival behind that outage: the weight of the span of ``overload_window`` that ends with
        it (or that begins with the return), what the settings allow in it, and the share from relays that
        were told."""
        found = []
        first = 0
        back_at, arrivals = self.outages[number].back_at, self.arrivals[number]
        for last, arrival in enumerate(arrivals):
            begin = max(back_at, arrival.at - self.rules.overload_window)
            while arrivals[first].at < begin:
                first += 1
            span = arrivals[first : last + 1]
            weight = sum(one.weight for one in span)
            budget = self.budget(begin - back_at, begin + self.rules.overload_window - back_at)
            found.append((arrival, weight, budget, sum(one.weight for one in span if one.told) / weight))
        return found

    def pushed_over(self) -> bool:
        """Whether the rule is broken behind some return: its first fall by the page's bound, over two thirds
        of it from relays that had been told."""
        return any(self._told_at_first_fall(number) > 2 / 3 for number in range(len(self.outages)))

    def _told_at_first_fall(self, number: int) -> float:
        """The share from relays told of it in the first fall behind that outage; 0 where there is none."""
        falls = (told for _, weight, budget, told in self.spans(number) if weight > allowed(budget))
        return next(falls, 0.0)
