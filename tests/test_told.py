"""When a change counts as told: discovery fails, refuses or stays silent, and has a change meanwhile."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from itertools import product
from pathlib import Path

import pytest

from garnetrelay.discovery import ListUpdate
from tests.clock import run_with_simulated_clock
from tests.sockets import Call, Client, Field, HttpServer, Platform, Watch, endpoint, listing

TOLD = 6.0  # seconds after discovery had a change and could be reached
LINE_EVERY = 2.0  # seconds between the empty lines of a watch
VAIN = (1, 2, 3, 6)  # calls in a row that come to nothing, before discovery can be reached again
MANY = 200  # relays: each asks most seldom
LATE = 4.9  # seconds until discovery comes to a call, where it works through many in turn

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

Meeting = Callable[[Call], None]  # what a call for the list meets


def late_refusal(call: Call) -> None:
    asyncio.get_running_loop().call_later(LATE, call.send_raw, REFUSAL)


FAILED: dict[str, list[Meeting]] = {
    "no listener": [],
    "reset": [lambda call: call.abort()],
    "500": [lambda call: call.answer(500)],
    "200 and its end": [lambda call: call.answer(200)],
}
REFUSED: dict[str, list[Meeting]] = {
    "503": [lambda call: call.answer(503)],
    "429": [lambda call: call.answer(429, "X-Backoff-Ms: 30000")],
    "503, late": [late_refusal],
}
GIVEN_UP: dict[str, list[Meeting]] = {
    "silence": [lambda call: None],
    "half a head": [lambda call: call.send_raw(HEAD[:20])],
    "no line": [lambda call: call.send_raw(HEAD)],
}


class Agent(Platform):
    """Discovery as its relay sees it. While it is down, calls come to nothing as the test says; where it says
    nothing, nobody listens."""

    def __init__(self, meetings: list[Meeting], vain: int) -> None:
        super().__init__()
        self.meetings = meetings  # each call of a row meets the next
        self.kept = socket.socket()  # its port, while nobody listens there
        self.down = False
        self.vain = vain  # calls in a row that come to nothing
        self.met = 0
        self.last_met = asyncio.Event()
        self.watched = asyncio.Event()
        self.index = 41
        self.changes: list[dict[str, object]] = []

    def on_call(self, call: Call) -> None:
        if not call.line.startswith("GET "):
            super().on_call(call)
        elif self.down:
            self.meetings[self.met % len(self.meetings)](call)
            self.in_vain()
        else:
            call.send_raw(HEAD)
            watch = Watch(call)
            since = int(call.line.split()[1].partition("since=")[2])
            watch.line(listing(self.index, *self.changes) if since < self.index else "")
            self.watched.set()
            self._go_on(watch)

    def in_vain(self) -> None:
        self.met += 1
        if self.met == self.vain:
            self.last_met.set()

    def _go_on(self, watch: Watch) -> None:
        if not self.down and not watch.call.writer.is_closing():
            watch.line("")
            asyncio.get_running_loop().call_later(LINE_EVERY, self._go_on, watch)

    def fall(self) -> None:
        """Its watches stay open and fall silent; with no listener they break."""
        self.down = True
        if not self.meetings:
            assert self.server is not None
            self.server.close()
            host, port = self.address.split(":")
            self.kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.kept.bind((host, int(port)))  # or somebody else might listen there
            for writer in list(self.writers):
                writer.transport.abort()

    async def come_back(self, *changes: dict[str, object]) -> float:
        """Behind the last call in vain it can be reached, and has these changes: the time of it. What is open
        and silent stays so."""
        await self.last_met.wait()
        self.down = False
        self.index, self.changes = 43, list(changes)
        if not self.meetings:
            self.server = await asyncio.start_server(self._serve, sock=self.kept)
        return time.monotonic()

    async def stop(self) -> None:
        await super().stop()
        self.kept.close()


class Endpoint(HttpServer):
    """Delivers whatever comes, and notes when."""

    def __init__(self) -> None:
        super().__init__()
        self.times: list[float] = []

    def on_call(self, call: Call) -> None:
        if call.line.startswith("POST "):
            self.times.append(time.monotonic())
        call.answer(200)


class Scene:
    """A relay that has lost discovery, two endpoints, and clients that go on."""

    def __init__(self, folder: Path, mode: str, agent: Agent) -> None:
        folder.mkdir()
        self.field = Field(folder)
        self.field.facts.update(discovery=mode, balancers=MANY)
        self.field.platform = self.agent = agent
        self.leaves, self.stays = Endpoint(), Endpoint()
        self.sent = 0

    async def prepare(self) -> None:
        await self.field.prepare()
        for host in (self.leaves, self.stays):
            await host.start()
        self.field.endpoints = [endpoint(self.leaves, "s-1"), endpoint(self.stays, "s-2")]

    async def start(self) -> Client:
        """The relay, drawing the latest of whatever it leaves to chance in when it asks again."""
        client = await self.field.start()
        pacer = self.field.relays[0].pacer
        pacer.random.random = lambda: 0.999  # type: ignore[method-assign]
        return client

    def count_refused(self) -> None:
        """Where nobody listens, the relay alone knows of its calls."""
        watch = self.field.relays[0].discovery
        on_news = watch.on_update

        def counted(news: ListUpdate | None) -> None:
            on_news(news)
            if news is None:
                self.agent.in_vain()

        watch.on_update = counted

    async def stop(self) -> None:
        await self.field.stop()
        for host in (self.leaves, self.stays):
            await host.stop()

    async def deliver(self, client: Client, number: int) -> None:
        """Messages at four a second or less, each delivered."""
        for _ in range(number):
            self.sent += 1
            assert await client.enqueue(f"m{self.sent}") == b"OK"
            await asyncio.sleep(0.25)

    async def run(self, status: str, from_start: bool) -> None:
        """Discovery is back right behind the last call in vain: the worst moment."""
        agent = self.agent
        await self.prepare()
        if from_start:
            agent.fall()
        client = await self.start()
        try:
            if not from_start:
                await agent.watched.wait()
                agent.fall()
            if not agent.meetings:
                self.count_refused()
            back, _ = await asyncio.gather(
                agent.come_back(endpoint(self.leaves, "s-1", status)), self.deliver(client, 6)
            )
            assert self.leaves.times, "the test shows nothing where no call goes there anyhow"
            await asyncio.sleep(back + TOLD - 0.5 - time.monotonic())
            await self.deliver(client, 8)
            assert len(self.leaves.times) + len(self.stays.times) == self.sent
            late = [round(at - back, 2) for at in self.leaves.times if at - back > TOLD]
            assert not late, f"{late} s after discovery was back it still got calls"
            assert self.stays.times[-1] - back > TOLD
        finally:
            client.writer.close()
            await self.stop()


async def side_by_side(folder: Path, kinds: dict[str, list[Meeting]]) -> None:
    """A relay for each kind of call in vain, each number of them in a row, both ways in which changes come,
    and for a watch that was lost and one that never was."""
    plays = list(product(kinds, ("automatic", "subscribe"), VAIN, (False, True)))
    ends = await asyncio.gather(
        *(
            Scene(folder / str(number), mode, Agent(kinds[kind], vain)).run(
                "Gone" if vain % 2 else "Terminating", from_start
            )
            for number, (kind, mode, vain, from_start) in enumerate(plays)
        ),
        return_exceptions=True,
    )
    wrong = [
        f"{kind}, {mode}, {vain} in vain{' from the start' * from_start}: {end!r}"
        for (kind, mode, vain, from_start), end in zip(plays, ends, strict=True)
        if end is not None
    ]
    assert not wrong, "\n".join(wrong)


def test_change_is_told_within_6_s_behind_calls_that_failed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """6 s after discovery had it and could be reached, whatever failed before."""
    run_with_simulated_clock(monkeypatch, side_by_side(tmp_path, FAILED))


def test_change_is_told_within_6_s_behind_calls_that_discovery_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """6 s after discovery had it and could be reached, whatever it turned away before."""
    run_with_simulated_clock(monkeypatch, side_by_side(tmp_path, REFUSED))


def test_change_is_told_within_6_s_behind_calls_that_the_relay_gave_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """6 s after discovery had it and could be reached, though the last call stays open and silent."""
    run_with_simulated_clock(monkeypatch, side_by_side(tmp_path, GIVEN_UP))


def test_change_is_told_within_6_s_behind_failures_of_all_kinds_in_a_row(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """6 s after discovery had it and could be reached, with each failure of another kind than the last."""
    every = [one for kind in (GIVEN_UP, REFUSED, FAILED) for meetings in kind.values() for one in meetings]
    run_with_simulated_clock(
        monkeypatch,
        side_by_side(
            tmp_path, {f"all, from number {first} on": every[first:] + every[:first] for first in (0, 3, 6)}
        ),
    )
