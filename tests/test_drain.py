"""Sending clients away: entered, left, entered again, and never an end."""

from __future__ import annotations

import signal

from garnetrelay.clients import RECENT_ACTIVITY_WINDOW
from tests.processes import Process, free_port
from tests.sockets import Client, Field, http


async def drained(process: Process) -> bool:
    """Whether a check on a connection of its own hears no."""
    check = await Client.connect(process.port)
    answer = await check.ask("PING")
    assert answer == b"PONG" or await check.read() is None  # a drained relay closes behind its no
    check.writer.close()
    return bool(answer != b"PONG")


async def test_drain_can_be_entered_left_and_entered_again(field: Field, process: Process) -> None:
    process.mgmt = free_port()
    idle = await process.start()
    assert await idle.ask("PING") == b"PONG"
    busy = await Client.connect(process.port)
    assert await busy.enqueue("m1") == b"OK"
    call = await field.host.next_call()
    assert (await http(process.mgmt, "PUT /healthcheck/fail"))[0] == 200
    assert await idle.read() is None and await busy.read() is None  # closed between requests
    assert await drained(process)
    late = await Client.connect(process.port)  # came up before its front heard of it
    assert await late.enqueue("m2") == b"OK"
    assert await late.read() is None
    call.answer(200)
    (await field.host.next_call()).answer(200)  # what was taken on goes on
    assert (await http(process.mgmt, "PUT /healthcheck/ok"))[0] == 200
    assert not await drained(process)
    kept = await Client.connect(process.port)
    assert await kept.enqueue("m3") == b"OK"
    (await field.host.next_call()).answer(200)
    assert await kept.ask("PING") == b"PONG"
    assert (await http(process.mgmt, "PUT /healthcheck/fail"))[0] == 200
    assert await kept.read() is None
    assert await drained(process)
    assert process.child is not None and process.child.returncode is None
    assert await process.stop(signal.SIGTERM) == 0


async def test_connection_that_has_just_come_up_keeps_the_time_for_its_first_request(field: Field) -> None:
    first = await field.start()
    assert await first.ask("PING") == b"PONG"
    new = await Client.connect(int(first.writer.get_extra_info("peername")[1]))
    assert await first.ask("PING") == b"PONG"  # the relay has looked at its sockets: it knows the new one
    field.relays[0].drain()
    assert await first.read() is None
    assert await new.enqueue("m1") == b"OK"
    assert await new.read() is None
    (await field.host.next_call()).answer(200)


async def test_end_of_a_drain_does_not_undo_the_planned_end(field: Field) -> None:
    client = await field.start()
    relay = field.relays[0]
    relay.server.stop()
    relay.drain()
    relay.resume()
    assert await client.enqueue("m1") == b"OK"
    assert await client.read() is None
    (await field.host.next_call()).answer(200)


async def test_silent_connections_make_way_where_another_process_serves(field: Field) -> None:
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
