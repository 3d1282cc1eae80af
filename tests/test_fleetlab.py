"""The laboratory for fleets: what its stand-ins do, and one short run from end to end."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import numpy as np
import pytest
import pytest_asyncio

from fleetlab.agent import Agent
from fleetlab.endpoints import Partner, Verdict, allowed_when_cold
from fleetlab.fleet import Destination, Fleet, OutageKind, Plan, list_line
from garnetrelay.discovery import Lines
from starlingwick.settings import parse_settings
from tests.sockets import PATIENCE


def test_the_same_seed_gives_the_same_fleet() -> None:
    plan = Plan(destinations=200, zones=15, regions=5)
    one, other = Fleet(plan), Fleet(plan)
    assert one.lines() == other.lines()
    assert (one.outages, one.changes, one.restarts) == (other.outages, other.changes, other.restarts)
    assert one.lines() != Fleet(plan.model_copy(update={"seed": 2})).lines()


def test_a_fleet_is_as_the_plan_says() -> None:
    fleet = Fleet(Plan(destinations=20_000, drawn=500, endpoints_each=1.4, down=0.05, outage=5, length=100))
    lines = fleet.lines()
    assert 1.35 < len(lines) / 20_000 < 1.45
    assert len({line["name"] for line in lines}) == len({line["address"] for line in lines}) == len(lines)
    assert len(fleet.drawn) == 500
    assert abs(sum(d.share for d in fleet.drawn) - 1) < 1e-9
    down = sum(min(o.length, 100 - o.at) for o in fleet.outages) / (500 * 100)
    assert 0.03 < down < 0.07
    settings = parse_settings(fleet.settings(100.0))
    assert settings.relays == fleet.plan.fleet_relays


@pytest_asyncio.fixture
async def agent() -> AsyncIterator[Agent]:
    made = Agent(Fleet(Plan()).lines(), index=7)
    yield made
    await made.close()


async def line(stream: aiohttp.StreamReader) -> Any:
    """The next line of a watch that holds something."""
    async with asyncio.timeout(PATIENCE):
        while not (text := (await stream.readline()).strip()):
            pass
    return json.loads(text)


async def test_the_agent_tells_the_whole_list_and_each_change(agent: Agent) -> None:
    address = await agent.listen("n0")
    fleet = Fleet(Plan())
    dest = fleet.destinations[0]
    async with aiohttp.ClientSession() as session:
        async with session.get(f"http://{address}/api/targets") as answer:
            whole = await answer.json()
        assert whole == {"index": 7, "snapshot": True, "endpoints": fleet.lines()}
        assert Lines().feed(json.dumps(whole).encode()) == whole
        async with session.get(f"http://{address}/api/targets?follow=1&since=7") as watch:
            change = list_line(dest.endpoints[0], dest, "127.0.0.1:1", "Terminating")
            assert agent.publish([change]) == 8
            assert await line(watch.content) == {"index": 8, "snapshot": False, "endpoints": [change]}
        assert agent.told["n0"].statuses[dest.endpoints[0].name][0] == "Terminating"
        gone = change | {"status": "Gone"}
        agent.publish([gone])
        async with session.get(f"http://{address}/api/targets?follow=1&since=7") as watch:
            assert await line(watch.content) == {"index": 9, "snapshot": False, "endpoints": [gone]}
        async with session.get(f"http://{address}/api/targets?follow=1&since=3") as watch:
            whole = await line(watch.content)
            assert whole["snapshot"] and len(whole["endpoints"]) == len(fleet.lines()) - 1


async def test_the_agent_hears_notices(agent: Agent) -> None:
    heard = []
    agent.on_notice = lambda ref, result, wait: heard.append((ref, result, wait))
    address = await agent.listen("n0")
    good = b'{"ref":"a","result":"dead"}\n{"ref":"b","result":"bounced","wait_ms":500}\n'
    bad = b'{"ref":"c","result":"lost"}\n'
    async with aiohttp.ClientSession() as session:
        async with session.post(f"http://{address}/v1/notices", data=good) as answer:
            assert answer.status == 204
        async with session.post(f"http://{address}/v1/notices", data=bad) as answer:
            assert answer.status == 400
    assert heard == [("a", "dead", 0), ("b", "bounced", 500)]
    assert agent.unreadable == 1


def partner(kind: str, limit: float = 10.0) -> Partner:
    return Partner(Destination(1, kind, limit, limit, 0.2, limit, 1.0, 1.0, []), np.random.default_rng(1))


@pytest.mark.parametrize("kind", ["authority", "trade-partner"])
def test_a_partner_takes_its_limit_and_tells_waits(kind: str) -> None:
    it = partner(kind)
    met = [it.meet("n0", 100 + n / 100) for n in range(1000)]  # ten times what it takes, for 10 s
    served = sum(decision.verdict is Verdict.SERVED for decision in met)
    assert 95 <= served <= 115
    assert all(decision.wait_ms > 0 for decision in met if decision.verdict is Verdict.LIMITED)


def test_a_cold_partner_is_pushed_over_by_those_who_saw_it_down() -> None:
    it = partner("trade-partner")
    it.go_down(OutageKind.SHUT, 110.0)
    assert it.meet("n0", 105.0).verdict is Verdict.SHUT
    it.come_back(110.0)
    most = int(allowed_when_cold(it.capacity(110.0)))
    for n in range(most + 2):
        it.meet("n0", 110 + n / 1000)
    assert it.fallen and it.fell_by_knowing
    it.come_back(120.0)
    assert it.meet("n0", 130.0).verdict is Verdict.SHUT


def test_a_cold_partner_bears_what_it_can_do() -> None:
    it = partner("authority", limit=20.0)
    it.go_down(OutageKind.ERRORS, 110.0)
    it.come_back(110.0)
    now, calls = 110.0, 0
    while now < 124:
        now += 1 / it.capacity(now)
        it.meet("n0", now)
        calls += 1
    assert not it.fallen and calls > 100
    assert it.capacity(125) == 20.0
