"""A clump of large messages for a destination that hangs: does the relay go on with its other work?"""

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
    run_case,
    settings,
)

LENGTH = 36.0  # seconds of traffic
CLUMP_AT = 5.0
CLUMP = 40  # messages: what the destination takes in 2.5 s (16 a second)
CLUMP_BODY = 65_000  # bytes; a body holds no more than 64 KiB
CALM_SPACING = 0.4  # seconds between the same messages with TROUBLE=0
HANG_AT, HANG_LENGTH = 4.0, 18.0  # of the clump's destination; left out with TROUBLE=0
ENDPOINTS = 20  # one for each destination; one of twenty hangs
SMALL_RATE = 10.0  # messages a second to the other destinations: the clump is 10% of all messages
STANDSTILL, REFUSALS = 4.0, 15  # "all that it gets (15 or more) for 4 s on end"


async def case(record: Record, folder: Path) -> int:
    platform = Platform(record)
    await platform.start()
    endpoints = [Endpoint(record, f"s-{number}", number, 16.0) for number in range(ENDPOINTS)]
    for endpoint in endpoints:
        await endpoint.start()
        platform.entries[endpoint.name] = endpoint.entry()
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
        messages = await traffic(record, relay, endpoints[0])
        return judge(record, relay, messages, endpoints, platform)
    finally:
        await relay.end()


async def traffic(record: Record, relay: RelayProcess, hanging: Endpoint) -> list[Message]:
    client, clump_client = Client(record, relay.port), Client(record, relay.port)
    messages: list[Message] = []
    began, tasks = record.now(), []

    async def clump() -> None:
        await asyncio.sleep(CLUMP_AT)
        batch = [Message(1000 + n, "filing", 0, os.urandom(CLUMP_BODY), 24_000) for n in range(CLUMP)]
        messages.extend(batch)
        await clump_client.open(CLUMP if TROUBLE else 0)
        handed_in = []
        for message in batch:
            handed_in.append(asyncio.create_task(clump_client.hand_in(message)))
            if not TROUBLE:
                await asyncio.sleep(CALM_SPACING)
        await asyncio.gather(*handed_in)

    async def hang() -> None:
        await asyncio.sleep(HANG_AT)
        record.add(f"{hanging.name} hangs")
        hanging.status = None
        await asyncio.sleep(HANG_LENGTH)
        record.add(f"{hanging.name} is back")
        hanging.status = 200

    tasks.append(asyncio.create_task(clump()))
    if TROUBLE:
        tasks.append(asyncio.create_task(hang()))
    number = 100_000
    while record.now() - began < LENGTH:
        number += 1
        message = Message(number, "filing", 1 + number % (ENDPOINTS - 1), os.urandom(300), 24_000)
        messages.append(message)
        tasks.append(asyncio.create_task(client.hand_in(message)))
        await asyncio.sleep(1 / SMALL_RATE)
    await asyncio.gather(*tasks)
    return messages


def judge(
    record: Record,
    relay: RelayProcess,
    messages: list[Message],
    endpoints: list[Endpoint],
    platform: Platform,
) -> int:
    """Find the longest time in which the relay refused all that it got and attempted nothing."""
    signs_of_work = [0.0, record.now()]
    signs_of_work += [message.answered_at for message in messages if not message.answer.startswith("-BUSY")]
    signs_of_work += [call.at for endpoint in endpoints for call in endpoint.calls]
    signs_of_work.sort()
    longest, refused = 0.0, 0
    for start, end in zip(signs_of_work, signs_of_work[1:], strict=False):
        if end - start > longest:
            longest = end - start
            refused = sum(start < message.answered_at < end for message in messages)
    called = {call.id for endpoint in endpoints for call in endpoint.calls}
    clump = [message for message in messages if message.destination == 0]
    taken = [message for message in clump if message.taken]
    uncalled = [message for message in taken if message.id not in called]
    ended = {notice["ref"]: notice["result"] for _, notice in platform.notices}
    for line in relay.log_lines("no room", "succeed"):
        record.add(f"log: {line}")
    record.add(
        f"of the clump {len(taken)} of {len(clump)} were taken on; {len(uncalled)} of these got no call, "
        f"{sum(message.id in ended for message in uncalled)} of them came back by a notice"
    )
    record.add(f"longest time with all refused and no attempt: {longest:.2f} s, {refused} refused in it")
    print("\n".join(record.lines[-2:]))
    return BROKEN if longest >= STANDSTILL and refused >= REFUSALS else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
