"""Bad clients send much at once and go: does each message that was taken on before get its end in time?"""

from __future__ import annotations

import asyncio
import os
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
    command,
    run_case,
    settings,
)

PEERS = 100  # bad clients; clients may hold a third of 1,024 descriptors
PEER_BYTES = 65_000  # from each, all at once: 6.5 MB together; the page speaks of 60 MB
FLOOD_AT = 5.0
BEFORE = 0.3  # seconds before that in which messages with little time left are handed in
LEFT_MS = 3000  # of theirs: each was handed in before and came again late
VICTIMS = 10
WAIT_MS = 970  # that their destination tells once; "0.22 to 0.97 s or more"
RATE = 10.0  # other messages a second
LENGTH = 25.0
LATE = 0.5  # seconds after its time, from which a message without an end is lost


async def case(record: Record, folder: Path) -> int:
    platform = Platform(record)
    await platform.start()
    endpoints = [Endpoint(record, f"s-{number}", number, 40.0) for number in range(3)]
    for endpoint in endpoints:
        await endpoint.start()
        platform.entries[endpoint.name] = endpoint.entry()
    full = endpoints[0]
    full.service_time, full.wait_ms, full.refusals = 0.01, WAIT_MS, VICTIMS
    relay = RelayProcess(
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
        await relay.start()
        await relay.ready()
        messages = await play(record, relay)
        ends = {call.id: call.answered_at for e in endpoints for call in e.calls if call.answer == "200"}
        for at, notice in platform.notices:
            ends[notice["ref"]] = min(at, ends.get(notice["ref"], at))
        lost = 0
        for message in messages:
            time_up = message.sent_at + message.left_ms / 1000
            end = ends.get(message.id)
            if message.taken and record.now() > time_up + LATE and (end is None or end > time_up + LATE):
                lost += 1
                late = "never" if end is None else f"{end - time_up:.3f} s after its time"
                record.add(f"lost: {message.id}, answered {message.answer}, ended {late}")
        taken = sum(message.taken for message in messages)
        record.add(f"{lost} of {taken} messages that were taken on got no end within {LATE} s of their time")
        print(record.lines[-1])
        return BROKEN if lost else HELD
    finally:
        await relay.end()


async def play(record: Record, relay: RelayProcess) -> list[Message]:
    client = Client(record, relay.port)
    messages: list[Message] = []
    began, tasks, number = record.now(), [], 0

    def hand_in(destination: int, left_ms: int) -> None:
        nonlocal number
        number += 1
        message = Message(number, "filing", destination, os.urandom(300), left_ms)
        messages.append(message)
        tasks.append(asyncio.create_task(client.hand_in(message)))

    async def victims() -> None:
        await asyncio.sleep(FLOOD_AT - BEFORE)
        for _ in range(VICTIMS):
            hand_in(0, LEFT_MS)

    tasks.append(asyncio.create_task(victims()))
    if TROUBLE:
        tasks.append(asyncio.create_task(flood(record, relay.port)))
    while record.now() - began < LENGTH:
        hand_in(1 + number % 2, 24_000)
        await asyncio.sleep(1 / RATE)
    for task in tasks:
        await task
    return messages


async def flood(record: Record, port: int) -> None:
    data = command("PING") * (PEER_BYTES // len(command("PING")))
    await asyncio.sleep(FLOOD_AT - 0.1)
    peers = [await asyncio.open_connection("127.0.0.1", port) for _ in range(PEERS)]
    record.add(f"{PEERS} peers send {len(data)} bytes each, and go")
    for _, writer in peers:
        writer.write(data)
        writer.close()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
