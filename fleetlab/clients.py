"""Stand-ins for clients, which submit messages over RESP2 in an open loop.

A slow relay therefore does not reduce the load. Messages arrive as a Poisson process. Each is submitted
until a relay accepts it, its retry after a rejection is used up, or its deadline passes: once more after a
rejection, and under a new id 0.77 to 1.9 s after a relay died or did not answer within 400 ms.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import hiredis
import numpy as np
from hdrh.histogram import HdrHistogram

from fleetlab.fleet import CLASS_NAME, Fleet
from fleetlab.ledger import Entry, Ledger, Message, State

ANSWER_TIMEOUT = 0.4  # seconds
RESUBMIT_DELAY = (0.77, 1.9)  # seconds, after a relay died, failed or did not answer
REJECTION_BACKOFF = (0.79, 1.5)  # seconds, after a rejection without a wait
MAX_RESUBMISSIONS = 1  # per message, after rejections
REQUEST_KEY = "0000000000000000"  # first argument of each ENQUEUE
DRAW_BATCH = 4096  # destinations drawn at a time


class Connection(asyncio.Protocol):
    """One connection to a relay, with one request at a time."""

    def __init__(self) -> None:
        self.parser = hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[Any] | None = None
        self.requests = 0
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed(data)
        try:
            answer = self.parser.gets()
        except hiredis.ProtocolError as error:
            answer = error
        if answer is not False and self.answer is not None and not self.answer.done():
            self.answer.set_result(answer)

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionResetError("closed without an answer"))

    async def request(self, command: bytes, seconds: float) -> Any:
        """Return the answer or error reply.

        Raises ConnectionError if there is none, TimeoutError if it is late.
        """
        if self.lost or self.transport is None:
            raise ConnectionResetError("closed")
        self.requests += 1
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(command)
        async with asyncio.timeout(seconds):
            return await self.answer

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


@dataclass(slots=True, eq=False)
class RelayConnections:
    """Pool of client connections to one relay, and whether the load balancer still routes to that relay.

    While ``draining``, clients use the existing connections as long as these stay open, and open no new ones.
    """

    relay: str
    host: str
    port: int
    open: bool = False
    idle: list[Connection] = field(default_factory=list)
    connections: int = 0  # total opened
    draining: bool = False
    killed: bool = False  # by SIGKILL, so that requests may end without an answer
    unanswered: int = 0  # requests whose new connection closed without an answer

    @property
    def usable(self) -> bool:
        """Whether a client can submit messages to this relay."""
        return self.open or self.draining and bool(self.idle)

    async def request(self, command: bytes, seconds: float) -> Any:
        """Send one request on an idle connection or on a new one.

        If an idle connection closes while the request is sent, the request is repeated on a new connection.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.lost:
                continue
            with contextlib.suppress(ConnectionError):
                return await self._request_on(connection, command, seconds)
            break
        if not self.open:
            raise ConnectionRefusedError("the relay accepts no new connections")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(seconds):
            _, connection = await loop.create_connection(Connection, self.host, self.port)
        self.connections += 1
        try:
            return await self._request_on(connection, command, seconds)
        except ConnectionError:
            self.unanswered += not self.killed
            raise

    async def _request_on(self, connection: Connection, command: bytes, seconds: float) -> Any:
        try:
            answer = await connection.request(command, seconds)
        except BaseException:
            connection.close()
            raise
        if not connection.lost:
            self.idle.append(connection)
        return answer

    def close(self) -> None:
        for connection in self.idle:
            connection.close()
        self.idle.clear()


class Clients:
    """All clients of the real relays, and the load balancer that spreads their messages."""

    def __init__(
        self, fleet: Fleet, ledger: Ledger, pools: list[RelayConnections], clock: Callable[[], float]
    ) -> None:
        self.fleet = fleet
        self.ledger = ledger
        self.pools = {pool.relay: pool for pool in pools}
        self.clock = clock
        # Arrivals must not depend on their outcomes, so ids and waits use a separate generator.
        self.arrivals, self.rng = (
            np.random.Generator(np.random.PCG64(seed)) for seed in fleet.seeds("clients", 2)
        )
        # Delay of submissions against their schedule, in microseconds.
        self.lateness = HdrHistogram(1, 3_600_000_000, 3)
        self.tasks: set[asyncio.Task[None]] = set()
        self._traffic_shares = np.array([destination.share for destination in fleet.drawn])
        self._traffic_shares /= self._traffic_shares.sum()
        self._next_destinations: list[int] = []
        self._destination_numbers = np.array([destination.number for destination in fleet.drawn])

    async def play(self, until: float) -> None:
        """Submit messages until ``until``, in monotonic seconds; their retries continue afterwards."""
        rate, at, number = self.fleet.plan.rate, self.clock(), 0
        while True:
            at += float(self.arrivals.exponential(1 / rate))
            if at >= until:
                break
            now = self.clock()
            if at > now:
                await asyncio.sleep(at - now)
            self.lateness.record_value(max(1, round((self.clock() - at) * 1e6)))
            message = self._message(number, at)
            number += 1
            self.ledger.record_offered()
            self._spawn(message, 0.0)

    async def finish(self) -> None:
        """Stop all submissions and close the connections."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for pool in self.pools.values():
            pool.close()

    def _message(self, number: int, at: float) -> Message:
        if not self._next_destinations:
            self._next_destinations = [
                int(n)
                for n in self.arrivals.choice(self._destination_numbers, DRAW_BATCH, p=self._traffic_shares)
            ]
        return Message(
            number,
            self._next_destinations.pop(),
            f"{int(self.arrivals.integers(1 << 62)):016x}",
            at,
            at + self.fleet.plan.deadline,
        )

    def _spawn(self, message: Message, wait: float) -> None:
        task = asyncio.get_running_loop().create_task(self._submit(message, wait))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _pool_for(self, last_relay: str | None) -> RelayConnections | None:
        """Return the relay of the last submission while it is usable, else a random usable one."""
        if last_relay is not None and self.pools[last_relay].usable:
            return self.pools[last_relay]
        available = [pool for pool in self.pools.values() if pool.usable]
        return available[int(self.rng.integers(len(available)))] if available else None

    async def _submit(self, message: Message, wait: float) -> None:
        """Submit a message until it is accepted, rejected or out of time.

        A notice that rejects it later starts this again.
        """
        retry_field, last_relay = "", None
        body = f"{message.key}:".encode() * (1 + message.number % 40)
        if message.submissions:
            retry_field = ",r=1"
        while True:
            if wait:
                await asyncio.sleep(wait)
            now = self.clock()
            time_left_ms = int((message.deadline - now) * 1000)
            pool = self._pool_for(last_relay)
            if time_left_ms < 1:
                return
            if pool is None:
                wait = 0.1
                continue
            last_relay = pool.relay
            message_id = f"{int(self.rng.integers(1 << 62)):016x}"
            entry = Entry(message_id, pool.relay, body, message)
            entry.on_rejection = lambda ms: self._rejected(message, ms)
            message.submissions += 1
            self.ledger.record_submission(entry)
            fields = (
                f"c={CLASS_NAME},d={time_left_ms},k={message.key},dest={message.destination}{retry_field}"
            )
            command = encode_command("ENQUEUE", REQUEST_KEY, message_id, fields, body)
            try:
                answer = await pool.request(command, ANSWER_TIMEOUT)
            except (OSError, TimeoutError):
                self.ledger.record_answer(entry, State.ABANDONED, self.clock() - now, self.clock())
                wait, retry_field = float(self.rng.uniform(*RESUBMIT_DELAY)), ",again=1"
                continue
            state, wait_ms = parse_answer(answer)
            self.ledger.record_answer(entry, state, self.clock() - now, self.clock())
            if state is State.REJECTED:
                self._rejected(message, wait_ms)
            if state is not State.FAILED:
                return
            wait, retry_field = float(self.rng.uniform(*RESUBMIT_DELAY)), ",again=1"

    def _rejected(self, message: Message, wait_ms: int) -> None:
        message.rejections += 1
        if message.rejections <= MAX_RESUBMISSIONS:
            self._spawn(message, wait_ms / 1000 or float(self.rng.uniform(*REJECTION_BACKOFF)))


def encode_command(*fields: str | bytes) -> bytes:
    """Encode a RESP command."""
    data: bytes = hiredis.pack_command(fields)  # type: ignore[arg-type]  # the stub expects a tuple of one element
    return data


def parse_answer(answer: Any) -> tuple[State, int]:
    """Return the state that a relay's answer means, and its wait in milliseconds, 0 if it has none."""
    if isinstance(answer, str | bytes):
        return State.ACCEPTED, 0
    fields = str(answer).split()
    if isinstance(answer, hiredis.ReplyError) and fields[:1] == ["BUSY"]:
        wait_ms = fields[1] if len(fields) > 1 else "0"
        return State.REJECTED, int(wait_ms) if wait_ms.isascii() and wait_ms.isdigit() else 0
    return State.FAILED, 0
