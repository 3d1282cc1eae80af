"""Tests of how much input of clients is handled at once, and of what is read before a connection ends."""

from __future__ import annotations

import asyncio
import select
import socket
from collections import Counter

import pytest

from garnetrelay import clients
from tests.sockets import PATIENCE, Client, Field, encode_command, until

RESET_WAIT = 2.0  # seconds in which a close over unread bytes shows as a reset


def enqueue(message_id: str, destination: int = 3, body: bytes = b"x") -> bytes:
    return encode_command("ENQUEUE", "0", message_id, f"c=safe,d=8000,dest={destination}", body)


# what peers send again and again, and the answers to it
COMMANDS: dict[str, tuple[bytes, list[bytes | str]]] = {
    "small": (encode_command("ping"), [b"PONG"]),
    "with payload": (encode_command("PING", "y" * 61), [b"y" * 61]),
    "now and then invalid": (
        encode_command("PING", "z") + encode_command("GET", "z") + enqueue("m", destination=99),
        [b"z", "ERR unknown command 'GET'", "ERR unknown destination 99"],
    ),
    "with many arguments": (
        encode_command("PING") + encode_command("LPUSH", *["v"] * 40),
        [b"PONG", "ERR unknown command 'LPUSH'"],
    ),
}


class DispatchCounter:
    """Counts the commands that connections handle in each iteration of the event loop."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.iteration = 0
        self.by_iteration: Counter[int] = Counter()
        self.by_connection: Counter[tuple[int, int]] = Counter()
        dispatch = clients.Connection._dispatch

        def count(connection: clients.Connection, arguments: list[bytes]) -> None:
            self.by_iteration[self.iteration] += 1
            self.by_connection[self.iteration, id(connection)] += 1
            dispatch(connection, arguments)

        monkeypatch.setattr(clients.Connection, "_dispatch", count)
        asyncio.get_running_loop().call_soon(self._next_iteration)

    def _next_iteration(self) -> None:
        self.iteration += 1
        asyncio.get_running_loop().call_soon(self._next_iteration)

    @property
    def total(self) -> int:
        return self.by_iteration.total()


# Guards against peers that hold up all other work by sending many commands, each of them or all together.
@pytest.mark.parametrize(("commands", "expected"), COMMANDS.values(), ids=COMMANDS.keys())
async def test_commands_handled_in_one_iteration_are_bounded(
    field: Field, monkeypatch: pytest.MonkeyPatch, commands: bytes, expected: list[bytes | str]
) -> None:
    first = await field.start()
    peers = [await Client.connect(first.writer.get_extra_info("peername")[1]) for _ in range(23)]
    counter = DispatchCounter(monkeypatch)
    repetitions = 20_000 // len(commands)
    for peer in peers:
        peer.writer.write(commands * repetitions)

    async def check_answers(peer: Client) -> None:
        for _ in range(repetitions):
            for answer in expected:
                assert await peer.read() == answer

    await asyncio.gather(*map(check_answers, peers))
    assert counter.total == len(peers) * repetitions * len(expected)
    assert max(counter.by_connection.values()) <= clients.MAX_CONSECUTIVE_INVALID_REQUESTS
    assert max(counter.by_iteration.values()) <= len(peers) * clients.MAX_CONSECUTIVE_INVALID_REQUESTS


# Guards against an end of the time for an iteration that lets connections starve, or reorders their answers.
async def test_each_connection_is_served_when_the_time_of_an_iteration_is_over(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    first = await field.start()
    server = field.relays[0].server
    monkeypatch.setattr(server.turn_budget, "is_spent", lambda: True)
    peers = [await Client.connect(first.writer.get_extra_info("peername")[1]) for _ in range(11)]
    counter = DispatchCounter(monkeypatch)
    for peer in peers:
        for number in range(150):
            peer.write("PING", str(number))
    client = await Client.connect(first.writer.get_extra_info("peername")[1])
    assert await client.enqueue("m1") == b"OK"
    assert counter.total < len(peers) * 150 // 2  # it did not wait for the commands of the others
    for peer in peers:
        assert [await peer.read() for _ in range(150)] == [str(number).encode() for number in range(150)]
    assert max(counter.by_connection.values()) == 1


# Guards against a shutdown that waits for endless input, or ends a connection behind requests that were read.
@pytest.mark.parametrize("endless", [False, True])
async def test_shutdown_while_input_waits_answers_what_was_read(
    field: Field, monkeypatch: pytest.MonkeyPatch, endless: bool
) -> None:
    client = await field.start()
    assert await client.ask("PING") == b"PONG"
    relay = field.relays[0]
    counter = DispatchCounter(monkeypatch)
    count = 300_000 if endless else 700
    client.writer.write(encode_command("PING", "a") * count)
    await until(lambda: counter.total > 50)
    relay.server.stop()
    await until(lambda: relay.server.is_quiescent or counter.total > 5_000)
    assert endless or counter.total == count
    await relay.finish_connections()
    handled = counter.total
    answers = 0
    try:
        while await client.read() is not None:
            answers += 1
    except ConnectionError:
        assert endless
    assert answers == handled < 300_000


class RawClient:
    """A client that notices whether its connection ends by a reset."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.received = b""

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def read_answers(self, count: int) -> None:
        """Read until so many answers have arrived."""
        async with asyncio.timeout(PATIENCE):
            while len(self.answers) < count:
                self.received += await asyncio.get_running_loop().sock_recv(self.socket, 65536)

    async def read_to_end(self) -> bool:
        """Read to the end and return whether it was a reset."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(PATIENCE):
                while data := await loop.sock_recv(self.socket, 65536):
                    self.received += data
        except ConnectionError:
            return True
        poll = select.poll()
        poll.register(self.socket, select.POLLERR)
        ends_at = loop.time() + RESET_WAIT
        while loop.time() < ends_at:
            if poll.poll(0):
                return self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
            await asyncio.sleep(0.01)
        return False

    @property
    def answers(self) -> list[bytes]:
        return self.received.split(b"\r\n")[:-1]


def port_of(client: Client) -> int:
    return int(client.writer.get_extra_info("peername")[1])


# Guards against a request that a relay at its limit of connections reads and does not answer.
@pytest.mark.parametrize("count", [1, 2, 9, 120])
async def test_commands_on_a_connection_above_the_limit_are_answered_or_stay_unread(
    field: Field, count: int
) -> None:
    field.limits["sockets"] = 30
    first = await field.start()
    others = [await Client.connect(port_of(first)) for _ in range(9)]
    await until(lambda: len(field.relays[0].server.connections) == 10)
    client = RawClient(port_of(first))
    await client.send(b"".join(enqueue(f"m{n}", body=bytes(50)) for n in range(count)))
    was_reset = await client.read_to_end()
    assert client.answers == [b"-BUSY"]  # one answer, for the first of them
    assert was_reset or count == 1
    assert field.relays[0].held_messages == {} and len(others) == 9


# Guards against requests that are read while their connection ends, and get no answer.
@pytest.mark.parametrize("moment", ["before", "after the answer"])
@pytest.mark.parametrize(
    ("bad", "answers"),
    [
        (b"PING\r\n", 1),
        (encode_command("PING") + b"*2\r\n$4\r\nPING\r\n$1\r\nxyz\r\n", 2),
        (encode_command("GET", "a") * 40, clients.MAX_CONSECUTIVE_INVALID_REQUESTS + 1),
    ],
    ids=["no command", "bad length", "invalid requests"],
)
async def test_requests_behind_an_error_stay_unread(
    field: Field, bad: bytes, answers: int, moment: str
) -> None:
    first = await field.start()
    client = RawClient(port_of(first))
    later = b"".join(enqueue(f"m{n}") for n in range(7))
    await client.send(bad + later if moment == "before" else bad)
    await client.read_answers(answers)
    if moment == "after the answer":
        await client.send(later)
    assert await client.read_to_end()
    assert len(client.answers) == answers and client.answers[-1].startswith(b"-ERR")
    assert field.relays[0].held_messages == {}


# Guards against the same where the time for a request is over, or its buffers are needed for others.
@pytest.mark.parametrize("end", ["time-out", "shedding"])
async def test_requests_behind_an_incomplete_one_that_is_given_up_stay_unread(
    field: Field, monkeypatch: pytest.MonkeyPatch, end: str
) -> None:
    if end == "time-out":
        monkeypatch.setattr(clients, "REQUEST_TIMEOUT", 0.1)
    first = await field.start()
    client = RawClient(port_of(first))
    whole = enqueue("m0", body=bytes(9000))
    await client.send(enqueue("answered"))
    await client.read_answers(1)
    await client.send(whole[:5000])
    server = field.relays[0].server
    await until(lambda: any(connection.commands.buffered_bytes for connection in server.connections))
    if end == "shedding":
        server.buffer_budget.max_bytes = 10
        server.shed_excess_buffers()
    await client.read_answers(2)
    await client.send(whole[5000:] + enqueue("m1") * 3)
    assert await client.read_to_end()
    assert client.answers[0] == b"+OK" and len(client.answers) == 2
    assert client.answers[1].startswith(b"-ERR" if end == "time-out" else b"-BUSY")


# Guards against answers that are cut off by the close although the client reads them, only slowly.
@pytest.mark.parametrize("half_closes", [False, True])
async def test_slow_reader_gets_all_answers_of_a_connection_that_is_closed(
    field: Field, half_closes: bool
) -> None:
    first = await field.start()
    server = field.relays[0].server
    client = RawClient(port_of(first))
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    payload = "p" * 5_000
    count = 2_000  # more than the kernel holds

    async def send() -> None:
        await client.send(encode_command("PING", payload) * count + b"bad\r\n")
        if half_closes:
            client.socket.shutdown(socket.SHUT_WR)

    sending = asyncio.create_task(send())
    await until(lambda: any(connection.has_undelivered_answers for connection in server.connections))
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(PATIENCE):
        while data := await loop.sock_recv(client.socket, 32_768):
            client.received += data
            await asyncio.sleep(0.001)
    await asyncio.gather(sending, return_exceptions=True)
    expected = b"$%d\r\n%s\r\n" % (len(payload), payload.encode())
    assert client.received.count(expected) == count
    assert client.received.rpartition(b"-ERR")[0] == expected * count
