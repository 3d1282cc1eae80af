"""Health records of unhealthy destinations survive their process despite disk errors."""

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
ROOM = 4096  # bytes for both files together


def record(destination: int = 1, endpoint: str = "a", **changes: object) -> HealthRecord:
    base = HealthRecord(destination, endpoint, 0.7, True, NOW - 9 * S, NOW - S, NOW - S, None, 0, False, 2.5)
    return replace(base, **changes)  # type: ignore[arg-type]


def write_records(folder: Path, *records: HealthRecord, max_bytes: int = ROOM) -> HealthStore:
    store = HealthStore(folder, max_bytes)
    store.load(NOW)
    store.store(records)
    store.close()
    return store


def load_records(folder: Path, now: int = NOW, max_bytes: int = ROOM) -> list[HealthRecord]:
    return HealthStore(folder, max_bytes).load(now)


# Guards against a successor that ignores the health that this process has observed.
def test_latest_record_of_each_destination_is_loaded(tmp_path: Path) -> None:
    first, second = (
        record(1),
        record(2, "b", slow_start_began_at=NOW - S, in_outage=False, slow_start_ends_at=NOW + S),
    )
    write_records(tmp_path, record(1, failure_rate=0.3), second, first)
    assert sorted(load_records(tmp_path), key=lambda one: one.destination) == [first, second]


# Guards against a second kill that loses the records that survived the first.
def test_records_of_a_previous_process_survive_later_writes(tmp_path: Path) -> None:
    write_records(tmp_path, record(1))
    write_records(tmp_path, record(2, "b"))
    assert {one.destination for one in load_records(tmp_path)} == {1, 2}


# Guards against a destination that stays limited after its outage has ended.
def test_healthy_destination_is_not_restored(tmp_path: Path) -> None:
    write_records(tmp_path, record(1), record(2, "b"), record(1, unhealthy_since=None))
    assert [one.destination for one in load_records(tmp_path)] == [2]


# Guards against a full disk caused by a destination that fails and recovers repeatedly.
def test_file_stays_within_its_limit_and_keeps_the_latest_record(tmp_path: Path) -> None:
    store = HealthStore(tmp_path, ROOM)
    for number in range(500):
        store.store([record(number % 40, f"host-{number % 40}", last_bad_outcome_at=NOW - S + number)])
        assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= ROOM
    store.close()
    assert load_records(tmp_path)[-1].last_bad_outcome_at == NOW - S + 499


# Guards against a start that fails or loads wrong records because of an unreadable file.
@pytest.mark.parametrize("damage", [b"", b"\0" * 200, b"00000000 [1]\n", b"x\n" * 5])
def test_damaged_file_is_ignored(tmp_path: Path, damage: bytes) -> None:
    (tmp_path / "health").write_bytes(damage)
    assert load_records(tmp_path) == []
    write_records(tmp_path, record(1))
    assert [one.destination for one in load_records(tmp_path)] == [1]


# Guards against a write interrupted by a kill at any byte.
def test_partially_written_line_hides_no_earlier_line(tmp_path: Path) -> None:
    write_records(tmp_path, record(1), record(2, "b"))
    whole = (tmp_path / "health").read_bytes()
    last = whole.rstrip(b"\n").rfind(b"\n") + 1
    for cut in range(last, len(whole) - 1):
        (tmp_path / "health").write_bytes(whole[:cut])
        assert [one.destination for one in load_records(tmp_path)] == [1]


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
def test_records_with_invalid_values_are_skipped(tmp_path: Path, wrong: dict[str, Any]) -> None:
    write_records(tmp_path, replace(record(1), **wrong), record(2, "b"))
    assert [one.destination for one in load_records(tmp_path)] == [2]


# Guards against times of another clock that are used as times of this one.
def test_failure_times_of_another_boot_count_as_now(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    write_records(tmp_path, record(1, slow_start_began_at=NOW - 5 * S, slow_start_ends_at=NOW + 5 * S))
    monkeypatch.setattr(health_store, "boot_id", lambda: "another")
    (restored,) = load_records(tmp_path, now=7 * S)
    assert (restored.unhealthy_since, restored.last_bad_outcome_at, restored.slow_start_began_at) == (
        7 * S,
        7 * S,
        None,
    )


def test_time_too_far_ahead_counts_as_now(tmp_path: Path) -> None:
    write_records(tmp_path, record(1, last_bad_outcome_at=NOW + MAX_TIME_AHEAD_NS + 1))
    assert load_records(tmp_path)[0].last_bad_outcome_at == NOW


# Guards against a temporary disk failure that loses the records of that time.
def test_records_that_failed_to_write_are_written_when_the_disk_works_again(
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
        assert [one.destination for one in load_records(tmp_path)] == [1]
    assert caplog.text.count("cannot be kept") == 1
    store.flush()
    assert {one.destination for one in load_records(tmp_path)} == {1, 2, 3}
