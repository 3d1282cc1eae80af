"""Idle clients use up their descriptors while discovery is down: the reserve suffices for everything else."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import select
import signal
import time

from tests.processes import Process
from tests.sockets import Client, Field, HttpServer, endpoint, listing

SOCKETS = 256  # descriptors, the smallest limit of a relay
SHARE = SOCKETS // 3  # descriptors, the limit of client connections
TOLD = 6.0  # seconds from the return of discovery until the relay receives an update
OWED = 3.0  # seconds from connecting to an answer, an error line or a close
DOWN = 3.0  # seconds of the discovery outage
CROWD = 400  # clients
SILENT_CALLS = 120  # calls to an endpoint that hangs: half of the descriptors
FIRST_LOOK = 0.5  # seconds in which the clients connect while the relay is stopped by SIGSTOP
AGAIN = 1.0  # seconds until a rejected client reconnects


class IdleClients:
    """Clients that connect, send one PING and stay idle. Rejected clients reconnect."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.idle: set[Client] = set()
        self.most_idle = 0
        self.rejected = 0
        self.unanswered: list[float] = []  # seconds waited without an answer, an error line or a close
        self.active = True

    async def run_one(self) -> None:
        while self.active:
            started_at = time.monotonic()
            with contextlib.suppress(ConnectionError):
                await self._stay_idle(await Client.connect(self.port), started_at)
            await asyncio.sleep(AGAIN)

    async def _stay_idle(self, client: Client, started_at: float) -> None:
        try:
            answer = await client.ask("PING")
            waited = time.monotonic() - started_at
            if waited > OWED:
                self.unanswered.append(waited)
            if answer != b"PONG":
                self.rejected += 1
                return
            self.idle.add(client)
            self.most_idle = max(self.most_idle, self._open_count())
            await client.read()
        finally:
            self.idle.discard(client)
            client.writer.transport.abort()

    def _open_count(self) -> int:
        """Return the number of idle clients that the relay has not closed according to the kernel.

        This process may not have read the end of a connection yet.
        """
        poll = select.poll()
        for client in self.idle:
            poll.register(client.writer.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return len(self.idle) - len(poll.poll(0))


async def read_log(process: Process, lines: list[str]) -> None:
    assert process.child is not None and process.child.stderr is not None
    while line := await process.child.stderr.readline():
        lines.append(line.decode())


def open_descriptors(process: Process) -> int:
    assert process.child is not None
    return len(os.listdir(f"/proc/{process.child.pid}/fd"))


async def test_256_descriptors_filled_by_idle_clients_leave_enough_for_discovery_calls_and_notices(
    field: Field, process: Process
) -> None:
    """Clients hold at most a third of them. The relay receives an update within 6 s of the return of
    discovery. Rejected clients get an error or a close within 3 s."""
    field.limits["sockets"] = SOCKETS
    field.facts["discovery"] = "subscribe"
    field.facts["familyInfo"]["callsOut"] = 2 * SILENT_CALLS
    field.facts["limits"]["mostHeld"] = 1000
    for message_class in field.facts["classes"]:
        # Calls may take long, so that those in flight stay.
        message_class.update(aim=30 * 10**9, deadline=60 * 10**9)
    removed, remaining = HttpServer(), HttpServer()
    for server in (removed, remaining):
        await server.start()
    field.endpoints = [endpoint(field.host), {**endpoint(removed, "s-2"), "group": 4}]
    client = await process.start()
    assert process.child is not None
    resource.prlimit(process.child.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
    log: list[str] = []
    tasks = [asyncio.create_task(read_log(process, log))]
    watch = await field.platform.next_watch()
    for n in range(SILENT_CALLS):
        assert await client.enqueue(f"silent{n}", d=59000) == b"OK"
        await field.host.next_call()

    field.platform.on_call = lambda call: None  # type: ignore[method-assign]
    watch.call.abort()
    process.child.send_signal(signal.SIGSTOP)  # as on a busy machine: all connect before it polls again
    idle_clients = IdleClients(process.port)
    tasks += [asyncio.create_task(idle_clients.run_one()) for _ in range(CROWD)]
    await asyncio.sleep(FIRST_LOOK)
    process.child.send_signal(signal.SIGCONT)
    peak, until = 0, time.monotonic() + DOWN
    while time.monotonic() < until:
        peak = max(peak, open_descriptors(process))
        await asyncio.sleep(0.01)

    del field.platform.on_call
    async with asyncio.timeout(TOLD):
        watch = await field.platform.next_watch()
    watch.line(
        listing(
            43, {**endpoint(removed, "s-2", "Gone"), "group": 4}, {**endpoint(remaining, "s-3"), "group": 4}
        )
    )
    for n in range(4):
        await enqueue_with_retries(process, f"m{n}")
        (await remaining.next_call()).answer(200)
    await enqueue_with_retries(process, "dead")
    (await remaining.next_call()).answer(500)
    assert await field.platform.next_notice() == {"ref": "dead", "result": "dead"}

    idle_clients.active = False
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert removed.calls.empty()
    assert peak < SOCKETS
    assert [line for line in log if "Too many open files" in line] == []
    assert SHARE - 1 <= idle_clients.most_idle <= SHARE and idle_clients.rejected >= CROWD - SHARE
    assert idle_clients.unanswered == []
    for server in (removed, remaining):
        await server.stop()


async def enqueue_with_retries(process: Process, ref: str) -> None:
    """Reconnect beside the idle clients until the message is accepted."""
    while True:
        with contextlib.suppress(ConnectionError):
            client = await Client.connect(process.port)
            try:
                if await client.enqueue(ref, "unsafe", d=8000, dest=4) == b"OK":
                    return
            finally:
                client.writer.transport.abort()
        await asyncio.sleep(0.05)
