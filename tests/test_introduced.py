"""Loading and eviction of destinations: a fleet's list names far more than a relay can hold."""

from __future__ import annotations

import asyncio

import pytest

from garnetrelay.catalog import Catalog
from starlingwick import control
from starlingwick import interface as io
from tests.helpers import MS, UNSAFE, PacerHarness, S, endpoint_entry
from tests.sockets import Field, HttpServer, endpoint, listing, until

MAX_LOADED = 8


@pytest.fixture
def small_cache(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control, "MAX_LOADED_DESTINATIONS", MAX_LOADED)


def load(relay: PacerHarness, destination: int) -> None:
    relay.handle(io.DestinationLoaded(destination, (endpoint_entry(f"h{destination}", destination),)))


def serve_many(relay: PacerHarness, destinations: range) -> set[int]:
    """Deliver a message to each destination and return the destinations evicted meanwhile."""
    evicted: set[int] = set()

    def handle(*events: io.Event, after: int = 0) -> None:
        relay.handle(*events, after=after)
        evicted.update(action.destination for action in relay.actions_of(io.EvictDestination))

    for destination in destinations:
        handle(io.DestinationLoaded(destination, (endpoint_entry(f"h{destination}", destination),)))
        handle(relay.message(destination=destination), after=100 * MS)
        (send,) = relay.sends()
        handle(relay.attempt_ended(send.message_id, io.Status.OK), after=100 * MS)
    return evicted


def test_least_recently_used_destinations_are_evicted_and_nothing_else_changes(small_cache: None) -> None:
    relay = PacerHarness()
    assert serve_many(relay, range(1, 101)) == set(range(1, 101 - MAX_LOADED))
    assert (
        set(relay.pacer.routes) == set(range(101 - MAX_LOADED, 101)) == set(relay.pacer.loaded_destinations)
    )
    assert set(relay.pacer.endpoints) == {f"h{destination}" for destination in range(101 - MAX_LOADED, 101)}
    load(relay, 1)
    relay.handle(relay.message(destination=1))
    assert [send.endpoint for send in relay.sends()] == ["h1"]


def test_destination_in_use_is_evicted_last(small_cache: None) -> None:
    relay = PacerHarness()
    load(relay, 1)
    for destination in range(2, 60):
        relay.serve(destination=1)
        assert 1 not in serve_many(relay, range(destination, destination + 1))


@pytest.mark.parametrize(
    "status,retry_after",
    [
        (io.Status.CONNECT_FAILED, 0),
        (io.Status.ERROR, 0),
        (io.Status.FULL, 30 * S),
        (io.Status.FULL, 0),
    ],
    ids=["refused", "error", "told wait", "full"],
)
def test_destination_with_a_wait_or_a_failure_is_not_evicted(
    small_cache: None, status: io.Status, retry_after: int
) -> None:
    """A Retry-After wait, an unhealthy state or a slow start (rules 4 and 6) keeps a destination loaded,
    however many others are used."""
    relay = PacerHarness()
    load(relay, 1)
    relay.handle(relay.message(destination=1))
    relay.handle(relay.attempt_ended("m1", status, retry_after), io.MessageWithdrawn("m1"))
    wait_until = relay.pacer.routes[1][0].retry_after_until
    relay.handle(io.MessageWithdrawn("m1"))
    evicted = serve_many(relay, range(2, 40))
    if status is io.Status.FULL and not retry_after:
        return  # throttling without a wait binds only for the backoff
    assert 1 not in evicted and relay.pacer.routes[1][0].retry_after_until == wait_until
    assert not relay.pacer.can_evict(1)


def test_destination_with_a_message_or_a_call_is_not_evicted(small_cache: None) -> None:
    relay = PacerHarness()
    load(relay, 1)
    load(relay, 2)
    relay.handle(relay.message(UNSAFE, destination=1))
    relay.handle(
        io.EndpointUpdate(
            io.UpdateScope.DELTA, (endpoint_entry("h2", 2, availability=io.Availability.STOPPING),)
        ),
        relay.message(destination=2),
    )
    assert serve_many(relay, range(3, 60)).isdisjoint({1, 2})
    assert relay.pacer.messages["m1"].call is not None and "m2" in relay.pacer.waiting_messages[2]


def test_destination_without_endpoints_is_evicted(small_cache: None) -> None:
    relay = PacerHarness()
    for destination in range(1, 50):
        relay.handle(io.DestinationLoaded(destination, ()))
    for _ in range(30):
        relay.handle(after=MS)
    assert len(relay.pacer.loaded_destinations) == MAX_LOADED


def test_listed_destinations_are_never_evicted(small_cache: None) -> None:
    """Destinations of a whole list, as in the simulator, could not be loaded again."""
    relay = PacerHarness(*(endpoint_entry(f"h{destination}", destination) for destination in range(1, 50)))
    for destination in range(1, 50):
        relay.serve(destination=destination)
        assert not relay.actions_of(io.EvictDestination)
    assert len(relay.pacer.routes) == 49


async def test_relay_serves_more_destinations_than_it_keeps_loaded(field: Field, small_cache: None) -> None:
    """Over sockets: each destination is loaded, used, evicted and loaded again; a wait is kept."""
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
    for repetition in range(2):
        for n in range(1, count):
            await client.enqueue(f"m{repetition}-{n}", dest=n)
            call = await field.host.next_call()
            assert call.headers["x-request-id"] == f"m{repetition}-{n}"
            call.answer(200)
            await until(lambda: len(relay.held_messages) <= 1)
    await until(lambda: not relay.event_queue)
    assert (
        len(relay.loaded_endpoints) <= MAX_LOADED + 4
        and relay.loaded_endpoints.keys() == relay.pacer.loaded_destinations.keys()
    )
    assert set(relay.connection_pool.addresses) == set(relay.endpoint_zones) == set(relay.pacer.endpoints)
    # the wait outlasts all evictions since
    assert relay.pacer.routes[0][0].retry_after_until > relay.pacer.now
    assert relay.metrics.current <= 1 and len(relay.catalog) == count


async def test_change_of_an_unloaded_destination_applies_once_it_is_loaded(field: Field) -> None:
    client = await field.start()
    relay = field.relays[0]
    watch = await field.platform.next_watch()
    other = HttpServer()
    await other.start()
    assert not relay.pacer.endpoints
    watch.line(listing(42, {**endpoint(field.host), "status": "Gone"}, endpoint(other, "s-2")))
    watch.line(listing(43, {**endpoint(other, "s-3"), "status": "Terminating"}))
    await until(lambda: relay.catalog.version == 43)
    await asyncio.sleep(0.25)  # the gauges are computed five times a second
    assert (relay.metrics.cluster_size, relay.metrics.cluster_unhealthy) == (2, 1)
    await client.enqueue("m1")
    (await other.next_call()).answer(200)
    assert isinstance(relay.catalog, Catalog) and set(relay.pacer.endpoints) == {"s-2", "s-3"}
    await asyncio.sleep(0.25)
    assert (relay.metrics.cluster_size, relay.metrics.cluster_unhealthy) == (2, 1)
    await other.stop()
