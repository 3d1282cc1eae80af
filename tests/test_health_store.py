"""What a relay has seen of destinations in trouble outlasts its process, whatever the disk does."""

from __future__ import annotations

import os
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from garnetrelay import health_store
from garnetrelay.health_store import MAX_TIME_AHEAD_NS, HealthStore
from starlingwick.interface import HealthRecord
from tests.helpers import S

NOW = 1000 * S
ROOM = 4096  # bytes, for both files


def record(dest: int = 1, host: str = "a", **changes: object) -> HealthRecord:
    made = HealthRecord(dest, host, 0.7, True, NOW - 9 * S, NOW - S, NOW - S, None, 0, False, 2.5)
    return replace(made, **changes)  # type: ignore[arg-type]


def kept(folder: Path, *records: HealthRecord, room: int = ROOM) -> HealthStore:
    store = HealthStore(folder, room)
    store.load(NOW)
    store.store(records)
    store.close()
    return store


def loaded(folder: Path, now: int = NOW, room: int = ROOM) -> list[HealthRecord]:
    return HealthStore(folder, room).load(now)


# Guards against a next life that is not bound by what this one was told.
def test_latest_record_of_each_destination_comes_back(tmp_path: Path) -> None:
    first, second = (
        record(1),
        record(2, "b", slow_start_began_at=NOW - S, in_outage=False, slow_start_ends_at=NOW + S),
    )
    kept(tmp_path, record(1, failure_rate=0.3), second, first)
    assert sorted(loaded(tmp_path), key=lambda one: one.destination) == [first, second]


# Guards against a second kill that undoes what outlasted the first.
def test_records_of_an_earlier_life_stay_when_this_one_writes(tmp_path: Path) -> None:
    kept(tmp_path, record(1))
    kept(tmp_path, record(2, "b"))
    assert {one.destination for one in loaded(tmp_path)} == {1, 2}


# Guards against a destination that stays slowed down by an outage that is over.
def test_destination_that_is_well_again_is_not_restored(tmp_path: Path) -> None:
    kept(tmp_path, record(1), record(2, "b"), record(1, unhealthy_since=None))
    assert [one.destination for one in loaded(tmp_path)] == [2]


# Guards against a disk that is filled by a destination that goes up and down.
def test_file_stays_within_its_bound_and_keeps_the_latest(tmp_path: Path) -> None:
    store = HealthStore(tmp_path, ROOM)
    for number in range(500):
        store.store([record(number % 40, f"host-{number % 40}", last_bad_outcome_at=NOW - S + number)])
        assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= ROOM
    store.close()
    assert loaded(tmp_path)[-1].last_bad_outcome_at == NOW - S + 499


# Guards against a start that fails, or is misled, for want of a readable file.
@pytest.mark.parametrize("damage", [b"", b"\0" * 200, b"00000000 [1]\n", b"x\n" * 5])
def test_damaged_file_is_passed_over(tmp_path: Path, damage: bytes) -> None:
    (tmp_path / "health").write_bytes(damage)
    assert loaded(tmp_path) == []
    kept(tmp_path, record(1))
    assert [one.destination for one in loaded(tmp_path)] == [1]


# Guards against a write that a kill cut short at any byte.
def test_half_a_line_hides_none_before_it(tmp_path: Path) -> None:
    kept(tmp_path, record(1), record(2, "b"))
    whole = (tmp_path / "health").read_bytes()
    last = whole.rstrip(b"\n").rfind(b"\n") + 1
    for cut in range(last, len(whole) - 1):
        (tmp_path / "health").write_bytes(whole[:cut])
        assert [one.destination for one in loaded(tmp_path)] == [1]


@pytest.mark.parametrize(
    "wrong",
    [
        {"failure_rate": 7.0},
        {"failure_rate": float("nan")},
        {"rate_before_outage": -1.0},
        {"last_bad_outcome_at": None},
        {"in_outage": 1},
    ],
)
def test_values_that_cannot_be_are_passed_over(tmp_path: Path, wrong: dict[str, Any]) -> None:
    kept(tmp_path, replace(record(1), **wrong), record(2, "b"))
    assert [one.destination for one in loaded(tmp_path)] == [2]


# Guards against times of another clock that are taken for ours.
def test_trouble_seen_in_another_boot_counts_as_seen_just_now(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    kept(tmp_path, record(1, slow_start_began_at=NOW - 5 * S, slow_start_ends_at=NOW + 5 * S))
    monkeypatch.setattr(health_store, "boot_id", lambda: "another")
    (found,) = loaded(tmp_path, now=7 * S)
    assert (found.unhealthy_since, found.last_bad_outcome_at, found.slow_start_began_at) == (
        7 * S,
        7 * S,
        None,
    )


def test_time_beyond_any_wait_counts_as_just_now(tmp_path: Path) -> None:
    kept(tmp_path, record(1, last_bad_outcome_at=NOW + MAX_TIME_AHEAD_NS + 1))
    assert loaded(tmp_path)[0].last_bad_outcome_at == NOW


# Guards against a disk that fails for a while and takes with it what was seen meanwhile.
def test_what_the_disk_did_not_take_is_written_when_it_is_well_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    store = HealthStore(tmp_path, ROOM)
    store.store([record(1)])

    def fail(*_: object) -> int:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "write", fail)
        store.store([record(2, "b")])
        store.store([record(3, "c")])
        assert [one.destination for one in loaded(tmp_path)] == [1]
    assert caplog.text.count("cannot be kept") == 1
    store.flush()
    assert {one.destination for one in loaded(tmp_path)} == {1, 2, 3}
