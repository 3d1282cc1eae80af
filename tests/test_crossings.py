"""Two events that cross: each test forces the order on loopback sockets, by events and never by sleeping."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import fcntl
import os
import select
import signal
import socket
import struct
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from garnetrelay import clients, connection_pool
from garnetrelay.journal import Journal
from garnetrelay.relay import Relay
from starlingwick import interface as io
from tests.processes import ROOT, free_port
from tests.sockets import PATIENCE, Client, Field, packed, until

# ---- connections to hosts


def on_next_connection(
    monkeypatch: pytest.MonkeyPatch, then: Callable[[connection_pool.Connection], Awaitable[None]]
) -> None:
    """Let something happen when the next connection has come up, before who asked for it goes on."""
    loop = asyncio.get_running_loop()
    create, pending = loop.create_connection, [then]

    async def crossed(*args: Any, **options: Any) -> Any:
        made = await create(*args, **options)
        if pending and isinstance(made[1], connection_pool.Connection):
            await pending.pop()(made[1])
        return made

    monkeypatch.setattr(loop, "create_connection", crossed)


async def test_connection_that_breaks_between_coming_up_and_its_call_is_opened_again(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    client = await field.start()

    async def breaks(connection: connection_pool.Connection) -> None:
        await field.host.opened.get()
        for writer in list(field.host.writers):
            writer.transport.abort()
        await until(lambda: connection not in field.relays[0].connection_pool.open)

    on_next_connection(monkeypatch, breaks)
    await client.enqueue("m1", "unsafe")
    call = await field.host.next_call()
    assert field.relays[0].held_messages["m1"].attempts == 1
    call.answer(200)
    await until(lambda: not field.relays[0].held_messages)
    assert field.platform.notices.empty()


class Narrow:
    """A host whose connections take a few KiB: what is written to them stays unwritten until it reads."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]

    async def accept(self) -> socket.socket:
        async with asyncio.timeout(PATIENCE):
            connection, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        connection.setblocking(False)
        return connection


@contextlib.asynccontextmanager
async def unwritten(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[tuple[Narrow, socket.socket]]:
    """An unsafe message's call of which a part has been written."""
    narrow = Narrow()
    field.endpoints[0]["address"] = narrow.address
    field.facts["limits"]["probes"] = False
    client = await field.start()

    async def narrows(connection: connection_pool.Connection) -> None:
        assert connection.transport is not None
        connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    on_next_connection(monkeypatch, narrows)
    await client.enqueue("m1", "unsafe", body=bytes(60_000))
    side = await narrow.accept()
    await until(
        lambda: any(
            one.transport is not None and one.transport.get_write_buffer_size() > 0
            for one in field.relays[0].connection_pool.open
        )
    )
    yield narrow, side
    narrow.listener.close()


async def deliver(field: Field, narrow: Narrow) -> bytes:
    """Take the next call whole and answer it."""
    loop, side, got = asyncio.get_running_loop(), await narrow.accept(), b""
    async with asyncio.timeout(PATIENCE):
        while len(got) < 60_000 or b"\r\n\r\n" not in got:
            piece = await loop.sock_recv(side, 65536)
            assert piece, "closed before the call had come whole"
            got += piece
    side.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    await until(lambda: not field.relays[0].held_messages)
    side.close()
    return got


async def test_call_that_breaks_before_its_last_byte_is_written_never_ran(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with unwritten(field, monkeypatch) as (narrow, side):
        side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        side.close()  # a reset
        assert b"X-Request-ID: m1" in await deliver(field, narrow)
    assert field.platform.notices.empty()


async def test_connection_answered_before_its_call_was_written_is_not_used_again(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What is left of that call would go out behind our back, or before the next one."""
    async with unwritten(field, monkeypatch) as (narrow, side):
        side.send(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        assert b"X-Request-ID: m1" in await deliver(field, narrow)
        side.close()
    assert field.platform.notices.empty()


async def test_rest_of_a_call_that_was_held_back_ends_the_rest_before_it(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The timer of the earlier rest would cut off a later call on the same connection."""
    client = await field.start()
    await field.warm(client)
    relay = field.relays[0]
    await until(lambda: any(relay.connection_pool.idle.values()))
    connection = relay.connection_pool.idle["s-1"][-1]
    timer = connection.timer
    assert timer is not None
    clear, answers = relay.pacer.may_send, [False]
    monkeypatch.setattr(relay.pacer, "may_send", lambda *args: answers.pop() if answers else clear(*args))
    await client.enqueue("m1")
    await until(lambda: not answers)
    await until(lambda: connection in relay.connection_pool.idle.get("s-1", ()))
    assert timer.cancelled() and connection.timer is not timer
    (await field.host.next_call()).answer(200)
    await until(lambda: not relay.held_messages)


# ---- clients, and the end of the process


async def test_close_behind_an_answer_takes_nothing_back_from_a_client_that_asks_just_then(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next request lands behind the last look at the socket: closing with it unread would be a reset."""
    client = await field.start()

    class Look:
        def register(self, *args: Any) -> None:
            pass

        def poll(self, timeout: int) -> list[Any]:
            client.write("PING", "crossing")
            return []

    field.relays[0].server.draining = True
    monkeypatch.setattr(select, "poll", Look)
    assert await client.ask("PING") == b"PONG"
    assert await client.read() is None


async def raw_client(field: Field) -> socket.socket:
    """A connection that the relay knows, as a plain socket: what is done on it is done at once."""
    server = field.relays[0].server
    assert server.address is not None
    known = len(server.connections)
    raw = socket.create_connection(server.address)
    await until(lambda: len(server.connections) == known + 1)
    return raw


def reset(raw: socket.socket) -> None:
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    raw.close()


async def test_client_that_garbles_and_goes_leaves_the_turn_whole(
    field: Field, caplog: pytest.LogCaptureFixture
) -> None:
    """Our answer meets a closed socket, so that its side's end can't be ended any more: that must cost no
    other client its answer, and no message its call."""
    other = await field.start()
    raw = await raw_client(field)
    raw.sendall(packed("ENQUEUE", "0", "m1", "c=safe,d=8000,dest=3", "x") + b"garbage")
    raw.close()
    assert await other.enqueue("m2") == b"OK"
    call = await field.host.next_call()
    assert call.headers["x-request-id"] == "m2"
    call.answer(200)
    relay = field.relays[0]
    await until(lambda: not relay.held_messages and not relay.pacer.calls and not relay.pacer.messages)
    await until(lambda: len(relay.server.connections) == 1)
    assert not [record for record in caplog.records if record.exc_info]


async def both_are_delivered(field: Field, raw: socket.socket, other: Client) -> None:
    """One turn takes on a message of each; the other client hears so, and both messages get their call."""
    raw.sendall(packed("ENQUEUE", "0", "m1", "c=safe,d=8000,dest=3", "x"))
    other.write("ENQUEUE", "0", "m2", "c=safe,d=8000,dest=3", "x")
    assert await other.read() == b"OK"
    for _ in range(2):
        (await field.host.next_call()).answer(200)


async def test_no_error_at_one_clients_answer_costs_others_their_turn(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Twice such an error ended whole turns: calls held slots for good, ends were never told."""
    other = await field.start()
    raw = await raw_client(field)
    relay = field.relays[0]
    *_, spoilt = relay.server.connections

    def fails() -> None:
        raise RuntimeError("anything")

    monkeypatch.setattr(spoilt, "send_ready", fails)
    await both_are_delivered(field, raw, other)
    await until(
        lambda: not relay.held_messages and not relay.pacer.calls and len(relay.server.connections) == 1
    )
    raw.close()


async def test_client_that_resets_as_a_draining_relay_closes_leaves_the_turn_whole(
    field: Field, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Behind the last look at the socket, before our side ends."""
    other = await field.start()
    raw = await raw_client(field)
    relay = field.relays[0]
    *_, watched = relay.server.connections
    assert watched.transport is not None
    number, look = watched.transport.get_extra_info("socket").fileno(), select.poll

    class Look:
        def register(self, descriptor: int, *args: Any) -> None:
            self.descriptor = descriptor
            self.real = look()
            self.real.register(descriptor, *args)

        def poll(self, timeout: int) -> list[Any]:
            if self.descriptor == number and raw.fileno() >= 0:
                reset(raw)
                return []
            return self.real.poll(timeout)

    relay.server.draining = True
    monkeypatch.setattr(select, "poll", Look)
    await both_are_delivered(field, raw, other)
    await until(lambda: not relay.held_messages and not relay.pacer.calls)
    assert raw.fileno() < 0
    assert not [record for record in caplog.records if record.exc_info]


async def test_client_that_resets_as_the_process_ends_costs_no_other_its_answer(field: Field) -> None:
    other = await field.start()
    raw = await raw_client(field)
    server = field.relays[0].server
    raw.sendall(packed("PING"))
    *_, gone = server.connections
    await until(lambda: gone.answered_at > 0)
    assert await other.ask("PING") == b"PONG"
    reset(raw)
    await server.end()
    assert await other.read() is None


async def test_client_that_has_connected_as_the_relay_stops_listening_is_served(field: Field) -> None:
    """It waits to be accepted, its request written: a close of the listening socket would reset it."""
    await field.start()
    server = field.relays[0].server
    assert server.address is not None
    waiting = [await asyncio.to_thread(socket.create_connection, server.address) for _ in range(3)]
    late = socket.create_connection(server.address)  # no turn of the loop from here to the end of listening
    late.sendall(packed("PING", "late"))
    server.stop()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(server.address)
    assert not server.is_quiescent  # the process must not end before it has looked at them
    client = Client(*await asyncio.open_connection(sock=late))
    assert await client.read() == b"late" and await client.read() is None
    for one in waiting:
        one.close()


async def test_pipelined_request_behind_those_that_a_draining_relay_has_answered_is_answered_too(
    field: Field,
) -> None:
    """All are read at once, and looked at in parts: no answer is owed between two parts that meet between
    two commands."""
    client = await field.start()
    assert await client.ask("PING") == b"PONG"
    server = field.relays[0].server
    (connection,) = server.connections
    assert connection.transport is not None
    pings = packed("PING", "x" * 1000) * 15
    ends = (packed("PING", "y" * n) for n in range(2000))
    pings += next(end for end in ends if len(pings + end) == clients.PARSE_CHUNK_BYTES)
    connection.transport.pause_reading()
    client.writer.write(pings + packed("ENQUEUE", "0", "m1", "c=safe,d=8000,dest=3", "x"))
    await client.writer.drain()
    server.draining = True
    connection.transport.resume_reading()
    answers = []
    while (answer := await client.read()) is not None:
        answers.append(answer)
    assert len(answers) == 17 and answers[-1] == b"OK"


async def test_request_that_is_overdue_just_as_a_part_of_it_comes_is_closed_at_once(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clients, "REQUEST_TIMEOUT", 1000.0)
    client = await field.start()
    server = field.relays[0].server
    await until(lambda: len(server.connections) == 1)
    (connection,) = server.connections
    assert connection.transport is not None and connection.timer is not None
    connection.transport.pause_reading()
    client.writer.write(b"*5\r\n$7\r\nENQ")
    await client.writer.drain()
    connection.timer.cancel()
    connection._on_request_timeout()
    connection.transport.resume_reading()
    assert await client.read() == "ERR no whole request in time"


async def test_request_that_comes_as_the_process_ends_is_refused_and_what_is_held_stays(field: Field) -> None:
    client = await field.start()
    assert await client.enqueue("m1") == b"OK"
    await field.host.next_call()
    relay = field.relays[0]
    client.write("ENQUEUE", "0", "m2", "c=safe,d=8000,dest=3", "x")
    relay.closing = True
    assert await client.read() == "BUSY"
    await relay.finish_connections()
    assert await client.read() is None
    assert set(relay.journal.entries) == {"m1"}


@pytest.mark.parametrize("status", [200, 410])
async def test_kill_between_an_answer_and_the_record_of_the_end_leaves_what_may_have_run(
    field: Field, monkeypatch: pytest.MonkeyPatch, tmp_path: Path, status: int
) -> None:
    client = await field.start()
    relay = field.relays[0]
    ended, copies = relay.journal.record_finish, []

    def killed(*args: Any) -> None:
        copies.append((field.state / "journal").read_bytes())
        ended(*args)

    monkeypatch.setattr(relay.journal, "record_finish", killed)
    await client.enqueue("m1", "unsafe")
    (await field.host.next_call()).answer(status)
    await until(lambda: not relay.held_messages)
    (tmp_path / "copy").write_bytes(copies[0])
    entry = Journal(tmp_path, 3_000_000, "copy").entries["m1"]
    assert entry.attempts == 1 and (entry.trying_at is not None or entry.ran_at is not None)


async def test_request_of_which_a_part_has_been_read_as_the_process_ends_is_refused(field: Field) -> None:
    """Its client writes the rest, and would see its connection end with no answer."""
    client = await field.start()
    relay = field.relays[0]
    command = packed("ENQUEUE", "0", "m1", "c=safe,d=8000,dest=3", "x")
    client.writer.write(command[:30])
    await until(lambda: any(connection.unparsed for connection in relay.server.connections))
    relay.closing = True
    end = asyncio.create_task(relay.server.end())
    await asyncio.sleep(0)
    client.writer.write(command[30:])
    await end
    assert await client.read() == "BUSY" and await client.read() is None
    assert not relay.journal.entries


async def test_turn_that_was_due_when_the_process_closed_touches_nothing(field: Field) -> None:
    await field.start()
    relay = field.relays.pop()
    relay._enqueue_event(io.MessageArrived("m1", 0, 0, 3, None, 10**9))
    relay.close()
    await asyncio.sleep(0)
    relay.server.stop()
    assert relay.pacer.messages == {}


async def test_process_told_to_end_before_it_serves_never_does(field: Field) -> None:
    lock = os.open(field.state / "sender", os.O_RDWR | os.O_CREAT)
    fcntl.flock(lock, fcntl.LOCK_EX)
    listener = socket.create_server(("127.0.0.1", 0))
    relay = Relay(dataclasses.replace(field.config(), inherited_fd=os.dup(listener.fileno())))
    field.relays.append(relay)
    await relay.start()
    relay.shutdown()
    os.close(lock)  # the process before it lets go just now
    assert relay.takeover_task is not None
    async with asyncio.timeout(PATIENCE):
        await relay.takeover_task
    assert relay.server.address is None and not relay.health.ready
    listener.close()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
async def test_signal_before_the_start_is_done_is_heard_behind_it(
    field: Field, number: signal.Signals
) -> None:
    environment = {**os.environ, **field.environment(free_port())}
    path = Path(environment["RELAY_CONFIG"])
    text, whole = path.read_text(), path.with_suffix(".whole")
    whole.write_text(text)
    path.unlink()
    os.mkfifo(path)
    child = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "garnetrelay", cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
    )
    side = await asyncio.to_thread(path.open, "w")  # it has begun to read its configuration
    child.send_signal(number)
    os.rename(whole, path)
    side.write(text)
    side.close()
    assert child.stderr is not None
    says = b"stopping" if number is signal.SIGTERM else b"discovery and notices move"
    async with asyncio.timeout(PATIENCE):
        while says not in (line := await child.stderr.readline()):
            assert line, "it ended at once"
        if number is signal.SIGHUP:
            child.send_signal(signal.SIGTERM)
        assert await child.wait() == 0
