"""Destinations known only while they are used: a fleet's list names far more than a relay can hold."""

from __future__ import annotations

import asyncio

import pytest

from garnetrelay.catalog import Catalog
from starlingwick import control
from starlingwick import interface as io
from tests.helpers import MS, UNSAFE, PacerHarness, S, endpoint_entry
from tests.sockets import Field, HttpServer, endpoint, listing, until

USED = 8


@pytest.fixture
def few(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control, "MAX_LOADED_DESTINATIONS", USED)


def introduced(relay: PacerHarness, dest: int) -> None:
    relay.handle(io.DestinationLoaded(dest, (endpoint_entry(f"h{dest}", dest),)))


def serve_many(relay: PacerHarness, dests: range) -> set[int]:
    """A message for each, delivered; those that were let go meanwhile."""
    released: set[int] = set()

    def turn(*events: io.Event, after: int = 0) -> None:
        relay.handle(*events, after=after)
        released.update(action.destination for action in relay.actions_of(io.EvictDestination))

    for dest in dests:
        turn(io.DestinationLoaded(dest, (endpoint_entry(f"h{dest}", dest),)))
        turn(relay.message(destination=dest), after=100 * MS)
        (send,) = relay.sends()
        turn(relay.attempt_ended(send.message_id, io.Status.OK), after=100 * MS)
    return released


def test_longest_unused_destinations_are_let_go_and_nothing_else_changes(few: None) -> None:
    relay = PacerHarness()
    assert serve_many(relay, range(1, 101)) == set(range(1, 101 - USED))
    assert set(relay.pacer.routes) == set(range(101 - USED, 101)) == set(relay.pacer.loaded_destinations)
    assert set(relay.pacer.endpoints) == {f"h{dest}" for dest in range(101 - USED, 101)}
    introduced(relay, 1)
    relay.handle(relay.message(destination=1))
    assert [send.endpoint for send in relay.sends()] == ["h1"]


def test_destination_in_use_is_the_last_to_be_let_go(few: None) -> None:
    relay = PacerHarness()
    introduced(relay, 1)
    for dest in range(2, 60):
        relay.serve(destination=1)
        assert 1 not in serve_many(relay, range(dest, dest + 1))


@pytest.mark.parametrize(
    "status,wait",
    [
        (io.Status.CONNECT_FAILED, 0),
        (io.Status.ERROR, 0),
        (io.Status.FULL, 30 * S),
        (io.Status.FULL, 0),
    ],
    ids=["refused", "error", "told wait", "full"],
)
def test_what_binds_is_not_forgotten(few: None, status: io.Status, wait: int) -> None:
    """A told wait, a doubt of its health or a cold return (rules 4 and 6) outlast any number of others."""
    relay = PacerHarness()
    introduced(relay, 1)
    relay.handle(relay.message(destination=1))
    relay.handle(relay.attempt_ended("m1", status, wait), io.MessageWithdrawn("m1"))
    until_then = relay.pacer.routes[1][0].retry_after_until
    relay.handle(io.MessageWithdrawn("m1"))
    released = serve_many(relay, range(2, 40))
    if status is io.Status.FULL and not wait:
        return  # a refusal alone binds for its own pause
    assert 1 not in released and relay.pacer.routes[1][0].retry_after_until == until_then
    assert not relay.pacer.can_evict(1)


def test_destination_with_a_message_or_a_call_is_not_let_go(few: None) -> None:
    relay = PacerHarness()
    introduced(relay, 1)
    introduced(relay, 2)
    relay.handle(relay.message(UNSAFE, destination=1))
    relay.handle(
        io.EndpointUpdate(
            io.UpdateScope.DELTA, (endpoint_entry("h2", 2, availability=io.Availability.STOPPING),)
        ),
        relay.message(destination=2),
    )
    assert serve_many(relay, range(3, 60)).isdisjoint({1, 2})
    assert relay.pacer.messages["m1"].call is not None and "m2" in relay.pacer.waiting_messages[2]


def test_destination_without_hosts_is_let_go_too(few: None) -> None:
    relay = PacerHarness()
    for dest in range(1, 50):
        relay.handle(io.DestinationLoaded(dest, ()))
    for _ in range(30):
        relay.handle(after=MS)
    assert len(relay.pacer.loaded_destinations) == USED


def test_listed_destinations_are_never_let_go(few: None) -> None:
    """Where a list is told whole, as in the simulator, nobody could introduce them again."""
    relay = PacerHarness(*(endpoint_entry(f"h{dest}", dest) for dest in range(1, 50)))
    for dest in range(1, 50):
        relay.serve(destination=dest)
        assert not relay.actions_of(io.EvictDestination)
    assert len(relay.pacer.routes) == 49


async def test_relay_meets_many_destinations_in_little_room(field: Field, few: None) -> None:
    """Over sockets: each is introduced, used, let go and introduced again; a told wait holds meanwhile."""
    field.facts["discovery"] = "automatic"
    client = await field.start()
    relay = field.relays[0]
    watch = await field.platform.next_watch()
    count = 40
    watch.line(
        listing(42, *({**endpoint(field.host, f"e-{n}"), "group": n} for n in range(count)), snapshot=True)
    )
    await until(lambda: relay.catalog.version == 42)
    await client.enqueue("first", dest=0)
    (await field.host.next_call()).answer(429, "X-Backoff-Ms: 60000")
    await until(lambda: not field.host.calls.qsize() and not relay.pacer.calls)
    for turn in range(2):
        for n in range(1, count):
            await client.enqueue(f"m{turn}-{n}", dest=n)
            call = await field.host.next_call()
            assert call.headers["x-request-id"] == f"m{turn}-{n}"
            call.answer(200)
            await until(lambda: len(relay.held_messages) <= 1)
    await until(lambda: not relay.event_queue)
    assert (
        len(relay.loaded_endpoints) <= USED + 4
        and relay.loaded_endpoints.keys() == relay.pacer.loaded_destinations.keys()
    )
    assert set(relay.connection_pool.addresses) == set(relay.endpoint_zones) == set(relay.pacer.endpoints)
    # longer than all that has been let go since
    assert relay.pacer.routes[0][0].retry_after_until > relay.pacer.now
    assert relay.metrics.current <= 1 and len(relay.catalog) == count


async def test_change_of_a_destination_that_is_not_in_use_is_there_when_it_is(field: Field) -> None:
    client = await field.start()
    relay = field.relays[0]
    watch = await field.platform.next_watch()
    other = HttpServer()
    await other.start()
    assert not relay.pacer.endpoints
    watch.line(listing(42, {**endpoint(field.host), "status": "Gone"}, endpoint(other, "s-2")))
    watch.line(listing(43, {**endpoint(other, "s-3"), "status": "Terminating"}))
    await until(lambda: relay.catalog.version == 43)
    await asyncio.sleep(0.25)  # the figures are looked at five times a second
    assert (relay.metrics.cluster_size, relay.metrics.cluster_unhealthy) == (2, 1)
    await client.enqueue("m1")
    (await other.next_call()).answer(200)
    assert isinstance(relay.catalog, Catalog) and set(relay.pacer.endpoints) == {"s-2", "s-3"}
    await asyncio.sleep(0.25)
    assert (relay.metrics.cluster_size, relay.metrics.cluster_unhealthy) == (2, 1)
    await other.stop()
