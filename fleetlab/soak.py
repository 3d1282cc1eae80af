"""A soak: real relays under series of signals, crowds, steps of the wall clock and failing disks.

It plays the scale run's stand-ins, clients and judge with what the seed draws, and judges by counting alone.
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
FIRST_SIGNAL = (1.2, 2.5)  # seconds from the start; SIGHUP comes no sooner than a second behind it
BETWEEN_SIGNALS = (1.2, 4.0)  # seconds from a restart's end to the next
SERIES: tuple[Sequence[Signals], ...] = ((), (SIGTERM,), (SIGTERM, SIGHUP, SIGTERM), (SIGHUP, SIGTERM))
CLOCK_STEPS = (5.0, -5.0, 3600.0, -3600.0)  # seconds
DISK_ERRORS = (errno.ENOSPC, errno.EIO, errno.EDQUOT)
FAULT_LASTS = (0.2, 1.5)  # seconds that a disk fails
FAULT_EVERY = (0.5, 3.0)  # seconds between two faults
CROWD = 400  # clients that connect and rest, or send half a request
HALF_A_REQUEST = b"*5\r\n$7\r\nENQ"
COMMAND = f"exec {sys.executable} -m fleetlab.faulty"


@dataclass(frozen=True, slots=True)
class Scene:
    """What a seed draws."""

    plan: Plan
    clock_steps: bool
    disk_faults: bool
    crowd: bool

    @classmethod
    def draw(cls, seed: int) -> Scene:
        draw = random.Random(f"scene {seed}")
        plan = Plan(
            seed=seed,
            length=LENGTH,
            destinations=draw.choice([4, 8, 16]),
            relays=draw.choice([1, 2, 3]),
            hollow=0,
            rate=draw.choice([20.0, 50.0, 90.0]),
            load=draw.uniform(0.4, 1.1),
            down=0.15,
            outage=3.0,
            speedup=draw.choice([10.0, 300.0]),
            restarts=0,
            hollow_restarts=0,
            discovery_down=draw.choice([0.0, 0.0, 4.0]),
            deadline=draw.choice([4.0, 8.0]),
        )
        return cls(plan, draw.random() < 0.5, draw.random() < 0.5, draw.random() < 0.3)

    def __str__(self) -> str:
        named = {"clock": self.clock_steps, "disk": self.disk_faults, "crowd": self.crowd}
        return "+".join(name for name, drawn in named.items() if drawn) or "signals alone"


class SoakRun(ScaleRun):
    """One seed's run. ``play`` it once."""

    def __init__(self, scene: Scene, judge_time: bool = False) -> None:
        super().__init__(scene.plan, Options(COMMAND, judge_time=judge_time, quiet=True))
        self.scene = scene
        self.series = 0
        self.faults = 0

    def _make_relay(self, name: str, folder: Path) -> RealRelay:
        relay = super()._make_relay(name, folder)
        relay.environment[FAULTS_FILE] = str(folder / "faults.json")
        return relay

    async def _restarts(self, number: int) -> None:
        """Befalls one relay until the traffic ends: signals, and beside them what else the seed draws."""
        draw = random.Random(f"relay {self.plan.seed} {number}")
        relay = self.relays[number]
        if self.scene.clock_steps or self.scene.disk_faults:
            self._spawn(self._befall(relay, random.Random(f"faults {self.plan.seed} {number}")))
        if self.scene.crowd and number == 0:
            self._spawn(self._crowd(relay))
        await asyncio.sleep(draw.uniform(*FIRST_SIGNAL))
        while self._passed() < LENGTH - 1.0:
            series = draw.choice(SERIES)
            if series[:1] == (SIGHUP,):
                relay.send_signal(SIGHUP)
                await asyncio.sleep(draw.uniform(0.0, 0.3))
                series = series[1:]
            await self._signal(relay, series)
            self.series += 1
            await asyncio.sleep(draw.uniform(*BETWEEN_SIGNALS))

    async def _signal(self, relay: RealRelay, series: Sequence[Signals]) -> None:
        self.ledger.relay_restarting(relay.name)
        self.endpoints.forget_waits(relay.name)
        await relay.restart(killed=not series, more=series[1:], keep_using=True)
        self.endpoints.forget_waits(relay.name)
        self.ledger.relay_ready(relay.name, asyncio.get_running_loop().time())

    async def _befall(self, relay: RealRelay, draw: random.Random) -> None:
        """Steps of its clock, and a disk that fails for a while."""
        path, step = Path(relay.environment[FAULTS_FILE]), 0.0
        while self._passed() < LENGTH:
            await asyncio.sleep(draw.uniform(*FAULT_EVERY))
            if self.scene.clock_steps:
                step = draw.choice(CLOCK_STEPS)
            number = draw.choice(DISK_ERRORS) if self.scene.disk_faults else 0
            Faults(step, number).put(path)
            self.faults += 1
            await asyncio.sleep(draw.uniform(*FAULT_LASTS))
            Faults(step, 0).put(path)

    async def _crowd(self, relay: RealRelay) -> None:
        """Connects all at once, and again where it is shut out; half of it sends a part of a request."""
        await asyncio.gather(*(self._one_of_a_crowd(relay, number % 2 == 1) for number in range(CROWD)))

    async def _one_of_a_crowd(self, relay: RealRelay, writes: bool) -> None:
        while self._passed() < LENGTH:
            writer = None
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(relay.pool.host, relay.pool.port)
                if writes:
                    writer.write(HALF_A_REQUEST)
                await reader.read()
            if writer is not None:
                writer.transport.abort()
            await asyncio.sleep(1.0)

    def _passed(self) -> float:
        """Seconds since the traffic began."""
        return asyncio.get_running_loop().time() - self.begun


def play(seed: int, judge_time: bool = False) -> tuple[int, bool, str]:
    """The seed, whether no rule was broken, and lines that say what was played. Rules that depend on a clock
    are judged where ``judge_time`` is set."""
    return asyncio.run(_play(seed, judge_time))


async def _play(seed: int, judge_time: bool) -> tuple[int, bool, str]:
    scene = Scene.draw(seed)
    run = SoakRun(scene, judge_time)
    result = await run.play()
    counts = run.ledger.counts
    lines = [
        f"seed {seed}: {'passed' if result.passed else 'FAILED'}: {scene}, {scene.plan.relays} relays, "
        f"{run.series} series of signals, {run.faults} faults, {counts.taken} taken on, "
        f"{counts.delivered} delivered, {counts.bounced} bounced, {counts.dead} dead, "
        f"timed {dict(result.timed)}"
    ]
    lines += [f"  {why}" for why in result.why_not]
    if not result.passed or result.timed:
        lines += [f"  {violation}" for violation in result.violations]
    return seed, result.passed, "\n".join(lines)


def soak(
    seeds: Annotated[int, typer.Option(min=1, help="how many seeds are played")] = 2,
    first: Annotated[int, typer.Option(min=0, help="the first seed")] = 1,
    jobs: Annotated[int, typer.Option(min=1, max=8, help="seeds played at the same time")] = 1,
    judge_time: Annotated[bool, typer.Option(help="judge rules that depend on a clock as well")] = True,
) -> None:
    """Play real relays under signals, crowds, clock steps and failing disks, and judge them."""
    failed = []
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as workers:
        for seed, passed, lines in workers.map(play, range(first, first + seeds), repeat(judge_time)):
            print(lines, flush=True)
            if not passed:
                failed.append(seed)
    print(f"soak: {seeds - len(failed)} of {seeds} seeds passed; failed: {failed or 'none'}")
    raise typer.Exit(1 if failed else 0)
