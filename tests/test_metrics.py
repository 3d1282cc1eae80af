"""Tests of the metrics: each event is counted once, when it happens."""

from __future__ import annotations

import re

from garnetrelay.metrics import MessageEnd, Metrics
from starlingwick import interface as io
from tests.helpers import PacerHarness, S, endpoint_entry
from tests.sockets import Field, endpoint, listing, until


# Gauges that are sampled, not counted per event.
LOOKED_AT = ("cluster", "destinations")


def read(metrics: Metrics) -> dict[str, int]:
    """Return the values by metric name and class."""
    values = {}
    for line in metrics.render().splitlines():
        if not line.startswith("#"):
            match = re.fullmatch(r'relay_(\w+)(?:\{group="(.*)"\})? (\d+)', line)
            assert match is not None, line
            values["/".join(filter(None, match.groups()[:2]))] = int(match[3])
    return values


def test_every_class_has_its_lines_from_the_start() -> None:
    values = read(Metrics(["filing", "notice"]))
    assert values == dict.fromkeys(
        (
            "answered_total/filing",
            "answered_total/notice",
            "deferred_total/filing",
            "deferred_total/notice",
            "errored_total/filing",
            "errored_total/notice",
            "sends_total",
            "current",
            "cluster_size",
            "cluster_unhealthy",
            "destinations_suspect",
            "destinations_out",
            "destinations_recovering",
            "journal_failing",
        ),
        0,
    )


def test_a_class_name_cannot_break_its_line() -> None:
    metrics = Metrics(['odd"\\\n'])
    metrics.record_end(MessageEnd.ERRORED, 'odd"\\\n')
    assert 'relay_errored_total{group="odd\\"\\\\\\n"} 1\n' in metrics.render()


def changed(metrics: Metrics, before: dict[str, int]) -> dict[str, int]:
    """Return the changes of the message metrics."""
    return {
        name: value - before[name]
        for name, value in read(metrics).items()
        if value != before[name] and not name.startswith(LOOKED_AT)
    }


async def test_a_message_counts_once_however_often_it_is_sent(field: Field) -> None:
    client = await field.start()
    metrics = field.relays[0].metrics
    before = read(metrics)
    assert await client.enqueue("m1") == b"OK"
    (await field.host.next_call()).answer(500)
    again = await field.host.next_call()
    assert changed(metrics, before) == {"current": 1, "sends_total": 2}
    again.answer(200)
    await until(lambda: not field.relays[0].held_messages)
    assert changed(metrics, before) == {"answered_total/safe": 1, "sends_total": 2}


async def test_failed_rejected_and_withdrawn_messages_are_counted_separately(field: Field) -> None:
    client = await field.start()
    relay = field.relays[0]
    before = read(relay.metrics)
    assert await client.enqueue("dead", "unsafe") == b"OK"
    (await field.host.next_call()).answer(500)
    assert (await field.platform.next_notice())["result"] == "dead"
    assert changed(relay.metrics, before) == {"errored_total/unsafe": 1, "sends_total": 1}
    assert await client.enqueue("gone") == b"OK"
    (await field.host.next_call()).answer(410)  # finished elsewhere: it counts nowhere
    await until(lambda: not relay.held_messages)
    assert changed(relay.metrics, before) == {"errored_total/unsafe": 1, "sends_total": 2}
    relay.on_list_update(relay.entry_parser.read({"index": 42, "snapshot": True, "endpoints": []}))
    assert await client.enqueue("late", d=200) == b"OK"
    assert (await field.platform.next_notice())["result"] == "bounced"
    assert changed(relay.metrics, before) == {
        "errored_total/unsafe": 1,
        "sends_total": 2,
        "deferred_total/safe": 1,
    }


async def test_new_message_that_cannot_be_journaled_counts_as_deferred(field: Field) -> None:
    field.limits["disk_mb"] = 0.005
    client = await field.start()
    before = read(field.relays[0].metrics)
    assert "BUSY" in await client.enqueue("m1", body=bytes(4000))
    assert changed(field.relays[0].metrics, before) == {"deferred_total/safe": 1}


async def test_messages_of_a_previous_process_are_current_and_count_where_they_end(field: Field) -> None:
    client = await field.start()
    assert await client.enqueue("m1") == b"OK"
    await field.host.next_call()
    first = field.relays.pop()
    first.server.stop()
    first.close()
    await field.start()
    metrics = field.relays[0].metrics
    assert read(metrics)["current"] == 1
    (await field.host.next_call()).answer(200)
    await until(lambda: not field.relays[0].held_messages)
    assert read(metrics)["answered_total/safe"] == 1 and read(metrics)["current"] == 0


async def test_draining_endpoints_count_as_listed_and_unhealthy(field: Field) -> None:
    field.endpoints.append(endpoint(field.host, "s-2"))
    await field.start()
    relay = field.relays[0]
    await until(lambda: read(relay.metrics)["cluster_size"] == 2)
    assert read(relay.metrics)["cluster_unhealthy"] == 0
    (await field.platform.next_watch()).line(listing(42, endpoint(field.host, "s-2", "Terminating")))
    await until(lambda: read(relay.metrics)["cluster_unhealthy"] == 1)
    assert read(relay.metrics)["cluster_size"] == 2


def test_endpoints_of_a_destination_in_an_outage_count_as_unhealthy() -> None:
    relay = PacerHarness(endpoint_entry("a"), endpoint_entry("b"), endpoint_entry("c", destination=2))
    assert relay.pacer.endpoint_counts(relay.now) == (3, 0)
    relay.handle(relay.message())
    relay.finish_attempts(io.Status.CONNECT_FAILED, 3)
    assert relay.pacer.endpoint_counts(relay.now + S) == (3, 2)


# Guards against an outage that the metrics do not show to operators.
async def test_destination_whose_calls_fail_is_counted_as_suspect_then_out_then_recovering(
    field: Field,
) -> None:
    client = await field.start()
    metrics = field.relays[0].metrics
    assert await client.enqueue("m1") == b"OK"
    (await field.host.next_call()).answer(500)
    await until(lambda: read(metrics)["destinations_suspect"] == 1)
    (await field.host.next_call()).answer(500)
    await until(lambda: read(metrics)["destinations_out"] == 1)
    assert read(metrics)["destinations_suspect"] == 0
    (await field.host.next_call()).answer(200)
    await until(lambda: read(metrics)["destinations_recovering"] == 1)
    assert read(metrics)["destinations_out"] == 0
