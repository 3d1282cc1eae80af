"""Measure how the cost of a relay grows with its load, and fit a straight line to each figure.

Each size is measured in a process of its own. Measurements of a real relay start it with the ``run`` line of
the deploy file and read the kernel's figures for its process; the others run the Pacer or the journal alone.
Processor time is that of the measured process; the names of wall-clock figures begin with ``wall_``. Names of
figures end with their unit: ``_mb`` (10^6 bytes), ``_s``, ``_ms``, ``_us``, ``_share`` (processor seconds per
second).
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
from fleetlab.agent import Agent, ListenerStats
from fleetlab.clients import encode_command
from fleetlab.realrelays import free_port, run_command
from garnetrelay import discovery
from garnetrelay.catalog import Catalog
from garnetrelay.clock import monotonic_ms
from garnetrelay.journal import JournalEntry, Journal
from starlingwick import interface as io
from starlingwick.control import Pacer
from starlingwick.settings import parse_settings

ROOT = Path(__file__).parent.parent
COMMAND = "FLEETLAB_COMMAND"  # environment variable: starts a relay instead of the deploy file's ``run``
SECOND = 1_000_000_000  # nanoseconds
MILLISECOND = 1_000_000  # nanoseconds

ENDPOINTS_PER_DESTINATION = 1.4  # mean
TARGET_RELAYS = 2_400
MESSAGES_PER_SECOND = 7.5  # for one destination, from all relays
MESSAGE_BODY = b"x" * 200
MEMORY_LIMIT_MB = 8192  # high enough that the limit never ends a measurement
READ_CHUNK_BYTES = 65_536  # size of one read of a relay
SERIAL_CALL_SECONDS = 0.13  # time per call where discovery processes its calls serially
READY_TIMEOUT_SECONDS = 120.0  # until a started relay answers
LIST_TIMEOUT_SECONDS = 20.0  # until the watch has delivered the whole list; later counts as failed
SETTLE_SECONDS = 1.0  # between the start of a relay and the first sample of its figures
SAMPLE_SECONDS = 5.0  # over which a share of processor time is averaged
IDLE_SHARE_LIMIT = 0.05  # of a core; a relay below it is idle

# The peer closed the connection, or the measurement ended.
CONNECTION_ENDED = (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError)

Figures = dict[str, float | None]  # figure name to value; None if the value was not reached
Results = dict[str, dict[str, Any]]  # measurement name to the result of ``run``


def target_settings(most_held: int = 1_000_000) -> dict[str, Any]:
    """Return the settings of the target platform in the form of a relay's configuration."""
    return {
        "azs": [f"z{n:02}" for n in range(15)],
        "kinds": ["m2"],
        "balancers": TARGET_RELAYS,
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


ListEntry = dict[str, Any]  # one endpoint of the list


def generate_endpoints(
    destinations: int, seed: int, per_destination: float = ENDPOINTS_PER_DESTINATION, address: str = ""
) -> list[ListEntry]:
    """Return random endpoint list entries for this number of destinations.

    Without an address, each endpoint gets its own loopback address on which nothing listens.
    """
    rng = random.Random(seed)
    return [
        {
            "name": f"s-{rng.getrandbits(32):08x}{i:x}",
            "zone": f"z{rng.randrange(15):02}",
            "type": "m2",
            "address": address or f"127.{1 + (i >> 16 & 127)}.{i >> 8 & 255}.{i & 255}:6379",
            "group": i % destinations,
            "status": "Ready",
            "weight": 20.0,
            "since_ms": 0,
        }
        for i in range(max(destinations, int(destinations * per_destination)))
    ]


def encode_update(index: int, snapshot: bool, entries: list[ListEntry]) -> bytes:
    """Encode an update of the endpoint list as discovery sends it."""
    return json.dumps(
        {"index": index, "snapshot": snapshot, "endpoints": entries}, separators=(",", ":")
    ).encode()


# ---- services that a real relay connects to


class StubServices:
    """Discovery's agent, and destinations that answer 200 at once, for relays on this machine."""

    def __init__(self) -> None:
        self.notices = 0
        self.answered_calls = 0  # by all destinations
        self.agent = Agent(())
        self.discovery_address = ""
        self.servers: list[asyncio.Server] = []

    async def start(self, entries: list[ListEntry], call_time: float = 0.0) -> None:
        """Start the agent. ``call_time`` is its seconds per call; calls are processed serially."""

        def count_notice(message_id: str, result: str, wait: int) -> None:
            self.notices += 1

        self.agent = Agent(entries, on_notice=count_notice, call_time=call_time)
        self.discovery_address = await self.agent.listen("relays")

    @property
    def sent_to_watches(self) -> ListenerStats:
        """Return the agent's counters of what it has sent to the watches of all relays."""
        return self.agent.stats["relays"]

    async def start_destination(self) -> str:
        """Start a destination that answers, and return its address."""
        self.servers.append(await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024))
        return "127.0.0.1:%d" % self.servers[-1].sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                await reader.readexactly(int(head.split(b"content-length:")[1].split(b"\r\n")[0]))
                self.answered_calls += 1
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except CONNECTION_ENDED:
            writer.transport.abort()


class Client:
    """One client connection that sends messages to a relay."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.parser, self.message_count = reader, writer, hiredis.Reader(), 0

    def send_command(self, *words: str | bytes) -> None:
        """Send a command without waiting for its answer."""
        self.writer.write(encode_command(*words))

    async def read_answer(self) -> Any:
        """Return the next answer. Raises ConnectionError if the relay closes the connection."""
        while (answer := self.parser.gets()) is False:
            data = await self.reader.read(65536)
            if not data:
                raise ConnectionError("the relay closed the connection")
            self.parser.feed(data)
        return answer

    def send_message(self, destination: int) -> None:
        """Send an ENQUEUE command without waiting for its answer."""
        self.message_count += 1
        message_id = f"{id(self):x}{self.message_count:x}"
        self.send_command(
            "ENQUEUE", "0", message_id, f"c=event,d=600000,k={message_id},dest={destination}", MESSAGE_BODY
        )

    async def enqueue(self, destination: int) -> Any:
        """Send a message and return the answer."""
        self.send_message(destination)
        return await self.read_answer()


class RelayProcess:
    """A real relay process, started as deployed, and the kernel's figures for it."""

    def __init__(self, services: StubServices, known_entries: list[ListEntry], folder: Path) -> None:
        self.folder = folder
        self.port = free_port()
        self.state_folder = folder / "state"
        self.state_folder.mkdir(exist_ok=True)
        config = folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": folder.name,
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": services.discovery_address,
                    "seed": "1",
                    "limits": {"memory_mb": MEMORY_LIMIT_MB, "sockets": 1024, "disk_mb": 4000},
                    "settings": target_settings(),
                    "list": {"keep": True},
                    "known": {
                        "index": services.agent.index if known_entries else 0,
                        "snapshot": True,
                        "endpoints": known_entries,
                    },
                }
            )
        )
        self.environment = {**os.environ, "RELAY_CONFIG": str(config), "RELAY_STATE": str(self.state_folder)}
        self.child: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0

    def start(self) -> None:
        run_line = os.environ.get(COMMAND) or run_command()
        self.started_at = time.monotonic()
        with open(self.folder / "log", "ab") as log:
            self.child = subprocess.Popen(
                ["/bin/sh", "-c", run_line], cwd=ROOT, env=self.environment, stderr=log
            )

    async def wait_until_ready(self) -> Client:
        """Return a client once the relay answers PING. Raises TimeoutError if it does not in time."""
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while True:
                try:
                    client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
                    client.send_command("PING")
                    await client.read_answer()
                    return client
                except ConnectionError:
                    await asyncio.sleep(0.005)
                    if self.child is None or self.child.poll() is not None:
                        raise RuntimeError((self.folder / "log").read_text()[-2000:]) from None

    async def wait_until_accepting(self, client: Client, destination: int) -> bool:
        """Wait until the relay accepts a message for this destination; return False on a timeout."""
        give_up_at = time.monotonic() + LIST_TIMEOUT_SECONDS
        while time.monotonic() < give_up_at:
            if await client.enqueue(destination) == b"OK":
                return True
            await asyncio.sleep(0.01)
        return False

    @property
    def pid(self) -> int:
        assert self.child is not None
        return self.child.pid

    def processor_seconds(self) -> float:
        """Return the processor time so far of all threads, in seconds."""
        return (
            sum(
                int((task / "schedstat").read_text().split()[0])
                for task in Path(f"/proc/{self.pid}/task").iterdir()
            )
            / SECOND
        )

    def resident_mb(self, peak: bool = False) -> float:
        """Return the resident memory, or its peak, in 10^6 bytes."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        return int(status.split("VmHWM:" if peak else "VmRSS:")[1].split()[0]) * 1024 / 1e6

    async def processor_share(self, seconds: float = SAMPLE_SECONDS) -> float:
        """Sample the processor time for this many seconds; return processor seconds per second."""
        sample_start, processor_before = time.monotonic(), self.processor_seconds()
        await asyncio.sleep(seconds)
        return (self.processor_seconds() - processor_before) / (time.monotonic() - sample_start)

    async def wait_until_idle(self) -> float:
        """Wait until the kept list is on the disk and the relay is idle.

        Each wait ends after ten samples at the latest, because a program may keep no list. Returns the size
        of the kept list in 10^6 bytes.
        """
        list_file = self.state_folder / "list"
        for _ in range(10):
            await asyncio.sleep(SETTLE_SECONDS)
            if list_file.exists():
                break
        for _ in range(10):
            if await self.processor_share(SETTLE_SECONDS) < IDLE_SHARE_LIMIT:
                break
        return list_file.stat().st_size / 1e6 if list_file.exists() else 0.0

    def stop(self) -> None:
        if self.child is not None:
            self.child.kill()
            self.child.wait()


@asynccontextmanager
async def running_relay(
    services: StubServices, known_entries: list[ListEntry], folder: Path
) -> AsyncIterator[RelayProcess]:
    """Run a relay for the duration of the context."""
    process = RelayProcess(services, known_entries, folder)
    process.start()
    try:
        yield process
    finally:
        process.stop()


# ---- measurements of a real relay


async def list_known(size: int, seed: int, folder: Path) -> Figures:
    """A relay whose configuration holds the list."""
    entries = generate_endpoints(size, seed)
    services = StubServices()
    await services.start(entries)
    async with running_relay(services, entries, folder) as process:
        await process.wait_until_ready()
        ready_seconds, processor_seconds = time.monotonic() - process.started_at, process.processor_seconds()
        await asyncio.sleep(SETTLE_SECONDS)
        resident_mb = process.resident_mb()
        return {
            "resident_mb": resident_mb,
            "peak_mb": process.resident_mb(peak=True),
            "processor_s": processor_seconds,
            "wall_ready_s": ready_seconds,
            "idle_share": await process.processor_share(),
        }


async def with_answering_last(entries: list[ListEntry], size: int, services: StubServices) -> list[ListEntry]:
    """Return the entries with the last of ``size`` destinations moved to an address that answers."""
    answering_address = await services.start_destination()
    return [
        {**entry, "address": answering_address} if entry["group"] == size - 1 else entry for entry in entries
    ]


async def list_watch(
    size: int, seed: int, folder: Path, per_destination: float = ENDPOINTS_PER_DESTINATION
) -> Figures:
    """A relay that starts with no list, and gets it from its watch."""
    services = StubServices()
    await services.start(
        await with_answering_last(generate_endpoints(size, seed, per_destination), size, services)
    )
    async with running_relay(services, [], folder) as process:
        client = await process.wait_until_ready()
        if not await process.wait_until_accepting(client, size - 1):
            return {
                "resident_mb": None,
                "peak_mb": None,
                "processor_s": None,
                "wall_in_force_s": None,
                "list_mb": len(services.agent.snapshot()) / 1e6,
                "idle_share": None,
                "watches_in_vain": services.sent_to_watches.watches,
            }
        in_force_seconds, processor_seconds = (
            time.monotonic() - process.started_at,
            process.processor_seconds(),
        )
        disk_mb = await process.wait_until_idle()
        resident_mb, list_mb = process.resident_mb(), len(services.agent.snapshot()) / 1e6
        return {
            "resident_mb": resident_mb,
            "peak_mb": process.resident_mb(peak=True),
            "processor_s": processor_seconds,
            "processor_at_rest_s": process.processor_seconds(),
            "wall_in_force_s": in_force_seconds,
            "list_mb": list_mb,
            "disk_mb": disk_mb,
            "idle_share": await process.processor_share(),
        }


async def list_again(size: int, seed: int, folder: Path) -> Figures:
    """The second start of a relay that got its list from its watch, and was killed once it was at rest."""
    services = StubServices()
    await services.start(await with_answering_last(generate_endpoints(size, seed), size, services))
    async with running_relay(services, [], folder) as process:
        if not await process.wait_until_accepting(await process.wait_until_ready(), size - 1):
            return {"resident_mb": None, "processor_s": None, "wall_in_force_s": None, "told_mb": None}
        await process.wait_until_idle()
        process.stop()
        bytes_before = services.sent_to_watches.bytes
        process.start()
        accepting = await process.wait_until_accepting(await process.wait_until_ready(), size - 1)
        wall_seconds, processor_seconds = time.monotonic() - process.started_at, process.processor_seconds()
        await asyncio.sleep(SETTLE_SECONDS)
        return {
            "resident_mb": process.resident_mb(),
            "processor_s": processor_seconds,
            "wall_in_force_s": wall_seconds if accepting else None,
            "told_mb": (services.sent_to_watches.bytes - bytes_before) / 1e6,
        }


async def endpoints_each(size: int, seed: int, folder: Path) -> Figures:
    """1,600 destinations with this many endpoints in all."""
    return await list_watch(1600, seed, folder, size / 1600)


async def changes(size: int, seed: int, folder: Path) -> Figures:
    """So many changes a second, each of one line, with a list of 1,600 destinations."""
    entries = generate_endpoints(1600, seed)
    services = StubServices()
    await services.start(entries)
    rng = random.Random(seed)
    async with running_relay(services, entries, folder) as process:
        await process.wait_until_ready()
        await asyncio.sleep(SETTLE_SECONDS)
        sample_start, processor_before, bytes_before, published = (
            time.monotonic(),
            process.processor_seconds(),
            services.sent_to_watches.bytes,
            0,
        )
        while (elapsed := time.monotonic() - sample_start) < SAMPLE_SECONDS:
            while published < elapsed * size:
                entry = rng.choice(entries)
                entry["weight"] += 1
                services.agent.publish([entry])
                published += 1
            await asyncio.sleep(0.005)
        duration = time.monotonic() - sample_start
        return {
            "processor_share": (process.processor_seconds() - processor_before) / duration,
            "bytes_a_second": (services.sent_to_watches.bytes - bytes_before) / duration,
        }


async def change_at_size(size: int, seed: int, folder: Path) -> Figures:
    """200 new destinations in a list of this size, one after the other: until the first message for each is
    taken on, and what change and message cost together."""
    entries = generate_endpoints(size, seed)
    services = StubServices()
    await services.start(entries)
    async with running_relay(services, entries, folder) as process:
        client = await process.wait_until_ready()
        while not services.sent_to_watches.open_watches:
            await asyncio.sleep(0.01)
        await asyncio.sleep(SETTLE_SECONDS)
        idle_share = await process.processor_share()
        sample_start, processor_before, waits = time.monotonic(), process.processor_seconds(), []
        for i in range(200):
            published_at = time.monotonic()
            services.agent.publish([{**entries[0], "name": f"new-{i}", "group": size + i}])
            while await client.enqueue(size + i) != b"OK":
                await asyncio.sleep(0)
            waits.append(time.monotonic() - published_at)
        processor_spent = (
            process.processor_seconds() - processor_before - idle_share * (time.monotonic() - sample_start)
        )
        return {
            "processor_ms": max(0.0, processor_spent) / 200 * 1e3,
            "wall_median_ms": statistics.median(waits) * 1e3,
            "wall_most_ms": max(waits) * 1e3,
        }


async def rate(size: int, seed: int, folder: Path) -> Figures:
    """So many messages a second, for 1,600 destinations that answer at once."""
    services = StubServices()
    entries = generate_endpoints(1600, seed, address=await services.start_destination())
    await services.start(entries)
    rng = random.Random(seed)
    async with running_relay(services, entries, folder) as process:
        clients = [await process.wait_until_ready() for _ in range(4)]
        await asyncio.sleep(SETTLE_SECONDS)
        answers: Counter[bytes] = Counter()

        async def count_answers(client: Client) -> None:
            while True:
                answers[bytes(str(await client.read_answer()), "latin-1")] += 1

        listeners = [asyncio.create_task(count_answers(client)) for client in clients]
        sample_start, processor_before, calls_before, sent_count = (
            time.monotonic(),
            process.processor_seconds(),
            services.answered_calls,
            0,
        )
        while (elapsed := time.monotonic() - sample_start) < SAMPLE_SECONDS:
            while sent_count < elapsed * size:
                clients[sent_count % 4].send_message(rng.randrange(1600))
                sent_count += 1
            await asyncio.sleep(0.002)
        duration = time.monotonic() - sample_start
        delivered, processor_spent = (
            services.answered_calls - calls_before,
            process.processor_seconds() - processor_before,
        )
        for listener in listeners:
            listener.cancel()
        return {
            "processor_share": processor_spent / duration,
            "delivered_a_second": delivered / duration,
            "resident_mb": process.resident_mb(),
        }


async def held(size: int, seed: int, folder: Path) -> Figures:
    """So many messages held for destinations that refuse connections (one in 24 of 1,600); then 20 messages a
    second for destinations that are well."""
    return await _measure_held(size, seed, folder, 1_600, 66)


async def trouble(size: int, seed: int, folder: Path) -> Figures:
    """So many of 10,000 destinations refuse connections, with one message held for each; then 20 messages
    a second for destinations that are well."""
    return await _measure_held(size, seed, folder, 10_000, size)


async def _measure_held(
    size: int, seed: int, folder: Path, destinations: int, destinations_down: int
) -> Figures:
    services = StubServices()
    answering_address = await services.start_destination()
    entries = [
        entry if entry["group"] < destinations_down else {**entry, "address": answering_address}
        for entry in generate_endpoints(destinations, seed)
    ]
    await services.start(entries)
    async with running_relay(services, entries, folder) as process:
        client = await process.wait_until_ready()
        await asyncio.sleep(SETTLE_SECONDS)
        resident_empty = process.resident_mb()
        for batch_start in range(0, size, 50):
            for i in range(batch_start, min(batch_start + 50, size)):
                client.send_message(i % destinations_down)
            for _ in range(batch_start, min(batch_start + 50, size)):
                if (answer := await client.read_answer()) != b"OK":
                    raise RuntimeError(f"message not accepted: {answer}")
        resident_mb, idle_share = process.resident_mb(), await process.processor_share()
        sample_start, processor_before, sent_count = time.monotonic(), process.processor_seconds(), 0
        while (elapsed := time.monotonic() - sample_start) < SAMPLE_SECONDS:
            while sent_count < elapsed * 20:
                client.send_message(destinations_down + sent_count % 1500)
                sent_count += 1
            await asyncio.sleep(0.002)
        busy_share = (process.processor_seconds() - processor_before) / (time.monotonic() - sample_start)
        return {
            "bytes_each": (resident_mb - resident_empty) * 1e6 / size,
            "resident_mb": resident_mb,
            "idle_share": idle_share,
            "message_ms": (busy_share - idle_share) / 20 * 1e3,
            "ended_meanwhile": services.notices,
        }


async def restart(size: int, seed: int, folder: Path) -> Figures:
    """A start with so many messages on record, for destinations that refuse connections."""
    entries = generate_endpoints(1600, seed)
    services = StubServices()
    await services.start(entries)
    process = RelayProcess(services, entries, folder)
    journal = Journal(process.state_folder, 4_000_000_000)
    deadline = monotonic_ms() + 600_000
    for i in range(size):
        journal.accept(JournalEntry(f"m{i:015x}", "event", i % 66, f"k{i:015x}", deadline, MESSAGE_BODY))
    disk_mb = journal.size / 1e6
    journal.close()
    process.start()
    try:
        await process.wait_until_ready()
        ready_seconds, processor_seconds = time.monotonic() - process.started_at, process.processor_seconds()
        return {
            "wall_ready_s": ready_seconds,
            "processor_s": processor_seconds,
            "resident_mb": process.resident_mb(),
            "disk_mb": disk_mb,
        }
    finally:
        process.stop()


async def _measure_come_back(size: int, seed: int, folder: Path, call_seconds: float) -> Figures:
    services = StubServices()
    await services.start(generate_endpoints(1600, seed), call_seconds)
    processes = []
    for n in range(size):
        (folder / f"r{n}").mkdir()
        processes.append(RelayProcess(services, [], folder / f"r{n}"))
    first_start = time.monotonic()
    try:
        for process in processes:
            process.start()
        clients = await asyncio.gather(*(process.wait_until_ready() for process in processes))
        ready_seconds = time.monotonic() - first_start
        accepting = await asyncio.gather(
            *(
                process.wait_until_accepting(client, 1599)
                for process, client in zip(processes, clients, strict=True)
            )
        )
        list_seconds = time.monotonic() - first_start if all(accepting) else None
        return {
            "wall_ready_s": ready_seconds,
            "wall_list_s": list_seconds,
            "told_mb": services.sent_to_watches.bytes / 1e6,
        }
    finally:
        for process in processes:
            process.stop()


async def come_back(size: int, seed: int, folder: Path) -> Figures:
    """So many relays start at once with no list, on one machine; discovery answers at once."""
    return await _measure_come_back(size, seed, folder, 0.0)


async def come_back_in_turn(size: int, seed: int, folder: Path) -> Figures:
    """The same, where discovery works through its calls one by one, in 0.13 s each."""
    return await _measure_come_back(size, seed, folder, SERIAL_CALL_SECONDS)


# ---- the Pacer and the journal alone


def parsed_settings(relays: int = TARGET_RELAYS) -> io.Settings:
    """Return the target's settings for this number of relays."""
    return parse_settings({**target_settings(), "balancers": relays})


def own_resident_mb() -> float:
    """Return the resident memory of this process in 10^6 bytes."""
    gc.collect()
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class DiscoveryConfig:
    """The part of a configuration that the reader of discovery's updates uses."""

    zone_names = tuple(target_settings()["azs"])
    kind_names = ("m2",)
    memory_bytes = MEMORY_LIMIT_MB * 1_000_000


async def state(size: int, seed: int, folder: Path) -> Figures:
    """The list read and taken over by reader, catalog and Pacer alone; then 2,000 messages at random."""
    update_line = encode_update(1, True, generate_endpoints(size, seed)) + b"\n"
    resident_at_start, start, catalog = own_resident_mb(), time.process_time(), Catalog()
    reader = discovery.LineReader(discovery.EntryParser(DiscoveryConfig, catalog.stage))  # type: ignore[arg-type]
    (update,) = (
        update
        for offset in range(0, len(update_line), READ_CHUNK_BYTES)
        for update in reader.feed(update_line[offset : offset + READ_CHUNK_BYTES])
    )
    read_seconds = time.process_time() - start
    pacer, start = Pacer(parsed_settings(), seed), time.process_time()
    catalog.commit(update.staged, update.index, update.whole)
    pacer.handle(0, [io.EndpointUpdate(io.UpdateScope.SNAPSHOT, ())])
    take_over_seconds = time.process_time() - start
    kept_mb = own_resident_mb() - resident_at_start
    in_flight: list[io.Send] = []
    rng, now, message_count = random.Random(seed), 2 * SECOND, 2000
    start = time.process_time()
    for i in range(message_count):  # 500 per second, each answered OK 100 messages later
        now += SECOND // 500
        destination = rng.randrange(size)
        batch: list[io.Event] = [io.MessageArrived(f"m{i}", 0, 0, destination, f"k{i}", 24 * SECOND)]
        if destination not in pacer.loaded_destinations:
            batch.insert(
                0,
                io.DestinationLoaded(
                    destination, tuple(endpoint.entry() for endpoint in catalog.find(destination))
                ),
            )
        if len(in_flight) > 100:
            sent = in_flight.pop(0)
            batch.append(
                io.AttemptEnded(
                    sent.message_id, 0, sent.endpoint, io.Status.OK, SECOND // 5, True, 0, False, None
                )
            )
        in_flight += [action for action in pacer.handle(now, batch) if isinstance(action, io.Send)]
    return {
        "read_s": read_seconds,
        "take_over_s": take_over_seconds,
        "kept_mb": kept_mb,
        "list_mb": len(update_line) / 1e6,
        "message_us": (time.process_time() - start) / message_count * 1e6,
    }


async def turn(size: int, seed: int, folder: Path) -> Figures:
    """A turn of decisions with so many messages held for destinations of which no call is ever answered."""
    pacer, destinations_down = Pacer(parsed_settings(), seed), 66
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
    resident_at_start, now = own_resident_mb(), 2 * SECOND
    batch = 50
    for i in range(0, size, batch):
        now += SECOND // 1000
        pacer.handle(
            now,
            [
                io.MessageArrived(f"b{n:015x}", 0, 0, n % destinations_down, f"k{n:015x}", 600 * SECOND)
                for n in range(i, min(i + batch, size))
            ],
        )
    kept_mb, times = own_resident_mb() - resident_at_start, []
    for i in range(200):
        now += SECOND // 500
        start = time.process_time()
        pacer.handle(now, [io.MessageArrived(f"w{i}", 0, 0, destinations_down + i, f"w{i}", 600 * SECOND)])
        times.append(time.process_time() - start)
    return {"turn_ms": statistics.median(times) * 1e3, "bytes_each": kept_mb * 1e6 / size}


class Fleet:
    """Pacers that share one destination with one endpoint, in simulated time."""

    def __init__(self, relays: int, seed: int, silent: bool) -> None:
        self.rng = random.Random(seed)
        self.silent = silent  # if down, the destination never answers; else it refuses connections
        self.down = False
        self.pacers = [Pacer(parsed_settings(relays), seed + n) for n in range(relays)]
        self.queue: list[tuple[int, int, int, io.Event]] = []
        self.sequence = 0
        self.call_times: list[int] = []  # start time of each call, in nanoseconds
        self.slot_time = 0  # total time that calls have occupied slots, in nanoseconds
        self.undelivered = 0  # messages rejected or failed
        entry = io.EndpointEntry("s-1", 0, 0, 1, io.Availability.RUNNING, 20.0)
        for n in range(relays):
            self._handle(0, n, io.EndpointUpdate(io.UpdateScope.SNAPSHOT, (entry,)))
        self._schedule(0, 0, io.MessageArrived("", 0, 0, 1, None, 0))

    def _schedule(self, due_at: int, relay_number: int, event: io.Event) -> None:
        self.sequence += 1
        heapq.heappush(self.queue, (due_at, self.sequence, relay_number, event))

    def _handle(self, now: int, relay_number: int, event: io.Event) -> None:
        pacer = self.pacers[relay_number]
        for action in pacer.handle(now, [event]):
            match action:
                case io.Send(message_id, endpoint, stop_at):
                    self.call_times.append(now)
                    status, delay = io.Status.OK, 100 * MILLISECOND
                    if self.down:
                        status, delay = (
                            (io.Status.TIMEOUT, stop_at - now)
                            if self.silent
                            else (io.Status.CONNECT_FAILED, MILLISECOND)
                        )
                    self.slot_time += delay
                    attempt = pacer.messages[message_id].attempts - 1
                    self._schedule(
                        now + delay,
                        relay_number,
                        io.AttemptEnded(
                            message_id,
                            attempt,
                            endpoint,
                            status,
                            delay,
                            status is io.Status.OK,
                            0,
                            False,
                            None,
                        ),
                    )
                case io.SetTimer(delay, token):
                    self._schedule(now + delay, relay_number, io.TimerExpired(token))
                case io.Reject() | io.Fail():
                    self.undelivered += 1
                case _:
                    pass

    def run_until(self, until: int) -> None:
        """Run until this time. MESSAGES_PER_SECOND messages arrive per second, each at a random relay."""
        while self.queue and self.queue[0][0] <= until:
            now, _, relay_number, event = heapq.heappop(self.queue)
            if isinstance(event, io.MessageArrived) and not event.message_id:
                self._schedule(now + round(self.rng.expovariate(MESSAGES_PER_SECOND) * SECOND), 0, event)
                self.sequence += 1
                event = io.MessageArrived(f"m{self.sequence}", 0, 0, 1, f"k{self.sequence}", 24 * SECOND)
                relay_number = self.rng.randrange(len(self.pacers))
            self._handle(now, relay_number, event)

    def calls_between(self, start: int, end: int) -> int:
        """Return the number of calls started from ``start`` to before ``end``, in nanoseconds."""
        return sum(start <= at < end for at in self.call_times)


async def _measure_down(size: int, seed: int, silent: bool) -> Figures:
    fleet = Fleet(size, seed, silent)
    warmup, outage = 60 * SECOND, 300 * SECOND
    fleet.run_until(warmup)
    fleet.down = True
    fleet.run_until(warmup + 100 * SECOND)
    processor_start, slot_time_before = time.process_time(), fleet.slot_time
    fleet.run_until(warmup + outage)
    counted_seconds = (outage - 100 * SECOND) / SECOND
    processor_spent, slot_time_down = (
        time.process_time() - processor_start,
        fleet.slot_time - slot_time_before,
    )
    fleet.down = False
    outage_end, undelivered_before = warmup + outage, fleet.undelivered
    fleet.run_until(outage_end + 30 * SECOND)
    busiest_calls = max(
        fleet.calls_between(outage_end + n * SECOND, outage_end + (n + 1) * SECOND) for n in range(14)
    )
    return {
        "calls_a_second_down": fleet.calls_between(outage_end - outage + 100 * SECOND, outage_end)
        / counted_seconds,
        "slots_down": slot_time_down / SECOND / counted_seconds,
        "undelivered_a_second_down": undelivered_before / (outage / SECOND),
        "calls_first_second_back": fleet.calls_between(outage_end, outage_end + SECOND),
        "calls_busiest_second_back": busiest_calls,
        "calls_a_second_14s_back": fleet.calls_between(outage_end, outage_end + 14 * SECOND) / 14,
        "undelivered_30s_back": fleet.undelivered - undelivered_before,
        "processor_us_down": processor_spent / counted_seconds / MESSAGES_PER_SECOND * 1e6,
    }


async def down(size: int, seed: int, folder: Path) -> Figures:
    """Calls from so many relays to one destination, for which 7.5 messages a second come in all: it refuses
    connections for 300 s (the first 100 s are not counted), then is back."""
    return await _measure_down(size, seed, silent=False)


async def down_silent(size: int, seed: int, folder: Path) -> Figures:
    """The same for a destination that takes calls and never answers them."""
    return await _measure_down(size, seed, silent=True)


async def journal(size: int, seed: int, folder: Path) -> Figures:
    """So many messages on record: to write and end one more, to write the file anew, and to read it."""
    message_journal = Journal(folder, 16_000_000_000)
    for i in range(size):
        message_journal.accept(
            JournalEntry(f"m{i:015x}", "event", i % 160_000, f"k{i:015x}", 1 << 41, MESSAGE_BODY)
        )
    disk_bytes, bytes_before, start, times, pass_count = (
        message_journal.size,
        message_journal.size,
        time.process_time(),
        [],
        2000,
    )
    for i in range(pass_count):
        pass_start = time.process_time()
        message_journal.accept(
            JournalEntry(f"n{i:015x}", "event", i % 160_000, f"k{i:015x}", 1 << 41, MESSAGE_BODY)
        )
        message_journal.record_attempt_start(f"n{i:015x}", "z01", 1 << 41)
        message_journal.record_outcome(f"n{i:015x}", False)
        message_journal.record_finish(f"n{i:015x}", None)
        times.append(time.process_time() - pass_start)
    written_bytes, seconds_each = (
        message_journal.size - bytes_before,
        (time.process_time() - start) / pass_count,
    )
    start = time.process_time()
    message_journal._rewrite()
    rewrite_seconds = time.process_time() - start
    message_journal.close()
    del message_journal
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
    load_seconds, resident_mb, entries_found = map(float, child.stdout.split())
    if entries_found != size:
        raise RuntimeError(f"{entries_found} of {size} journal entries were read")
    return {
        "disk_mb": disk_bytes / 1e6,
        "message_us": seconds_each * 1e6,
        "written_bytes_each": written_bytes / pass_count,
        "rewrite_s": rewrite_seconds,
        "load_s": load_seconds,
        "loaded_resident_mb": resident_mb,
    }


def load_journal(folder: str) -> None:
    """Read a journal; print the processor seconds, the resident 10^6 bytes and the number of messages."""
    resident_before, start = own_resident_mb(), time.process_time()
    message_journal = Journal(Path(folder), 16_000_000_000)
    print(time.process_time() - start, own_resident_mb() - resident_before, len(message_journal.entries))


# ---- the measurements and their sizes


@dataclass(frozen=True, slots=True)
class Measurement:
    """A measurement, run ``repeats`` times at each size.

    The least value of the repeats is used, or with ``mean`` their mean, where the outcome is random.
    """

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
    """Measure one size in this process."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(MEASUREMENTS[name].run(size, seed, Path(folder)))


def in_a_process(name: str, size: int, seed: int) -> Figures:
    """Measure one size in a new process, which shares stderr. Raises CalledProcessError if it fails."""
    code = "import json, sys; from fleetlab import slopes; "
    code += "print(json.dumps(slopes.measure(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))))"
    completed = subprocess.run(
        [sys.executable, "-c", code, name, str(size), str(seed)],
        cwd=ROOT,
        check=True,
        stdout=subprocess.PIPE,
        text=True,
    )
    figures: Figures = json.loads(completed.stdout)
    return figures


def summarize(repeats: list[Figures], mean: bool) -> Figures:
    """Combine the repeats of one size; a figure is None if one repeat did not reach it."""
    figures: Figures = {}
    for key in repeats[0]:
        values = [value for run in repeats if (value := run[key]) is not None]
        complete = len(values) == len(repeats)
        figures[key] = (statistics.fmean(values) if mean else min(values)) if complete else None
    return figures


def fit_lines(points: list[dict[str, Any]]) -> dict[str, dict[str, float]]:
    """Fit a line to each figure that was reached at four sizes or more."""
    fits = {}
    for key in sorted({key for point in points for key in point["figures"]}):
        reached = [
            (point["size"], point["figures"][key])
            for point in points
            if point["figures"].get(key) is not None
        ]
        if len(reached) >= fit.MIN_SIZES:
            fits[key] = asdict(fit.line([size for size, _ in reached], [value for _, value in reached]))
    return fits


def describe_machine() -> dict[str, Any]:
    """Describe the machine of a run and the version of the program."""

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


def run(name: str, seed: int, report: Callable[[str], None]) -> dict[str, Any]:
    """Run one measurement at all its sizes and fit the lines.

    A size of which a repeat fails gets the exit status in ``failed``; if all fail, it has no figures.
    """
    measurement, points = MEASUREMENTS[name], []
    machine_facts = describe_machine()
    for size in measurement.sizes:
        repeats, failed = [], ""
        for n in range(measurement.repeats):
            try:
                repeats.append(in_a_process(name, size, seed + n))
            except subprocess.CalledProcessError as error:
                failed = f"exit status {error.returncode}"
        figures = summarize(repeats, measurement.mean) if repeats else {}
        points.append({"size": size, "figures": figures, "repeats": repeats, "failed": failed})
        report(f"{name} {size}: {json.dumps(figures)} {failed}")
    machine_facts["load_at_end"] = os.getloadavg()[0]
    return {
        "what": " ".join((measurement.run.__doc__ or "").split()),
        "unit": measurement.unit,
        "seed": seed,
        "counts": "mean" if measurement.mean else "least",
        "machine": machine_facts,
        "points": points,
        "fits": fit_lines(points),
    }


def slopes(
    names: Annotated[list[str] | None, typer.Argument(help="measurements to run; all by default")] = None,
    seed: Annotated[int, typer.Option(help="seed of the endpoint lists and of all random draws")] = 1,
    file: Annotated[Path | None, typer.Option("--json", help="file to keep the results in")] = None,
) -> None:
    """Measure the cost of a relay at four sizes or more; print the fitted lines and their residuals."""
    wanted = names or list(MEASUREMENTS)
    unknown = [name for name in wanted if name not in MEASUREMENTS]
    if unknown:
        raise typer.BadParameter(f"{', '.join(unknown)}: known are {', '.join(MEASUREMENTS)}")
    results: Results = json.loads(file.read_text()) if file is not None and file.exists() else {}
    for name in wanted:
        results[name] = run(name, seed, lambda text: typer.echo(text, err=True))
        if file is not None:
            file.write_text(json.dumps(results, indent=1) + "\n")
        typer.echo(markdown_table(name, results[name]))


def markdown_table(name: str, result: dict[str, Any]) -> str:
    """Format the result of ``run`` as a Markdown table."""
    keys = list(dict.fromkeys(key for point in result["points"] for key in point["figures"]))
    rows = [f"| {result['unit']} | " + " | ".join(keys) + " |", "| ---: " * (len(keys) + 1) + "|"]
    for point in result["points"]:
        rows.append(
            f"| {point['size']:,} | "
            + " | ".join(
                "failed"
                if point["failed"] and not point["figures"]
                else format_figure(point["figures"].get(key))
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
            + " | ".join(
                format_figure(result["fits"][key][field]) if key in result["fits"] else "-" for key in keys
            )
            + " |"
        )
    machine_facts = result["machine"]
    commit = machine_facts["commit"] + (" with changes" if machine_facts["changed"] else "")
    return "\n".join(
        [
            f"`{name}`: {result['what']} The {result['counts']} of the repeats, seed {result['seed']}, commit"
            f" {commit}, {machine_facts['started']}, load {machine_facts['load']:.0f} to"
            f" {machine_facts['load_at_end']:.0f} on {machine_facts['cores']} cores.",
            "",
            *rows,
            "",
        ]
    )


def format_figure(value: float | None) -> str:
    """Format a value with three significant digits, or as a dash if it was not reached."""
    if value is None:
        return "-"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


if __name__ == "__main__":
    typer.run(slopes)
