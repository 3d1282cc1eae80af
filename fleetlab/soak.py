"""The soak: real relays under series of signals, connection floods, wall-clock steps and failing disks.

It uses the stand-ins, clients and rules of the scale run, with a scenario that the seed determines. Rules
that depend on a clock fail a run only with ``judge_time``.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import random
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import repeat
from pathlib import Path
from signal import SIGHUP, SIGTERM, Signals
from typing import Annotated

import typer

from fleetlab.faulty import FAULTS_FILE, Faults
from fleetlab.fleet import Plan
from fleetlab.realrelays import RealRelay
from fleetlab.scale import Options, ScaleRun

LENGTH = 14.0  # seconds of traffic
FIRST_SIGNAL_DELAY = (1.2, 2.5)  # seconds after the start; no SIGHUP is sent in the first second
SERIES_INTERVAL = (1.2, 4.0)  # seconds from the end of a restart to the next series
SIGNAL_SERIES: tuple[Sequence[Signals], ...] = ((), (SIGTERM,), (SIGTERM, SIGHUP, SIGTERM), (SIGHUP, SIGTERM))
CLOCK_STEPS = (5.0, -5.0, 3600.0, -3600.0)  # seconds
DISK_ERRORS = (errno.ENOSPC, errno.EIO, errno.EDQUOT)
FAULT_DURATION = (0.2, 1.5)  # seconds
FAULT_INTERVAL = (0.5, 3.0)  # seconds between two faults
FLOOD_CONNECTIONS = 400  # clients that connect and stay idle or send part of a request
PARTIAL_REQUEST = b"*5\r\n$7\r\nENQ"
COMMAND = f"exec {sys.executable} -m fleetlab.faulty"


@dataclass(frozen=True, slots=True)
class Scenario:
    """What a seed determines."""

    plan: Plan
    clock_steps: bool
    disk_faults: bool
    connection_flood: bool

    @classmethod
    def draw(cls, seed: int) -> Scenario:
        rng = random.Random(f"scene {seed}")
        plan = Plan(
            seed=seed,
            length=LENGTH,
            destinations=rng.choice([4, 8, 16]),
            relays=rng.choice([1, 2, 3]),
            hollow=0,
            rate=rng.choice([20.0, 50.0, 90.0]),
            load=rng.uniform(0.4, 1.1),
            down=0.15,
            outage=3.0,
            speedup=rng.choice([10.0, 300.0]),
            restarts=0,
            hollow_restarts=0,
            discovery_down=rng.choice([0.0, 0.0, 4.0]),
            deadline=rng.choice([4.0, 8.0]),
        )
        return cls(plan, rng.random() < 0.5, rng.random() < 0.5, rng.random() < 0.3)

    def __str__(self) -> str:
        labels = {
            "clock": self.clock_steps,
            "disk": self.disk_faults,
            "connection flood": self.connection_flood,
        }
        return "+".join(name for name, enabled in labels.items() if enabled) or "signals only"


class SoakRun(ScaleRun):
    """The run of one seed. ``play`` can be called once."""

    def __init__(self, scenario: Scenario, judge_time: bool = False) -> None:
        super().__init__(scenario.plan, Options(COMMAND, judge_time=judge_time, quiet=True))
        self.scenario = scenario
        self.series_count = 0
        self.fault_count = 0

    def _make_relay(self, name: str, folder: Path) -> RealRelay:
        relay = super()._make_relay(name, folder)
        relay.environment[FAULTS_FILE] = str(folder / "faults.json")
        return relay

    async def _restarts(self, number: int) -> None:
        """Send series of signals to one relay until the traffic ends, next to the faults of the scenario."""
        rng = random.Random(f"relay {self.plan.seed} {number}")
        relay = self.relays[number]
        if self.scenario.clock_steps or self.scenario.disk_faults:
            self._spawn(self._inject_faults(relay, random.Random(f"faults {self.plan.seed} {number}")))
        if self.scenario.connection_flood and number == 0:
            self._spawn(self._flood_connections(relay))
        await asyncio.sleep(rng.uniform(*FIRST_SIGNAL_DELAY))
        while self._elapsed() < LENGTH - 1.0:
            series = rng.choice(SIGNAL_SERIES)
            if series[:1] == (SIGHUP,):
                relay.send_signal(SIGHUP)
                await asyncio.sleep(rng.uniform(0.0, 0.3))
                series = series[1:]
            await self._restart_with_signals(relay, series)
            self.series_count += 1
            await asyncio.sleep(rng.uniform(*SERIES_INTERVAL))

    async def _restart_with_signals(self, relay: RealRelay, series: Sequence[Signals]) -> None:
        self.ledger.relay_restarting(relay.name)
        self.endpoints.forget_waits(relay.name)
        await relay.restart(killed=not series, more=series[1:], use_open_connections=True)
        self.endpoints.forget_waits(relay.name)
        self.ledger.relay_ready(relay.name, asyncio.get_running_loop().time())

    async def _inject_faults(self, relay: RealRelay, rng: random.Random) -> None:
        """Step the relay's wall clock and let its disk fail for short periods, until the traffic ends."""
        path, clock_step = Path(relay.environment[FAULTS_FILE]), 0.0
        while self._elapsed() < LENGTH:
            await asyncio.sleep(rng.uniform(*FAULT_INTERVAL))
            if self.scenario.clock_steps:
                clock_step = rng.choice(CLOCK_STEPS)
            disk_error = rng.choice(DISK_ERRORS) if self.scenario.disk_faults else 0
            Faults(clock_step, disk_error).write_to(path)
            self.fault_count += 1
            await asyncio.sleep(rng.uniform(*FAULT_DURATION))
            Faults(clock_step, 0).write_to(path)

    async def _flood_connections(self, relay: RealRelay) -> None:
        """Open many connections at once, and again once closed; half of them send part of a request."""
        await asyncio.gather(
            *(self._hold_connection(relay, index % 2 == 1) for index in range(FLOOD_CONNECTIONS))
        )

    async def _hold_connection(self, relay: RealRelay, sends_partial: bool) -> None:
        while self._elapsed() < LENGTH:
            writer = None
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(relay.pool.host, relay.pool.port)
                if sends_partial:
                    writer.write(PARTIAL_REQUEST)
                await reader.read()
            if writer is not None:
                writer.transport.abort()
            await asyncio.sleep(1.0)

    def _elapsed(self) -> float:
        """Return the seconds since the traffic began."""
        return asyncio.get_running_loop().time() - self.traffic_began_at


def play(seed: int, judge_time: bool = False) -> tuple[int, bool, str]:
    """Play one seed. Return the seed, whether it passed, and a report of several lines.

    Rules that depend on a clock are judged only with ``judge_time``.
    """
    return asyncio.run(_play(seed, judge_time))


async def _play(seed: int, judge_time: bool) -> tuple[int, bool, str]:
    scenario = Scenario.draw(seed)
    run = SoakRun(scenario, judge_time)
    result = await run.play()
    counts = run.ledger.counts
    lines = [
        f"seed {seed}: {'passed' if result.passed else 'FAILED'}: {scenario}, {scenario.plan.relays} relays, "
        f"{run.series_count} series of signals, {run.fault_count} faults, {counts.taken} accepted, "
        f"{counts.delivered} delivered, {counts.bounced} bounced, {counts.dead} dead, "
        f"timed {dict(result.timed)}"
    ]
    lines += [f"  {reason}" for reason in result.why_not]
    if not result.passed or result.timed:
        lines += [f"  {violation}" for violation in result.violations]
    return seed, result.passed, "\n".join(lines)


def soak(
    seeds: Annotated[int, typer.Option(min=1, help="number of seeds to play")] = 2,
    first: Annotated[int, typer.Option(min=0, help="the first seed")] = 1,
    jobs: Annotated[int, typer.Option(min=1, max=8, help="seeds played at the same time")] = 1,
    judge_time: Annotated[bool, typer.Option(help="also judge rules that depend on a clock")] = True,
) -> None:
    """Play real relays under signals, connection floods, clock steps and failing disks, and judge them."""
    failed = []
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as workers:
        for seed, passed, lines in workers.map(play, range(first, first + seeds), repeat(judge_time)):
            print(lines, flush=True)
            if not passed:
                failed.append(seed)
    print(f"soak: {seeds - len(failed)} of {seeds} seeds passed; failed: {failed or 'none'}")
    raise typer.Exit(1 if failed else 0)
