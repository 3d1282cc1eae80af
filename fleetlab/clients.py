"""Those who hand messages in, over RESP2: open loop, so that a slow relay is not spared by its own slowness.

Messages come as a Poisson process. Each is handed in until it is taken on, refused for good or out of time:
once more after a refusal, and under a new id 0.77 to 1.9 s after a relay died or did not answer in 400 ms.
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

from fleetlab.fleet import CLASS, Fleet
from fleetlab.ledger import Entry, Ledger, Message, State

ANSWER_TIME = 0.4  # seconds
AGAIN_AFTER = (0.77, 1.9)  # seconds, where a relay died or did not answer
BACKOFF = (0.79, 1.5)  # seconds behind a refusal that told none
MOST_REFUSALS = 1  # after which a message is handed in once more
KEY_ZERO = "0000000000000000"
DRAWS = 4096  # destinations drawn at a time


class Connection(asyncio.Protocol):
    """One connection to a relay, one request at a time."""

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
            self.answer.set_exception(ConnectionResetError("closed with no answer"))

    async def ask(self, command: bytes, seconds: float) -> Any:
        """The answer, errors included. ConnectionError where there is none, TimeoutError where it is late."""
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
class Door:
    """Where a relay's clients connect, and whether the front still sends them there. Where it is ``leaving``
    they use the connections that they have for as long as these stay open, and open no other."""

    relay: str
    host: str
    port: int
    open: bool = False
    idle: list[Connection] = field(default_factory=list)
    connections: int = 0  # opened so far
    leaving: bool = False
    killed: bool = False  # by a signal that leaves no time for an answer
    unanswered: int = 0  # requests whose new connection was closed with no answer

    @property
    def usable(self) -> bool:
        """Whether a client would hand a message in here."""
        return self.open or self.leaving and bool(self.idle)

    async def ask(self, command: bytes, seconds: float) -> Any:
        """One request on a connection that is free, or on a new one. A request that crossed the close of a
        connection between requests is sent once more on a new one."""
        while self.idle:
            connection = self.idle.pop()
            if connection.lost:
                continue
            with contextlib.suppress(ConnectionError):
                return await self._on(connection, command, seconds)
            break
        if not self.open:
            raise ConnectionRefusedError("no new connections here")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(seconds):
            _, connection = await loop.create_connection(Connection, self.host, self.port)
        self.connections += 1
        try:
            return await self._on(connection, command, seconds)
        except ConnectionError:
            self.unanswered += not self.killed
            raise

    async def _on(self, connection: Connection, command: bytes, seconds: float) -> Any:
        try:
            answer = await connection.ask(command, seconds)
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
    """All clients of the real relays, and the front that deals their messages out."""

    def __init__(self, fleet: Fleet, ledger: Ledger, doors: list[Door], clock: Callable[[], float]) -> None:
        self.fleet = fleet
        self.ledger = ledger
        self.doors = {door.relay: door for door in doors}
        self.clock = clock
        # What comes is the same whatever becomes of it; ids and waits have a generator of their own.
        self.arrivals, self.rng = (
            np.random.Generator(np.random.PCG64(seed)) for seed in fleet.seeds("clients", 2)
        )
        self.lateness = HdrHistogram(1, 3_600_000_000, 3)  # of our own hand-ins, microseconds
        self.tasks: set[asyncio.Task[None]] = set()
        self._shares = np.array([dest.share for dest in fleet.drawn])
        self._shares /= self._shares.sum()
        self._drawn: list[int] = []
        self._numbers = np.array([dest.number for dest in fleet.drawn])

    async def play(self, until: float) -> None:
        """Hand messages in until then, in monotonic seconds. What was handed in goes its way behind it."""
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
            self.ledger.offered()
            self._spawn(message, 0.0)

    async def finish(self) -> None:
        """Nothing more is handed in."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for door in self.doors.values():
            door.close()

    def _message(self, number: int, at: float) -> Message:
        if not self._drawn:
            self._drawn = [int(n) for n in self.arrivals.choice(self._numbers, DRAWS, p=self._shares)]
        return Message(
            number,
            self._drawn.pop(),
            f"{int(self.arrivals.integers(1 << 62)):016x}",
            at,
            at + self.fleet.plan.deadline,
        )

    def _spawn(self, message: Message, wait: float) -> None:
        task = asyncio.get_running_loop().create_task(self._hand_in(message, wait))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _door(self, last: str | None) -> Door | None:
        """A relay gets all messages of a key as long as it runs; else the front draws."""
        if last is not None and self.doors[last].usable:
            return self.doors[last]
        up = [door for door in self.doors.values() if door.usable]
        return up[int(self.rng.integers(len(up)))] if up else None

    async def _hand_in(self, message: Message, wait: float) -> None:
        """Until it is taken on, or nobody tries any more. A notice that bounces it begins this anew."""
        mark, last = "", None
        body = f"{message.key}:".encode() * (1 + message.number % 40)
        if message.tries:
            mark = ",r=1"
        while True:
            if wait:
                await asyncio.sleep(wait)
            now = self.clock()
            left = int((message.due - now) * 1000)
            door = self._door(last)
            if left < 1:
                return
            if door is None:
                wait = 0.1
                continue
            last = door.relay
            ref = f"{int(self.rng.integers(1 << 62)):016x}"
            entry = Entry(ref, door.relay, body, message)
            entry.on_bounce = lambda ms: self._refused(message, ms)
            message.tries += 1
            self.ledger.handed_in(entry)
            words = f"c={CLASS},d={left},k={message.key},dest={message.dest}{mark}"
            command = packed("ENQUEUE", KEY_ZERO, ref, words, body)
            try:
                answer = await door.ask(command, ANSWER_TIME)
            except (OSError, TimeoutError):
                self.ledger.answered(entry, State.ABANDONED, self.clock() - now, self.clock())
                wait, mark = float(self.rng.uniform(*AGAIN_AFTER)), ",again=1"
                continue
            state, told = read_answer(answer)
            self.ledger.answered(entry, state, self.clock() - now, self.clock())
            if state is State.REFUSED:
                self._refused(message, told)
            if state is not State.FAILED:
                return
            wait, mark = float(self.rng.uniform(*AGAIN_AFTER)), ",again=1"

    def _refused(self, message: Message, wait_ms: int) -> None:
        message.refusals += 1
        if message.refusals <= MOST_REFUSALS:
            self._spawn(message, wait_ms / 1000 or float(self.rng.uniform(*BACKOFF)))


def packed(*words: str | bytes) -> bytes:
    """A command as it goes over the wire."""
    data: bytes = hiredis.pack_command(words)  # type: ignore[arg-type]  # its stub means a tuple of one
    return data


def read_answer(answer: Any) -> tuple[State, int]:
    """What a relay's answer to a message means, and the wait that it tells, in milliseconds."""
    if isinstance(answer, str | bytes):
        return State.TAKEN, 0
    words = str(answer).split()
    if isinstance(answer, hiredis.ReplyError) and words[:1] == ["BUSY"]:
        told = words[1] if len(words) > 1 else "0"
        return State.REFUSED, int(told) if told.isascii() and told.isdigit() else 0
    return State.FAILED, 0
