"""Fits of a line, and each measurement at one size; no test asserts how fast the machine is."""

from __future__ import annotations

import json
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import typer
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from fleetlab import capacity, fit, slopes

ROOT = Path(__file__).parent.parent
STORED_RUNS = sorted((ROOT / "docs" / "capacity").glob("*.json"))


@pytest.fixture(autouse=True)
def command(monkeypatch: pytest.MonkeyPatch) -> None:
    """Run relays from the tests' environment, where 'build' has not run."""
    monkeypatch.setenv(slopes.COMMAND, f"exec {sys.executable} -m garnetrelay")


@given(
    st.floats(-1e3, 1e3),
    st.floats(-1e3, 1e3),
    st.lists(st.integers(0, 10**6), min_size=fit.MIN_SIZES, max_size=20, unique=True),
)
def test_fit_of_points_on_a_line_gives_that_line(slope: float, intercept: float, sizes: list[int]) -> None:
    values = [intercept + slope * size for size in sizes]
    found = fit.line(sizes, values)
    largest = max(map(abs, values))
    assert all(
        found.at(size) == pytest.approx(value, abs=1e-6 * largest + 1e-9)
        for size, value in zip(sizes, values, strict=True)
    )
    assert found.residual < 1e-6 and (found.smallest, found.largest) == (min(sizes), max(sizes))


def test_residual_is_the_largest_distance_as_a_share_of_the_largest_value() -> None:
    found = fit.line([0, 1, 2, 3], [0.0, 2.0, 0.0, 2.0])  # 0.4 + 0.4 x: distances 0.4, 1.2, 1.2 and 0.4
    assert found.slope == pytest.approx(0.4) and found.intercept == pytest.approx(0.4)
    assert found.residual == pytest.approx(0.6) and found.r2 == pytest.approx(0.2)
    assert found.extrapolation_factor(12) == 4 and found.extrapolation_factor(2) == 1
    assert fit.line([2, 4, 6, 8], [1.0, 2.0, 3.0, 4.0]).extrapolation_factor(0.5) == 4


@pytest.mark.parametrize(
    ("sizes", "values"),
    [
        ([1, 2, 3], [1, 2, 3]),
        ([1, 1, 2, 3], [1, 1, 2, 3]),
        ([1, 2, 3, 4], [1, 2, 3]),
        ([1, 2, 3, 4], [1, 2, 3, float("nan")]),
    ],
    ids=["three", "three different", "unequal", "not finite"],
)
def test_points_without_a_line_raise_an_error(sizes: list[float], values: list[float]) -> None:
    with pytest.raises(ValueError):
        fit.line(sizes, values)


def test_every_measurement_has_four_sizes_at_least() -> None:
    assert all(len(set(one.sizes)) >= fit.MIN_SIZES for one in slopes.MEASUREMENTS.values())


def test_size_that_was_not_reached_is_left_out_of_the_fit() -> None:
    points: list[dict[str, Any]] = [
        {"size": n, "figures": {"a": 2.0 * n, "b": None if n == 8 else 1.0}} for n in (1, 2, 4, 8)
    ]
    lines = slopes.fit_lines(points)
    assert set(lines) == {"a"} and lines["a"]["slope"] == pytest.approx(2)
    assert slopes.summarize([{"a": 3.0}, {"a": None}], mean=False) == {"a": None}
    assert slopes.summarize([{"a": 3.0}, {"a": 1.0}], mean=False) == {"a": 1.0}
    assert slopes.summarize([{"a": 3.0}, {"a": 1.0}], mean=True) == {"a": 2.0}


@pytest.mark.parametrize(
    ("name", "size"),
    [
        ("state", 40),
        ("turn", 100),
        ("down", 3),
        ("down-silent", 3),
        ("journal", 200),
    ],
)
def test_measurement_without_sockets_returns_all_its_figures(name: str, size: int) -> None:
    figures = slopes.measure(name, size, seed=1)
    assert figures and all(value is not None and value >= 0 for value in figures.values())


def test_destination_is_served_again_after_an_outage() -> None:
    fleet = slopes.Fleet(4, seed=1, silent=False)
    fleet.run_until(20 * slopes.SECOND)
    assert fleet.undelivered == 0 and fleet.calls_between(10 * slopes.SECOND, 20 * slopes.SECOND) > 40
    fleet.down = True
    fleet.run_until(80 * slopes.SECOND)
    assert fleet.undelivered > 0
    fleet.down, before = False, fleet.undelivered
    fleet.run_until(200 * slopes.SECOND)
    fleet.undelivered = 0
    fleet.run_until(220 * slopes.SECOND)
    assert before and fleet.undelivered == 0


@pytest.mark.parametrize(
    ("name", "size", "required_figure"),
    [
        ("list-watch", 40, "wall_in_force_s"),
        ("list-again", 40, "wall_in_force_s"),
        ("restart", 20, "wall_ready_s"),
        ("held", 50, "message_ms"),
        ("rate", 20, "delivered_a_second"),
        ("changes", 20, "bytes_a_second"),
        ("come-back-in-turn", 2, "wall_list_s"),
    ],
)
def test_measurement_of_a_real_relay_completes(
    monkeypatch: pytest.MonkeyPatch, name: str, size: int, required_figure: str
) -> None:
    """The relay is started as deployed, so the environment that the deploy file builds must exist."""
    monkeypatch.setattr(slopes, "SAMPLE_SECONDS", 0.2)
    monkeypatch.setattr(slopes, "SETTLE_SECONDS", 0.1)
    figures = slopes.measure(name, size, seed=1)
    assert figures[required_figure] is not None


def test_list_that_a_relay_cannot_apply_gives_no_figure(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slopes, "LIST_TIMEOUT_SECONDS", 0.5)
    monkeypatch.setattr(slopes, "generate_endpoints", lambda size, seed, per_destination: [])
    assert slopes.measure("list-watch", 20, seed=1)["wall_in_force_s"] is None


def test_command_stores_its_results_and_rejects_unknown_measurements(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    async def double(size: int, seed: int, folder: Path) -> slopes.Figures:
        """Twice the size."""
        if size == 3:
            raise RuntimeError
        return {"doubled_s": 2.0 * size}

    monkeypatch.setitem(slopes.MEASUREMENTS, "twice", slopes.Measurement(double, "sizes", (1, 2, 3, 4, 5), 2))

    def measure_here(name: str, size: int, seed: int) -> slopes.Figures:
        if size == 3:
            raise subprocess.CalledProcessError(1, name)
        return slopes.measure(name, size, seed)

    monkeypatch.setattr(slopes, "in_a_process", measure_here)
    file = tmp_path / "kept.json"
    app = typer.Typer()
    app.command()(slopes.slopes)
    completed = CliRunner().invoke(app, ["twice", "--seed", "5", "--json", str(file)])
    assert completed.exit_code == 0, completed.output
    stored = json.loads(file.read_text())["twice"]
    assert stored["fits"]["doubled_s"]["slope"] == pytest.approx(2) and stored["seed"] == 5
    assert [point["failed"] for point in stored["points"]] == ["", "", "exit status 1", "", ""]
    assert "| 3 | failed |" in completed.output and "| 4 | 8 |" in completed.output
    assert CliRunner().invoke(app, ["thrice"]).exit_code == 2


def test_stored_fits_match_the_stored_points() -> None:
    for name, result in [item for file in STORED_RUNS for item in json.loads(file.read_text()).items()]:
        measurement = slopes.MEASUREMENTS[name]
        for point in result["points"]:
            if point["repeats"]:
                assert point["figures"] == slopes.summarize(point["repeats"], measurement.mean), (
                    name,
                    point["size"],
                )
        refitted = slopes.fit_lines(result["points"])
        assert refitted.keys() == result["fits"].keys()
        for key, line in refitted.items():
            assert line == pytest.approx(result["fits"][key], rel=1e-6, abs=1e-9), (name, key)


def test_page_has_the_tables_of_the_stored_runs() -> None:
    """The page's values at the target come from its runs."""
    page = (ROOT / "docs" / "CAPACITY.md").read_text()
    before, *after = (json.loads(file.read_text()) for file in sorted(STORED_RUNS, reverse=True))
    assert capacity.fill_tables(page, before, after[0] if after else {}) == page
    assert "machine" in page


def test_estimate_at_the_target_multiplies_the_fit_and_reports_the_extrapolation() -> None:
    points: list[dict[str, Any]] = [{"size": n, "figures": {"a_s": 3.0 * n}} for n in (1, 2, 4, 8)]
    results: slopes.Results = {"one": {"points": points, "fits": slopes.fit_lines(points)}}
    row = capacity.Row("relay", "what", "one", "a_s", 80, "s", factor=2, limit=48, limit_text="48 s")
    found = capacity.estimate_at_target(row, results)
    assert found is not None and found[0] == pytest.approx(480) and found[2] == pytest.approx(10)
    points[0]["figures"]["a_s"] = 4.0  # the line no longer passes through 0
    new_results: slopes.Results = {"one": {"points": points, "fits": slopes.fit_lines(points)}}
    slope_estimate = capacity.estimate_at_target(
        replace(row, size=16, factor=1, slope_only=True), new_results
    )
    assert slope_estimate is not None and slope_estimate[0] == pytest.approx(
        16 * new_results["one"]["fits"]["a_s"]["slope"]
    )
    text = capacity.rows_table((row,), results, {})
    assert "**missing, by 10**" in text and "| by 10 |" in text and "not measured" in text
    measured = capacity.estimate_at_target(capacity.Row("relay", "what", "one", "a_s", 8, "s"), results)
    assert measured is not None and (measured[0], measured[2]) == (24.0, 1.0)


def test_page_without_a_mark_raises_an_error() -> None:
    result = {
        "points": [],
        "fits": {},
        "unit": "x",
        "what": "",
        "counts": "least",
        "seed": 1,
        "machine": {
            "processor": "",
            "cores": 1,
            "python": "",
            "kernel": "",
            "load": 0,
            "load_at_end": 0,
            "commit": "",
            "changed": False,
            "started": "",
        },
    }
    result["points"] = [{"size": 1, "figures": {}, "repeats": []}]
    with pytest.raises(ValueError, match="no mark"):
        capacity.fill_tables("", {"one": result}, {})
