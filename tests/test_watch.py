"""The watch of the list: what can go wrong with it just as news is due, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from garnetrelay import discovery, connection_pool, relay
from tests.sockets import Call, Field, HttpServer, Platform, endpoint, listing, until
from tests.test_crossings import on_next_connection


async def test_list_may_come_indented_and_in_pieces(field: Field) -> None:
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
    "spoilt",
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
async def test_line_that_cannot_be_read_loses_no_change(field: Field, spoilt: str) -> None:
    """The changes that stood in it come again, with the whole list; those before it stay."""
    field.facts["discovery"] = "automatic"
    await field.start()
    watch = await field.platform.next_watch()
    watch.line(listing(41, endpoint(field.host)))
    watch.line(spoilt)
    watch.line("")
    again = await field.platform.next_watch()
    assert again.call.line.split()[1].endswith("since=0")
    again.line(listing(43, endpoint(field.host), endpoint(field.host, "s-2"), snapshot=True))
    await until(lambda: set(field.relays[0].catalog) == {"s-1", "s-2"})
    again.call.abort()
    assert (await field.platform.next_watch()).call.line.split()[1].endswith("since=43")


@pytest.mark.parametrize("mode", ["automatic", "subscribe"])
async def test_watch_that_is_not_taken_up_is_opened_anew_in_time(
    field: Field, monkeypatch: pytest.MonkeyPatch, mode: str
) -> None:
    assert discovery.RESPONSE_TIMEOUT + discovery.SILENCE_TIMEOUT + relay.RESUBSCRIBE_DELAY < 6
    monkeypatch.setattr(discovery, "RESPONSE_TIMEOUT", 0.1)
    field.facts["discovery"] = mode
    await field.start()
    silent = await field.platform.next_call()
    assert (await field.platform.next_call()).connection != silent.connection


async def test_time_for_an_answer_grows_where_discovery_is_slow(
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


async def test_move_between_two_watches_asks_the_new_address_at_once(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next call for the list is seconds off; what the new address tells is due 4 s from the signal."""
    await field.start()
    one = field.relays[0]
    watch = await field.platform.next_watch()
    watch.call.abort()
    await until(lambda: one.discovery.task is None)
    one.pacer.subscribe_at = one.pacer.now + 3600 * 10**9
    moved = Platform()
    await moved.start()
    one.change_discovery_address(type(one.config.discovery).parse(moved.address))
    began = time.monotonic()
    await moved.next_watch()
    assert time.monotonic() - began < 4
    await moved.stop()


async def test_end_of_the_old_watch_behind_a_move_does_not_end_the_new_one(field: Field) -> None:
    field.facts["discovery"] = "automatic"
    await field.start()
    one = field.relays[0]
    old = await field.platform.next_watch()
    moved = Platform()
    await moved.start()
    task = one.discovery.task
    old.call.abort()
    assert task is not None
    await asyncio.wait([task])  # over, and nobody has heard of it yet
    one.change_discovery_address(type(one.config.discovery).parse(moved.address))
    watch = await moved.next_watch()
    watch.line(listing(44, endpoint(field.host)))
    await until(lambda: one.discovery.index == 44)
    assert moved.calls.empty() and isinstance(watch.call, Call)
    await moved.stop()


async def test_endpoint_that_is_listed_for_another_destination_gets_none_of_the_old_one(field: Field) -> None:
    field.facts["weightSource"] = "nominal"
    client = await field.start()
    one = field.relays[0]
    watch = await field.platform.next_watch()
    other = HttpServer()
    await other.start()
    moved = {**endpoint(field.host), "group": 4, "weight": 80.0}
    watch.line(listing(42, moved, endpoint(other, "s-2")))
    await until(lambda: one.discovery.index == 42 and not one.event_queue)
    for ref, dest, host in (("m1", 3, other), ("m2", 4, field.host)):
        await client.enqueue(ref, dest=dest)
        call = await host.next_call()
        assert call.headers["x-request-id"] == ref
        call.answer(200)
    watch.line(listing(43, {**moved, "weight": 20.0}))
    await until(lambda: one.pacer.routes[4][0].listed_rate == 20.0)
    await other.stop()


async def test_call_whose_endpoint_moves_as_its_connection_comes_up_goes_to_the_new_address(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Who listens at the old one may be of another destination by then."""
    client = await field.start()
    one = field.relays[0]
    watch = await field.platform.next_watch()
    other = HttpServer()
    await other.start()

    async def moves(connection: connection_pool.Connection) -> None:
        watch.line(
            listing(
                42,
                {**endpoint(field.host), "address": other.address},
                {**endpoint(field.host, "s-2"), "group": 4},
            )
        )
        await until(lambda: one.discovery.index == 42)

    on_next_connection(monkeypatch, moves)
    await client.enqueue("m1", "unsafe")
    call = await other.next_call()
    assert call.headers["x-request-id"] == "m1" and one.journal.entries["m1"].attempts == 1
    call.answer(200)
    await until(lambda: not one.held_messages)
    assert field.host.calls.empty() and field.platform.notices.empty()
    await other.stop()


async def test_endpoint_that_moves_under_a_call_is_answered_there_and_called_at_the_new_address_next(
    field: Field,
) -> None:
    client = await field.start()
    await field.warm_up(client)
    one = field.relays[0]
    watch = await field.platform.next_watch()
    other = HttpServer()
    await other.start()
    await client.enqueue("m1", "unsafe")
    call = await field.host.next_call()
    watch.line(listing(42, {**endpoint(field.host), "address": other.address}))
    await until(lambda: one.discovery.index == 42)
    call.answer(200)
    await until(lambda: not one.held_messages and not one.connection_pool.open)
    await client.enqueue("m2", "unsafe")
    call = await other.next_call()
    assert call.headers["x-request-id"] == "m2"
    call.answer(200)
    await until(lambda: not one.held_messages)
    assert field.host.calls.empty()
    await other.stop()


async def test_endpoints_with_one_address_are_each_drained_alone(field: Field) -> None:
    """Two names for one listener: what is said of one holds for its own connections only."""
    field.endpoints.append(endpoint(field.host, "s-2"))
    client = await field.start()
    one = field.relays[0]
    watch = await field.platform.next_watch()
    for n in range(6):
        assert await client.enqueue(f"m{n}") == b"OK"
        (await field.host.next_call()).answer(200)
        await until(lambda: not one.held_messages)
    assert set(one.connection_pool.idle) == {"s-1", "s-2"}
    watch.line(listing(42, endpoint(field.host, status="Terminating")))
    await until(lambda: one.discovery.index == 42)
    assert set(one.connection_pool.idle) == {"s-2"}
    for n in range(3):
        await client.enqueue(f"n{n}")
        call = await field.host.next_call()
        call.answer(200)
        await until(lambda: not one.held_messages)
    assert {connection.endpoint for connection in one.connection_pool.open} == {"s-2"}


@pytest.mark.parametrize("weight", [1e-310, 0, -1, 1e308, float("nan")])
async def test_listed_rate_that_is_none_ends_no_turn(field: Field, weight: float) -> None:
    """A spoilt entry, say: the time for one call of it is no number, and each turn would end in an error."""
    field.facts["weightSource"] = "nominal"
    field.endpoints = [{**endpoint(field.host), "weight": weight}]
    client = await field.start()
    for ref in ("m1", "m2", "m3"):
        assert await client.enqueue(ref) == b"OK"
        (await field.host.next_call()).answer(503)
        (await field.host.next_call()).answer(200)
        await until(lambda: not field.relays[0].held_messages)


async def test_idle_connections_go_with_the_process_they_led_to(field: Field) -> None:
    """An endpoint that was started anew kept none of them, and may not have said so."""
    client = await field.start()
    watch = await field.platform.next_watch()
    await field.warm_up(client)
    net = field.relays[0].connection_pool
    await until(lambda: any(net.idle.values()))
    watch.line(listing(42, {**endpoint(field.host), "since_ms": 1_764_000_000_000}))
    await until(lambda: not net.open)
