"""Changes reach the relay in time after discovery failed, rejected calls or stopped answering."""

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

MAX_UPDATE_DELAY = 6.0  # seconds after discovery has a change and is reachable
HEARTBEAT_INTERVAL = 2.0  # seconds between the empty lines that keep a watch alive
FAILURE_COUNTS = (1, 2, 3, 6)  # calls in a row that fail before discovery is reachable again
RELAYS = 200  # the more relays, the longer the pause between the calls of each
REJECTION_DELAY = 4.9  # seconds until an overloaded discovery answers a call

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REJECTION = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

FailureMode = Callable[[Call], None]  # how a call for the list fails


def reject_late(call: Call) -> None:
    asyncio.get_running_loop().call_later(REJECTION_DELAY, call.send_raw, REJECTION)


FAILED: dict[str, list[FailureMode]] = {
    "no listener": [],
    "reset": [lambda call: call.abort()],
    "500": [lambda call: call.answer(500)],
    "200 and its end": [lambda call: call.answer(200)],
}
REJECTED: dict[str, list[FailureMode]] = {
    "503": [lambda call: call.answer(503)],
    "429": [lambda call: call.answer(429, "X-Backoff-Ms: 30000")],
    "503, late": [reject_late],
}
TIMED_OUT: dict[str, list[FailureMode]] = {
    "silence": [lambda call: None],
    "half a head": [lambda call: call.send_raw(HEAD[:20])],
    "no line": [lambda call: call.send_raw(HEAD)],
}


class FailingDiscovery(Platform):
    """Discovery with an outage in which calls fail by ``failure_modes``, in turn.

    Without failure modes nothing listens on its port during the outage.
    """

    def __init__(self, failure_modes: list[FailureMode], expected_failures: int) -> None:
        super().__init__()
        self.failure_modes = failure_modes  # each call uses the next one
        self.reserved_socket = socket.socket()  # holds the port while nothing listens on it
        self.down = False
        self.expected_failures = expected_failures  # calls in a row that fail
        self.failure_count = 0
        self.last_failure = asyncio.Event()
        self.watched = asyncio.Event()
        self.index = 41
        self.changes: list[dict[str, object]] = []

    def on_call(self, call: Call) -> None:
        if not call.line.startswith("GET "):
            super().on_call(call)
        elif self.down:
            self.failure_modes[self.failure_count % len(self.failure_modes)](call)
            self.record_failure()
        else:
            call.send_raw(HEAD)
            watch = Watch(call)
            since = int(call.line.split()[1].partition("since=")[2])
            watch.line(listing(self.index, *self.changes) if since < self.index else "")
            self.watched.set()
            self._send_heartbeat(watch)

    def record_failure(self) -> None:
        self.failure_count += 1
        if self.failure_count == self.expected_failures:
            self.last_failure.set()

    def _send_heartbeat(self, watch: Watch) -> None:
        if not self.down and not watch.call.writer.is_closing():
            watch.line("")
            asyncio.get_running_loop().call_later(HEARTBEAT_INTERVAL, self._send_heartbeat, watch)

    def go_down(self) -> None:
        """Start the outage: watches stay open and silent; with no listener they are reset."""
        self.down = True
        if not self.failure_modes:
            assert self.server is not None
            self.server.close()
            host, port = self.address.split(":")
            self.reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.reserved_socket.bind((host, int(port)))  # so that no other process listens there
            for writer in list(self.writers):
                writer.transport.abort()

    async def come_back(self, *changes: dict[str, object]) -> float:
        """End the outage after the last expected failure, with these changes, and return the time of it.

        Connections that are open and silent stay so.
        """
        await self.last_failure.wait()
        self.down = False
        self.index, self.changes = 43, list(changes)
        if not self.failure_modes:
            self.server = await asyncio.start_server(self._serve, sock=self.reserved_socket)
        return time.monotonic()

    async def stop(self) -> None:
        await super().stop()
        self.reserved_socket.close()


class RecordingEndpoint(HttpServer):
    """Accepts every message and records when it came."""

    def __init__(self) -> None:
        super().__init__()
        self.times: list[float] = []

    def on_call(self, call: Call) -> None:
        if call.line.startswith("POST "):
            self.times.append(time.monotonic())
        call.answer(200)


class Scenario:
    """A relay without a connection to discovery, two endpoints, and a client that keeps sending."""

    def __init__(self, folder: Path, mode: str, discovery: FailingDiscovery) -> None:
        folder.mkdir()
        self.field = Field(folder)
        self.field.facts.update(discovery=mode, balancers=RELAYS)
        self.field.platform = self.discovery = discovery
        self.removed, self.remaining = RecordingEndpoint(), RecordingEndpoint()
        self.sent = 0

    async def prepare(self) -> None:
        await self.field.prepare()
        for host in (self.removed, self.remaining):
            await host.start()
        self.field.endpoints = [endpoint(self.removed, "s-1"), endpoint(self.remaining, "s-2")]

    async def start(self) -> Client:
        """Start the relay, with every random delay before its next call for the list at its maximum."""
        client = await self.field.start()
        pacer = self.field.relays[0].pacer
        pacer.random.random = lambda: 0.999  # type: ignore[method-assign]
        return client

    def count_failed_connections(self) -> None:
        """Count failed calls in the relay: where nothing listens, discovery does not see them."""
        watch = self.field.relays[0].discovery
        on_update = watch.on_update

        def record_update(update: ListUpdate | None) -> None:
            on_update(update)
            if update is None:
                self.discovery.record_failure()

        watch.on_update = record_update

    async def stop(self) -> None:
        await self.field.stop()
        for host in (self.removed, self.remaining):
            await host.stop()

    async def deliver(self, client: Client, number: int) -> None:
        """Send messages at four a second or less."""
        for _ in range(number):
            self.sent += 1
            assert await client.enqueue(f"m{self.sent}") == b"OK"
            await asyncio.sleep(0.25)

    async def run(self, status: str, from_start: bool) -> None:
        """Bring discovery back right after the last failed call, the worst moment, and check the delay."""
        discovery = self.discovery
        await self.prepare()
        if from_start:
            discovery.go_down()
        client = await self.start()
        try:
            if not from_start:
                await discovery.watched.wait()
                discovery.go_down()
            if not discovery.failure_modes:
                self.count_failed_connections()
            recovered_at, _ = await asyncio.gather(
                discovery.come_back(endpoint(self.removed, "s-1", status)), self.deliver(client, 6)
            )
            assert (
                self.removed.times
            ), "the endpoint got no calls before its removal: the test would show nothing"
            await asyncio.sleep(recovered_at + MAX_UPDATE_DELAY - 0.5 - time.monotonic())
            await self.deliver(client, 8)
            assert len(self.removed.times) + len(self.remaining.times) == self.sent
            late_calls = [
                round(at - recovered_at, 2)
                for at in self.removed.times
                if at - recovered_at > MAX_UPDATE_DELAY
            ]
            assert (
                not late_calls
            ), f"{late_calls} s after discovery was back the removed endpoint still got calls"
            assert self.remaining.times[-1] - recovered_at > MAX_UPDATE_DELAY
        finally:
            client.writer.close()
            await self.stop()


async def run_scenarios(folder: Path, kinds: dict[str, list[FailureMode]]) -> None:
    """Run a relay for each kind of failure, each number of failures in a row, both discovery modes, and with
    a watch that was lost or never opened."""
    cases = list(product(kinds, ("automatic", "subscribe"), FAILURE_COUNTS, (False, True)))
    results = await asyncio.gather(
        *(
            Scenario(folder / str(number), mode, FailingDiscovery(kinds[kind], expected_failures)).run(
                "Gone" if expected_failures % 2 else "Terminating", from_start
            )
            for number, (kind, mode, expected_failures, from_start) in enumerate(cases)
        ),
        return_exceptions=True,
    )
    errors = [
        f"{kind}, {mode}, {expected_failures} failures{' from the start' * from_start}: {result!r}"
        for (kind, mode, expected_failures, from_start), result in zip(cases, results, strict=True)
        if result is not None
    ]
    assert not errors, "\n".join(errors)


def test_change_is_applied_within_6_s_after_calls_that_failed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The delay runs from when discovery has the change and is reachable, whatever failed before."""
    run_with_simulated_clock(monkeypatch, run_scenarios(tmp_path, FAILED))


def test_change_is_applied_within_6_s_after_calls_that_discovery_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The delay runs from when discovery has the change and is reachable, whatever it rejected before."""
    run_with_simulated_clock(monkeypatch, run_scenarios(tmp_path, REJECTED))


def test_change_is_applied_within_6_s_after_calls_that_timed_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The delay runs from when discovery has the change and is reachable, though the last call stays open and
    silent."""
    run_with_simulated_clock(monkeypatch, run_scenarios(tmp_path, TIMED_OUT))


def test_change_is_applied_within_6_s_after_failures_of_all_kinds_in_a_row(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The delay runs from when discovery has the change and is reachable; successive failures differ."""
    all_modes = [
        failure_mode
        for kind in (TIMED_OUT, REJECTED, FAILED)
        for failure_modes in kind.values()
        for failure_mode in failure_modes
    ]
    run_with_simulated_clock(
        monkeypatch,
        run_scenarios(
            tmp_path,
            {f"all, from number {first} on": all_modes[first:] + all_modes[:first] for first in (0, 3, 6)},
        ),
    )
