"""Hollow relays: many in one process, each a real ``Pacer`` with no journal and no clients' door.

To discovery and to destinations a hollow relay is like any other: it watches the list, its calls go over HTTP
on connections of its own, count against a destination's limit and heed what it is told, and it is restarted.
What it lacks is clients on sockets: its own messages are drawn beforehand, and its ``Pacer`` is given only
the lines of the destinations that they name. So its memory follows its messages and not the list, and
hundreds fit where the whole list would take hundreds of MB each. A cheaper model than the ``Pacer`` was not
taken: it would have to be kept like it, and a destination's limit is shared by what the relays decide.

The process reads one JSON line from its standard input, says that it is ready, and starts on the next line.
It writes its counts every second and ends, with its figures, when its standard input does.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import math
import os
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import numpy as np
from hdrh.histogram import HdrHistogram

from fleetlab.endpoints import HOLLOW_HEADER
from fleetlab.fleet import NS, Fleet, Plan, Restart, unused_address
from fleetlab.realrelays import DOWN_TIME, ROOT, end_with_parent, settle_memory
from starlingwick import interface as io
from starlingwick.control import Pacer
from starlingwick.settings import parse_settings

STOP_TIME = 3.0  # seconds from SIGTERM to a relay's end
START_TIME = 1.0  # seconds that a start takes
SILENCE = 3.0  # seconds without a line: a watch is dead
WATCH_AGAIN = 0.1  # seconds after a watch has ended, and twice as long after each further one
WATCH_LATEST = 4.0
MOST_LINE = 1 << 28
STATES = {
    "Ready": io.Availability.RUNNING,
    "Terminating": io.Availability.STOPPING,
    "Gone": io.Availability.DELETED,
}
LABEL = "hollow"
REPORT_EVERY = 1.0  # seconds


@dataclass(frozen=True, slots=True)
class Spec:
    """What a process of hollow relays is told at its start."""

    plan: Mapping[str, Any]
    numbers: tuple[int, ...]  # of its relays
    agent: str  # host:port
    index: int  # of the list that all start from
    addresses: Mapping[str, str]  # by endpoint, of those that are served


@dataclass(slots=True)
class Counts:
    offered: int = 0
    elsewhere: int = 0  # came while the relay was down
    delivered: int = 0
    dead: int = 0
    refused: int = 0
    calls: int = 0
    full: int = 0
    failed: int = 0  # calls that ended in any other way than well or refused
    probes: int = 0
    restarts: int = 0
    watches: int = 0
    wholes: int = 0
    control_bytes: int = 0


@dataclass(slots=True)
class Held:
    """A message of a hollow relay."""

    dest: int
    key: str
    due: int  # nanoseconds
    at: int
    body: bytes
    attempts: int = 0
    ran_at: int | None = None
    calls: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    called_off: set[int] = field(default_factory=set)  # attempts


@functools.lru_cache(maxsize=64)
def decoded(line: bytes) -> Any:
    """A line of the watch: hundreds of relays in this process get the same one."""
    return json.loads(line)


class Process:
    """What the hollow relays of this process share: the fleet on paper, and their figures."""

    def __init__(self, spec: Spec) -> None:
        self.spec = spec
        self.plan = Plan.model_validate(spec.plan)
        self.fleet = Fleet(self.plan)
        self.counts = Counts()
        self.delivery = HdrHistogram(1, 3_600_000_000, 3)  # microseconds
        self.lateness = HdrHistogram(1, 3_600_000_000, 3)
        self.heard: dict[int, list[tuple[float, float]]] = {}
        """By version: when each relay had it, and when that relay had started, both monotonic seconds."""
        self.begun = 0
        self.closing = False
        seeds = self.fleet.seeds("hollow", self.plan.hollow)
        self.relays = {n: Hollow(self, n, seeds[n]) for n in spec.numbers}
        self.tasks: list[asyncio.Task[None]] = []

    async def play(self, commands: asyncio.StreamReader, say: Callable[[Mapping[str, Any]], None]) -> None:
        for relay in self.relays.values():
            relay.start_up([])
        async with asyncio.timeout(60):
            while not all(relay.watched for relay in self.relays.values()):
                await asyncio.sleep(0.02)
        settle_memory()
        say({"ready": len(self.relays)})
        if not (line := await commands.readline()):
            return
        self.begun = int(json.loads(line)["begin"] * NS)
        loop = asyncio.get_running_loop()
        for relay in self.relays.values():
            self.tasks.append(loop.create_task(relay.take_messages()))
        self.tasks.append(loop.create_task(self._restarts()))
        self.tasks.append(loop.create_task(self._report(say)))
        while await commands.readline():
            pass
        self.closing = True
        for task in self.tasks:
            task.cancel()
        held = sum(len(relay.held) for relay in self.relays.values())
        for relay in self.relays.values():
            await relay.die()
        say(
            {
                "counts": asdict(self.counts),
                "held": held,
                "heard": self.heard,
                "delivery": self.delivery.encode().decode(),
                "lateness": self.lateness.encode().decode(),
            }
        )

    async def _report(self, say: Callable[[Mapping[str, Any]], None]) -> None:
        while True:
            await asyncio.sleep(REPORT_EVERY)
            say({"counts": asdict(self.counts)})

    async def _restarts(self) -> None:
        async with asyncio.TaskGroup() as group:
            for restart in self.fleet.restarts:
                if restart.hollow and restart.relay in self.relays:
                    group.create_task(self._restart(restart))

    async def _restart(self, restart: Restart) -> None:
        await asyncio.sleep(max(0.0, (self.begun - time.monotonic_ns()) / NS + restart.at))
        await self.relays[restart.relay].restart(restart.killed)


class Hollow:
    """One hollow relay."""

    def __init__(self, process: Process, number: int, seed: np.random.SeedSequence) -> None:
        self.process = process
        self.name = f"h{number}"
        self.rng = np.random.Generator(np.random.PCG64(seed))
        fleet, plan = process.fleet, process.plan
        self.zones = {name: n for n, name in enumerate(fleet.zone_names)}
        self.settings = parse_settings(fleet.settings(max(plan.hollow_rate, 0.1), number % len(self.zones)))
        self.kinds = {name: n for n, name in enumerate(fleet.settings(1.0)["kinds"])}
        count = int(self.rng.poisson(plan.hollow_rate * plan.length))
        shares = np.array([dest.share for dest in fleet.drawn])
        chosen = self.rng.choice(len(fleet.drawn), count, p=shares / shares.sum())
        times = np.sort(self.rng.uniform(0, plan.length, count))
        self.messages = [(float(at), fleet.drawn[int(n)].number) for at, n in zip(times, chosen, strict=True)]
        self.dests = {dest for _, dest in self.messages}
        self.known = tuple(
            io.EndpointEntry(
                endpoint.name,
                self.zones[endpoint.zone],
                self.kinds[dest.kind],
                dest.number,
                io.Availability.RUNNING,
                dest.listed,
            )
            for dest in fleet.drawn
            if dest.number in self.dests
            for endpoint in dest.endpoints
        )
        self.addresses = {
            entry.endpoint: process.spec.addresses.get(entry.endpoint, unused_address(0))
            for entry in self.known
        }
        self.held: dict[str, Held] = {}
        self.index = process.spec.index
        self.up = False
        self.watched = False
        self.alive_from = 0.0
        self.restarting = False
        self.pacer: Pacer | None = None
        self.session: aiohttp.ClientSession | None = None
        self.inbox: list[io.Event] = []
        self.turn_due = False
        self.watcher: asyncio.Task[None] | None = None
        self.timers: set[asyncio.TimerHandle] = set()
        self.probing: set[asyncio.Task[None]] = set()
        self.life = 0

    # ---- its life

    def start_up(self, recovered: list[io.Event]) -> None:
        """A new process under the same name: it knows the list that its configuration holds."""
        self.life += 1
        self.alive_from = time.monotonic()
        self.pacer = Pacer(self.settings, int(self.rng.integers(1 << 62)))
        self.index = self.process.spec.index
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=8, force_close=False),
            headers={HOLLOW_HEADER: self.name},
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        self.up = True
        self.post(io.EndpointUpdate(io.UpdateScope.CACHED, self.known), *recovered)
        self.watcher = asyncio.get_running_loop().create_task(self._watch())

    async def die(self) -> None:
        """Its process is gone: nothing of it is out any more."""
        self.up = self.watched = False
        self.pacer = None
        self.inbox.clear()
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        tasks = [call for message in self.held.values() for call in message.calls.values()]
        tasks += list(self.probing)
        if self.watcher is not None:
            tasks.append(self.watcher)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for message in self.held.values():
            message.calls.clear()
        if self.session is not None:
            await self.session.close()

    async def restart(self, killed: bool) -> None:
        """As the platform does it. What it held is on record, and picked up again."""
        if self.restarting:
            return
        self.restarting = True
        self.process.counts.restarts += 1
        if not killed:
            now = time.monotonic_ns()
            self.post(io.ShutdownStarted(now + int(STOP_TIME * NS), now + int((STOP_TIME + 2) * NS)))
            end = time.monotonic() + STOP_TIME
            while time.monotonic() < end and self.held:
                await asyncio.sleep(0.05)
        await self.die()
        await asyncio.sleep(DOWN_TIME + START_TIME)
        now = time.monotonic_ns()
        recovered: list[io.Event] = [
            io.MessageRecovered(
                ref,
                0,
                held.dest,
                held.key,
                held.due - now,
                held.attempts,
                None if held.ran_at is None else now - held.ran_at,
                -1,
            )
            for ref, held in self.held.items()
        ]
        self.start_up(recovered)
        self.restarting = False

    async def take_messages(self) -> None:
        """What is handed in to it."""
        process, patience = self.process, int(self.process.plan.deadline * NS)
        for n, (at, dest) in enumerate(self.messages):
            due = process.begun / NS + at
            wait = due - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            process.lateness.record_value(max(1, round((time.monotonic() - due) * 1e6)))
            process.counts.offered += 1
            if not self.up or self.restarting:
                process.counts.elsewhere += 1
                continue
            now, ref = time.monotonic_ns(), f"{self.name}-{n:06x}"
            self.held[ref] = Held(dest, f"k-{ref}", now + patience, now, b"%s:" % ref.encode() * (1 + n % 40))
            self.post(io.MessageArrived(ref, 0, 0, dest, f"k-{ref}", patience))

    # ---- its decisions

    def post(self, *events: io.Event) -> None:
        if self.up:
            self.inbox.extend(events)
            if not self.turn_due:
                self.turn_due = True
                asyncio.get_running_loop().call_soon(self._turn)

    def _turn(self) -> None:
        self.turn_due = False
        if self.pacer is None or not self.inbox:
            return
        events, self.inbox = self.inbox, []
        for action in self.pacer.handle(time.monotonic_ns(), events):
            self._do(action)

    def _do(self, action: io.Action) -> None:
        loop = asyncio.get_running_loop()
        counts = self.process.counts
        match action:
            case io.Send(call, host, stop_at):
                message = self.held[call]
                attempt = message.attempts
                message.attempts += 1
                message.calls[attempt] = loop.create_task(self._call(call, message, attempt, host, stop_at))
            case io.Cancel(call, attempt):
                held = self.held.get(call)
                if held is not None and attempt in held.calls:
                    held.called_off.add(attempt)
                    held.calls[attempt].cancel()
            case io.Probe(host, stop_at):
                probe = loop.create_task(self._probe(host, stop_at))
                self.probing.add(probe)
                probe.add_done_callback(self.probing.discard)
            case io.SetTimer(after, token):
                self._later(after / NS, lambda: self.post(io.TimerExpired(token)))
            case io.Reject(call, _):
                counts.refused += 1
                self.held.pop(call, None)
            case io.Fail(call):
                counts.dead += 1
                self.held.pop(call, None)
            case io.CloseIdleConnections() | io.Subscribe() | io.Log():
                pass  # idle connections close by themselves, it always watches, and nobody reads its log

    def _later(self, seconds: float, do: Callable[[], None]) -> None:
        def fire() -> None:
            self.timers.discard(timer)
            do()

        timer = asyncio.get_running_loop().call_later(seconds, fire)
        self.timers.add(timer)

    # ---- its calls

    async def _call(self, ref: str, held: Held, attempt: int, host: str, stop_at: int) -> None:
        life, begun, counts = self.life, time.monotonic_ns(), self.process.counts
        counts.calls += 1
        stop_at = min(stop_at or held.due, held.due)
        if held.ran_at is None:
            held.ran_at = begun  # until its outcome proves that it never ran
        seconds = max(0.001, (stop_at - begun) / NS)
        headers = {"X-Request-ID": ref, "Idempotency-Key": held.key, "X-Timeout-Ms": str(int(seconds * 1000))}
        try:
            status, wait = await self._exchange("POST", host, "/hook", seconds, headers, held.body)
        except asyncio.CancelledError:
            if attempt not in held.called_off or life != self.life:
                raise
            status, wait = io.Status.CANCELLED, 0
        if life != self.life or not self.up:
            return
        held.calls.pop(attempt, None)
        now = time.monotonic_ns()
        if status in (io.Status.FULL, io.Status.CONNECT_FAILED, io.Status.MOOT) and held.ran_at == begun:
            held.ran_at = None
        done = status is io.Status.OK
        counts.full += status is io.Status.FULL
        counts.failed += status not in (io.Status.OK, io.Status.FULL)
        if done and self.held.pop(ref, None) is not None:
            counts.delivered += 1
            self.process.delivery.record_value(max(1, (now - held.at) // 1000))
        self.post(
            io.AttemptEnded(ref, attempt, host, status, now - begun, done, wait * 1_000_000, False, None)
        )

    async def _probe(self, host: str, stop_at: int) -> None:
        begun = time.monotonic_ns()
        self.process.counts.probes += 1
        seconds = max(0.001, (stop_at - begun) / NS) if stop_at else 1.5
        status, _ = await self._exchange("GET", host, "/-/healthy", seconds, {}, None)
        self.post(io.ProbeEnded(host, status, time.monotonic_ns() - begun, None))

    async def _exchange(
        self,
        method: str,
        host: str,
        path: str,
        seconds: float,
        headers: Mapping[str, str],
        body: bytes | None,
    ) -> tuple[io.Status, int]:
        """How a call ended, and the wait that it was told, in milliseconds."""
        assert self.session is not None
        limit = aiohttp.ClientTimeout(
            total=seconds, sock_connect=self.settings.limits.connect_timeout / NS, ceil_threshold=math.inf
        )
        url = f"http://{self.addresses.get(host, unused_address(0))}{path}"
        try:
            async with self.session.request(method, url, data=body, headers=headers, timeout=limit) as answer:
                await answer.read()
                return outcome(answer.status, answer.headers.get("X-Backoff-Ms", ""))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return io.Status.CONNECT_FAILED, 0
        except TimeoutError:
            return io.Status.TIMEOUT, 0
        except (aiohttp.ClientError, OSError):
            return io.Status.RESET, 0

    # ---- its list

    async def _watch(self) -> None:
        failures = 0
        while True:
            try:
                await self._follow()
            except (aiohttp.ClientError, OSError, TimeoutError):
                failures += 1
            else:
                failures = 0
            if self.watched:
                failures, self.watched = 0, False
            wait = min(WATCH_LATEST, WATCH_AGAIN * 2**failures)
            await asyncio.sleep(wait * float(self.rng.uniform(0.5, 1)))

    async def _follow(self) -> None:
        assert self.session is not None
        counts, pending = self.process.counts, bytearray()
        limit = aiohttp.ClientTimeout(total=None, sock_connect=2.0, sock_read=None)
        url = f"http://{self.process.spec.agent}/api/targets?follow=1&since={self.index}"
        async with self.session.get(url, timeout=limit) as answer:
            if answer.status != 200:
                return
            counts.watches += 1
            self.watched = True
            while True:
                async with asyncio.timeout(SILENCE):
                    piece = await answer.content.readany()
                if not piece or len(pending) > MOST_LINE:
                    return
                counts.control_bytes += len(piece)
                pending += piece
                if b"\n" in piece:
                    *lines, rest = bytes(pending).split(b"\n")
                    pending = bytearray(rest)
                    for line in lines:
                        if line.strip():
                            self._news(decoded(line))

    def _news(self, raw: Mapping[str, Any]) -> None:
        index, whole = int(raw["index"]), bool(raw["snapshot"])
        now = time.monotonic()
        if self.process.begun:
            for version in range(self.index + 1, index + 1):
                self.process.heard.setdefault(version, []).append((now, self.alive_from))
        self.process.counts.wholes += whole
        self.index = index
        entries = []
        for line in raw["endpoints"]:
            if line["group"] in self.dests:
                self.addresses[line["name"]] = line["address"]
                entries.append(
                    io.EndpointEntry(
                        line["name"],
                        self.zones[line["zone"]],
                        self.kinds[line["type"]],
                        line["group"],
                        STATES[line["status"]],
                        float(line["weight"]),
                    )
                )
        if entries or whole:
            self.post(
                io.EndpointUpdate(io.UpdateScope.SNAPSHOT if whole else io.UpdateScope.DELTA, tuple(entries))
            )


def outcome(status: int, told: str) -> tuple[io.Status, int]:
    """What an answer says of a call, and the wait that it tells, in milliseconds."""
    match status:
        case 200:
            return io.Status.OK, 0
        case 429:
            return io.Status.FULL, int(told) if told.isascii() and told.isdigit() else 0
        case 503:
            return io.Status.FULL, 0
        case 504:
            return io.Status.MOOT, 0
    return io.Status.ERROR, 0


# ---- from the run's side


class Hollows:
    """The processes of hollow relays, as the run sees them."""

    def __init__(self, plan: Plan, count: int) -> None:
        self.plan = plan
        self.count = min(count, plan.hollow)
        self.children: list[asyncio.subprocess.Process] = []
        self.latest: list[dict[str, Any]] = []
        self.ready = 0
        self._readers: list[asyncio.Task[None]] = []

    async def start(self, agent: str, index: int, addresses: Mapping[str, str], log: Path) -> None:
        """All watch the list when this returns; ChildProcessError or TimeoutError where they don't."""
        for n in range(self.count):
            with log.open("ab") as errors:
                child = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "fleetlab.hollow",
                    cwd=ROOT,
                    stdin=asyncio.subprocess.PIPE,
                    stdout=asyncio.subprocess.PIPE,
                    stderr=errors,
                    limit=MOST_LINE,
                    preexec_fn=as_hollow,
                )
            self.children.append(child)
            self.latest.append({"counts": {}})
            self._readers.append(asyncio.get_running_loop().create_task(self._read(n, child)))
            spec = Spec(
                self.plan.model_dump(), tuple(range(n, self.plan.hollow, self.count)), agent, index, addresses
            )
            self._write(child, asdict(spec))
        async with asyncio.timeout(90):
            while self.ready < self.count:
                if any(child.returncode is not None for child in self.children):
                    raise ChildProcessError("a process of hollow relays ended before it was ready")
                await asyncio.sleep(0.05)

    def begin(self, at: float) -> None:
        """The traffic begins at that monotonic time."""
        for child in self.children:
            self._write(child, {"begin": at})

    async def stop(self) -> bool:
        """Whether all ended by themselves, with their figures."""
        for child in self.children:
            if child.stdin is not None:
                child.stdin.close()
        well = True
        for child in self.children:
            try:
                async with asyncio.timeout(15):
                    well = await child.wait() == 0 and well
            except TimeoutError:
                child.kill()
                await child.wait()
                well = False
        await asyncio.gather(*self._readers, return_exceptions=True)
        return well

    def total(self, name: str) -> int:
        return sum(int(latest["counts"].get(name, 0)) for latest in self.latest)

    @staticmethod
    def _write(child: asyncio.subprocess.Process, what: Mapping[str, Any]) -> None:
        assert child.stdin is not None
        child.stdin.write(json.dumps(what).encode() + b"\n")

    async def _read(self, n: int, child: asyncio.subprocess.Process) -> None:
        assert child.stdout is not None
        while line := await child.stdout.readline():
            said = json.loads(line)
            if "ready" in said:
                self.ready += 1
            else:
                self.latest[n] = said


def as_hollow() -> None:
    """In the child: an end with us, however we end. Ctrl-C is ours to hear."""
    os.setpgid(0, 0)
    end_with_parent()


async def serve() -> None:
    """One process of hollow relays."""
    loop = asyncio.get_running_loop()
    commands = asyncio.StreamReader(limit=MOST_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    line = await commands.readline()

    def say(what: Mapping[str, Any]) -> None:
        sys.stdout.write(json.dumps(what, separators=(",", ":")) + "\n")
        sys.stdout.flush()

    if line:
        await Process(Spec(**json.loads(line))).play(commands, say)


if __name__ == "__main__":
    with contextlib.suppress(BrokenPipeError, KeyboardInterrupt):
        asyncio.run(serve())
