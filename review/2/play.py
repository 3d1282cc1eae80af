"""A destination goes down, one of its endpoints is replaced, and the relay restarts as planned meanwhile."""

from __future__ import annotations

import asyncio
import math
import os
import sys
from pathlib import Path
from signal import SIGKILL, SIGTERM

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))

from rig import Call, Case, Clients, CouldNotRun, Endpoint, Platform, Relay, main, now, settings

COLD = 1  # the destination that goes down
OTHERS = [2, 3, 4]
CAPACITY = 12.0  # calls a second that the cold destination can do once it is warm
RATE = 28.0  # messages a second, a quarter of them for the cold destination
BEFORE = 8.0  # seconds of traffic before the outage
DOWN_AT_TERM = 4.0  # seconds from the beginning of the outage to SIGTERM
RETURNS_AFTER = 3.9  # seconds from SIGTERM to the end of the outage
AFTER = 6.0  # seconds of traffic after it
FALL, MULTIPLE, RAMP, START = 1.5, 2.0, 14.0, 0.18  # the settings' rules: fall, fallMultiple, rampTime, ...


def bound(capacity: float) -> float:
    """Return how many calls in FALL seconds a cold destination takes."""
    expected = MULTIPLE * capacity * FALL
    factor = 3 if expected < 30 else 2
    return expected + factor * math.sqrt(expected) + factor


class Cold:
    """The state of the destination that goes down. All of its endpoints fail in an outage."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.down = False
        self.failed_calls = 0  # answered with 500 in the outage
        self.returned_at: float | None = None
        self.arrivals: list[float] = []  # since it came back
        self.fell: str = ""

    def capacity(self, at: float) -> float:
        assert self.returned_at is not None
        return CAPACITY * min(1.0, START + (1 - START) * (at - self.returned_at) / RAMP)

    async def behave(self, endpoint: Endpoint, call: Call) -> None:
        if self.down:
            self.failed_calls += 1
            await asyncio.sleep(0.05)
            endpoint.answer(call, 500)
            return
        if self.returned_at is not None:
            self.arrivals.append(call.arrived_at)
            recent = [at for at in self.arrivals if at > call.arrived_at - FALL]
            most = bound(self.capacity(call.arrived_at))
            if len(recent) > most and not self.fell:
                self.fell = (
                    f"{len(recent)} calls in {recent[-1] - recent[0]:.3f} s, "
                    f"{call.arrived_at - self.returned_at:.3f} s after its return; the bound is {most:.1f}"
                )
                self.case.record.say(f"the cold destination falls over: {self.fell}")
        if self.fell:
            endpoint.answer(call, 503)
            return
        await asyncio.sleep(endpoint.rng.uniform(0.23, 0.39))
        endpoint.answer(call, 200)


async def play(case: Case) -> int:
    platform = Platform(case)
    await platform.start()
    cold = Cold(case)
    first, replacement = Endpoint(case, "s-1a", COLD), Endpoint(case, "s-1b", COLD)
    for endpoint in (first, replacement):
        endpoint.behaviour = cold.behave
        await endpoint.start()
    platform.entries[first.name] = first.entry(rate=CAPACITY)
    for dest in OTHERS:
        endpoint = Endpoint(case, f"s-{dest}", dest, (0.23, 0.39))
        await endpoint.start()
        platform.entries[endpoint.name] = endpoint.entry(rate=20.0)
    relay = Relay(case, platform, facts=settings())
    await relay.start()
    clients = Clients(case, relay)
    length = BEFORE + DOWN_AT_TERM + RETURNS_AFTER + AFTER
    traffic = case.spawn(clients.stream(RATE, length, [COLD, *OTHERS]))
    await asyncio.sleep(BEFORE)
    cold.down = True
    case.record.line("the destination goes down")
    await asyncio.sleep(DOWN_AT_TERM)
    term_at = now()
    if case.trouble:
        relay.signal(SIGTERM)
        await asyncio.sleep(0.2)
        if "replace" not in os.environ.get("WITHOUT", ""):
            platform.change(first.entry("Terminating", CAPACITY), replacement.entry(rate=CAPACITY))
            await asyncio.sleep(2.0)
            platform.change(first.entry("Gone", CAPACITY))
        await asyncio.sleep(term_at + 3.7 - now())
        relay.signal(SIGKILL)
        await relay.wait()
    await asyncio.sleep(term_at + RETURNS_AFTER - now())
    if cold.failed_calls < 3:
        raise CouldNotRun("the relay has not seen the outage")
    case.record.line(f"the destination is back, after {cold.failed_calls} failed calls")
    cold.down, cold.returned_at = False, now()
    if case.trouble:
        await asyncio.sleep(term_at + 4.3 - now())
        await relay.start()
    await asyncio.sleep(AFTER)
    await traffic
    case.record.say(f"calls to the cold destination since its return: {len(cold.arrivals)}")
    most = max((sum(at <= other < at + FALL for other in cold.arrivals) for at in cold.arrivals), default=0)
    case.record.say(f"most of them in {FALL} s: {most}")
    if cold.fell:
        case.record.say(f"BROKEN: {cold.fell}; all of the calls came from the relay that had seen it fail")
        return 3
    case.record.say("HELD: the destination did not fall over")
    return 0


main(play)
