"""Tests of the management interface: answers, response times and connection limits."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterator
from http.client import HTTPConnection

import pytest

from garnetrelay.config import Address
from garnetrelay.health import Health
from garnetrelay.management import AdminServer, build_routes
from garnetrelay.metrics import Metrics
from tests.processes import Process, free_port
from tests.sockets import PATIENCE, Field, http

SOCKETS = 128  # descriptors, which allow eight connections


@pytest.fixture
def health() -> Health:
    return Health()


@pytest.fixture
def port(health: Health) -> Iterator[int]:
    admin = AdminServer(build_routes(health, Metrics(["filing"]), lambda: None, lambda: None), SOCKETS)
    yield admin.start(Address("127.0.0.1", 0))[1]
    admin.close()


async def test_healthcheck_succeeds_only_while_the_process_can_serve(health: Health, port: int) -> None:
    assert (await http(port, "GET /healthcheck"))[0] == 503
    health.ready = True
    assert (await http(port, "GET /healthcheck?from=probe"))[0] == 200


@pytest.mark.parametrize(
    ("line", "status"),
    [
        ("GET /", 404),
        ("GET /healthcheck/", 404),
        ("DELETE /healthcheck", 405),
        ("HEAD /healthcheck", 405),
        ("GET /healthcheck/fail", 405),
        ("GET healthcheck\x01", 400),
    ],
)
async def test_unknown_paths_methods_and_garbage_get_an_error_status(
    port: int, line: str, status: int
) -> None:
    assert (await http(port, line))[0] == status


async def test_answers_arrive_while_the_event_loop_of_the_relay_is_blocked(field: Field) -> None:
    await field.start()
    relay = field.relays[0]
    admin = AdminServer(build_routes(relay.health, relay.metrics, relay.drain, relay.resume), SOCKETS)
    try:
        port = admin.start(Address("127.0.0.1", 0))[1]
        call = HTTPConnection("127.0.0.1", port, timeout=PATIENCE)
        call.request("GET", "/healthcheck")
        assert call.getresponse().status == 200  # blocks: the event loop runs nothing else meanwhile
        call.close()
    finally:
        admin.close()


async def test_healthcheck_fails_during_a_drain(health: Health, port: int) -> None:
    health.ready = True
    for _ in range(2):
        assert (await http(port, "PUT /healthcheck/fail"))[0] == 200
        status, text = await http(port, "GET /healthcheck")
        assert status == 503 and "drained" in text
        assert (await http(port, "PUT /healthcheck/ok"))[0] == 200
        assert (await http(port, "GET /healthcheck"))[0] == 200


@pytest.mark.parametrize("sent", [b"", b"GET /healthche"])
async def test_silent_connections_are_closed_for_new_ones(health: Health, port: int, sent: bytes) -> None:
    health.ready = True
    silent = []
    for _ in range(3 * SOCKETS // 16):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(sent)
        silent.append((reader, writer))
        assert (await http(port, "GET /healthcheck"))[0] == 200
    async with asyncio.timeout(PATIENCE):
        assert await silent[0][0].read() == b""  # the oldest connection is closed first
    for _, writer in silent:
        writer.transport.abort()


async def test_incomplete_request_is_answered_with_a_timeout(port: int) -> None:
    assert (await http(port, "PUT /healthcheck HTTP/1.1\r\nContent-Length: 9\r\nX: y"))[0] == 408


async def test_a_body_that_never_ends_is_not_read(port: int) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"PUT /healthcheck HTTP/1.1\r\nHost: door\r\nContent-Length: 999999\r\n\r\n" + bytes(20_000))
    async with asyncio.timeout(PATIENCE):
        assert (await reader.readline()).split()[1] == b"413"
    writer.transport.abort()


async def test_process_serves_the_configured_management_interface(field: Field, process: Process) -> None:
    process.mgmt = free_port()
    await process.start()
    assert (await http(process.mgmt, "GET /healthcheck"))[0] == 200
    assert await process.stop(signal.SIGTERM) == 0
