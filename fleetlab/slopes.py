"""What a relay costs against its sizes, measured: each size in a process of its own, a line through them.

Measurements of a real relay start it by the deploy file's ``run`` and read the kernel's figures for its
process; the others run the Pacer or the journal alone. Processor time is the process's own; what is wall
clock says so in its name. Names of figures hold their unit: ``_mb`` (10^6 bytes), ``_s``, ``_ms``, ``_us``,
``_share`` (processor seconds a second).
"""

from __future__ import annotations

import asyncio
import gc
import heapq
import json
import os
import platform
import random
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated, Any

import hiredis
import typer

from fleetlab import fit
from fleetlab.agent import Agent, Told
from fleetlab.clients import packed
from fleetlab.realrelays import free_port, run_command
from garnetrelay import discovery
from garnetrelay.catalog import Catalog
from garnetrelay.clock import monotonic_ms
from garnetrelay.journal import JournalEntry, Journal
from starlingwick import interface as io
from starlingwick.control import Pacer
from starlingwick.settings import parse_settings

ROOT = Path(__file__).parent.parent
COMMAND = "FLEETLAB_COMMAND"  # in the environment: starts a real relay, in place of the deploy file's ``run``
SECOND = 1_000_000_000
MS = 1_000_000

ENDPOINTS_EACH = 1.4  # of a destination, in the mean
RELAYS = 2_400  # of the target, as the settings have it
TRAFFIC = 7.5  # messages a second for one destination, from all relays
BODY = b"x" * 200
MEMORY_MB = 8192  # that a relay is allowed: a limit must not end a measurement
PIECE = 65_536  # bytes that a relay reads at a time
IN_TURN = 0.13  # seconds that discovery takes for a call, where it works through them one by one
READY_WITHIN = 120.0  # seconds for a relay to start in
LIST_WITHIN = 20.0  # seconds for a watch to bring the whole list: what takes longer has failed
SETTLE = 1.0  # seconds between a relay's start and the first look at its figures
LOOK = 5.0  # seconds over which a share is taken
AT_REST = 0.05  # of a core: less is what an idle relay takes

GONE = (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError)  # its peer, or the measurement

Figures = dict[str, float | None]  # None: not reached
Results = dict[str, dict[str, Any]]  # by measurement: what ``run`` gives


def facts(most_held: int = 1_000_000) -> dict[str, Any]:
    """The target's settings, in the form of a relay's configuration."""
    return {
        "azs": [f"z{n:02}" for n in range(15)],
        "kinds": ["m2"],
        "balancers": RELAYS,
        "discovery": "automatic",
        "weightSource": "list",
        "classes": [
            {
                "name": "event",
                "aim": 3 * SECOND,
                "deadline": 600 * SECOND,
                "worth": 1.0,
                "lateWorth": 0.4,
                "idempotency": "dedup",
                "keyScope": "all",
                "repeatWindow": 600 * SECOND,
            }
        ],
        "familyInfo": {"callsOut": 300},
        "rules": {
            "fall": 2 * SECOND,
            "fallMultiple": 2.0,
            "rampTime": 14 * SECOND,
            "startCapacity": 0.2,
            "drainGrace": SECOND // 2,
        },
        "limits": {
            "mostHeld": most_held,
            "mostTries": 12,
            "connectTimeout": SECOND,
            "connIdle": 10 * SECOND,
            "maxRetryAfter": 3 * SECOND,
            "retryAfter": True,
            "probes": True,
            "cancel": True,
        },
    }


Line = dict[str, Any]  # of the list


def endpoints(destinations: int, seed: int, each: float = ENDPOINTS_EACH, address: str = "") -> list[Line]:
    """The list's lines for so many destinations. Without an address, each has one of its own on the loopback
    network where nobody listens."""
    draw = random.Random(seed)
    return [
        {
            "name": f"s-{draw.getrandbits(32):08x}{i:x}",
            "zone": f"z{draw.randrange(15):02}",
            "type": "m2",
            "address": address or f"127.{1 + (i >> 16 & 127)}.{i >> 8 & 255}.{i & 255}:6379",
            "group": i % destinations,
            "status": "Ready",
            "weight": 20.0,
            "since_ms": 0,
        }
        for i in range(max(destinations, int(destinations * each)))
    ]


def listing(index: int, whole: bool, lines: list[Line]) -> bytes:
    return json.dumps({"index": index, "snapshot": whole, "endpoints": lines}, separators=(",", ":")).encode()


# ---- what a real relay talks to


class World:
    """Discovery's agent, and destinations that answer 200 at once, for relays on this machine."""

    def __init__(self) -> None:
        self.ended = 0  # notices
        self.calls = 0  # that destinations have answered
        self.agent = Agent(())
        self.discovery = ""
        self.servers: list[asyncio.Server] = []

    async def start(self, lines: list[Line], call_time: float = 0.0) -> None:
        """``call_time`` as the agent has it: seconds for each call, one by one."""

        def note(ref: str, result: str, wait: int) -> None:
            self.ended += 1

        self.agent = Agent(lines, on_notice=note, call_time=call_time)
        self.discovery = await self.agent.listen("relays")

    @property
    def told(self) -> Told:
        """What went to all relays' watches."""
        return self.agent.told["relays"]

    async def destination(self) -> str:
        """The address of a destination that answers."""
        self.servers.append(await asyncio.start_server(self._answer, "127.0.0.1", 0, backlog=1024))
        return "127.0.0.1:%d" % self.servers[-1].sockets[0].getsockname()[1]

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                await reader.readexactly(int(head.split(b"content-length:")[1].split(b"\r\n")[0]))
                self.calls += 1
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except GONE:
            writer.transport.abort()


class Client:
    """One connection that hands messages in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.parser, self.count = reader, writer, hiredis.Reader(), 0

    def write(self, *words: str | bytes) -> None:
        self.writer.write(packed(*words))

    async def read(self) -> Any:
        while (answer := self.parser.gets()) is False:
            data = await self.reader.read(65536)
            if not data:
                raise ConnectionError("the relay has closed")
            self.parser.feed(data)
        return answer

    def hand_in(self, dest: int) -> None:
        self.count += 1
        ref = f"{id(self):x}{self.count:x}"
        self.write("ENQUEUE", "0", ref, f"c=event,d=600000,k={ref},dest={dest}", BODY)

    async def enqueue(self, dest: int) -> Any:
        self.hand_in(dest)
        return await self.read()


class Process:
    """A real relay, started as deployed; the kernel's figures for it."""

    def __init__(self, world: World, known: list[Line], folder: Path) -> None:
        self.folder = folder
        self.port = free_port()
        self.state = folder / "state"
        self.state.mkdir(exist_ok=True)
        config = folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": folder.name,
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": world.discovery,
                    "seed": "1",
                    "limits": {"memory_mb": MEMORY_MB, "sockets": 1024, "disk_mb": 4000},
                    "settings": facts(),
                    "list": {"keep": True},
                    "known": {
                        "index": world.agent.index if known else 0,
                        "snapshot": True,
                        "endpoints": known,
                    },
                }
            )
        )
        self.environment = {**os.environ, "RELAY_CONFIG": str(config), "RELAY_STATE": str(self.state)}
        self.child: subprocess.Popen[bytes] | None = None
        self.started = 0.0

    def start(self) -> None:
        run = os.environ.get(COMMAND) or run_command()
        self.started = time.monotonic()
        with open(self.folder / "log", "ab") as log:
            self.child = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=self.environment, stderr=log)

    async def ready(self) -> Client:
        """Once it answers PING. TimeoutError where it does not in time."""
        async with asyncio.timeout(READY_WITHIN):
            while True:
                try:
                    client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
                    client.write("PING")
                    await client.read()
                    return client
                except ConnectionError:
                    await asyncio.sleep(0.005)
                    if self.child is None or self.child.poll() is not None:
                        raise RuntimeError((self.folder / "log").read_text()[-2000:]) from None

    async def in_force(self, client: Client, dest: int) -> bool:
        """Wait until it takes a message for this destination on; False where that comes about too late."""
        until = time.monotonic() + LIST_WITHIN
        while time.monotonic() < until:
            if await client.enqueue(dest) == b"OK":
                return True
            await asyncio.sleep(0.01)
        return False

    @property
    def pid(self) -> int:
        assert self.child is not None
        return self.child.pid

    def processor(self) -> float:
        """Seconds of processor time so far, all threads."""
        return (
            sum(
                int((task / "schedstat").read_text().split()[0])
                for task in Path(f"/proc/{self.pid}/task").iterdir()
            )
            / SECOND
        )

    def resident(self, peak: bool = False) -> float:
        """10^6 bytes."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        return int(status.split("VmHWM:" if peak else "VmRSS:")[1].split()[0]) * 1024 / 1e6

    async def share(self, seconds: float = LOOK) -> float:
        """Processor seconds a second over the coming seconds."""
        start, before = time.monotonic(), self.processor()
        await asyncio.sleep(seconds)
        return (self.processor() - before) / (time.monotonic() - start)

    async def at_rest(self) -> float:
        """Wait until its list is on the disk and it has nothing more to do; for ten looks at most each, as a
        program may keep none. How much disk that list takes, 10^6 bytes."""
        file = self.state / "list"
        for _ in range(10):
            await asyncio.sleep(SETTLE)
            if file.exists():
                break
        for _ in range(10):
            if await self.share(SETTLE) < AT_REST:
                break
        return file.stat().st_size / 1e6 if file.exists() else 0.0

    def stop(self) -> None:
        if self.child is not None:
            self.child.kill()
            self.child.wait()


@asynccontextmanager
async def relay(world: World, known: list[Line], folder: Path) -> AsyncIterator[Process]:
    process = Process(world, known, folder)
    process.start()
    try:
        yield process
    finally:
        process.stop()


# ---- measurements of a real relay


async def list_known(size: int, seed: int, folder: Path) -> Figures:
    """A relay whose configuration holds the list."""
    lines = endpoints(size, seed)
    world = World()
    await world.start(lines)
    async with relay(world, lines, folder) as one:
        await one.ready()
        ready, processor = time.monotonic() - one.started, one.processor()
        await asyncio.sleep(SETTLE)
        resident = one.resident()
        return {
            "resident_mb": resident,
            "peak_mb": one.resident(peak=True),
            "processor_s": processor,
            "wall_ready_s": ready,
            "idle_share": await one.share(),
        }


async def last_answers(lines: list[Line], size: int, world: World) -> list[Line]:
    """With the last of so many destinations at an address that answers."""
    well = await world.destination()
    return [{**line, "address": well} if line["group"] == size - 1 else line for line in lines]


async def list_watch(size: int, seed: int, folder: Path, each: float = ENDPOINTS_EACH) -> Figures:
    """A relay that starts with no list, and gets it from its watch."""
    world = World()
    await world.start(await last_answers(endpoints(size, seed, each), size, world))
    async with relay(world, [], folder) as one:
        client = await one.ready()
        if not await one.in_force(client, size - 1):
            return {
                "resident_mb": None,
                "peak_mb": None,
                "processor_s": None,
                "wall_in_force_s": None,
                "list_mb": len(world.agent.whole()) / 1e6,
                "idle_share": None,
                "watches_in_vain": world.told.watches,
            }
        in_force, processor = time.monotonic() - one.started, one.processor()
        disk = await one.at_rest()
        resident, told = one.resident(), len(world.agent.whole()) / 1e6
        return {
            "resident_mb": resident,
            "peak_mb": one.resident(peak=True),
            "processor_s": processor,
            "processor_at_rest_s": one.processor(),
            "wall_in_force_s": in_force,
            "list_mb": told,
            "disk_mb": disk,
            "idle_share": await one.share(),
        }


async def list_again(size: int, seed: int, folder: Path) -> Figures:
    """The second start of a relay that got its list from its watch, and was killed once it was at rest."""
    world = World()
    await world.start(await last_answers(endpoints(size, seed), size, world))
    async with relay(world, [], folder) as one:
        if not await one.in_force(await one.ready(), size - 1):
            return {"resident_mb": None, "processor_s": None, "wall_in_force_s": None, "told_mb": None}
        await one.at_rest()
        one.stop()
        told = world.told.bytes
        one.start()
        in_force = await one.in_force(await one.ready(), size - 1)
        wall, processor = time.monotonic() - one.started, one.processor()
        await asyncio.sleep(SETTLE)
        return {
            "resident_mb": one.resident(),
            "processor_s": processor,
            "wall_in_force_s": wall if in_force else None,
            "told_mb": (world.told.bytes - told) / 1e6,
        }


async def endpoints_each(size: int, seed: int, folder: Path) -> Figures:
    """1,600 destinations with this many endpoints in all."""
    return await list_watch(1600, seed, folder, size / 1600)


async def changes(size: int, seed: int, folder: Path) -> Figures:
    """So many changes a second, each of one line, with a list of 1,600 destinations."""
    lines = endpoints(1600, seed)
    world = World()
    await world.start(lines)
    draw = random.Random(seed)
    async with relay(world, lines, folder) as one:
        await one.ready()
        await asyncio.sleep(SETTLE)
        start, before, sent, told = time.monotonic(), one.processor(), world.told.bytes, 0
        while (now := time.monotonic() - start) < LOOK:
            while told < now * size:
                line = draw.choice(lines)
                line["weight"] += 1
                world.agent.publish([line])
                told += 1
            await asyncio.sleep(0.005)
        lasted = time.monotonic() - start
        return {
            "processor_share": (one.processor() - before) / lasted,
            "bytes_a_second": (world.told.bytes - sent) / lasted,
        }


async def change_at_size(size: int, seed: int, folder: Path) -> Figures:
    """200 new destinations in a list of this size, one after the other: until the first message for each is
    taken on, and what change and message cost together."""
    lines = endpoints(size, seed)
    world = World()
    await world.start(lines)
    async with relay(world, lines, folder) as one:
        client = await one.ready()
        while not world.told.watching:
            await asyncio.sleep(0.01)
        await asyncio.sleep(SETTLE)
        idle = await one.share()
        start, before, waits = time.monotonic(), one.processor(), []
        for i in range(200):
            told = time.monotonic()
            world.agent.publish([{**lines[0], "name": f"new-{i}", "group": size + i}])
            while await client.enqueue(size + i) != b"OK":
                await asyncio.sleep(0)
            waits.append(time.monotonic() - told)
        spent = one.processor() - before - idle * (time.monotonic() - start)
        return {
            "processor_ms": max(0.0, spent) / 200 * 1e3,
            "wall_median_ms": statistics.median(waits) * 1e3,
            "wall_most_ms": max(waits) * 1e3,
        }


async def rate(size: int, seed: int, folder: Path) -> Figures:
    """So many messages a second, for 1,600 destinations that answer at once."""
    world = World()
    lines = endpoints(1600, seed, address=await world.destination())
    await world.start(lines)
    draw = random.Random(seed)
    async with relay(world, lines, folder) as one:
        clients = [await one.ready() for _ in range(4)]
        await asyncio.sleep(SETTLE)
        answers: Counter[bytes] = Counter()

        async def listen(client: Client) -> None:
            while True:
                answers[bytes(str(await client.read()), "latin-1")] += 1

        listeners = [asyncio.create_task(listen(client)) for client in clients]
        start, before, calls, told = time.monotonic(), one.processor(), world.calls, 0
        while (now := time.monotonic() - start) < LOOK:
            while told < now * size:
                clients[told % 4].hand_in(draw.randrange(1600))
                told += 1
            await asyncio.sleep(0.002)
        lasted = time.monotonic() - start
        done, processor = world.calls - calls, one.processor() - before
        for listener in listeners:
            listener.cancel()
        return {
            "processor_share": processor / lasted,
            "delivered_a_second": done / lasted,
            "resident_mb": one.resident(),
        }


async def held(size: int, seed: int, folder: Path) -> Figures:
    """So many messages held for destinations that refuse connections (one in 24 of 1,600); then 20 messages a
    second for destinations that are well."""
    return await _held(size, seed, folder, 1_600, 66)


async def trouble(size: int, seed: int, folder: Path) -> Figures:
    """So many of 10,000 destinations refuse connections, with one message held for each; then 20 messages
    a second for destinations that are well."""
    return await _held(size, seed, folder, 10_000, size)


async def _held(size: int, seed: int, folder: Path, destinations: int, down: int) -> Figures:
    world = World()
    well = await world.destination()
    lines = [
        line if line["group"] < down else {**line, "address": well} for line in endpoints(destinations, seed)
    ]
    await world.start(lines)
    async with relay(world, lines, folder) as one:
        client = await one.ready()
        await asyncio.sleep(SETTLE)
        empty = one.resident()
        for at in range(0, size, 50):
            for i in range(at, min(at + 50, size)):
                client.hand_in(i % down)
            for _ in range(at, min(at + 50, size)):
                if (answer := await client.read()) != b"OK":
                    raise RuntimeError(f"not taken on: {answer}")
        resident, idle = one.resident(), await one.share()
        start, before, told = time.monotonic(), one.processor(), 0
        while (now := time.monotonic() - start) < LOOK:
            while told < now * 20:
                client.hand_in(down + told % 1500)
                told += 1
            await asyncio.sleep(0.002)
        busy = (one.processor() - before) / (time.monotonic() - start)
        return {
            "bytes_each": (resident - empty) * 1e6 / size,
            "resident_mb": resident,
            "idle_share": idle,
            "message_ms": (busy - idle) / 20 * 1e3,
            "ended_meanwhile": world.ended,
        }


async def restart(size: int, seed: int, folder: Path) -> Figures:
    """A start with so many messages on record, for destinations that refuse connections."""
    lines = endpoints(1600, seed)
    world = World()
    await world.start(lines)
    process = Process(world, lines, folder)
    journal = Journal(process.state, 4_000_000_000)
    deadline = monotonic_ms() + 600_000
    for i in range(size):
        journal.accept(JournalEntry(f"m{i:015x}", "event", i % 66, f"k{i:015x}", deadline, BODY))
    disk = journal.size / 1e6
    journal.close()
    process.start()
    try:
        await process.ready()
        ready, processor = time.monotonic() - process.started, process.processor()
        return {
            "wall_ready_s": ready,
            "processor_s": processor,
            "resident_mb": process.resident(),
            "disk_mb": disk,
        }
    finally:
        process.stop()


async def _come_back(size: int, seed: int, folder: Path, in_turn: float) -> Figures:
    world = World()
    await world.start(endpoints(1600, seed), in_turn)
    processes = []
    for n in range(size):
        (folder / f"r{n}").mkdir()
        processes.append(Process(world, [], folder / f"r{n}"))
    start = time.monotonic()
    try:
        for process in processes:
            process.start()
        clients = await asyncio.gather(*(process.ready() for process in processes))
        ready = time.monotonic() - start
        listed = await asyncio.gather(
            *(process.in_force(client, 1599) for process, client in zip(processes, clients, strict=True))
        )
        whole = time.monotonic() - start if all(listed) else None
        return {"wall_ready_s": ready, "wall_list_s": whole, "told_mb": world.told.bytes / 1e6}
    finally:
        for process in processes:
            process.stop()


async def come_back(size: int, seed: int, folder: Path) -> Figures:
    """So many relays start at once with no list, on one machine; discovery answers at once."""
    return await _come_back(size, seed, folder, 0.0)


async def come_back_in_turn(size: int, seed: int, folder: Path) -> Figures:
    """The same, where discovery works through its calls one by one, in 0.13 s each."""
    return await _come_back(size, seed, folder, IN_TURN)


# ---- the Pacer and the journal alone


def settings(relays: int = RELAYS) -> io.Settings:
    return parse_settings({**facts(), "balancers": relays})


def resident_here() -> float:
    """This process, 10^6 bytes."""
    gc.collect()
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class Names:
    """What discovery's reader needs of a configuration."""

    zone_names = tuple(facts()["azs"])
    kind_names = ("m2",)
    memory_bytes = MEMORY_MB * 1_000_000


async def state(size: int, seed: int, folder: Path) -> Figures:
    """The list read and taken over by reader, catalog and Pacer alone; then 2,000 messages at random."""
    text = listing(1, True, endpoints(size, seed)) + b"\n"
    at_start, start, catalog = resident_here(), time.process_time(), Catalog()
    lines = discovery.LineReader(discovery.EntryParser(Names, catalog.stage))  # type: ignore[arg-type]
    (news,) = (news for at in range(0, len(text), PIECE) for news in lines.feed(text[at : at + PIECE]))
    read = time.process_time() - start
    pacer, start = Pacer(settings(), seed), time.process_time()
    catalog.commit(news.staged, news.index, news.whole)
    pacer.handle(0, [io.EndpointUpdate(io.UpdateScope.SNAPSHOT, ())])
    taken = time.process_time() - start
    kept = resident_here() - at_start
    out: list[io.Send] = []
    draw, now, events = random.Random(seed), 2 * SECOND, 2000
    start = time.process_time()
    for i in range(events):  # 500 a second, each answered well 100 messages later
        now += SECOND // 500
        dest = draw.randrange(size)
        batch: list[io.Event] = [io.MessageArrived(f"m{i}", 0, 0, dest, f"k{i}", 24 * SECOND)]
        if dest not in pacer.loaded_destinations:
            batch.insert(0, io.DestinationLoaded(dest, tuple(one.entry() for one in catalog.find(dest))))
        if len(out) > 100:
            sent = out.pop(0)
            batch.append(
                io.AttemptEnded(
                    sent.message_id, 0, sent.endpoint, io.Status.OK, SECOND // 5, True, 0, False, None
                )
            )
        out += [action for action in pacer.handle(now, batch) if isinstance(action, io.Send)]
    return {
        "read_s": read,
        "take_over_s": taken,
        "kept_mb": kept,
        "list_mb": len(text) / 1e6,
        "message_us": (time.process_time() - start) / events * 1e6,
    }


async def turn(size: int, seed: int, folder: Path) -> Figures:
    """A turn of decisions with so many messages held for destinations of which no call is ever answered."""
    pacer, down = Pacer(settings(), seed), 66
    pacer.handle(
        0,
        [
            io.EndpointUpdate(
                io.UpdateScope.SNAPSHOT,
                tuple(
                    io.EndpointEntry(f"s-{n}", 0, 0, n % 1600, io.Availability.RUNNING, 20.0)
                    for n in range(2240)
                ),
            )
        ],
    )
    at_start, now = resident_here(), 2 * SECOND
    batch = 50
    for i in range(0, size, batch):
        now += SECOND // 1000
        pacer.handle(
            now,
            [
                io.MessageArrived(f"b{n:015x}", 0, 0, n % down, f"k{n:015x}", 600 * SECOND)
                for n in range(i, min(i + batch, size))
            ],
        )
    kept, times = resident_here() - at_start, []
    for i in range(200):
        now += SECOND // 500
        start = time.process_time()
        pacer.handle(now, [io.MessageArrived(f"w{i}", 0, 0, down + i, f"w{i}", 600 * SECOND)])
        times.append(time.process_time() - start)
    return {"turn_ms": statistics.median(times) * 1e3, "bytes_each": kept * 1e6 / size}


class Fleet:
    """Pacers that share one destination with one endpoint, in steps of simulated time."""

    def __init__(self, relays: int, seed: int, silent: bool) -> None:
        self.draw = random.Random(seed)
        self.silent = silent  # a call to a destination that is down gets no answer; else no connection
        self.down = False
        self.pacers = [Pacer(settings(relays), seed + n) for n in range(relays)]
        self.queue: list[tuple[int, int, int, io.Event]] = []
        self.count = 0
        self.calls: list[int] = []  # when each went out
        self.held = 0  # nanoseconds of slots so far
        self.ended = 0  # messages that came back undelivered
        entry = io.EndpointEntry("s-1", 0, 0, 1, io.Availability.RUNNING, 20.0)
        for n in range(relays):
            self._turn(0, n, io.EndpointUpdate(io.UpdateScope.SNAPSHOT, (entry,)))
        self._put(0, 0, io.MessageArrived("", 0, 0, 1, None, 0))

    def _put(self, when: int, relay: int, event: io.Event) -> None:
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, relay, event))

    def _turn(self, now: int, relay: int, event: io.Event) -> None:
        pacer = self.pacers[relay]
        for action in pacer.handle(now, [event]):
            match action:
                case io.Send(call, host, stop_at):
                    self.calls.append(now)
                    status, after = io.Status.OK, 100 * MS
                    if self.down:
                        status, after = (
                            (io.Status.TIMEOUT, stop_at - now)
                            if self.silent
                            else (io.Status.CONNECT_FAILED, MS)
                        )
                    self.held += after
                    attempt = pacer.messages[call].attempts - 1
                    self._put(
                        now + after,
                        relay,
                        io.AttemptEnded(
                            call, attempt, host, status, after, status is io.Status.OK, 0, False, None
                        ),
                    )
                case io.SetTimer(after, token):
                    self._put(now + after, relay, io.TimerExpired(token))
                case io.Reject() | io.Fail():
                    self.ended += 1
                case _:
                    pass

    def run(self, until: int) -> None:
        """Messages come in at TRAFFIC a second, each at any of the relays."""
        while self.queue and self.queue[0][0] <= until:
            now, _, relay, event = heapq.heappop(self.queue)
            if isinstance(event, io.MessageArrived) and not event.message_id:
                self._put(now + round(self.draw.expovariate(TRAFFIC) * SECOND), 0, event)
                self.count += 1
                event = io.MessageArrived(f"m{self.count}", 0, 0, 1, f"k{self.count}", 24 * SECOND)
                relay = self.draw.randrange(len(self.pacers))
            self._turn(now, relay, event)

    def within(self, start: int, end: int) -> int:
        return sum(start <= at < end for at in self.calls)


async def _down(size: int, seed: int, silent: bool) -> Figures:
    fleet = Fleet(size, seed, silent)
    warm, down = 60 * SECOND, 300 * SECOND
    fleet.run(warm)
    fleet.down = True
    fleet.run(warm + 100 * SECOND)
    start, held_before = time.process_time(), fleet.held
    fleet.run(warm + down)
    settled = (down - 100 * SECOND) / SECOND
    spent, held_down = time.process_time() - start, fleet.held - held_before
    fleet.down = False
    back, ended = warm + down, fleet.ended
    fleet.run(back + 30 * SECOND)
    busiest = max(fleet.within(back + n * SECOND, back + (n + 1) * SECOND) for n in range(14))
    return {
        "calls_a_second_down": fleet.within(back - down + 100 * SECOND, back) / settled,
        "slots_down": held_down / SECOND / settled,
        "undelivered_a_second_down": ended / (down / SECOND),
        "calls_first_second_back": fleet.within(back, back + SECOND),
        "calls_busiest_second_back": busiest,
        "calls_a_second_14s_back": fleet.within(back, back + 14 * SECOND) / 14,
        "undelivered_30s_back": fleet.ended - ended,
        "processor_us_down": spent / settled / TRAFFIC * 1e6,
    }


async def down(size: int, seed: int, folder: Path) -> Figures:
    """Calls from so many relays to one destination, for which 7.5 messages a second come in all: it refuses
    connections for 300 s (the first 100 s are not counted), then is back."""
    return await _down(size, seed, silent=False)


async def down_silent(size: int, seed: int, folder: Path) -> Figures:
    """The same for a destination that takes calls and never answers them."""
    return await _down(size, seed, silent=True)


async def journal(size: int, seed: int, folder: Path) -> Figures:
    """So many messages on record: to write and end one more, to write the file anew, and to read it."""
    kept = Journal(folder, 16_000_000_000)
    for i in range(size):
        kept.accept(JournalEntry(f"m{i:015x}", "event", i % 160_000, f"k{i:015x}", 1 << 41, BODY))
    disk, before, start, times, passes = kept.size, kept.size, time.process_time(), [], 2000
    for i in range(passes):
        begun = time.process_time()
        kept.accept(JournalEntry(f"n{i:015x}", "event", i % 160_000, f"k{i:015x}", 1 << 41, BODY))
        kept.record_attempt_start(f"n{i:015x}", "z01", 1 << 41)
        kept.record_outcome(f"n{i:015x}", False)
        kept.record_finish(f"n{i:015x}", None)
        times.append(time.process_time() - begun)
    written, each = kept.size - before, (time.process_time() - start) / passes
    start = time.process_time()
    kept._rewrite()
    rewrite = time.process_time() - start
    kept.close()
    del kept
    child = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys; from fleetlab import slopes; slopes.load_journal(sys.argv[1])",
            str(folder),
        ],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    load, resident, found = map(float, child.stdout.split())
    if found != size:
        raise RuntimeError(f"{found} of {size} entries read")
    return {
        "disk_mb": disk / 1e6,
        "message_us": each * 1e6,
        "written_bytes_each": written / passes,
        "rewrite_s": rewrite,
        "load_s": load,
        "loaded_resident_mb": resident,
    }


def load_journal(folder: str) -> None:
    """Print what reading it takes: processor seconds, resident 10^6 bytes, messages found."""
    before, start = resident_here(), time.process_time()
    kept = Journal(Path(folder), 16_000_000_000)
    print(time.process_time() - start, resident_here() - before, len(kept.entries))


# ---- which, at which sizes


@dataclass(frozen=True, slots=True)
class Measurement:
    """``run`` at each size, so many times. The least counts, or the mean where chance is in it."""

    run: Callable[[int, int, Path], Coroutine[Any, Any, Figures]]
    unit: str
    sizes: tuple[int, ...]
    repeats: int = 3
    mean: bool = False


LIST_SIZES = (20, 1_600, 16_000, 48_000, 160_000)
WATCH_SIZES = (20, 400, 1_600, 5_000, 10_000, 20_000, 48_000, 160_000)
MEASUREMENTS = {
    "list-known": Measurement(list_known, "destinations", LIST_SIZES),
    "list-watch": Measurement(list_watch, "destinations", WATCH_SIZES, 2),
    "list-again": Measurement(list_again, "destinations", WATCH_SIZES, 2),
    "endpoints": Measurement(endpoints_each, "endpoints", (1_600, 3_200, 6_400, 12_800)),
    "state": Measurement(state, "destinations", LIST_SIZES),
    "changes": Measurement(changes, "changes a second", (5, 10, 20, 40, 80)),
    "change-at-size": Measurement(change_at_size, "destinations", LIST_SIZES, 2),
    "rate": Measurement(rate, "messages a second", (25, 50, 100, 200, 400)),
    "held": Measurement(held, "messages held", (500, 1_000, 2_000, 4_000, 8_000), 2),
    "trouble": Measurement(trouble, "destinations down", (125, 250, 500, 1_000, 2_000), 2),
    "turn": Measurement(turn, "messages held", (500, 1_000, 2_000, 4_000, 8_000)),
    "restart": Measurement(restart, "messages held", (1_000, 4_000, 16_000, 32_000), 2),
    "come-back": Measurement(come_back, "relays", (1, 2, 4, 8, 16), 2),
    "come-back-in-turn": Measurement(come_back_in_turn, "relays", (1, 2, 4, 8, 16, 32), 2),
    "down": Measurement(down, "relays", (2, 8, 32, 64, 512, 2_400), 3, mean=True),
    "down-silent": Measurement(down_silent, "relays", (2, 8, 32, 64, 512, 2_400), 3, mean=True),
    "journal": Measurement(journal, "messages held", (5_000, 20_000, 80_000, 320_000), 2),
}


def measure(name: str, size: int, seed: int) -> Figures:
    """One size, in this process."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(MEASUREMENTS[name].run(size, seed, Path(folder)))


def in_a_process(name: str, size: int, seed: int) -> Figures:
    """One size, in a process of its own. CalledProcessError where it fails; what it says goes to stderr."""
    code = "import json, sys; from fleetlab import slopes; "
    code += "print(json.dumps(slopes.measure(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))))"
    done = subprocess.run(
        [sys.executable, "-c", code, name, str(size), str(seed)],
        cwd=ROOT,
        check=True,
        stdout=subprocess.PIPE,
        text=True,
    )
    figures: Figures = json.loads(done.stdout)
    return figures


def summary(repeats: list[Figures], mean: bool) -> Figures:
    """What of several runs of one size counts; None where one of them did not get there."""
    out: Figures = {}
    for key in repeats[0]:
        values = [value for run in repeats if (value := run[key]) is not None]
        whole = len(values) == len(repeats)
        out[key] = (statistics.fmean(values) if mean else min(values)) if whole else None
    return out


def lines_through(points: list[dict[str, Any]]) -> dict[str, dict[str, float]]:
    """A line for each figure that was reached at four sizes at least."""
    out = {}
    for key in sorted({key for point in points for key in point["figures"]}):
        reached = [
            (point["size"], point["figures"][key])
            for point in points
            if point["figures"].get(key) is not None
        ]
        if len(reached) >= fit.MIN_SIZES:
            out[key] = asdict(fit.line([size for size, _ in reached], [value for _, value in reached]))
    return out


def machine() -> dict[str, Any]:
    """Where a run was made, and of which program."""

    def git(*words: str) -> str:
        return subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True).stdout.strip()

    model = [
        line.split(":")[1].strip()
        for line in Path("/proc/cpuinfo").read_text().splitlines()
        if line.startswith("model name")
    ]
    return {
        "processor": model[0] if model else platform.processor(),
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "kernel": platform.release(),
        "load": os.getloadavg()[0],
        "commit": git("rev-parse", "--short", "HEAD"),
        "changed": bool(git("status", "--porcelain", "--", "garnetrelay", "starlingwick")),
        "started": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
    }


def run(name: str, seed: int, say: Callable[[str], None]) -> dict[str, Any]:
    """One measurement at all its sizes, and the lines. A size that fails is said to, and has no figures."""
    one, points = MEASUREMENTS[name], []
    about = machine()
    for size in one.sizes:
        repeats, failed = [], ""
        for n in range(one.repeats):
            try:
                repeats.append(in_a_process(name, size, seed + n))
            except subprocess.CalledProcessError as error:
                failed = f"exit status {error.returncode}"
        figures = summary(repeats, one.mean) if repeats else {}
        points.append({"size": size, "figures": figures, "repeats": repeats, "failed": failed})
        say(f"{name} {size}: {json.dumps(figures)} {failed}")
    about["load_at_end"] = os.getloadavg()[0]
    return {
        "what": " ".join((one.run.__doc__ or "").split()),
        "unit": one.unit,
        "seed": seed,
        "counts": "mean" if one.mean else "least",
        "machine": about,
        "points": points,
        "fits": lines_through(points),
    }


def slopes(
    names: Annotated[list[str] | None, typer.Argument(help="which; all if none is named")] = None,
    seed: Annotated[int, typer.Option(help="of the lists and of chance")] = 1,
    file: Annotated[Path | None, typer.Option("--json", help="keep what is measured here")] = None,
) -> None:
    """Measure what a relay costs against its sizes, four at least; the lines and their residuals."""
    wanted = names or list(MEASUREMENTS)
    unknown = [name for name in wanted if name not in MEASUREMENTS]
    if unknown:
        raise typer.BadParameter(f"{', '.join(unknown)}: known are {', '.join(MEASUREMENTS)}")
    results: Results = json.loads(file.read_text()) if file is not None and file.exists() else {}
    for name in wanted:
        results[name] = run(name, seed, lambda text: typer.echo(text, err=True))
        if file is not None:
            file.write_text(json.dumps(results, indent=1) + "\n")
        typer.echo(table(name, results[name]))


def table(name: str, result: dict[str, Any]) -> str:
    """One measurement as a table of the pages, from what ``run`` gave."""
    keys = list(dict.fromkeys(key for point in result["points"] for key in point["figures"]))
    rows = [f"| {result['unit']} | " + " | ".join(keys) + " |", "| ---: " * (len(keys) + 1) + "|"]
    for point in result["points"]:
        rows.append(
            f"| {point['size']:,} | "
            + " | ".join(
                "failed" if point["failed"] and not point["figures"] else shown(point["figures"].get(key))
                for key in keys
            )
            + " |"
        )
    for label, field in (
        ("slope", "slope"),
        ("intercept", "intercept"),
        ("R^2", "r2"),
        ("residual", "residual"),
    ):
        rows.append(
            f"| {label} | "
            + " | ".join(shown(result["fits"][key][field]) if key in result["fits"] else "-" for key in keys)
            + " |"
        )
    about = result["machine"]
    commit = about["commit"] + (" with changes" if about["changed"] else "")
    return "\n".join(
        [
            f"`{name}`: {result['what']} The {result['counts']} of the repeats, seed {result['seed']}, commit"
            f" {commit}, {about['started']}, load {about['load']:.0f} to {about['load_at_end']:.0f} on"
            f" {about['cores']} cores.",
            "",
            *rows,
            "",
        ]
    )


def shown(value: float | None) -> str:
    """Three figures that count; a dash for what was not reached."""
    if value is None:
        return "-"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


if __name__ == "__main__":
    typer.run(slopes)
