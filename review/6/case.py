"""An upgrade while messages are handed in whose ids an earlier message has named: is each of them ended?"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins_2 import (  # noqa: E402
    BROKEN,
    FILING,
    HELD,
    TROUBLE,
    Client,
    Endpoint,
    Message,
    Platform,
    Record,
    RelayProcess,
    free_port,
    run_case,
    settings,
)

LEFT_MS = 8000  # how long each message may still be delivered
UPGRADE_AT, FOLLOW_AT = 3.0, 0.3  # seconds after the start, and after SIGTERM
SLOW_ANSWER = 1.1  # seconds of one call that is out at SIGTERM: 2.9 times 390 ms
FOLLOWERS = 10
SIGKILL_AFTER = 3.7
RATE = 5.0  # other messages a second
LATE = 0.5  # seconds after its time, from which a message without an end is lost


class Pair:
    """The running process of the relay and the one that takes over; the platform holds the socket."""

    def __init__(self, record: Record, folder: Path, config: dict[str, object]) -> None:
        self.record = record
        self.old = RelayProcess(record, folder, config)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.old.port))
        self.listener.listen(512)
        self.new: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start one process and wait until it says yes to the operators' health check."""
        door = free_port()
        descriptor = self.listener.fileno()
        environment = {"RELAY_INHERITED_FD": str(descriptor), "RELAY_MGMT": f"127.0.0.1:{door}"}
        await self.old.start(environment, descriptor)
        for _ in range(400):
            await asyncio.sleep(0.05)
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", door)
                writer.write(b"GET /healthcheck HTTP/1.1\r\nHost: door\r\n\r\n")
                answer = await reader.read()
                writer.close()
            except OSError:
                continue
            if answer.startswith(b"HTTP/1.1 200 "):
                self.record.add("the process says yes")
                return
        raise RuntimeError("the process does not say yes")

    def end_old(self, old: asyncio.subprocess.Process) -> asyncio.Task[None]:
        """End the old process by SIGTERM, and by SIGKILL if it is still there after 3.7 s."""
        self.record.add("SIGTERM to the old process")
        old.send_signal(signal.SIGTERM)

        async def reap() -> None:
            try:
                await asyncio.wait_for(old.wait(), SIGKILL_AFTER)
            except TimeoutError:
                old.kill()
                await old.wait()
            self.record.add("the old process has ended")

        return asyncio.create_task(reap())

    async def end(self) -> None:
        await self.old.end()
        self.listener.close()


async def case(record: Record, folder: Path) -> int:
    platform = Platform(record)
    await platform.start()
    endpoints = [Endpoint(record, f"s-{number}", number, 40.0) for number in range(3)]
    for endpoint in endpoints:
        endpoint.service_time = 0.1
        await endpoint.start()
        platform.entries[endpoint.name] = endpoint.entry()
    endpoints[2].service_time = SLOW_ANSWER
    pair = Pair(
        record,
        folder,
        {
            "discovery": platform.address,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": platform.whole(),
            "settings": settings([FILING]),
        },
    )
    try:
        await pair.start()
        messages = await play(record, pair)
        await asyncio.sleep(LEFT_MS / 1000 + LATE + 1.0)
        delivered = {call.id for endpoint in endpoints for call in endpoint.calls if call.answer == "200"}
        ended = delivered | {notice["ref"] for _, notice in platform.notices}
        lost = [message for message in messages if message.taken and message.id not in ended]
        for message in lost:
            record.add(f"lost: {message.id}, answered {message.answer}, has no delivery and no notice")
        taken = sum(message.taken for message in messages)
        record.add(f"{len(lost)} of {taken} messages that were taken on have no end")
        print(record.lines[-1])
        return BROKEN if lost else HELD
    finally:
        await pair.end()


async def play(record: Record, pair: Pair) -> list[Message]:
    client = Client(record, pair.old.port)
    followers = [Message(5000 + n, "filing", 0, os.urandom(300), LEFT_MS) for n in range(FOLLOWERS)]
    names = json.dumps([{"ref": follower.id} for follower in followers], separators=(",", ":"))
    messages = [Message(4000, "filing", 0, names.encode(), LEFT_MS)]
    await client.hand_in(messages[0])
    tasks: list[asyncio.Task[None]] = []

    async def others() -> None:
        for number in range(int(RATE * 10)):
            message = Message(6000 + number, "filing", 1, os.urandom(300), LEFT_MS)
            messages.append(message)
            await client.hand_in(message)
            await asyncio.sleep(1 / RATE)

    tasks.append(asyncio.create_task(others()))
    await asyncio.sleep(UPGRADE_AT)
    old = pair.old.process
    assert old is not None
    if TROUBLE:
        await pair.start()
    slow = Message(4001, "filing", 2, os.urandom(300), LEFT_MS)
    messages.append(slow)
    await client.hand_in(slow)
    await asyncio.sleep(0.1)
    ended = pair.end_old(old) if TROUBLE else None
    await asyncio.sleep(FOLLOW_AT)
    messages.extend(followers)
    for follower in followers:
        await client.hand_in(follower)
    await asyncio.gather(*tasks)
    if ended is not None:
        await ended
    return messages


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
