"""Tests of an upgrade: a successor starts beside the running process and takes over."""

from __future__ import annotations

import asyncio
import json
import select
import signal
import socket
from collections.abc import AsyncIterator

import pytest_asyncio

from garnetrelay.ownership import Ownership
from starlingwick import interface as io
from tests.helpers import MS, S, PacerHarness, endpoint_entry
from tests.processes import Process, free_port
from tests.sockets import PATIENCE, Call, Client, Field, http, until


class Pair:
    """Two processes of one relay and the listening socket of the platform that both inherit."""

    def __init__(self, field: Field) -> None:
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.port = int(self.socket.getsockname()[1])
        self.old, self.new = Process(field), Process(field)
        for process in (self.old, self.new):
            process.port, process.inherited, process.mgmt = self.port, self.socket.fileno(), free_port()

    async def connect(self) -> Client:
        return await Client.connect(self.port)


@pytest_asyncio.fixture
async def pair(field: Field) -> AsyncIterator[Pair]:
    created = Pair(field)
    yield created
    for process in (created.old, created.new):
        if process.child is not None and process.child.returncode is None:
            await process.stop(signal.SIGKILL)
    created.socket.close()


async def test_new_process_takes_over_and_sends_nothing_twice(field: Field, pair: Pair) -> None:
    field.facts["familyInfo"]["callsOut"] = 1
    client = await pair.old.start()
    assert await client.enqueue("out") == b"OK"
    out = await field.host.next_call()
    assert await client.enqueue("waits") == b"OK"
    await pair.new.start("waiting for the process before us")
    assert pair.new.mgmt is not None and pair.old.mgmt is not None
    assert (await http(pair.new.mgmt, "GET /healthcheck"))[0] == 200
    assert (await http(pair.old.mgmt, "GET /healthcheck"))[0] == 200
    assert pair.old.child is not None
    pair.old.child.send_signal(signal.SIGTERM)
    assert await client.read() is None  # closed between requests
    await pair.new.wait_for_log("serves on")
    late = await pair.connect()
    assert await late.enqueue("new") == b"OK"
    assert await late.enqueue("out") == b"OK"  # the old process holds it: already accepted
    assert field.host.calls.empty()  # the old process uses the only slot
    out.answer(200)
    async with asyncio.timeout(PATIENCE):
        assert await pair.old.child.wait() == 0
    calls = [await field.host.next_call()]
    calls[0].answer(200)
    calls.append(await field.host.next_call())
    calls[1].answer(200)
    assert {call.headers["x-request-id"] for call in calls} == {"waits", "new"}
    assert await pair.new.stop(signal.SIGTERM) == 0
    assert field.host.calls.empty() and field.platform.notices.empty()
    assert dict(Ownership(field.state, 3_000_000, shared=True).entries) == {}


async def test_new_process_takes_over_all_messages_when_the_old_one_is_killed(
    field: Field, pair: Pair
) -> None:
    client = await pair.old.start()
    for ref, class_name in (("k", "keyed"), ("u", "unsafe")):
        assert await client.enqueue(ref, class_name) == b"OK"
        await field.host.next_call()
    await pair.new.start("waiting for the process before us")
    await pair.old.stop(signal.SIGKILL)
    call = await field.host.next_call()
    assert call.headers["x-request-id"] == "k"
    call.answer(200)
    assert await field.platform.next_notice() == {"ref": "u", "result": "dead"}
    late = await pair.connect()
    assert await late.enqueue("m") == b"OK"
    (await field.host.next_call()).answer(200)
    assert await pair.new.stop(signal.SIGTERM) == 0


async def test_old_process_keeps_serving_when_the_new_one_dies(field: Field, pair: Pair) -> None:
    client = await pair.old.start()
    await pair.new.start("waiting for the process before us")
    await pair.new.stop(signal.SIGKILL)
    assert await client.enqueue("m") == b"OK"
    (await field.host.next_call()).answer(200)
    assert await pair.old.stop(signal.SIGTERM) == 0
    assert sorted(path.name for path in field.state.iterdir() if path.stat().st_size) == ["journal"]


async def start_call_at_the_old_process(field: Field, pair: Pair) -> Call:
    """Return a call that the old process still has in flight while the new one serves."""
    client = await pair.old.start()
    assert await client.enqueue("out") == b"OK"
    out = await field.host.next_call()
    await pair.new.start("waiting for the process before us")
    assert pair.old.child is not None
    pair.old.child.send_signal(signal.SIGTERM)
    await pair.new.wait_for_log("serves on")
    return out


async def test_retry_after_received_by_the_old_process_applies_to_the_new_one(
    field: Field, pair: Pair
) -> None:
    out = await start_call_at_the_old_process(field, pair)
    assert pair.old.child is not None
    out.answer(429, "X-Backoff-Ms: 1500")
    throttled_at = asyncio.get_running_loop().time()
    async with asyncio.timeout(PATIENCE):
        assert await pair.old.child.wait() == 0
    late = await pair.connect()
    assert await late.enqueue("new") == b"OK"
    for _ in range(2):
        (await field.host.next_call()).answer(200)
        assert asyncio.get_running_loop().time() >= throttled_at + 1.5


async def test_retry_after_of_an_incomplete_answer_to_the_old_process_applies_to_the_new_one(
    field: Field, pair: Pair
) -> None:
    """The rest never arrives: without a line for the head the process would lose the wait."""
    out = await start_call_at_the_old_process(field, pair)
    out.send_raw(b"HTTP/1.1 429 No\r\nX-Backoff-Ms: 1500\r\nContent-Length: 9\r\n\r\n")
    throttled_at = asyncio.get_running_loop().time()
    await until(lambda: b'"told"' in (field.state / "handover").read_bytes())
    late = await pair.connect()
    assert await late.enqueue("new") == b"OK"
    (await field.host.next_call()).answer(200)
    assert asyncio.get_running_loop().time() >= throttled_at + 1.49


async def test_calls_are_aborted_before_their_journal_is_released(field: Field) -> None:
    """Once the journal lock is released, the other process may send at once, before the event loop runs."""
    client = await field.start()
    assert await client.enqueue("out") == b"OK"
    call = await field.host.next_call()
    poll = select.poll()
    poll.register(call.writer.get_extra_info("socket").fileno(), select.POLLIN)
    assert not poll.poll(0)
    field.relays.pop().close()
    assert poll.poll(0)


def test_retry_after_and_rate_limit_continue_in_another_pacer() -> None:
    old = PacerHarness(endpoint_entry("a"), endpoint_entry("b", destination=2))
    old.serve(5)
    old.handle(*[old.message() for _ in range(6)], after=S)
    old.finish_attempts(io.Status.FULL, 4)
    old.handle(old.message(destination=2))
    old.handle(old.attempt_ended(old.sends()[0].message_id, io.Status.FULL, retry_after=3 * S))
    rate_limit = old.pacer.routes[1][0].rate_limit
    assert rate_limit is not None
    new = PacerHarness(endpoint_entry("a"), endpoint_entry("b", destination=2), seed=8)
    new.now = old.now
    new.handle(io.PredecessorState(json.loads(json.dumps(old.pacer.handover_state()))))
    assert new.pacer.routes[1][0].rate_limit == rate_limit
    new.handle(new.message(destination=2))
    assert not new.sends()
    new.handle(after=2900 * MS)
    assert not new.sends()


def test_retry_after_and_calls_of_the_predecessor_delay_sends() -> None:
    new = PacerHarness(endpoint_entry("a"), max_calls=2)
    new.handle(io.PredecessorCalls(2))
    new.handle(new.message())
    assert not new.sends()
    new.handle(
        io.PredecessorCalls(0), io.PredecessorCallEnded("a", io.Status.FULL, new.now - S, S, 2 * S, False)
    )
    assert not new.sends()
    new.handle(after=1900 * MS)
    assert not new.sends()
    new.handle(after=3 * S)
    assert len(new.sends()) == 1


def test_no_call_starts_after_the_right_to_send_is_handed_over() -> None:
    old = PacerHarness(endpoint_entry("a"))
    old.handle(old.message())
    [send] = old.sends()
    assert old.pacer.may_send(old.now, send.message_id, "a")
    old.handle(io.ShutdownStarted(old.now, old.now), old.message())
    assert not old.sends() and not old.pacer.may_send(old.now, send.message_id, "a")


def test_hand_over_of_another_version_is_used_as_far_as_it_is_understood() -> None:
    """The processes of an upgrade may keep different facts: no unknown or missing fact causes an error in a
    planning pass."""
    old, new = PacerHarness(endpoint_entry("a")), PacerHarness(endpoint_entry("a"))
    old.handle(old.message())
    old.handle(old.attempt_ended("m1", io.Status.FULL, retry_after=5 * S))
    facts = json.loads(json.dumps(old.pacer.handover_state()))
    facts["dests"]["a"] |= {"weather": 3, "hosts": ["b"], "calls": [1]}
    del facts["dests"]["a"]["mean"]
    facts["hosts"]["a"].append("later")
    new.handle(io.PredecessorState(facts))
    facts["hosts"]["a"] = facts["hosts"]["a"][:2]
    new.handle(io.PredecessorState(facts))
    (destination,) = new.pacer.routes[1]
    assert destination.retry_after_until == old.pacer.routes[1][0].retry_after_until
    assert (
        [endpoint.name for endpoint in destination.endpoints] == ["a"]
        and not destination.calls
        and not hasattr(destination, "weather")
    )
