"""Many relays' Pacers before one destination that goes down and comes back cold; the clock is the test's."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from starlingwick import interface as io
from starlingwick.health_record import to_record
from tests.helpers import MS, SAFE, Relay, S, entry
from tests.partner import HUNG, MESSAGE_WEIGHT, RESET, SOMETIMES_TOLD, Arrival, Outage, Partner
from tests.test_rules import recovered

OUTAGES = ("refused", "silent", "error", "full", "shut")  # what calls meet while the destination is down
HANGING = (HUNG, RESET)
UP = 1010 * S  # the relays start at 1000 s; by then what they were served has a rate
RESTART_AFTER = 600 * MS  # from SIGKILL to the next start
KILLED_SHARE = 0.4  # of the relays, where some are killed
KILLED_WITHIN = 2 * S  # of the return, before or after

__all__ = ["HANGING", "OUTAGES", "SOMETIMES_TOLD", "Play"]


@dataclass(frozen=True, slots=True)
class Kill:
    """The process ends without warning."""


@dataclass(frozen=True, slots=True)
class Restart:
    """The next process begins; one that still runs ends with it."""


Happening = io.Event | Kill | Restart


@dataclass
class Play:
    """One destination of ``capacity`` calls a second, and its outage. ``load`` is a share of the capacity."""

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
    crowd: float = 1.0  # traffic from the return on, times what it was
    killed: str = ""  # some relays about the return: "kept", "lost" (the folder) or "forgotten" (the health)
    answered: float = 0.0  # share of the calls that is answered well in the outage
    again: float | None = None  # seconds after the return until it goes down once more, for half as long
    kind: int = 0  # 0 plain, 1 routes apart, 2 four messages a call
    halved: bool = False  # in the outage list and destination go down to half the rate, for good
    limited: bool = False  # it refuses what passes its present capacity
    rules: dict[str, Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        told = (self.seed, self.relays, float(self.capacity), self.outage, self.klass)
        self.random = random.Random(" ".join(map(str, told)))
        self.down_at = UP + round(self.random.uniform(0.0, 2.0) * S)
        self.back_at = self.down_at + round(self.lasts * S)
        self.hosts = ("a", "b") if self.kind == 1 else ("a",)
        self.fleet = [self.start() for _ in range(self.relays)]
        self.told: list[set[int]] = [set() for _ in self.fleet]  # of which outages, in any life
        self.queue: list[tuple[int, int, int, int, Happening]] = []
        self.number = count()
        self.lives = [0] * self.relays
        self.dead: set[int] = set()
        self.rules_ = self.fleet[0].settings.rules
        self.partners = {host: self.partner() for host in self.hosts}

    @property
    def end(self) -> int:
        return self.outages()[-1].back_at + self.rules_.slow_start_duration

    def outages(self) -> list[Outage]:
        outages = [Outage(self.outage, self.down_at, self.back_at, self.answered)]
        if self.again is not None:
            down_at = self.back_at + round(self.again * S)
            outages.append(Outage(self.outage, down_at, down_at + round(self.lasts / 2 * S), self.answered))
        return outages

    def partner(self) -> Partner:
        capacity = self.capacity / (2 if self.halved else 1) / len(self.hosts)
        return Partner(capacity, self.mean, self.outages(), self.rules_, self.random, self.limited)

    def start(self, at: int = 1000 * S) -> Relay:
        return Relay(
            *self.entries(at),
            seed=self.random.randrange(1 << 60),
            at=at,
            relays=self.relays,
            max_calls=48,
            uses_listed_rates=self.listed is not None,
            rules=self.rules,
        )

    def entries(self, at: int) -> list[io.EndpointEntry]:
        rate = (self.listed or 1.0) / len(self.hosts)
        if self.halved and at > self.down_at:
            rate /= 2
        return [entry(host, rate=rate, kind=self.kind) for host in self.hosts]

    def run(self) -> Play:
        parts = [1.0 if self.even else self.random.expovariate(1.0) for _ in self.fleet]
        for relay, part in enumerate(parts):
            self.arrive(relay, self.load * self.capacity * part / sum(parts))
        if self.owed:
            self.restart_all(parts)
        if self.killed:
            self.kill_some()
        if self.halved:
            for relay in range(self.relays):
                news = io.EndpointUpdate(io.UpdateScope.DELTA, tuple(self.entries(self.back_at)))
                self.push(self.down_at + S, relay, news)
        while self.queue:
            at, _, relay, life, event = heapq.heappop(self.queue)
            if at >= self.end:
                break
            if life in (self.lives[relay], -1):
                self.turn(at, relay, event)
        return self

    def arrive(self, relay: int, rate: float) -> None:
        """A relay's messages, at ``rate`` a second; a crowd comes from the return on."""
        at = 1000 * S + self.later(1 / rate)
        while at < self.end:
            self.push(at, relay, self.fleet[relay].message(self.klass))
            at += self.later(1 / rate / (self.crowd if at >= self.back_at else 1.0))

    def restart_all(self, parts: list[float]) -> None:
        for relay, part in enumerate(parts):
            at = self.random.randrange(self.down_at, self.back_at)
            self.push(at, relay, Restart())
            each = sum(parts) / part / self.load / self.capacity
            taken = self.later(each)
            while taken < self.owed * S:
                patience = round(self.random.uniform(4.0, 20.0) * S)
                self.push(at, relay, recovered(f"r{taken}", self.klass, time_left=patience))
                taken += self.later(each)

    def kill_some(self) -> None:
        for relay in range(self.relays):
            if self.random.random() < KILLED_SHARE:
                at = self.back_at + self.random.randrange(-KILLED_WITHIN, KILLED_WITHIN)
                self.push(at, relay, Kill())
                self.push(at + RESTART_AFTER, relay, Restart())

    def turn(self, at: int, number: int, happening: Happening) -> None:
        match happening:
            case Kill():
                self.lives[number] += 1
                self.dead.add(number)
            case Restart():
                self.begin_life(at, number)
            case event if number not in self.dead:
                self.feed(at, number, event)
            case io.MessageArrived() if others := set(range(self.relays)) - self.dead:
                other = self.random.choice(sorted(others))  # the clients of a dead one go to another
                self.feed(at, other, self.fleet[other].message(self.klass))

    def feed(self, at: int, number: int, *events: io.Event) -> None:
        relay = self.fleet[number]
        relay.turn(*events, after=at - relay.now)
        for event in events:
            if isinstance(event, io.AttemptEnded | io.ProbeEnded) and event.status is not io.Status.OK:
                if event.status is not io.Status.ABANDONED:
                    self.told[number] |= {self.latest_outage(at)}
        self.carry_out(at, number)

    def begin_life(self, at: int, number: int) -> None:
        """The next process: with its folder what it held goes on, without it others get that."""
        before = self.fleet[number]
        self.lives[number] += number not in self.dead
        self.dead.discard(number)
        after = self.fleet[number] = self.start(at)
        after.count = before.count
        self.carry_out(at, number)
        held = [m for m in before.pacer.messages.values() if not m.finished]
        if self.killed in ("kept", "forgotten"):
            health = self.kept(before) if self.killed == "kept" else []
            events = health + [self.again_taken(at, m) for m in held]
            for event in events:
                if isinstance(event, io.MessageRecovered):
                    after.attempts[event.message_id] = event.attempts - 1
            self.feed(at, number, *events)
        elif self.killed == "lost":
            for m in held:
                other = self.random.randrange(self.relays)
                if other not in self.dead and at < m.deadline:
                    self.feed(at, other, self.fleet[other].message(self.klass, patience=m.deadline - at))

    def kept(self, before: Relay) -> list[io.Event]:
        """What the folder holds of a relay's health records."""
        routes = [route for known in before.pacer.routes.values() for route in known]
        records = tuple(to_record(route) for route in routes if route.unhealthy_since is not None)
        return [io.HealthRestored(records)]

    def again_taken(self, at: int, m: Any) -> io.MessageRecovered:
        ran_at = (
            m.possible_run_at
            if m.possible_run_at is not None
            else m.call.sent_at
            if m.call is not None
            else None
        )
        return recovered(
            m.message_id,
            self.klass,
            time_left=m.deadline - at,
            attempts=m.attempts,
            possible_run_age=None if ran_at is None else at - ran_at,
        )

    def carry_out(self, at: int, number: int) -> None:
        relay = self.fleet[number]
        calls: dict[tuple[str, int], list[str]] = {}
        for action in relay.actions:
            match action:
                case io.SetTimer(after, token):
                    self.push(at + after, number, io.TimerExpired(token))
                case io.Send(call, host, _):
                    call_out = relay.pacer.messages[call].call
                    calls.setdefault((host, id(call_out)), []).append(call)
                case io.Probe(host, stop_at):
                    ends, status = self.meet(at, number, host, stop_at, 1)
                    self.push(ends, number, io.ProbeEnded(host, status, ends - at, None), self.lives[number])
        stops = {a.message_id: a.deadline for a in relay.actions if isinstance(a, io.Send)}
        for (host, _), names in calls.items():
            ends, status = self.meet(at, number, host, min(stops[name] for name in names), len(names))
            for name in names:
                wait = self.partners[host].wait(ends, status)
                verdict = relay.verdict(name, status, wait, ends - at)
                self.push(ends, number, verdict, self.lives[number])

    def meet(self, at: int, relay: int, host: str, stop_at: int, messages: int) -> tuple[int, io.Status]:
        partner = self.partners[host]
        weight = 1.0 + MESSAGE_WEIGHT * (messages - 1)
        partner.arrive(Arrival(at, relay, self.latest_outage(at) in self.told[relay], weight))
        return partner.meet(at, stop_at)

    def latest_outage(self, at: int) -> int:
        """The number of the latest outage that has begun; -1 before the first."""
        return sum(outage.down_at <= at for outage in self.outages()) - 1

    def later(self, mean: float) -> int:
        return max(MS, round(self.random.expovariate(1 / mean) * S))

    def push(self, at: int, relay: int, event: Happening, life: int | None = None) -> None:
        if life is None:
            life = self.lives[relay] if isinstance(event, io.TimerExpired) else -1
        heapq.heappush(self.queue, (at, next(self.number), relay, life, event))

    # ---- judged

    def excess(self) -> list[tuple[float, Arrival, float, float, float]]:
        """For each arrival, by how many calls the span of ``overload_window`` that ends with it (or begins
        with the return) passes N + 2 sqrt(N) + 2: harder than the page where N is under 30."""
        return [
            (weight - (budget + 2 * math.sqrt(budget) + 2), arrival, weight, budget, told)
            for partner in self.partners.values()
            for number in range(len(partner.outages))
            for arrival, weight, budget, told in partner.spans(number)
        ]

    def pushed_over(self) -> bool:
        """Whether the rule is broken by the page's own bound."""
        return any(partner.pushed_over() for partner in self.partners.values())

    def used(self) -> float:
        """Calls in the ramp behind the last return, over what the settings allow in it."""
        calls = sum(a.weight for partner in self.partners.values() for a in partner.arrivals[-1])
        budget = sum(partner.budget(0, self.rules_.slow_start_duration) for partner in self.partners.values())
        return calls / budget
