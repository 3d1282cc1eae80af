"""Hollow relays: many in one process, each with a real ``Pacer`` but no journal and no client connections.

Discovery and destinations see a hollow relay as any other relay: it watches the endpoint list, makes HTTP
calls over its own connections, counts against a destination's limit, honours Retry-After waits and is
restarted. It has no clients on sockets: its messages are drawn beforehand, and its ``Pacer`` receives only
the endpoints of the destinations that these messages name. Its memory therefore grows with its messages and
not with the endpoint list, and hundreds fit where the whole list would take hundreds of MB each. There is no
cheaper model in place of the ``Pacer``: it would have to be kept consistent with the ``Pacer``, because the
relays' decisions determine how they share a destination's limit.

The process reads a specification as one JSON line from standard input, reports that it is ready, and starts
the traffic when it reads the next line. It writes its counts every second. At the end of standard input it
writes its final figures and exits.
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
from fleetlab.realrelays import RESTART_DELAY, ROOT, end_with_parent, settle_memory
from starlingwick import interface as io
from starlingwick.control import Pacer
from starlingwick.settings import parse_settings

SHUTDOWN_TIME = 3.0  # seconds from SIGTERM to the end of a relay's process
STARTUP_TIME = 1.0  # seconds
WATCH_TIMEOUT = 3.0  # seconds without data after which a watch is considered dead
RESUBSCRIBE_DELAY = 0.1  # seconds after a watch has ended; doubles with each further failure
MAX_RESUBSCRIBE_DELAY = 4.0  # seconds
MAX_LINE_BYTES = 1 << 28
AVAILABILITY_BY_STATUS = {
    "Ready": io.Availability.RUNNING,
    "Terminating": io.Availability.STOPPING,
    "Gone": io.Availability.DELETED,
}
HOLLOW_LISTENER = "hollow"
REPORT_INTERVAL = 1.0  # seconds


@dataclass(frozen=True, slots=True)
class Spec:
    """The specification that a process of hollow relays reads at its start."""

    plan: Mapping[str, Any]
    numbers: tuple[int, ...]  # of the relays in this process
    agent: str  # host:port
    index: int  # version of the endpoint list that all relays start with
    addresses: Mapping[str, str]  # of the served endpoints, by endpoint name


@dataclass(slots=True)
class Counts:
    """Counters of one process of hollow relays."""

    offered: int = 0
    elsewhere: int = 0  # arrived while the relay was down
    delivered: int = 0
    dead: int = 0
    refused: int = 0
    calls: int = 0
    full: int = 0
    failed: int = 0  # calls that neither succeeded nor were throttled
    probes: int = 0
    restarts: int = 0
    watches: int = 0
    wholes: int = 0
    control_bytes: int = 0


@dataclass(slots=True)
class HeldMessage:
    """A message that a hollow relay holds."""

    destination: int
    key: str
    deadline: int  # nanoseconds
    accepted_at: int
    body: bytes
    attempts: int = 0
    possible_run_at: int | None = None
    calls: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    cancelled: set[int] = field(default_factory=set)  # attempts that the Pacer cancelled


@functools.lru_cache(maxsize=64)
def decode_update(line: bytes) -> Any:
    """Decode one line of a watch. Cached: hundreds of relays in this process receive the same line."""
    return json.loads(line)


class HollowProcess:
    """The state that the hollow relays of one process share: the planned fleet and their figures."""

    def __init__(self, spec: Spec) -> None:
        self.spec = spec
        self.plan = Plan.model_validate(spec.plan)
        self.fleet = Fleet(self.plan)
        self.counts = Counts()
        self.delivery = HdrHistogram(1, 3_600_000_000, 3)  # microseconds
        self.lateness = HdrHistogram(1, 3_600_000_000, 3)
        self.update_times: dict[int, list[tuple[float, float]]] = {}
        """For each list version and relay: when the relay received the version and when the relay's process
        started, in monotonic seconds."""
        self.traffic_began_at = 0  # monotonic nanoseconds; 0 before the traffic
        self.stopping = False
        seeds = self.fleet.seeds("hollow", self.plan.hollow)
        self.relays = {n: HollowRelay(self, n, seeds[n]) for n in spec.numbers}
        self.tasks: list[asyncio.Task[None]] = []

    async def run(
        self, commands: asyncio.StreamReader, write_line: Callable[[Mapping[str, Any]], None]
    ) -> None:
        for relay in self.relays.values():
            relay.start([])
        async with asyncio.timeout(60):
            while not all(relay.watching for relay in self.relays.values()):
                await asyncio.sleep(0.02)
        settle_memory()
        write_line({"ready": len(self.relays)})
        if not (line := await commands.readline()):
            return
        self.traffic_began_at = int(json.loads(line)["begin"] * NS)
        loop = asyncio.get_running_loop()
        for relay in self.relays.values():
            self.tasks.append(loop.create_task(relay.receive_messages()))
        self.tasks.append(loop.create_task(self._restarts()))
        self.tasks.append(loop.create_task(self._report(write_line)))
        while await commands.readline():
            pass
        self.stopping = True
        for task in self.tasks:
            task.cancel()
        held_count = sum(len(relay.held_messages) for relay in self.relays.values())
        for relay in self.relays.values():
            await relay.end_process()
        write_line(
            {
                "counts": asdict(self.counts),
                "held": held_count,
                "heard": self.update_times,
                "delivery": self.delivery.encode().decode(),
                "lateness": self.lateness.encode().decode(),
            }
        )

    async def _report(self, write_line: Callable[[Mapping[str, Any]], None]) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            write_line({"counts": asdict(self.counts)})

    async def _restarts(self) -> None:
        async with asyncio.TaskGroup() as group:
            for restart in self.fleet.restarts:
                if restart.hollow and restart.relay in self.relays:
                    group.create_task(self._restart(restart))

    async def _restart(self, restart: Restart) -> None:
        await asyncio.sleep(max(0.0, (self.traffic_began_at - time.monotonic_ns()) / NS + restart.at))
        await self.relays[restart.relay].restart(restart.killed)


class HollowRelay:
    """One hollow relay."""

    def __init__(self, process: HollowProcess, number: int, seed: np.random.SeedSequence) -> None:
        self.process = process
        self.name = f"h{number}"
        self.rng = np.random.Generator(np.random.PCG64(seed))
        fleet, plan = process.fleet, process.plan
        self.zone_indexes = {name: n for n, name in enumerate(fleet.zone_names)}
        self.settings = parse_settings(
            fleet.settings(max(plan.hollow_rate, 0.1), number % len(self.zone_indexes))
        )
        self.kind_indexes = {name: n for n, name in enumerate(fleet.settings(1.0)["kinds"])}
        count = int(self.rng.poisson(plan.hollow_rate * plan.length))
        shares = np.array([destination.share for destination in fleet.drawn])
        drawn = self.rng.choice(len(fleet.drawn), count, p=shares / shares.sum())
        arrival_times = np.sort(self.rng.uniform(0, plan.length, count))
        self.messages = [
            (float(at), fleet.drawn[int(n)].number) for at, n in zip(arrival_times, drawn, strict=True)
        ]
        self.destinations = {destination for _, destination in self.messages}
        self.known_entries = tuple(
            io.EndpointEntry(
                endpoint.name,
                self.zone_indexes[endpoint.zone],
                self.kind_indexes[destination.kind],
                destination.number,
                io.Availability.RUNNING,
                destination.listed,
            )
            for destination in fleet.drawn
            if destination.number in self.destinations
            for endpoint in destination.endpoints
        )
        self.addresses = {
            entry.endpoint: process.spec.addresses.get(entry.endpoint, unused_address(0))
            for entry in self.known_entries
        }
        self.held_messages: dict[str, HeldMessage] = {}
        self.list_version = process.spec.index
        self.up = False
        self.watching = False
        self.process_started_at = 0.0
        self.restarting = False
        self.pacer: Pacer | None = None
        self.session: aiohttp.ClientSession | None = None
        self.event_queue: list[io.Event] = []
        self.planning_pass_scheduled = False
        self.watch_task: asyncio.Task[None] | None = None
        self.timers: set[asyncio.TimerHandle] = set()
        self.probe_tasks: set[asyncio.Task[None]] = set()
        self.start_count = 0

    # ---- process lifecycle

    def start(self, recovered: list[io.Event]) -> None:
        """Start a new process under the same name, with the endpoint list from its configuration."""
        self.start_count += 1
        self.process_started_at = time.monotonic()
        self.pacer = Pacer(self.settings, int(self.rng.integers(1 << 62)))
        self.list_version = self.process.spec.index
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=8, force_close=False),
            headers={HOLLOW_HEADER: self.name},
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        self.up = True
        self.enqueue_event(io.EndpointUpdate(io.UpdateScope.CACHED, self.known_entries), *recovered)
        self.watch_task = asyncio.get_running_loop().create_task(self._watch())

    async def end_process(self) -> None:
        """End the process: cancel its timers, calls, probes and watch, and close its connections."""
        self.up = self.watching = False
        self.pacer = None
        self.event_queue.clear()
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        tasks = [call for message in self.held_messages.values() for call in message.calls.values()]
        tasks += list(self.probe_tasks)
        if self.watch_task is not None:
            tasks.append(self.watch_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for message in self.held_messages.values():
            message.calls.clear()
        if self.session is not None:
            await self.session.close()

    async def restart(self, killed: bool) -> None:
        """Restart as the platform does. The new process recovers the held messages, as from a journal."""
        if self.restarting:
            return
        self.restarting = True
        self.process.counts.restarts += 1
        if not killed:
            now = time.monotonic_ns()
            self.enqueue_event(
                io.ShutdownStarted(now + int(SHUTDOWN_TIME * NS), now + int((SHUTDOWN_TIME + 2) * NS))
            )
            stop_by = time.monotonic() + SHUTDOWN_TIME
            while time.monotonic() < stop_by and self.held_messages:
                await asyncio.sleep(0.05)
        await self.end_process()
        await asyncio.sleep(RESTART_DELAY + STARTUP_TIME)
        now = time.monotonic_ns()
        recovered: list[io.Event] = [
            io.MessageRecovered(
                message_id,
                0,
                message.destination,
                message.key,
                message.deadline - now,
                message.attempts,
                None if message.possible_run_at is None else now - message.possible_run_at,
                -1,
            )
            for message_id, message in self.held_messages.items()
        ]
        self.start(recovered)
        self.restarting = False

    async def receive_messages(self) -> None:
        """Feed the drawn messages to the relay at their times."""
        process, time_left = self.process, int(self.process.plan.deadline * NS)
        for n, (offset, destination) in enumerate(self.messages):
            arrives_at = process.traffic_began_at / NS + offset
            wait = arrives_at - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            process.lateness.record_value(max(1, round((time.monotonic() - arrives_at) * 1e6)))
            process.counts.offered += 1
            if not self.up or self.restarting:
                process.counts.elsewhere += 1
                continue
            now, message_id = time.monotonic_ns(), f"{self.name}-{n:06x}"
            self.held_messages[message_id] = HeldMessage(
                destination,
                f"k-{message_id}",
                now + time_left,
                now,
                b"%s:" % message_id.encode() * (1 + n % 40),
            )
            self.enqueue_event(io.MessageArrived(message_id, 0, 0, destination, f"k-{message_id}", time_left))

    # ---- planning passes

    def enqueue_event(self, *events: io.Event) -> None:
        if self.up:
            self.event_queue.extend(events)
            if not self.planning_pass_scheduled:
                self.planning_pass_scheduled = True
                asyncio.get_running_loop().call_soon(self._run_planning_pass)

    def _run_planning_pass(self) -> None:
        self.planning_pass_scheduled = False
        if self.pacer is None or not self.event_queue:
            return
        events, self.event_queue = self.event_queue, []
        for action in self.pacer.handle(time.monotonic_ns(), events):
            self._execute(action)

    def _execute(self, action: io.Action) -> None:
        loop = asyncio.get_running_loop()
        counts = self.process.counts
        match action:
            case io.Send(message_id, endpoint, deadline):
                message = self.held_messages[message_id]
                attempt = message.attempts
                message.attempts += 1
                message.calls[attempt] = loop.create_task(
                    self._call(message_id, message, attempt, endpoint, deadline)
                )
            case io.Cancel(message_id, attempt):
                held_message = self.held_messages.get(message_id)
                if held_message is not None and attempt in held_message.calls:
                    held_message.cancelled.add(attempt)
                    held_message.calls[attempt].cancel()
            case io.Probe(endpoint, deadline):
                probe = loop.create_task(self._probe(endpoint, deadline))
                self.probe_tasks.add(probe)
                probe.add_done_callback(self.probe_tasks.discard)
            case io.SetTimer(delay, token):
                self._call_later(delay / NS, lambda: self.enqueue_event(io.TimerExpired(token)))
            case io.Reject(message_id, _):
                counts.refused += 1
                self.held_messages.pop(message_id, None)
            case io.Fail(message_id):
                counts.dead += 1
                self.held_messages.pop(message_id, None)
            case io.CloseIdleConnections() | io.Subscribe() | io.Log():
                pass  # idle connections time out, the list is always watched, and there is no log

    def _call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        def on_timer() -> None:
            self.timers.discard(timer)
            callback()

        timer = asyncio.get_running_loop().call_later(seconds, on_timer)
        self.timers.add(timer)

    # ---- calls

    async def _call(
        self, message_id: str, message: HeldMessage, attempt: int, endpoint: str, deadline: int
    ) -> None:
        start_count, started_at, counts = self.start_count, time.monotonic_ns(), self.process.counts
        counts.calls += 1
        deadline = min(deadline or message.deadline, message.deadline)
        if message.possible_run_at is None:
            message.possible_run_at = started_at  # until an outcome proves that it was not executed
        timeout_seconds = max(0.001, (deadline - started_at) / NS)
        headers = {
            "X-Request-ID": message_id,
            "Idempotency-Key": message.key,
            "X-Timeout-Ms": str(int(timeout_seconds * 1000)),
        }
        try:
            status, retry_after_ms = await self._exchange(
                "POST", endpoint, "/hook", timeout_seconds, headers, message.body
            )
        except asyncio.CancelledError:
            if attempt not in message.cancelled or start_count != self.start_count:
                raise
            status, retry_after_ms = io.Status.CANCELLED, 0
        if start_count != self.start_count or not self.up:
            return
        message.calls.pop(attempt, None)
        now = time.monotonic_ns()
        if (
            status in (io.Status.FULL, io.Status.CONNECT_FAILED, io.Status.MOOT)
            and message.possible_run_at == started_at
        ):
            message.possible_run_at = None
        succeeded = status is io.Status.OK
        counts.full += status is io.Status.FULL
        counts.failed += status not in (io.Status.OK, io.Status.FULL)
        if succeeded and self.held_messages.pop(message_id, None) is not None:
            counts.delivered += 1
            self.process.delivery.record_value(max(1, (now - message.accepted_at) // 1000))
        self.enqueue_event(
            io.AttemptEnded(
                message_id,
                attempt,
                endpoint,
                status,
                now - started_at,
                succeeded,
                retry_after_ms * 1_000_000,
                False,
                None,
            )
        )

    async def _probe(self, endpoint: str, deadline: int) -> None:
        started_at = time.monotonic_ns()
        self.process.counts.probes += 1
        timeout_seconds = max(0.001, (deadline - started_at) / NS) if deadline else 1.5
        status, _ = await self._exchange("GET", endpoint, "/-/healthy", timeout_seconds, {}, None)
        self.enqueue_event(io.ProbeEnded(endpoint, status, time.monotonic_ns() - started_at, None))

    async def _exchange(
        self,
        method: str,
        endpoint: str,
        path: str,
        timeout_seconds: float,
        headers: Mapping[str, str],
        body: bytes | None,
    ) -> tuple[io.Status, int]:
        """Make one HTTP request. Return its outcome and the Retry-After wait in milliseconds."""
        assert self.session is not None
        client_timeout = aiohttp.ClientTimeout(
            total=timeout_seconds,
            sock_connect=self.settings.limits.connect_timeout / NS,
            ceil_threshold=math.inf,
        )
        url = f"http://{self.addresses.get(endpoint, unused_address(0))}{path}"
        try:
            async with self.session.request(
                method, url, data=body, headers=headers, timeout=client_timeout
            ) as response:
                await response.read()
                return call_outcome(response.status, response.headers.get("X-Backoff-Ms", ""))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return io.Status.CONNECT_FAILED, 0
        except TimeoutError:
            return io.Status.TIMEOUT, 0
        except (aiohttp.ClientError, OSError):
            return io.Status.RESET, 0

    # ---- endpoint list

    async def _watch(self) -> None:
        failures = 0
        while True:
            try:
                await self._read_updates()
            except (aiohttp.ClientError, OSError, TimeoutError):
                failures += 1
            else:
                failures = 0
            if self.watching:
                failures, self.watching = 0, False
            delay = min(MAX_RESUBSCRIBE_DELAY, RESUBSCRIBE_DELAY * 2**failures)
            await asyncio.sleep(delay * float(self.rng.uniform(0.5, 1)))

    async def _read_updates(self) -> None:
        assert self.session is not None
        counts, buffer = self.process.counts, bytearray()
        client_timeout = aiohttp.ClientTimeout(total=None, sock_connect=2.0, sock_read=None)
        url = f"http://{self.process.spec.agent}/api/targets?follow=1&since={self.list_version}"
        async with self.session.get(url, timeout=client_timeout) as response:
            if response.status != 200:
                return
            counts.watches += 1
            self.watching = True
            while True:
                async with asyncio.timeout(WATCH_TIMEOUT):
                    chunk = await response.content.readany()
                if not chunk or len(buffer) > MAX_LINE_BYTES:
                    return
                counts.control_bytes += len(chunk)
                buffer += chunk
                if b"\n" in chunk:
                    *lines, remainder = bytes(buffer).split(b"\n")
                    buffer = bytearray(remainder)
                    for line in lines:
                        if line.strip():
                            self._apply_update(decode_update(line))

    def _apply_update(self, update: Mapping[str, Any]) -> None:
        new_version, is_snapshot = int(update["index"]), bool(update["snapshot"])
        now = time.monotonic()
        if self.process.traffic_began_at:
            for version in range(self.list_version + 1, new_version + 1):
                self.process.update_times.setdefault(version, []).append((now, self.process_started_at))
        self.process.counts.wholes += is_snapshot
        self.list_version = new_version
        entries = []
        for fields in update["endpoints"]:
            if fields["group"] in self.destinations:
                self.addresses[fields["name"]] = fields["address"]
                entries.append(
                    io.EndpointEntry(
                        fields["name"],
                        self.zone_indexes[fields["zone"]],
                        self.kind_indexes[fields["type"]],
                        fields["group"],
                        AVAILABILITY_BY_STATUS[fields["status"]],
                        float(fields["weight"]),
                    )
                )
        if entries or is_snapshot:
            self.enqueue_event(
                io.EndpointUpdate(
                    io.UpdateScope.SNAPSHOT if is_snapshot else io.UpdateScope.DELTA, tuple(entries)
                )
            )


def call_outcome(status: int, backoff_header: str) -> tuple[io.Status, int]:
    """Return the outcome that an HTTP response means, and its Retry-After wait in milliseconds."""
    match status:
        case 200:
            return io.Status.OK, 0
        case 429:
            return io.Status.FULL, int(
                backoff_header
            ) if backoff_header.isascii() and backoff_header.isdigit() else 0
        case 503:
            return io.Status.FULL, 0
        case 504:
            return io.Status.MOOT, 0
    return io.Status.ERROR, 0


# ---- parent side


class HollowProcesses:
    """The child processes of hollow relays, started and read by the scale run."""

    def __init__(self, plan: Plan, count: int) -> None:
        self.plan = plan
        self.count = min(count, plan.hollow)
        self.children: list[asyncio.subprocess.Process] = []
        self.latest_reports: list[dict[str, Any]] = []
        self.ready_count = 0
        self._reader_tasks: list[asyncio.Task[None]] = []

    async def start(self, agent: str, index: int, addresses: Mapping[str, str], log: Path) -> None:
        """Start the processes and wait until all relays watch the endpoint list.

        Raises ChildProcessError if a process ends early, TimeoutError if one is not ready in time.
        """
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
                    limit=MAX_LINE_BYTES,
                    preexec_fn=prepare_hollow_process,
                )
            self.children.append(child)
            self.latest_reports.append({"counts": {}})
            self._reader_tasks.append(asyncio.get_running_loop().create_task(self._read(n, child)))
            spec = Spec(
                self.plan.model_dump(), tuple(range(n, self.plan.hollow, self.count)), agent, index, addresses
            )
            self._write(child, asdict(spec))
        async with asyncio.timeout(90):
            while self.ready_count < self.count:
                if any(child.returncode is not None for child in self.children):
                    raise ChildProcessError("a process of hollow relays ended before it was ready")
                await asyncio.sleep(0.05)

    def begin(self, at: float) -> None:
        """Start the traffic at a monotonic time, in seconds."""
        for child in self.children:
            self._write(child, {"begin": at})

    async def stop(self) -> bool:
        """Stop all processes. Return whether each wrote its figures and exited by itself with status 0."""
        for child in self.children:
            if child.stdin is not None:
                child.stdin.close()
        all_succeeded = True
        for child in self.children:
            try:
                async with asyncio.timeout(15):
                    all_succeeded = await child.wait() == 0 and all_succeeded
            except TimeoutError:
                child.kill()
                await child.wait()
                all_succeeded = False
        await asyncio.gather(*self._reader_tasks, return_exceptions=True)
        return all_succeeded

    def total(self, name: str) -> int:
        return sum(int(report["counts"].get(name, 0)) for report in self.latest_reports)

    @staticmethod
    def _write(child: asyncio.subprocess.Process, line: Mapping[str, Any]) -> None:
        assert child.stdin is not None
        child.stdin.write(json.dumps(line).encode() + b"\n")

    async def _read(self, n: int, child: asyncio.subprocess.Process) -> None:
        assert child.stdout is not None
        while line := await child.stdout.readline():
            report = json.loads(line)
            if "ready" in report:
                self.ready_count += 1
            else:
                self.latest_reports[n] = report


def prepare_hollow_process() -> None:
    """Set up the child process: SIGKILL when its parent ends, and no SIGINT from Ctrl-C."""
    os.setpgid(0, 0)
    end_with_parent()


async def serve() -> None:
    """Run one process of hollow relays."""
    loop = asyncio.get_running_loop()
    commands = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    line = await commands.readline()

    def write_line(message: Mapping[str, Any]) -> None:
        sys.stdout.write(json.dumps(message, separators=(",", ":")) + "\n")
        sys.stdout.flush()

    if line:
        await HollowProcess(Spec(**json.loads(line))).run(commands, write_line)


if __name__ == "__main__":
    with contextlib.suppress(BrokenPipeError, KeyboardInterrupt):
        asyncio.run(serve())
