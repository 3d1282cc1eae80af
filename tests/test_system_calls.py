"""System calls on sockets fail for a moment, as Linux documents: nobody loses an answer, and no destination
is blamed for what is wrong with our own machine."""

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
    """A listening socket whose ``accept`` fails a few times before each connection that it hands out."""

    def __init__(self, listener: socket.socket, number: int, times: int) -> None:
        self.listener = listener
        self.number = number
        self.times = times
        self.left = times

    def accept(self) -> Any:
        if self.left:
            self.left -= 1
            raise OSError(self.number, os.strerror(self.number))
        accepted = self.listener.accept()
        self.left = self.times
        return accepted

    def __getattr__(self, name: str) -> Any:
        return getattr(self.listener, name)


@pytest.mark.parametrize("number", ACCEPT_ERRORS)
async def test_clients_that_wait_as_the_relay_stops_listening_are_served_though_accept_fails(
    field: Field, number: int
) -> None:
    """Five have connected and asked; each accept fails once or twice before it hands one out."""
    await field.start()
    server = field.relays[0].server
    assert server._listener is not None and server.address is not None
    asyncio.get_running_loop().remove_reader(server._listener)
    waiting = [await Client.connect(server.address[1]) for _ in range(5)]
    for count, client in enumerate(waiting):
        client.write("ENQUEUE", "0", f"m{count}", "c=safe,d=8000,dest=3", "x")
    failing: Any = FailingListener(server._listener, number, 2)
    server._listener = failing
    server.stop()
    assert [await client.read() for client in waiting] == [b"OK"] * 5
    await until(lambda: server._listener is None)


class FailingConnects:
    """Makes connections of the relay's pool fail while ``number`` is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, number: int) -> None:
        self.number: int | None = number
        self.failed = 0
        loop = asyncio.get_running_loop()
        connect = loop.sock_connect

        async def fails(sock: socket.socket, address: Any) -> None:
            if self.number is not None:
                self.failed += 1
                raise OSError(self.number, os.strerror(self.number))
            await connect(sock, address)

        monkeypatch.setattr(loop, "sock_connect", fails)


def log_of(caplog: pytest.LogCaptureFixture) -> str:
    return "\n".join(record.getMessage() for record in caplog.records)


@pytest.mark.parametrize("number", LOCAL_ERRORS)
async def test_connects_that_fail_by_our_own_machines_doing_count_against_no_destination(
    field: Field, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, number: int
) -> None:
    """For longer than twelve attempts would last; then all that waited goes out."""
    caplog.set_level("INFO")
    client = await field.start()
    pacer = field.relays[0].pacer
    failing = FailingConnects(monkeypatch, number)
    for count in range(3):
        assert await client.enqueue(f"m{count}", "unsafe") == b"OK"
    await until(lambda: failing.failed >= 20)
    dest = pacer.routes[3][0]
    assert (dest.failure_rate, dest.endpoints[0].failure_rate, dest.in_outage) == (0.0, 0.0, False)
    failing.number = None
    for _ in range(3):
        (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].held_messages)
    assert "outage" not in log_of(caplog) and not pacer.slow_start.is_active(dest, pacer.now)
    assert log_of(caplog).count(os.strerror(number)) == 1


@pytest.mark.parametrize("number", REMOTE_ERRORS)
async def test_connects_that_fail_at_the_other_end_count_against_their_destination(
    field: Field, monkeypatch: pytest.MonkeyPatch, number: int
) -> None:
    client = await field.start()
    FailingConnects(monkeypatch, number)
    assert await client.enqueue("m1", "unsafe") == b"OK"
    dest = field.relays[0].pacer.routes[3][0]
    await until(lambda: dest.failure_rate > 0)


async def test_look_at_a_socket_that_fails_is_taken_for_the_harder_case(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """``poll`` may find no memory: an idle connection is not used then, and none is closed."""
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


async def test_option_of_a_connection_that_cannot_be_set_costs_its_client_nothing(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    await field.start()
    address = field.relays[0].server.address
    assert address is not None
    set_option = socket.socket.setsockopt

    def fails(self: socket.socket, level: int, option: int, *value: Any) -> None:
        if option == socket.TCP_NODELAY and self.getsockname()[1] == address[1]:
            raise OSError(errno.ENOBUFS, "No buffer space available")
        set_option(self, level, option, *value)

    monkeypatch.setattr(socket.socket, "setsockopt", fails)
    client = await Client.connect(address[1])
    assert await client.enqueue("m1") == b"OK"
    (await field.host.next_call()).answer(200)


@pytest.mark.parametrize("call", ["send", "recv_into"])
async def test_read_or_write_that_fails_by_our_own_machines_doing_counts_against_no_destination(
    field: Field, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    """No buffer is left for an instant: the new connection is lost, and nothing is learned of its host."""
    client = await field.start()
    port = int(field.host.address.rpartition(":")[2])
    left = [1]
    plain = getattr(socket.socket, call)

    def fails(self: socket.socket, *args: Any) -> Any:
        peer = None
        with contextlib.suppress(OSError):
            peer = self.getpeername()[1]
        if left[0] and peer == port:
            left[0] -= 1
            raise OSError(errno.ENOBUFS, "No buffer space available")
        return plain(self, *args)

    monkeypatch.setattr(socket.socket, call, fails, raising=False)
    assert await client.enqueue("m1", "safe") == b"OK"
    taken = await field.host.next_call()
    taken.answer(200)
    if call == "recv_into":
        (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].held_messages)
    dest = field.relays[0].pacer.routes[3][0]
    assert (left[0], dest.failure_rate, dest.endpoints[0].failure_rate, dest.last_failure_at) == (
        0,
        0.0,
        0.0,
        0,
    )
