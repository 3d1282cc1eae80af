"""Many relays' Pacers before one partner that goes down and comes back cold; the clock is the test's."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from starlingwick import interface as io
from tests.helpers import MS, SAFE, Relay, S, entry
from tests.test_rules import recovered

OUTAGES = ("refused", "silent", "error", "full", "shut")  # what calls meet while the partner is down
HANGING = ("hung", "reset")  # calls hang until they are given up; those of "reset" break when it is back
SOMETIMES_TOLD = "sometimes told"  # shut, and three refusals in ten tell until when
UP = 1010 * S  # the relays start at 1000 s; by then what they were served has a rate


@dataclass(slots=True)
class Arrival:
    """A call or probe that reached the partner since its return."""

    at: int
    relay: int
    told: bool  # whether its relay had been told of a failed or refused call or probe in the outage


@dataclass
class Play:
    """One outage. ``capacity`` and ``listed`` are calls a second, ``load`` a share of the capacity."""

    relays: int
    seed: int
    capacity: float
    outage: str
    lasts: float = 8.0  # seconds that it is down
    load: float = 0.8
    listed: float | None = None  # None: no rates are listed
    klass: int = SAFE
    even: bool = False
    owed: float = 0.0  # seconds of traffic that each relay, restarted in the outage, finds untried on record
    mean: float = 0.1  # seconds that a call takes
    rules: dict[str, Any] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)

    def __post_init__(self) -> None:
        told = (self.seed, self.relays, float(self.capacity), self.outage, self.klass)
        self.random = random.Random(" ".join(map(str, told)))
        self.down_at = UP + round(self.random.uniform(0.0, 2.0) * S)
        self.back_at = self.down_at + round(self.lasts * S)
        self.fleet = [self.start() for _ in range(self.relays)]
        self.told = [False] * self.relays
        self.queue: list[tuple[int, int, int, int, io.Event]] = []
        self.number = count()
        self.lives = [0] * self.relays
        self.rules_ = self.fleet[0].settings.rules

    def start(self, at: int = 1000 * S) -> Relay:
        listed = self.listed is not None
        return Relay(
            entry("a", rate=self.listed or 1.0),
            seed=self.random.randrange(1 << 60),
            at=at,
            relays=self.relays,
            slots=48,
            listed_rates=listed,
            rules=self.rules,
        )

    def run(self) -> Play:
        end = self.back_at + self.rules_.ramp_time
        parts = [1.0 if self.even else self.random.expovariate(1.0) for _ in self.fleet]
        for relay, part in enumerate(parts):
            rate = self.load * self.capacity * part / sum(parts)
            at = 1000 * S + self.later(1 / rate)
            while at < end:
                self.push(at, relay, self.fleet[relay].message(self.klass))
                at += self.later(1 / rate)
        if self.owed:
            self.restart(parts)
        while self.queue:
            at, _, relay, life, event = heapq.heappop(self.queue)
            if at >= end:
                break
            if life in (self.lives[relay], -1):
                self.turn(at, relay, event)
        return self

    def restart(self, parts: list[float]) -> None:
        for relay, part in enumerate(parts):
            at = self.random.randrange(self.down_at, self.back_at)
            self.push(at, relay, io.Elsewhere(0))
            each = sum(parts) / part / self.load / self.capacity
            taken = self.later(each)
            while taken < self.owed * S:
                patience = round(self.random.uniform(4.0, 20.0) * S)
                self.push(at, relay, recovered(f"r{taken}", self.klass, patience=patience))
                taken += self.later(each)

    def turn(self, at: int, number: int, *events: io.Event) -> None:
        relay = self.fleet[number]
        if any(isinstance(event, io.Elsewhere) for event in events):
            count_, self.fleet[number] = relay.count, self.start(at)
            relay = self.fleet[number]
            relay.count = count_
            self.told[number] = False
            self.lives[number] += 1
        relay.turn(*events, after=at - relay.now)
        for event in events:
            if isinstance(event, io.Verdict | io.Probed) and event.status is not io.Status.OK:
                self.told[number] |= at >= self.down_at and event.status is not io.Status.ABANDONED
        for action in relay.actions:
            match action:
                case io.Wake(after, token):
                    self.push(at + after, number, io.Alarm(token))
                case io.Send(call, _, stop_at):
                    ends, status = self.meet(at, number, stop_at)
                    verdict = relay.verdict(call, status, self.wait(ends, status), ends - at)
                    self.push(ends, number, verdict, self.lives[number])
                case io.Probe(host, stop_at):
                    ends, status = self.meet(at, number, stop_at)
                    self.push(ends, number, io.Probed(host, status, ends - at, None), self.lives[number])

    def meet(self, at: int, relay: int, stop_at: int) -> tuple[int, io.Status]:
        """What becomes of a call: when its outcome comes, and which."""
        ends, status = at + self.later(self.mean), io.Status.OK
        if at >= self.back_at:
            self.arrivals.append(Arrival(at, relay, self.told[relay]))
        elif ends >= self.down_at:
            match self.outage:
                case "refused":
                    ends = at + MS
                    status = io.Status.CONNECT_FAILED
                    if at < self.down_at:
                        ends, status = self.down_at, io.Status.RESET
                case "silent":
                    ends, status = stop_at, io.Status.TIMEOUT
                    if at >= self.down_at and self.random.random() < 0.5:
                        ends, status = min(at + S, stop_at), io.Status.CONNECT_FAILED
                case "error":
                    status = io.Status.ERROR
                case "full" | "shut" | "sometimes told":
                    status = io.Status.FULL
                case "hung":
                    ends, status = stop_at, io.Status.TIMEOUT
                case "reset":
                    ends = min(stop_at, self.back_at)
                    status = io.Status.RESET if ends < stop_at else io.Status.TIMEOUT
        return (ends, status) if ends <= stop_at else (stop_at, io.Status.TIMEOUT)

    def wait(self, at: int, status: io.Status) -> int:
        """What a shut partner tells: when it opens again."""
        told = status is io.Status.FULL and (
            self.outage == "shut" or self.outage == SOMETIMES_TOLD and self.random.random() < 0.3
        )
        return max(0, self.back_at - at) if told else 0

    def later(self, mean: float) -> int:
        return max(MS, round(self.random.expovariate(1 / mean) * S))

    def push(self, at: int, relay: int, event: io.Event, life: int | None = None) -> None:
        if life is None:
            life = self.lives[relay] if isinstance(event, io.Alarm) else -1
        heapq.heappush(self.queue, (at, next(self.number), relay, life, event))

    def warm(self, since: int) -> float:
        """The warm destination's seconds in which it could take what it may take in this time of its ramp."""
        ramp, least = self.rules_.ramp_time / S, self.rules_.start_capacity
        t = min(since / S, ramp)
        return least * t + (1 - least) * t * t / (2 * ramp) + max(0.0, since / S - ramp)

    def excess(self) -> list[tuple[float, Arrival, int, float, float]]:
        """For each arrival, by how many calls the span of ``fall`` that ends with it (or begins with the
        return) passes N + 2 sqrt(N) + 2."""
        found = []
        first = 0
        for last, arrival in enumerate(self.arrivals):
            begin = max(self.back_at, arrival.at - self.rules_.fall)
            while self.arrivals[first].at < begin:
                first += 1
            budget = (
                self.rules_.fall_multiple
                * self.capacity
                * (self.warm(begin + self.rules_.fall - self.back_at) - self.warm(begin - self.back_at))
            )
            n = last - first + 1
            told = sum(a.told for a in self.arrivals[first : last + 1]) / n
            found.append((n - (budget + 2 * math.sqrt(budget) + 2), arrival, n, budget, told))
        return found
