"""A client sends several commands at once on a new connection while idle clients fill the descriptors."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins_2 import (  # noqa: E402
    BROKEN,
    FILING,
    HELD,
    TROUBLE,
    Endpoint,
    Message,
    Platform,
    Record,
    RelayProcess,
    run_case,
    settings,
)

SOCKETS = 256  # clients may hold a third of them
CROWD = 90  # idle clients
BURSTS, BURST = 3, 5  # connections one after another, commands on each
RESET_WAIT = 2.0  # seconds in which a close over unread bytes would show as a reset


async def case(record: Record, folder: Path) -> int:
    platform = Platform(record)
    await platform.start()
    endpoint = Endpoint(record, "s-0", 0, 40.0)
    endpoint.service_time = 0.05
    await endpoint.start()
    platform.entries[endpoint.name] = endpoint.entry()
    relay = RelayProcess(
        record,
        folder,
        {
            "discovery": platform.address,
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": SOCKETS, "disk_mb": 3},
            "known": platform.whole(),
            "settings": settings([FILING]),
        },
    )
    try:
        await relay.start()
        await relay.ready()
        await asyncio.sleep(0.5)
        lost = 0
        crowd = []
        for number in range(BURSTS):
            if TROUBLE:  # they come anew each time: the relay closes those that stay silent
                for _ in range(CROWD):
                    crowd.append(await asyncio.open_connection("127.0.0.1", relay.port))
                await asyncio.sleep(0.3)
            lost += await burst(record, relay.port, number)
            for _, writer in crowd:
                writer.close()
            crowd.clear()
            await asyncio.sleep(1.0)
        record.add(f"{lost} of {BURSTS * BURST} requests were read and got no answer")
        print(record.lines[-1])
        return BROKEN if lost else HELD
    finally:
        await relay.end()


async def burst(record: Record, port: int, number: int) -> int:
    """Send some commands at once on a new connection. Returns how many were read and got no answer."""
    messages = [Message(1000 * number + n, "filing", 0, os.urandom(300), 24_000) for n in range(1, BURST + 1)]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"".join(message.command() for message in messages))
    answered = 0
    try:
        for message in messages:
            line = await asyncio.wait_for(reader.readline(), 5.0)
            if not line:
                break
            message.answer = line.decode().strip()
            answered += 1
    except (TimeoutError, ConnectionError) as error:
        record.add(f"burst {number}: {type(error).__name__}")
    for message in messages:
        record.add(f"burst {number}: {message.id}: {message.answer}")
    await asyncio.sleep(RESET_WAIT)
    error = writer.transport.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    ended = reader.at_eof() and not error and reader.exception() is None
    record.add(f"burst {number}: the relay ended the connection without a reset: {ended}")
    writer.close()
    return BURST - answered if ended else 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
