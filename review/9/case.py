"""A relay restarts while discovery is down: does it remember which endpoints it has been told are gone?"""

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

OTHERS = 1000  # further endpoints of the list; a fleet has 3,200 at most
DRAIN_AT, GONE_AT, REUSE_AT, KILL_AT, END = 3.0, 4.5, 5.0, 7.0, 18.0
DOWN = 8.0  # seconds without discovery, from the kill on
RESTART_DELAY = 0.6
RATE = 10.0  # messages a second
GRACE = 0.55  # seconds after the relay was told; 500 ms, and 50 ms on sockets


def other_entry(number: int) -> dict[str, object]:
    """An endpoint of the list that gets no messages here; nobody listens at its address."""
    return {
        "name": f"s-{number:08x}",
        "address": f"127.1.{number // 250}.{number % 250 + 1}:6379",
        "zone": "a",
        "type": "plain",
        "group": 100 + number,
        "status": "Ready",
        "weight": 5.0,
        "since_ms": 0,
    }


async def case(record: Record, folder: Path) -> int:
    platform = Platform(record)
    await platform.start()
    old, new, foreign = (
        Endpoint(record, "s-old", 5, 40.0),
        Endpoint(record, "s-new", 5, 40.0),
        Endpoint(record, "s-foreign", 6, 40.0),
    )
    for endpoint in (old, new):
        endpoint.service_time = 0.05
        await endpoint.start()
    platform.entries[old.name] = old.entry()
    for number in range(OTHERS):
        platform.entries[f"s-{number:08x}"] = other_entry(number)
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
        told_at = await play(record, platform, relay, (old, new, foreign))
        for line in relay.log_lines("list", "watch", "serves on"):
            record.add(f"log: {line}")
        wrong = [call for call in old.calls if call.at > told_at + GRACE]
        record.add(
            f"{len(wrong)} calls with messages for destination 5 reached {foreign.address}, which belongs to "
            f"destination 6, over {GRACE} s after the relay was told that {old.name} is gone; "
            f"{sum(call.answer == '200' for call in wrong)} of them were answered 200"
        )
        print(record.lines[-1])
        return BROKEN if wrong else HELD
    finally:
        await relay.end()


async def play(
    record: Record,
    platform: Platform,
    relay: RelayProcess,
    endpoints: tuple[Endpoint, Endpoint, Endpoint],
) -> float:
    """Hand in messages for destination 5 throughout. Returns when the relay was told of the change."""
    old, new, foreign = endpoints
    client = Client(record, relay.port)
    began, tasks, number, told_at = record.now(), [], 1, 0.0

    async def restart() -> None:
        record.add("SIGKILL, and discovery goes down")
        platform.silence()
        await relay.end()
        client.idle.clear()
        await asyncio.sleep(RESTART_DELAY)
        await relay.start()
        await relay.ready()
        await asyncio.sleep(DOWN - RESTART_DELAY)
        record.add("discovery is back")
        platform.silent = False

    def replace_machine() -> None:
        """Its machine is replaced, and the address goes to an endpoint of destination 6."""
        foreign.address = old.address
        platform.change(foreign.entry())

    changes = [
        (DRAIN_AT, lambda: (platform.change(new.entry()), platform.change(old.entry("Terminating")))),
        (GONE_AT, lambda: platform.change(old.entry("Gone"))),
        (REUSE_AT, replace_machine),
    ]
    restarted = None
    while (elapsed := record.now() - began) < END:
        while changes and elapsed >= changes[0][0]:
            changes.pop(0)[1]()
            told_at = record.now()
        if TROUBLE and restarted is None and elapsed >= KILL_AT:
            restarted = asyncio.create_task(restart())
        number += 1
        message = Message(number, "filing", 5, os.urandom(300), 24_000)
        tasks.append(asyncio.create_task(client.hand_in(message)))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    if restarted is not None:
        await restarted
    return told_at


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
