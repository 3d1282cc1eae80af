"""Tests of the endpoint list: the packed catalog, the incremental parser and the cache on disk."""

from __future__ import annotations

import asyncio
import errno
import json
import logging
import random
import tracemalloc
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetrelay import discovery, endpoint_cache
from garnetrelay.catalog import Catalog, Endpoint
from garnetrelay.config import Address, Config, ConfigError, load
from garnetrelay.discovery import LineReader, EntryParser
from garnetrelay.endpoint_cache import EndpointCache
from garnetrelay.relay import Relay
from starlingwick import interface as io
from tests.faults import FailingDisk
from tests.sockets import Client, Field, HttpServer, endpoint, listing, until

RUNNING, STOPPING, DELETED = io.Availability.RUNNING, io.Availability.STOPPING, io.Availability.DELETED


def entry(name: str, dest: int = 3, availability: io.Availability = RUNNING, port: int = 6379) -> Endpoint:
    return Endpoint(name, dest, 1, 0, availability, 20.5, 1_764_000_000_000, Address("127.0.0.1", port))


def committed(catalog: Catalog, version: int, whole: bool, *endpoints: Endpoint) -> set[int]:
    staged = catalog.stage()
    for each in endpoints:
        staged.add(each)
    return catalog.commit(staged, version, whole)


ENDPOINTS = st.builds(
    entry,
    st.sampled_from(["a", "b", "c", "é" * 9]),
    st.integers(1, 4),
    st.sampled_from([RUNNING, STOPPING, DELETED]),
    st.integers(1, 65535),
)


@given(st.lists(st.tuples(st.booleans(), st.lists(ENDPOINTS, max_size=6)), max_size=6))
def test_catalog_matches_a_dictionary(updates: list[tuple[bool, list[Endpoint]]]) -> None:
    catalog, table = Catalog(), dict[str, Endpoint]()
    for version, (whole, endpoints) in enumerate(updates):
        before = {dest: catalog.find(dest) for dest in range(1, 5)}
        touched = committed(catalog, version, whole, *endpoints)
        if whole:
            table = {}
        last = {each.name: each for each in endpoints}  # the last entry of a name counts
        table |= last
        table = {name: each for name, each in table.items() if each.availability is not DELETED}
        for dest in range(1, 5):
            found = catalog.find(dest)
            assert {each.name: each for each in found} == {
                n: e for n, e in table.items() if e.destination == dest
            }
            assert len(found) == len({each.name for each in found})
            assert dest in touched or found == before[dest]
            assert catalog.knows(dest) or not found and not before[dest]
        assert set(catalog) == table.keys() and len(catalog) == len(table)
        assert catalog.draining == sum(each.availability is STOPPING for each in table.values())
        assert all(catalog.destination(name) == each.destination for name, each in table.items())


def test_destination_listed_once_stays_known() -> None:
    catalog = Catalog()
    committed(catalog, 1, True, entry("a"))
    committed(catalog, 2, False, entry("a", availability=DELETED))
    assert catalog.find(3) == [] and catalog.knows(3) and not catalog.knows(4)


def test_entry_that_does_not_fit_is_rejected() -> None:
    with pytest.raises(ValueError):
        Catalog().stage().add(entry("a" * 70_000))


# ---- incremental parsing


class ParserConfig:
    """The configuration values that the parser uses."""

    zone_names, kind_names, memory_bytes = ("north", "south"), ("plain",), 64_000_000


def reader(catalog: Catalog) -> EntryParser:
    return EntryParser(ParserConfig, catalog.stage)  # type: ignore[arg-type]


def lines(count: int, **facts: Any) -> list[dict[str, Any]]:
    return [
        {
            "name": f"e-{n}",
            "address": f"127.0.0.1:{n % 60_000 + 1}",
            "zone": "north",
            "type": "plain",
            "group": n // 2,
            "status": "Ready",
            "weight": 20.0,
            "since_ms": 0,
            **facts,
        }
        for n in range(count)
    ]


def chunks(data: bytes, seed: int) -> Iterator[bytes]:
    draw = random.Random(seed)
    at = 0
    while at < len(data):
        step = draw.choice([1, 7, 300, 4096, 65536])
        yield data[at : at + step]
        at += step


# Guards against an object of discovery's that fills the memory with fields that mean nothing here.
def test_unknown_fields_of_a_long_object_are_not_kept() -> None:
    parser = discovery.IncrementalParser(reader(Catalog()))
    unknown = ",".join(f'"field-{n}":"{"x" * 100}"' for n in range(5_000))
    data = f'{{"index":3,{unknown},"snapshot":true,"endpoints":[]}}'.encode()
    assert parser.feed(data) == b""
    assert parser.fields == {"index": 3, "snapshot": True, "endpoints": None}


@pytest.mark.parametrize("indent", [None, 0, 2])
@pytest.mark.parametrize("seed", range(3))
def test_object_too_long_to_buffer_is_parsed_incrementally(indent: int | None, seed: int) -> None:
    """In chunks of any size, indented or not, between other objects, with its values in any order."""
    entries = lines(1500)
    small = listing(1, endpoint_line("x"))
    long = json.dumps(
        {"note": {"endpoints": [1]}, "endpoints": entries, "index": 42, "snapshot": True}, indent=indent
    )
    assert len(long) > discovery.MAX_BUFFERED_BYTES
    data = "\n".join(["", small, "", long, "", small, ""]).encode()
    catalog = Catalog()
    feed = LineReader(reader(catalog))
    updates = [each for chunk in chunks(data, seed) for each in feed.feed(chunk)]
    assert [(each.index, each.whole) for each in updates] == [(1, False), (42, True), (1, False)]
    catalog.commit(updates[1].staged, 42, True)
    assert set(catalog) == {line["name"] for line in entries}
    assert feed.large_object is None and not feed.partial_line and not feed.object_lines


def endpoint_line(name: str) -> dict[str, Any]:
    return lines(1, name=name)[0]


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda text: text.replace('"e-1400"', "e-1400"),
        lambda text: text[:-40],
        lambda text: text.replace('"status": "Ready"', '"status": "Odd"'),
        lambda text: text.replace("},", "}", 1),
        lambda text: text.replace('"endpoints"', '"nothing"'),
        lambda text: text.replace('"snapshot": true', '"s": 0'),
        lambda text: text.replace('"e-1400"', '"\xff\xfe"').encode("latin-1"),
        lambda text: text.replace('"index": 42', '"index": "x"'),
        lambda text: text.replace("}]", "}"),
        lambda text: text.replace('{"index"', '{, "index"'),
        lambda text: text.replace("[{", "[ 1, {"),
    ],
    ids=[
        "word",
        "half",
        "status",
        "comma",
        "no list",
        "no sort",
        "bytes",
        "index",
        "open",
        "start",
        "number",
    ],
)
def test_malformed_long_object_raises_by_the_next_empty_line(corrupt: Any) -> None:
    text = corrupt(json.dumps({"index": 42, "snapshot": True, "endpoints": lines(1500)}))
    data = (text if isinstance(text, bytes) else text.encode()) + b"\n\n"
    with pytest.raises(ValueError):
        feed = LineReader(reader(Catalog()))
        assert [each for chunk in chunks(data, 1) for each in feed.feed(chunk)] == []


def test_list_over_its_memory_limit_raises() -> None:
    small = reader(Catalog())
    small.max_staged_bytes = 50_000
    with pytest.raises(ValueError, match="50000 bytes"):
        list(
            LineReader(small).feed(
                json.dumps({"index": 1, "snapshot": True, "endpoints": lines(3000)}).encode()
            )
        )


# ---- the cache on disk


def open_cache(
    folder: Path, max_bytes: int = 10_000_000, zones: tuple[str, ...] = ("n", "s")
) -> EndpointCache:
    return EndpointCache(folder, max_bytes, zones, ("plain",))


async def store(cache: EndpointCache, catalog: Catalog, changed: set[int], whole: bool) -> None:
    cache.store(catalog, changed, whole)
    if cache.rewrite_task is not None:
        await cache.rewrite_task


def content(catalog: Catalog) -> dict[int, list[Endpoint]]:
    return {dest: catalog.find(dest) for dest in catalog.packed}


async def test_cached_list_is_loaded_with_its_deltas(tmp_path: Path) -> None:
    catalog, cache = Catalog(), open_cache(tmp_path)
    await store(cache, catalog, committed(catalog, 7, True, *(entry(f"s{n}", n) for n in range(2000))), True)
    await store(
        cache, catalog, committed(catalog, 8, False, entry("s1", 1, DELETED), entry("new", 5000)), False
    )
    await store(cache, catalog, committed(catalog, 9, False, entry("s2", 2, STOPPING)), False)
    cache.close()
    again, restored = open_cache(tmp_path), Catalog()
    assert not again.load(Catalog(), known=9)  # the configuration has a list of the same version
    assert again.load(restored, known=8)
    assert restored.version == 9 and content(restored) == content(catalog) and restored.draining == 1
    again.close()


async def test_delta_during_a_rewrite_is_stored(tmp_path: Path) -> None:
    catalog, cache = Catalog(), open_cache(tmp_path)
    cache.store(catalog, committed(catalog, 7, True, *(entry(f"s{n}", n) for n in range(2000))), True)
    await asyncio.sleep(endpoint_cache.CHUNK_PAUSE)
    for version, change in enumerate(
        [entry("s1", 1, DELETED), entry("s1999", 1999, DELETED), entry("x", 9)], 8
    ):
        cache.store(catalog, committed(catalog, version, False, change), False)
    assert cache.rewrite_task is not None
    await cache.rewrite_task
    restored = Catalog()
    assert cache.load(restored, known=0)
    assert restored.version == 10 and content(restored) == content(catalog)
    cache.close()


async def test_cached_list_is_rewritten_when_its_deltas_outgrow_it(tmp_path: Path) -> None:
    catalog, cache = Catalog(), open_cache(tmp_path)
    await store(cache, catalog, committed(catalog, 1, True, entry("a")), True)
    for version in range(2, 2500):
        await store(cache, catalog, committed(catalog, version, False, entry("a", port=version)), False)
        assert (tmp_path / "list").stat().st_size < 2 * endpoint_cache.MIN_REWRITE_BYTES
    restored = Catalog()
    assert cache.load(restored, known=0) and content(restored) == content(catalog)
    cache.close()


@pytest.mark.parametrize("at", range(0, 100, 9))
async def test_damage_anywhere_is_detected_or_loads_an_earlier_version(
    tmp_path: Path, at: int, caplog: pytest.LogCaptureFixture
) -> None:
    """A flipped bit logs one line and loads no list; a torn tail loads the list before it."""
    catalog, cache = Catalog(), open_cache(tmp_path)
    await store(cache, catalog, committed(catalog, 7, True, *(entry(f"s{n}", n) for n in range(50))), True)
    before = content(catalog)
    await store(cache, catalog, committed(catalog, 8, False, entry("new", 1)), False)
    cache.close()
    data = (tmp_path / "list").read_bytes()
    damaged = bytearray(data)
    damaged[len(data) * at // 100] ^= 4
    for text, left in ((bytes(damaged), None), (data[:-1], before), (data[: len(data) * at // 120], None)):
        (tmp_path / "list").write_bytes(text)
        caplog.clear()
        again, restored = open_cache(tmp_path), Catalog()
        if again.load(restored, known=0):
            assert restored.version in (7, 8)
            assert content(restored) == (before if restored.version == 7 else content(catalog))
        else:
            assert left is None and restored.version == 0 and len(restored) == 0
            assert len([record for record in caplog.records if record.levelno == logging.WARNING]) == 1
        again.close()


async def test_cached_list_of_other_zones_is_not_used(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    catalog, cache = Catalog(), open_cache(tmp_path)
    await store(cache, catalog, committed(catalog, 7, True, entry("a")), True)
    cache.close()
    again = open_cache(tmp_path, zones=("s", "n"))
    assert not again.load(Catalog(), known=0) and "another form" in caplog.text
    again.close()


async def test_cached_list_stays_within_its_disk_limit(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Old and new file together. A list that no longer fits is not stored; the older version stays valid."""
    catalog, cache = Catalog(), open_cache(tmp_path, max_bytes=20_000)
    await store(cache, catalog, committed(catalog, 7, True, *(entry(f"s{n}", n) for n in range(100))), True)
    await store(cache, catalog, committed(catalog, 8, False, *(entry(f"t{n}", n) for n in range(900))), False)
    await store(cache, catalog, committed(catalog, 9, False, entry("u")), False)
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= 20_000
    assert "left as it is" in caplog.text
    restored = Catalog()
    assert cache.load(restored, known=0) and restored.version == 7 and len(restored) == 100
    cache.close()


async def test_only_the_lock_owner_writes(tmp_path: Path) -> None:
    catalog, cache, other = Catalog(), open_cache(tmp_path), open_cache(tmp_path)
    await store(cache, catalog, committed(catalog, 7, True, entry("a")), True)
    committed(catalog, 8, False, entry("b"))
    await store(other, catalog, {3}, False)
    assert other.file is None and other.rewrite_task is None
    cache.close()
    await store(other, catalog, {3}, False)
    restored = Catalog()
    assert other.load(restored, known=0) and restored.version == 8
    other.close()


async def test_frequently_changing_list_is_rewritten_before_its_deltas_fill_the_disk_limit(
    tmp_path: Path,
) -> None:
    """Its disk limit is below the size of deltas that triggers a rewrite otherwise."""
    catalog, cache = Catalog(), open_cache(tmp_path, max_bytes=60_000)
    await store(cache, catalog, committed(catalog, 1, True, *(entry(f"s{n}", n) for n in range(30))), True)
    for version in range(2, 1000):
        change = committed(catalog, version, False, entry(f"s{version % 30}", version % 30, port=version))
        await store(cache, catalog, change, False)
        assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= 60_000
    restored = Catalog()
    assert cache.load(restored, known=0) and restored.version == 999
    assert content(restored) == content(catalog)
    cache.close()


@pytest.mark.parametrize("calls", [("write",), ("open",), ("rename",)])
async def test_list_that_failed_to_write_is_written_when_the_disk_works_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, calls: tuple[str, ...]
) -> None:
    """Without a further change of the list."""
    monkeypatch.setattr(endpoint_cache, "RETRY_DELAY_AFTER_ERROR", 0.05)
    catalog, cache = Catalog(), open_cache(tmp_path)
    disk = FailingDisk(monkeypatch, errno.ENOSPC, calls)
    await store(cache, catalog, committed(catalog, 7, True, entry("a")), True)
    await store(cache, catalog, committed(catalog, 8, False, entry("b")), False)
    assert cache.file is None and disk.failed
    disk.failing = False
    await until(lambda: cache.file is not None)
    restored = Catalog()
    assert cache.load(restored, known=0) and restored.version == 8 and set(restored) == {"a", "b"}
    cache.close()


# ---- the relay


def big_list(field: Field, version: int, count: int = 30_000) -> str:
    entries = lines(count, address=field.host.address)
    return json.dumps({"index": version, "snapshot": True, "endpoints": [*entries, endpoint(field.host)]})


async def test_list_of_over_four_mebibytes_is_read_and_its_destinations_are_served(field: Field) -> None:
    """The Pacer knows only destinations in use; a delta reaches them within the drain grace time."""
    client = await field.start()
    relay = field.relays[0]
    watch = await field.platform.next_watch()
    text = big_list(field, 50)
    assert len(text) > 4 << 20
    for start in range(0, len(text), 100_000):
        part = text[start : start + 100_000].encode()
        watch.call.writer.write(b"%x\r\n%s\r\n" % (len(part), part))
        await watch.call.writer.drain()
    watch.line("")
    await until(lambda: relay.catalog.version == 50)
    assert len(relay.catalog) == 30_001
    await client.enqueue("m1", dest=14_999)
    (await field.host.next_call()).answer(200)
    assert set(relay.pacer.endpoints) == {"e-29998", "e-29999"}
    watch.line(listing(51, {**lines(30_000)[29_998], "status": "Gone"}, {**lines(1)[0], "group": 14_999}))
    await until(lambda: relay.catalog.version == 51 and not relay.event_queue)
    assert set(relay.pacer.endpoints) == {"e-0", "e-29999"} == set(relay.connection_pool.addresses)


async def restarted(field: Field) -> tuple[Relay, str, Client]:
    """Start another relay in the same folder; also return the target of its request for the list."""
    client = await field.start()
    call = await field.platform.next_call()
    return field.relays[-1], call.line.split()[1], client


async def test_restart_requests_only_the_deltas_since_the_cached_list(field: Field) -> None:
    field.limits["disk_mb"] = 20
    field.extra["list"] = {"keep": True}
    await field.start()
    relay = field.relays[0]
    watch = await field.platform.next_watch()
    watch.line(big_list(field, 50, 3000))
    await until(lambda: relay.endpoint_cache is not None and relay.endpoint_cache.file is not None)
    watch.line(listing(51, lines(1, group=9000, address=field.host.address)[0]))
    await until(lambda: relay.catalog.version == 51)
    relay.server.stop()
    relay.close()
    field.relays.clear()
    again, target, client = await restarted(field)
    assert target.endswith("since=51")
    assert len(again.catalog) == 3001 and again.catalog.destination("e-0") == 9000
    await client.enqueue("m1", dest=9000)
    (await field.host.next_call()).answer(200)


async def test_snapshot_is_requested_when_discovery_is_behind_the_cached_list(field: Field) -> None:
    """For example, versions were reset: deltas up to version 12 do not apply to a list of version 50."""
    field.extra["list"] = {"keep": True}
    await field.start()
    relay = field.relays[0]
    watch = await field.platform.next_watch()
    watch.line(listing(50, endpoint(field.host), endpoint(field.host, "s-2"), snapshot=True))
    await until(lambda: relay.endpoint_cache is not None and relay.endpoint_cache.file is not None)
    relay.server.stop()
    relay.close()
    field.relays.clear()
    await field.start()
    watch = await field.platform.next_watch()
    assert watch.call.line.split()[1].endswith("since=50")
    watch.line(listing(12, endpoint(field.host, "s-3")))
    watch = await field.platform.next_watch()
    assert watch.call.line.split()[1].endswith("since=0")
    watch.line(listing(12, endpoint(field.host, "s-3"), snapshot=True))
    await until(lambda: set(field.relays[0].catalog) == {"s-3"})


async def test_restart_with_a_damaged_list_starts_from_the_configuration(
    field: Field, caplog: pytest.LogCaptureFixture
) -> None:
    field.extra["list"] = {"keep": True}
    (field.state / "list").write_bytes(b"not a list at all")
    again, target, _ = await restarted(field)
    assert target.endswith("since=41") and set(again.catalog) == {"s-1"}


@pytest.mark.parametrize("status", ["Terminating", "Gone"])
@pytest.mark.parametrize("mode", ["automatic", "subscribe"])
async def test_endpoint_state_known_to_the_previous_process_applies_from_the_start(
    field: Field, status: str, mode: str
) -> None:
    """Discovery is down at the start: updates that the previous process received apply nevertheless."""
    field.facts["discovery"] = mode
    other = HttpServer()
    await other.start()
    field.endpoints = [endpoint(field.host), endpoint(other, "s-2")]
    await field.start()
    watch = await field.platform.next_watch()
    watch.line(listing(42, endpoint(field.host, status=status)))
    await until(
        lambda: field.relays[0].endpoint_cache is not None and field.relays[0].endpoint_cache.file is not None
    )
    field.relays[0].server.stop()
    field.relays[0].close()
    field.relays.clear()
    assert field.platform.server is not None
    field.platform.server.close()
    client = await field.start()
    for n in range(6):
        await client.enqueue(f"m{n}")
        (await other.next_call()).answer(200)
        await until(lambda: not field.relays[0].held_messages)
    assert field.host.calls.empty()
    await other.stop()


# Guards against a list that is not kept for its length: a restart without discovery forgot which endpoints
# are gone, and sent to addresses that belonged to others by then.
@pytest.mark.parametrize("count", [700, 1_300, 3_200])
async def test_state_of_an_endpoint_in_a_long_list_applies_from_the_start(field: Field, count: int) -> None:
    other = HttpServer()
    await other.start()
    fillers = [
        {**filler, "group": 5_000 + number // 5}
        for number, filler in enumerate(lines(count, address=field.host.address))
    ]
    field.endpoints = [endpoint(field.host), endpoint(other, "s-2"), *fillers]
    await field.start()
    watch = await field.platform.next_watch()
    watch.line(listing(42, endpoint(field.host, status="Gone")))
    # up to half of the others are replaced as well
    gone = [{**filler, "status": "Gone"} for filler in fillers[::2]]
    replacements = [{**filler, "name": f"{filler['name']}-replacement"} for filler in fillers[::2]]
    watch.line(listing(43, *gone, *replacements))
    cache = field.relays[0].endpoint_cache
    await until(lambda: field.relays[0].catalog.version == 43)
    await until(lambda: cache is not None and (cache.file is not None or cache.failing))
    if cache is not None and cache.rewrite_task is not None:
        await cache.rewrite_task
    used = sum(path.stat().st_size for path in field.state.iterdir() if path.name.startswith("list"))
    assert used <= field.limits["disk_mb"] * 1_000_000 / 4
    field.relays[0].server.stop()
    field.relays[0].close()
    field.relays.clear()
    assert field.platform.server is not None
    field.platform.server.close()
    client = await field.start()
    for n in range(3):
        await client.enqueue(f"m{n}")
        (await other.next_call()).answer(200)
        await until(lambda: not field.relays[0].held_messages)
    assert field.host.calls.empty() and field.relays[0].catalog.version == 43
    await other.stop()


async def test_list_is_not_cached_when_caching_is_disabled(field: Field) -> None:
    field.extra["list"] = {"keep": False}
    await field.start()
    watch = await field.platform.next_watch()
    watch.line(listing(42, endpoint(field.host), snapshot=True))
    await until(lambda: field.relays[0].catalog.version == 42)
    assert not [path.name for path in field.state.iterdir() if path.name.startswith("list")]


def test_disk_limit_of_the_cached_list_is_validated(field: Field) -> None:
    def configured(**options: Any) -> Config:
        field.extra["list"] = options
        return field.config()

    field.limits["disk_mb"] = 8
    assert (configured().list_bytes, configured().disk_bytes) == (250_000, 7_750_000)
    field.endpoints *= 4_000  # a longer list gets what it needs, and a quarter at the most
    assert (configured().list_bytes, configured().disk_bytes) == (768_000, 7_232_000)
    field.endpoints *= 100
    assert (configured().list_bytes, configured().disk_bytes) == (2_000_000, 6_000_000)
    assert (configured(keep=False).list_bytes, configured(keep=False).disk_bytes) == (0, 8_000_000)
    assert (configured(keep=True).list_bytes, configured(keep=True).disk_bytes) == (4_000_000, 4_000_000)
    assert configured(keep=True, disk_mb=3).disk_bytes == 5_000_000
    for invalid in (
        {"keep": True, "disk_mb": 8},
        {"keep": True, "disk_mb": 0},
        {"keep": True, "disk_mb": "x"},
    ):
        field.extra["list"] = invalid
        with pytest.raises(ConfigError, match="list|convert"):
            load(field.environment())


def test_known_list_of_a_fleet_is_read_with_bounded_memory(field: Field) -> None:
    """As objects, 30,000 entries take some 35 MB. None of them outlives the parsing."""
    field.endpoints = lines(30_000)
    environment = field.environment()
    tracemalloc.start()
    config = load(environment)
    catalog = Catalog()
    updates = EntryParser(config, catalog.stage).read_known(config)
    catalog.commit(updates.staged, updates.index, updates.whole)
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(catalog) == 30_000
    assert peak < 600 * 30_000, f"{peak} bytes at peak"
    assert held < 350 * 30_000, f"{held} bytes kept"
