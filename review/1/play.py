"""Peers that are no clients stop in the middle of long commands, while clients hand in messages.

VARIANT=announce plays other peers: each announces a long array and says nothing more.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
from pathlib import Path
from signal import SIGKILL

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))

from rig import HOST, Case, Clients, Endpoint, Platform, Relay, main, settings

DESTS = [1, 2, 3, 4]
RATE = 30.0  # messages a second
LENGTH = 12.0  # seconds of traffic
MEMORY_MB, SOCKETS = 80, 384  # the limits in two of the three reports of dublin-port
PEERS = 120  # at once; clients may hold at most a third of the descriptors: 128
# The start of a command of 20,000 arguments of two bytes each; 10,100 of them are sent: 80,808 bytes.
COMMAND_START = b"*20000\r\n" + b"$2\r\nab\r\n" * 10_100

# The variant: rounds of peers, each of which announces an array and sends no more.
ROUNDS = 4
LARGEST, SMALLEST = 80_000_000, 8_000  # elements


async def peer(case: Case, relay: Relay, data: bytes) -> None:
    """Connect, send the data, and stay until the relay closes."""
    try:
        reader, writer = await asyncio.open_connection(HOST, relay.port)
        writer.write(data)
        while await reader.read(4096):
            pass
        writer.close()
    except OSError:
        pass


async def stalled_commands(case: Case, relay: Relay) -> None:
    for _ in range(PEERS):
        case.spawn(peer(case, relay, COMMAND_START))
        await asyncio.sleep(0.005)
    case.record.line(f"{PEERS} peers have sent {len(COMMAND_START)} bytes of a command each")


async def announced_arrays(case: Case, relay: Relay) -> None:
    for number in range(ROUNDS):
        count, elements = 0, LARGEST
        while elements >= SMALLEST:
            for _ in range(2):
                case.spawn(peer(case, relay, b"*%d\r\n" % elements))
                await asyncio.sleep(0.005)
                count += 1
            elements //= 2
        case.record.line(f"round {number}: {count} peers have announced arrays")
        await asyncio.sleep(1.0)


class MemoryLimit:
    """The platform's limit: over memory_mb the relay is killed. Only anonymous memory counts here."""

    def __init__(self, case: Case, relay: Relay) -> None:
        self.case = case
        self.relay = relay
        self.peak = 0  # bytes
        self.killed = False

    def used(self) -> int:
        assert self.relay.process is not None
        try:
            status = Path(f"/proc/{self.relay.process.pid}/status").read_text()
        except OSError:
            return 0
        return sum(int(line.split()[1]) * 1024 for line in status.splitlines() if line.startswith("RssAnon"))

    async def enforce(self) -> None:
        while self.relay.alive:
            used = self.used()
            self.peak = max(self.peak, used)
            if used > self.relay.limits["memory_mb"] * 1_000_000:
                self.case.record.say(f"the relay has {used / 1e6:.1f} MB: it is killed for memory")
                self.killed = True
                self.relay.signal(SIGKILL)
                return
            await asyncio.sleep(0.02)


async def play(case: Case) -> int:
    announce = os.environ.get("VARIANT") == "announce"
    platform = Platform(case)
    await platform.start()
    for dest in DESTS:
        endpoint = Endpoint(case, f"s-{dest}", dest, (0.23, 0.39))
        await endpoint.start()
        platform.entries[endpoint.name] = endpoint.entry(rate=20.0)
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS, "disk_mb": 3}
    if announce:
        limits |= {"memory_mb": 192, "sockets": 1024}
    relay = Relay(case, platform, facts=settings(), limits=limits)
    await relay.start()
    process = relay.process
    assert process is not None
    memory = MemoryLimit(case, relay)
    case.spawn(memory.enforce())
    clients = Clients(case, relay)
    body_bytes = (1_000, 60_000) if announce else (64, 400)
    traffic = case.spawn(clients.stream(RATE, LENGTH, DESTS, body_bytes=body_bytes))
    await asyncio.sleep(3.0)
    if case.trouble:
        await (announced_arrays if announce else stalled_commands)(case, relay)
    messages = await traffic
    await asyncio.sleep(2.0)
    answers = Counter("no answer" if "no answer" in str(m.answer) else str(m.answer)[:13] for m in messages)
    case.record.say(f"answers to {len(messages)} messages handed in: {dict(answers)}")
    open_messages = sum(m.answer == "OK" and m.delivered_at is None and not m.notices for m in messages)
    case.record.say(f"taken on with no end so far: {open_messages}")
    case.record.say(f"peak of anonymous memory: {memory.peak / 1e6:.1f} MB of {relay.limits['memory_mb']} MB")
    if memory.killed:
        case.record.say("BROKEN: the relay was killed for memory")
        return 3
    if process.returncode is not None:
        case.record.say(f"BROKEN: the relay ended by itself with status {process.returncode}")
        return 3
    case.record.say("HELD: the relay is still there")
    return 0


main(play)
