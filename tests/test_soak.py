"""The soak: the same seed draws the same scenario, and a relay that breaks a rule fails it."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest

from fleetlab import soak
from fleetlab.faulty import Faults, FaultsFile, fail_on_fault
from fleetlab.soak import Scenario

LOSES = """
from garnetrelay import journal
journal.Journal.close = lambda self: None
journal.Journal._load = lambda self: 0  # what a process left is not read
import runpy
runpy.run_module("garnetrelay", run_name="__main__")
"""


def test_seed_draws_the_same_scene_each_time_and_seeds_draw_all_kinds() -> None:
    scenarios = [Scenario.draw(seed) for seed in range(50)]
    assert scenarios == [Scenario.draw(seed) for seed in range(50)]
    for name in ("clock_steps", "disk_faults", "connection_flood"):
        assert {getattr(scenario, name) for scenario in scenarios} == {True, False}


def test_faults_take_hold_and_end_while_the_relay_runs(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("fleetlab.faulty.RELOAD_INTERVAL", 0.0)
    path = tmp_path / "faults.json"
    faults_file = FaultsFile(path)
    write = fail_on_fault(os.write, faults_file)
    file = os.open(tmp_path / "file", os.O_WRONLY | os.O_CREAT)
    assert write(file, b"x") == 1 and faults_file.faults == Faults()
    Faults(3600.0, 28).write_to(path)
    assert faults_file.faults.clock_step == 3600.0
    with pytest.raises(OSError, match="No space left"):
        write(file, b"x")
    path.write_text(json.dumps({"unknown": 1}))
    assert write(file, b"x") == 1
    os.close(file)


def test_relay_that_forgets_what_it_took_on_fails_the_soak(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "loses.py").write_text(LOSES)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    monkeypatch.setattr(soak, "COMMAND", soak.COMMAND.replace("fleetlab.faulty", "loses"))
    _, passed, lines = soak.play(1)
    assert not passed and "lost: taken on and never ended" in lines
