"""Reading leaves no holes in memory: nothing is allocated for a read but what has come."""

from __future__ import annotations

import asyncio
import socket
import time
import tracemalloc
from collections.abc import AsyncIterator, Iterator

import pytest

from garnetrelay.clients import Server
from garnetrelay.config import Address
from garnetrelay.connection_pool import Exchange, ConnectionPool, Outcome, call_request
from garnetrelay.streams import READ_SIZE
from starlingwick import interface as io
from tests.helpers import settings
from tests.sockets import PATIENCE, encode_command


class Peer:
    """A socket read by hand: streams would allocate as much as what is tested."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.setblocking(False)

    async def hear(self) -> bytes:
        async with asyncio.timeout(PATIENCE):
            return await asyncio.get_running_loop().sock_recv(self.sock, 4096)

    async def say(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.sock, data)


@pytest.fixture
async def peer() -> AsyncIterator[Peer]:
    with socket.socket() as sock:
        yield Peer(sock)


@pytest.fixture
def traced() -> Iterator[None]:
    tracemalloc.start()
    yield
    tracemalloc.stop()


def peak() -> int:
    """The most that was in use at once since the last call, over what is in use now."""
    now, most = tracemalloc.get_traced_memory()
    tracemalloc.reset_peak()
    return most - now


async def test_client_that_is_read_costs_what_it_sent(peer: Peer, traced: None) -> None:
    server = Server(lambda request, reply: reply.accept(), 4)
    await asyncio.get_running_loop().sock_connect(peer.sock, await server.start("127.0.0.1", 0))
    await peer.say(encode_command("PING"))
    assert await peer.hear() == b"+PONG\r\n"
    peak()
    await peer.say(encode_command("ENQUEUE", "0", "m", "c=safe,d=8000,dest=3", bytes(2000)))
    assert await peer.hear() == b"+OK\r\n"
    assert 2000 < peak() < READ_SIZE
    server.stop()


async def test_answer_that_is_read_costs_what_came(peer: Peer, traced: None) -> None:
    loop = asyncio.get_running_loop()
    peer.sock.bind(("127.0.0.1", 0))
    peer.sock.listen()
    hosts = ConnectionPool(settings(), 4)
    hosts.update_endpoint("s-1", Address(*peer.sock.getsockname()), draining=False, started=0)
    stop_at = time.monotonic_ns() + 60_000_000_000
    ended: asyncio.Future[Outcome] = loop.create_future()
    hosts.start(Exchange("s-1", stop_at, lambda: call_request("m", None, b"x", stop_at), ended.set_result))
    with (await loop.sock_accept(peer.sock))[0] as accepted:
        host = Peer(accepted)
        assert (await host.hear()).startswith(b"POST /hook ")
        peak()
        await host.say(b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + bytes(2000))
        async with asyncio.timeout(PATIENCE):
            assert (await ended).status is io.Status.OK
        assert 2000 < peak() < READ_SIZE
        hosts.close()
