"""Every name that leaves the process, compared with literals: records, hand-over, wire, metrics, flags.

A rename inside the program must not change any of them: other processes, other versions, operators' tools and
kept files know the program by these names. The literals stay; only the calls of the program follow a rename.
"""

from __future__ import annotations

import inspect
import io as streams
import json
import logging
import re
import socket
import struct
import sys
import zlib
from collections.abc import Iterable
from dataclasses import astuple
from pathlib import Path
from typing import Any

import pytest

import fleetlab.faulty
import fleetlab.slopes
import garnetrelay.relay
from fleetlab.capacity import fill as capacity_command
from fleetlab.cli import SUBCOMMANDS, run, with_plan_options
from fleetlab.cli import main as laboratory_command
from fleetlab.endpoints import Verdict
from fleetlab.faulty import Faults
from fleetlab.fit import Fit
from fleetlab.fleet import Fleet, Plan, list_line
from fleetlab.hollow import Counts as HollowCounts
from fleetlab.hollow import Spec
from fleetlab.ledger import Ledger, Rule, Timed
from fleetlab.slopes import MEASUREMENTS, slopes
from fleetlab.soak import soak
from garnetrelay.catalog import Catalog
from garnetrelay.clock import boot_id
from garnetrelay.config import Address, load
from garnetrelay.connection_pool import call_request, parse_report, probe_request
from garnetrelay.discovery import EntryParser
from garnetrelay.endpoint_cache import EndpointCache
from garnetrelay.handover import Handover
from garnetrelay.health import Health
from garnetrelay.health_store import HealthStore
from garnetrelay.journal import JournalEntry, Journal
from garnetrelay.management import build_routes
from garnetrelay.metrics import Metrics
from garnetrelay.notices import Notices
from garnetrelay.ownership import Ownership
from starlingwick import interface as io
from starlingwick import wirehost
from starlingwick.control import Pacer
from starlingwick.health_record import to_record
from starlingwick.settings import parse_settings
from tests.helpers import MS, PacerHarness, S, endpoint_entry
from tests.sockets import Field, endpoint, until

ROOT = Path(__file__).resolve().parent.parent
FILE_HEAD = struct.Struct(">2sII")
LIST_HEAD = struct.Struct("<cII")
ENDPOINT_HEAD = struct.Struct("<HHBdqHHH")

# ---- the journal

MESSAGE_RECORD = {
    "t": "taken",
    "ref": "m1",
    "klass": "filing",
    "dest": 7,
    "key": "k1",
    "deadline": 5_000_000_000_000,
    "attempts": 2,
    "trying_at": 4_000_000_000_000,
    "trying_zone": "north",
    "ran_at": 3_000_000_000_000,
    "ran_zone": "south",
    "ended": None,
    "wait_ms": 0,
    "uncertain": True,
}
NOTICE_RECORD = {
    **MESSAGE_RECORD,
    "ref": "m2",
    "key": None,
    "trying_at": None,
    "ended": "bounced",
    "wait_ms": 9,
    "uncertain": False,
}
REWRITTEN_FROM = 256 * 1024  # bytes: a file of dead records that is larger is written anew


def journal_record(record: dict[str, Any], body: bytes = b"") -> bytes:
    payload = json.dumps(record, separators=(",", ":")).encode() + b"\n" + body
    return FILE_HEAD.pack(b"\xa7R", len(payload), zlib.crc32(payload)) + payload


def journal_records(path: Path) -> list[tuple[dict[str, Any], bytes]]:
    data, records = path.read_bytes(), []
    while data:
        mark, length, checksum = FILE_HEAD.unpack_from(data)
        payload, data = data[FILE_HEAD.size : FILE_HEAD.size + length], data[FILE_HEAD.size + length :]
        assert mark == b"\xa7R" and checksum == zlib.crc32(payload)
        head, _, body = payload.partition(b"\n")
        records.append((json.loads(head), body))
    return records


# Guards against records that another version of the program cannot read.
def test_journal_writes_its_records_under_their_names(tmp_path: Path) -> None:
    journal = Journal(tmp_path, 3_000_000)
    assert journal.accept(JournalEntry("m1", "filing", 7, "k1", 5_000_000, b"body"))
    assert journal.record_attempt_start("m1", "north", 4_000_000)
    journal.record_outcome("m1", True)
    assert journal.record_finish("m1", "bounced", 9)
    journal.record_notified("m1")
    journal.close()
    (clock, _), (taken, body), *rest = journal_records(tmp_path / "journal")
    assert list(clock) == ["t", "ref", "boot", "offset", "at"]
    assert (clock["t"], clock["ref"], clock["boot"]) == ("clock", "", boot_id())
    assert list(taken) == list(MESSAGE_RECORD) and body == b"body"
    fresh = {"attempts": 0, "trying_at": None, "trying_zone": "", "ran_at": None, "ran_zone": ""}
    offset = clock["offset"]
    assert taken == {
        **MESSAGE_RECORD,
        **fresh,
        "deadline": 5_000_000 + offset,
        "uncertain": False,
    }
    assert [json.dumps(record) for record, _ in rest] == [
        json.dumps({"t": "try", "ref": "m1", "at": 4_000_000 + offset, "zone": "north"}),
        json.dumps({"t": "outcome", "ref": "m1", "ran": True}),
        json.dumps({"t": "ended", "ref": "m1", "result": "bounced", "wait": 9}),
        json.dumps({"t": "told", "ref": "m1"}),
    ]


# Guards against an upgrade that loses what an earlier version took on.
def test_journal_reads_literal_records_and_writes_them_anew_unchanged(tmp_path: Path) -> None:
    clock = {"t": "clock", "ref": "", "boot": boot_id(), "offset": 1000, "at": 0}
    (tmp_path / "journal").write_bytes(
        journal_record(clock)
        + journal_record(MESSAGE_RECORD, b"body")
        + journal_record(NOTICE_RECORD)
        + journal_record({**MESSAGE_RECORD, "ref": "m3", "attempts": 0, "trying_at": None, "ran_at": None})
        + journal_record({"t": "try", "ref": "m3", "at": 4_100_000_000_000, "zone": "east"})
        + journal_record({"t": "outcome", "ref": "m3", "ran": True})
        + journal_record({**MESSAGE_RECORD, "ref": "m4"})
        + journal_record({"t": "ended", "ref": "m4", "result": "dead", "wait": 3})
        + journal_record({**NOTICE_RECORD, "ref": "m5"})
        + journal_record({"t": "told", "ref": "m5"})
    )
    journal = Journal(tmp_path, 3_000_000)
    for number in range(REWRITTEN_FROM // 65_000 + 2):
        assert journal.accept(JournalEntry(f"x{number}", "filing", 7, None, 5_000_000, b"x" * 65_000))
        journal.record_finish(f"x{number}", None)
    assert journal.accept(JournalEntry("last", "filing", 7, None, 5_000_000, b""))
    journal.close()
    assert (tmp_path / "journal").stat().st_size < REWRITTEN_FROM
    records = journal_records(tmp_path / "journal")
    assert list(records[0][0]) == ["t", "ref", "boot", "offset", "at"] and records[0][0]["offset"] == 1000
    kept = {record["ref"]: (record, body) for record, body in records[1:]}
    assert {"m1", "m2", "m3", "m4", "last"} <= kept.keys() and "m5" not in kept
    assert list(kept["m1"][0].items()) == list(MESSAGE_RECORD.items()) and kept["m1"][1] == b"body"
    assert list(kept["m2"][0].items()) == list(NOTICE_RECORD.items())
    tried = {"attempts": 1, "trying_at": None, "trying_zone": "east", "ran_at": 4_100_000_000_000}
    assert kept["m3"][0] == {**MESSAGE_RECORD, "ref": "m3", **tried, "ran_zone": "east"}
    assert kept["m4"][0] == {**MESSAGE_RECORD, "ref": "m4", "ended": "dead", "wait_ms": 3}


# Guards against two versions that look for each other's files under different names.
def test_files_of_the_folder_keep_their_names(tmp_path: Path) -> None:
    first, second = Ownership(tmp_path, 3_000_000, True), Ownership(tmp_path, 3_000_000, True)
    handover = Handover(tmp_path, 1000)
    assert handover.acquire()
    handover.append_line({"told": "a", "wait": 1})
    assert sorted(path.name for path in tmp_path.iterdir()) == [
        "handover.new",
        "journal",
        "journal.1",
        "sender",
    ]
    handover.release({"learned": {}, "out": 0})
    assert (tmp_path / "handover").read_text() == '{"told":"a","wait":1}\n{"learned":{},"out":0}\n'
    handover.close()
    first.close()
    second.close()


# ---- the hand-over

LEARNED_OF_DESTINATION: dict[str, Any] = {
    "listed": 41.0,
    "reported": True,
    "ceiling": 17.5,
    "ceiling_at": 1_000_000_000_101,
    "cut_at": 1_000_000_000_102,
    "cut_from": 23.5,
    "next_call": 1_000_000_000_103,
    "mean": 104.0,
    "wait_until": 1_000_000_000_105,
    "rest": 106.0,
    "rest_until": 1_000_000_000_107,
    "pause_at": 1_000_000_000_108,
    "refused_from": 1_000_000_000_109,
    "bad": 0.375,
    "bad_from": 1_000_000_000_110,
    "bad_at": 1_000_000_000_111,
    "failed_at": 1_000_000_000_112,
    "out": True,
    "ramp_from": 1_000_000_000_113,
    "unproved": True,
    "warm_at": 1_000_000_000_114,
    "served_before": 11.5,
    "next_at": 1_000_000_000_115,
    "refusals": [999_999_999_995],
    "sent": [999_999_999_996],
    "arrived": [999_999_999_997],
    "served": [999_999_999_998],
    "failures": [999_999_999_999],
}
LEARNED_OF_HOST = [999_999_999_001, 1002, 999_999_999_003, 0.4375, 1_000_000_000_004]
LEARNED = {
    "started": 900_000_000_000,
    "dests": {"a": LEARNED_OF_DESTINATION},
    "hosts": {"a": LEARNED_OF_HOST},
}


# Guards against an upgrade after which a told wait, a rate limit or slow start is forgotten.
def test_handed_over_state_keeps_its_names_in_both_directions() -> None:
    relay = PacerHarness(endpoint_entry("a", rate=3.0))
    fresh = relay.pacer.handover_state()
    assert list(fresh) == ["started", "dests", "hosts"]
    assert list(fresh["dests"]["a"]) == list(LEARNED_OF_DESTINATION)
    assert len(fresh["hosts"]["a"]) == len(LEARNED_OF_HOST)
    relay.handle(io.PredecessorState(json.loads(json.dumps(LEARNED))))
    assert json.dumps(relay.pacer.handover_state()) == json.dumps(LEARNED)


# Guards against a host's or destination's fact that goes over under another's name.
def test_handed_over_state_holds_what_the_pacer_decided() -> None:
    relay = PacerHarness(endpoint_entry("a"), kinds=(io.DestinationKind(False, 1),))
    relay.serve(2)
    relay.handle(relay.message(), after=S)
    (send,) = relay.sends()
    relay.handle(relay.attempt_ended(send.message_id, io.Status.FULL, retry_after=2 * S), after=100 * MS)
    known = relay.pacer.handover_state()
    facts, host = known["dests"]["a"], known["hosts"]["a"]
    assert facts["wait_until"] >= relay.now + 2 * S
    assert facts["sent"][-1] == relay.now - 100 * MS and facts["refusals"] == [relay.now]
    assert len(facts["served"]) == 2 and len(facts["arrived"]) == 3 and facts["failures"] == []
    assert host[0] == relay.now - 100 * MS and host[1] == host[0] - facts["sent"][-2]
    assert host[2] == facts["sent"][1] and host[3] == 0.0


# Guards against a successor that cannot read how its predecessor's calls ended.
async def test_relay_writes_and_reads_the_lines_of_the_hand_over(
    field: Field, monkeypatch: pytest.MonkeyPatch
) -> None:
    environment = field.environment()
    monkeypatch.setattr(
        field, "config", lambda: load({**environment, "RELAY_INHERITED_FD": str(listening())})
    )
    client = await field.start()
    relay = field.relays[0]
    assert await client.enqueue("m1") == b"OK"
    call = await field.host.next_call()
    successor = Ownership(field.state, 3_000_000, True)  # holds a journal: another process that waits
    relay.shutdown()
    (first,) = lines_of(field.state / "handover")
    assert list(first) == ["learned", "out"] and first["out"] == 1
    assert list(first["learned"]) == ["started", "dests", "hosts"]
    call.answer(429, "X-Backoff-Ms: 1500")
    await until(lambda: len(lines_of(field.state / "handover")) == 3)
    _, told, ended = lines_of(field.state / "handover")
    assert told == {"told": "s-1", "wait": 1500 * MS}
    assert list(ended) == ["host", "status", "sent_at", "wait", "cost", "stale"]
    assert (ended["host"], ended["status"], ended["wait"]) == ("s-1", 30, 1500 * MS)
    assert ended["stale"] is False and ended["sent_at"] > 0 < ended["cost"]
    successor.close()


def listening() -> int:
    """The descriptor of a listening socket that the relay takes over."""
    return socket.create_server(("127.0.0.1", 0)).detach()


def lines_of(path: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []


# ---- health records

HEALTH_RECORD = [7, "a", 0.375, True, 11, 12, 13, 14, 15, True, 2.5]


def checked(values: list[Any]) -> bytes:
    payload = json.dumps(values, separators=(",", ":")).encode()
    return b"%08x %s\n" % (zlib.crc32(payload), payload)


# Guards against health that the next life, of this version or another, takes for something else.
def test_health_records_keep_their_order_and_form(tmp_path: Path) -> None:
    relay = PacerHarness(endpoint_entry("a", destination=7))
    names = (
        "bad",
        "out",
        "bad_from",
        "bad_at",
        "failed_at",
        "ramp_from",
        "warm_at",
        "unproved",
        "served_before",
    )
    facts = LEARNED_OF_DESTINATION | dict(zip(names, HEALTH_RECORD[2:], strict=True))
    relay.handle(io.PredecessorState({"started": 1, "dests": {"a": facts}, "hosts": {}}))
    record = to_record(relay.pacer.routes[7][0])
    assert list(astuple(record)) == HEALTH_RECORD
    store = HealthStore(tmp_path, 4096)
    store.store([record])
    store.close()
    expected = checked([1, boot_id()]) + checked(HEALTH_RECORD)
    assert (tmp_path / "health").read_bytes() == expected
    assert [list(astuple(found)) for found in HealthStore(tmp_path, 4096).load(1000)] == [HEALTH_RECORD]
    restored = PacerHarness(endpoint_entry("a", destination=7))
    restored.handle(io.HealthRestored((record,)))
    kept = restored.pacer.handover_state()["dests"]["a"]
    assert [kept[name] for name in names] == HEALTH_RECORD[2:]


# ---- the kept list


# Guards against a kept list that another version misreads.
async def test_kept_list_keeps_its_form(tmp_path: Path) -> None:
    catalog = Catalog()
    reader = EntryParser(load(environment_of(tmp_path)), catalog.stage)
    news = reader.read_known(load(environment_of(tmp_path)))
    assert news is not None
    catalog.commit(news.staged, news.index, True)
    kept = EndpointCache(tmp_path, 100_000, ["north", "south"], ["plain", "bulk"])
    kept.store(catalog, set(), True)
    await until((tmp_path / "list").exists)
    kept.close()
    assert {"list", "list.lock"} <= {path.name for path in tmp_path.iterdir()}
    packed = ENDPOINT_HEAD.pack(1, 1, 1, 50.5, 1_700_000_000_123, 8080, 3, 9) + b"s-1" + b"127.0.0.1"
    header = json.dumps({"format": 1, "zones": ["north", "south"], "kinds": ["plain", "bulk"]}).encode()
    version, one = struct.pack("<q", 41), struct.pack("<q", 1)
    expected = (
        (b"H", header),
        (b"P", version + struct.pack("<qI", 3, len(packed)) + packed),
        (b"W", version + one),
    )
    assert (tmp_path / "list").read_bytes() == b"".join(
        LIST_HEAD.pack(sort, len(payload), zlib.crc32(payload, zlib.crc32(sort))) + payload
        for sort, payload in expected
    )


# ---- settings and environment

CLASS = {
    "name": "filing",
    "aim": 2,
    "deadline": 3,
    "worth": 4.5,
    "lateWorth": 0.25,
    "idempotency": "dedup",
    "keyScope": "zone",
    "repeatWindow": 5,
    "inTurn": True,
}
FACTS: dict[str, Any] = {
    "azs": ["north", "south"],
    "kinds": ["plain", "bulk"],
    "balancers": 6,
    "tick": 7,
    "zone": 1,
    "discovery": "subscribe",
    "weightSource": "list",
    "classes": [CLASS],
    "tenants": [{"quotaPerS": 8.5}],
    "overShareWorth": 0.125,
    "prices": {"probe": 9.5},
    "loadReport": {"via": "inline"},
    "familyInfo": {
        "callsOut": 10,
        "decay": "by_half",
        "feeByZone": [11.5],
        "kindApart": [True, False],
        "perCall": [12, 13],
        "refusedPrice": 14.5,
    },
    "rules": {
        "answerSlack": 15,
        "askEvery": 16,
        "drainGrace": 17,
        "fall": 18,
        "fallMultiple": 19.5,
        "rampTime": 20,
        "startCapacity": 0.75,
        "turnGap": 21,
    },
    "limits": {
        "cancel": True,
        "probes": True,
        "peers": False,
        "secondCopies": True,
        "retryAfter": True,
        "mostHeld": 22,
        "mostTries": 23,
        "maxRetryAfter": 24,
        "connectTimeout": 25,
        "connIdle": 26,
    },
}
SETTINGS = (
    *(6, 10, 7, 1, io.DiscoveryMode("subscribe"), True, io.ValueDecay("by_half")),
    ((2, 3, 4.5, 0.25, io.Idempotency("dedup"), io.KeyScope("zone"), 5, True),),
    ((True, 12), (False, 13)),
    *((8.5,), 0.125, (11.5,), 14.5, {"probe": 9.5}),
    (15, 16, 17, 18, 19.5, 20, 0.75, 21),
    (True, True, False, True, True, 22, 23, 24, 25, 26),
)


def environment_of(folder: Path) -> dict[str, str]:
    line = {
        "name": "s-1",
        "address": "127.0.0.1:8080",
        "zone": "south",
        "type": "bulk",
        "group": 3,
        "status": "Terminating",
        "weight": 50.5,
        "since_ms": 1_700_000_000_123,
    }
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "mgmt": "127.0.0.1:3",
        "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 4},
        "list": {"keep": True, "disk_mb": 1},
        "known": {"index": 41, "snapshot": True, "endpoints": [line]},
        "settings": FACTS,
    }
    path = folder / "config.json"
    path.write_text(json.dumps(raw))
    return {"RELAY_CONFIG": str(path), "RELAY_STATE": str(folder)}


# Guards against a key of the settings that is no longer heeded.
def test_settings_are_read_by_their_keys(tmp_path: Path) -> None:
    assert astuple(parse_settings(FACTS)) == SETTINGS
    environment = environment_of(tmp_path)
    one_message_a_call = ((True, 1), (False, 1))
    settings = (*SETTINGS[:8], one_message_a_call, *SETTINGS[9:])
    config = load(environment)
    seed = config.seed
    plain: tuple[Any, ...] = (
        *("n0", ("127.0.0.1", 1), ("127.0.0.1", 2), ("127.0.0.1", 3), tmp_path, seed, None),
        *(256, 3_000_000, 64_000_000, ("filing",), ("north", "south"), ("plain", "bulk"), True),
        *(environment["RELAY_CONFIG"], 1_000_000, settings),
    )
    assert astuple(config) == plain
    over = {
        "RELAY_NAME": "n9",
        "RELAY_LISTEN": "127.0.0.1:11",
        "RELAY_DISCOVERY": "127.0.0.1:12",
        "RELAY_MGMT": "127.0.0.1:13",
        "RELAY_INHERITED_FD": "14",
    }
    assert astuple(load({**environment, **over})) == (
        *("n9", ("127.0.0.1", 11), ("127.0.0.1", 12), ("127.0.0.1", 13), tmp_path, seed, 14),
        *plain[7:],
    )


# Guards against values on the wire that an enumeration no longer knows.
def test_values_of_settings_and_wire_stay() -> None:
    assert [value.value for value in io.Idempotency] == ["retryable", "dedup", "fragile"]
    assert [value.value for value in io.KeyScope] == ["all", "zone", "cell"]
    assert [value.value for value in io.ValueDecay] == ["even", "by_half"]
    assert [value.value for value in io.DiscoveryMode] == ["automatic", "subscribe"]
    assert [value.value for value in io.Availability] == ["Running", "Stopping", "Deleted"]
    assert [value.value for value in io.UpdateScope] == ["D", "F", "C", "X"]
    assert {value.name.lower(): value.value for value in io.Status} == {
        "ok": 10,
        "error": 20,
        "full": 30,
        "timeout": 40,
        "connect_failed": 50,
        "reset": 60,
        "cancelled": 70,
        "moot": 80,
        "abandoned": 90,
    }
    assert [value.value for value in io.HealthState] == ["well", "suspect", "out", "recovering"]


# ---- the adapter

TRANSCRIPT = (
    "sync atTime=1000\neob\n"
    "sync atTime=2000\ninstance relay=3\nup rngSeed=5 facts="
    + json.dumps(FACTS | {"classes": [CLASS | {"aim": 2 * S, "deadline": 20 * S}]})
    + "\n"
    "catalog buffer=0 entries=2\n"
    "m host=10.0.0.1:80 belongsTo=57 availability=Running heft=1 locality=1 classOfHost=1\n"
    "m host=10.0.0.2:80 belongsTo=58 availability=Stopping heft=2\n"
    "roster_change seqNo=1 buffer=0 scope=C\n"
    "new_request call=r-a project=0 priority=0 dest=57 subject=k1 patienceLeft=20000000000\neob\n"
    "sync atTime=90002000\ninstance relay=3\n"
    "verdict call=r-a roundNo=0 host=10.0.0.1:80 status=10 costTime=9000 finished=1 metrics=x0:0.4,x1:2\n"
    "probed host=10.0.0.1:80 status=10 costTime=9000 metrics=-\n"
    "withdrawn call=r-b\nalarm ctx=1\nstarted a=1\nmail a=1\n"
    "roster_change scope=X\neob\n"
    "sync atTime=90003000\ninstance relay=3\nhalt\neob\n"
)


def events_of(text: str, monkeypatch: pytest.MonkeyPatch) -> list[Any]:
    """All that the instances' pacers are told."""
    seen: list[Any] = []
    handle = Pacer.handle

    def noting(pacer: Pacer, now: int, events: Iterable[io.Event]) -> list[io.Action]:
        seen.extend((now, type(event), astuple(event)) for event in events)
        return handle(pacer, now, events)

    monkeypatch.setattr(Pacer, "handle", noting)
    sink = streams.StringIO()
    assert wirehost.WireHost(streams.StringIO(text), sink).run() == 0
    assert sink.getvalue().count("done\n") == 4
    return seen


# Guards against an adapter that no longer takes the simulator's words.
def test_adapter_reads_the_events_of_the_wire(monkeypatch: pytest.MonkeyPatch) -> None:
    seen = events_of(TRANSCRIPT, monkeypatch)
    running, stopping = io.Availability("Running"), io.Availability("Stopping")
    entries = (
        ("10.0.0.1:80", 1, 1, 57, running, 1.0),
        ("10.0.0.2:80", 0, 0, 58, stopping, 2.0),
    )
    ok = io.Status(10)
    assert seen == [
        (2000, io.EndpointUpdate, (io.UpdateScope("C"), entries)),
        (2000, io.MessageArrived, ("r-a", 0, 0, 57, "k1", 20 * S, True)),
        (90_002_000, io.AttemptEnded, ("r-a", 0, "10.0.0.1:80", ok, 9000, True, 0, False, (0.4, 2.0), False)),
        (90_002_000, io.ProbeEnded, ("10.0.0.1:80", ok, 9000, None)),
        (90_002_000, io.MessageWithdrawn, ("r-b",)),
        (90_002_000, io.TimerExpired, (1,)),
        (90_002_000, io.EndpointUpdate, (io.UpdateScope("X"), ())),
    ]


# Guards against answers that the simulator does not know.
def test_adapter_writes_the_actions_of_the_wire() -> None:
    written = [
        wirehost.format_action(action)
        for action in (
            io.Send("m1", "a", 2),
            io.Reject("m1", 3),
            io.Reject("m1", 0),
            io.Fail("m1"),
            io.Cancel("m1", 4),
            io.Probe("a", 5),
            io.CloseIdleConnections("a"),
            io.SetTimer(6, 7),
            io.Subscribe(),
            io.Log("a  b"),
        )
    ]
    assert written == [
        "pass_on call=m1 host=a stopAt=2",
        "reject call=m1 holdOff=3",
        "reject call=m1",
        "finish_error call=m1",
        "stop_attempt call=m1 roundNo=4",
        "health_check host=a",
        "close host=a",
        "defer wait=6 ctx=7",
        "keep_informed on=1",
        "emit message=a b",
    ]
    sink = streams.StringIO()
    sent = "sync atTime=1\ninstance relay=4\nup rngSeed=5 facts=" + json.dumps(FACTS) + "\neob\n"
    assert wirehost.WireHost(streams.StringIO(sent), sink).run() == 0
    assert sink.getvalue().splitlines()[0] == "at relay=4" and sink.getvalue().endswith("done\n")


# ---- operators: figures, log lines, calls

METRICS_PAGE = """\
# HELP relay_answered_total Messages delivered.
# TYPE relay_answered_total counter
relay_answered_total{group="filing"} 0
# HELP relay_deferred_total Messages refused or handed back.
# TYPE relay_deferred_total counter
relay_deferred_total{group="filing"} 0
# HELP relay_errored_total Messages failed.
# TYPE relay_errored_total counter
relay_errored_total{group="filing"} 0
# HELP relay_sends_total Messages written whole to endpoints.
# TYPE relay_sends_total counter
relay_sends_total 0
# HELP relay_current Messages taken on that have not ended.
# TYPE relay_current gauge
relay_current 0
# HELP relay_cluster_size Endpoints in the list.
# TYPE relay_cluster_size gauge
relay_cluster_size 0
# HELP relay_cluster_unhealthy Listed endpoints that are avoided now.
# TYPE relay_cluster_unhealthy gauge
relay_cluster_unhealthy 0
# HELP relay_destinations_suspect Destinations of which the latest call failed.
# TYPE relay_destinations_suspect gauge
relay_destinations_suspect 0
# HELP relay_destinations_out Destinations where most calls fail.
# TYPE relay_destinations_out gauge
relay_destinations_out 0
# HELP relay_destinations_recovering Destinations in slow start.
# TYPE relay_destinations_recovering gauge
relay_destinations_recovering 0
# HELP relay_journal_failing Whether records cannot be written to the lasting folder now.
# TYPE relay_journal_failing gauge
relay_journal_failing 0
"""


# Guards against a scraper that finds its figures gone.
def test_metrics_page_keeps_its_names() -> None:
    assert Metrics(["filing"]).render() == METRICS_PAGE


# Guards against log lines that the operators' searches no longer find.
async def test_load_and_backlog_lines_keep_their_words(
    field: Field, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    monkeypatch.setattr(garnetrelay.relay, "REPORT_INTERVAL", 0.3)
    field.facts["familyInfo"]["callsOut"] = 1
    client = await field.start()
    assert await client.enqueue("m1") == b"OK"
    (await field.host.next_call()).answer(429, "X-Backoff-Ms: 5000")
    assert await client.enqueue("m2") == b"OK"
    await until(lambda: any("full=1" in line for line in caplog.messages))
    await until(lambda: any(line.startswith("backlog: ") for line in caplog.messages))
    load_line = next(line for line in caplog.messages if "full=1" in line)
    assert re.fullmatch(
        r"load: held=\d+ out=\d+/1 untold=\d+ clients=\d+ silent=\d+ connections=\d+ idle=\d+ full=1",
        load_line,
    )
    number = r"-?\d+\.\d+"
    backlog = next(line for line in caplog.messages if line.startswith("backlog: "))
    assert re.fullmatch(
        rf"backlog: dest=3 waiting=\d+ out=\d+ most=\d+ ceiling={number}/s part={number}/s listed={number}/s"
        rf" mean={number}s bad={number} pause={number}s cold=(True|False)",
        backlog,
    )


# Guards against a change of health that the operators' searches no longer find.
def test_lines_of_health_and_rate_keep_their_words() -> None:
    said = [
        *lines_said(*[io.Status.ERROR] * 3, *[io.Status.OK] * 5, *[io.Status.ERROR] * 2),
        *lines_said(*[io.Status.FULL] * 4),
    ]
    health = r"part=\d+\.\d{3}/s budget=\d+\.\d{3}/s sent=\d+\.\d\d/s"
    forms = {
        r"cut dest=1 ceiling=\d+\.\d{3}/s",
        rf"suspect dest=1 host=a was=well reason=error {health}",
        rf"outage dest=1 host=a was=suspect reason=error {health}",
        rf"back dest=1 host=a was=out reason=\w+ {health}",
        r"slow start anew dest=1 host=a",
    }
    found = {form for form in forms for line in said if re.fullmatch(form, line)}
    assert found == forms, said


def lines_said(*outcomes: io.Status) -> list[str]:
    """The log lines of a pacer whose calls end so, one after the other."""
    relay = PacerHarness(endpoint_entry("a", rate=20.0), uses_listed_rates=True)
    said: list[str] = []

    def note() -> None:
        said.extend(action.text for action in relay.actions_of(io.Log))

    for outcome in outcomes:
        relay.handle(relay.message(), after=200 * MS)
        note()
        sends = relay.sends()
        for _ in range(400):
            if sends:
                break
            relay.handle(after=100 * MS)
            note()
            sends = relay.sends()
        for send in sends:
            relay.handle(relay.attempt_ended(send.message_id, outcome), after=10 * MS)
            note()
    return said


# Guards against an operators' call or an answer that is worded otherwise.
def test_operators_calls_keep_their_paths_and_answers() -> None:
    health = Health()
    health.ready = True
    table = build_routes(health, Metrics(["filing"]), drain=lambda: None, undrain=lambda: None)
    assert {path: list(methods) for path, methods in table.items()} == {
        "/healthcheck": ["GET"],
        "/stats": ["GET"],
        "/healthcheck/fail": ["PUT"],
        "/healthcheck/ok": ["PUT"],
    }
    answers = [
        astuple(table[path][method]())[:2]
        for path, method in (
            ("/healthcheck", "GET"),
            ("/healthcheck/fail", "PUT"),
            ("/healthcheck", "GET"),
            ("/healthcheck/ok", "PUT"),
        )
    ]
    assert answers == [(200, "serving\n"), (200, "draining\n"), (503, "drained\n"), (200, "serving again\n")]


# Guards against notices and calls that the platform or a destination cannot read.
def test_notices_and_calls_keep_their_words() -> None:
    notices = Notices(Address("127.0.0.1", 1), lambda ref: None)
    notices.queue_notice("m1", "bounced", 9)
    notices.queue_notice("m2", "dead", 0)
    assert list(notices.queue.values()) == [
        b'{"ref":"m1","result":"bounced","wait_ms":9}\n',
        b'{"ref":"m2","result":"dead"}\n',
    ]
    method, target, headers, body = inspect_request(call_request("m1", "k1", b"body", 1 << 62))
    assert (method, target, body) == ("POST", "/hook", b"body")
    assert [name for name, _ in headers] == [
        "X-Request-ID",
        "Idempotency-Key",
        "X-Timeout-Ms",
        "Content-Length",
    ]
    assert [inspect_request(probe_request(deep))[:2] for deep in (True, False)] == [
        ("GET", "/-/load"),
        ("GET", "/-/healthy"),
    ]
    report = parse_report("x0=0.5,x1=2")
    assert report is not None and astuple(report) == (0.5, 2.0)


def inspect_request(request: Any) -> tuple[str, str, list[tuple[str, str]], bytes]:
    method, target, headers, body = astuple(request)
    return method, target, headers, body


# ---- the laboratory

PLAN_NAMES = [
    "seed",
    "length",
    "destinations",
    "endpoints_each",
    "drawn",
    "skew",
    "regions",
    "zones",
    "relays",
    "hollow",
    "rate",
    "hollow_rate",
    "load",
    "down",
    "outage",
    "changes",
    "speedup",
    "history",
    "discovery_call",
    "discovery_down",
    "restarts",
    "hollow_restarts",
    "memory_mb",
    "settle",
    "deadline",
]
RESULT_NAMES = [
    "schema_version",
    "passed",
    "why_not",
    "seed",
    "commit",
    "changed",
    "started",
    "machine",
    "arguments",
    "command",
    "interrupted",
    "figures",
    "broken",
    "timed",
    "violations",
    "relays",
]
FIGURE_NAMES = """
    abandoned answer_max answer_p50 answer_p90 answer_p99 answer_p99.9 attempts bounced calls_error
    calls_hollow calls_limited calls_real calls_served calls_shut calls_silent calls_unheard
    change_told_everywhere_max change_told_everywhere_median change_told_max change_told_median changes
    dead delivered delivered_share delivery_max delivery_p50 delivery_p90 delivery_p99 delivery_p99.9
    destinations failed fallen hand_in_lateness_max hand_in_lateness_p50 hand_in_lateness_p90
    hand_in_lateness_p99 hand_in_lateness_p99.9 handed_in hollow_calls hollow_control
    hollow_control_bytes hollow_dead hollow_delivered hollow_delivery_max hollow_delivery_p50
    hollow_delivery_p90 hollow_delivery_p99 hollow_delivery_p99.9 hollow_elsewhere hollow_failed
    hollow_full hollow_held hollow_lateness_max hollow_lateness_p50 hollow_lateness_p90
    hollow_lateness_p99 hollow_lateness_p99.9 hollow_offered hollow_probes hollow_refused
    hollow_restarts hollow_watches hollow_wholes in_time in_time_share list memory offered offered_rate
    outages probes processes refused repeats restarts taken versions
""".split()
RELAY_FIGURE_NAMES = """
    connections_from_clients control cpu cpu_busiest descriptors disk memory memory_limit notices
    ready_max ready_median starts watches whole_lists
""".split()
BROKEN_NAMES = ["lost", "two_out", "too_many", "foreign", "unknown", "altered", "after_end", "unreadable"]
TIMED_NAMES = ["late_end", "drain", "wait", "fell", "repeat"]
SHORT_RUN = (
    "--length 1.5 --deadline 1 --settle 0 --destinations 3 --relays 1 --hollow 1 --restarts 0"
    " --hollow-restarts 0 --speedup 100 --quiet"
).split()


# Guards against plans, flags and results of the laboratory that kept runs and scripts do not know.
def test_laboratory_keeps_its_flags_and_its_result(tmp_path: Path) -> None:
    assert list(Plan.model_fields) == PLAN_NAMES
    assert list(inspect.signature(with_plan_options(run)).parameters) == [
        *("config", "out", "logs", "command", "judge_time", "quiet"),
        *PLAN_NAMES,
    ]
    plan, out = tmp_path / "plan.toml", tmp_path / "result.json"
    plan.write_text("rate = 20.0\nhollow_rate = 3.0\n")
    command = ["--command", f"exec {sys.executable} -m garnetrelay"]
    assert laboratory_command([*SHORT_RUN, *command, "--config", str(plan), "--out", str(out)]) in (0, 1)
    played = json.loads(out.read_text())
    assert list(played) == RESULT_NAMES
    assert list(played["arguments"]) == PLAN_NAMES and played["arguments"]["rate"] == 20.0
    assert sorted(played["figures"]) == FIGURE_NAMES
    assert set(played["figures"]["offered"]) == {"value", "unit"}
    assert list(played["broken"]) == BROKEN_NAMES
    assert list(played["machine"]) == ["system", "python", "processor", "cores", "memory_mb", "load"]
    assert {name: sorted(figures) for name, figures in played["relays"].items()} == {"n0": RELAY_FIGURE_NAMES}


# Guards against rules and outcomes that results name otherwise.
def test_rules_and_verdicts_of_the_laboratory_keep_their_names() -> None:
    assert [rule.name.lower() for rule in Rule] == BROKEN_NAMES
    assert [rule.name.lower() for rule in Timed] == TIMED_NAMES
    ledger = Ledger()
    ledger.record_violation(next(iter(Rule)), "m1")
    assert ledger.violation_texts == ["lost: m1"]
    assert [verdict.value for verdict in Verdict] == ["served", "limited", "shut", "error", "silent"]
    dest = Fleet(Plan()).destinations[0]
    assert list(list_line(dest.endpoints[0], dest, "127.0.0.1:1")) == list(endpoint_line())


def endpoint_line() -> dict[str, Any]:
    class Nowhere:
        address = "127.0.0.1:1"

    return endpoint(Nowhere())  # type: ignore[arg-type]


# Guards against processes of hollow relays that a run of the same program cannot talk to.
def test_hollow_relays_are_told_and_tell_by_name() -> None:
    assert list(inspect.signature(Spec).parameters) == ["plan", "numbers", "agent", "index", "addresses"]
    assert list(inspect.signature(HollowCounts).parameters) == [
        *(
            "offered",
            "elsewhere",
            "delivered",
            "dead",
            "refused",
            "calls",
            "full",
            "failed",
            "probes",
            "restarts",
        ),
        *("watches", "wholes", "control_bytes"),
    ]


# Guards against kept measurements and fault files that can no longer be read.
def test_measurements_and_faults_keep_their_names(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert SUBCOMMANDS == {"slopes": "fleetlab.slopes", "soak": "fleetlab.soak"}
    assert [name for name in inspect.signature(soak).parameters] == ["seeds", "first", "jobs", "judge_time"]
    options = inspect.signature(slopes, eval_str=True).parameters
    assert list(options) == ["names", "seed", "file"]
    assert laboratory_command(["slopes", "--json", str(tmp_path / "kept.json"), "nothing"]) == 2
    assert "nothing: known are list-known" in capsys.readouterr().err
    assert list(inspect.signature(capacity_command).parameters) == ["page", "before", "after"]
    assert list(MEASUREMENTS) == [
        *(
            "list-known",
            "list-watch",
            "list-again",
            "endpoints",
            "state",
            "changes",
            "change-at-size",
            "rate",
        ),
        *(
            "held",
            "trouble",
            "turn",
            "restart",
            "come-back",
            "come-back-in-turn",
            "down",
            "down-silent",
            "journal",
        ),
    ]
    figures = {"a_s": 1.0}
    monkeypatch.setattr(fleetlab.slopes, "in_a_process", lambda name, size, seed: figures)
    kept = fleetlab.slopes.run("rate", 1, lambda text: None)
    assert list(kept) == ["what", "unit", "seed", "counts", "machine", "points", "fits"]
    assert list(kept["points"][0]) == ["size", "figures", "repeats", "failed"]
    assert list(kept["fits"]["a_s"]) == ["slope", "intercept", "r2", "residual", "smallest", "largest"]
    assert list(kept["machine"]) == [
        *("processor", "cores", "python", "kernel", "load", "commit", "changed", "started"),
        "load_at_end",
    ]
    assert astuple(
        Fit(**{"slope": 1, "intercept": 2, "r2": 3, "residual": 4, "smallest": 5, "largest": 6})
    ) == (*(1, 2, 3, 4, 5, 6),)
    for path in (ROOT / "docs" / "capacity").glob("*.json"):
        for measurement in json.loads(path.read_text()).values():
            assert all(Fit(**fit) for fit in measurement["fits"].values())
    Faults(5.0, 28).write_to(tmp_path / "faults")
    assert (tmp_path / "faults").read_text() == '{"clock_step": 5.0, "disk_error": 28}'
    assert fleetlab.faulty.FAULTS_FILE == "FLEETLAB_FAULTS" and fleetlab.slopes.COMMAND == "FLEETLAB_COMMAND"
