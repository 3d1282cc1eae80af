"""Tests of drain and resume of client connections without a process exit."""

from __future__ import annotations

import signal

from garnetrelay.clients import RECENT_ACTIVITY_WINDOW
from tests.processes import Process, free_port
from tests.sockets import Client, Field, http


async def is_drained(process: Process) -> bool:
    """Return whether a health check on a new connection fails."""
    check = await Client.connect(process.port)
    answer = await check.ask("PING")
    assert answer == b"PONG" or await check.read() is None  # a drained relay closes after its error
    check.writer.close()
    return bool(answer != b"PONG")


async def test_drain_can_be_started_ended_and_started_again(field: Field, process: Process) -> None:
    process.mgmt = free_port()
    idle = await process.start()
    assert await idle.ask("PING") == b"PONG"
    busy = await Client.connect(process.port)
    assert await busy.enqueue("m1") == b"OK"
    call = await field.host.next_call()
    assert (await http(process.mgmt, "PUT /healthcheck/fail"))[0] == 200
    assert await idle.read() is None and await busy.read() is None  # closed between requests
    assert await is_drained(process)
    late = await Client.connect(process.port)  # connects before its load balancer notices the drain
    assert await late.enqueue("m2") == b"OK"
    assert await late.read() is None
    call.answer(200)
    (await field.host.next_call()).answer(200)  # accepted messages are still delivered
    assert (await http(process.mgmt, "PUT /healthcheck/ok"))[0] == 200
    assert not await is_drained(process)
    kept = await Client.connect(process.port)
    assert await kept.enqueue("m3") == b"OK"
    (await field.host.next_call()).answer(200)
    assert await kept.ask("PING") == b"PONG"
    assert (await http(process.mgmt, "PUT /healthcheck/fail"))[0] == 200
    assert await kept.read() is None
    assert await is_drained(process)
    assert process.child is not None and process.child.returncode is None
    assert await process.stop(signal.SIGTERM) == 0


async def test_new_connection_keeps_its_time_for_a_first_request_during_a_drain(field: Field) -> None:
    first = await field.start()
    assert await first.ask("PING") == b"PONG"
    new = await Client.connect(int(first.writer.get_extra_info("peername")[1]))
    # The answer shows that the relay has polled its sockets and accepted the new connection.
    assert await first.ask("PING") == b"PONG"
    field.relays[0].drain()
    assert await first.read() is None
    assert await new.enqueue("m1") == b"OK"
    assert await new.read() is None
    (await field.host.next_call()).answer(200)


async def test_resume_does_not_cancel_a_graceful_shutdown(field: Field) -> None:
    client = await field.start()
    relay = field.relays[0]
    relay.server.stop()
    relay.drain()
    relay.resume()
    assert await client.enqueue("m1") == b"OK"
    assert await client.read() is None
    (await field.host.next_call()).answer(200)


async def test_unused_connections_are_closed_when_another_process_serves(field: Field) -> None:
    first = await field.start()
    server = field.relays[0].server
    silent, new = [await Client.connect(int(first.writer.get_extra_info("peername")[1])) for _ in range(2)]
    assert await first.ask("PING") == b"PONG"
    oldest = list(server.connections)[0]
    server.stop()
    assert await first.read() is None
    oldest.last_request_at -= RECENT_ACTIVITY_WINDOW
    server.close_unused_connections()
    assert await silent.read() is None
    assert await new.ask("PING") == b"PONG"
