"""System calls on sockets fail temporarily with errors that Linux documents.

No client loses an answer, and local errors count against no destination.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
from typing import Any

import pytest

from tests.sockets import Client, Field, until

ACCEPT_ERRORS = [
    errno.ECONNABORTED,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPROTO,
    errno.EINTR,
    errno.EPERM,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ETIMEDOUT,
]
LOCAL_ERRORS = [
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EAGAIN,
    errno.EACCES,
    errno.EPERM,
    errno.ENETDOWN,
]
REMOTE_ERRORS = [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ECONNRESET]


class FailingListener:
    """A listening socket whose ``accept`` fails a few times before each connection that it returns."""

    def __init__(self, listener: socket.socket, error_number: int, times: int) -> None:
        self.listener = listener
        self.error_number = error_number
        self.times = times
        self.remaining_failures = times

    def accept(self) -> Any:
        if self.remaining_failures:
            self.remaining_failures -= 1
            raise OSError(self.error_number, os.strerror(self.error_number))
        accepted = self.listener.accept()
        self.remaining_failures = self.times
        return accepted

    def __getattr__(self, name: str) -> Any:
        return getattr(self.listener, name)


@pytest.mark.parametrize("error_number", ACCEPT_ERRORS)
async def test_clients_waiting_when_the_listener_closes_are_served_despite_accept_errors(
    field: Field, error_number: int
) -> None:
    """Five clients have connected and sent a request; accept fails twice before each connection."""
    await field.start()
    server = field.relays[0].server
    assert server._listener is not None and server.address is not None
    asyncio.get_running_loop().remove_reader(server._listener)
    waiting = [await Client.connect(server.address[1]) for _ in range(5)]
    for count, client in enumerate(waiting):
        client.write("ENQUEUE", "0", f"m{count}", "c=safe,d=8000,dest=3", "x")
    failing: Any = FailingListener(server._listener, error_number, 2)
    server._listener = failing
    server.stop()
    assert [await client.read() for client in waiting] == [b"OK"] * 5
    await until(lambda: server._listener is None)


class FailingConnects:
    """Makes connects of the relay's connection pool fail while ``error_number`` is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, error_number: int) -> None:
        self.error_number: int | None = error_number
        self.failed = 0
        loop = asyncio.get_running_loop()
        connect = loop.sock_connect

        async def connect_or_fail(sock: socket.socket, address: Any) -> None:
            if self.error_number is not None:
                self.failed += 1
                raise OSError(self.error_number, os.strerror(self.error_number))
            await connect(sock, address)

        monkeypatch.setattr(loop, "sock_connect", connect_or_fail)


def log_text(caplog: pytest.LogCaptureFixture) -> str:
    return "\n".join(record.getMessage() for record in caplog.records)


@pytest.mark.parametrize("error_number", LOCAL_ERRORS)
async def test_local_connect_errors_count_against_no_destination(
    field: Field, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, error_number: int
) -> None:
    """The errors last longer than twelve attempts would; afterwards all waiting messages are sent."""
    caplog.set_level("INFO")
    client = await field.start()
    pacer = field.relays[0].pacer
    failing = FailingConnects(monkeypatch, error_number)
    for count in range(3):
        assert await client.enqueue(f"m{count}", "unsafe") == b"OK"
    await until(lambda: failing.failed >= 20)
    destination = pacer.routes[3][0]
    assert (destination.failure_rate, destination.endpoints[0].failure_rate, destination.in_outage) == (
        0.0,
        0.0,
        False,
    )
    failing.error_number = None
    for _ in range(3):
        (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].held_messages)
    assert "outage" not in log_text(caplog) and not pacer.slow_start.is_active(destination, pacer.now)
    assert log_text(caplog).count(os.strerror(error_number)) == 1


@pytest.mark.parametrize("error_number", REMOTE_ERRORS)
async def test_remote_connect_errors_count_against_their_destination(
    field: Field, monkeypatch: pytest.MonkeyPatch, error_number: int
) -> None:
    client = await field.start()
    FailingConnects(monkeypatch, error_number)
    assert await client.enqueue("m1", "unsafe") == b"OK"
    destination = field.relays[0].pacer.routes[3][0]
    await until(lambda: destination.failure_rate > 0)


async def test_poll_error_assumes_the_worse_case(field: Field, monkeypatch: pytest.MonkeyPatch) -> None:
    """``poll`` may run out of memory: then no idle connection is reused and none is closed."""
    client = await field.start()
    await field.warm_up(client)

    class FailingPoll:
        def register(self, file: int, events: int) -> None: ...

        def poll(self, timeout: int) -> list[Any]:
            raise OSError(errno.ENOMEM, "Cannot allocate memory")

    with monkeypatch.context() as patch:
        patch.setattr("select.poll", FailingPoll)
        assert await client.enqueue("m1") == b"OK"
        field.relays[0].server.start_draining()
        assert await client.ask("PING") == "ERR drained"
    call = await field.host.next_call()
    call.answer(200)
    await until(lambda: not field.relays[0].held_messages)


async def test_failed_socket_option_does_not_affect_the_client(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    await field.start()
    address = field.relays[0].server.address
    assert address is not None
    set_option = socket.socket.setsockopt

    def set_option_or_fail(self: socket.socket, level: int, option: int, *value: Any) -> None:
        if option == socket.TCP_NODELAY and self.getsockname()[1] == address[1]:
            raise OSError(errno.ENOBUFS, "No buffer space available")
        set_option(self, level, option, *value)

    monkeypatch.setattr(socket.socket, "setsockopt", set_option_or_fail)
    client = await Client.connect(address[1])
    assert await client.enqueue("m1") == b"OK"
    (await field.host.next_call()).answer(200)


@pytest.mark.parametrize("call", ["send", "recv_into"])
async def test_local_read_or_write_error_counts_against_no_destination(
    field: Field, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    """No buffer is free for a moment: the new connection is lost and its endpoint's health is unchanged."""
    client = await field.start()
    port = int(field.host.address.rpartition(":")[2])
    remaining_failures = [1]
    original = getattr(socket.socket, call)

    def call_or_fail(self: socket.socket, *args: Any) -> Any:
        peer = None
        with contextlib.suppress(OSError):
            peer = self.getpeername()[1]
        if remaining_failures[0] and peer == port:
            remaining_failures[0] -= 1
            raise OSError(errno.ENOBUFS, "No buffer space available")
        return original(self, *args)

    monkeypatch.setattr(socket.socket, call, call_or_fail, raising=False)
    assert await client.enqueue("m1", "safe") == b"OK"
    request = await field.host.next_call()
    request.answer(200)
    if call == "recv_into":
        (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].held_messages)
    destination = field.relays[0].pacer.routes[3][0]
    assert (
        remaining_failures[0],
        destination.failure_rate,
        destination.endpoints[0].failure_rate,
        destination.last_failure_at,
    ) == (
        0,
        0.0,
        0.0,
        0,
    )
