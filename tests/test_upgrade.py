"""A second process beside the first: when it takes over, what it knows, and what neither does twice."""

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
    """Two processes of one relay, and the platform's socket that both inherit."""

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
    made = Pair(field)
    yield made
    for process in (made.old, made.new):
        if process.child is not None and process.child.returncode is None:
            await process.end(signal.SIGKILL)
    made.socket.close()


async def test_new_process_takes_over_and_none_is_sent_twice(field: Field, pair: Pair) -> None:
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
    await pair.new.says("serves on")
    late = await pair.connect()
    assert await late.enqueue("new") == b"OK"
    assert await late.enqueue("out") == b"OK"  # the old process has it: taken on already
    assert field.host.calls.empty()  # the one slot is the old process's
    out.answer(200)
    async with asyncio.timeout(PATIENCE):
        assert await pair.old.child.wait() == 0
    calls = [await field.host.next_call()]
    calls[0].answer(200)
    calls.append(await field.host.next_call())
    calls[1].answer(200)
    assert {call.headers["x-request-id"] for call in calls} == {"waits", "new"}
    assert await pair.new.end(signal.SIGTERM) == 0
    assert field.host.calls.empty() and field.platform.notices.empty()
    assert dict(Ownership(field.state, 3_000_000, shared=True).entries) == {}


async def test_new_process_takes_all_when_the_old_one_is_killed(field: Field, pair: Pair) -> None:
    client = await pair.old.start()
    for ref, klass in (("k", "keyed"), ("u", "unsafe")):
        assert await client.enqueue(ref, klass) == b"OK"
        await field.host.next_call()
    await pair.new.start("waiting for the process before us")
    await pair.old.end(signal.SIGKILL)
    call = await field.host.next_call()
    assert call.headers["x-request-id"] == "k"
    call.answer(200)
    assert await field.platform.next_notice() == {"ref": "u", "result": "dead"}
    late = await pair.connect()
    assert await late.enqueue("m") == b"OK"
    (await field.host.next_call()).answer(200)
    assert await pair.new.end(signal.SIGTERM) == 0


async def test_old_process_serves_on_when_the_new_one_dies(field: Field, pair: Pair) -> None:
    client = await pair.old.start()
    await pair.new.start("waiting for the process before us")
    await pair.new.end(signal.SIGKILL)
    assert await client.enqueue("m") == b"OK"
    (await field.host.next_call()).answer(200)
    assert await pair.old.end(signal.SIGTERM) == 0
    assert sorted(path.name for path in field.state.iterdir() if path.stat().st_size) == ["journal"]


async def out_at_the_old_process(field: Field, pair: Pair) -> Call:
    """A call that the old process still has out, while the new one serves."""
    client = await pair.old.start()
    assert await client.enqueue("out") == b"OK"
    out = await field.host.next_call()
    await pair.new.start("waiting for the process before us")
    assert pair.old.child is not None
    pair.old.child.send_signal(signal.SIGTERM)
    await pair.new.says("serves on")
    return out


async def test_wait_told_to_the_old_process_binds_the_new_one(field: Field, pair: Pair) -> None:
    out = await out_at_the_old_process(field, pair)
    assert pair.old.child is not None
    out.answer(429, "X-Backoff-Ms: 1500")
    told = asyncio.get_running_loop().time()
    async with asyncio.timeout(PATIENCE):
        assert await pair.old.child.wait() == 0
    late = await pair.connect()
    assert await late.enqueue("new") == b"OK"
    for _ in range(2):
        (await field.host.next_call()).answer(200)
        assert asyncio.get_running_loop().time() >= told + 1.5


async def test_wait_told_by_half_an_answer_to_the_old_process_binds_the_new_one(
    field: Field, pair: Pair
) -> None:
    """The rest never comes: without the head's own line the wait would be lost with the process."""
    out = await out_at_the_old_process(field, pair)
    out.raw(b"HTTP/1.1 429 No\r\nX-Backoff-Ms: 1500\r\nContent-Length: 9\r\n\r\n")
    told = asyncio.get_running_loop().time()
    await until(lambda: b'"told"' in (field.state / "handover").read_bytes())
    late = await pair.connect()
    assert await late.enqueue("new") == b"OK"
    (await field.host.next_call()).answer(200)
    assert asyncio.get_running_loop().time() >= told + 1.49


async def test_calls_are_given_up_before_their_journal_is_free(field: Field) -> None:
    """With the journal's lock gone, the other process may send at once: no turn of the loop lies between."""
    client = await field.start()
    assert await client.enqueue("out") == b"OK"
    call = await field.host.next_call()
    poll = select.poll()
    poll.register(call.writer.get_extra_info("socket").fileno(), select.POLLIN)
    assert not poll.poll(0)
    field.relays.pop().close()
    assert poll.poll(0)


def test_learned_waits_and_ceilings_go_on_in_another_pacer() -> None:
    old = PacerHarness(endpoint_entry("a"), endpoint_entry("b", destination=2))
    old.serve(5)
    old.handle(*[old.message() for _ in range(6)], after=S)
    old.finish_attempts(io.Status.FULL, 4)
    old.handle(old.message(destination=2))
    old.handle(old.attempt_ended(old.sends()[0].message_id, io.Status.FULL, retry_after=3 * S))
    ceiling = old.pacer.routes[1][0].rate_limit
    assert ceiling is not None
    new = PacerHarness(endpoint_entry("a"), endpoint_entry("b", destination=2), seed=8)
    new.now = old.now
    new.handle(io.PredecessorState(json.loads(json.dumps(old.pacer.handover_state()))))
    assert new.pacer.routes[1][0].rate_limit == ceiling
    new.handle(new.message(destination=2))
    assert not new.sends()
    new.handle(after=2900 * MS)
    assert not new.sends()


def test_overheard_wait_and_calls_elsewhere_hold_back_sends() -> None:
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


def test_no_call_begins_once_the_right_to_send_is_passed_on() -> None:
    old = PacerHarness(endpoint_entry("a"))
    old.handle(old.message())
    [send] = old.sends()
    assert old.pacer.may_send(old.now, send.message_id, "a")
    old.handle(io.ShutdownStarted(old.now, old.now), old.message())
    assert not old.sends() and not old.pacer.may_send(old.now, send.message_id, "a")


def test_what_another_version_learned_is_taken_as_far_as_it_is_known() -> None:
    """An upgrade's two processes may differ in what they keep: no fact more or less ends a turn in an
    error."""
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
    (dest,) = new.pacer.routes[1]
    assert dest.retry_after_until == old.pacer.routes[1][0].retry_after_until
    assert [host.name for host in dest.endpoints] == ["a"] and not dest.calls and not hasattr(dest, "weather")
