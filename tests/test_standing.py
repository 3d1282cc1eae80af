"""Floods, sockets, endless responses and readiness over loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import resource
import signal
import socket
from typing import Any

import h11
import pytest

from garnetrelay import clients, connection_pool, notices, relay
from tests.processes import Process
from tests.sockets import PATIENCE, Client, Field, endpoint, listing, encode_command, until

# ---- floods


async def test_burst_of_idle_clients_leaves_descriptors_for_other_work(
    field: Field, process: Process
) -> None:
    """More clients connect at once than there are descriptors. Those beyond the limit are rejected, later
    clients get an answer, and a descriptor for a call or a file is free at every moment."""
    field.limits["sockets"] = 128
    client = await process.start()
    assert await client.ask("PING") == b"PONG"
    child = process.child
    assert child is not None and child.stderr is not None
    resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (128, 128))
    log = asyncio.create_task(child.stderr.read())
    child.send_signal(signal.SIGSTOP)  # the process does not run while they connect
    idle_clients = [socket.create_connection(("127.0.0.1", process.port)) for _ in range(300)]
    child.send_signal(signal.SIGCONT)
    late_client = await Client.connect(process.port)
    assert await late_client.ask("PING") in (
        "BUSY",
        b"PONG",
    )  # accepted if some had been idle for 2 s by then
    for idle_client in idle_clients:
        idle_client.close()
    new_client = await Client.connect(process.port)
    while await new_client.ask("PING") != b"PONG":  # until the relay has noticed their disconnects
        new_client = await Client.connect(process.port)
    assert await new_client.enqueue("m1", "unsafe") == b"OK"
    (await field.host.next_call()).answer(200)
    assert await process.stop(signal.SIGTERM) == 0
    async with asyncio.timeout(PATIENCE):
        log_text = await log
    assert b"open files" not in log_text and b"Traceback" not in log_text


@pytest.mark.parametrize("ends", [False, True], ids=["serves on", "stops"])
async def test_connection_without_a_free_descriptor_is_accepted_later(
    field: Field, monkeypatch: pytest.MonkeyPatch, ends: bool
) -> None:
    first = await field.start()
    server = field.relays[0].server
    assert server.address is not None
    accept, errors = socket.socket.accept, [OSError(errno.EMFILE, "Too many open files")]

    def fail_once(listener: socket.socket) -> Any:
        if errors and listener.getsockname() == server.address:
            raise errors.pop()
        return accept(listener)

    monkeypatch.setattr(socket.socket, "accept", fail_once)
    late_client = await Client.connect(server.address[1])
    await until(lambda: not errors)
    assert len(server.connections) == 1
    if ends:
        server.stop()
    assert await late_client.ask("PING") == b"PONG"
    assert ends or await first.ask("PING") == b"PONG"


async def test_client_that_sends_many_commands_and_disconnects_does_not_affect_others(field: Field) -> None:
    """It sends invalid requests and reads none of the answers, which are more than its socket can hold."""
    other = await field.start()
    server = field.relays[0].server
    assert server.address is not None
    invalid_requests = b"".join(
        encode_command("ENQUEUE", "0", f"n{n}", "c=none,d=8000,dest=3", "x") for n in range(20_000)
    )
    _, writer = await asyncio.open_connection(*server.address)
    writer.write(invalid_requests)
    await until(lambda: writer.transport.get_write_buffer_size() < len(invalid_requests) // 2)
    writer.transport.abort()
    assert await other.enqueue("m1") == b"OK"
    (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].held_messages and len(server.connections) == 1)


@pytest.mark.parametrize(
    "words", [("NOPE",), ("ENQUEUE", "0", "n", "c=none,d=8000,dest=3", "x")], ids=["command", "class"]
)
async def test_client_that_sends_only_invalid_requests_gets_errors_and_is_closed(
    field: Field, words: tuple[str, ...]
) -> None:
    """Tens of thousands of commands arrive in a few reads: answering them all would take seconds of CPU."""
    client = await field.start()
    client.writer.write(encode_command(*words) * 20_000 + encode_command("PING"))
    answers = []
    while (answer := await client.read()) is not None:
        answers.append(answer)
    assert len(answers) == clients.MAX_CONSECUTIVE_INVALID_REQUESTS + 1 and all(
        reply.startswith("ERR") for reply in answers
    )
    other = await Client.connect(client.writer.get_extra_info("peername")[1])
    for n in range(clients.MAX_CONSECUTIVE_INVALID_REQUESTS * 2):  # an occasional invalid request is allowed
        assert (await other.ask(*words)).startswith("ERR")
        assert await other.ask("PING", str(n)) == str(n).encode()


# ---- sockets


async def test_every_socket_has_nagle_disabled(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    """Closing a socket with unread input discards output that the kernel still holds back."""
    client = await field.start()
    await field.platform.next_watch()
    field.platform.acknowledgement = b""  # each post has a connection of its own, which stays open for now
    monkeypatch.setattr(notices, "RESPONSE_TIMEOUT", PATIENCE)
    monkeypatch.setattr(notices, "MAX_RESPONSE_TIMEOUT", PATIENCE)
    await client.enqueue("m1", "unsafe")
    (await field.host.next_call()).answer(500)
    await field.platform.next_notice()
    await client.enqueue("m2", "unsafe")
    await field.host.next_call()
    server = field.relays[0].server
    ends: list[str] = []
    for number in os.listdir("/proc/self/fd"):  # includes this test's ends of the connections
        with contextlib.suppress(OSError), socket.socket(fileno=os.dup(int(number))) as connection:
            if connection.type == socket.SOCK_STREAM and connection.family == socket.AF_INET:
                peer = "{}:{}".format(*connection.getpeername())
                assert connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY), (
                    connection.getsockname(),
                    peer,
                )
                ends.append("accepted" if connection.getsockname() == server.address else peer)
    assert ends.count(field.platform.address) == 2  # the watch and the notices
    assert ends.count(field.host.address) >= 1 and ends.count("accepted") == 1


async def test_client_that_half_closes_after_a_request_is_answered(field: Field) -> None:
    client = await field.start()
    client.write("ENQUEUE", "0", "m1", "c=safe,d=8000,dest=3", "x")
    client.writer.write_eof()
    assert await client.read() == b"OK" and await client.read() is None
    (await field.host.next_call()).answer(200)


async def test_message_is_accepted_only_after_its_journal_record(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process may be killed right after the answer."""
    journal_contents: list[bytes] = []
    accept = clients.Reply.accept

    def record_journal(reply: clients.Reply) -> None:
        journal_contents.append((field.state / "journal").read_bytes())
        accept(reply)

    monkeypatch.setattr(clients.Reply, "accept", record_journal)
    client = await field.start()
    assert await client.enqueue("m1") == b"OK"
    assert len(journal_contents) == 1 and b'"t":"taken","ref":"m1"' in journal_contents[0]


def test_process_exits_before_it_may_be_killed() -> None:
    """SIGKILL comes at least 3.7 s after SIGTERM, new connections up to 0.4 s after it."""
    assert (
        0.4 < relay.LISTEN_GRACE_PERIOD
        and relay.SHUTDOWN_TIMEOUT_NS / relay.SECOND + clients.CLOSE_DELAY <= 3.4
    )


# ---- connect timeouts and deduplication windows


async def test_connection_attempt_times_out_and_its_message_never_ran(field: Field) -> None:
    """The endpoint's accept queue is full, so its kernel drops connection attempts."""
    field.facts["limits"].update(connectTimeout=200_000_000, probes=False)
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    name = listener.getsockname()
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(name)
    field.endpoints[0]["address"] = "127.0.0.1:%d" % name[1]
    client = await field.start()
    watch = await field.platform.next_watch()
    assert await client.enqueue("m1", "unsafe") == b"OK"
    one_relay = field.relays[0]
    started_at = asyncio.get_running_loop().time()
    await until(lambda: one_relay.pacer.messages["m1"].attempts == 1)
    await until(lambda: one_relay.outcomes["connect_failed"] == 1)
    assert asyncio.get_running_loop().time() - started_at >= 0.19
    assert one_relay.journal.entries["m1"].attempts == 0 and not one_relay.connection_pool.open
    watch.line(listing(42, endpoint(field.host, "s-2"), snapshot=True))
    call = await field.host.next_call()
    assert call.headers["x-request-id"] == "m1"
    call.answer(200)
    for open_socket in (*fillers, listener):
        open_socket.close()


async def test_reset_after_the_deduplication_window_causes_no_second_call(field: Field) -> None:
    """The window runs from the call, however much later the connection is reset."""
    field.facts["classes"][1]["repeatWindow"] = 300_000_000
    client = await field.start()
    await client.enqueue("m1", "keyed")
    call = await field.host.next_call()
    await asyncio.sleep(0.35)
    call.abort()
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    assert field.host.calls.empty()


# ---- endless responses


@pytest.mark.parametrize(
    ("head", "more"),
    [
        (b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n", b"1000\r\n" + bytes(0x1000) + b"\r\n"),
        (b"HTTP/1.1 500 No\r\n\r\n", bytes(4096)),
        (b"HTTP/1.1 500 No\r\n", b"X-More: and more\r\n" * 100),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
        (b"", b"HTTP/1.1 200 " + b"O" * 4096),
    ],
    ids=["chunks", "body", "headers", "1xx", "first line"],
)
async def test_endless_error_response_closes_its_connection_and_may_have_run(
    field: Field, head: bytes, more: bytes
) -> None:
    client = await field.start()
    await client.enqueue("m1", "unsafe")
    call = await field.host.next_call()
    call.send_raw(head)
    sent = 0
    while field.host.closed.empty():
        assert sent < 1 << 20  # it is abandoned for its size, long before its timeout
        call.send_raw(more)
        sent += len(more)
        await asyncio.sleep(0.001)
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    assert not field.relays[0].connection_pool.open and field.host.calls.empty()


# Guards against a response whose body is kept in memory although only a short report in it counts.
async def test_long_body_of_a_response_is_not_kept(field: Field) -> None:
    client = await field.start()
    await client.enqueue("m1")
    call = await field.host.next_call()
    call.send_raw(b"HTTP/1.1 500 No\r\nContent-Length: 70000\r\n\r\n" + bytes(60_000))
    (connection,) = field.relays[0].connection_pool.open
    await until(lambda: connection.received_bytes > 60_000)
    assert len(connection.body) <= connection_pool.MAX_REPORT_BYTES


# Guards against an endpoint that holds up all other work with a response in thousands of pieces.
@pytest.mark.parametrize("ends", [True, False], ids=["complete", "cut off"])
async def test_pieces_of_a_response_handled_in_one_iteration_are_bounded(
    field: Field, monkeypatch: pytest.MonkeyPatch, ends: bool
) -> None:
    client = await field.start()
    loop, counts, next_event = asyncio.get_running_loop(), [0], h11.Connection.next_event

    def next_iteration() -> None:
        counts.append(0)
        loop.call_soon(next_iteration)

    def count_and_read(connection: h11.Connection) -> Any:
        counts[-1] += 1
        return next_event(connection)

    await client.enqueue("m1", "unsafe")
    call = await field.host.next_call()
    monkeypatch.setattr(h11.Connection, "next_event", count_and_read)
    next_iteration()
    interim = b"HTTP/1.1 103 Early Hints\r\n\r\n" * 700
    body = b"1\r\n7\r\n" * 3_000
    call.send_raw(interim + b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n" + body)
    if ends:
        call.send_raw(b"0\r\n\r\n")
    else:
        call.writer.close()
    assert await field.platform.next_notice() == {"ref": "m1", "result": "dead"}
    assert sum(counts) > 3_700 and max(counts) <= connection_pool.MAX_EVENTS_PER_TURN + 1


async def test_endless_success_response_closes_its_connection(field: Field) -> None:
    client = await field.start()
    await client.enqueue("m1", "unsafe")
    call = await field.host.next_call()
    call.send_raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    await until(lambda: not field.relays[0].held_messages)
    async with asyncio.timeout(PATIENCE):
        while field.host.closed.empty():
            call.send_raw(b"1\r\nx\r\n")
            await asyncio.sleep(0.01)
    assert not field.relays[0].connection_pool.open and field.platform.notices.empty()


@pytest.mark.parametrize("status", [200, 500, 503])
async def test_response_in_single_bytes_after_1xx_responses_is_read_whole(field: Field, status: int) -> None:
    client = await field.start()
    await field.warm_up(client)
    await client.enqueue("m1", "safe")
    call = await field.host.next_call()
    answer = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    for byte in answer + b"HTTP/1.1 %d Whatever\r\nContent-Length: 2\r\n\r\nok" % status:
        call.send_raw(bytes([byte]))
        await asyncio.sleep(0)
    if status != 200:
        retry = await field.host.next_call()
        assert retry.connection == call.connection and retry.headers["x-request-id"] == "m1"
        retry.answer(200)
    await until(lambda: not field.relays[0].held_messages)
    assert field.platform.notices.empty()


async def test_absurd_reported_limit_raises_no_error(field: Field) -> None:
    """The interval between calls became NaN or infinite, and each later planning pass raised an error."""
    client = await field.start()
    await client.enqueue("m1")
    (await field.host.next_call()).answer(503, "X-Server-Load: x0=0.4,x1=1e-310")
    (await field.host.next_call()).answer(200, "X-Server-Load: x0=0.4,x1=1e308")
    await until(lambda: not field.relays[0].held_messages)
    assert await client.enqueue("m2") == b"OK"
    (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].held_messages)


# ---- readiness


@pytest.mark.parametrize("mode", ["automatic", "subscribe"])
async def test_relay_is_ready_and_delivers_while_discovery_is_down(field: Field, mode: str) -> None:
    field.facts["discovery"] = mode
    await field.platform.stop()
    async with asyncio.timeout(PATIENCE):
        client = await field.start()
    assert await client.ask("PING") == b"PONG"
    assert await client.enqueue("m1", "unsafe") == b"OK"
    (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].held_messages)
