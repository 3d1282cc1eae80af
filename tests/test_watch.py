"""Tests of the watch of the endpoint list: errors and races on loopback sockets."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from garnetrelay import discovery, connection_pool, relay
from tests.sockets import Call, Field, HttpServer, Platform, endpoint, listing, until
from tests.test_crossings import on_next_connection


async def test_indented_update_spread_over_lines_is_read(field: Field) -> None:
    client = await field.start()
    watch = await field.platform.next_watch()
    other = HttpServer()
    await other.start()
    gone, new = endpoint(field.host, status="Terminating"), endpoint(other, "s-2")
    text = json.dumps(json.loads(listing(42, gone, new)), indent=2)
    flat = json.dumps({"index": 43, "snapshot": False, "endpoints": []}, indent=0)
    for line in [*text.split("\n"), "", *flat.split("\n")]:
        watch.line(line)
    await until(lambda: field.relays[0].discovery.index == 43)
    await client.enqueue("m1")
    (await other.next_call()).answer(200)
    assert field.host.calls.empty()
    await other.stop()


@pytest.mark.parametrize(
    "malformed",
    [
        "{not a list",
        '{"index":42,"snapshot":true,"endpoints":[{"name":"s-9"}]}',
        '{"index":42,',
        "[]",
        "}",
        '{"index":42,"snapshot":false,"endpoints":[]} {',
        "\xff{}",
    ],
    ids=["no list", "entry", "half", "array", "only an end", "more behind it", "bytes"],
)
async def test_malformed_line_loses_no_change(field: Field, malformed: str) -> None:
    """The changes in the malformed line arrive again in a snapshot; earlier changes stay."""
    field.facts["discovery"] = "automatic"
    await field.start()
    watch = await field.platform.next_watch()
    watch.line(listing(41, endpoint(field.host)))
    watch.line(malformed)
    watch.line("")
    again = await field.platform.next_watch()
    assert again.call.line.split()[1].endswith("since=0")
    again.line(listing(43, endpoint(field.host), endpoint(field.host, "s-2"), snapshot=True))
    await until(lambda: set(field.relays[0].catalog) == {"s-1", "s-2"})
    again.call.abort()
    assert (await field.platform.next_watch()).call.line.split()[1].endswith("since=43")


@pytest.mark.parametrize("mode", ["automatic", "subscribe"])
async def test_unanswered_watch_is_reopened_in_time(
    field: Field, monkeypatch: pytest.MonkeyPatch, mode: str
) -> None:
    assert discovery.RESPONSE_TIMEOUT + discovery.SILENCE_TIMEOUT + relay.RESUBSCRIBE_DELAY < 6
    monkeypatch.setattr(discovery, "RESPONSE_TIMEOUT", 0.1)
    field.facts["discovery"] = mode
    await field.start()
    silent = await field.platform.next_call()
    assert (await field.platform.next_call()).connection != silent.connection


async def test_response_timeout_grows_where_discovery_is_slow(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    field.facts["discovery"] = "automatic"
    await field.start()
    watch = field.relays[0].discovery
    assert discovery.MAX_RESPONSE_TIMEOUT >= 2 * discovery.RESPONSE_TIMEOUT
    monkeypatch.setattr(discovery, "RESPONSE_TIMEOUT", 0.05)
    watch.change_address(watch.address)
    await field.platform.next_call()
    calls = [await field.platform.next_call() for _ in range(4)]
    assert len({call.connection for call in calls}) == 4 and watch.failures >= 4
    await field.platform.next_watch()
    await until(lambda: watch.failures == 0)


async def test_address_change_between_watches_connects_to_the_new_address_at_once(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next request for the list is seconds away; the new address has 4 s from the signal to answer."""
    await field.start()
    active_relay = field.relays[0]
    watch = await field.platform.next_watch()
    watch.call.abort()
    await until(lambda: active_relay.discovery.task is None)
    active_relay.pacer.subscribe_at = active_relay.pacer.now + 3600 * 10**9
    new_platform = Platform()
    await new_platform.start()
    active_relay.change_discovery_address(type(active_relay.config.discovery).parse(new_platform.address))
    started_at = time.monotonic()
    await new_platform.next_watch()
    assert time.monotonic() - started_at < 4
    await new_platform.stop()


async def test_end_of_the_old_watch_after_an_address_change_does_not_end_the_new_one(field: Field) -> None:
    field.facts["discovery"] = "automatic"
    await field.start()
    active_relay = field.relays[0]
    old = await field.platform.next_watch()
    new_platform = Platform()
    await new_platform.start()
    task = active_relay.discovery.task
    old.call.abort()
    assert task is not None
    await asyncio.wait([task])  # done, but its end is not handled yet
    active_relay.change_discovery_address(type(active_relay.config.discovery).parse(new_platform.address))
    watch = await new_platform.next_watch()
    watch.line(listing(44, endpoint(field.host)))
    await until(lambda: active_relay.discovery.index == 44)
    assert new_platform.calls.empty() and isinstance(watch.call, Call)
    await new_platform.stop()


async def test_endpoint_moved_to_another_destination_gets_no_messages_of_the_old_one(field: Field) -> None:
    field.facts["weightSource"] = "nominal"
    client = await field.start()
    active_relay = field.relays[0]
    watch = await field.platform.next_watch()
    other = HttpServer()
    await other.start()
    moved = {**endpoint(field.host), "group": 4, "weight": 80.0}
    watch.line(listing(42, moved, endpoint(other, "s-2")))
    await until(lambda: active_relay.discovery.index == 42 and not active_relay.event_queue)
    for ref, destination, server in (("m1", 3, other), ("m2", 4, field.host)):
        await client.enqueue(ref, dest=destination)
        call = await server.next_call()
        assert call.headers["x-request-id"] == ref
        call.answer(200)
    watch.line(listing(43, {**moved, "weight": 20.0}))
    await until(lambda: active_relay.pacer.routes[4][0].listed_rate == 20.0)
    await other.stop()


async def test_call_whose_endpoint_changes_address_during_connect_goes_to_the_new_address(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The listener at the old address may belong to another destination by then."""
    client = await field.start()
    active_relay = field.relays[0]
    watch = await field.platform.next_watch()
    other = HttpServer()
    await other.start()

    async def change_address(connection: connection_pool.Connection) -> None:
        watch.line(
            listing(
                42,
                {**endpoint(field.host), "address": other.address},
                {**endpoint(field.host, "s-2"), "group": 4},
            )
        )
        await until(lambda: active_relay.discovery.index == 42)

    on_next_connection(monkeypatch, change_address)
    await client.enqueue("m1", "unsafe")
    call = await other.next_call()
    assert call.headers["x-request-id"] == "m1" and active_relay.journal.entries["m1"].attempts == 1
    call.answer(200)
    await until(lambda: not active_relay.held_messages)
    assert field.host.calls.empty() and field.platform.notices.empty()
    await other.stop()


async def test_endpoint_that_changes_address_during_a_call_gets_the_next_call_at_the_new_address(
    field: Field,
) -> None:
    client = await field.start()
    await field.warm_up(client)
    active_relay = field.relays[0]
    watch = await field.platform.next_watch()
    other = HttpServer()
    await other.start()
    await client.enqueue("m1", "unsafe")
    call = await field.host.next_call()
    watch.line(listing(42, {**endpoint(field.host), "address": other.address}))
    await until(lambda: active_relay.discovery.index == 42)
    call.answer(200)
    await until(lambda: not active_relay.held_messages and not active_relay.connection_pool.open)
    await client.enqueue("m2", "unsafe")
    call = await other.next_call()
    assert call.headers["x-request-id"] == "m2"
    call.answer(200)
    await until(lambda: not active_relay.held_messages)
    assert field.host.calls.empty()
    await other.stop()


async def test_endpoints_with_the_same_address_are_drained_separately(field: Field) -> None:
    """Two names for one listener: an update of one applies to its own connections only."""
    field.endpoints.append(endpoint(field.host, "s-2"))
    client = await field.start()
    active_relay = field.relays[0]
    watch = await field.platform.next_watch()
    for n in range(6):
        assert await client.enqueue(f"m{n}") == b"OK"
        (await field.host.next_call()).answer(200)
        await until(lambda: not active_relay.held_messages)
    assert set(active_relay.connection_pool.idle) == {"s-1", "s-2"}
    watch.line(listing(42, endpoint(field.host, status="Terminating")))
    await until(lambda: active_relay.discovery.index == 42)
    assert set(active_relay.connection_pool.idle) == {"s-2"}
    for n in range(3):
        await client.enqueue(f"n{n}")
        call = await field.host.next_call()
        call.answer(200)
        await until(lambda: not active_relay.held_messages)
    assert {connection.endpoint for connection in active_relay.connection_pool.open} == {"s-2"}


@pytest.mark.parametrize("weight", [1e-310, 0, -1, 1e308, float("nan")])
async def test_invalid_listed_rate_does_not_abort_the_planning_pass(field: Field, weight: float) -> None:
    """Without validation the interval between calls would not be finite and each planning pass would fail."""
    field.facts["weightSource"] = "nominal"
    field.endpoints = [{**endpoint(field.host), "weight": weight}]
    client = await field.start()
    for ref in ("m1", "m2", "m3"):
        assert await client.enqueue(ref) == b"OK"
        (await field.host.next_call()).answer(503)
        (await field.host.next_call()).answer(200)
        await until(lambda: not field.relays[0].held_messages)


async def test_idle_connections_of_a_restarted_endpoint_are_closed(field: Field) -> None:
    """A restarted endpoint has lost these connections, possibly without a FIN or reset."""
    client = await field.start()
    watch = await field.platform.next_watch()
    await field.warm_up(client)
    pool = field.relays[0].connection_pool
    await until(lambda: any(pool.idle.values()))
    watch.line(listing(42, {**endpoint(field.host), "since_ms": 1_764_000_000_000}))
    await until(lambda: not pool.open)
