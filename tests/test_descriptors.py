"""Idle clients fill the descriptors while discovery is down: what is kept back for all else suffices."""

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

SOCKETS = 256  # descriptors, the least that a relay is given
SHARE = SOCKETS // 3  # of them, the most that clients hold
TOLD = 6.0  # seconds after discovery is back, to hear of that
OWED = 3.0  # seconds after connecting, to an error line or a close
DOWN = 3.0  # seconds
CROWD = 400
SILENT_CALLS = 120  # to an endpoint that hangs: half of the descriptors
FIRST_LOOK = 0.5  # seconds in which the crowd connects while the relay is not running
AGAIN = 1.0  # seconds after which a client that is shut out comes again


class Crowd:
    """Clients that connect, ask once whether the relay is there, and rest; who is shut out comes again."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.resting: set[Client] = set()
        self.most_resting = 0
        self.shut_out = 0
        self.left_with_neither: list[float] = []  # seconds without an answer, an error line or a close
        self.goes_on = True

    async def one(self) -> None:
        while self.goes_on:
            began = time.monotonic()
            with contextlib.suppress(ConnectionError):
                await self._rest(await Client.connect(self.port), began)
            await asyncio.sleep(AGAIN)

    async def _rest(self, client: Client, began: float) -> None:
        try:
            heard = await client.ask("PING")
            waited = time.monotonic() - began
            if waited > OWED:
                self.left_with_neither.append(waited)
            if heard != b"PONG":
                self.shut_out += 1
                return
            self.resting.add(client)
            self.most_resting = max(self.most_resting, self._held())
            await client.read()
        finally:
            self.resting.discard(client)
            client.writer.transport.abort()

    def _held(self) -> int:
        """Resting clients that the relay has not closed, as the kernel knows: we may not have seen it yet."""
        poll = select.poll()
        for client in self.resting:
            poll.register(client.writer.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return len(self.resting) - len(poll.poll(0))


async def read_log(process: Process, lines: list[str]) -> None:
    assert process.child is not None and process.child.stderr is not None
    while line := await process.child.stderr.readline():
        lines.append(line.decode())


def descriptors(process: Process) -> int:
    assert process.child is not None
    return len(os.listdir(f"/proc/{process.child.pid}/fd"))


async def test_256_descriptors_filled_by_idle_clients_leave_enough_for_discovery_calls_and_notices(
    field: Field, process: Process
) -> None:
    """Clients hold a third of them at most. The return of discovery is heard of within 6 s; who is shut out
    hears so, or is closed, within 3 s."""
    field.limits["sockets"] = SOCKETS
    field.facts["discovery"] = "subscribe"
    field.facts["familyInfo"]["callsOut"] = 2 * SILENT_CALLS
    field.facts["limits"]["mostHeld"] = 1000
    for one in field.facts["classes"]:
        one.update(aim=30 * 10**9, deadline=60 * 10**9)  # a call may take long: those out stay out
    leaves, stays = HttpServer(), HttpServer()
    for host in (leaves, stays):
        await host.start()
    field.endpoints = [endpoint(field.host), {**endpoint(leaves, "s-2"), "group": 4}]
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
    process.child.send_signal(signal.SIGSTOP)  # as on a busy machine: all come before it looks again
    crowd = Crowd(process.port)
    tasks += [asyncio.create_task(crowd.one()) for _ in range(CROWD)]
    await asyncio.sleep(FIRST_LOOK)
    process.child.send_signal(signal.SIGCONT)
    most, until = 0, time.monotonic() + DOWN
    while time.monotonic() < until:
        most = max(most, descriptors(process))
        await asyncio.sleep(0.01)

    del field.platform.on_call
    async with asyncio.timeout(TOLD):
        watch = await field.platform.next_watch()
    watch.line(
        listing(43, {**endpoint(leaves, "s-2", "Gone"), "group": 4}, {**endpoint(stays, "s-3"), "group": 4})
    )
    for n in range(4):
        await hand_in(process, f"m{n}")
        (await stays.next_call()).answer(200)
    await hand_in(process, "dead")
    (await stays.next_call()).answer(500)
    assert await field.platform.next_notice() == {"ref": "dead", "result": "dead"}

    crowd.goes_on = False
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert leaves.calls.empty()
    assert most < SOCKETS
    assert [line for line in log if "Too many open files" in line] == []
    assert SHARE - 1 <= crowd.most_resting <= SHARE and crowd.shut_out >= CROWD - SHARE
    assert crowd.left_with_neither == []
    for host in (leaves, stays):
        await host.stop()


async def hand_in(process: Process, ref: str) -> None:
    """Clients in the crowd's midst come again until one of theirs is taken on."""
    while True:
        with contextlib.suppress(ConnectionError):
            client = await Client.connect(process.port)
            try:
                if await client.enqueue(ref, "unsafe", d=8000, dest=4) == b"OK":
                    return
            finally:
                client.writer.transport.abort()
        await asyncio.sleep(0.05)
