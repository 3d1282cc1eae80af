"""Terms of the standing test's page that no other test shows, over loopback sockets."""

from __future__ import annotations

import asyncio
import resource
import signal
import socket

from tests.processes import Process
from tests.sockets import PATIENCE, Client, Field

# ---- floods


async def test_burst_of_idle_clients_leaves_descriptors_for_what_is_served(
        field: Field, process: Process) -> None:
    """More connect at once than there are descriptors. Those beyond the bound are turned away, whoever comes
    then hears something, and not even for a moment is there no descriptor for a call or a file."""
    field.limits["sockets"] = 128
    client = await process.start()
    assert await client.ask("PING") == b"PONG"
    child = process.child
    assert child is not None and child.stderr is not None
    resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (128, 128))
    log = asyncio.create_task(child.stderr.read())
    child.send_signal(signal.SIGSTOP)  # the processor is another's while they come
    burst = [socket.create_connection(("127.0.0.1", process.port)) for _ in range(300)]
    child.send_signal(signal.SIGCONT)
    late = await Client.connect(process.port)
    assert await late.ask("PING") in ("BUSY", b"PONG")  # with a place, if some were idle for 2 s by then
    for one in burst:
        one.close()
    again = await Client.connect(process.port)
    while await again.ask("PING") != b"PONG":  # until the relay has seen that they went
        again = await Client.connect(process.port)
    assert await again.enqueue("m1", "unsafe") == b"OK"
    (await field.host.next_call()).answer(200)
    assert await process.end(signal.SIGTERM) == 0
    async with asyncio.timeout(PATIENCE):
        told = await log
    assert b"open files" not in told and b"Traceback" not in told
