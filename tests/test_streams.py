"""Reads do not fragment memory: a read allocates only the size of the received data."""

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
    """A plain socket: asyncio streams would allocate as much as the code under test."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.setblocking(False)

    async def receive(self) -> bytes:
        async with asyncio.timeout(PATIENCE):
            return await asyncio.get_running_loop().sock_recv(self.sock, 4096)

    async def send(self, data: bytes) -> None:
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


def peak_memory() -> int:
    """Return the peak memory use since the last call, less the current use."""
    current, peak = tracemalloc.get_traced_memory()
    tracemalloc.reset_peak()
    return peak - current


async def test_reading_a_client_allocates_what_it_sent(peer: Peer, traced: None) -> None:
    server = Server(lambda request, reply: reply.accept(), 4)
    await asyncio.get_running_loop().sock_connect(peer.sock, await server.start("127.0.0.1", 0))
    await peer.send(encode_command("PING"))
    assert await peer.receive() == b"+PONG\r\n"
    peak_memory()
    await peer.send(encode_command("ENQUEUE", "0", "m", "c=safe,d=8000,dest=3", bytes(2000)))
    assert await peer.receive() == b"+OK\r\n"
    assert 2000 < peak_memory() < READ_SIZE
    server.stop()


async def test_reading_an_answer_allocates_its_size(peer: Peer, traced: None) -> None:
    loop = asyncio.get_running_loop()
    peer.sock.bind(("127.0.0.1", 0))
    peer.sock.listen()
    pool = ConnectionPool(settings(), 4)
    pool.update_endpoint("s-1", Address(*peer.sock.getsockname()), draining=False, started=0)
    stop_at = time.monotonic_ns() + 60_000_000_000
    finished: asyncio.Future[Outcome] = loop.create_future()
    pool.start(Exchange("s-1", stop_at, lambda: call_request("m", None, b"x", stop_at), finished.set_result))
    with (await loop.sock_accept(peer.sock))[0] as accepted:
        endpoint = Peer(accepted)
        assert (await endpoint.receive()).startswith(b"POST /hook ")
        peak_memory()
        await endpoint.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + bytes(2000))
        async with asyncio.timeout(PATIENCE):
            assert (await finished).status is io.Status.OK
        assert 2000 < peak_memory() < READ_SIZE
        pool.close()
